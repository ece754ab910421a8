// Interface for clocks and timers. The service uses libevent's (net/event_loop.h); tests and the simulation
// have their own implementations, so that code outside this package does not depend on the source of time.
#pragma once
#include <functional>

#include "wire/time.h"

namespace aspenwick::net {

class Loop {
 public:
  virtual ~Loop() = default;
  Loop() = default;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Microseconds on a monotonic clock with an unspecified epoch.
  virtual Micros now() const = 0;
  /// Microseconds since 1970 (UTC) on the system clock, which may be adjusted.
  virtual Micros time_of_day() const = 0;
  /// Calls `callback` once, when at least `delay` (0 or more) has passed, and never from within this call.
  virtual void call_later(Micros delay, std::function<void()> callback) = 0;
  /// Calls `callback` every `period` (over 0) for the lifetime of the loop.
  virtual void call_every(Micros period, std::function<void()> callback) = 0;
};

}  // namespace aspenwick::net
