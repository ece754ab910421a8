// Time and timers as a node sees them. The service runs on libevent's (net/event_loop.h); tests and a
// simulated world bring their own, so that nothing above this package knows what drives it.
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

  /// Microseconds of a clock that never steps; what it counts from is not said.
  virtual Micros now() const = 0;
  /// Microseconds since 1970 (UTC); may step.
  virtual Micros time_of_day() const = 0;
  /// Calls `what` once, not before `delay` (0 or more) has passed and never from within this call.
  virtual void call_later(Micros delay, std::function<void()> callback) = 0;
  /// Calls `what` each `period` (over 0), for as long as the loop lives.
  virtual void call_every(Micros period, std::function<void()> callback) = 0;
};

}  // namespace aspenwick::net
