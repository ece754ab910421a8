// Loop on libevent. All callbacks run one after another in the thread that calls run().
#pragma once
#include <event2/event.h>

#include <list>
#include <memory>

#include "net/loop.h"

namespace aspenwick::net {

class EventLoop : public Loop {
 public:
  EventLoop();  // throws std::runtime_error if libevent cannot create an event base
  ~EventLoop() override;

  Micros now() const override;
  Micros time_of_day() const override;
  void call_later(Micros delay, std::function<void()> callback) override;
  void call_every(Micros period, std::function<void()> callback) override;

  /// Returns when no event is left to wait for, or after stop().
  void run();
  void stop();
  event_base* base() { return base_.get(); }

 private:
  struct Timer {
    EventLoop* loop;
    std::function<void()> callback;
    bool once;
    event* timer_event = nullptr;
    std::list<Timer>::iterator self;
  };
  struct Deleter {
    void operator()(event_base* b) const { event_base_free(b); }
  };
  void add_timer(Micros delay, bool once, std::function<void()> callback);
  static void on_timer(evutil_socket_t, short, void* timer);

  std::unique_ptr<event_base, Deleter> base_;
  std::list<Timer> timers_;
};

}  // namespace aspenwick::net
