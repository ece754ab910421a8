// Returns machines that are no longer needed to the cloud; expensive ones are drained first.
#include "fleet/provisioner.h"
#include "fleet/provisioner_internal.h"

namespace aspenwick::fleet {
namespace {
constexpr Micros kSpotMoveAfterIdle = 6 * kSecond;  // to a share that uses on-demand machines of the type
}  // namespace

void Provisioner::release_idle_machines(Plan& plan) {
  // A GPU machine without GPU work, whose share has enough free capacity on other machines, takes no more
  // tasks and is returned when it is empty.
  for (const auto& machine : plan.capacities) {
    if (plan.now < next_consolidation_ || machine.booting || machine.empty ||
        plan.shares_short_of_capacity.contains(machine.share) || draining_.contains(machine.id))
      continue;
    const auto& total = types_[machine.type].total;
    if (total.gpus == 0 || gpu_work_types_[machine.type] || machine.spot ||
        machine.highest_rank >= wire::Rank::production)
      continue;
    std::int64_t free_elsewhere = 0;
    for (const auto& o : plan.capacities)
      if (o.share == machine.share && o.id != machine.id && !o.booting && !draining_.contains(o.id))
        free_elsewhere += o.free.cpus;
    if (free_elsewhere < 2 * (total.cpus - machine.free.cpus)) continue;
    next_consolidation_ = plan.now + settings_.drain_interval;
    draining_[machine.id] = {-1, plan.now + kGracefulDrainTime};
    plan.actions.emplace_back(MoveMachine{machine.id, machine.share, -1, true, wire::Rank::low});
  }
  // While on-demand machines of a type are rented, a spot one that is idle for a moment is kept longer,
  // because gangs on on-demand machines move to it if their share has it.
  std::map<std::size_t, std::set<int>>
      on_demand_users;  // type -> shares with on-demand machines in use; -1: others
  for (const auto& machine : plan.capacities)
    if (!machine.spot && !draining_.contains(machine.id))
      on_demand_users[machine.type].insert(machine.booting || machine.empty ? -1 : machine.share);
  for (const auto& machine : plan.capacities) {
    if (machine.booting || draining_.contains(machine.id)) continue;
    const Micros idle = machine.idle_ms * kMillisecond;
    if (gpu_work_types_[machine.type]) {
      if (auto o = on_demand_users.find(machine.type);
          machine.spot && o != on_demand_users.end() && idle < 2 * settings_.idle_spot_gpu_after) {
        const int user_share = *o->second.rbegin();
        if (machine.empty && !machine.reserved_for_gpu && user_share >= 0 &&
            !o->second.contains(machine.share) && idle >= kSpotMoveAfterIdle)
          plan.actions.emplace_back(MoveMachine{machine.id, machine.share, user_share});
        continue;
      }
      if (machine.reserved_for_gpu ||
          idle < (machine.spot ? settings_.idle_spot_gpu_after : settings_.idle_gpu_after) ||
          machine.highest_rank > wire::Rank::low)
        continue;
      if (!machine.empty) draining_[machine.id] = {-1, plan.now + kPreemptingDrainTime};
      plan.actions.emplace_back(
          MoveMachine{machine.id, machine.share, -1, !machine.empty, wire::Rank::normal});
    } else if (!machine.reserved && machine.empty &&
               idle >=
                   (types_[machine.type].total.gpus > 0 ? settings_.idle_gpu_after : settings_.idle_after)) {
      plan.actions.emplace_back(MoveMachine{machine.id, machine.share, -1});
    }
  }
}

}  // namespace aspenwick::fleet
