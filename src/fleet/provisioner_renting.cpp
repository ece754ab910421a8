// Satisfies demands, gangs included, and rents machines for what the existing ones cannot hold: which offers,
// and how much deferrable work can wait instead.
#include <algorithm>
#include <cmath>

#include "fleet/provisioner.h"
#include "fleet/provisioner_internal.h"

namespace aspenwick::fleet {
namespace {
constexpr int kMaxRentsPerTick = 3;
constexpr int kMaxMachinesPerRent = 50;  // the cloud's limit for one request
constexpr std::size_t kMaxUnansweredRents = 6;
constexpr Micros kMinBootTime = 20 * kSecond;  // few machines boot in less
constexpr std::size_t kManyBootingMachines = 40;
constexpr double kLargerMachineDiscount = 0.02;  // per doubling of the tasks that a machine holds
}  // namespace

// ---------------------------------------------------------------- renting

/// Offers for the demand that the cloud has not refused recently, the cheapest per task first. `only_zone`:
/// empty for all zones.
std::vector<Provisioner::Offer> Provisioner::available_offers(const PendingDemand& pending, Micros now,
                                                              const std::string& only_zone) const {
  std::vector<Offer> all;
  for (std::size_t t = 0; t < types_.size(); ++t) {
    const auto fits = tasks_fitting(pending.demand, types_[t].total);
    if (fits == 0) continue;
    if (pending.demand.need.gpus == 0 && types_[t].total.gpus > 0 && gpu_work_types_[t] &&
        !fits_only_gpu_work_types(pending))
      continue;
    auto listed_price = spot_price_.find(types_[t].name);
    const double spot_price = listed_price == spot_price_.end() ? types_[t].spot_price : listed_price->second;
    for (const auto& zone : types_[t].zones)
      for (const bool spot : {true, false}) {
        if (!matches_constraints(pending, t, zone, spot) || (!only_zone.empty() && zone != only_zone))
          continue;
        std::uint32_t use = std::min(pending.remaining, fits);
        if (pending.demand.max_per_zone > 0) use = std::min(use, pending.demand.max_per_zone);
        double cost = (spot ? spot_price : types_[t].price) / std::max(1U, use);
        // Each machine that joins takes a record change, so while many boot, larger ones are usable sooner.
        if (booting_.size() > kManyBootingMachines)
          cost /= 1 + kLargerMachineDiscount * std::log2(std::max(1U, use));
        all.push_back({t, zone, spot, cost, fits});
      }
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const Offer& a, const Offer& b) { return a.cost_per_task < b.cost_per_task; });
  std::erase_if(all, [&](const Offer& o) {
    auto refused = refused_until_.find(offer_name(types_[o.type].name, o.zone, o.spot));
    return refused != refused_until_.end() && now < refused->second;
  });
  return all;
}

/// Work that may run later, in several rounds on fewer machines.
bool Provisioner::is_deferrable(const share::Demand& d) {
  return d.shape == wire::Shape::array && d.rank < wire::Rank::high;
}

/// How many of the remaining tasks to rent machines for. Deferrable work runs in several rounds on fewer
/// machines; expensive ones are rented only for what the other machines, serving the least slack first,
/// would not finish in time. This sums over the share's backlog: each job by itself would ask for several
/// times as much, though later jobs use the machines of earlier ones.
std::uint32_t Provisioner::tasks_needing_capacity(const Plan& plan, const PendingDemand& pending,
                                                  bool expensive) const {
  if (!is_deferrable(pending.demand)) return pending.remaining;
  auto backlog = plan.backlogs.find(pending.share);
  if (backlog == plan.backlogs.end()) return 0;
  const double slack = pending.demand.slack_ms / 1e3;
  const double target_seconds = expensive ? std::max(15.0, slack * settings_.slack_fraction)
                                          : std::clamp(slack * 0.5, 15.0, to_seconds(settings_.patience));
  double slots = std::ceil(backlog->second.task_seconds / target_seconds) - backlog->second.slots;
  if (pending.other_share_has_capacity) slots = std::max(slots, 1.0);
  return static_cast<std::uint32_t>(std::clamp(slots, 0.0, static_cast<double>(pending.remaining)));
}

/// Plans a rental request and assigns the demand's tasks to the machines that it will give.
void Provisioner::request_rental(Plan& plan, const Offer& o, int count, PendingDemand& pending) {
  const RentMachines rent{o.type, o.zone, o.spot, count, pending.share};
  unanswered_rents_.push_back(rent);
  ++plan.rent_requests;
  plan.actions.emplace_back(rent);
  for (int i = 0; i < count; ++i) {
    MachineCapacity machine;
    machine.type = o.type, machine.zone = o.zone, machine.spot = o.spot, machine.booting = true,
    machine.share = pending.share;
    machine.free = types_[o.type].total;
    assign_tasks(pending, machine);
    plan.capacities.push_back(std::move(machine));
  }
}

