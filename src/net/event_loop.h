// The loop on libevent. One thread; callbacks run in it, one after another.
#pragma once
#include <event2/event.h>

#include <list>
#include <memory>

#include "net/loop.h"

namespace aspenwick::net {

class EventLoop : public Loop {
 public:
  EventLoop();  // throws std::runtime_error if libevent can't make one
  ~EventLoop() override;

  Micros now() const override;
  Micros time_of_day() const override;
  void later(Micros delay, std::function<void()> what) override;
  void every(Micros period, std::function<void()> what) override;

  /// Until nothing is left to wait for, or stop().
  void run();
  void stop();
  event_base* base() { return base_.get(); }

 private:
  struct Timer {
    EventLoop* loop;
    std::function<void()> what;
    bool once;
    event* source = nullptr;
    std::list<Timer>::iterator self;
  };
  struct Free {
    void operator()(event_base* b) const { event_base_free(b); }
  };
  void add(Micros delay, bool once, std::function<void()> what);
  static void fire(evutil_socket_t, short, void* timer);

  std::unique_ptr<event_base, Free> base_;
  std::list<Timer> timers_;
};

}  // namespace aspenwick::net
