// ShareController: assigns the attempts and results that machines report to their jobs. A report may arrive
// before its job's record has been read, so a missing record does not mean that the job does not exist. Until
// the job records are known as of a time after the report, the attempt stays listed on its machine as
// unattributed: nothing else is placed on that machine, and the attempt's task is not placed anywhere.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::TaskReport;
using wire::TaskState;

ShareController::JobDisposition ShareController::disposition_of(const std::string& job) const {
  if (view_.jobs.contains(job)) return JobDisposition::planned;
  const JobRecord* record = lookup_job_(job);
  if (record && record->final()) return JobDisposition::ended;
  if (!record || !record->spec) return JobDisposition::not_known;  // no record, or an incomplete one
  // As far as we know, a job of this share that is not planned still has open dependencies.
  const bool ours = !settings_.owns_team || settings_.owns_team(record->spec->team);
  return ours ? JobDisposition::not_known : JobDisposition::of_another_share;
}

/// Returns whether the attempt's job may exist: its record may not have been read yet, or is incomplete.
bool ShareController::may_have_job_record(const TaskAttempt& p) const {
  const JobRecord* record = lookup_job_(p.job_id);
  return records_as_of_ <= p.started_at || (record && !record->spec);
}

/// Returns whether the machine holds an attempt whose job, and so its team, is still unknown because the job
/// records are not known as of a time after the attempt was reported.
bool ShareController::awaits_job_records(const Machine& m) const {
  return m.unattributed > 0 && std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
           return t.second.unattributed && records_as_of_ <= t.second.started_at;
         });
}

/// Adds an attempt that the machine reports and that is not listed on it.
void ShareController::add_reported_attempt(Machine& m, const TaskReport& t, Micros now) {
  TaskAttempt p;
  p.job_id = t.job;
  p.index = t.index;
  p.attempt = t.attempt;
  p.phase = t.state == TaskState::running ? AttemptPhase::running : AttemptPhase::reported;
  p.fetching = t.state == TaskState::fetching;
  p.started_at = now;
  add_attempt(m, std::move(p), now);
}

/// Lists the attempt on the machine: as its task's current attempt, as one to be stopped, or as unattributed.
void ShareController::add_attempt(Machine& m, TaskAttempt p, Micros now) {
  const JobRecord* record = lookup_job_(p.job_id);
  switch (disposition_of(p.job_id)) {
    case JobDisposition::planned: {
      Job& job = *view_.jobs.at(p.job_id);
      return add_attempt_of_planned_job(job, m, std::move(p), now);
    }
    case JobDisposition::ended:
    case JobDisposition::of_another_share:
      // The attempt uses its machine's resources and counts against its team's limit until it is gone.
      if (record->spec) p.need = record->spec->need, p.team = record->spec->team;
      view_.halt(p, 0);
      break;
    case JobDisposition::not_known:
      p.unattributed = may_have_job_record(p);
      if (p.unattributed) break;
      // If its job had been accepted before the attempt was reported, a record would be known by now. Or
      // there is a record, and the job still has open dependencies, so none of its tasks may run.
      spdlog::info("machine {}: stopping {}/{} attempt {}: its job doesn't exist or may not run yet",
                   m.record.id, p.job_id, p.index, p.attempt);
      ++attribution_counts_.dropped_attempts;
      view_.halt(p, 0);
      break;
  }
  view_.add_attempt(m, std::move(p));
}

void ShareController::add_attempt_of_planned_job(Job& j, Machine& m, TaskAttempt p, Micros now) {
  if (p.index >= j.spec->tasks) {  // the job has no such task
    view_.halt(p, 0);
    return view_.add_attempt(m, std::move(p));
  }
  p.need = j.spec->need;
  p.team = j.spec->team;
  if (auto a = j.active.find(p.index); a != j.active.end()) {
    // The task was assigned to another machine, but the order was not sent yet. The running attempt is kept
    // and the assignment dropped; otherwise the task would run twice.
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
      view_.halt(p, 0);  // finished, but listed until a report shows that it is gone
    else if (!p.fetching)
      m.note_image_use(*j.spec);
  }
  view_.add_attempt(m, std::move(p));
}

/// Called when a job starts to be planned: assigns to it the results and attempts that machines reported
/// before. Results come first, so that another attempt of a task that is done gets stopped.
void ShareController::attribute_to_job(Job& j, Micros now) {
  const auto of_job = [&j](const auto& entries, auto it) {
    return it != entries.end() && it->first.first == j.id;
  };
  for (const Machine* m : view_.machines_by_id)
    for (auto it = m->results.lower_bound({j.id, 0}); of_job(m->results, it); ++it)
      if (it->first.second < j.spec->tasks && mark_done(j, it->first.second))
        ++attribution_counts_.attributed_results;
  if (view_.unattributed == 0) return;
  for (Machine* m : view_.machines_by_id) {
    if (m->unattributed == 0) continue;
    for (auto it = m->tasks.lower_bound({j.id, 0}); of_job(m->tasks, it);) {
      auto current = it++;
      if (!current->second.unattributed) continue;
      ++attribution_counts_.attributed_attempts;
      add_attempt(*m, view_.take_unattributed(*m, current), now);
    }
  }
  update_all_accounted_for(now);
}

/// Handles unattributed attempts whose jobs, by the records read since, have ended, belong to another share
/// or do not exist.
void ShareController::resolve_unattributed_attempts(Micros now) {
  if (view_.unattributed == 0) return;
  for (Machine* m : view_.machines_by_id) {
    for (auto it = m->tasks.begin(); m->unattributed > 0 && it != m->tasks.end();) {
      auto current = it++;
      const TaskAttempt& p = current->second;
      if (!p.unattributed) continue;
      const bool unresolved = disposition_of(p.job_id) == JobDisposition::not_known;
      if (unresolved && may_have_job_record(p)) continue;
      if (!unresolved) ++attribution_counts_.attributed_attempts;
      add_attempt(*m, view_.take_unattributed(*m, current), now);
    }
  }
  update_all_accounted_for(now);
}

ShareController::AttributionCounts ShareController::attribution_counts() const {
  AttributionCounts counts = attribution_counts_;
  counts.unattributed_attempts = view_.unattributed;
  for (const Machine* m : view_.machines_by_id)
    for (const auto& [task, result] : m->results)
      if (disposition_of(task.first) == JobDisposition::not_known &&
          result_copy_needed(task, result.first_reported))
        ++counts.unattributed_results;
  return counts;
}

}  // namespace aspenwick::share
