// Controller of one share: tracks which task attempts run on the share's machines, based on worker reports,
// and decides which orders the workers get. It does no I/O: the caller passes in events and the current time,
// so that trace tests can drive it.
//
// Invariant: a task is placed only when every machine that could hold it is accounted for, either by a report
// under a token of this controller, or because the worker's lease has certainly expired since the last time
// at which any owner could have renewed it.
#pragma once
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job/graph.h"
#include "place/placement.h"
#include "share/demand.h"
#include "wire/settings.h"

namespace aspenwick::share {

using job::DoneSet;
using job::JobRecord;
using wire::JobSpec;
using wire::Order;
using wire::Resources;

using place::MachineRecord;
/// Returns the epoch that issued a worker's token.
std::uint64_t epoch_of_token(std::uint64_t token);
/// Converts a machine's record to and from the JSON value stored in the state service. `version` is the
/// revision of the stored row. machine_from_json throws if a field is missing or has the wrong type.
wire::Json machine_to_json(const MachineRecord& m);
MachineRecord machine_from_json(const std::string& id, const wire::Json& j, std::uint64_t version);

/// State of a machine, reported to the leader.
struct MachineState {
  std::string id;
  Resources free;
  bool usable = false;       // tasks may be placed on it now
  bool empty = false;        // may leave the share: holds no attempts and no results that are still needed
  bool worker_lost = false;  // its lease expired, or messages do not reach its worker for longer than a lease
  bool suspect = false;
  std::uint32_t idle_ms = 0;
  wire::Rank highest_rank = wire::Rank::low;  // highest rank among its tasks
};

struct ShareControllerSettings {
  int share = 0;
  place::RnnSettings rnn;
  Micros suspect_for = 60 * kSecond;
  int suspect_after = 3;  // errors of different jobs, or consecutive ones
  Micros error_backoff = 2 * kSecond;
  /// Returns whether this share plans the team's jobs. If not set, the share plans the jobs of all teams.
  std::function<bool(const std::string& team)> owns_team;
};

/// Plans the jobs of one share for as long as this process owns it. All times are in microseconds on the
/// caller's steady clock, except `time_of_day`.
class ShareController {
 public:
  using StartRefusal = place::StartRefusal;
  /// Finds the record of any job, of this share or not; returns null if none is known. It lets the controller
  /// tell jobs that have ended or belong to another share from jobs whose records have not been read yet.
  using JobLookup = std::function<const JobRecord*(const std::string&)>;

  /// `renewable_until`: the latest time at which a former owner may have renewed a worker's lease.
  /// `platform` and `types` must outlive the controller.
  ShareController(const wire::PlatformSettings& platform, const std::vector<wire::MachineType>& types,
                  ShareControllerSettings settings, JobLookup lookup, std::uint64_t epoch, Micros now,
                  Micros renewable_until);

  // ---- events

  /// Takes in a new or changed record of a job that this share plans; for a job that has ended, stops its
  /// attempts. `accepted_after_takeover`: so that none of its tasks can run yet.
  void on_job_record(const std::string& id, const JobRecord& record, bool accepted_after_takeover, Micros now,
                     Micros time_of_day);
  /// Notes which machine types the GPU tasks of a job can use. Called for the jobs of all shares.
  void note_gpu_job(const JobSpec& spec) { placement_.note_gpu_job(spec); }
  /// Sets a job's rank, ready time and latest finish, which also depend on its undecided dependents.
  void set_scheduling_goals(const std::string& id, const job::SchedulingGoals& goals, Micros now,
                            Micros time_of_day);
  /// All job records are known as of `as_of` or later: a job without a record by then was not accepted
  /// before `as_of`.
  void set_records_as_of(Micros as_of) { records_as_of_ = std::max(records_as_of_, as_of); }
  /// Takes in a progress row (finished tasks) that a former owner wrote. `row`: see ProgressWrite::row.
  void load_progress_row(const std::string& job, std::uint32_t row, const std::string& text,
                         std::uint64_t version);
  /// Set when all controllers read rows of single units, so that workers may forget results that are recorded
  /// only in such rows.
  void set_all_controllers_read_units(bool on) { all_controllers_read_units_ = on; }
  /// All jobs, progress rows and machines of the share have been passed in; nothing is placed before.
  void finish_loading(Micros now);
  /// Takes in the record of a machine of this share. `was_empty`: the record was written after the
  /// takeover, so the machine was empty when it joined the share.
  void on_machine_record(const MachineRecord& record, bool was_empty, Micros now);
  /// The machine's record was deleted or names another share.
  void on_machine_removed(const std::string& id, Micros now);

