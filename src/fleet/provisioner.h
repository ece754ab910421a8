// The leader's part: which machines to rent, to move between shares, and to give back. Socket-free.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "share/peer_frame.h"

namespace aspenwick::fleet {

using share::MachineRecord;
using share::ShareSaid;

struct ProvisionerSettings {
  Micros idle_after = 40 * kSecond;           // an empty machine goes back
  Micros idle_gpu_after = 20 * kSecond;       // one with GPUs, which costs many times as much
  Micros idle_spot_gpu_after = 45 * kSecond;  // a cheap one keeps its images warm
  Micros lapsed_after = 8 * kSecond;          // a machine whose worker is gone goes back
  Micros refused_for = 12 * kSecond;          // after "no capacity"
  Micros drain_interval = 1 * kSecond;        // machines taken from lower-ranking work
  double expensive_price_factor = 3;          // an offer this much above the cheapest only for urgent work
  double straggler_factor = 2.5;              // of the nominal boot time
  Micros straggler_extra = 15 * kSecond;
  Micros min_idle_before_move = kSecond;  // an empty machine may be moved after this
  Micros level_above =
      60 * kSecond;  // a share with more work in hand gets machines that run empty elsewhere; 0: never
  Micros patience = 40 * kSecond;  // low-priority work should drain in about this time
  double slack_fraction = 0.85;    // of its slack, before dear machines are rented for low-priority work
};

struct RentMachines {
  std::size_t type = 0;
  std::string zone;
  bool spot = false;
  int count = 1;
  int share = -1;  // for whose tasks
  bool operator==(const RentMachines&) const = default;
};
struct MoveMachine {
  std::string machine;
  int from = 0, to = -1;
  bool drain = false;
  wire::Rank rank = wire::Rank::low;
};
struct DeleteMachines {
  std::vector<std::string> machines;
};
using Action = std::variant<RentMachines, MoveMachine, DeleteMachines>;

/// Names of rental requests, never used twice: the cloud answers a name that it knows with the old machines.
/// They go on after a pause in which we could not lead, as long as the epoch is the same.
class RentalIdempotencyKeys {
 public:
  std::string next(std::uint64_t epoch) {
    if (epoch != epoch_) epoch_ = epoch, count_ = 0;
    return "e" + std::to_string(epoch_) + "-" + std::to_string(++count_);
  }

 private:
  std::uint64_t epoch_ = 0, count_ = 0;
};

class Provisioner {
 public:
  Provisioner(const wire::PlatformSettings& platform, const std::vector<wire::MachineType>& types,
              ProvisionerSettings settings)
      : platform_(platform), types_(types), settings_(settings) {}

  void listed(const std::vector<wire::CloudMachine>& machines,
              const std::map<std::string, MachineRecord>& records, Micros now);
  void rented(const RentMachines& rent, int status, const std::vector<std::string>& ids, Micros now);
  void deleted(const std::vector<std::string>& ids, bool ok, Micros now);
  void set_spot_prices(const std::vector<wire::MachineType>& current);

  std::vector<Action> tick(Micros now, const std::vector<ShareSaid>& shares,
                           const std::map<std::string, MachineRecord>& records);
  /// The share that a machine which reports without a record should join.
  int share_for(const std::string& machine, const std::string& type, int shares);
  void adopted(const std::string& machine) { booting_.erase(machine); }
  bool has_booting() const { return !booting_.empty(); }

