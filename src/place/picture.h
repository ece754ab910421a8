// What a holder knows of its share: jobs, machines, and which attempt is, or may be, where.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "job/record.h"
#include "wire/wire.h"

namespace aspenwick::place {

using job::DoneSet;
using job::JobSpec;
using wire::Order;
using wire::Resources;

inline constexpr unsigned kEpochShift = 20;  // tokens and attempts: epoch, then a counter within it

/// A machine as recorded in its share.
struct MachineRecord {
  std::string id, address, type, zone;
  bool spot = false;
  int share = -1;           // -1: condemned, the leader deletes it
  std::uint64_t epoch = 0;  // least epoch that may give it orders
  std::uint64_t version = 0;
};
enum class Phase : std::uint8_t { assigned, sent, present, running };
struct Job;

/// An attempt of a task that is, or may be, on a machine.
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
/// A machine of the share: what is on it, and what we know of its worker.
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

  void used_image(const JobSpec& spec);
};
/// A job of the share that is not over, or whose tasks are not all gone.
struct Job {
  std::shared_ptr<const JobSpec> spec;
  std::string id;
  Micros submitted = 0, ready = 0;    // on the steady clock; ready: since nothing that it needs is missing
  wire::Rank rank = wire::Rank::low;  // its own, or of a job that needs it
  std::optional<Micros> finish_by;    // its deadline, or for what follows
  std::uint64_t version = 0;
  bool fresh = false;  // accepted after our takeover: nothing of it can run yet
  bool withdrawn = false, finished = false, committing = false;
  DoneSet done, recorded, recorded_whole;  // recorded_whole: in rows that every version reads
  std::map<std::uint32_t, std::uint64_t> row_versions;
  std::set<std::uint32_t> dirty, in_flight;     // units with unrecorded results; rows being written
  std::map<std::uint32_t, std::string> active;  // task -> machine
  std::set<std::uint32_t> again;
  std::uint32_t cursor = 0;
  double run_sum = 0;
  std::uint32_t run_count = 0;
  int errors = 0;
  Micros not_before = 0;
  std::set<std::string> bad_machines;
  std::uint64_t gang_attempt = 0;
  Micros began = 0;          // a gang's first attempt
  Micros to_spot_until = 0;  // a gang that was stopped to go on on spot machines
  Micros moved = 0;
  std::uint32_t waiting() const {
    return spec->tasks - done.count() - static_cast<std::uint32_t>(active.size());
  }
};

struct Picture {
  std::map<std::string, Machine> machines;
  std::map<std::string, std::unique_ptr<Job>> jobs;
  std::map<std::string, Resources> team_use;
  bool rebuilt = false;  // every machine was accounted for since our takeover

  /// The attempt is surely gone from the machine; `again`: its task should run again.
  void drop(Machine& m, std::map<TaskKey, Placed>::iterator it, Micros now, bool again);
  static void halt(Placed& p, Micros grace);
  void stop_gang(Job& j, Micros grace);
  void erase_if_over(const std::string& id);
  std::map<std::string, int> zones_of(const Job& j) const;
};

}  // namespace aspenwick::place
