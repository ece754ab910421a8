// What an owner knows of its share: jobs, machines, and which attempt is, or may be, where.
#pragma once
#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "job/record.h"
#include "place/decision.h"
#include "place/delivery_tracker.h"
#include "wire/wire.h"

namespace aspenwick::place {

using job::DoneSet;
using job::JobSpec;
using wire::Order;
using wire::Resources;

inline constexpr unsigned kEpochShift = 20;  // tokens and attempts: epoch, then a counter within it
/// One more would be numbered as an attempt of the next epoch, and might meet one there.
inline constexpr std::uint64_t kAttemptsPerEpoch = (1ULL << kEpochShift) - 1;

/// A machine as recorded in its share.
struct MachineRecord {
  std::string id, address, type, zone;
  bool spot = false;
  int share = -1;           // -1: condemned, the leader deletes it
  std::uint64_t epoch = 0;  // least epoch that may give it orders
  std::uint64_t version = 0;
};
enum class AttemptPhase : std::uint8_t { assigned, sent, reported, running };
struct Job;
struct Machine;

/// Jobs that may use the same machines, whatever their tasks need of them.
struct JobKind {
  bool gpus = false;        // their tasks need some
  std::vector<bool> types;  // allowed, by index
  int zone = -1;            // the only allowed one; -1: any
  bool spot = false, one_zone = false;
  wire::Shape shape = wire::Shape::array;
  auto operator<=>(const JobKind& o) const {
    return std::tie(gpus, types, zone, spot, one_zone, shape) <=>
           std::tie(o.gpus, o.types, o.zone, o.spot, o.one_zone, o.shape);
  }
};
/// What was looked for in vain: whoever needs as much or more needn't look until the count moves on.
class FailedSearchCache {
 public:
  bool covers(std::uint64_t version, const Resources& need, std::uint32_t tasks = 1) const {
    return version == version_ &&
           std::any_of(smallest_failed_.begin(), smallest_failed_.end(),
                       [&](const auto& l) { return l.first.fits_in(need) && l.second <= tasks; });
  }
  void record(std::uint64_t version, const Resources& need, std::uint32_t tasks = 1) {
    if (version != version_) version_ = version, smallest_failed_.clear();
    std::erase_if(smallest_failed_,
                  [&](const auto& l) { return need.fits_in(l.first) && tasks <= l.second; });
    smallest_failed_.emplace_back(need, tasks);
  }

