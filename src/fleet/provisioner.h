// Capacity planning, done by the leader for all shares: which machines to rent from the cloud, to move
// between shares and to return to the cloud. Does no I/O: it is fed events and the time, and returns actions.
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
using share::ShareReport;

/// Tunables. Fields that operators can set keep the name of their `renting.` setting.
struct ProvisionerSettings {
  // How long a machine must be idle before it is returned to the cloud.
  Micros idle_after = 40 * kSecond;
  Micros idle_gpu_after = 20 * kSecond;       // with GPUs, which cost many times as much
  Micros idle_spot_gpu_after = 45 * kSecond;  // spot with GPUs: cheap, and it keeps its images cached
  Micros lapsed_after = 8 * kSecond;          // an empty machine whose worker's lease lapsed is returned
  Micros refused_for = 12 * kSecond;    // an offer that the cloud refused is not requested again, at least
  Micros drain_interval = 1 * kSecond;  // between rounds of drains, for high-rank work and of GPU machines
  double expensive_price_factor = 3;    // offers above this multiple of the cheapest are for urgent work only
  // A machine that has not reported after `straggler_factor` nominal boot times plus `straggler_extra` is
  // deleted.
  double straggler_factor = 2.5;
  Micros straggler_extra = 15 * kSecond;
  Micros min_idle_before_move = kSecond;  // an empty machine is not moved to another share before
  // Backlog per running task (time to finish it at the current rate) above which a share gets machines of
  // shares with less; 0: never.
  Micros level_above = 60 * kSecond;
  Micros patience = 40 * kSecond;  // capacity is rented to finish a deferrable backlog in about this time
  double slack_fraction = 0.85;    // expensive machines are rented if the backlog would use more of its slack
};

/// Rent `count` machines from the cloud.
struct RentMachines {
  std::size_t type = 0;  // index into the machine types
  std::string zone;
  bool spot = false;
  int count = 1;
  int share = -1;  // whose tasks they are meant for
  bool operator==(const RentMachines&) const = default;
};
/// Ask the owner of share `from` to release a machine to share `to`; -1: to be deleted.
struct MoveMachine {
  std::string machine;
  int from = 0, to = -1;
  bool drain = false;                 // the machine is not empty: place nothing more, release it once empty
  wire::Rank rank = wire::Rank::low;  // with `drain`: tasks below it are stopped; low: none
};
/// Delete machines at the cloud.
struct DeleteMachines {
  std::vector<std::string> machines;
};
using Action = std::variant<RentMachines, MoveMachine, DeleteMachines>;

/// Generates idempotency keys for rental requests. A key must never repeat: the cloud answers a key that it
/// knows with the machines of the earlier request. So the object outlives the provisioner and keeps counting
/// when the leader resumes with the same epoch.
class RentalIdempotencyKeys {
 public:
  std::string next(std::uint64_t epoch) {
    if (epoch != epoch_) epoch_ = epoch, count_ = 0;
    return "e" + std::to_string(epoch_) + "-" + std::to_string(++count_);
  }

 private:
  std::uint64_t epoch_ = 0, count_ = 0;
};

/// Plans capacity for one term of leadership. `platform` and `types` must outlive it, and `types` must not
/// change. Machines are identified by their cloud ids.
class Provisioner {
 public:
  Provisioner(const wire::PlatformSettings& platform, const std::vector<wire::MachineType>& types,
              ProvisionerSettings settings)
      : platform_(platform), types_(types), settings_(settings) {}

  /// The cloud's complete machine list. It may lag by the platform's `cloud_list_lag`, and an older list may
  /// follow a newer one.
  void on_machines_listed(const std::vector<wire::CloudMachine>& machines,
                          const std::map<std::string, MachineRecord>& records, Micros now);
  /// The answer to a RentMachines action, with the HTTP status and the ids of the machines granted. Must be
  /// called for every such action: unanswered ones count as capacity and are limited in number.
  void on_rent_result(const RentMachines& rent, int status, const std::vector<std::string>& ids, Micros now);
  /// The outcome of a DeleteMachines action; not ok: they may be requested again at once.
  void on_delete_result(const std::vector<std::string>& ids, bool ok, Micros now);
  void set_spot_prices(const std::vector<wire::MachineType>& current);

