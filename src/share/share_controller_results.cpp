// Results that workers keep: a worker's report is the only durable copy of a result until a row of the state
// service holds it, so the machine stays in its share, and the worker is not told to forget, until then.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::Cause;
using wire::TaskReport;

/// No row is known to hold the result, nor is its job known to be over. Another share's owner decides what is
/// recorded of its jobs; we only know which of its rows we have read.
bool ShareController::result_needed(const TaskKey& task, Micros since) const {
  const auto& [id, index] = task;
  if (auto it = view_.jobs.find(id); it != view_.jobs.end()) {
    const Job& j = *it->second;
    return index < j.spec->tasks && !j.finished && !j.cancelled && !surely_recorded(j, index);
  }
  const JobRecord* record = lookup_(id);
  if (record && record->final()) return false;
  // A job that was accepted before its result was reported has a record by then.
  if (!record) return records_as_of_ <= since;
  const auto recorded = recorded_by_others_.find(id);
  return recorded == recorded_by_others_.end() || !recorded->second.test(index);
}

bool ShareController::holds_needed_result(const Machine& m) const {
  return std::any_of(m.results.begin(), m.results.end(),
                     [&](const auto& r) { return result_needed(r.first, r.second.first_reported); });
}

/// What an exited attempt leaves at its worker: a result that may be recorded nowhere is kept, all else is
/// forgotten.
void ShareController::keep_or_forget(Machine& m, const TaskReport& t,
                                     const std::map<TaskKey, UnrecordedResult>& before, Micros now) {
  const TaskKey key{t.job, t.index};
  const auto known = before.find(key);
  const Micros since = known == before.end() ? now : known->second.first_reported;
  if (t.cause == Cause::done && result_needed(key, since)) {
    m.results[key] = {t.attempt, since};
    return;
  }
  if (t.cause == Cause::done && !view_.jobs.contains(t.job) && lookup_(t.job) == nullptr) {
    spdlog::info("machine {}: the result of {}/{} is forgotten: no such job", m.record.id, t.job, t.index);
    ++attribution_.dropped_results;
  }
  m.pending_forgets.push_back({Order::Verb::forget, t.job, t.index, t.attempt, 0});
}

/// The one place that decides whether a machine may leave its share: by a move, a return or after a drain.
ShareController::ReleaseRefusal ShareController::release_refusal(const Machine& m) const {
  if (!loaded_) return ReleaseRefusal::share_not_loaded;
  if (!m.accounted_for) return ReleaseRefusal::not_accounted;
  if (!m.tasks.empty()) return ReleaseRefusal::holds_attempts;
  if (m.push_in_flight) return ReleaseRefusal::push_under_way;
  if (m.leaving) return ReleaseRefusal::leaving;
  // Its next owner, or nobody, would have the only copies: if we end before we have recorded them, the tasks
  // would run again.
  if (holds_needed_result(m)) return ReleaseRefusal::results_not_recorded;
  return ReleaseRefusal::none;
}

std::set<std::pair<std::string, std::uint32_t>> ShareController::chunks_of_others() const {
  std::set<std::pair<std::string, std::uint32_t>> chunks;
  for (const Machine* m : view_.machines_by_id)
    for (const auto& [task, result] : m->results)
      if (!view_.jobs.contains(task.first) && result_needed(task, result.first_reported))
        chunks.emplace(task.first, task.second / DoneSet::kChunk);
  return chunks;
}

void ShareController::chunk_of_other(const std::string& job, std::uint32_t chunk, const std::string& text) {
  const auto chunks = chunks_of_others();
  // Kept for results that still need it; what else was read goes.
  std::erase_if(recorded_by_others_, [&](const auto& known) {
    return std::none_of(view_.machines_by_id.begin(), view_.machines_by_id.end(), [&](const Machine* m) {
      const auto r = m->results.lower_bound({known.first, 0});
      return r != m->results.end() && r->first.first == known.first;
    });
  });
  const JobRecord* record = lookup_(job);
  if (!chunks.contains({job, chunk}) || !record || !record->spec) return;
  recorded_by_others_.try_emplace(job, record->spec->tasks).first->second.merge_chunk(chunk, text);
}

/// Measures how long empty machines wait for their results to be recorded.
void ShareController::note_result_wait(Machine& m, Micros now) {
  const bool waits = m.tasks.empty() && !m.results.empty() && holds_needed_result(m);
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
      if (!result_needed(task, result.first_reported)) continue;
      ++held.results;
      held.oldest = std::max(held.oldest, now - result.first_reported);
    }
    if (held.results > before) ++held.machines;
  }
  return held;
}

/// By job, of results on machines that are to leave or may be wanted elsewhere.
std::map<std::string, ShareController::Urgency> ShareController::urgent_results(Micros now) const {
  std::map<std::string, Urgency> urgent;
  for (const Machine* m : view_.machines_by_id) {
    if (m->results.empty()) continue;
    const bool waits = m->tasks.empty() || m->drain_until > now;
    if (!waits && !m->reclaim_at) continue;
    std::set<std::string> counted;
    for (const auto& [task, result] : m->results) {
      Urgency& u = urgent[task.first];
      u.units.insert(task.second / DoneSet::kUnit);
      if (!counted.insert(task.first).second) continue;
      ++(m->reclaim_at ? u.machines_taken : u.machines_waiting);
    }
  }
  return urgent;
}

}  // namespace aspenwick::share
