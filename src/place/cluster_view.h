// The in-memory state of one share at its owner: its jobs, its machines, and the task attempts that are, or
// may be, on each machine.
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

/// Tokens and attempt numbers hold the epoch in the high bits and a counter within it in these low bits.
inline constexpr unsigned kEpochShift = 20;
/// A further attempt would get a number of the next epoch, where another attempt may have the same one.
inline constexpr std::uint64_t kAttemptsPerEpoch = (1ULL << kEpochShift) - 1;

/// A machine as the state service records it.
struct MachineRecord {
  std::string id, address, type, zone;
  bool spot = false;
  int share = -1;           // -1: to be deleted by the leader
  std::uint64_t epoch = 0;  // lowest epoch whose owner may send it orders
  std::uint64_t version = 0;
};
/// How far the start of an attempt has come: assigned to a machine, its start order sent, reported by the
/// machine but not running yet, running.
enum class AttemptPhase : std::uint8_t { assigned, sent, reported, running };
struct Job;
struct Machine;

/// The placement constraints of a job other than the resources its tasks need. Jobs of the same kind may use
/// the same machines.
struct JobKind {
  bool gpus = false;                    // its tasks need GPUs
  std::vector<bool> types;              // whether each machine type is allowed, by index
  int zone = -1;                        // the only allowed zone, see ClusterView::zone_index; -1: any
  bool spot = false, one_zone = false;  // may use spot machines; all tasks in one zone
  wire::Shape shape = wire::Shape::array;
  auto operator<=>(const JobKind& o) const {
    return std::tie(gpus, types, zone, spot, one_zone, shape) <=>
           std::tie(o.gpus, o.types, o.zone, o.spot, o.one_zone, o.shape);
  }
};
/// Remembers searches that found nothing, so that a search for as much or more is skipped until `version`, a
/// counter of the changes that could make it succeed, has moved on.
class FailedSearchCache {
 public:
  /// Whether a search for `tasks` tasks of `need` is known to fail.
  bool covers(std::uint64_t version, const Resources& need, std::uint32_t tasks = 1) const {
    return version == version_ &&
           std::any_of(smallest_failed_.begin(), smallest_failed_.end(),
                       [&](const auto& l) { return l.first.fits_in(need) && l.second <= tasks; });
  }
  /// Records a failed search, dropping entries that it makes redundant.
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
/// Failed searches of the jobs of one kind, by rank.
struct FailedSearches {
  // Their version is ClusterView::capacity_version_for.
  std::array<FailedSearchCache, 4> placement, cheap_placement, gang_placement;
  // Their version is ClusterView::change_count.
  std::array<FailedSearchCache, 4> preemption, gang_preemption;
};

/// An attempt of a task that is, or may be, on a machine.
struct TaskAttempt {
  Job* job = nullptr;         // null: unattributed, or no job of this share needs it and it is to be halted
  bool unattributed = false;  // reported before its job's record was read, so its needs are not known
  Machine* machine = nullptr;
  std::string job_id;
  std::string team;  // team whose limit it counts against
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Resources need;
  AttemptPhase phase = AttemptPhase::assigned;
  bool halting = false;
  bool fetching = false;         // still fetching its image, by the latest report
  Micros grace = 0;              // time to save its work when halted
  bool sent_by_push = false;     // started by a pushed order, not by one in the answer to a report
  std::uint64_t answer_seq = 0;  // sequence number of the report whose answer held the start order
  /// Until a report shows this token, the start order may still arrive late; 0: not in doubt.
  std::uint64_t fence_token = 0;
  Micros started_at = 0, running_since = 0, halt_sent_at = 0;
};
/// Job id and task index.
using TaskKey = std::pair<std::string, std::uint32_t>;
/// The reported result of a finished task that is not known to be in a row of the state service.
struct UnrecordedResult {
  std::uint64_t attempt = 0;
  Micros first_reported = 0;  // when this owner first saw it in a report
};
/// A machine of the share: the attempts on it and the state of its worker.
struct Machine {
  // Fields read in every pass over the machines come first.
  Resources free;
  const wire::MachineType* type = nullptr;
  std::size_t type_index = 0;
  int zone = 0;              // see ClusterView::zone_index
  std::uint32_t neuron = 0;  // see Rnn::Neuron
  // up: its worker has reported and its lease has not expired since
  // accounted_for: it is known which attempts are on it
  // leaving: released from the share, not gone yet
  // push_in_flight: a push of orders to it has no outcome yet
  // handed_over_empty: it was recorded after our takeover and had nothing on it then
  bool up = false, accounted_for = false, leaving = false, push_in_flight = false, handed_over_empty = false;
  bool spot = false;                               // copy of record.spot
  wire::Rank reserved_for_rank = wire::Rank::low;  // until reserved_until, lower ranks are not placed here
  Micros suspect_until = 0, drain_until = 0, reserved_until = 0;
  std::optional<Micros> reclaim_at;  // when the cloud takes the machine back, once announced
  Micros lease_expires_at = 0;       // from then on no task can be left, unless the lease is renewed
  MachineRecord record;
  std::map<TaskKey, TaskAttempt> tasks;
  std::size_t unattributed = 0;        // attempts in `tasks`; while there are any, nothing is placed here
  std::vector<Order> pending_forgets;  // orders to forget exited attempts
  /// From the newest report. Until a row holds a result, the worker has the only durable copy.
  std::map<TaskKey, UnrecordedResult> results;
  Micros results_wait_since = 0;  // since only unrecorded results kept it from being empty; 0: not so
  std::uint64_t session = 0, seq = 0, seen_token = 0, token_offset = 0;
  std::uint64_t own_report_seq = 0;  // newest report that the worker sent itself in this session; 0: none
  Micros idle_since = 0, last_report = 0, next_push_at = 0;  // no push before next_push_at
  int pushes_lost = 0;                                       // consecutive pushes without an answer
  std::uint64_t start_push_token = 0;                        // token of the last push that held start orders
  DeliveryTracker delivery;
  std::set<std::string> error_jobs;  // jobs that failed on it since a task last succeeded there
  std::vector<std::pair<std::string, double>> cached_images;  // name and size in GB, most recently used first
  int drain_target = -2;  // share that it is drained for; -1: to be deleted; -2: not drained
  Micros gpu_idle_since = 0;

