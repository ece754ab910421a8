// Divides the sockets that the platform allows a node among its uses, so that no kind of caller can take them
// all.
#pragma once
#include <algorithm>
#include <cstddef>

#include "wire/settings.h"

namespace aspenwick::app {

/// Numbers of sockets for each use.
struct SocketBudget {
  static constexpr std::size_t kMaxServiceConnections =
      24;  // connections to the state service, and as many to the cloud
  static constexpr std::size_t kMaxPeerConnections = 32;  // connections accepted at peer_listen
  std::size_t max_pushes = 0;   // pushes in flight to workers, and connections kept open to them
  std::size_t max_callers = 0;  // workers, users and the load balancer's probes
  std::size_t reserved = 0;     // for accepted connections without a request yet, files, and listeners
};

/// Together with the connections to services and peers, all numbers stay within `sockets`, however small it
/// is; each is at least 1.
inline SocketBudget socket_budget(const wire::PlatformSettings& p) {
  const auto all = static_cast<std::size_t>(std::max(p.max_sockets, 1));
  SocketBudget b;
  b.max_pushes = std::max<std::size_t>(1, all / 10);
  b.reserved = std::max<std::size_t>(1, all / 16);
  const std::size_t ours =
      2 * SocketBudget::kMaxServiceConnections + SocketBudget::kMaxPeerConnections + p.siblings.size();
  const std::size_t taken = b.max_pushes + b.reserved + ours;
  b.max_callers = all > taken ? all - taken : 1;
  return b;
}

}  // namespace aspenwick::app
