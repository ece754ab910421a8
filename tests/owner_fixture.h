// One owner with two machines, told of jobs and reports by hand.
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
inline constexpr Micros kStart = 1000 * kSecond;

struct OwnerTest : NodeTest {
  OwnerTest() {
    for (const char* id : {"i-1", "i-2"}) {
      share::MachineRecord machine;
      machine.id = id, machine.address = "127.0.0.1:9", machine.type = "cpu8", machine.zone = "z1";
      owner.on_machine_record(machine, false, now);
    }
    owner.finish_loading(now);
  }
  /// Its record is there, and the owner has not been told.
  void record(const std::string& id, int tasks, const std::string& shape = "array",
              const std::string& team = "red") {
    auto submission = submission_json(id, tasks);
    submission["shape"] = shape;
    submission["owner"] = team;
    records[id].spec = std::make_shared<wire::JobSpec>(wire::job_from_json(submission));
  }
  void tell(const std::string& id) { owner.on_job_record(id, records[id], false, now, now); }
  void accept(const std::string& id, int tasks, const std::string& shape = "array") {
    record(id, tasks, shape);
    tell(id);
  }
  static wire::TaskReport done(const std::string& id, std::uint32_t index, std::uint64_t attempt = 1) {
    return {id, index, attempt, wire::TaskState::exited, wire::Cause::done, false};
  }
  static wire::TaskReport running(const std::string& id, std::uint32_t index) {
    return {id, index, 1, wire::TaskState::running, wire::Cause::none, false};
  }
  /// The tasks that the machine may forget.
  std::set<place::TaskKey> report(const std::string& machine, std::vector<wire::TaskReport> tasks) {
    wire::WorkerReport r;
    r.machine = machine, r.address = "127.0.0.1:9", r.type = "cpu8", r.zone = "z1";
    r.session = session, r.seq = ++seq, r.token = kEpoch << place::kEpochShift;
    r.notice = notice;
    r.tasks = std::move(tasks);
    std::set<place::TaskKey> forgotten;
    const auto answer = owner.on_report(r, now, StartRefusal::records_stale);
    for (const auto& o : answer->orders)
      if (o.verb == wire::Order::Verb::forget) forgotten.emplace(o.job, o.index);
    return forgotten;
  }
  bool told_empty(const std::string& machine) const {
    for (const auto& state : owner.machine_states(now))
      if (state.id == machine) return state.empty;
    return false;
  }

  /// Plans all teams' jobs but the blue one's.
  static share::ShareControllerSettings settings() {
    share::ShareControllerSettings s;
    s.owns_team = [](const std::string& team) { return team != "blue"; };
    return s;
  }

  wire::PlatformSettings platform = wire::parse_settings(settings_json().dump());
  std::vector<wire::MachineType> types = machine_types();
  std::map<std::string, job::JobRecord> records;
  Micros now = kStart;
  std::uint64_t session = 1, seq = 0;
  std::optional<Micros> notice;
  share::ShareController owner{platform,
                               types,
                               settings(),
                               [this](const std::string& id) {
                                 const auto record = records.find(id);
                                 return record == records.end() ? nullptr : &record->second;
                               },
                               kEpoch,
                               kStart,
                               kStart};
};

}  // namespace aspenwick::testing
