#include "place/cluster_view.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::place {

using wire::Shape;

/// The machine has the image of any task that got past fetching. Like the worker's cache, this model keeps
/// the most recently used images.
void Machine::note_image_use(const JobSpec& spec) {
  if (spec.image.empty() || !type) return;
  std::erase_if(cached_images, [&](const auto& i) { return i.first == spec.image; });
  cached_images.insert(cached_images.begin(), {spec.image, spec.image_gb});
  double sum = 0;
  for (std::size_t i = 0; i < cached_images.size(); ++i)
    if (sum += cached_images[i].second; sum > type->cache_gb) return cached_images.resize(i);
}

const Machine::TaskSummary& Machine::task_summary() const {
  if (!task_summary_stale) return task_summary_;
  task_summary_ = {};
  task_summary_stale = false;
  for (const auto& [key, p] : tasks) {
    task_summary_.highest_rank =
        std::max(task_summary_.highest_rank, p.job ? p.job->rank : wire::Rank::production);
    task_summary_.gpus = task_summary_.gpus || p.need.gpus > 0;
    task_summary_.halting = task_summary_.halting || p.halting;
    task_summary_.has_services =
        task_summary_.has_services || (p.job && p.job->spec->shape == Shape::service);
    if (!p.job || p.halting) continue;
    task_summary_.lowest_stoppable_rank = task_summary_.any_stoppable
                                              ? std::min(task_summary_.lowest_stoppable_rank, p.job->rank)
                                              : p.job->rank;
    task_summary_.any_stoppable = true;
  }
  return task_summary_;
}

/// The only way to add an attempt, so that free resources, team usage and the job's active tasks stay right.
void ClusterView::add_attempt(Machine& m, TaskAttempt p) {
  TaskKey key{p.job_id, p.index};
  p.machine = &m;
  m.free -= p.need;
  m.task_summary_stale = true;
  ++change_count;
  if (!p.team.empty()) team_usage[p.team] += p.need;
  if (Job* j = p.job) {
    if (j->active.contains(p.index))
      report_violation(Invariant::one_attempt_of_a_task, p.job_id + "/" + std::to_string(p.index) + " on " +
                                                             m.record.id + " and on " +
                                                             j->active[p.index]->record.id);
    j->active[p.index] = &m;
    j->to_restart.erase(p.index);
    if (j->active_by_zone.size() <= static_cast<std::size_t>(m.zone))
      j->active_by_zone.resize(static_cast<std::size_t>(m.zone) + 1);
    ++j->active_by_zone[static_cast<std::size_t>(m.zone)];
  } else {
    ++stray_attempts[key];
    if (p.unattributed) ++m.unattributed, ++unattributed;
  }
  if (p.phase == AttemptPhase::assigned || p.halting) machines_to_contact.insert(&m);
  m.tasks.emplace(std::move(key), std::move(p));
}

void ClusterView::free_attempt(Machine& m, std::map<TaskKey, TaskAttempt>::iterator it, Micros now,
                               FreeReason reason) {
  const TaskAttempt p = std::move(it->second);
  ++freed_counts.at(static_cast<std::size_t>(reason));
  spdlog::debug("freed {}/{} attempt {} on {}, session {}, token {}: {}", p.job_id, p.index, p.attempt,
                m.record.id, m.session, m.seen_token, to_string(reason));
  const TaskKey key = it->first;
  m.tasks.erase(it);
  m.free += p.need;
  m.task_summary_stale = true;
  note_new_capacity(m);
  if (m.tasks.empty()) m.idle_since = now;
  if (p.need.gpus > 0) m.gpu_idle_since = now;
  if (!p.team.empty()) team_usage[p.team] -= p.need;
  Job* j = p.job;
  if (!j) {
    if (p.unattributed) --m.unattributed, --unattributed;
    remove_stray_attempt(key);
    return;
  }
  j->active.erase(p.index);
  --j->active_by_zone[static_cast<std::size_t>(m.zone)];
  if (j->cancelled || j->finished) {
    erase_if_over(p.job_id);
    return;
  }
  if (!needs_restart(reason) || j->done.test(p.index)) return;
  j->to_restart.insert(p.index);
  // A task whose attempt was never reported (its start order was lost) has been waiting all along.
  if (j->waiting() == 1 && p.phase >= AttemptPhase::reported) j->waiting_since = now;
  // A gang runs whole or not at all: the other tasks must be gone before the next attempt.
  if (j->spec->shape == Shape::gang && !j->active.empty() && p.attempt == j->gang_attempt)
    end_gang_attempt(*j);
}

