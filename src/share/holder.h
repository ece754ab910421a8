// The holder of one share: what runs where on its machines, from worker reports to orders. Socket-free; it is
// fed events and the time, so that traces can drive it.
//
// Invariant: a task is placed only when every machine that could hold it is accounted for: by a report under
// our token, or by a worker lease that has surely lapsed since the last moment anyone could have renewed it.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job/record.h"
#include "place/rnn.h"
#include "wire/settings.h"

namespace aspenwick::share {

using job::DoneSet;
using job::JobRecord;
using wire::JobSpec;
using wire::Order;
using wire::Resources;

/// A machine as recorded in its share.
struct MachineRecord {
  std::string id, address, type, zone;
  bool spot = false;
  int share = -1;           // -1: condemned, the leader deletes it
  std::uint64_t epoch = 0;  // least epoch that may give it orders
  std::uint64_t version = 0;
};
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

struct HolderSettings {
  int share = 0;
  place::RnnSettings rnn;
  Micros suspect_for = 60 * kSecond;
  int suspect_after = 3;  // errors of different jobs, or in a row
  Micros error_backoff = 2 * kSecond;
};

class Holder {
 public:
  /// Finds any job's record, or null: what is not ours or over must be told from what is not known yet.
  using JobLookup = std::function<const JobRecord*(const std::string&)>;

  /// `renewable_until`: the last moment the former holder may have renewed a worker's lease.
  Holder(const wire::PlatformSettings& platform, const std::vector<wire::MachineType>& types,
         HolderSettings settings, JobLookup lookup, std::uint64_t epoch, Micros now, Micros renewable_until);

  // ---- events
  void job_known(const std::string& id, const JobRecord& record, bool fresh, Micros now, Micros time_of_day);
  /// Any share's job: which machine types its GPU tasks can use.
  void note_gpu_job(const JobSpec& spec);
  void load_done(const std::string& job, std::uint32_t chunk, const std::string& text, std::uint64_t version);
  void loaded(Micros now);  // all jobs, done-sets and machines of the share were told
  /// `handed_empty`: recorded after our takeover, so it was handed over empty.
  void machine_known(const MachineRecord& record, bool handed_empty, Micros now);
  void machine_gone(const std::string& id, Micros now);

  struct Answer {
    std::uint64_t token = 0;
    std::vector<Order> orders;
  };
  /// A worker's own report. `may_start`: our lease is surely valid. Answering renews the worker's lease.
  std::optional<Answer> on_report(const wire::WorkerReport& report, Micros now, bool may_start);

  /// Orders to be pushed to a machine; the caller reports what came of it.
  struct Push {
    std::string machine, address;
    std::uint64_t token = 0, session = 0;
    std::vector<Order> orders;
  };
  std::vector<Push> pushes(Micros now);
  void pushed(const std::string& machine, int status, const wire::WorkerReport* report, Micros now);

  /// Lapses, placement, preemption.
  void tick(Micros now, bool may_start);

  // ---- what is to be recorded
  struct DoneWrite {
    std::string job;
    std::uint32_t chunk = 0;
    std::string text;
    std::uint64_t version = 0;  // guard
  };
  std::vector<DoneWrite> done_writes(std::size_t most);
  void done_written(const DoneWrite& w, bool ok, std::uint64_t version);
  std::vector<std::string> complete_jobs() const;  // all tasks done, status not yet committed
  std::vector<std::string> done_keys(const std::string& job) const;
  void set_committing(const std::string& job, bool on);

  /// An empty machine may leave the share; from then on nothing is placed on it.
  bool release(const std::string& machine, Micros now);
  void keep(const std::string& machine);
  /// Stops what ranks below `rank` so that the machine may leave for a share whose tasks wait.
  void drain(const std::string& machine, int to, wire::Rank rank, Micros now);
  std::vector<std::pair<std::string, int>> drained() const;

  // ---- answers
  std::optional<std::pair<std::uint32_t, std::uint32_t>> tally(const std::string& job) const;
  std::vector<Demand> demands(Micros now) const;
  std::vector<MachineState> machine_states(Micros now) const;
  bool rebuilt() const { return rebuilt_; }
  bool has_machine(const std::string& id) const { return machines_.contains(id); }
  std::uint64_t epoch() const { return epoch_; }
  const place::Rnn& rnn() const { return rnn_; }
  int share() const { return settings_.share; }
  std::size_t waiting() const;

  /// Which machine each live attempt is on, for traces and tests.
  std::vector<std::string> describe() const;