 private:
  std::uint64_t version_ = 0;
  std::vector<std::pair<Resources, std::uint32_t>> smallest_failed_;
};
/// Of a kind, by rank.
struct FailedSearches {
  std::array<FailedSearchCache, 4> placement, cheap_placement,
      gang_placement;                                            // as view.capacity_version_for counts
  std::array<FailedSearchCache, 4> preemption, gang_preemption;  // as view.changes does
};

/// An attempt of a task that is, or may be, on a machine.
struct TaskAttempt {
  Job* job = nullptr;         // null: not one of ours, to be stopped, or not attributed yet
  bool unattributed = false;  // reported before its job's record was read: what it needs is not known
  Machine* machine = nullptr;
  std::string job_id;
  std::string team;  // whose limit it counts against
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Resources need;
  AttemptPhase phase = AttemptPhase::assigned;
  bool halting = false;
  bool fetching = false;  // its image, when last heard of
  Micros grace = 0;
  bool sent_by_push = false;      // sent by a push rather than in an answer
  std::uint64_t answer_seq = 0;   // the report whose answer carried the launch
  std::uint64_t fence_token = 0;  // unsure until a report under this token
  Micros started_at = 0, running_since = 0, halt_sent_at = 0;
};
using TaskKey = std::pair<std::string, std::uint32_t>;
/// The result of a task that is done, as its machine reports it, while no row is known to hold it.
struct UnrecordedResult {
  std::uint64_t attempt = 0;
  Micros first_reported = 0;  // first reported to us
};
/// A machine of the share: what is on it, and what we know of its worker.
struct Machine {
  // What every pass over the machines looks at comes first.
  Resources free;
  const wire::MachineType* type = nullptr;
  std::size_t type_index = 0;
  int zone = 0;              // see ClusterView::zone
  std::uint32_t neuron = 0;  // of the learner
  bool up = false, accounted_for = false, leaving = false, push_in_flight = false, handed_over_empty = false;
  bool spot = false;                               // as in the record
  wire::Rank reserved_for_rank = wire::Rank::low;  // room being made is for this rank and above
  Micros suspect_until = 0, drain_until = 0, reserved_until = 0;
  std::optional<Micros> reclaim_at;
  Micros lease_expires_at = 0;  // surely no task is left then, unless renewed
  MachineRecord record;
  std::map<TaskKey, TaskAttempt> tasks;
  std::size_t unattributed = 0;  // of these: nothing is placed beside what is not known
  std::vector<Order> pending_forgets;
  /// Of the newest report. A worker's result is its only durable copy until a row holds it.
  std::map<TaskKey, UnrecordedResult> results;
  Micros results_wait_since = 0;  // since nothing else was on it; 0: there is more, or no such result
  std::uint64_t session = 0, seq = 0, seen_token = 0, token_offset = 0;
  std::uint64_t own_report_seq = 0;  // of the worker's newest own report in this session; 0: none
  Micros idle_since = 0, last_report = 0, next_push_at = 0;
  int pushes_lost = 0;             // in a row
  std::uint64_t launch_token = 0;  // under which starts were pushed last
  DeliveryTracker delivery;
  std::set<std::string> error_jobs;
  std::vector<std::pair<std::string, double>> cached_images;  // name and gigabytes, the last used first
  int drain_target = -2;                                      // -2: not drained
  Micros gpu_idle_since = 0;

  /// What its tasks come to, kept until one of them changes.
  struct TaskSummary {
    wire::Rank highest_rank = wire::Rank::low;                  // what is not ours counts as production
    wire::Rank lowest_stoppable_rank = wire::Rank::production;  // of what could be stopped
    bool any_stoppable = false;                                 // something could be stopped
    bool halting = false, gpus = false;
    bool has_services = false;  // tasks of services, which keep the machine from ever being empty
  };
  const TaskSummary& task_summary() const;
  mutable bool task_summary_stale = true;

  void note_image_use(const JobSpec& spec);

