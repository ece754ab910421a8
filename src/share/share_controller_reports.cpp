// ShareController: handling of worker reports. They show which attempts are on the machine, which have ended
// and why, and whether the machine is accounted for.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::ExitCause;
using wire::Shape;
using wire::TaskReport;
using wire::TaskState;
using wire::WorkerReport;

namespace {
constexpr int kMaxUnreceivedAnswers = 2;  // consecutive lost answers, if pushes may arrive
}  // namespace

/// A worker has one report in flight and drops answers to any other report, or to one of an earlier session.
/// A report that was overtaken by the answer to a push is still in flight: the worker takes our answer to it
/// as a renewal of its lease. So that answer must extend the lease here too, or the machine's tasks would be
/// started elsewhere while they still run there.
ShareController::ReportFreshness ShareController::freshness_of(const Machine& m, const WorkerReport& r) {
  if (std::pair{r.session, r.seq} > std::pair{m.session, m.seq}) return ReportFreshness::newest;
  const bool waited_for = r.session == m.session && r.seq > m.own_report_seq;
  return waited_for ? ReportFreshness::overtaken : ReportFreshness::obsolete;
}

std::optional<ShareController::ReportAnswer> ShareController::on_report(const WorkerReport& r, Micros now,
                                                                        StartRefusal owner_refusal) {
  auto it = view_.machines.find(r.machine);
  if (it == view_.machines.end()) return {};
  Machine& m = it->second;
  // A worker that has seen a higher token has another owner and would drop our answer.
  if (r.token > current_token(m)) return {};
  // Late or repeated reports (delayed packets) must not undo newer ones. No worker waits for the answer to an
  // obsolete report.
  const ReportFreshness freshness = freshness_of(m, r);
  if (freshness == ReportFreshness::obsolete) return ReportAnswer{current_token(m), {}};
  if (freshness == ReportFreshness::newest) {
    if (m.delivery.on_token_seen(r.token, min_token(m))) view_.note_new_capacity(m);
    apply_report(m, r, true, now);
  }
  m.own_report_seq = r.seq;
  // If neither our answers nor pushes reach the worker, each further answer would only postpone the time at
  // which its lease has certainly expired. The attempts that may be on the machine would then block the share
  // for as long as the worker reports.
  const int max_unreceived = m.pushes_lost >= kMaxLostPushes ? 1 : kMaxUnreceivedAnswers;
  if (!m.accounted_for && m.delivery.lost_answers() >= max_unreceived) return {};
  m.delivery.on_answer_sent();
  // The end of the lease never moves to an earlier time: a copy of an old report may arrive in the seconds in
  // which the former owner, cut off, still answers the worker itself.
  m.lease_expires_at = std::max(m.lease_expires_at, latest_lease_end(now));
  if (freshness == ReportFreshness::overtaken) return ReportAnswer{current_token(m), {}};
  auto orders = take_orders(m, false, r.seq, owner_refusal, now);
  return ReportAnswer{current_token(m), std::move(orders)};  // taking the orders may have raised the token
}

