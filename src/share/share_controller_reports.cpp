// What a worker's report tells: which attempts are there, which have ended and why, and whether the machine
// is accounted for.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::Cause;
using wire::Shape;
using wire::TaskReport;
using wire::TaskState;
using wire::WorkerReport;

namespace {
constexpr int kMostInVain = 2;  // answers that did not arrive, where pushes may do
}  // namespace

/// A worker has one report in flight and drops answers to any other, and to those of earlier sessions. One
/// that the answer to a push overtook is still waited for: its answer renews the lease, so it has to count,
/// or the machine's tasks are started elsewhere while they still run there.
ShareController::ReportOrder ShareController::order_of(const Machine& m, const WorkerReport& r) {
  if (std::pair{r.session, r.seq} > std::pair{m.session, m.seq}) return ReportOrder::newest;
  const bool waited_for = r.session == m.session && r.seq > m.own_report_seq;
  return waited_for ? ReportOrder::overtaken : ReportOrder::copy;
}

std::optional<ShareController::Answer> ShareController::on_report(const WorkerReport& r, Micros now,
                                                                  StartRefusal of_owner) {
  auto it = view_.machines.find(r.machine);
  if (it == view_.machines.end()) return {};
  Machine& m = it->second;
  // A worker that has seen a higher token has another owner: our answer would be dropped.
  if (r.token > token(m)) return {};
  // Late or repeated reports (held packets) must not undo newer ones. Nobody waits for the answer to a copy.
  const ReportOrder order = order_of(m, r);
  if (order == ReportOrder::copy) return Answer{token(m), {}};
  if (order == ReportOrder::newest) {
    if (m.delivery.on_token_seen(r.token, floor(m))) view_.note_new_capacity(m);
    apply(m, r, true, now);
  }
  m.own_report_seq = r.seq;
  // Our answers don't reach it, nor do pushes: each further one would only put off the moment from which its
  // lease has surely lapsed, and what may be on it would hold up the share for as long as it reports.
  const int enough = m.pushes_lost >= kGivenUp ? 1 : kMostInVain;
  if (!m.accounted_for && m.delivery.lost_answers() >= enough) return {};
  m.delivery.on_answer_sent();
  // Never sooner than before: a copy of an old report may come in the seconds in which the former owner, cut
  // off, still answers the worker itself.
  m.lease_expires_at = std::max(m.lease_expires_at, surely_lapsed(now));
  if (order == ReportOrder::overtaken) return Answer{token(m), {}};
  auto orders = take_orders(m, false, r.seq, of_owner, now);
  return Answer{token(m), std::move(orders)};  // the orders may take a higher token
}

