#include "net/event_loop.h"

#include <chrono>
#include <stdexcept>

namespace aspenwick::net {
namespace {

event_base* make_base() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (!base) throw std::runtime_error("cannot make an event loop");
  return base;
}

template <typename Clock>
Micros micros_of() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

}  // namespace

EventLoop::EventLoop() : base_(make_base()) {}

EventLoop::~EventLoop() {
  for (auto& t : timers_) event_free(t.source);
}

Micros EventLoop::now() const { return micros_of<std::chrono::steady_clock>(); }
Micros EventLoop::time_of_day() const { return micros_of<std::chrono::system_clock>(); }

void EventLoop::later(Micros delay, std::function<void()> what) { add(delay, true, std::move(what)); }
void EventLoop::every(Micros period, std::function<void()> what) { add(period, false, std::move(what)); }

void EventLoop::add(Micros delay, bool once, std::function<void()> what) {
  const auto it = timers_.insert(timers_.end(), {this, std::move(what), once, nullptr, {}});
  it->self = it;
  it->source = event_new(base_.get(), -1, once ? 0 : EV_PERSIST, &EventLoop::fire, &*it);
  const timeval tv{delay / kSecond, static_cast<suseconds_t>(delay % kSecond)};
  event_add(it->source, &tv);
}

void EventLoop::fire(evutil_socket_t, short, void* timer) {
  auto* t = static_cast<Timer*>(timer);
  if (!t->once) return t->what();
  const auto what = std::move(t->what);
  event_free(t->source);
  t->loop->timers_.erase(t->self);
  what();
}

void EventLoop::run() { event_base_dispatch(base_.get()); }
void EventLoop::stop() { event_base_loopbreak(base_.get()); }

}  // namespace aspenwick::net
