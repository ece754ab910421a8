// Orders to workers, in answers to their reports and pushed: which may leave now, and what counts of those
// whose answer is lost.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::WorkerReport;

namespace {
constexpr std::size_t kMaxOrders = 300;  // keeps an answer well under 64 KiB
constexpr Micros kRepeatHalt = kSecond;
constexpr Micros kPushAgain = 2 * kSecond;  // twice as long after each further push that is lost
constexpr int kMostDoubled = 5;
constexpr Micros kLongestPause = 4;  // times between a worker's reports
}  // namespace

/// The last look before an order to start leaves. What would break an invariant is refused and not tried
/// again.
bool ShareController::start_allowed(Machine& m, std::map<TaskKey, TaskAttempt>::iterator at,
                                    StartRefusal of_owner, Micros now) {
  using place::Invariant;
  const StartRefusal why = place::start_refusal(view_, m, at->second, of_owner);
  if (why == StartRefusal::none) return true;
  count_refusal(why);
  if (!place::breaks_invariant(why)) return false;
  const TaskAttempt& p = at->second;
  const auto which =
      why == StartRefusal::other_attempt ? Invariant::one_attempt_of_a_task : Invariant::done_is_final;
  place::report_violation(which, p.job_id + "/" + std::to_string(p.index) + " try " +
                                     std::to_string(p.attempt) + " on " + m.record.id + ", epoch " +
                                     std::to_string(epoch_) + ": " + std::string(place::to_string(why)));
  view_.free_attempt(m, at, now, FreeReason::refused);
  return false;
}

std::vector<Order> ShareController::take_orders(Machine& m, bool by_push, std::uint64_t answer_seq,
                                                StartRefusal of_owner, Micros now) {
  std::vector<Order> out;
  bool launches = false;
  for (auto it = m.tasks.begin(); it != m.tasks.end() && out.size() < kMaxOrders;) {
    auto here = it++;
    TaskAttempt& p = here->second;
    if (p.halting) {
      if (p.phase == AttemptPhase::assigned) {
        view_.free_attempt(m, here, now, FreeReason::never_sent);
      } else if (!by_push || now - p.halt_sent_at >= kRepeatHalt) {
        p.halt_sent_at = now;
        out.push_back({Order::Verb::halt, p.job_id, p.index, p.attempt, p.grace});
      }
      continue;
    }
    if (p.phase != AttemptPhase::assigned || !start_allowed(m, here, of_owner, now)) continue;
    p.phase = AttemptPhase::sent;
    p.sent_by_push = by_push;
    p.answer_seq = answer_seq;
    p.started_at = now;
    launches = true;
    out.push_back({Order::Verb::launch, p.job_id, p.index, p.attempt, 0});
    spdlog::debug("start {}/{} try {} on {} session {} token {} by {}", p.job_id, p.index, p.attempt,
                  m.record.id, m.session, token(m), by_push ? "push" : "answer");
  }
  // Room first: halts and forgets go before launches.
  std::stable_partition(out.begin(), out.end(), [](const Order& o) { return o.verb != Order::Verb::launch; });
  // A copy of a push that was carried out may come at any later time, and would start again what the worker
  // has forgotten: so it forgets under a higher token than any start was pushed under. Not while a push is on
  // its way, which would be refused; the next report tells again what it could forget.
  const bool fence = m.launch_token == token(m);
  if (!m.pending_forgets.empty() && !(fence && m.push_in_flight)) {
    if (fence) ++m.token_offset;
    for (const auto& f : m.pending_forgets) {
      if (out.size() >= kMaxOrders) break;
      out.push_back(f);
    }
  }
  m.pending_forgets.clear();
  if (launches && by_push) m.launch_token = token(m);
  return out;
}

std::vector<ShareController::Push> ShareController::pushes(Micros now, std::size_t most,
                                                           StartRefusal of_owner) {
  std::vector<Push> out;
  if (!loaded_) return out;
  for (auto it = view_.machines_to_contact.begin();
       it != view_.machines_to_contact.end() && out.size() < most;) {
    Machine& m = **it;
    bool wanted = (!m.accounted_for && now < m.lease_expires_at) || m.delivery.in_doubt();
    bool later = !m.accounted_for || m.delivery.in_doubt();
    for (const auto& [key, p] : m.tasks) {
      if (wanted) break;
      wanted = p.phase == AttemptPhase::assigned || (p.halting && now - p.halt_sent_at >= kRepeatHalt);
      later = later || p.halting;
    }
    it = wanted || later ? std::next(it) : view_.machines_to_contact.erase(it);
    if (!wanted || m.push_in_flight || now < m.next_push_at || m.record.address.empty()) continue;
    if (m.accounted_for && !m.up) continue;
    Push push{m.record.id, m.record.address, 0, m.session, {}};
    // To a machine that pushes don't reach, starts go with its reports: pushed first and fenced each time, a
    // task would never start where only workers can reach nodes (tests/node_test.cpp). Such a push asks
    // whether they reach it again, and repeats halts.
    const StartRefusal refusal = m.pushes_lost < kGivenUp ? of_owner : StartRefusal::pushes_lost;
    if (m.accounted_for) push.orders = take_orders(m, true, 0, refusal, now);
    push.token = token(m);  // the orders may take a higher one
    m.push_in_flight = true;
    out.push_back(std::move(push));
  }
  return out;
}

void ShareController::pushed(const std::string& machine, int status, const WorkerReport* report, Micros now) {
  auto it = view_.machines.find(machine);
  if (it == view_.machines.end()) return;
  Machine& m = it->second;
  m.push_in_flight = false;
  const int lost = std::exchange(m.pushes_lost, status == 200 || status == 409 ? 0 : m.pushes_lost + 1);
  if ((status == 200 || status == 409) && report) {
    for (auto p = m.tasks.begin(); p != m.tasks.end();) {
      auto here = p++;
      TaskAttempt& x = here->second;
      if (x.phase != AttemptPhase::sent || !x.sent_by_push || x.fence_token != 0) continue;
      if (status == 409)
        view_.free_attempt(m, here, now, FreeReason::push_refused);  // nothing was executed
      else
        x.sent_by_push = false, x.answer_seq = 0;  // executed: the next newer report shows it
    }
    if (m.delivery.on_token_seen(report->token, 0)) view_.note_new_capacity(m);
    apply(m, *report, false, now);
    if (status == 409) m.next_push_at = m.accounted_for ? now + kSecond / 2 : now;
    return;
  }
  // No answer: the orders may arrive minutes later (held packets), also after the task was placed elsewhere.
  // A higher token fences them; until a report shows that the worker has seen it, those tasks count as being
  // there.
  // Where pushes never arrive, reports have shown after the first whether answers do.
  if (lost == 0)
    doubt(m, now, "a push was not answered");
  else
    ++m.token_offset;
  const Micros longest = std::max(kPushAgain, kLongestPause * platform_.report);
  m.next_push_at = now + std::min(longest, kPushAgain << std::min(lost, kMostDoubled));
  for (auto& [key, p] : m.tasks)
    if (p.phase == AttemptPhase::sent && p.sent_by_push) p.fence_token = token(m);
}

}  // namespace aspenwick::share
