// A share controller with two machines. Tests pass job records and worker reports to it directly.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node_fixture.h"
#include "share/share_controller.h"

namespace aspenwick::testing {

using place::StartRefusal;

inline constexpr std::uint64_t kEpoch = 2;
inline constexpr Micros kStartTime = 1000 * kSecond;

/// The controller owns all teams except "blue"; what runs on the machines is not known until their first
/// report.
struct ShareControllerTest : NodeTest {
  ShareControllerTest() {
    for (const char* id : {"i-1", "i-2"}) {
      share::MachineRecord machine;
      machine.id = id, machine.address = "127.0.0.1:9", machine.type = "cpu8", machine.zone = "z1";
      controller.on_machine_record(machine, false, now);
    }
    controller.finish_loading(now);
  }
  /// Adds a job record that lookups find, without passing it to the controller.
  void add_record(const std::string& id, int tasks, const std::string& shape = "array",
                  const std::string& team = "red") {
    auto submission = submission_json(id, tasks);
    submission["shape"] = shape;
    submission["owner"] = team;
    records[id].spec = std::make_shared<wire::JobSpec>(wire::job_from_json(submission));
  }
  /// Passes an added record to the controller, as of a job that may have been started before.
  void deliver_record(const std::string& id) { controller.on_job_record(id, records[id], false, now, now); }
  void add_job(const std::string& id, int tasks, const std::string& shape = "array") {
    add_record(id, tasks, shape);
    deliver_record(id);
  }
  static wire::TaskReport done_task(const std::string& id, std::uint32_t index, std::uint64_t attempt = 1) {
    return {id, index, attempt, wire::TaskState::exited, wire::ExitCause::done, false};
  }
  static wire::TaskReport running_task(const std::string& id, std::uint32_t index) {
    return {id, index, 1, wire::TaskState::running, wire::ExitCause::none, false};
  }
  /// Sends a report of the machine with these tasks and returns those that the answer tells it to forget. The
  /// records count as stale, so the answer starts nothing.
  std::set<place::TaskKey> send_report(const std::string& machine, std::vector<wire::TaskReport> tasks) {
    wire::WorkerReport r;
    r.machine = machine, r.address = "127.0.0.1:9", r.type = "cpu8", r.zone = "z1";
    r.session = session, r.seq = ++seq, r.token = kEpoch << place::kEpochShift;
    r.reclaim_notice = notice;
    r.tasks = std::move(tasks);
    std::set<place::TaskKey> forgotten;
    const auto answer = controller.on_report(r, now, StartRefusal::records_stale);
    for (const auto& o : answer->orders)
      if (o.verb == wire::Order::Verb::forget) forgotten.emplace(o.job, o.index);
    return forgotten;
  }
  bool reported_empty(const std::string& machine) const {
    for (const auto& state : controller.machine_states(now))
      if (state.id == machine) return state.empty;
    return false;
  }

  /// The share owns all teams except "blue".
  static share::ShareControllerSettings settings() {
    share::ShareControllerSettings s;
    s.owns_team = [](const std::string& team) { return team != "blue"; };
    return s;
  }

  wire::PlatformSettings platform = wire::parse_settings(settings_json().dump());
  std::vector<wire::MachineType> types = machine_types();
  std::map<std::string, job::JobRecord> records;
  Micros now = kStartTime;
  std::uint64_t session = 1, seq = 0;
  std::optional<Micros> notice;
  share::ShareController controller{platform,
                                    types,
                                    settings(),
                                    [this](const std::string& id) {
                                      const auto record = records.find(id);
                                      return record == records.end() ? nullptr : &record->second;
                                    },
                                    kEpoch,
                                    kStartTime,
                                    kStartTime};
};

}  // namespace aspenwick::testing
