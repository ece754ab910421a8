// Simulated time: a discrete-event engine, and a node's event loop on it that can be crashed or frozen.
#pragma once
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "net/loop.h"

namespace aspenwick::testing {

/// Runs events in the order of their times; events with equal times run in the order in which they were
/// added.
class SimulationEngine {
 public:
  Micros now = 1000 * kSecond;
  /// Calls `callback` once `delay` from now has passed; a negative delay counts as 0.
  void at(Micros delay, std::function<void()> callback) {
    events_.emplace(std::pair{now + std::max<Micros>(0, delay), ++count_}, std::move(callback));
  }
  /// Runs all events that are due within `span`, and moves `now` to its end.
  void run_for(Micros span) {
    const Micros until = now + span;
    while (!events_.empty() && events_.begin()->first.first <= until) {
      now = events_.begin()->first.first;
      const auto callback = std::move(events_.extract(events_.begin()).mapped());
      callback();
    }
    now = until;
  }

 private:
  std::map<std::pair<Micros, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t count_ = 0;
};

/// The event loop of one node process. Callbacks of a crashed process are never called.
class SimulatedLoop : public net::Loop {
 public:
  explicit SimulatedLoop(SimulationEngine& engine) : engine_(engine) {}
  Micros now() const override { return engine_.now; }
  Micros time_of_day() const override { return engine_.now + 1'700'000'000 * kSecond; }
  void call_later(Micros delay, std::function<void()> callback) override {
    engine_.at(delay, [this, alive = alive_, callback = std::move(callback)]() mutable {
      if (!*alive) return;
      if (remaining_freeze() > 0)
        return call_later(remaining_freeze() + ++delayed_callbacks_ * kBacklogCallbackTime,
                          std::move(callback));
      callback();
    });
  }
  void call_every(Micros period, std::function<void()> callback) override {
    call_later(period, [this, period, callback] {
      call_every(period, callback);
      callback();
    });
  }
  void crash() { *alive_ = false; }
  /// Postpones all callbacks due within `span` to its end, where they run one after the other.
  void freeze(Micros span) {
    frozen_until_ = engine_.now + span;
    delayed_callbacks_ = 0;
  }
  /// 0: not frozen.
  Micros remaining_freeze() const { return std::max<Micros>(0, frozen_until_ - engine_.now); }

 private:
  static constexpr Micros kBacklogCallbackTime = kMillisecond / 4;  // between postponed callbacks
  SimulationEngine& engine_;
  Micros frozen_until_ = 0, delayed_callbacks_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace aspenwick::testing
