#include "share/demand.h"

#include <algorithm>
#include <bit>
#include <set>

namespace aspenwick::share {

using wire::Shape;

namespace {
constexpr std::uint64_t kMaxTasksListed = 1'000'000'000;  // keeps the leader's sums within 32 bits

std::uint32_t add_tasks(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::uint32_t>(std::min(std::uint64_t{a} + b, kMaxTasksListed));
}

void add_tasks_of(const Demand& added, Demand& to) {
  to.waiting = add_tasks(to.waiting, added.waiting);
  to.running = add_tasks(to.running, added.running);
  to.max_per_zone = add_tasks(to.max_per_zone, added.max_per_zone);
}

DemandList::Group group_of(const Demand& d) {
  const std::uint32_t gang_tasks = d.shape == Shape::gang ? d.waiting : 0;
  return {{d.rank, d.shape, d.need.gpus > 0, d.spot, d.one_zone, d.excludes_gpu_machines, d.starved,
           d.accepts_any_machine, d.max_per_zone > 0, d.zone, d.type_mask, d.closed_zone_mask, gang_tasks},
          {d.need.gpus, d.need.cpus, d.need.memory},
          static_cast<int>(std::bit_width(d.slack_ms / 1000))};
}
}  // namespace

/// Of gangs only one stands for all, since their tasks do not start one by one.
void DemandList::Merged::add(const Merged& other) {
  jobs += other.jobs;
  demand.slack_ms = std::min(demand.slack_ms, other.demand.slack_ms);
  if (demand.shape == Shape::gang) return;
  run_ms += other.run_ms;
  add_tasks_of(other.demand, demand);
  demand.estimated_run_ms = static_cast<std::uint32_t>(run_ms / std::max(1U, demand.waiting));
}

void DemandList::add(Demand demand) {
  ++jobs_;
  // A gang of one task is as good as a service of one, whose tasks can be added up.
  const bool listed_alone = single_.size() < kMaxSingle;
  if (!listed_alone && demand.shape == Shape::gang && demand.waiting == 1 && demand.running == 0)
    demand.shape = Shape::service;
  const Merged one{demand, static_cast<double>(demand.estimated_run_ms) * demand.waiting, 1};
  if (demand.shape == Shape::service && !demand.one_zone) {
    Group requirements = group_of(demand);
    requirements.slack_magnitude = 0;
    const auto listed = listed_services_.find(requirements);
    if (listed != listed_services_.end()) return add_tasks_of(demand, single_[listed->second]);
    if (listed_alone) listed_services_.emplace(requirements, single_.size());
  }
  if (listed_alone) {
    single_.push_back(demand);
    return;
  }
  const auto [group, added] = groups_.try_emplace(group_of(demand), one);
  if (!added) group->second.add(one);
}

/// The groups, and with what is left of the list, further gangs of the same groups.
void DemandList::append_all_groups(std::vector<Demand>& list) const {
  std::size_t places_left = kMaxMerged - groups_.size();
  for (const auto& [group, merged] : groups_) {
    list.push_back(merged.demand);
    if (merged.demand.shape != Shape::gang) continue;
    const std::size_t further = std::min(places_left, merged.jobs - 1);
    list.insert(list.end(), further, merged.demand);
    places_left -= further;
  }
}

void DemandList::append_groups_in_turn(std::vector<Demand>& list, Turns& turns, Micros now) const {
  std::set<Class> all_classes;
  for (const auto& [group, merged] : groups_) all_classes.insert(group.requirements);
  const std::size_t places_for_classes = std::min(all_classes.size(), kMaxMerged / 2);
  std::set<Group> listed;
  for (const auto* entry : turns.groups.select(groups_, kMaxMerged - places_for_classes, now)) {
    list.push_back(entry->second.demand);
    listed.insert(entry->first);
  }
  // Groups of a class follow one another, the one with the smallest need first.
  std::map<Class, Merged> classes;
  for (const auto& [group, merged] : groups_) {
    if (listed.contains(group)) continue;
    const auto [same, added] = classes.try_emplace(group.requirements, merged);
    if (!added) same->second.add(merged);
  }
  for (const auto* entry : turns.classes.select(classes, places_for_classes, now))
    list.push_back(entry->second.demand);
}

std::vector<Demand> DemandList::select(Turns& turns, Micros now) const {
  std::vector<Demand> list = single_;
  if (groups_.size() <= kMaxMerged)
    append_all_groups(list);
  else
    append_groups_in_turn(list, turns, now);
  return list;
}

}  // namespace aspenwick::share