bool ShareController::apply(Machine& m, const WorkerReport& r, bool own_report, Micros now) {
  if (std::pair{r.session, r.seq} <= std::pair{m.session, m.seq}) return false;
  if (r.session > m.session) {
    const Micros answered = m.lease_expires_at - surely_lapsed(0);
    const bool unheard = m.session != 0 && m.accounted_for && m.up && now - answered < platform_.worker_lease;
    if (m.session != 0) lapse(m, now, FreeReason::new_session);
    // A session's lease runs from its beginning, with no report answered: seen through a push, it may have
    // begun just now, and what we start in it lives that long. Before a machine is accounted for we start
    // nothing, and its former owner knew no session that began after it.
    if (m.accounted_for) m.lease_expires_at = std::max(m.lease_expires_at, surely_lapsed(now));
    // A session ends when no answer arrives for a lease, and by our book some did.
    if (unheard) doubt(m, now, "its session ended between our answers");
    m.own_report_seq = 0;
  }
  m.session = r.session;
  m.seq = r.seq;
  m.seen_token = std::max(m.seen_token, r.token);
  if (!m.up) view_.note_new_capacity(m);
  m.up = true;
  m.last_report = now;
  m.record.address = r.address;
  if (r.notice && !m.reclaim_at) {
    m.reclaim_at = now + *r.notice;
    spdlog::info("machine {} will be taken in {:.1f} s", m.record.id, to_seconds(*r.notice));
  }
  m.pending_forgets.clear();
  const auto results_before = std::exchange(m.results, {});
  std::set<TaskKey> seen;
  for (const auto& t : r.tasks) {
    if (t.state == TaskState::exited) {
      task_exited(m, t, now);
      keep_or_forget(m, t, results_before, now);
      continue;
    }
    TaskKey key{t.job, t.index};
    auto p = m.tasks.find(key);
    if (p != m.tasks.end() && p->second.attempt != t.attempt) {
      // The machine holds another attempt than the one we meant: what it holds is the truth.
      if (p->second.phase == AttemptPhase::assigned || t.attempt > p->second.attempt)
        view_.free_attempt(m, p, now, FreeReason::replaced);
      p = m.tasks.find(key);
    }
    seen.insert(key);
    if (p == m.tasks.end()) {
      adopt(m, t, now);
      continue;
    }
    if (p->second.attempt != t.attempt) continue;
    p->second.fence_token = 0;
    if (t.state == TaskState::running && p->second.running_since == 0) {
      p->second.running_since = now;
      if (p->second.job && p->second.phase != AttemptPhase::running)
        waits_.push_back(now - p->second.job->ready);
    }
    if (t.state != TaskState::fetching && p->second.phase != AttemptPhase::running && p->second.job)
      m.note_image_use(*p->second.job->spec);
    if (p->second.phase < AttemptPhase::reported && p->second.job) p->second.job->waiting_since = now;
    p->second.phase = t.state == TaskState::running ? AttemptPhase::running : AttemptPhase::reported;
    p->second.fetching = t.state == TaskState::fetching;
    if (Job* j = p->second.job; j && j->incomplete_attempt == t.attempt && !p->second.fetching)
      view_.halt(p->second, 0);  // it has the image now, see ClusterView::end_gang_attempt
  }
  bool unheard = false;
  for (auto p = m.tasks.begin(); p != m.tasks.end();) {
    auto here = p++;
    const TaskAttempt& x = here->second;
    if (seen.contains(here->first) || x.phase == AttemptPhase::assigned) continue;
    bool gone = true;
    if (x.phase == AttemptPhase::sent) {
      // An order in an answer was carried out or dropped before the next report is sent; an order pushed may
      // still arrive, however late, until the worker has seen a higher token.
      gone = x.sent_by_push ? x.fence_token != 0 && r.token >= x.fence_token
                            : own_report && r.seq > x.answer_seq;
      unheard |= gone && !x.sent_by_push && x.answer_seq != 0;
    }
    if (gone)
      view_.free_attempt(m, here, now, x.fence_token != 0 ? FreeReason::fenced : FreeReason::not_listed);
  }
  if (unheard) doubt(m, now, "an answer did not arrive");
  if (!m.accounted_for && r.token >= floor(m)) {
    m.accounted_for = true;
    m.lease_expires_at = std::max(m.lease_expires_at, surely_lapsed(now));  // of this session, as above
    view_.note_new_capacity(m);
    check_rebuilt(now);
  }
  return true;
}