/// The cloud refused the offer last time and is asked for it again: the demands behind wait for its answer.
bool Provisioner::awaits_retry(const Offer& offer) const {
  if (!refused_until_.contains(offer_name(types_[offer.type].name, offer.zone, offer.spot))) return false;
  return std::any_of(unanswered_rents_.begin(), unanswered_rents_.end(), [&](const RentMachines& rent) {
    return rent.type == offer.type && rent.zone == offer.zone && rent.spot == offer.spot;
  });
}

void Provisioner::rent_machines_for(Plan& plan, PendingDemand& pending) {
  // An offer is expensive compared with the cheapest known price, whether or not that can be rented now.
  double cheapest = 1e18;
  for (std::size_t t = 0; t < types_.size(); ++t)
    if (const auto fits = tasks_fitting(pending.demand, types_[t].total);
        fits > 0 && (t >= 64 || pending.demand.type_mask >> t & 1))
      cheapest = std::min(cheapest, (pending.demand.spot ? types_[t].spot_price : types_[t].price) /
                                        std::min(std::max(1U, pending.remaining), fits));
  double all_running_deferrable = 0;
  for (const auto& [share, running] : plan.running_deferrable) all_running_deferrable += running;
  for (const auto& o : available_offers(pending, plan.now, "")) {
    if (pending.remaining == 0 || plan.rent_requests >= kMaxRentsPerTick ||
        unanswered_rents_.size() >= kMaxUnansweredRents)
      return;
    if (!matches_constraints(pending, o.type, o.zone, o.spot))
      continue;  // the requests before may have filled its zone
    if (awaits_retry(o)) return;
    const bool expensive = o.cost_per_task > cheapest * settings_.expensive_price_factor;
    // Production gets expensive machines only once it is late: drained machines are available sooner than new
    // ones.
    const bool urgent = pending.demand.rank >= wire::Rank::production
                            ? pending.demand.slack_ms == 0
                            : pending.demand.slack_ms < to_seconds(types_[o.type].boot_time) * 1000;
    if (expensive && !urgent && !is_deferrable(pending.demand)) continue;
    // High-rank arrays preempt deferrable work long before an expensive machine has booted. Whether that work
    // then justifies such a machine is decided with its own demand.
    if (expensive && pending.demand.rank == wire::Rank::high && pending.demand.shape == wire::Shape::array &&
        all_running_deferrable >= 2.0 * pending.remaining)
      continue;
    std::uint32_t tasks = tasks_needing_capacity(plan, pending, expensive);
    if (pending.demand.max_per_zone > 0) {
      auto z = pending.assigned_by_zone.find(o.zone);
      tasks = std::min(tasks,
                       pending.demand.max_per_zone - (z == pending.assigned_by_zone.end() ? 0 : z->second));
    }
    if (tasks == 0) continue;
    const std::uint32_t assigned_before = pending.assigned;
    request_rental(plan, o,
                   std::min(kMaxMachinesPerRent,
                            static_cast<int>((tasks + o.tasks_per_machine - 1) / o.tasks_per_machine)),
                   pending);
    if (is_deferrable(pending.demand))
      plan.backlogs[pending.share].slots += pending.assigned - assigned_before;
  }
}

// ---------------------------------------------------------------- gangs

