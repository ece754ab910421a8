// The owner of one share: what runs where on its machines, from worker reports to orders. Socket-free; it is
// fed events and the time, so that traces can drive it.
//
// Invariant: a task is placed only when every machine that could hold it is accounted for: by a report under
// our token, or by a worker lease that has surely lapsed since the last moment anyone could have renewed it.
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
#include "wire/settings.h"

namespace aspenwick::share {

using job::DoneSet;
using job::JobRecord;
using wire::JobSpec;
using wire::Order;
using wire::Resources;

using place::MachineRecord;
/// The epoch that a worker's token belongs to.
std::uint64_t epoch_of_token(std::uint64_t token);
wire::Json machine_to_json(const MachineRecord& m);
MachineRecord machine_from_json(const std::string& id, const wire::Json& j, std::uint64_t version);

/// Waiting work of one kind, told to the leader.
struct Demand {
  Resources need;
  std::uint64_t types = ~0ULL;  // bit per machine type in name order
  std::uint8_t zone = 255;      // index into the settings' zones
  wire::Rank rank = wire::Rank::low;
  wire::Shape shape = wire::Shape::array;
  bool spot = false, one_zone = false;
  bool plain_only = false;   // for now: it waits for a machine without GPUs
  bool passed_over = false;  // nothing of it was started for long: room in other shares is to come to it
  bool any_room = false;     // for longer: beside GPU work too
  std::uint32_t waiting = 0, running = 0;
  std::uint32_t closed_zones = 0;  // bit per zone that may take no more of it
  std::uint32_t per_zone = 0;      // at most so many in a zone; 0: any number
  std::uint32_t slack_ms = 0;      // until the work should have begun
  std::uint32_t guess_ms = 0;
};

/// A machine's standing, told to the leader.
struct MachineState {
  std::string id;
  Resources free;
  bool usable = false;  // may take tasks now
  bool empty = false;   // surely holds nothing
  bool lapsed = false;  // its worker is gone
  bool suspect = false;
  std::uint32_t idle_ms = 0;
  wire::Rank top_rank = wire::Rank::low;  // of its tasks
};

struct ShareControllerSettings {
  int share = 0;
  place::RnnSettings rnn;
  Micros suspect_for = 60 * kSecond;
  int suspect_after = 3;  // errors of different jobs, or in a row
  Micros error_backoff = 2 * kSecond;
  /// The share plans this team's jobs; not set: all teams'.
  std::function<bool(const std::string& team)> owns_team;
};

class ShareController {
 public:
  using StartRefusal = place::StartRefusal;
  /// Finds any job's record, or null: what is not ours or over must be told from what is not known yet.
  using JobLookup = std::function<const JobRecord*(const std::string&)>;

  /// `renewable_until`: the last moment the former owner may have renewed a worker's lease.
  ShareController(const wire::PlatformSettings& platform, const std::vector<wire::MachineType>& types,
                  ShareControllerSettings settings, JobLookup lookup, std::uint64_t epoch, Micros now,
                  Micros renewable_until);

  // ---- events
  void job_known(const std::string& id, const JobRecord& record, bool fresh, Micros now, Micros time_of_day);
  /// Any share's job: which machine types its GPU tasks can use.
  void note_gpu_job(const JobSpec& spec) { placement_.note_gpu_job(spec); }
  /// Its priority and when it must be done, as those that need it grant and want.
  void set_course(const std::string& id, const job::Course& course, Micros now, Micros time_of_day);
  /// Job records are known as they were then, or later: what had no record by then has none.
  void records_read(Micros as_of) { records_as_of_ = std::max(records_as_of_, as_of); }
  void load_done(const std::string& job, std::uint32_t row, const std::string& text, std::uint64_t version);
  /// Every controller reads rows of single units: what only those hold may be forgotten by the workers.
  void set_all_read_units(bool on) { all_read_units_ = on; }
  void loaded(Micros now);  // all jobs, done-sets and machines of the share were told
  /// `handed_over_empty`: recorded after our takeover, so it was handed over empty.
  void machine_known(const MachineRecord& record, bool handed_empty, Micros now);
  void machine_gone(const std::string& id, Micros now);

  struct Answer {
    std::uint64_t token = 0;
    std::vector<Order> orders;
  };
  /// A worker's own report. `of_owner`: what keeps us from starting anything now. Answering renews the
  /// worker's lease; nothing: it is not to be answered, its lease has to run out.
  std::optional<Answer> on_report(const wire::WorkerReport& report, Micros now, StartRefusal of_owner);

  /// Orders to be pushed to a machine; the caller reports what came of it.
  struct Push {
    std::string machine, address;
    std::uint64_t token = 0, session = 0;
    std::vector<Order> orders;
  };
  /// At most so many (over 0).
  std::vector<Push> pushes(Micros now, std::size_t most, StartRefusal of_owner);
  void pushed(const std::string& machine, int status, const wire::WorkerReport* report, Micros now);