/// Updates the machine from a report; returns false if the report is not newer than the last one applied.
/// `own_report`: the worker sent it on its own, not in answer to a push.
bool ShareController::apply_report(Machine& m, const WorkerReport& r, bool own_report, Micros now) {
  if (std::pair{r.session, r.seq} <= std::pair{m.session, m.seq}) return false;
  if (r.session > m.session) {
    const Micros answered = m.lease_expires_at - latest_lease_end(0);
    const bool answers_lost =
        m.session != 0 && m.accounted_for && m.up && now - answered < platform_.worker_lease;
    if (m.session != 0) free_all_attempts(m, now, FreeReason::new_session);
    // A session's lease starts with the session, before any report is answered. If the session became known
    // through a push, it may have begun just now, and an attempt that we start in it lives for that lease.
    // Before a machine is accounted for we start nothing on it, and its former owner knew no session that
    // began later.
    if (m.accounted_for) m.lease_expires_at = std::max(m.lease_expires_at, latest_lease_end(now));
    // A session ends when no answer arrives for the length of a lease, but answers were sent in that time.
    if (answers_lost) mark_delivery_in_doubt(m, now, "its session ended although answers were sent");
    m.own_report_seq = 0;
  }
  m.session = r.session;
  m.seq = r.seq;
  m.seen_token = std::max(m.seen_token, r.token);
  if (!m.up) view_.note_new_capacity(m);
  m.up = true;
  m.last_report = now;
  m.record.address = r.address;
  if (r.reclaim_notice && !m.reclaim_at) {
    m.reclaim_at = now + *r.reclaim_notice;
    spdlog::info("machine {}: the cloud takes it back in {:.1f} s", m.record.id,
                 to_seconds(*r.reclaim_notice));
  }
  m.pending_forgets.clear();
  const auto results_before = std::exchange(m.results, {});
  std::set<TaskKey> seen;
  for (const auto& t : r.tasks) {
    if (t.state == TaskState::exited) {
      on_task_exited(m, t, now);
      retain_or_forget_result(m, t, results_before, now);
      continue;
    }
    TaskKey key{t.job, t.index};
    auto p = m.tasks.find(key);
    if (p != m.tasks.end() && p->second.attempt != t.attempt) {
      // The machine holds a different attempt than the one listed here: the machine's report takes
      // precedence.
      if (p->second.phase == AttemptPhase::assigned || t.attempt > p->second.attempt)
        view_.free_attempt(m, p, now, FreeReason::replaced);
      p = m.tasks.find(key);
    }
    seen.insert(key);
    if (p == m.tasks.end()) {
      add_reported_attempt(m, t, now);
      continue;
    }
    if (p->second.attempt != t.attempt) continue;
    p->second.fence_token = 0;
    if (t.state == TaskState::running && p->second.running_since == 0) {
      p->second.running_since = now;
      if (p->second.job && p->second.phase != AttemptPhase::running)
        start_waits_.push_back(now - p->second.job->ready);
    }
    if (t.state != TaskState::fetching && p->second.phase != AttemptPhase::running && p->second.job)
      m.note_image_use(*p->second.job->spec);
    if (p->second.phase < AttemptPhase::reported && p->second.job) p->second.job->waiting_since = now;
    p->second.phase = t.state == TaskState::running ? AttemptPhase::running : AttemptPhase::reported;
    p->second.fetching = t.state == TaskState::fetching;
    if (Job* j = p->second.job; j && j->incomplete_attempt == t.attempt && !p->second.fetching)
      view_.halt(p->second, 0);  // the image is there now; see ClusterView::end_gang_attempt
  }
  bool answers_lost = false;
  for (auto p = m.tasks.begin(); p != m.tasks.end();) {
    auto current = p++;
    const TaskAttempt& placed = current->second;
    if (seen.contains(current->first) || placed.phase == AttemptPhase::assigned) continue;
    bool gone = true;
    if (placed.phase == AttemptPhase::sent) {
      // The worker executes or drops an order in an answer before it sends its next report. A pushed order
      // may arrive at any later time, until the worker has seen a higher token.
      gone = placed.sent_by_push ? placed.fence_token != 0 && r.token >= placed.fence_token
                                 : own_report && r.seq > placed.answer_seq;
      answers_lost |= gone && !placed.sent_by_push && placed.answer_seq != 0;
    }
    if (gone)
      view_.free_attempt(m, current, now,
                         placed.fence_token != 0 ? FreeReason::fenced : FreeReason::not_listed);
  }
  if (answers_lost) mark_delivery_in_doubt(m, now, "an answer did not arrive");
  if (!m.accounted_for && r.token >= min_token(m)) {
    m.accounted_for = true;
    m.lease_expires_at =
        std::max(m.lease_expires_at, latest_lease_end(now));  // the lease of this session, see above
    view_.note_new_capacity(m);
    update_all_accounted_for(now);
  }
  return true;
}

void ShareController::on_task_exited(Machine& m, const TaskReport& t, Micros now) {
  auto p = m.tasks.find({t.job, t.index});
  auto it = view_.jobs.find(t.job);
  Job* j = it == view_.jobs.end() ? nullptr : it->second.get();
  const bool tracked = p != m.tasks.end() && p->second.attempt == t.attempt;
  if (t.cause == ExitCause::done && j && t.index < j->spec->tasks) {
    const bool newly_done = mark_done(*j, t.index);
    if (tracked && (newly_done || j->spec->shape == Shape::gang)) on_task_succeeded(*j, m, p->second, now);
    // Dropping the last attempt of a finished job removes the job from the view, which invalidates `j`.
    if (tracked) view_.free_attempt(m, p, now, FreeReason::done);
    it = view_.jobs.find(t.job);
    if (it == view_.jobs.end()) return;
    // An attempt of the same task on another machine is no longer needed.
    if (auto a = it->second->active.find(t.index); a != it->second->active.end()) {
      Machine& other = *a->second;
      auto q = other.tasks.find({t.job, t.index});
      if (q != other.tasks.end()) {
        if (q->second.phase == AttemptPhase::assigned)
          view_.free_attempt(other, q, now, FreeReason::done);
        else
          view_.halt(q->second, 0);
      }
    }
    view_.erase_if_over(t.job);
    return;
  }
  if (tracked) {
    if (t.cause == ExitCause::error && j) on_task_failed(*j, m, now);
    if (t.cause == ExitCause::no_room && j) j->not_before = std::max(j->not_before, now + 200 * kMillisecond);
    if (t.cause == ExitCause::gang_incomplete && j) j->incomplete_attempt = t.attempt;
    if (t.cause == ExitCause::unknown && j) j->not_before = now + 2 * kSecond;
    spdlog::debug("exited {}/{} attempt {} on {}, cause {}", t.job, t.index, t.attempt, m.record.id,
                  static_cast<int>(t.cause));
    view_.free_attempt(m, p, now, FreeReason::exited);
  }
}

