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
  explicit Malformed(const std::string& why, std::string of_job = {})
      : std::runtime_error(why), job(std::move(of_job)) {}
  std::string job;  // of a submission whose id could be read
};

/// Amounts in millionths of a CPU, GPU or gigabyte, so that sums are exact.
struct Resources {
  std::int64_t cpus = 0, gpus = 0, memory = 0;

  bool fits_in(const Resources& room) const {
    return cpus <= room.cpus && gpus <= room.gpus && memory <= room.memory;
  }
  /// How often it fits into `room`; `most` if nothing is needed, never less than 0.
  std::int64_t times_in(const Resources& room, std::int64_t most) const {
    if (cpus > 0) most = std::min(most, room.cpus / cpus);
    if (gpus > 0) most = std::min(most, room.gpus / gpus);
    if (memory > 0) most = std::min(most, room.memory / memory);
    return std::max<std::int64_t>(0, most);
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
std::int64_t to_units(double amount);

enum class Shape : std::uint8_t { array, gang, service };
enum class Rank : std::uint8_t { low, normal, high, production };

inline constexpr std::uint32_t kMaxTasks = 100'000;
inline constexpr std::size_t kMaxBody = 64 * 1024;

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
  Micros estimate = 0, checkpoint_every = 0, save_time = 0;
  std::optional<Micros> deadline;
  std::vector<std::string> needs;  // jobs that must be done first, each once
};
bool valid_job_id(const std::string& id);
/// A submission: at most kMaxBody, no field twice; `rigtypes`, `site`, `dueS` and `waitsOn` may be left out.
/// Throws Malformed, which names the field and, where it could be read, the job.
JobSpec parse_job(const std::string& body);
/// As it was submitted, or as a record of ours holds it. Throws Malformed.
JobSpec job_from_json(const Json& j);
Json job_to_json(const JobSpec& spec);

enum class JobStatus : std::uint8_t { queued, running, done, cancelled };
std::string status_body(const std::string& id, JobStatus status,
                        std::optional<std::pair<std::uint32_t, std::uint32_t>> done_running = {});
std::string error_body(const std::string& reason);

// Workers
enum class TaskState : std::uint8_t { fetching, waiting, running, saving, exited };
enum class Cause : std::uint8_t {
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
  Cause cause = Cause::none;
  bool saved = false;
};
struct WorkerReport {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t session = 0, seq = 0, token = 0;
  std::optional<Micros> notice;
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
std::string report_answer(std::uint64_t token, const std::vector<Order>& orders);
std::string redirect_body(const std::string& node);
std::string direct_orders(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders);

// Cloud
struct MachineType {
  std::string name;
  Resources total;
  double price = 0, spot_price = 0, cache_gb = 0, fetch_gb_per_s = 1;
  Micros boot = 0;
  std::vector<std::string> zones;
};
std::vector<MachineType> parse_types(const std::string& body);
std::vector<MachineType> types_from_json(const Json& j);
Json types_to_json(const std::vector<MachineType>& types);

struct CloudMachine {
  std::string id, address, type, zone, state;
  bool spot = false;
  Micros age = 0;
};
struct CloudPage {
  std::vector<CloudMachine> machines;
  bool more = false;
};
CloudPage parse_cloud_page(const std::string& body);
std::string rental_body(const std::string& request, const std::string& type, const std::string& zone,
                        bool spot, int count);
std::vector<std::string> parse_rented(const std::string& body);
std::string rental_delete_body(const std::vector<std::string>& ids);

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
struct Page {
  std::vector<Row> rows;
  bool more = false;
  std::uint64_t revision = 0;
};
std::string commit_body(const std::vector<Guard>& guards, const std::vector<Write>& writes);
Page parse_page(const std::string& body);
Page parse_changes(const std::string& body);
Row parse_row(const std::string& body);
std::uint64_t parse_lease(const std::string& body);
std::string lease_body(Micros life);

}  // namespace aspenwick::wire