void ShareController::task_exited(Machine& m, const TaskReport& t, Micros now) {
  auto p = m.tasks.find({t.job, t.index});
  auto it = view_.jobs.find(t.job);
  Job* j = it == view_.jobs.end() ? nullptr : it->second.get();
  const bool ours = p != m.tasks.end() && p->second.attempt == t.attempt;
  if (t.cause == Cause::done && j && t.index < j->spec->tasks) {
    const bool news = set_done(*j, t.index);
    if (ours && (news || j->spec->shape == Shape::gang)) task_done(*j, m, p->second, now);
    // With its last task a job that is over goes from the view, and `j` with it.
    if (ours) view_.free_attempt(m, p, now, FreeReason::done);
    it = view_.jobs.find(t.job);
    if (it == view_.jobs.end()) return;
    // An attempt of it elsewhere has nothing left to do.
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
  if (ours) {
    if (t.cause == Cause::error && j) task_failed(*j, m, now);
    if (t.cause == Cause::no_room && j) j->not_before = std::max(j->not_before, now + 200 * kMillisecond);
    if (t.cause == Cause::gang_incomplete && j) j->incomplete_attempt = t.attempt;
    if (t.cause == Cause::unknown && j) j->not_before = now + 2 * kSecond;
    spdlog::debug("exited {}/{} try {} on {} cause {}", t.job, t.index, t.attempt, m.record.id,
                  static_cast<int>(t.cause));
    view_.free_attempt(m, p, now, FreeReason::exited);
  }
}

/// true: that was not known yet.
bool ShareController::set_done(Job& j, std::uint32_t index) {
  if (!j.done.set(index)) return false;
  j.dirty_units.insert(index / DoneSet::kUnit);
  j.to_restart.erase(index);
  gang_done(j);
  return true;
}

/// A gang completes together: where one task is done, all are. The others' machines may be gone before they
/// tell it; started without the done one, the rest would wait for it, again and again, and the job never end.
void ShareController::gang_done(Job& j) {
  if (j.spec->shape != Shape::gang || j.done.count() == 0) return;
  for (std::uint32_t i = 0; i < j.spec->tasks; ++i)
    if (j.done.set(i)) j.dirty_units.insert(i / DoneSet::kUnit);
  j.to_restart.clear();
}

void ShareController::task_done(Job& j, Machine& m, const TaskAttempt& p, Micros now) {
  m.error_jobs.clear();
  if (p.running_since == 0 || j.spec->shape == Shape::service) return;
  const double run = std::max(0.05, to_seconds(now - p.running_since));
  j.run_seconds += run;
  ++j.finished_runs;
  const double goal = settings_.rnn.relative_goals ? run / (j.run_seconds / j.finished_runs) : run;
  placement_.rnn().learn(m.neuron, goal);
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("learn {} goal {:.3f} threshold {:.3f} q {:.4f}", m.record.id, goal,
                  placement_.rnn().threshold(), placement_.rnn().q(m.neuron));
}

void ShareController::task_failed(Job& j, Machine& m, Micros now) {
  ++j.error_count;
  // Not for good: where it is the only machine with room, the job would wait there for ever.
  std::erase_if(j.avoided_machines, [&](const auto& bad) { return bad.second <= now; });
  j.avoided_machines[m.record.id] = now + settings_.suspect_for;
  m.error_jobs.insert(j.id);
  if (j.avoided_machines.size() >= 3) {
    // It fails wherever it runs: the job is to blame. It backs off, and the machines are cleared of it.
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

void ShareController::lapse(Machine& m, Micros now, FreeReason why) {
  if (!m.tasks.empty())
    spdlog::info("machine {}: {} tasks gone ({})", m.record.id, m.tasks.size(), place::to_string(why));
  while (!m.tasks.empty()) view_.free_attempt(m, m.tasks.begin(), now, why);
  m.pending_forgets.clear();
  m.results.clear();  // the worker has forgotten them with the session
}

/// Its reports arrive, but what we send seems not to. Under a new token its reports will tell; until then
/// nothing new is given to it, and what was not sent yet goes elsewhere.
void ShareController::doubt(Machine& m, Micros now, const char* why) {
  ++m.token_offset;
  if (!m.delivery.in_doubt()) spdlog::debug("machine {} is in doubt: {}", m.record.id, why);
  m.delivery.doubt(token(m), now);
  view_.machines_to_contact.insert(&m);  // to be asked at once
  for (auto it = m.tasks.begin(); it != m.tasks.end();) {
    auto here = it++;
    if (here->second.phase == AttemptPhase::assigned)
      view_.free_attempt(m, here, now, FreeReason::never_sent);
  }
}

}  // namespace aspenwick::share