  /// Answer to a worker's report.
  struct ReportAnswer {
    std::uint64_t token = 0;
    std::vector<Order> orders;
  };
  /// Handles a report that a worker sent on its own. `owner_refusal`: why this owner may not start tasks now,
  /// or none. The answer renews the worker's lease. If nothing is returned, the report must not be answered,
  /// so that the lease expires.
  std::optional<ReportAnswer> on_report(const wire::WorkerReport& report, Micros now,
                                        StartRefusal owner_refusal);

  /// Orders to be pushed to a machine. The caller must pass the outcome to pushed().
  struct OrderPush {
    std::string machine, address;
    std::uint64_t token = 0, session = 0;
    std::vector<Order> orders;
  };
  /// Returns the pushes to send now, at most `max_pushes` (must be positive), and marks their orders as sent.
  std::vector<OrderPush> take_pushes(Micros now, std::size_t max_pushes, StartRefusal owner_refusal);
  /// Outcome of a push. `status`: 200 if the worker executed the orders, 409 if it refused the push; both
  /// come with the worker's report. Anything else: no valid answer arrived, and the orders may still be
  /// executed.
  void on_push_result(const std::string& machine, int status, const wire::WorkerReport* report, Micros now);

  /// Handles expired worker leases, placement and preemption. Returns true if the placement pass was long and
  /// stopped before its end; call it again soon, after other pending work (leases, reports).
  bool tick(Micros now, StartRefusal owner_refusal);

  // ---- progress rows in the state service

  /// A write of a progress row, which lists finished tasks of a job.
  struct ProgressWrite {
    std::string job;
    std::uint32_t row = 0;  // a chunk, or kFirstUnitRow plus a unit
    std::string text;
    std::uint64_t version = 0;  // the write's guard: the row's version as last seen
  };
  /// Returns the rows to write now, at most `max_writes`, and marks them as in flight. Rows that keep
  /// machines from leaving the share come first. The caller must pass each outcome to
  /// on_progress_write_result().
  std::vector<ProgressWrite> take_progress_writes(std::size_t max_writes, Micros now = 0);
  /// Row numbers below this are chunks, those from it on are single units.
  static constexpr std::uint32_t kFirstUnitRow = 1U << 16;
  /// After this many consecutive lost pushes, tasks are started only in answers to reports, until a push
  /// succeeds.
  static constexpr int kMaxLostPushes = 2;
  /// Name of a progress row below its job: "<chunk>" or "u/<unit>". parse_row_name takes "<job>/<chunk>" or
  /// "<job>/u/<unit>" and returns the job and the row; nothing if the name is malformed. The first version of
  /// the controller takes a unit's row for one of a job "<job>/u" that it does not know.
  static std::string row_name(std::uint32_t row);
  static std::optional<std::pair<std::string, std::uint32_t>> parse_row_name(const std::string& name);
  /// `version`: the row's version after the write, or as found if the write failed.
  void on_progress_write_result(const ProgressWrite& w, bool ok, std::uint64_t version);
  /// Jobs with all tasks done whose final status is not being committed yet.
  std::vector<std::string> jobs_to_commit() const;
  /// Names of the job's existing progress rows, with the job's id in front.
  std::vector<std::string> progress_row_names(const std::string& job) const;
  /// Whether the job's final status is being committed; nothing of the job is placed meanwhile.
  void set_committing(const std::string& job, bool on);

  // ---- machines that leave the share