 private:
  mutable TaskSummary task_summary_;
};
/// A job of the share that is not over, or whose tasks are not all gone.
struct Job {
  std::shared_ptr<const JobSpec> spec;
  std::string id;
  std::shared_ptr<std::pair<const JobKind, FailedSearches>> kind;
  Micros start_within = 0;            // of its class's objective
  Micros finish_within = 0;           // the same; 0: none
  Micros submitted = 0, ready = 0;    // on the steady clock; ready: since nothing that it needs is missing
  wire::Rank rank = wire::Rank::low;  // its own, or of a job that needs it
  std::optional<Micros> finish_by;    // its deadline, or for what follows
  std::uint64_t version = 0;
  bool accepted_since_takeover = false;  // accepted after our takeover: nothing of it can run yet
  bool cancelled = false, finished = false, committing = false;
  DoneSet done, recorded, recorded_whole;  // recorded_whole: in rows that every version reads
  std::map<std::uint32_t, std::uint64_t> row_versions;
  std::set<std::uint32_t> dirty_units, rows_in_flight;  // units with unrecorded results; rows being written
  std::map<std::uint32_t, Machine*> active;             // task -> machine
  std::vector<int> active_by_zone;                      // of these, by ClusterView::zone
  std::set<std::uint32_t> to_restart;
  std::uint32_t next_index = 0;
  double run_seconds = 0;
  std::uint32_t finished_runs = 0;
  int error_count = 0;
  Micros not_before = 0;
  std::map<std::string, Micros> avoided_machines;  // on which it failed, avoided until then
  std::uint64_t gang_attempt = 0;
  std::uint64_t incomplete_attempt =
      0;                        // the attempt that ended because some were still fetching; they go on
  Micros first_started_at = 0;  // a gang's first attempt
  Micros spot_only_until = 0;   // a gang that was stopped to go on on spot machines
  Micros moved_to_spot_at = 0;
  Micros waiting_since = 0;  // for a start of any task, while its team and its own errors let it start
  bool passed_over = false;  // for so long that the leader is to look for room in other shares
  bool any_room = false;     // for so long that any room will do, beside GPU work too
  std::uint32_t waiting() const {
    // Done tasks of a gang may be there still.
    const std::size_t there = done.count() + active.size();
    return there >= spec->tasks ? 0 : spec->tasks - static_cast<std::uint32_t>(there);
  }
  int active_in_zone(int zone) const {
    return static_cast<std::size_t>(zone) < active_by_zone.size()
               ? active_by_zone[static_cast<std::size_t>(zone)]
               : 0;
  }
};

struct ClusterView {
  struct ById {
    bool operator()(const Machine* a, const Machine* b) const { return a->record.id < b->record.id; }
  };
  std::map<std::string, Machine> machines;
  std::vector<Machine*> machines_by_id;  // the same, in the same order: passes go over these
  std::map<std::string, std::unique_ptr<Job>> jobs;
  std::map<std::string, Resources> team_usage;
  bool rebuilt = false;  // every machine was accounted for since our takeover
  /// Copies on machines that are not their job's own attempt: such a task is placed nowhere until all are
  /// gone.
  std::map<TaskKey, int> stray_attempts;
  std::size_t unattributed = 0;  // attempts on all machines
  std::set<Machine*, ById>
      machines_to_contact;         // may have orders to be pushed, or is to be asked for a report
  std::uint64_t change_count = 1;  // counts whatever may change what could be stopped or placed
  std::array<std::uint64_t, kFreeReasons> freed_counts{};  // attempts, by reason

  /// The attempt is surely gone from the machine; the reason tells whether its task is to run again.
  void free_attempt(Machine& m, std::map<TaskKey, TaskAttempt>::iterator it, Micros now, FreeReason reason);
  void add_attempt(Machine& m, TaskAttempt p);
  /// An attempt that was not attributed, to be added again now that its job is known.
  TaskAttempt take_unattributed(Machine& m, std::map<TaskKey, TaskAttempt>::iterator it);
  void halt(TaskAttempt& p, Micros grace);
  /// There may be room that was not there: on machines of this type, or anywhere.
  void note_new_capacity(const Machine& m);
  void note_new_capacity() { ++capacity_version_, ++change_count; }
  /// Moves on whenever there may be new room for the kind.
  std::uint64_t capacity_version_for(const JobKind& kind) const;
  Machine& add_machine(const MachineRecord& record);
  void remove_machine(std::map<std::string, Machine>::iterator it);
  void stop_gang(Job& j, Micros grace);
  /// The rest of an attempt that has lost a task.
  void end_gang_attempt(Job& j);
  void erase_if_over(const std::string& id);
  /// A small number for a zone's name, the same while the view lasts.
  int zone_index(const std::string& name);
  std::shared_ptr<std::pair<const JobKind, FailedSearches>> kind_of(
      const JobSpec& spec, const std::vector<wire::MachineType>& types);

 private:
  void remove_stray_attempt(const TaskKey& key);

  std::uint64_t capacity_version_ = 1;
  std::vector<std::uint64_t> capacity_versions_by_type_;  // by machine type
  std::vector<std::string> zones_;
  std::map<JobKind, std::weak_ptr<std::pair<const JobKind, FailedSearches>>> kinds_;
  std::size_t kinds_purge_size_ = 64;
};

}  // namespace aspenwick::place