 private:
  enum class Phase : std::uint8_t { assigned, sent, present, running };
  struct Job;
  struct Placed {
    Job* job = nullptr;  // null: not one of ours, to be stopped
    std::string job_id;
    std::string team;  // whose limit it counts against
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    Resources need;
    Phase phase = Phase::assigned;
    bool halting = false;
    Micros grace = 0;
    bool by_push = false;          // sent by a push rather than in an answer
    std::uint64_t answer_seq = 0;  // the report whose answer carried the launch
    std::uint64_t fence = 0;       // unsure until a report under this token
    Micros started = 0, run_since = 0, halt_sent = 0;
  };
  using TaskKey = std::pair<std::string, std::uint32_t>;
  struct Machine {
    MachineRecord record;
    const wire::MachineType* type = nullptr;
    std::size_t type_index = 0;
    Resources free;
    std::map<TaskKey, Placed> tasks;
    std::vector<Order> forgets;
    std::uint64_t session = 0, seq = 0, seen_token = 0, bump = 0;
    bool up = false, accounted = false, leaving = false, pushing = false, handed_empty = false;
    Micros lapse_at = 0;  // surely no task is left then, unless renewed
    std::optional<Micros> taken_at;
    Micros suspect_until = 0, idle_since = 0, last_report = 0, push_again = 0;
    std::set<std::string> error_jobs;
    std::vector<std::pair<std::string, double>> images;  // name and gigabytes, the last used first
    wire::Rank held_for = wire::Rank::low;               // room being made is for this rank and above
    Micros held_until = 0;
    int drain_to = -2;  // -2: not drained
    Micros gpu_idle_since = 0;
    Micros drain_until = 0;
  };
  struct Job {
    std::shared_ptr<const JobSpec> spec;
    std::string id;
    Micros submitted = 0;  // on the steady clock
    std::uint64_t version = 0;
    bool fresh = false;  // accepted after our takeover: nothing of it can run yet
    bool withdrawn = false, finished = false, committing = false;
    DoneSet done, recorded;
    std::vector<std::uint64_t> chunk_versions;
    std::set<std::uint32_t> dirty, in_flight;
    std::map<std::uint32_t, std::string> active;  // task -> machine
    std::set<std::uint32_t> again;
    std::uint32_t cursor = 0;
    double run_sum = 0;
    std::uint32_t run_count = 0;
    int errors = 0;
    Micros not_before = 0;
    std::set<std::string> bad_machines;
    std::uint64_t gang_attempt = 0;
    std::uint32_t waiting() const {
      return spec->tasks - done.count() - static_cast<std::uint32_t>(active.size());
    }
  };

  std::uint64_t token(const Machine& m) const;
  bool apply(Machine& m, const wire::WorkerReport& r, bool own_report, Micros now);
  void lapse(Machine& m, Micros now, const char* why);
  void drop(Machine& m, std::map<TaskKey, Placed>::iterator it, Micros now, bool again);
  void task_done(Job& j, Machine& m, const Placed& p, Micros now);
  void task_failed(Job& j, Machine& m, Micros now);
  void adopt(Machine& m, const wire::TaskReport& t, Micros now);
  void task_exited(Machine& m, const wire::TaskReport& t, Micros now);
  Micros surely_lapsed(Micros answered) const;
  std::uint64_t floor(const Machine& m) const;
  void halt(Placed& p, Micros grace);
  void stop_gang(Job& j, Micros grace);
  std::vector<Order> take_orders(Machine& m, bool by_push, std::uint64_t answer_seq, bool may_start,
                                 Micros now);
  void place_all(Micros now);
  bool place_one(Job& j, std::uint32_t index, std::uint64_t attempt, bool cheap_only, Micros now,
                 const std::string& zone = "");
  std::int64_t slots(const Job& j, const Machine& m, Resources room) const;
  std::vector<std::string> gang_zones(const Job& j, Micros now,
                                      const std::function<Resources(const Machine&)>& room_of) const;
  bool make_gang_room(Job& j, Micros now);
  int dearness(const Job& j, const Machine& m) const;
  bool place_gang(Job& j, Micros now);
  bool place_allowed(const Job& j) const;
  bool machine_allowed(const Job& j, const Machine& m, Micros now) const;
  bool fits(const Job& j, const Machine& m, const Resources& free) const;
  bool within_limit(const Job& j, std::uint32_t tasks) const;
  bool within_guarantee(const Job& j) const;
  bool borrowed(const Job& j, const Placed& p) const;
  bool make_room(Job& j, Micros now);
  std::optional<std::uint32_t> next_task(Job& j);
  std::vector<Job*> ordered_jobs(Micros now);
  Micros slack(const Job& j, Micros now) const;
  Micros start_within(const Job& j) const;
  static double run_time(const Job& j);
  bool await_plain(const Job& j, Micros now) const;
  static void has_image(Machine& m, const JobSpec& spec);
  int warmth(const Job& j, const Machine& m) const;
  void check_rebuilt(Micros now);
  const wire::Team* team(const std::string& name) const;
  void erase_if_over(const std::string& id);
  std::map<std::string, int> zones_of(const Job& j) const;

  const wire::PlatformSettings& platform_;
  const std::vector<wire::MachineType>& types_;
  HolderSettings settings_;
  std::uint64_t epoch_;
  std::uint64_t attempts_ = 0;
  Micros renewable_until_;
  JobLookup lookup_;
  bool loaded_ = false, rebuilt_ = false;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Resources> team_use_;
  place::Rnn rnn_;
  std::vector<bool> gpu_wanted_;  // types that GPU jobs can use
};

}  // namespace aspenwick::share
