// Message formats for users, workers, the cloud and the state service. The names that the protocols use occur
// only in this package; the rest of the code uses the usual terms of cluster scheduling. It opens no sockets,
// so clients can use it too.
#pragma once
#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "wire/time.h"

namespace aspenwick::wire {

using Json = nlohmann::json;

/// Thrown for input that violates a protocol. what() may be shown to the sender.
struct Malformed : std::runtime_error {
  explicit Malformed(const std::string& why, std::string job_id = {})
      : std::runtime_error(why), job(std::move(job_id)) {}
  std::string job;  // the id of the submitted job, if it could be read
};

/// Amounts in millionths of a CPU, of a GPU and of a gigabyte of memory: integers, so that sums are exact.
struct Resources {
  std::int64_t cpus = 0, gpus = 0, memory = 0;

  bool fits_in(const Resources& available) const {
    return cpus <= available.cpus && gpus <= available.gpus && memory <= available.memory;
  }
  /// How many copies of this fit into `available` together, 0 to `limit`; 0 if a single one does not, see
  /// fits_in().
  std::int64_t copies_that_fit(const Resources& available, std::int64_t limit) const {
    if (!fits_in(available)) return 0;
    if (cpus > 0) limit = std::min(limit, available.cpus / cpus);
    if (gpus > 0) limit = std::min(limit, available.gpus / gpus);
    if (memory > 0) limit = std::min(limit, available.memory / memory);
    return std::max<std::int64_t>(0, limit);
  }
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory += o.memory;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory -= o.memory;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, std::int64_t n) { return {a.cpus * n, a.gpus * n, a.memory * n}; }
  bool operator==(const Resources&) const = default;
};
/// Rounds to the nearest millionth.
std::int64_t to_millionths(double amount);
/// Rounds up to a millionth, so that tasks that fit together by their rounded needs fit by the exact ones.
/// Less than a hundredth of a millionth is taken for an error of the floating-point number.
std::int64_t to_millionths_rounded_up(double amount);

enum class Shape : std::uint8_t { array, gang, service };
enum class Rank : std::uint8_t { low, normal, high, production };

inline constexpr std::uint32_t kMaxTasks = 100'000;
inline constexpr std::size_t kMaxJobBodyBytes = 64 * 1024;

/// A job as submitted. Amounts of resources are per task, times in microseconds.
struct JobSpec {
  std::string id, job_class, team, image;
  Shape shape = Shape::array;
  Rank rank = Rank::low;
  std::uint32_t tasks = 0;
  Resources need;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // machine types it may run on; unset: any
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  Micros estimate = 0, checkpoint_interval = 0, checkpoint_duration = 0;
  std::optional<Micros> deadline;
  std::vector<std::string> dependencies;  // jobs that must be done before this one, without duplicates
};
/// "j-" and digits, 3 to 40 characters.
bool valid_job_id(const std::string& id);
/// Parses a submission of at most kMaxJobBodyBytes without duplicate fields. `rigtypes`, `site`, `dueS` and
/// `waitsOn` are optional. Throws Malformed with the name of the field and, if it could be read, the job's
/// id.
JobSpec parse_job(const std::string& body);
/// Reads a job from a submission or from a record in the state service. Throws Malformed.
JobSpec job_from_json(const Json& j);
Json job_to_json(const JobSpec& spec);

enum class JobStatus : std::uint8_t { queued, running, done, cancelled };
/// `done_and_running`: numbers of tasks.
std::string status_body(const std::string& id, JobStatus status,
                        std::optional<std::pair<std::uint32_t, std::uint32_t>> done_and_running = {});
std::string error_body(const std::string& reason);

// Workers
enum class TaskState : std::uint8_t { fetching, waiting, running, saving, exited };
/// Why an attempt exited, in the order of the names in report.cpp.
enum class ExitCause : std::uint8_t {
  none,
  done,
  stopped,
  gang_lost,
  gang_incomplete,
  error,
  no_room,
  busy,
  unknown
};

/// One attempt of a task in a worker's report.
struct TaskReport {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool checkpoint_saved = false;
};
/// A worker's report. `seq` numbers the reports of a session; a later session has a higher number. `token`:
/// the highest fencing token that the worker has seen.
struct WorkerReport {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t session = 0, seq = 0, token = 0;
  std::optional<Micros> reclaim_notice;  // the cloud takes the machine back after this time
  std::vector<TaskReport> tasks;
};
WorkerReport parse_report(const std::string& body);  // throws Malformed

/// What a worker is told to do with an attempt.
struct Order {
  enum class Verb : std::uint8_t { launch, halt, forget } verb = Verb::launch;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Micros grace = 0;  // halt: time to save a checkpoint
};
/// The response to a report.
std::string report_response(std::uint64_t token, const std::vector<Order>& orders);
/// Refers a worker to the node that is responsible for it.
std::string redirect_body(const std::string& node);
/// Orders that are sent to a worker without waiting for its next report.
std::string push_body(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders);

// Cloud
/// Without a spot price in the cloud's list, `spot_price` is the ordinary one.
struct MachineType {
  std::string name;
  Resources total;
  double price = 0, spot_price = 0, cache_gb = 0, fetch_gb_per_s = 1;
  Micros boot_time = 0;
  std::vector<std::string> zones;
};
/// Sorted by name. Throw Malformed.
std::vector<MachineType> parse_machine_types(const std::string& body);
std::vector<MachineType> machine_types_from_json(const Json& j);
Json machine_types_to_json(const std::vector<MachineType>& types);

/// A rented machine in the cloud's list.
struct CloudMachine {
  std::string id, address, type, zone, state;
  bool spot = false;
  Micros age = 0;
};
struct CloudMachinePage {
  std::vector<CloudMachine> machines;
  bool has_more = false;
};
CloudMachinePage parse_cloud_machine_page(const std::string& body);
/// `request` identifies the rental request: the cloud answers a known one with the machines it rented before.
std::string rental_request_body(const std::string& request, const std::string& type, const std::string& zone,
                                bool spot, int count);
/// The ids of the rented machines.
std::vector<std::string> parse_rented_ids(const std::string& body);
std::string rental_delete_request_body(const std::vector<std::string>& ids);

// State service
/// A condition of a commit: the key has this version. 0: it does not exist.
struct Guard {
  std::string key;
  std::uint64_t version = 0;
};
struct Write {
  std::string key;
  Json value;                          // ignored if `remove`
  std::optional<std::uint64_t> lease;  // the key is deleted when this lease ends
  bool remove = false;                 // delete the key
};
/// A key and its value, or a change of it. `version`: the revision at which it was last changed.
struct Row {
  std::string key;
  Json value;
  std::uint64_t version = 0;
  bool removed = false;
};
/// A page of a list of keys, or of changes. `revision`: the state that it reflects.
struct RowPage {
  std::vector<Row> rows;
  bool has_more = false;
  std::uint64_t revision = 0;
};
// The parsers throw Malformed or nlohmann::json exceptions.
std::string commit_body(const std::vector<Guard>& guards, const std::vector<Write>& writes);
RowPage parse_row_page(const std::string& body);
RowPage parse_changes(const std::string& body);
Row parse_row(const std::string& body);
std::uint64_t parse_lease(const std::string& body);
std::string lease_request_body(Micros duration);

}  // namespace aspenwick::wire