 private:
  struct BootingMachine {
    std::size_t type = 0;
    std::string zone;
    bool spot = false;
    Micros rented_at = 0;
    bool was_listed = false;
    Micros last_listed = 0;
    int claimed_by_share = -1;
  };
  /// Free room of one machine, up or coming.
  struct MachineCapacity {
    std::string id;  // empty: asked for, not yet answered
    int share = -1;
    std::size_t type = 0;
    std::string zone;
    bool spot = false, empty = false, reserved = false, reserved_for_gpu = false, booting = false;
    wire::Resources free;
    wire::Resources unused;           // beside all that runs there
    bool unused_long_enough = false;  // so much was unused for some seconds
    int owner_share = -1;             // the share that has it, also while it is drained for another
    std::uint32_t idle_ms = 0;
    wire::Rank top_rank = wire::Rank::low;
  };
  /// What a machine had unused at least, and since when.
  struct UnusedCapacity {
    wire::Resources min_free;
    Micros since = 0, last_seen = 0;
  };
  struct PendingDemand {
    int share = 0;
    share::Demand demand;
    std::uint32_t remaining = 0, assigned = 0;
    bool other_share_has_room = false;  // passed over while other shares have room
    std::map<std::string, std::uint32_t> assigned_by_zone;
  };
  /// What one tick works on.
  struct Plan {
    Micros now = 0;
    std::vector<MachineCapacity> capacities;
    std::vector<PendingDemand> pending_demands;
    std::set<int> shares_short_of_capacity;  // shares whose own room does not do
    /// A share's work that can wait, up to the demand at hand in the order of its slack.
    struct Backlog {
      double task_seconds = 0;  // in task seconds
      double slots = 0;         // that work on it, or will
    };
    std::map<int, Backlog> backlogs;
    std::map<int, double> running_deferrable;  // tasks of work that can wait, of each share
    std::vector<Action> actions;
    int rent_requests = 0;
  };
  struct Offer {
    std::size_t type = 0;
    std::string zone;
    bool spot = false;
    double cost_per_task = 0;  // per task
    std::uint32_t tasks_per_machine = 0;
  };

  void delete_failed_machines(Plan& plan, const std::map<std::string, MachineRecord>& records);
  void collect_demand_and_capacity(Plan& plan, const std::vector<ShareSaid>& shares,
                                   const std::map<std::string, MachineRecord>& records);
  void satisfy(Plan& plan, PendingDemand& pending);
  void satisfy_gang(Plan& plan, PendingDemand& pending);
  void claim_booting_machines(Plan& plan, PendingDemand& pending);
  void move_empty_machines(Plan& plan, PendingDemand& pending);
  void drain_lower_rank_machines(Plan& plan, PendingDemand& pending);
  bool has_unused_capacity_for(const MachineCapacity& machine, const PendingDemand& pending) const;
  void drain_underused_machine(Plan& plan, MachineCapacity& machine, const PendingDemand& pending);
  void drain_underused_machines(Plan& plan, PendingDemand& pending);
  void renew_drains(Plan& plan, const PendingDemand& pending);
  bool fits_only_gpu_work_types(const PendingDemand& pending) const;
  void rent_machines_for(Plan& plan, PendingDemand& pending);
  void request_rental(Plan& plan, const Offer& offer, int count, PendingDemand& pending);
  void rebalance(Plan& plan);
  void release_idle_machines(Plan& plan);
  bool can_move(const MachineCapacity& machine, const PendingDemand& pending) const;
  bool can_drain_for_gpu_work(const MachineCapacity& machine, const PendingDemand& pending) const;
  std::vector<Offer> available_offers(const PendingDemand& pending, Micros now,
                                      const std::string& only_zone) const;
  static bool is_deferrable(const share::Demand& d);
  std::uint32_t tasks_needing_capacity(const Plan& plan, const PendingDemand& pending, bool expensive) const;
  std::uint32_t assign_tasks(PendingDemand& pending, MachineCapacity& machine) const;
  bool can_use(const PendingDemand& pending, const MachineCapacity& machine) const;
  bool matches_constraints(const PendingDemand& pending, std::size_t type, const std::string& zone,
                           bool spot) const;
  std::uint32_t tasks_fitting(const share::Demand& d, const wire::Resources& capacity) const;
  std::size_t type_index(const std::string& name) const;

  const wire::PlatformSettings& platform_;
  const std::vector<wire::MachineType>& types_;
  ProvisionerSettings settings_;
  std::map<std::string, BootingMachine> booting_;
  std::vector<RentMachines> unanswered_rents_;  // not yet answered: their machines count as coming
  std::map<std::string, Micros> refused_until_;
  std::map<std::string, Micros> deleting_;
  std::map<std::string, double> spot_price_;
  std::map<std::string, Micros> failed_since_;
  std::map<std::string, std::pair<int, Micros>> draining_;  // machine -> share that gets it, until
  std::map<std::string, UnusedCapacity> unused_capacity_;   // by machine
  std::vector<bool> gpu_work_types_;
  Micros next_drain_ = 0, next_consolidation_ = 0, next_rebalance_ = 0;
  int next_adopting_share_ = 0;
};

}  // namespace aspenwick::fleet
