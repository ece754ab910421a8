// Attempts that machines report, to the jobs that they belong to. A report may come before its job's record
// was read: that no record is known is no knowledge that there is none. Until the records are known as of a
// moment after the report, the attempt stays in the account of its machine and holds it and its task.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::TaskReport;
using wire::TaskState;

ShareController::JobStanding ShareController::standing_of(const std::string& job) const {
  if (view_.jobs.contains(job)) return JobStanding::planned;
  const JobRecord* record = lookup_(job);
  if (record && record->final()) return JobStanding::over;
  if (!record || !record->spec) return JobStanding::not_known;  // or not whole yet
  // A job of ours that is not planned waits for others, as far as we know.
  const bool ours = !settings_.owns_team || settings_.owns_team(record->spec->team);
  return ours ? JobStanding::not_known : JobStanding::of_another_share;
}

/// Its job's record may still be on its way to us, or is there and not whole.
bool ShareController::may_have_a_job(const TaskAttempt& p) const {
  const JobRecord* record = lookup_(p.job_id);
  return records_as_of_ <= p.started_at || (record && !record->spec);
}

/// One of its attempts may be of any team.
bool ShareController::awaits_records(const Machine& m) const {
  return m.unattributed > 0 && std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
           return t.second.unattributed && records_as_of_ <= t.second.started_at;
         });
}

/// An attempt that the machine reports and its account doesn't have.
void ShareController::adopt(Machine& m, const TaskReport& t, Micros now) {
  TaskAttempt p;
  p.job_id = t.job;
  p.index = t.index;
  p.attempt = t.attempt;
  p.phase = t.state == TaskState::running ? AttemptPhase::running : AttemptPhase::reported;
  p.fetching = t.state == TaskState::fetching;
  p.started_at = now;
  account_for(m, std::move(p), now);
}

void ShareController::account_for(Machine& m, TaskAttempt p, Micros now) {
  const JobRecord* record = lookup_(p.job_id);
  switch (standing_of(p.job_id)) {
    case JobStanding::planned: {
      Job& job = *view_.jobs.at(p.job_id);
      return account_for_planned(job, m, std::move(p), now);
    }
    case JobStanding::over:
    case JobStanding::of_another_share:
      // What is over holds its place and counts against its team until it is gone.
      if (record->spec) p.need = record->spec->need, p.team = record->spec->team;
      view_.halt(p, 0);
      break;
    case JobStanding::not_known:
      p.unattributed = may_have_a_job(p);
      if (p.unattributed) break;
      // Started before we heard of it, its job would have a record by now; or it waits for others, and
      // nothing of it may run.
      spdlog::info("machine {}: {}/{} try {} is stopped: no job that may run", m.record.id, p.job_id, p.index,
                   p.attempt);
      ++attribution_.dropped_attempts;
      view_.halt(p, 0);
      break;
  }
  view_.add_attempt(m, std::move(p));
}

void ShareController::account_for_planned(Job& j, Machine& m, TaskAttempt p, Micros now) {
  if (p.index >= j.spec->tasks) {  // no task of it
    view_.halt(p, 0);
    return view_.add_attempt(m, std::move(p));
  }
  p.need = j.spec->need;
  p.team = j.spec->team;
  if (auto a = j.active.find(p.index); a != j.active.end()) {
    // Meant for another machine and not sent yet: what runs stays, or the task would run twice.
    Machine& other = *a->second;
    auto q = other.tasks.find({p.job_id, p.index});
    if (q != other.tasks.end() && q->second.phase == AttemptPhase::assigned)
      view_.free_attempt(other, q, now, FreeReason::runs_elsewhere);
  }
  if (j.active.contains(p.index)) {
    view_.halt(p, 0);
  } else {
    p.job = &j;
    if (j.cancelled || j.finished || j.done.test(p.index))
      view_.halt(p, 0);  // over, but it must be seen to go
    else if (!p.fetching)
      m.note_image_use(*j.spec);
  }
  view_.add_attempt(m, std::move(p));
}

/// A job that is planned from now on: what its machines reported before. Results first, so that a done task's
/// other attempt is stopped.
void ShareController::attribute(Job& j, Micros now) {
  const auto of_job = [&j](const auto& entries, auto it) {
    return it != entries.end() && it->first.first == j.id;
  };
  for (const Machine* m : view_.machines_by_id)
    for (auto it = m->results.lower_bound({j.id, 0}); of_job(m->results, it); ++it)
      if (it->first.second < j.spec->tasks && set_done(j, it->first.second))
        ++attribution_.attributed_results;
  if (view_.unattributed == 0) return;
  for (Machine* m : view_.machines_by_id) {
    if (m->unattributed == 0) continue;
    for (auto it = m->tasks.lower_bound({j.id, 0}); of_job(m->tasks, it);) {
      auto here = it++;
      if (!here->second.unattributed) continue;
      ++attribution_.attributed_attempts;
      account_for(*m, view_.take_unattributed(*m, here), now);
    }
  }
  check_rebuilt(now);
}

/// What is over, another share's, or no job's by records read since.
void ShareController::attribute_open(Micros now) {
  if (view_.unattributed == 0) return;
  for (Machine* m : view_.machines_by_id) {
    for (auto it = m->tasks.begin(); m->unattributed > 0 && it != m->tasks.end();) {
      auto here = it++;
      const TaskAttempt& p = here->second;
      if (!p.unattributed) continue;
      const bool open = standing_of(p.job_id) == JobStanding::not_known;
      if (open && may_have_a_job(p)) continue;
      if (!open) ++attribution_.attributed_attempts;
      account_for(*m, view_.take_unattributed(*m, here), now);
    }
  }
  check_rebuilt(now);
}

ShareController::Attribution ShareController::attribution() const {
  Attribution now = attribution_;
  now.open_attempts = view_.unattributed;
  for (const Machine* m : view_.machines_by_id)
    for (const auto& [task, result] : m->results)
      if (standing_of(task.first) == JobStanding::not_known && result_needed(task, result.first_reported))
        ++now.open_results;
  return now;
}

}  // namespace aspenwick::share
