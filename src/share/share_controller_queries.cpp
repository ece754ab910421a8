// ShareController: read-only queries. A job's task counts, waiting work and machine states for the leader,
// and a list of all attempts for trace tests.
#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::Rank;
using wire::Shape;

std::optional<std::pair<std::uint32_t, std::uint32_t>> ShareController::task_counts(
    const std::string& id) const {
  auto it = view_.jobs.find(id);
  if (it == view_.jobs.end()) return {};
  std::uint32_t running = 0;
  for (const auto& [index, machine] : it->second->active) {
    auto p = machine->tasks.find({id, index});
    if (p != machine->tasks.end() && p->second.phase == AttemptPhase::running) ++running;
  }
  return std::pair{it->second->done.count(), running};
}

std::size_t ShareController::waiting_tasks() const {
  std::size_t n = 0;
  for (const auto& [id, j] : view_.jobs)
    if (!j->cancelled && !j->finished) n += j->waiting();
  return n;
}

/// The job's waiting tasks that may be started now; nothing if there are none.
std::optional<Demand> ShareController::demand_of(const Job& j, Micros now) const {
  const std::int64_t waiting = placement_.quota().tasks_within_limit(j, j.waiting());
  if (waiting <= 0 || now < j.not_before) return {};
  Demand d;
  d.need = j.spec->need;
  d.type_mask = 0;
  for (std::size_t i = 0; i < types_.size() && i < 64; ++i)
    if (j.kind->first.types[i]) d.type_mask |= 1ULL << i;
  if (j.spec->zone) {
    auto z = std::find(platform_.zones.begin(), platform_.zones.end(), *j.spec->zone);
    d.zone = static_cast<std::uint8_t>(z - platform_.zones.begin());
  }
  if (j.spec->spread || j.spec->one_zone) {
    d.max_per_zone = j.spec->spread ? (j.spec->tasks + 1) / 2 : 0;
    for (std::size_t z = 0; z < platform_.zones.size() && z < 32; ++z) {
      const int n = j.active_in_zone(zone_ids_[z]);
      const bool closed =
          j.spec->spread ? n >= static_cast<int>(d.max_per_zone) : !j.active.empty() && n == 0;
      if (closed) d.closed_zone_mask |= 1U << z;
    }
  }
  d.rank = placement_.effective_rank(j, now);
  d.shape = j.spec->shape;
  d.spot = j.spec->spot;
  d.waiting = static_cast<std::uint32_t>(waiting);
  d.running = static_cast<std::uint32_t>(j.active.size());
  d.slack_ms =
      static_cast<std::uint32_t>(std::clamp<Micros>(placement_.slack(j, now) / kMillisecond, 0, 3'600'000));
  d.estimated_run_ms =
      static_cast<std::uint32_t>(std::clamp(place::Placement::expected_run_seconds(j) * 1000, 0.0, 3.6e6));
  d.one_zone = j.spec->one_zone;
  d.excludes_gpu_machines = placement_.waits_for_non_gpu_machine(j, now);
  d.starved = j.starved, d.accepts_any_machine = j.accepts_any_machine;
  return d;
}

/// A demand without waiting tasks for the running tasks of low-rank array jobs that have none waiting: their
/// machines will soon be free for other work.
std::optional<Demand> ShareController::demand_of_running_arrays() const {
  Demand busy;
  for (const auto& [id, j] : view_.jobs) {
    if (j->spec->shape != Shape::array || j->rank >= Rank::high || j->waiting() > 0) continue;
    busy.running += static_cast<std::uint32_t>(j->active.size());
    busy.need += j->spec->need * static_cast<std::int64_t>(j->active.size());
  }
  if (busy.running == 0) return {};
  busy.need = {busy.need.cpus / busy.running, 0, 0};
  return busy;
}

std::vector<Demand> ShareController::demands(Micros now) {
  DemandList list;
  for (const Job* j : placement_.ordered_jobs(now))
    if (const auto demand = demand_of(*j, now)) list.add(*demand);
  std::vector<Demand> out = list.select(demand_turns_, now);
  demand_counts_ = {list.jobs(), list.groups(), out.size()};
  if (const auto running = demand_of_running_arrays()) out.push_back(*running);
  return out;
}

std::vector<MachineState> ShareController::machine_states(Micros now) const {
  std::vector<MachineState> out;
  out.reserve(view_.machines_by_id.size());
  for (const Machine* entry : view_.machines_by_id) {
    const Machine& m = *entry;
    MachineState s;
    s.id = m.record.id;
    s.free = m.free;
    s.suspect = m.suspect_until > now;
    s.usable = m.up && m.accounted_for && !m.leaving && !m.reclaim_at && !s.suspect && m.drain_until <= now &&
               !m.delivery.in_doubt() && m.unattributed == 0;
    s.empty = release_refusal(m) == ReleaseRefusal::none;
    // A machine whose reports arrive but that receives nothing from us counts as lost as well, once a lease
    // has passed and no attempt can be left on it.
    s.worker_lost = m.accounted_for && (!m.up || m.delivery.in_doubt_for(now) > platform_.worker_lease);
    s.idle_ms =
        static_cast<std::uint32_t>(std::clamp<Micros>((now - m.idle_since) / kMillisecond, 0, 3'600'000));
    if (!m.tasks.empty()) s.idle_ms = 0;
    if (m.type && placement_.usable_by_gpu_jobs(m.type_index)) {  // counts as idle while no GPU task is on it
      s.idle_ms = m.task_summary().gpus ? 0
                                        : static_cast<std::uint32_t>(std::clamp<Micros>(
                                              (now - m.gpu_idle_since) / kMillisecond, 0, 3'600'000));
    }
    s.highest_rank = m.task_summary().highest_rank;
    out.push_back(std::move(s));
  }
  return out;
}

std::vector<std::string> ShareController::describe_attempts() const {
  std::vector<std::string> out;
  static constexpr const char* kPhases[] = {"assigned", "sent", "present", "running"};
  for (const auto& [id, m] : view_.machines)
    for (const auto& [key, p] : m.tasks)
      out.push_back(id + " " + key.first + "/" + std::to_string(key.second) + " " +
                    (p.halting ? "halting" : kPhases[static_cast<int>(p.phase)]));
  return out;
}

}  // namespace aspenwick::share