  /// Lapses, placement, preemption. true: the pass was long and stopped half way; go on soon, after what else
  /// waits (leases, reports).
  bool tick(Micros now, StartRefusal of_owner);

  // ---- what is to be recorded
  struct DoneWrite {
    std::string job;
    std::uint32_t row = 0;  // a chunk; from kUnitRows on a unit
    std::string text;
    std::uint64_t version = 0;  // guard
  };
  /// Rows to be written now, at most so many: first those that hold up machines which are to leave.
  std::vector<DoneWrite> done_writes(std::size_t most, Micros now = 0);
  static constexpr std::uint32_t kUnitRows = 1U << 16;
  /// Pushes lost in a row: starts wait for a report until one arrives.
  static constexpr int kGivenUp = 2;
  /// A progress row's name below its job, and back: "<job>/<chunk>" or "<job>/u/<unit>". The first version
  /// takes the latter for a job that it doesn't know.
  static std::string row_name(std::uint32_t row);
  static std::optional<std::pair<std::string, std::uint32_t>> parse_row_name(const std::string& name);
  void done_written(const DoneWrite& w, bool ok, std::uint64_t version);
  std::vector<std::string> complete_jobs() const;  // all tasks done, status not yet committed
  std::vector<std::string> done_keys(const std::string& job) const;
  void set_committing(const std::string& job, bool on);

  /// An empty machine may leave the share; from then on nothing is placed on it.
  bool release(const std::string& machine, Micros now);
  /// Releases that were refused since the share was taken, by reason.
  const std::array<std::uint64_t, place::kReleaseRefusals>& releases_refused() const {
    return releases_refused_;
  }
  /// Results that the machines report and no row is known to hold.
  struct HeldResults {
    std::size_t results = 0, machines = 0;
    Micros oldest = 0;  // age
  };
  HeldResults held_results(Micros now) const;
  /// Chunks of open jobs that we don't plan, of which our machines hold results: another share's, or jobs
  /// that were not ready yet when last read.
  std::set<std::pair<std::string, std::uint32_t>> chunks_of_others() const;
  /// What the owner of another share has recorded of such a chunk.
  void chunk_of_other(const std::string& job, std::uint32_t chunk, const std::string& text);
  /// What machines reported before their jobs' records were read.
  struct Attribution {
    std::size_t open_attempts = 0, open_results = 0;                // now
    std::uint64_t attributed_attempts = 0, attributed_results = 0;  // since the share was taken
    std::uint64_t dropped_attempts = 0, dropped_results = 0;        // of jobs that were never accepted
  };
  Attribution attribution() const;
  /// For how long machines that were empty had to wait until their results were recorded, since last asked.
  std::vector<Micros> take_result_waits() { return std::exchange(result_waits_, {}); }
  void keep(const std::string& machine);
  /// Stops what ranks below `rank` so that the machine may leave for a share whose tasks wait.
  void drain(const std::string& machine, int to, wire::Rank rank, Micros now);
  std::vector<std::pair<std::string, int>> drained() const;

  // ---- answers
  std::optional<std::pair<std::uint32_t, std::uint32_t>> tally(const std::string& job) const;
  std::vector<Demand> demands(Micros now) const;
  std::vector<MachineState> machine_states(Micros now) const;
  bool rebuilt() const { return view_.rebuilt; }
  bool has_machine(const std::string& id) const { return view_.machines.contains(id); }
  std::uint64_t epoch() const { return epoch_; }
  /// Attempts numbered in this epoch; from place::kAttemptsPerEpoch on nothing is started.
  std::uint64_t attempts() const { return placement_.attempts_in_epoch(); }
  /// The share is held on under a higher epoch, recorded as ours without a moment in between.
  void raise_epoch(std::uint64_t epoch);
  /// Attempts that counted as gone since the share was taken, by reason.
  const std::array<std::uint64_t, place::kFreeReasons>& freed() const { return view_.freed_counts; }
  /// Passes and orders that were refused since the share was taken, by reason.
  const std::array<std::uint64_t, place::kStartRefusals>& refused() const { return refused_; }
  const place::Rnn& rnn() const { return placement_.rnn(); }
  int share() const { return settings_.share; }
  std::size_t waiting() const;
  /// From a job's submission to the starts of its tasks, since last asked.
  std::vector<Micros> take_waits() { return std::exchange(waits_, {}); }

  /// Which machine each live attempt is on, for traces and tests.
  std::vector<std::string> describe() const;

