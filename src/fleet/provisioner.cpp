#include "fleet/provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "fleet/provisioner_internal.h"

namespace aspenwick::fleet {
namespace {
constexpr Micros kDeleteRetryInterval = 4 * kSecond;
constexpr std::int64_t kMaxTasksPerMachine = 1'000'000;  // for tasks that need no resources
constexpr double kRetriesPerCloudRequest = 0.5;  // at most this part of the requests repeats refused ones
constexpr double kMaxRetriesPerSecond = 3;       // half of what rent_machines_for() may request
constexpr Micros kMinUnusedTime = 4 * kSecond;   // until free resources count as unused by their share
}  // namespace

/// types_.size() if there is no such type.
std::size_t Provisioner::type_index(const std::string& name) const {
  std::size_t i = 0;
  while (i < types_.size() && types_[i].name != name) ++i;
  return i;
}

void Provisioner::set_spot_prices(const std::vector<wire::MachineType>& current) {
  for (const auto& t : current) spot_price_[t.name] = t.spot_price;
}

void Provisioner::on_machines_listed(const std::vector<wire::CloudMachine>& machines,
                                     const std::map<std::string, MachineRecord>& records, Micros now) {
  std::set<std::string> seen;
  for (const auto& c : machines) {
    seen.insert(c.id);
    if (c.state == "failed") failed_since_.try_emplace(c.id, now);
    if (records.contains(c.id) || deleting_.contains(c.id)) continue;
    auto [it, added] = booting_.try_emplace(c.id);
    BootingMachine& b = it->second;
    if (added) {
      b.type = type_index(c.type), b.zone = c.zone, b.spot = c.spot;
      b.rented_at = now - c.age;
    }
    b.was_listed = true;
    b.last_listed = now;
  }
  // The cloud lists a machine until it is deleted. A single list without it proves nothing, as it may be
  // older than the list before.
  std::erase_if(booting_, [&](const auto& e) {
    if (seen.contains(e.first)) return false;
    const Micros unlisted_for = now - (e.second.was_listed ? e.second.last_listed : e.second.rented_at);
    return unlisted_for > 4 * platform_.cloud_list_lag;
  });
  std::erase_if(failed_since_, [&](const auto& e) { return !seen.contains(e.first); });
  std::erase_if(deleting_, [&](const auto& e) {
    return now - e.second > 6 * platform_.cloud_list_lag && !seen.contains(e.first);
  });
}

/// How long an offer that was refused just now is not requested again: for the longer, the more offers are
/// refused. Otherwise retries for the demand that comes first would take all requests, and machines that the
/// cloud has would never be requested for the demands behind it.
Micros Provisioner::refusal_time(Micros now) const {
  const auto refused_lately =
      std::count_if(refused_until_.begin(), refused_until_.end(),
                    [&](const auto& offer) { return offer.second + settings_.refused_for > now; });
  const double retries_per_second =
      std::min(kRetriesPerCloudRequest * platform_.cloud_rps, kMaxRetriesPerSecond);
  if (retries_per_second <= 0) return settings_.refused_for;
  return std::max(settings_.refused_for,
                  from_seconds(static_cast<double>(refused_lately) / retries_per_second));
}

void Provisioner::on_rent_result(const RentMachines& rent, int status, const std::vector<std::string>& ids,
                                 Micros now) {
  if (auto it = std::find(unanswered_rents_.begin(), unanswered_rents_.end(), rent);
      it != unanswered_rents_.end())
    unanswered_rents_.erase(it);
  const auto key = offer_name(types_[rent.type].name, rent.zone, rent.spot);
  if (status != 200 || static_cast<int>(ids.size()) < rent.count)
    refused_until_[key] = now + refusal_time(now);
  else
    refused_until_.erase(key);
  for (const auto& id : ids) {
    BootingMachine b;
    b.type = rent.type, b.zone = rent.zone, b.spot = rent.spot, b.rented_at = now,
    b.claimed_by_share = rent.share;
    booting_.emplace(id, std::move(b));
  }
  spdlog::info("rental request {} x{}: status {}, {} machines granted", key, rent.count, status, ids.size());
}

void Provisioner::on_delete_result(const std::vector<std::string>& ids, bool ok, Micros) {
  for (const auto& id : ids) {
    if (!ok) {
      deleting_.erase(id);
      continue;
    }
    booting_.erase(id);
    failed_since_.erase(id);
  }
}

int Provisioner::share_for_new_machine(const std::string& machine, const std::string&, int shares) {
  auto it = booting_.find(machine);
  if (it != booting_.end() && it->second.claimed_by_share >= 0) return it->second.claimed_by_share;
  // With fewer teams than shares, the last shares plan no team's jobs and could not use the machine.
  const int shares_with_teams = std::clamp(static_cast<int>(platform_.teams.size()), 1, std::max(1, shares));
  return next_registration_share_++ % shares_with_teams;
}

/// How many of the demand's tasks fit into `capacity` together.
std::uint32_t Provisioner::tasks_fitting(const share::Demand& d, const wire::Resources& capacity) const {
  return static_cast<std::uint32_t>(d.need.copies_that_fit(capacity, kMaxTasksPerMachine));
}

/// Whether the demand's tasks may use this machine type, zone and kind of rental, and the zone takes more of
/// them.
bool Provisioner::matches_constraints(const PendingDemand& pending, std::size_t type, const std::string& zone,
                                      bool spot) const {
  const auto& d = pending.demand;
  if (type >= types_.size() || (type < 64 && !(d.type_mask >> type & 1))) return false;
  if (spot && !d.spot) return false;
  const auto z = std::find(platform_.zones.begin(), platform_.zones.end(), zone) - platform_.zones.begin();
  if (d.zone != 255 && z != d.zone) return false;
  if (z < 32 && (d.closed_zone_mask >> z & 1)) return false;
  if (d.max_per_zone > 0) {
    auto it = pending.assigned_by_zone.find(zone);
    if (it != pending.assigned_by_zone.end() && it->second >= d.max_per_zone) return false;
  }
  return true;
}

/// Whether the demand's tasks may run on the machine, if they fit.
bool Provisioner::can_use(const PendingDemand& pending, const MachineCapacity& machine) const {
  if (!matches_constraints(pending, machine.type, machine.zone, machine.spot)) return false;
  if (pending.demand.excludes_gpu_machines && types_[machine.type].total.gpus > 0)
    return false;  // as in the owner's placement
  // Also as there: puts only preemptible work on machines that GPU work can use.
  return pending.demand.need.gpus > 0 || machine.type >= gpu_work_types_.size() ||
         !gpu_work_types_[machine.type] || pending.demand.accepts_any_machine ||
         (pending.demand.rank == wire::Rank::low && pending.demand.shape == wire::Shape::array &&
          !machine.booting);
}

/// Reserves the machine's free capacity for as many of the demand's tasks as fit; returns their number.
std::uint32_t Provisioner::assign_tasks(PendingDemand& pending, MachineCapacity& machine) const {
  if (pending.remaining == 0 || !can_use(pending, machine)) return 0;
  const auto& need = pending.demand.need;
  auto n = static_cast<std::uint32_t>(need.copies_that_fit(machine.free, pending.remaining));
  if (pending.demand.max_per_zone > 0) {
    std::uint32_t& assigned = pending.assigned_by_zone[machine.zone];
    n = std::min(n, pending.demand.max_per_zone - assigned);  // can_use(): it is below the maximum
    assigned += n;
  }
  if (n == 0) return 0;
  if (need.gpus > 0) machine.reserved_for_gpu = true;
  machine.free -= need * n;
  machine.reserved = true;
  pending.remaining -= n, pending.assigned += n;
  return n;
}

// ---------------------------------------------------------------- demand and capacity

/// Requests the deletion of machines that their owner has released, that failed, and that boot for too long.
void Provisioner::delete_failed_machines(Plan& plan, const std::map<std::string, MachineRecord>& records) {
  DeleteMachines to_delete;
  auto request_delete = [&](const std::string& id) {
    auto [it, added] = deleting_.try_emplace(id, plan.now);
    if (!added && plan.now - it->second < kDeleteRetryInterval) return;
    it->second = plan.now;
    if (to_delete.machines.size() < 50) to_delete.machines.push_back(id);
  };
  for (const auto& [id, m] : records)
    if (m.share < 0) request_delete(id);
  // A machine with a record is up. The cloud's answers may still report it as rented, and it must not be
  // taken for a straggler.
  std::erase_if(booting_, [&](const auto& b) { return records.contains(b.first); });
  for (const auto& [id, b] : booting_) {
    const Micros boot = b.type < types_.size() ? types_[b.type].boot_time : 0;
    const auto limit = static_cast<Micros>(settings_.straggler_factor * static_cast<double>(boot)) +
                       settings_.straggler_extra;
    if (plan.now - b.rented_at > limit || failed_since_.contains(id)) request_delete(id);
  }
  if (!to_delete.machines.empty()) plan.actions.emplace_back(to_delete);
}

/// Fills the plan with all shares' demands, by rank and slack, and the machines that may serve them: spot
/// first, then those with the fewest free CPUs. Lapsed and suspect machines that are empty are released
/// instead.
void Provisioner::collect_demand_and_capacity(Plan& plan, const std::vector<ShareReport>& shares,
                                              const std::map<std::string, MachineRecord>& records) {
  gpu_work_types_.resize(types_.size());
  for (const auto& s : shares)
    for (const auto& d : s.demands) {
      plan.pending_demands.push_back({s.share, d, d.waiting, 0, false, {}});
      if (is_deferrable(d)) plan.running_deferrable[s.share] += d.running;
      for (std::size_t t = 0; t < types_.size() && t < 64; ++t)
        if (d.need.gpus > 0 && (d.type_mask >> t & 1)) gpu_work_types_[t] = true;
    }
  std::erase_if(draining_, [&](const auto& d) { return plan.now >= d.second.second; });
  for (const auto& s : shares)
    for (const auto& m : s.machines) {
      auto record = records.find(m.id);
      if (record == records.end() || record->second.share != s.share) continue;
      if (m.empty && ((m.worker_lost && m.idle_ms * kMillisecond >= settings_.lapsed_after) || m.suspect)) {
        plan.actions.emplace_back(MoveMachine{m.id, s.share, -1});
        continue;
      }
      auto draining = draining_.find(m.id);
      if (draining != draining_.end() && draining->second.first == s.share)
        draining_.erase(draining), draining = draining_.end();
      if (!m.usable && draining == draining_.end()) continue;
      MachineCapacity machine;
      machine.id = m.id, machine.share = s.share, machine.type = type_index(record->second.type),
      machine.zone = record->second.zone;
      machine.spot = record->second.spot, machine.empty = m.empty, machine.free = m.free,
      machine.idle_ms = m.idle_ms;
      machine.highest_rank = m.highest_rank;
      if (machine.type >= types_.size()) continue;
      const auto& total = types_[machine.type].total;
      // Low-rank tasks that use no GPU are preempted for GPU work: all of the machine counts as free.
      if (gpu_work_types_[machine.type] && machine.highest_rank == wire::Rank::low && !machine.empty &&
          machine.free.gpus == total.gpus)
        machine.free = total;
      machine.owner_share = s.share;
      // Once a task takes some of it, the time starts over.
      auto& tracked = unused_capacity_[m.id];
      if (tracked.last_seen == 0 || !tracked.min_free.fits_in(m.free)) tracked = {m.free, plan.now, 0};
      tracked.last_seen = plan.now;
      machine.unused = tracked.min_free;
      machine.unused_long_enough = plan.now - tracked.since >= kMinUnusedTime;
      if (draining != draining_.end())  // for another share
        machine.share = draining->second.first, machine.free = total, machine.reserved = true;
      plan.capacities.push_back(std::move(machine));
    }
  std::erase_if(unused_capacity_, [&](const auto& l) { return l.second.last_seen != plan.now; });
  for (auto& [id, b] : booting_) {
    if (deleting_.contains(id) || b.type >= types_.size()) continue;
    MachineCapacity machine;
    machine.id = id, machine.type = b.type, machine.zone = b.zone, machine.spot = b.spot,
    machine.booting = true;
    machine.free = types_[b.type].total;
    plan.capacities.push_back(std::move(machine));
  }
  for (const auto& a : unanswered_rents_)
    for (int i = 0; i < a.count; ++i) {
      MachineCapacity machine;
      machine.type = a.type, machine.zone = a.zone, machine.spot = a.spot, machine.booting = true;
      machine.free = types_[a.type].total;
      plan.capacities.push_back(std::move(machine));
    }
  std::stable_sort(plan.pending_demands.begin(), plan.pending_demands.end(),
                   [](const PendingDemand& a, const PendingDemand& b) {
                     return a.demand.rank != b.demand.rank ? a.demand.rank > b.demand.rank
                                                           : a.demand.slack_ms < b.demand.slack_ms;
                   });
  std::stable_sort(plan.capacities.begin(), plan.capacities.end(),
                   [](const MachineCapacity& a, const MachineCapacity& b) {
                     return a.spot != b.spot ? a.spot : a.free.cpus < b.free.cpus;
                   });
}

std::vector<Action> Provisioner::tick(Micros now, const std::vector<ShareReport>& shares,
                                      const std::map<std::string, MachineRecord>& records) {
  Plan plan;
  plan.now = now;
  delete_failed_machines(plan, records);
  collect_demand_and_capacity(plan, shares, records);
  // Demands other than gangs are assigned their own share's machines first, then machines that boot or can be
  // moved. Machines are rented for the rest.
  for (auto& pending : plan.pending_demands) {
    if (pending.demand.shape == wire::Shape::gang) continue;
    for (auto& machine : plan.capacities)
      if (machine.share == pending.share && !machine.booting && pending.remaining > 0)
        assign_tasks(pending, machine);
    if (pending.remaining > 0) plan.shares_short_of_capacity.insert(pending.share);
  }
  for (auto& pending : plan.pending_demands) {
    satisfy(plan, pending);
    if (pending.remaining > 0 && pending.demand.rank >= wire::Rank::high)
      spdlog::debug(
          "share {}: no capacity for {} of {} waiting tasks of rank {}, slack {} ms, closed zones {:b}",
          pending.share, pending.remaining, pending.demand.waiting, static_cast<int>(pending.demand.rank),
          pending.demand.slack_ms, pending.demand.closed_zone_mask);
  }
  rebalance(plan);
  release_idle_machines(plan);
  return std::move(plan.actions);
}

}  // namespace aspenwick::fleet