TaskAttempt ClusterView::take_unattributed(Machine& m, std::map<TaskKey, TaskAttempt>::iterator it) {
  TaskAttempt p = std::move(it->second);
  remove_stray_attempt(it->first);
  m.tasks.erase(it);
  m.task_summary_stale = true;
  --m.unattributed, --unattributed;
  p.unattributed = false;
  note_new_capacity(m);
  return p;
}

void ClusterView::remove_stray_attempt(const TaskKey& key) {
  if (auto s = stray_attempts.find(key); s != stray_attempts.end() && --s->second == 0)
    stray_attempts.erase(s);
}

void ClusterView::halt(TaskAttempt& p, Micros grace) {
  if (p.halting && grace >= p.grace) return;
  p.halting = true;
  p.grace = grace;
  p.halt_sent_at = 0;
  ++change_count;
  if (!p.machine) return;  // not added yet
  p.machine->task_summary_stale = true;
  machines_to_contact.insert(p.machine);
}

void ClusterView::stop_gang(Job& j, Micros grace) {
  for (const auto& [index, machine] : j.active)
    if (auto p = machine->tasks.find({j.id, index}); p != machine->tasks.end()) halt(p->second, grace);
}

/// Tasks that were still fetching when the others had waited too long go on until they have the image and are
/// halted then. A worker gives up a fetch that no task waits for, so halting them at once would make every
/// further attempt fail in the same way where fetching takes longer than a gang waits.
void ClusterView::end_gang_attempt(Job& j) {
  for (const auto& [index, machine] : j.active) {
    auto p = machine->tasks.find({j.id, index});
    if (p == machine->tasks.end()) continue;
    if (j.incomplete_attempt == p->second.attempt && p->second.fetching) continue;
    halt(p->second, 0);
  }
}

void ClusterView::erase_if_over(const std::string& id) {
  auto it = jobs.find(id);
  if (it != jobs.end() && (it->second->cancelled || it->second->finished) && it->second->active.empty())
    jobs.erase(it);
}

void ClusterView::note_new_capacity(const Machine& m) {
  if (capacity_versions_by_type_.size() <= m.type_index) capacity_versions_by_type_.resize(m.type_index + 1);
  ++capacity_versions_by_type_[m.type_index];
  ++change_count;
}

std::uint64_t ClusterView::capacity_version_for(const JobKind& kind) const {
  std::uint64_t sum = capacity_version_;
  for (std::size_t t = 0; t < capacity_versions_by_type_.size() && t < kind.types.size(); ++t)
    if (kind.types[t]) sum += capacity_versions_by_type_[t];
  return sum;
}

Machine& ClusterView::add_machine(const MachineRecord& record) {
  auto [it, added] = machines.try_emplace(record.id);
  Machine& m = it->second;
  m.record = record;
  m.spot = record.spot;
  if (!added) return m;
  m.zone = zone_index(record.zone);
  machines_by_id.insert(std::lower_bound(machines_by_id.begin(), machines_by_id.end(), &m, ById{}), &m);
  machines_to_contact.insert(&m);
  note_new_capacity();
  return m;
}

void ClusterView::remove_machine(std::map<std::string, Machine>::iterator it) {
  machines_to_contact.erase(&it->second);
  std::erase(machines_by_id, &it->second);
  machines.erase(it);
}

int ClusterView::zone_index(const std::string& name) {
  const auto it = std::find(zones_.begin(), zones_.end(), name);
  if (it == zones_.end()) zones_.push_back(name);
  return static_cast<int>(std::find(zones_.begin(), zones_.end(), name) - zones_.begin());
}

std::shared_ptr<std::pair<const JobKind, FailedSearches>> ClusterView::kind_of(
    const JobSpec& spec, const std::vector<wire::MachineType>& types) {
  JobKind kind{spec.need.gpus > 0,
               std::vector<bool>(types.size()),
               spec.zone ? zone_index(*spec.zone) : -1,
               spec.spot,
               spec.one_zone,
               spec.shape};
  for (std::size_t i = 0; i < types.size(); ++i) kind.types[i] = job::type_allowed(spec, types[i]);
  auto& known = kinds_[kind];
  if (auto shared = known.lock()) return shared;
  auto made = std::make_shared<std::pair<const JobKind, FailedSearches>>(kind, FailedSearches{});
  known = made;
  if (kinds_.size() >= kinds_purge_size_) {  // remove kinds without jobs, then let the number double
    std::erase_if(kinds_, [](const auto& k) { return k.second.expired(); });
    kinds_purge_size_ = 64 + 2 * kinds_.size();
  }
  return made;
}

}  // namespace aspenwick::place
