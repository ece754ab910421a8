// Trying again what may fail for a moment only.
#pragma once
#include <spdlog/spdlog.h>

#include <chrono>
#include <stdexcept>
#include <thread>

#include "wire/time.h"

namespace aspenwick::net {

/// What `make` returns. As long as it throws std::runtime_error it is called again after `pause`, at most
/// `times` (over 0) in all; the last error is passed on. For a port that our former process, or what ends it,
/// has not given up yet: to end for that would only make the platform start us once more.
template <typename Operation>
auto retry_on_error(Operation operation, int max_attempts, Micros pause) {
  for (int i = 1;; ++i) {
    try {
      return operation();
    } catch (const std::runtime_error& e) {
      if (i >= max_attempts) throw;
      if (i == 1) spdlog::info("{}; trying again", e.what());
      std::this_thread::sleep_for(std::chrono::microseconds(pause));
    }
  }
}

}  // namespace aspenwick::net