  /// Plans one pass over all shares' demands and machines; called about twice a second. `records` are the
  /// machine records of the state service.
  std::vector<Action> tick(Micros now, const std::vector<ShareReport>& shares,
                           const std::map<std::string, MachineRecord>& records);
  /// The share for a machine whose worker reports before the machine has a record; `shares` is their number.
  int share_for_new_machine(const std::string& machine, const std::string& type, int shares);
  /// The machine has a record now: it no longer counts as booting.
  void on_machine_registered(const std::string& machine) { booting_.erase(machine); }
  bool has_booting() const { return !booting_.empty(); }

 private:
  /// A rented machine without a record.
  struct BootingMachine {
    std::size_t type = 0;
    std::string zone;
    bool spot = false;
    Micros rented_at = 0;
    bool was_listed = false;
    Micros last_listed = 0;
    int claimed_by_share = -1;  // whose tasks it is meant for; -1: none
  };
  /// The capacity of one machine that runs, boots or has been requested, as a tick assigns it.
  struct MachineCapacity {
    std::string id;  // empty: requested, not yet granted
    int share = -1;  // that can use it: the owner, or the one that it is drained for; -1: any
    std::size_t type = 0;
    std::string zone;
    // `reserved`: taken in this tick, by pending tasks or a drain; `reserved_for_gpu`: by GPU work.
    bool spot = false, empty = false, reserved = false, reserved_for_gpu = false, booting = false;
    wire::Resources free;             // that tasks can be assigned to in this tick
    wire::Resources unused;           // beside all its tasks: the minimum over some time
    bool unused_long_enough = false;  // for at least kMinUnusedTime
    int owner_share = -1;             // also while it is drained for another share
    std::uint32_t idle_ms = 0;
    wire::Rank highest_rank = wire::Rank::low;  // of its tasks
  };
  /// The resources that a machine has had free continuously since a point in time.
  struct UnusedCapacity {
    wire::Resources min_free;
    Micros since = 0, last_seen = 0;
  };
  /// One share's demand, and how many of its tasks this tick has assigned to machines.
  struct PendingDemand {
    int share = 0;
    share::Demand demand;
    std::uint32_t remaining = 0, assigned = 0;
    bool other_share_has_capacity = false;  // though the demand is starved
    std::map<std::string, std::uint32_t> assigned_by_zone;
  };
  /// The working state of one tick.
  struct Plan {
    Micros now = 0;
    std::vector<MachineCapacity> capacities;
    std::vector<PendingDemand> pending_demands;
    std::set<int> shares_short_of_capacity;  // whose own machines cannot hold all their demands
    /// A share's deferrable work, summed in order of rank and slack up to the demand in progress.
    struct Backlog {
      double task_seconds = 0;
      double slots = 0;  // tasks that run on it, or are assigned capacity
    };
    std::map<int, Backlog> backlogs;           // by share
    std::map<int, double> running_deferrable;  // running tasks of deferrable work, by share
    std::vector<Action> actions;
    int rent_requests = 0;
  };
  /// A machine type in a zone, as the cloud offers it, rated for one demand.
  struct Offer {
    std::size_t type = 0;
    std::string zone;
    bool spot = false;
    double cost_per_task = 0;
    std::uint32_t tasks_per_machine = 0;
  };

  Micros refusal_time(Micros now) const;
  void delete_failed_machines(Plan& plan, const std::map<std::string, MachineRecord>& records);
  void collect_demand_and_capacity(Plan& plan, const std::vector<ShareReport>& shares,
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
  bool awaits_retry(const Offer& offer) const;
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
  std::vector<RentMachines> unanswered_rents_;  // their machines count as booting
  // By offer name, unless the last request for it was granted in full.
  std::map<std::string, Micros> refused_until_;
  std::map<std::string, Micros> deleting_;      // machine -> when its deletion was last requested
  std::map<std::string, double> spot_price_;    // by machine type
  std::map<std::string, Micros> failed_since_;  // machines that the cloud reports as failed
  // Machine -> the share that gets it (-1: to be deleted), and until when the drain lasts.
  std::map<std::string, std::pair<int, Micros>> draining_;
  std::map<std::string, UnusedCapacity> unused_capacity_;  // by machine
  std::vector<bool> gpu_work_types_;  // by machine type: GPU work that can use it has been seen
  Micros next_drain_ = 0, next_consolidation_ = 0, next_rebalance_ = 0;
  int next_registration_share_ = 0;  // round robin
};

}  // namespace aspenwick::fleet