 private:
  using Machine = place::Machine;
  using Job = place::Job;
  using AttemptPhase = place::AttemptPhase;
  using TaskAttempt = place::TaskAttempt;
  using FreeReason = place::FreeReason;
  using ReleaseRefusal = place::ReleaseRefusal;
  using TaskKey = place::TaskKey;
  using UnrecordedResult = place::UnrecordedResult;

  /// How a worker's own report relates to what is known of the machine.
  enum class ReportOrder : std::uint8_t {
    newest,     // it tells something new
    overtaken,  // by the answer to a push; the worker waits for our answer all the same
    copy,       // a newer report of the worker was seen: it drops our answer
  };
  static ReportOrder order_of(const Machine& m, const wire::WorkerReport& r);
  std::uint64_t token(const Machine& m) const;
  bool apply(Machine& m, const wire::WorkerReport& r, bool own_report, Micros now);
  void lapse(Machine& m, Micros now, FreeReason why);
  void doubt(Machine& m, Micros now, const char* why);
  void task_done(Job& j, Machine& m, const TaskAttempt& p, Micros now);
  void task_failed(Job& j, Machine& m, Micros now);
  /// What the records say of a job that a machine reports.
  enum class JobStanding : std::uint8_t { planned, over, of_another_share, not_known };
  JobStanding standing_of(const std::string& job) const;
  bool may_have_a_job(const TaskAttempt& p) const;
  bool awaits_records(const Machine& m) const;
  void adopt(Machine& m, const wire::TaskReport& t, Micros now);
  void account_for(Machine& m, TaskAttempt p, Micros now);
  void account_for_planned(Job& j, Machine& m, TaskAttempt p, Micros now);
  void attribute(Job& j, Micros now);
  void attribute_open(Micros now);
  static bool set_done(Job& j, std::uint32_t index);
  void task_exited(Machine& m, const wire::TaskReport& t, Micros now);
  Micros surely_lapsed(Micros answered) const;
  std::uint64_t floor(const Machine& m) const;
  bool start_allowed(Machine& m, std::map<TaskKey, TaskAttempt>::iterator at, StartRefusal of_owner,
                     Micros now);
  void count_refusal(StartRefusal why) { ++refused_.at(static_cast<std::size_t>(why)); }
  std::vector<Order> take_orders(Machine& m, bool by_push, std::uint64_t answer_seq, StartRefusal of_owner,
                                 Micros now);
  void check_rebuilt(Micros now);
  void say_silent(Micros now);
  static void gang_done(Job& j);
  static void merge_row(Job& j, std::uint32_t row, const std::string& text);
  bool surely_recorded(const Job& j, std::uint32_t index) const;
  bool result_needed(const TaskKey& task, Micros since) const;
  bool holds_needed_result(const Machine& m) const;
  void keep_or_forget(Machine& m, const wire::TaskReport& t,
                      const std::map<TaskKey, UnrecordedResult>& before, Micros now);
  void note_result_wait(Machine& m, Micros now);
  ReleaseRefusal release_refusal(const Machine& m) const;
  /// How much depends on a job's rows being written soon.
  struct Urgency {
    std::uint32_t machines_taken = 0;    // machines that the cloud is about to take hold results of it
    std::uint32_t machines_waiting = 0;  // the same of machines that are empty or being drained
    std::uint32_t unrecorded = 0;        // results
    std::set<std::uint32_t> units;       // in which those machines' results are
  };
  std::map<std::string, Urgency> urgent_results(Micros now) const;
  void write_row_of(Job& j, std::uint32_t unit, std::vector<DoneWrite>& out);

  const wire::PlatformSettings& platform_;
  const std::vector<wire::MachineType>& types_;
  ShareControllerSettings settings_;
  std::uint64_t epoch_;
  Micros renewable_until_;
  JobLookup lookup_;
  bool loaded_ = false, all_read_units_ = false, said_silent_ = false;
  Micros held_since_;
  std::vector<Micros> waits_, result_waits_;
  Micros records_as_of_ = 0;
  Attribution attribution_;  // but for what is open now
  struct ReadRow {
    std::string text;
    std::uint64_t version = 0;
  };
  /// Rows of jobs that are not planned yet, by job: read once, after the takeover.
  std::map<std::string, std::map<std::uint32_t, ReadRow>> rows_before_jobs_;
  std::map<std::string, DoneSet> recorded_by_others_;  // by job, of chunks_of_others()
  std::array<std::uint64_t, place::kReleaseRefusals> releases_refused_{};
  std::array<std::uint64_t, place::kStartRefusals> refused_{};
  Micros looked_ = 0;            // last pass over everything
  std::uint64_t placed_at_ = 0;  // the view's changes after the last pass
  std::vector<int> zones_;       // of the settings, as the view numbers them
  place::ClusterView view_;
  place::Placement placement_;
};

}  // namespace aspenwick::share
