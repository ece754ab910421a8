// How the sockets that the platform allows a node are parted, so that none of its callers can take them all.
#pragma once
#include <algorithm>
#include <cstddef>

#include "wire/settings.h"

namespace aspenwick::app {

struct SocketBudget {
  static constexpr std::size_t kToAService =
      24;                                        // connections at most, to the state service and to the cloud
  static constexpr std::size_t kFromPeers = 32;  // accepted at peer_listen
  std::size_t pushes = 0;   // to workers: at most so many are under way, and as many connections kept
  std::size_t callers = 0;  // workers, users and the load balancer's probes
  std::size_t spare = 0;    // accepted ones that have not asked for anything yet, files, listeners
};

/// All parts together with the services' and peers' stay within `sockets`, however few; each is at least 1.
inline SocketBudget socket_budget(const wire::PlatformSettings& p) {
  const auto all = static_cast<std::size_t>(std::max(p.max_sockets, 1));
  SocketBudget b;
  b.pushes = std::max<std::size_t>(1, all / 10);
  b.spare = std::max<std::size_t>(1, all / 16);
  const std::size_t ours = 2 * SocketBudget::kToAService + SocketBudget::kFromPeers + p.siblings.size();
  const std::size_t taken = b.pushes + b.spare + ours;
  b.callers = all > taken ? all - taken : 1;
  return b;
}

}  // namespace aspenwick::app
