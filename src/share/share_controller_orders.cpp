// ShareController: orders to workers, in answers to their reports and in pushes. Decides which orders may be
// sent now, and what to assume of pushed orders whose answer was lost.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::WorkerReport;

namespace {
constexpr std::size_t kMaxOrdersPerAnswer = 300;  // keeps an answer well under 64 KiB
constexpr Micros kHaltRepeatInterval = kSecond;
constexpr Micros kPushRetryDelay = 2 * kSecond;  // doubled after each further lost push
constexpr int kMaxPushRetryDoublings = 5;
constexpr Micros kMaxPushRetryReportIntervals = 4;  // upper bound of the retry delay, in report intervals
}  // namespace

/// Final check before an order to start an attempt is sent. An attempt whose start would break an invariant
/// is dropped, not retried.
bool ShareController::start_allowed(Machine& m, std::map<TaskKey, TaskAttempt>::iterator attempt,
                                    StartRefusal owner_refusal, Micros now) {
  using place::Invariant;
  const StartRefusal why = place::start_refusal(view_, m, attempt->second, owner_refusal);
  if (why == StartRefusal::none) return true;
  count_start_refusal(why);
  if (!place::breaks_invariant(why)) return false;
  const TaskAttempt& p = attempt->second;
  const auto which =
      why == StartRefusal::other_attempt ? Invariant::one_attempt_of_a_task : Invariant::done_is_final;
  place::report_violation(which, p.job_id + "/" + std::to_string(p.index) + " attempt " +
                                     std::to_string(p.attempt) + " on " + m.record.id + ", epoch " +
                                     std::to_string(epoch_) + ": " + std::string(place::to_string(why)));
  view_.free_attempt(m, attempt, now, FreeReason::refused);
  return false;
}

/// Returns the orders for the machine and marks them as sent. `answer_seq`: sequence number of the report
/// that the orders answer; 0 for a push. May raise the machine's token: read current_token() afterwards.
std::vector<Order> ShareController::take_orders(Machine& m, bool by_push, std::uint64_t answer_seq,
                                                StartRefusal owner_refusal, Micros now) {
  std::vector<Order> out;
  bool has_starts = false;
  for (auto it = m.tasks.begin(); it != m.tasks.end() && out.size() < kMaxOrdersPerAnswer;) {
    auto current = it++;
    TaskAttempt& p = current->second;
    if (p.halting) {
      if (p.phase == AttemptPhase::assigned) {
        view_.free_attempt(m, current, now, FreeReason::never_sent);
      } else if (!by_push || now - p.halt_sent_at >= kHaltRepeatInterval) {
        p.halt_sent_at = now;
        out.push_back({Order::Verb::halt, p.job_id, p.index, p.attempt, p.grace});
      }
      continue;
    }
    if (p.phase != AttemptPhase::assigned || !start_allowed(m, current, owner_refusal, now)) continue;
    p.phase = AttemptPhase::sent;
    p.sent_by_push = by_push;
    p.answer_seq = answer_seq;
    p.started_at = now;
    has_starts = true;
    out.push_back({Order::Verb::launch, p.job_id, p.index, p.attempt, 0});
    spdlog::debug("starting {}/{} attempt {} on {}, session {}, token {}, by {}", p.job_id, p.index,
                  p.attempt, m.record.id, m.session, current_token(m), by_push ? "push" : "answer");
  }
  // Halt orders come before launch orders, because they free resources.
  std::stable_partition(out.begin(), out.end(), [](const Order& o) { return o.verb != Order::Verb::launch; });
  // A copy of an executed push may arrive at any later time, and would restart tasks whose results the worker
  // has forgotten. So forget orders are sent under a higher token than any pushed start. They are not sent
  // while a push is in flight, because the worker would refuse that push; the next report lists the same
  // results again.
  const bool needs_fence = m.start_push_token == current_token(m);
  if (!m.pending_forgets.empty() && !(needs_fence && m.push_in_flight)) {
    if (needs_fence) ++m.token_offset;
    for (const auto& f : m.pending_forgets) {
      if (out.size() >= kMaxOrdersPerAnswer) break;
      out.push_back(f);
    }
  }
  m.pending_forgets.clear();
  if (has_starts && by_push) m.start_push_token = current_token(m);
  return out;
}

