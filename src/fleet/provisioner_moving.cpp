// Moves of machines between shares: empty ones, ones drained for work that ranks higher or has waited for
// long, and ones that a share with a longer backlog gets.
#include <algorithm>

#include "fleet/provisioner.h"
#include "fleet/provisioner_internal.h"

namespace aspenwick::fleet {
namespace {
constexpr int kMaxDrainsPerTick = 4;
constexpr double kRebalanceRatio = 4;  // a share gives machines to one with over this many times its backlog
constexpr std::int64_t kMaxTasksOnMovedMachine = 2;
constexpr std::size_t kMachinesPerRebalanceMove = 100;  // a pass drains 1 machine, and 1 more per 100
constexpr Micros kDrainRenewalMargin = 10 * kSecond;    // a drain is renewed this long before it ends
}  // namespace

// ---------------------------------------------------------------- empty machines, preemption

/// The machine is empty and another share's, and can be moved without a drain.
bool Provisioner::can_move(const MachineCapacity& machine, const PendingDemand& pending) const {
  return !machine.booting && !machine.reserved && machine.empty && machine.share != pending.share &&
         machine.idle_ms * kMillisecond >= settings_.min_idle_before_move;
}

/// The machine runs only low-rank tasks that use no GPU, so it can be drained for another share's GPU work.
bool Provisioner::can_drain_for_gpu_work(const MachineCapacity& machine, const PendingDemand& pending) const {
  return pending.demand.need.gpus > 0 && !machine.booting && !machine.empty && !machine.reserved_for_gpu &&
         machine.share != pending.share && machine.highest_rank == wire::Rank::low &&
         machine.free.gpus == types_[machine.type].total.gpus && !draining_.contains(machine.id);
}

void Provisioner::claim_booting_machines(Plan& plan, PendingDemand& pending) {
  // The share's earlier claims first: if claims changed between ticks, machines would join shares that do not
  // need them.
  for (const bool own : {true, false})
    for (auto& machine : plan.capacities) {
      if (pending.remaining == 0) return;
      if (!machine.booting || (machine.share != -1 && machine.share != pending.share)) continue;
      auto b = booting_.find(machine.id);
      if (own && (b == booting_.end() || b->second.claimed_by_share != pending.share)) continue;
      if (assign_tasks(pending, machine) == 0) continue;
      machine.share = pending.share;
      if (b != booting_.end()) b->second.claimed_by_share = pending.share;
    }
}

void Provisioner::move_empty_machines(Plan& plan, PendingDemand& pending) {
  for (auto& machine : plan.capacities) {
    if (pending.remaining == 0) return;
    const int from = machine.share;
    const bool drain = can_drain_for_gpu_work(machine, pending);
    if ((!drain && !can_move(machine, pending)) || assign_tasks(pending, machine) == 0) continue;
    if (drain) draining_[machine.id] = {pending.share, plan.now + kPreemptingDrainTime};
    plan.actions.emplace_back(MoveMachine{machine.id, from, pending.share, drain, pending.demand.rank});
    machine.share = pending.share;
  }
}

/// For demands of rank high and above: drains other shares' machines that run only lower ranks, those first
/// where the fewest CPUs in use are given up per pending task.
void Provisioner::drain_lower_rank_machines(Plan& plan, PendingDemand& pending) {
  if (pending.demand.rank < wire::Rank::high || plan.now < next_drain_) return;
  for (int n = 0; n < kMaxDrainsPerTick && pending.remaining > 0; ++n) {
    MachineCapacity* cheapest = nullptr;
    double lowest_loss = 0;
    for (auto& machine : plan.capacities) {
      if (machine.booting || machine.share == pending.share || machine.highest_rank >= pending.demand.rank ||
          machine.empty)
        continue;
      if (draining_.contains(machine.id) ||
          (pending.demand.need.gpus == 0 && types_[machine.type].total.gpus > 0))
        continue;
      if (!matches_constraints(pending, machine.type, machine.zone, machine.spot) ||
          !pending.demand.need.fits_in(types_[machine.type].total))
        continue;
      // CPUs in use whose tasks are stopped, per pending task that fits instead.
      const auto& total = types_[machine.type].total;
      const double loss = static_cast<double>(total.cpus - machine.free.cpus) /
                          static_cast<double>(std::max(
                              1U, std::min(pending.remaining, tasks_fitting(pending.demand, total))));
      if (!cheapest || loss < lowest_loss) cheapest = &machine, lowest_loss = loss;
    }
    if (!cheapest) return;
    next_drain_ = plan.now + settings_.drain_interval;
    draining_[cheapest->id] = {pending.share, plan.now + kPreemptingDrainTime};
    plan.actions.emplace_back(
        MoveMachine{cheapest->id, cheapest->share, pending.share, true, pending.demand.rank});
    cheapest->share = pending.share;
    cheapest->free = types_[cheapest->type].total;
    assign_tasks(pending, *cheapest);
    cheapest->reserved = true;
  }
}

// ---------------------------------------------------------------- unused capacity of other shares

/// Another share's busy machine has had capacity for the starved demand for a while. It must have been
/// unused for kMinUnusedTime, as there is always some for a moment between two tasks. Machines with
/// production tasks are left out: these mostly run for good, so a drain would only keep the rest idle.
/// (Without these two rules, compact work on the largest fleet met fewer deadlines; which of the two matters
/// is not known.) For work that needs no GPU, so are machines with GPUs in use, which would be idle after the
/// drain, all for a few CPUs.
bool Provisioner::has_unused_capacity_for(const MachineCapacity& machine,
                                          const PendingDemand& pending) const {
  if (pending.demand.need.gpus == 0 && machine.free.gpus < types_[machine.type].total.gpus &&
      !fits_only_gpu_work_types(pending))
    return false;
  return pending.demand.starved && !machine.booting && !machine.empty && machine.share != pending.share &&
         !draining_.contains(machine.id) && machine.highest_rank < wire::Rank::production &&
         machine.unused_long_enough && can_use(pending, machine) &&
         pending.demand.need.fits_in(machine.free) && pending.demand.need.fits_in(machine.unused);
}

/// Drains the machine for the demand's share: tasks of lower rank are stopped. If a task ranks the same or
/// higher, all may finish, and nothing more is placed there.
void Provisioner::drain_underused_machine(Plan& plan, MachineCapacity& machine,
                                          const PendingDemand& pending) {
  const bool lower = machine.highest_rank < pending.demand.rank;
  draining_[machine.id] = {pending.share, plan.now + (lower ? kPreemptingDrainTime : kGracefulDrainTime)};
  plan.actions.emplace_back(MoveMachine{machine.id, machine.share, pending.share, true,
                                        lower ? pending.demand.rank : wire::Rank::low});
  machine.share = pending.share;
  machine.free = types_[machine.type].total;
  machine.reserved = true;
}

/// For a starved demand while other shares have capacity beside their tasks: drains the
/// machine with the lowest rank and then the fewest CPUs in use. Otherwise the demand would wait as long as
/// these shares have any work.
void Provisioner::drain_underused_machines(Plan& plan, PendingDemand& pending) {
  if (!pending.demand.starved) return;
  while (pending.remaining > 0) {
    MachineCapacity* best = nullptr;
    const auto key = [&](const MachineCapacity& machine) {
      return std::pair{machine.highest_rank, types_[machine.type].total.cpus - machine.free.cpus};
    };
    for (auto& machine : plan.capacities)
      if (has_unused_capacity_for(machine, pending) && (!best || key(machine) < key(*best))) best = &machine;
    if (!best) return;
    pending.other_share_has_capacity = true;
    const auto remaining_before = pending.remaining;
    drain_underused_machine(plan, *best, pending);
    if (assign_tasks(pending, *best) == 0) return;
    // The tasks there may run for long: keeps one task pending, as a rented machine may be up sooner.
    if (pending.remaining == 0) pending.remaining = std::min(remaining_before, 1U);
    if (pending.remaining <= 1) return;
  }
}

/// Renews drains for a starved demand, as tasks may run for longer than a drain lasts.
void Provisioner::renew_drains(Plan& plan, const PendingDemand& pending) {
  if (!pending.demand.starved) return;
  for (auto& [id, d] : draining_) {
    if (d.first != pending.share || d.second - plan.now > kDrainRenewalMargin) continue;
    const auto machine = std::find_if(plan.capacities.begin(), plan.capacities.end(),
                                      [&m = id](const MachineCapacity& o) { return o.id == m; });
    if (machine == plan.capacities.end() || machine->owner_share < 0 ||
        machine->owner_share == pending.share ||
        !matches_constraints(pending, machine->type, machine->zone, machine->spot))
      continue;
    d.second = plan.now + kGracefulDrainTime;
    plan.actions.emplace_back(MoveMachine{id, machine->owner_share, pending.share, true, wire::Rank::low});
  }
}

/// A task fits only machine types that GPU work can use.
bool Provisioner::fits_only_gpu_work_types(const PendingDemand& pending) const {
  for (std::size_t t = 0; t < types_.size(); ++t)
    if (!gpu_work_types_[t] && tasks_fitting(pending.demand, types_[t].total) > 0 &&
        (t >= 64 || pending.demand.type_mask >> t & 1))
      return false;
  return true;
}

// ---------------------------------------------------------------- rebalancing

/// Evens out the backlogs of deferrable work: if it waits in one share while another share starts its own at
/// once, machines of the latter that run only such work are drained without preemption, and move when empty.
/// Without this, the share that came first keeps its machines, since they are hardly ever empty.
void Provisioner::rebalance(Plan& plan) {
  if (settings_.level_above == 0 || plan.now < next_rebalance_) return;
  next_rebalance_ = plan.now + kSecond;
  struct ShareLoad {
    double waiting_seconds = 0, outstanding_seconds = 0,
           running_tasks = 0;  // of deferrable work; task seconds and tasks
    /// Until the waiting tasks have run, at the current rate.
    double backlog_seconds() const { return waiting_seconds / std::max(1.0, running_tasks); }
    const PendingDemand* largest_demand = nullptr;
  };
  std::map<int, ShareLoad> loads;
  for (const PendingDemand& pending : plan.pending_demands) {
    if (!is_deferrable(pending.demand) || pending.demand.need.gpus > 0) continue;
    ShareLoad& s = loads[pending.share];
    s.waiting_seconds += pending.demand.waiting * estimated_task_seconds(pending.demand);
    s.outstanding_seconds += outstanding_task_seconds(pending.demand);
    s.running_tasks += pending.demand.running;
    if (pending.demand.waiting > 0 &&
        (!s.largest_demand || pending.demand.waiting > s.largest_demand->demand.waiting))
      s.largest_demand = &pending;
  }
  const auto most_loaded = std::max_element(loads.begin(), loads.end(), [](const auto& a, const auto& b) {
    return a.second.backlog_seconds() < b.second.backlog_seconds();
  });
  if (most_loaded == loads.end() || !most_loaded->second.largest_demand ||
      most_loaded->second.backlog_seconds() < to_seconds(settings_.level_above))
    return;
  const auto& [to, receiver] = *most_loaded;
  const ShareLoad* donor = nullptr;
  int from = -1;
  for (const auto& [share, load] : loads)
    if (share != to && load.backlog_seconds() * kRebalanceRatio < receiver.backlog_seconds() &&
        (!donor || load.running_tasks > donor->running_tasks))
      donor = &load, from = share;
  if (!donor) return;
  // Moves as many tasks' capacity as would make both backlogs the same, but at most half of the donor's.
  const PendingDemand& pending = *receiver.largest_demand;
  double tasks_to_shift = std::min((receiver.outstanding_seconds * donor->running_tasks -
                                    donor->outstanding_seconds * receiver.running_tasks) /
                                       (receiver.outstanding_seconds + donor->outstanding_seconds),
                                   donor->running_tasks / 2);
  const auto used_cpus = [&](const MachineCapacity& machine) {
    return types_[machine.type].total.cpus - machine.free.cpus;
  };
  std::vector<MachineCapacity*> candidates;
  for (MachineCapacity& machine : plan.capacities) {
    const auto n = tasks_fitting(pending.demand, types_[machine.type].total);
    if (draining_.contains(machine.id) && machine.share == to) tasks_to_shift -= n;
    if (machine.share != from || machine.booting || machine.empty || draining_.contains(machine.id) ||
        n == 0 || machine.highest_rank != wire::Rank::low || types_[machine.type].total.gpus > 0 ||
        !matches_constraints(pending, machine.type, machine.zone, machine.spot))
      continue;
    // With many tasks, the last one ends late, and the rest of the machine is idle until then.
    if (used_cpus(machine) >
        std::max(types_[machine.type].total.cpus / 3, kMaxTasksOnMovedMachine * pending.demand.need.cpus))
      continue;
    candidates.push_back(&machine);
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [&](const MachineCapacity* a, const MachineCapacity* b) { return used_cpus(*a) < used_cpus(*b); });
  std::size_t moves_left = 1 + plan.capacities.size() / kMachinesPerRebalanceMove;
  for (MachineCapacity* machine : candidates) {
    const auto n = tasks_fitting(pending.demand, types_[machine->type].total);
    if (tasks_to_shift < n || moves_left-- == 0) return;
    tasks_to_shift -= n;
    draining_[machine->id] = {to, plan.now + kGracefulDrainTime};
    plan.actions.emplace_back(MoveMachine{machine->id, from, to, true, wire::Rank::low});
    machine->share = to, machine->reserved = true;
  }
}

}  // namespace aspenwick::fleet
