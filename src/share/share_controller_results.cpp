// ShareController: results that workers keep. Until a progress row in the state service records a task's
// result, the worker that reports it has the only durable copy. Until then its machine must not leave the
// share, and the worker is not told to forget the result.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::ExitCause;
using wire::TaskReport;

/// Returns whether the worker has to keep the result: it is in no known progress row, and its job is not
/// known to have ended. Results of another share's jobs are recorded by that share's owner; of its rows, only
/// those read so far are known here.
bool ShareController::result_copy_needed(const TaskKey& task, Micros since) const {
  const auto& [id, index] = task;
  if (auto it = view_.jobs.find(id); it != view_.jobs.end()) {
    const Job& j = *it->second;
    return index < j.spec->tasks && !j.finished && !j.cancelled && !durably_recorded(j, index);
  }
  const JobRecord* record = lookup_job_(id);
  if (record && record->final()) return false;
  // If the job was accepted before its result was reported, its record is known once the records are read as
  // of a later time.
  if (!record) return records_as_of_ <= since;
  const auto recorded = recorded_by_others_.find(id);
  return recorded == recorded_by_others_.end() || !recorded->second.test(index);
}

bool ShareController::holds_needed_result_copy(const Machine& m) const {
  return std::any_of(m.results.begin(), m.results.end(),
                     [&](const auto& r) { return result_copy_needed(r.first, r.second.first_reported); });
}

/// Decides what happens to an exited attempt at its worker: a result that may not be recorded yet is kept;
/// for anything else the worker gets an order to forget it. `before`: the results of the report before, which
/// show since when a result has been held.
void ShareController::retain_or_forget_result(Machine& m, const TaskReport& t,
                                              const std::map<TaskKey, UnrecordedResult>& before, Micros now) {
  const TaskKey key{t.job, t.index};
  const auto known = before.find(key);
  const Micros since = known == before.end() ? now : known->second.first_reported;
  if (t.cause == ExitCause::done && result_copy_needed(key, since)) {
    m.results[key] = {t.attempt, since};
    return;
  }
  if (t.cause == ExitCause::done && !view_.jobs.contains(t.job) && lookup_job_(t.job) == nullptr) {
    spdlog::info("machine {}: dropping the result of {}/{}: no such job", m.record.id, t.job, t.index);
    ++attribution_counts_.dropped_results;
  }
  m.pending_forgets.push_back({Order::Verb::forget, t.job, t.index, t.attempt, 0});
}

/// The only place that decides whether a machine may leave its share, be it to another share, back to the
/// cloud or after a drain.
ShareController::ReleaseRefusal ShareController::release_refusal(const Machine& m) const {
  if (!loaded_) return ReleaseRefusal::share_not_loaded;
  if (!m.accounted_for) return ReleaseRefusal::not_accounted;
  if (!m.tasks.empty()) return ReleaseRefusal::holds_attempts;
  if (m.push_in_flight) return ReleaseRefusal::push_under_way;
  if (m.leaving) return ReleaseRefusal::leaving;
  // Otherwise the next owner of the machine, or nobody, would have the only copies. If this process ended
  // before it recorded them, the tasks would run again.
  if (holds_needed_result_copy(m)) return ReleaseRefusal::results_not_recorded;
  return ReleaseRefusal::none;
}

std::set<std::pair<std::string, std::uint32_t>> ShareController::needed_chunks_of_other_shares() const {
  std::set<std::pair<std::string, std::uint32_t>> chunks;
  for (const Machine* m : view_.machines_by_id)
    for (const auto& [task, result] : m->results)
      if (!view_.jobs.contains(task.first) && result_copy_needed(task, result.first_reported))
        chunks.emplace(task.first, task.second / DoneSet::kChunkTasks);
  return chunks;
}

void ShareController::on_chunk_of_other_share(const std::string& job, std::uint32_t chunk,
                                              const std::string& text) {
  const auto chunks = needed_chunks_of_other_shares();
  // Drops the rows of jobs of which no machine holds a result any more.
  std::erase_if(recorded_by_others_, [&](const auto& known) {
    return std::none_of(view_.machines_by_id.begin(), view_.machines_by_id.end(), [&](const Machine* m) {
      const auto r = m->results.lower_bound({known.first, 0});
      return r != m->results.end() && r->first.first == known.first;
    });
  });
  const JobRecord* record = lookup_job_(job);
  if (!chunks.contains({job, chunk}) || !record || !record->spec) return;
  recorded_by_others_.try_emplace(job, record->spec->tasks).first->second.merge_chunk(chunk, text);
}

/// Measures how long a machine without tasks waits for its results to be recorded.
void ShareController::measure_result_wait(Machine& m, Micros now) {
  const bool waits = m.tasks.empty() && !m.results.empty() && holds_needed_result_copy(m);
  if (waits && m.results_wait_since == 0) m.results_wait_since = now;
  if (waits || m.results_wait_since == 0) return;
  result_waits_.push_back(now - m.results_wait_since);
  m.results_wait_since = 0;
}

ShareController::HeldResults ShareController::held_results(Micros now) const {
  HeldResults held;
  for (const Machine* m : view_.machines_by_id) {
    const std::size_t before = held.results;
    for (const auto& [task, result] : m->results) {
      if (!result_copy_needed(task, result.first_reported)) continue;
      ++held.results;
      held.oldest_age = std::max(held.oldest_age, now - result.first_reported);
    }
    if (held.results > before) ++held.machines;
  }
  return held;
}

/// Returns the urgency of the jobs of which machines hold results that are about to leave or may be needed
/// elsewhere, by job.
std::map<std::string, ShareController::WriteUrgency> ShareController::write_urgency_by_job(Micros now) const {
  std::map<std::string, WriteUrgency> urgent;
  for (const Machine* m : view_.machines_by_id) {
    if (m->results.empty()) continue;
    const bool waits = m->tasks.empty() || m->drain_until > now;
    if (!waits && !m->reclaim_at) continue;
    std::set<std::string> counted;
    for (const auto& [task, result] : m->results) {
      WriteUrgency& u = urgent[task.first];
      u.units.insert(task.second / DoneSet::kUnitTasks);
      if (!counted.insert(task.first).second) continue;
      ++(m->reclaim_at ? u.machines_being_reclaimed : u.machines_to_release);
    }
  }
  return urgent;
}

}  // namespace aspenwick::share