  /// Returns true if the machine may leave the share; from then on nothing is placed on it.
  bool release(const std::string& machine, Micros now);
  /// Number of refused releases since the takeover, by reason.
  const std::array<std::uint64_t, place::kReleaseRefusals>& releases_refused() const {
    return releases_refused_;
  }
  /// Results that machines report and that are not known to be recorded in any progress row.
  struct HeldResults {
    std::size_t results = 0, machines = 0;
    Micros oldest_age = 0;
  };
  HeldResults held_results(Micros now) const;
  /// Chunks of unfinished jobs that this share does not plan but of which its machines hold results. The jobs
  /// belong to other shares, or were not ready yet when last read.
  std::set<std::pair<std::string, std::uint32_t>> needed_chunks_of_other_shares() const;
  /// `text`: what the owner of another share has recorded of such a chunk.
  void on_chunk_of_other_share(const std::string& job, std::uint32_t chunk, const std::string& text);
  /// Attempts and results that machines reported before their jobs' records were read.
  struct AttributionCounts {
    std::size_t unattributed_attempts = 0, unattributed_results = 0;  // at present
    std::uint64_t attributed_attempts = 0, attributed_results = 0;    // since the takeover
    std::uint64_t dropped_attempts = 0, dropped_results = 0;          // of jobs that were never accepted
  };
  AttributionCounts attribution_counts() const;
  /// How long machines without tasks had to wait until their results were recorded, since the last call.
  std::vector<Micros> take_result_waits() { return std::exchange(result_waits_, {}); }
  /// The released machine was not moved after all: tasks may be placed on it again.
  void cancel_release(const std::string& machine);
  /// Frees the machine for share `to`, whose tasks of rank `rank` wait for capacity: stops its tasks if all
  /// of them rank below `rank`, otherwise leaves it unchanged. With the lowest rank nothing is stopped, but
  /// nothing more is placed on the machine for a while.
  void drain(const std::string& machine, int to, wire::Rank rank, Micros now);
  /// Drained machines that may leave now, and the share that each is for (-1: it is returned to the cloud).
  std::vector<std::pair<std::string, int>> drained_machines() const;

  // ---- queries

  /// Numbers of done and of running tasks of a job; nothing if this share does not plan it.
  std::optional<std::pair<std::uint32_t, std::uint32_t>> task_counts(const std::string& job) const;
  /// Waiting work and machines, as reported to the leader.
  std::vector<Demand> demands(Micros now);
  std::vector<MachineState> machine_states(Micros now) const;
  /// Whether every machine has been accounted for since the takeover.
  bool all_accounted_for() const { return view_.all_accounted_for; }
  bool has_machine(const std::string& id) const { return view_.machines.contains(id); }
  std::uint64_t epoch() const { return epoch_; }
  /// Number of attempts numbered in this epoch; at place::kAttemptsPerEpoch nothing more is started.
  std::uint64_t attempts_in_epoch() const { return placement_.attempts_in_epoch(); }
  /// Continues under a higher epoch, which was recorded for this owner without a gap in ownership. An
  /// epoch that is not higher is ignored.
  void raise_epoch(std::uint64_t epoch);
  /// Number of attempts that were dropped from their machines since the takeover, by reason.
  const std::array<std::uint64_t, place::kFreeReasons>& freed_attempts() const { return view_.freed_counts; }
  /// Number of placement passes and start orders that were refused since the takeover, by reason.
  const std::array<std::uint64_t, place::kStartRefusals>& refused_starts() const { return refused_starts_; }
  const place::Rnn& rnn() const { return placement_.rnn(); }
  int share() const { return settings_.share; }
  /// Size of the waiting work that demands() last reported.
  struct DemandCounts {
    std::size_t jobs = 0, groups = 0, listed = 0;  // groups: see DemandList
  };
  const DemandCounts& demand_counts() const { return demand_counts_; }
  /// Number of tasks of unfinished jobs that wait for a start.
  std::size_t waiting_tasks() const;
  /// Times from when a job became ready to the starts of its tasks, since the last call.
  std::vector<Micros> take_start_waits() { return std::exchange(start_waits_, {}); }

  /// One line for each live attempt with its machine and phase, for trace and unit tests.
  std::vector<std::string> describe_attempts() const;

 private:
  using Machine = place::Machine;
  using Job = place::Job;
  using AttemptPhase = place::AttemptPhase;
  using TaskAttempt = place::TaskAttempt;
  using FreeReason = place::FreeReason;
  using ReleaseRefusal = place::ReleaseRefusal;
  using TaskKey = place::TaskKey;
  using UnrecordedResult = place::UnrecordedResult;