/// A gang runs whole or not at all, and mostly in one zone. Machines are moved or rented for it only where
/// all of it will fit; otherwise shares would move machines back and forth that help neither of them.
void Provisioner::satisfy_gang(Plan& plan, PendingDemand& pending) {
  struct ZoneChoice {
    std::string zone;
    std::uint32_t own_tasks = 0, booting_tasks = 0, movable_tasks = 0;
  };
  std::vector<ZoneChoice> choices;
  if (!pending.demand.one_zone) choices.push_back({});
  for (std::size_t z = 0; pending.demand.one_zone && z < platform_.zones.size(); ++z)
    choices.push_back({platform_.zones[z]});
  for (auto& c : choices) {
    // Draining underused machines may take long: only where the cloud offers no more.
    const bool include_underused =
        pending.demand.starved && available_offers(pending, plan.now, c.zone).empty();
    for (const auto& machine : plan.capacities) {
      if ((!c.zone.empty() && machine.zone != c.zone) || !can_use(pending, machine)) continue;
      const auto n = tasks_fitting(pending.demand, machine.free);
      if (machine.booting)
        c.booting_tasks += machine.share == -1 || machine.share == pending.share ? n : 0;
      else if (machine.share == pending.share)
        c.own_tasks += n;
      else if (can_move(machine, pending) || can_drain_for_gpu_work(machine, pending))
        c.movable_tasks += n;
      else if (include_underused && has_unused_capacity_for(machine, pending))
        c.movable_tasks += tasks_fitting(pending.demand, types_[machine.type].total);
    }
  }
  const std::uint32_t tasks_needed = pending.remaining;
  auto missing = [tasks_needed](std::uint32_t have) {
    return have >= tasks_needed ? 0 : tasks_needed - have;
  };
  const ZoneChoice* best = nullptr;
  std::vector<Offer> best_offers;
  std::tuple<std::uint32_t, std::uint32_t, std::uint32_t> best_score{};
  for (const auto& c : choices) {
    const auto to_rent = missing(c.own_tasks + c.movable_tasks + c.booting_tasks);
    auto zone_offers = available_offers(pending, plan.now, c.zone);
    if (to_rent > 0 && zone_offers.empty()) continue;
    const std::tuple score{to_rent, missing(c.own_tasks + c.movable_tasks), missing(c.own_tasks)};
    if (best && score >= best_score) continue;
    best = &c, best_score = score, best_offers = std::move(zone_offers);
  }
  if (!best) return;
  const std::string zone = best->zone;
  const auto to_rent = std::get<0>(best_score);
  const bool move_now = std::get<1>(best_score) == 0;
  for (auto& machine : plan.capacities)
    if ((zone.empty() || machine.zone == zone) && machine.share == pending.share && !machine.booting)
      assign_tasks(pending, machine);
  for (auto& machine : plan.capacities) {
    if (pending.remaining == 0) return;
    if (!zone.empty() && machine.zone != zone) continue;
    const int from = machine.share;
    if (move_now && best_offers.empty() && has_unused_capacity_for(machine, pending) &&
        !can_drain_for_gpu_work(machine, pending)) {
      drain_underused_machine(plan, machine, pending);
      assign_tasks(pending, machine);
      continue;
    }
    const bool drain = can_drain_for_gpu_work(machine, pending);
    if ((!drain && !can_move(machine, pending)) || assign_tasks(pending, machine) == 0) continue;
    if (!move_now) continue;  // reserved, and moved once the other machines are up
    if (drain) draining_[machine.id] = {pending.share, plan.now + kPreemptingDrainTime};
    plan.actions.emplace_back(MoveMachine{machine.id, from, pending.share, drain, pending.demand.rank});
    machine.share = pending.share;
  }
  for (auto& machine : plan.capacities) {
    if (!machine.booting || (!zone.empty() && machine.zone != zone) ||
        (machine.share != -1 && machine.share != pending.share))
      continue;
    if (assign_tasks(pending, machine) == 0) continue;
    machine.share = pending.share;
    if (auto b = booting_.find(machine.id); b != booting_.end()) b->second.claimed_by_share = pending.share;
  }
  if (to_rent == 0 || best_offers.empty() || plan.rent_requests >= kMaxRentsPerTick ||
      unanswered_rents_.size() >= kMaxUnansweredRents)
    return;
  const Offer& o = best_offers.front();
  if (awaits_retry(o)) return;
  request_rental(
      plan, o,
      std::min(kMaxMachinesPerRent,
               static_cast<int>((pending.remaining + o.tasks_per_machine - 1) / o.tasks_per_machine)),
      pending);
}

void Provisioner::satisfy(Plan& plan, PendingDemand& pending) {
  if (pending.demand.shape == wire::Shape::gang) {
    renew_drains(plan, pending);
    return pending.remaining > 0 ? satisfy_gang(plan, pending) : void();
  }
  // For urgent work a booting machine is up too late: machines with lower-rank tasks are drained for it, and
  // the booting ones are left for those tasks.
  const bool urgent =
      pending.demand.rank >= wire::Rank::high && pending.demand.slack_ms < kMinBootTime / kMillisecond;
  if (!urgent) claim_booting_machines(plan, pending);
  move_empty_machines(plan, pending);
  drain_lower_rank_machines(plan, pending);
  renew_drains(plan, pending);
  drain_underused_machines(plan, pending);
  if (urgent) claim_booting_machines(plan, pending);
  if (is_deferrable(pending.demand)) {
    // Running deferrable tasks free their capacity soon. The demand with the least slack takes it first,
    // whichever job's tasks ran there.
    auto [it, first] = plan.backlogs.try_emplace(pending.share);
    if (first) it->second.slots = plan.running_deferrable[pending.share];
    it->second.task_seconds += outstanding_task_seconds(pending.demand);
    it->second.slots += pending.assigned;
  }
  rent_machines_for(plan, pending);
}

}  // namespace aspenwick::fleet
