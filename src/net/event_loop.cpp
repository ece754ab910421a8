#include "net/event_loop.h"

#include <chrono>
#include <stdexcept>

namespace aspenwick::net {
namespace {

event_base* create_event_base() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (!base) throw std::runtime_error("cannot create the event loop");
  return base;
}

template <typename Clock>
Micros clock_micros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

}  // namespace

EventLoop::EventLoop() : base_(create_event_base()) {}

EventLoop::~EventLoop() {
  for (auto& t : timers_) event_free(t.timer_event);
}

Micros EventLoop::now() const { return clock_micros<std::chrono::steady_clock>(); }
Micros EventLoop::time_of_day() const { return clock_micros<std::chrono::system_clock>(); }

void EventLoop::call_later(Micros delay, std::function<void()> callback) {
  add_timer(delay, true, std::move(callback));
}
void EventLoop::call_every(Micros period, std::function<void()> callback) {
  add_timer(period, false, std::move(callback));
}

void EventLoop::add_timer(Micros delay, bool once, std::function<void()> callback) {
  const auto it = timers_.insert(timers_.end(), {this, std::move(callback), once, nullptr, {}});
  it->self = it;
  it->timer_event = event_new(base_.get(), -1, once ? 0 : EV_PERSIST, &EventLoop::on_timer, &*it);
  const timeval tv{delay / kSecond, static_cast<suseconds_t>(delay % kSecond)};
  event_add(it->timer_event, &tv);
}

void EventLoop::on_timer(evutil_socket_t, short, void* timer) {
  auto* t = static_cast<Timer*>(timer);
  if (!t->once) return t->callback();
  const auto callback = std::move(t->callback);
  event_free(t->timer_event);
  t->loop->timers_.erase(t->self);
  callback();
}

void EventLoop::run() { event_base_dispatch(base_.get()); }
void EventLoop::stop() { event_base_loopbreak(base_.get()); }

}  // namespace aspenwick::net