  /// How a report that a worker sent on its own relates to what is already known of the machine.
  enum class ReportFreshness : std::uint8_t {
    newest,     // it brings new information
    overtaken,  // by the answer to a push; the worker still waits for the answer to this report
    obsolete,   // a newer report of the worker was seen, so the worker drops an answer to this one
  };
  std::optional<Demand> demand_of(const Job& j, Micros now) const;
  std::optional<Demand> demand_of_running_arrays() const;
  static ReportFreshness freshness_of(const Machine& m, const wire::WorkerReport& r);
  std::uint64_t current_token(const Machine& m) const;
  bool apply_report(Machine& m, const wire::WorkerReport& r, bool own_report, Micros now);
  void free_all_attempts(Machine& m, Micros now, FreeReason why);
  void mark_delivery_in_doubt(Machine& m, Micros now, const char* why);
  void on_task_succeeded(Job& j, Machine& m, const TaskAttempt& p, Micros now);
  void on_task_failed(Job& j, Machine& m, Micros now);
  /// What the job records say about a job that a machine reports.
  enum class JobDisposition : std::uint8_t { planned, ended, of_another_share, not_known };
  JobDisposition disposition_of(const std::string& job) const;
  bool may_have_job_record(const TaskAttempt& p) const;
  bool awaits_job_records(const Machine& m) const;
  void add_reported_attempt(Machine& m, const wire::TaskReport& t, Micros now);
  void add_attempt(Machine& m, TaskAttempt p, Micros now);
  void add_attempt_of_planned_job(Job& j, Machine& m, TaskAttempt p, Micros now);
  void attribute_to_job(Job& j, Micros now);
  void resolve_unattributed_attempts(Micros now);
  static bool mark_done(Job& j, std::uint32_t index);
  void on_task_exited(Machine& m, const wire::TaskReport& t, Micros now);
  Micros latest_lease_end(Micros answered) const;
  std::uint64_t min_token(const Machine& m) const;
  bool start_allowed(Machine& m, std::map<TaskKey, TaskAttempt>::iterator attempt, StartRefusal owner_refusal,
                     Micros now);
  void count_start_refusal(StartRefusal why) { ++refused_starts_.at(static_cast<std::size_t>(why)); }
  std::vector<Order> take_orders(Machine& m, bool by_push, std::uint64_t answer_seq,
                                 StartRefusal owner_refusal, Micros now);
  void update_all_accounted_for(Micros now);
  void log_unaccounted_machines(Micros now);
  static void complete_gang(Job& j);
  static void merge_recorded_row(Job& j, std::uint32_t row, const std::string& text);
  bool durably_recorded(const Job& j, std::uint32_t index) const;
  bool result_copy_needed(const TaskKey& task, Micros since) const;
  bool holds_needed_result_copy(const Machine& m) const;
  void retain_or_forget_result(Machine& m, const wire::TaskReport& t,
                               const std::map<TaskKey, UnrecordedResult>& before, Micros now);
  void measure_result_wait(Machine& m, Micros now);
  ReleaseRefusal release_refusal(const Machine& m) const;
  /// How urgently a job's progress rows should be written.
  struct WriteUrgency {
    std::uint32_t machines_being_reclaimed = 0;  // with results of the job; the cloud takes them back soon
    std::uint32_t machines_to_release = 0;       // with results of the job, and empty or being drained
    std::uint32_t unrecorded_results = 0;
    std::set<std::uint32_t> units;  // that those machines' results belong to
  };
  std::map<std::string, WriteUrgency> write_urgency_by_job(Micros now) const;
  void append_row_write(Job& j, std::uint32_t unit, std::vector<ProgressWrite>& out);

  const wire::PlatformSettings& platform_;
  const std::vector<wire::MachineType>& types_;
  ShareControllerSettings settings_;
  std::uint64_t epoch_;
  Micros renewable_until_;
  JobLookup lookup_job_;
  bool loaded_ = false, all_controllers_read_units_ = false, logged_unaccounted_machines_ = false;
  Micros taken_over_at_;
  std::vector<Micros> start_waits_, result_waits_;
  Micros records_as_of_ = 0;
  AttributionCounts attribution_counts_;  // without the counts of unattributed ones
  struct LoadedRow {
    std::string text;
    std::uint64_t version = 0;
  };
  /// Progress rows of jobs that are not planned yet, by job. They are kept because rows are read only once,
  /// after the takeover.
  std::map<std::string, std::map<std::uint32_t, LoadedRow>> rows_of_unplanned_jobs_;
  std::map<std::string, DoneSet> recorded_by_others_;  // by job; for needed_chunks_of_other_shares()
  std::array<std::uint64_t, place::kReleaseRefusals> releases_refused_{};
  std::array<std::uint64_t, place::kStartRefusals> refused_starts_{};
  Micros last_full_pass_ = 0;                        // when a pass last looked at everything again
  std::uint64_t changes_at_last_complete_pass_ = 0;  // ClusterView::changes after it
  DemandList::Turns demand_turns_;
  DemandCounts demand_counts_;
  std::vector<int> zone_ids_;  // of the settings' zones, as ClusterView numbers them
  place::ClusterView view_;
  place::Placement placement_;
};

}  // namespace aspenwick::share