  /// Derived from `tasks`, and cached until one of them changes.
  struct TaskSummary {
    wire::Rank highest_rank = wire::Rank::low;                  // attempts without a job count as production
    wire::Rank lowest_stoppable_rank = wire::Rank::production;  // among attempts that could be preempted
    bool any_stoppable = false;                                 // some attempt could be preempted
    bool halting = false, gpus = false;  // some attempt is being halted; some attempt uses GPUs
    bool has_services = false;           // has tasks of services, which do not end by themselves
  };
  const TaskSummary& task_summary() const;
  mutable bool task_summary_stale = true;

  /// Updates the model of the worker's image cache after an attempt of the job has got past fetching.
  void note_image_use(const JobSpec& spec);

 private:
  mutable TaskSummary task_summary_;
};
/// A job of the share that is not over, or still has attempts on machines.
struct Job {
  std::shared_ptr<const JobSpec> spec;
  std::string id;
  std::shared_ptr<std::pair<const JobKind, FailedSearches>> kind;
  Micros start_within = 0;            // objective of its class for the start of a task
  Micros finish_within = 0;           // objective of its class for the end of the job; 0: none
  Micros submitted = 0, ready = 0;    // steady clock; ready: since all its dependencies are done
  wire::Rank rank = wire::Rank::low;  // the highest of its own and its dependents'
  std::optional<Micros> finish_by;  // its latest finish: for its own deadline, or for those of its dependents
  std::uint64_t version = 0;
  bool accepted_since_takeover = false;  // so no attempt of it predates our ownership
  bool cancelled = false, finished = false, committing = false;
  DoneSet done, recorded, recorded_in_chunks;  // recorded_in_chunks: in rows that every version can read
  std::map<std::uint32_t, std::uint64_t> row_versions;
  std::set<std::uint32_t> dirty_units, rows_in_flight;  // units with unrecorded results; rows being written
  std::map<std::uint32_t, Machine*> active;             // task index -> machine of its attempt
  std::vector<int> active_by_zone;                      // number of active tasks by ClusterView::zone_index
  std::set<std::uint32_t> to_restart;                   // tasks whose attempt ended without their being done
  std::uint32_t next_index = 0;                         // tasks below it were placed before or are done
  double run_seconds = 0;                               // sum over finished_runs
  std::uint32_t finished_runs = 0;
  int error_count = 0;
  Micros not_before = 0;                           // nothing of it is started before
  std::map<std::string, Micros> avoided_machines;  // machines where it failed -> avoided until
  std::uint64_t gang_attempt = 0;
  /// A gang attempt that ended while some of its tasks were still fetching their image; these go on fetching.
  std::uint64_t incomplete_attempt = 0;
  Micros first_started_at = 0;  // when a gang was first placed
  Micros spot_only_until = 0;   // a gang halted to move to spot machines may use only these until then
  Micros moved_to_spot_at = 0;
  Micros waiting_since = 0;          // no task was started since, although quota and back-off allowed it
  bool starved = false;              // waits so long that the leader drains machines of other shares for it
  bool accepts_any_machine = false;  // waits so long that machines kept for GPU work may be used too
  /// Tasks that are neither done nor placed.
  std::uint32_t waiting() const {
    // Done tasks of a gang may still be active, so the sum can exceed the number of tasks.
    const std::size_t there = done.count() + active.size();
    return there >= spec->tasks ? 0 : spec->tasks - static_cast<std::uint32_t>(there);
  }
  int active_in_zone(int zone) const {
    return static_cast<std::size_t>(zone) < active_by_zone.size()
               ? active_by_zone[static_cast<std::size_t>(zone)]
               : 0;
  }
};

/// All jobs and machines of one share. Every change to the attempts goes through its functions, which keep
/// the sums and indexes consistent.
struct ClusterView {
  struct ById {
    bool operator()(const Machine* a, const Machine* b) const { return a->record.id < b->record.id; }
  };
  std::map<std::string, Machine> machines;
  std::vector<Machine*> machines_by_id;  // the same machines in the same order, for fast iteration
  std::map<std::string, std::unique_ptr<Job>> jobs;
  std::map<std::string, Resources> team_usage;  // by team, of all attempts on machines
  bool all_accounted_for = false;               // every machine has been accounted for since our takeover
  /// Number of attempts per task that are not its job's active one. The task is not placed until all are
  /// gone.
  std::map<TaskKey, int> stray_attempts;
  std::size_t unattributed = 0;  // unattributed attempts on all machines
  /// Machines that may have orders to be pushed, or are to be asked for a report.
  std::set<Machine*, ById> machines_to_contact;
  std::uint64_t change_count = 1;  // counts changes that may alter what can be placed or preempted
  std::array<std::uint64_t, kFreeReasons> freed_counts{};  // attempts by reason