std::vector<ShareController::OrderPush> ShareController::take_pushes(Micros now, std::size_t max_pushes,
                                                                     StartRefusal owner_refusal) {
  std::vector<OrderPush> out;
  if (!loaded_) return out;
  for (auto it = view_.machines_to_contact.begin();
       it != view_.machines_to_contact.end() && out.size() < max_pushes;) {
    Machine& m = **it;
    bool wanted = (!m.accounted_for && now < m.lease_expires_at) || m.delivery.in_doubt();
    bool later = !m.accounted_for || m.delivery.in_doubt();
    for (const auto& [key, p] : m.tasks) {
      if (wanted) break;
      wanted =
          p.phase == AttemptPhase::assigned || (p.halting && now - p.halt_sent_at >= kHaltRepeatInterval);
      later = later || p.halting;
    }
    it = wanted || later ? std::next(it) : view_.machines_to_contact.erase(it);
    if (!wanted || m.push_in_flight || now < m.next_push_at || m.record.address.empty()) continue;
    if (m.accounted_for && !m.up) continue;
    OrderPush push{m.record.id, m.record.address, 0, m.session, {}};
    // If pushes do not reach the machine, tasks are started only in answers to its reports. If starts were
    // pushed first and fenced each time, a task would never start in a network where only the workers can
    // open connections to the nodes (tests/node_test.cpp). A push without starts checks whether pushes arrive
    // again, and repeats halt orders.
    const StartRefusal refusal = m.pushes_lost < kMaxLostPushes ? owner_refusal : StartRefusal::pushes_lost;
    if (m.accounted_for) push.orders = take_orders(m, true, 0, refusal, now);
    push.token = current_token(m);  // taking the orders may have raised it
    m.push_in_flight = true;
    out.push_back(std::move(push));
  }
  return out;
}

void ShareController::on_push_result(const std::string& machine, int status, const WorkerReport* report,
                                     Micros now) {
  auto it = view_.machines.find(machine);
  if (it == view_.machines.end()) return;
  Machine& m = it->second;
  m.push_in_flight = false;
  const int lost_before =
      std::exchange(m.pushes_lost, status == 200 || status == 409 ? 0 : m.pushes_lost + 1);
  if ((status == 200 || status == 409) && report) {
    for (auto p = m.tasks.begin(); p != m.tasks.end();) {
      auto current = p++;
      TaskAttempt& placed = current->second;
      if (placed.phase != AttemptPhase::sent || !placed.sent_by_push || placed.fence_token != 0) continue;
      if (status == 409)
        view_.free_attempt(m, current, now, FreeReason::push_refused);  // none of its orders was executed
      else
        placed.sent_by_push = false, placed.answer_seq = 0;  // executed: the next newer report lists it
    }
    if (m.delivery.on_token_seen(report->token, 0)) view_.note_new_capacity(m);
    apply_report(m, *report, false, now);
    if (status == 409) m.next_push_at = m.accounted_for ? now + kSecond / 2 : now;
    return;
  }
  // No answer: the orders may still arrive minutes later (delayed packets), even after the task was placed
  // elsewhere. A higher token fences them. Until a report shows that the worker has seen that token, the
  // pushed attempts count as being on the machine. Only the first of several lost pushes puts the machine in
  // doubt: if pushes never arrive, the reports since then have shown whether answers do.
  if (lost_before == 0)
    mark_delivery_in_doubt(m, now, "a push got no answer");
  else
    ++m.token_offset;
  const Micros longest = std::max(kPushRetryDelay, kMaxPushRetryReportIntervals * platform_.report_interval);
  m.next_push_at = now + std::min(longest, kPushRetryDelay << std::min(lost_before, kMaxPushRetryDoublings));
  for (auto& [key, p] : m.tasks)
    if (p.phase == AttemptPhase::sent && p.sent_by_push) p.fence_token = current_token(m);
}

}  // namespace aspenwick::share
