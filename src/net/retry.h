// Retries of operations that may fail for a short time.
#pragma once
#include <spdlog/spdlog.h>

#include <chrono>
#include <stdexcept>
#include <thread>

#include "wire/time.h"

namespace aspenwick::net {

/// Returns the result of `operation`. While it throws std::runtime_error, it is called again after `pause`,
/// at most `max_attempts` (over 0) times in all; the last error is passed on. The calling thread sleeps in
/// between. Meant for listening on a port that a former process of this node, or whatever terminates it, has
/// not released yet: if we exited because of that, the platform would only start us again.
template <typename Operation>
auto retry_on_error(Operation operation, int max_attempts, Micros pause) {
  for (int i = 1;; ++i) {
    try {
      return operation();
    } catch (const std::runtime_error& e) {
      if (i >= max_attempts) throw;
      if (i == 1) spdlog::info("{}; retrying", e.what());
      std::this_thread::sleep_for(std::chrono::microseconds(pause));
    }
  }
}

}  // namespace aspenwick::net
