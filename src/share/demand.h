// The waiting work that the owner of a share reports to the leader: a list whose length is bounded, and which
// leaves no waiting job out for good.
#pragma once
#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "wire/wire.h"

namespace aspenwick::share {

/// Waiting tasks with the same requirements, reported to the leader, which rents and moves machines for them.
struct Demand {
  wire::Resources need;             // of one task
  std::uint64_t type_mask = ~0ULL;  // allowed machine types: one bit each, in name order
  std::uint8_t zone = 255;          // the only allowed zone, an index into the settings' zones; 255: any
  wire::Rank rank = wire::Rank::low;
  wire::Shape shape = wire::Shape::array;
  bool spot = false, one_zone = false;
  bool excludes_gpu_machines = false;  // for now it waits for a machine without GPUs
  bool starved = false;  // no task has started for long: the leader drains machines of other shares for it
  bool accepts_any_machine = false;  // starved for longer: may also use machines kept for GPU work
  std::uint32_t waiting = 0, running = 0;
  std::uint32_t closed_zone_mask = 0;  // zones that may take no more of its tasks: one bit each
  std::uint32_t max_per_zone = 0;      // most tasks in one zone; 0: no limit
  std::uint32_t slack_ms = 0;          // time left until the tasks should have started
  std::uint32_t estimated_run_ms = 0;
  bool operator==(const Demand&) const = default;
};

/// Selects some entries of a map at a time, in key order, so that each entry has its turn however the others
/// change meanwhile.
template <typename Key>
class TurnTaker {
 public:
  /// Up to `count` entries, from the one after the last of the previous turn. They stay the same for a turn.
  template <typename Value>
  std::vector<const std::pair<const Key, Value>*> select(const std::map<Key, Value>& entries,
                                                         std::size_t count, Micros now) {
    if (now >= turn_ends_) previous_last_ = last_, turn_ends_ = now + kTurn;
    std::vector<const std::pair<const Key, Value>*> selected;
    auto next = previous_last_ ? entries.upper_bound(*previous_last_) : entries.begin();
    while (selected.size() < std::min(count, entries.size())) {
      if (next == entries.end()) next = entries.begin();
      selected.push_back(&*next++);
    }
    if (!selected.empty()) last_ = selected.back()->first;
    return selected;
  }

 private:
  static constexpr Micros kTurn = kSecond;  // reports are sent, and the leader plans, twice in that time
  std::optional<Key> previous_last_, last_;
  Micros turn_ends_ = 0;
};

/// Collects the demands of a share's jobs for one report. The first jobs are listed one by one, except that
/// ninety waiting services would fill the places: those with the same requirements share one. The other jobs
/// are merged into groups with the same requirements, and the groups are listed. If there are too many, they
/// take turns, and those whose turn it is not are merged further, into classes whose tasks may run on the
/// same machines. A class is listed with the smallest need in it. Classes have at most half of the places.
class DemandList {
 public:
  static constexpr std::size_t kMaxSingle = 64;  // jobs listed one by one
  static constexpr std::size_t kMaxMerged = 64;  // groups and classes listed

  /// Requirements other than the resources. In a report, gangs of different sizes have different ones, since
  /// a gang starts whole or not at all.
  struct Class {
    wire::Rank rank;
    wire::Shape shape;
    bool gpus, spot, one_zone, excludes_gpu_machines, starved, accepts_any_machine, limited_per_zone;
    std::uint8_t zone;
    std::uint64_t type_mask;
    std::uint32_t closed_zone_mask, gang_tasks;
    auto operator<=>(const Class&) const = default;
  };
  /// A class, what one task needs, and roughly how much time is left for its start.
  struct Group {
    Class requirements;
    std::array<std::int64_t, 3> need;  // GPUs, CPUs, memory
    int slack_magnitude;               // bits of the slack in seconds
    auto operator<=>(const Group&) const = default;
  };
  /// Whose turn it is to be listed, kept from one report to the next.
  struct Turns {
    TurnTaker<Group> groups;
    TurnTaker<Class> classes;
  };

  /// Adds the demand of one job. Jobs are added in the order in which they are to be placed.
  void add(Demand demand);
  /// The list to report, of at most kMaxSingle + kMaxMerged entries.
  std::vector<Demand> select(Turns& turns, Micros now) const;
  std::size_t jobs() const { return jobs_; }
  std::size_t groups() const { return groups_.size(); }

 private:
  /// The demands of several jobs as one.
  struct Merged {
    Demand demand;
    double run_ms = 0;  // expected run time of all waiting tasks
    std::size_t jobs = 0;
    void add(const Merged& other);
  };
  void append_all_groups(std::vector<Demand>& list) const;
  void append_groups_in_turn(std::vector<Demand>& list, Turns& turns, Micros now) const;

  std::size_t jobs_ = 0;
  std::vector<Demand> single_;
  std::map<Group, std::size_t> listed_services_;  // their positions in single_
  std::map<Group, Merged> groups_;
};

}  // namespace aspenwick::share
