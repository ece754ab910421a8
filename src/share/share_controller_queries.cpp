// ShareController: read-only queries. A job's task counts, waiting work and machine states for the leader,
// and a list of all attempts for trace tests.
#include <algorithm>

#include "share/share_controller.h"

namespace aspenwick::share {

using wire::Rank;
using wire::Shape;

namespace {
constexpr std::size_t kMaxDemands = 64;
constexpr std::size_t kMaxExtraStarvedDemands = 8;  // beyond kMaxDemands, for starved jobs
}  // namespace

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

std::vector<Demand> ShareController::demands(Micros now) const {
  std::vector<Demand> out;
  for (Job* j : placement_.ordered_jobs(now)) {
    if (out.size() >= kMaxDemands && !(j->starved && out.size() < kMaxDemands + kMaxExtraStarvedDemands))
      continue;
    std::int64_t waiting = j->waiting();
    const wire::Team* t = placement_.quota().team(j->spec->team);
    auto use = view_.team_usage.find(j->spec->team);
    if (t && use != view_.team_usage.end()) {
      if (t->limit.gpus > 0 && j->spec->need.gpus > 0)
        waiting = std::min(waiting, (t->limit.gpus - use->second.gpus) / j->spec->need.gpus);
      if (t->limit.cpus > 0 && j->spec->need.cpus > 0)
        waiting = std::min(waiting, (t->limit.cpus - use->second.cpus) / j->spec->need.cpus);
    }
    if (waiting <= 0 || now < j->not_before) continue;
    Demand d;
    d.need = j->spec->need;
    d.type_mask = 0;
    for (std::size_t i = 0; i < types_.size() && i < 64; ++i)
      if (j->kind->first.types[i]) d.type_mask |= 1ULL << i;
    if (j->spec->zone) {
      auto z = std::find(platform_.zones.begin(), platform_.zones.end(), *j->spec->zone);
      d.zone = static_cast<std::uint8_t>(z - platform_.zones.begin());
    }
    if (j->spec->spread || j->spec->one_zone) {
      d.max_per_zone = j->spec->spread ? (j->spec->tasks + 1) / 2 : 0;
      for (std::size_t z = 0; z < platform_.zones.size() && z < 32; ++z) {
        const int n = j->active_in_zone(zone_ids_[z]);
        const bool closed =
            j->spec->spread ? n >= static_cast<int>(d.max_per_zone) : !j->active.empty() && n == 0;
        if (closed) d.closed_zone_mask |= 1U << z;
      }
    }
    d.rank = placement_.effective_rank(*j, now);
    d.shape = j->spec->shape;
    d.spot = j->spec->spot;
    d.waiting = static_cast<std::uint32_t>(waiting);
    d.running = static_cast<std::uint32_t>(j->active.size());
    d.slack_ms = static_cast<std::uint32_t>(
        std::clamp<Micros>(placement_.slack(*j, now) / kMillisecond, 0, 3'600'000));
    d.estimated_run_ms =
        static_cast<std::uint32_t>(std::clamp(place::Placement::expected_run_seconds(*j) * 1000, 0.0, 3.6e6));
    d.one_zone = j->spec->one_zone;
    d.excludes_gpu_machines = placement_.waits_for_non_gpu_machine(*j, now);
    d.starved = j->starved, d.accepts_any_machine = j->accepts_any_machine;
    // Services with the same requirements are merged into one demand: ninety waiting services would otherwise
    // fill the list, and the leader would not learn of the rest.
    if (d.shape == wire::Shape::service) {
      auto same = std::find_if(out.begin(), out.end(), [&](const Demand& o) {
        return o.shape == d.shape && o.need == d.need && o.type_mask == d.type_mask && o.zone == d.zone &&
               o.rank == d.rank && o.spot == d.spot && o.one_zone == d.one_zone &&
               o.excludes_gpu_machines == d.excludes_gpu_machines && o.starved == d.starved &&
               o.accepts_any_machine == d.accepts_any_machine && o.closed_zone_mask == d.closed_zone_mask &&
               (o.max_per_zone > 0) == (d.max_per_zone > 0) && !d.one_zone;
      });
      if (same != out.end()) {
        same->waiting += d.waiting, same->running += d.running, same->max_per_zone += d.max_per_zone;
        continue;
      }
    }
    out.push_back(d);
  }
  // One demand without waiting tasks for the running tasks of low-rank array jobs that have none waiting:
  // their machines will soon be free for other work.
  Demand busy;
  for (const auto& [id, j] : view_.jobs) {
    if (j->spec->shape != Shape::array || j->rank >= Rank::high || j->waiting() > 0) continue;
    busy.running += static_cast<std::uint32_t>(j->active.size());
    busy.need += j->spec->need * static_cast<std::int64_t>(j->active.size());
  }
  if (busy.running > 0) {
    busy.need = {busy.need.cpus / busy.running, 0, 0};
    out.push_back(busy);
  }
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