  /// Removes an attempt that can no longer be on the machine. `reason` decides whether its task runs again.
  /// May erase the attempt's job, see erase_if_over.
  void free_attempt(Machine& m, std::map<TaskKey, TaskAttempt>::iterator it, Micros now, FreeReason reason);
  /// Adds an attempt to the machine: takes its resources, and makes it its job's active one if it has a job.
  void add_attempt(Machine& m, TaskAttempt p);
  /// Removes and returns an unattributed attempt, to be added again now that its job is known.
  TaskAttempt take_unattributed(Machine& m, std::map<TaskKey, TaskAttempt>::iterator it);
  /// Marks the attempt to be halted with time `grace` to save. A repeated call can only shorten the time.
  void halt(TaskAttempt& p, Micros grace);
  /// Notes that capacity may have become free on machines of this machine's type, or anywhere.
  void note_new_capacity(const Machine& m);
  void note_new_capacity() { ++capacity_version_, ++change_count; }
  /// Increases whenever there may be new capacity for jobs of this kind.
  std::uint64_t capacity_version_for(const JobKind& kind) const;
  /// Adds the machine, or updates the record of a known one.
  Machine& add_machine(const MachineRecord& record);
  void remove_machine(std::map<std::string, Machine>::iterator it);
  /// Halts all tasks of a gang.
  void stop_gang(Job& j, Micros grace);
  /// Halts what is left of a gang attempt that has lost a task.
  void end_gang_attempt(Job& j);
  /// Removes a cancelled or finished job once it has no active attempts.
  void erase_if_over(const std::string& id);
  /// The index of a zone's name, assigned on first use and stable for the life of the view.
  int zone_index(const std::string& name);
  /// The kind of the job, shared by all jobs with the same constraints.
  std::shared_ptr<std::pair<const JobKind, FailedSearches>> kind_of(
      const JobSpec& spec, const std::vector<wire::MachineType>& types);

 private:
  void remove_stray_attempt(const TaskKey& key);

  std::uint64_t capacity_version_ = 1;
  std::vector<std::uint64_t> capacity_versions_by_type_;  // by index of the machine type
  std::vector<std::string> zones_;
  std::map<JobKind, std::weak_ptr<std::pair<const JobKind, FailedSearches>>> kinds_;
  std::size_t kinds_purge_size_ = 64;  // unused kinds are removed when there are this many
};

}  // namespace aspenwick::place