/// Marks a task as done. Returns whether that is new.
bool ShareController::mark_done(Job& j, std::uint32_t index) {
  if (!j.done.set(index)) return false;
  j.dirty_units.insert(index / DoneSet::kUnitTasks);
  j.to_restart.erase(index);
  complete_gang(j);
  return true;
}

/// Marks all tasks of a gang as done once one of them is, since a gang completes together. The machines of
/// the other tasks may be gone before they report it. If those tasks were started again without the one that
/// is done, they would wait for it each time, and the job would never end.
void ShareController::complete_gang(Job& j) {
  if (j.spec->shape != Shape::gang || j.done.count() == 0) return;
  for (std::uint32_t i = 0; i < j.spec->tasks; ++i)
    if (j.done.set(i)) j.dirty_units.insert(i / DoneSet::kUnitTasks);
  j.to_restart.clear();
}

/// Clears the machine's errors and feeds the task's run time to the placement learner.
void ShareController::on_task_succeeded(Job& j, Machine& m, const TaskAttempt& p, Micros now) {
  m.error_jobs.clear();
  if (p.running_since == 0 || j.spec->shape == Shape::service) return;
  const double run = std::max(0.05, to_seconds(now - p.running_since));
  j.run_seconds += run;
  ++j.finished_runs;
  const double goal = settings_.rnn.relative_goals ? run / (j.run_seconds / j.finished_runs) : run;
  placement_.rnn().learn(m.neuron, goal);
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("learned from a task on {}: goal {:.3f}, threshold {:.3f}, q {:.4f}", m.record.id, goal,
                  placement_.rnn().threshold(), placement_.rnn().q(m.neuron));
}

/// Counts an error against the job and the machine, and decides which of the two is at fault.
void ShareController::on_task_failed(Job& j, Machine& m, Micros now) {
  ++j.error_count;
  // A machine is avoided only for some time: if it is the only one with capacity, the job would wait forever.
  std::erase_if(j.avoided_machines, [&](const auto& bad) { return bad.second <= now; });
  j.avoided_machines[m.record.id] = now + settings_.suspect_for;
  m.error_jobs.insert(j.id);
  if (j.avoided_machines.size() >= 3) {
    // The job fails on every machine, so the job is at fault: it backs off, and its errors no longer count
    // against the machines.
    j.not_before =
        now + std::min<Micros>(60 * kSecond, settings_.error_backoff << std::min(j.error_count, 5));
    for (const auto& [id, until] : j.avoided_machines)
      if (auto it = view_.machines.find(id); it != view_.machines.end()) {
        it->second.error_jobs.erase(j.id);
        it->second.suspect_until = 0;
        view_.note_new_capacity();
      }
    j.avoided_machines.clear();
  } else if (static_cast<int>(m.error_jobs.size()) >= 2) {
    m.suspect_until = now + settings_.suspect_for;
    spdlog::info("machine {} is suspect: tasks of {} jobs failed on it", m.record.id, m.error_jobs.size());
  }
}

/// Frees all attempts and drops all results of a machine whose worker has certainly lost them.
void ShareController::free_all_attempts(Machine& m, Micros now, FreeReason why) {
  if (!m.tasks.empty())
    spdlog::info("machine {}: freed {} attempts ({})", m.record.id, m.tasks.size(), place::to_string(why));
  while (!m.tasks.empty()) view_.free_attempt(m, m.tasks.begin(), now, why);
  m.pending_forgets.clear();
  m.results.clear();  // the worker loses them with its session
}

/// Puts the machine in doubt: its reports arrive, but our messages to it seem to get lost. Raises its token,
/// so that a report which shows the new token proves that a message has arrived. Until then nothing is placed
/// on the machine, and attempts whose orders were not sent yet are placed elsewhere.
void ShareController::mark_delivery_in_doubt(Machine& m, Micros now, const char* why) {
  ++m.token_offset;
  if (!m.delivery.in_doubt()) spdlog::debug("machine {} is in doubt: {}", m.record.id, why);
  m.delivery.mark_in_doubt(current_token(m), now);
  view_.machines_to_contact.insert(&m);  // push to it at once, to get a report
  for (auto it = m.tasks.begin(); it != m.tasks.end();) {
    auto current = it++;
    if (current->second.phase == AttemptPhase::assigned)
      view_.free_attempt(m, current, now, FreeReason::never_sent);
  }
}

}  // namespace aspenwick::share
