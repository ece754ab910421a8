// The formats spoken with users, workers, the cloud and the state service. Protocol names live only here;
// the rest of the code uses the field's terms. Clients can use this package too: it has no sockets.
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

/// Input that breaks the protocol; what() is a reason fit to be shown.
struct Malformed : std::runtime_error {
  explicit Malformed(const std::string& why, std::string job_id = {})
      : std::runtime_error(why), job(std::move(job_id)) {}
  std::string job;  // of a submission whose id could be read
};

/// Amounts in millionths of a CPU, GPU or gigabyte, so that sums are exact.
struct Resources {
  std::int64_t cpus = 0, gpus = 0, memory = 0;

  bool fits_in(const Resources& available) const {
    return cpus <= available.cpus && gpus <= available.gpus && memory <= available.memory;
  }
  /// How often it fits into `room`; `most` if nothing is needed, never less than 0.
  std::int64_t copies_that_fit(const Resources& available, std::int64_t limit) const {
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
std::int64_t to_millionths(double amount);

enum class Shape : std::uint8_t { array, gang, service };
enum class Rank : std::uint8_t { low, normal, high, production };

inline constexpr std::uint32_t kMaxTasks = 100'000;
inline constexpr std::size_t kMaxJobBodyBytes = 64 * 1024;

struct JobSpec {
  std::string id, job_class, team, image;
  Shape shape = Shape::array;
  Rank rank = Rank::low;
  std::uint32_t tasks = 0;
  Resources need;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  Micros estimate = 0, checkpoint_interval = 0, checkpoint_duration = 0;
  std::optional<Micros> deadline;
  std::vector<std::string> dependencies;  // jobs that must be done first, each once
};
bool valid_job_id(const std::string& id);
/// A submission: at most kMaxJobBodyBytes, no field twice; `rigtypes`, `site`, `dueS` and `waitsOn` may be
/// left out. Throws Malformed, which names the field and, where it could be read, the job.
JobSpec parse_job(const std::string& body);
/// As it was submitted, or as a record of ours holds it. Throws Malformed.
JobSpec job_from_json(const Json& j);
Json job_to_json(const JobSpec& spec);

enum class JobStatus : std::uint8_t { queued, running, done, cancelled };
std::string status_body(const std::string& id, JobStatus status,
                        std::optional<std::pair<std::uint32_t, std::uint32_t>> done_and_running = {});
std::string error_body(const std::string& reason);

// Workers
enum class TaskState : std::uint8_t { fetching, waiting, running, saving, exited };
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

struct TaskReport {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool checkpoint_saved = false;
};
struct WorkerReport {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t session = 0, seq = 0, token = 0;
  std::optional<Micros> reclaim_notice;
  std::vector<TaskReport> tasks;
};
WorkerReport parse_report(const std::string& body);  // throws Malformed

struct Order {
  enum class Verb : std::uint8_t { launch, halt, forget } verb = Verb::launch;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Micros grace = 0;
};
std::string report_response(std::uint64_t token, const std::vector<Order>& orders);
std::string redirect_body(const std::string& node);
std::string push_body(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders);

// Cloud
struct MachineType {
  std::string name;
  Resources total;
  double price = 0, spot_price = 0, cache_gb = 0, fetch_gb_per_s = 1;
  Micros boot_time = 0;
  std::vector<std::string> zones;
};
std::vector<MachineType> parse_machine_types(const std::string& body);
std::vector<MachineType> machine_types_from_json(const Json& j);
Json machine_types_to_json(const std::vector<MachineType>& types);

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
std::string rental_request_body(const std::string& request, const std::string& type, const std::string& zone,
                                bool spot, int count);
std::vector<std::string> parse_rented_ids(const std::string& body);
std::string rental_delete_request_body(const std::vector<std::string>& ids);

// State service
struct Guard {
  std::string key;
  std::uint64_t version = 0;
};
struct Write {
  std::string key;
  Json value;  // discarded: the key is deleted
  std::optional<std::uint64_t> lease;
  bool remove = false;
};
struct Row {
  std::string key;
  Json value;
  std::uint64_t version = 0;
  bool removed = false;
};
struct RowPage {
  std::vector<Row> rows;
  bool has_more = false;
  std::uint64_t revision = 0;
};
std::string commit_body(const std::vector<Guard>& guards, const std::vector<Write>& writes);
RowPage parse_row_page(const std::string& body);
RowPage parse_changes(const std::string& body);
Row parse_row(const std::string& body);
std::uint64_t parse_lease(const std::string& body);
std::string lease_request_body(Micros duration);

}  // namespace aspenwick::wire
