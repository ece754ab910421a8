// How the sockets that the platform allows a node are parted, so that none of its callers can take them all.
#pragma once
#include <algorithm>
#include <cstddef>

#include "wire/settings.h"

namespace aspenwick::app {

struct SocketBudget {
  static constexpr std::size_t kMaxServiceConnections =
      24;  // connections at most, to the state service and to the cloud
  static constexpr std::size_t kMaxPeerConnections = 32;  // accepted at peer_listen
  std::size_t max_pushes = 0;   // to workers: at most so many are under way, and as many connections kept
  std::size_t max_callers = 0;  // workers, users and the load balancer's probes
  std::size_t reserved = 0;     // accepted ones that have not asked for anything yet, files, listeners
};

/// All parts together with the services' and peers' stay within `sockets`, however few; each is at least 1.
inline SocketBudget socket_budget(const wire::PlatformSettings& p) {
  const auto all = static_cast<std::size_t>(std::max(p.sockets, 1));
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
