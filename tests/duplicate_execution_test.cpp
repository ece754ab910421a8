// Each test reproduces a cause for which a task ran on two machines at once, or again after it was done
// (docs/incidents/2026-12-02-production.md).
#include "node_fixture.h"
#include "share/share_controller.h"

namespace aspenwick::testing {
namespace {

using net::Method;

constexpr Micros kLongTaskDuration = 3600 * kSecond;

struct DuplicateExecutionTest : NodeTest {
  /// Submits a job of a team of share 0; node a is the leader and owns that share.
  void submit_to_share_0(const std::string& id, int tasks) {
    auto submission = submission_json(id, tasks);
    submission["owner"] = "cards";
    ASSERT_EQ(world.call("b", Method::post, "/v1/jobs", submission).status, 201);
  }
  std::string owner_of_share_0() const {
    const auto row = world.store.keys.find("s/holder/0");
    return row == world.store.keys.end() ? "" : row->second.value.at("node").get<std::string>();
  }
  ClusterSimulation world;
};

// Node a is cut off from the state service and its peers and goes on renewing its workers' leases for a
// bounded time after its own lease. Its successor crashes and restarts at once, so the share changes owner
// twice within that time: the second successor must wait for node a's workers as the first one did.
TEST_F(DuplicateExecutionTest, SecondTakeoverWaitsForTheOwnerBeforeTheFirst) {
  for (Micros owned_for = 0; owned_for <= 4 * kSecond; owned_for += kSecond) {
    SCOPED_TRACE(to_seconds(owned_for));
    ClusterSimulation local_world;
    local_world.run_time = kLongTaskDuration;
    local_world.push_loss_rate = 0;
    local_world.engine.run_for(20 * kSecond);
    auto submission = submission_json("j-1", 8);
    submission["owner"] = "cards";
    ASSERT_EQ(local_world.call("b", Method::post, "/v1/jobs", submission).status, 201);
    local_world.engine.run_for(20 * kSecond);
    for (const auto& machine : local_world.machines()) local_world.only_reachable_node[machine] = "a";
    local_world.nodes_refused_by_state_service = local_world.nodes_cut_off_from_peers = {"a"};
    auto current_owner = [&local_world] {
      const auto row = local_world.store.keys.find("s/holder/0");
      return row == local_world.store.keys.end() ? "" : row->second.value.at("node").get<std::string>();
    };
    for (int i = 0; i < 100 && (current_owner().empty() || current_owner() == "a"); ++i)
      local_world.engine.run_for(kSecond / 10);
    const std::string successor = current_owner();
    ASSERT_NE(successor, "a");
    local_world.engine.run_for(owned_for);
    local_world.crash(successor);
    local_world.engine.run_for(50 * kMillisecond);
    local_world.start(successor);
    local_world.engine.run_for(60 * kSecond);
    EXPECT_EQ(local_world.concurrent_runs, 0) << local_world.first_concurrent_run;
    for (int i = 0; i < 8; ++i)
      EXPECT_EQ(local_world.starts["j-1/" + std::to_string(i)], 2);  // no task stays waiting
  }
}

// Answers to pushes overtake the worker's reports, and the answers to those reports renew its lease all the
// same: when the machine falls silent, its tasks run until one lease after the last report that was answered.
TEST_F(DuplicateExecutionTest, AnswersToReportsOvertakenByPushAnswersRenewTheLease) {
  world.push_loss_rate = 0;
  world.engine.run_for(20 * kSecond);
  submit_to_share_0("j-1", 12);  // leaves an empty machine that can be used at once
  world.engine.run_for(20 * kSecond);
  world.run_time = kLongTaskDuration;
  submit_to_share_0("j-2", 2);
  world.engine.run_for(3 * kSecond);
  const auto machines_running_job = world.machines_running("j-2");
  ASSERT_EQ(machines_running_job.size(), 1U);
  world.report_latency = 400 * kMillisecond;
  for (int i = 0; i < 30; ++i) {  // occasional pushes while reports are in flight
    auto submission = submission_json("j-" + std::to_string(100 + i), 1);
    submission["owner"] = "cards";
    submission["vcpus"] = 0.1, submission["ramGb"] = 0.1;
    ASSERT_EQ(world.call("b", Method::post, "/v1/jobs", submission).status, 201);
    world.engine.run_for(200 * kMillisecond);
  }
  world.hang(machines_running_job[0], 2 * world.worker_lease());
  world.engine.run_for(2 * world.worker_lease());
  EXPECT_EQ(world.concurrent_runs, 0) << world.first_concurrent_run;
  EXPECT_EQ(world.starts["j-2/0"], 2);
}

// A node that missed too many changes reads all keys again, in pages. A machine that it records as the leader
// meanwhile is missing from the pages read before, which must not count as its removal.
TEST_F(DuplicateExecutionTest, MachineRecordedDuringAKeyRereadIsNotTreatedAsRemoved) {
  for (Micros reread_delay = 0; reread_delay < 7 * kSecond; reread_delay += kSecond / 2) {
    SCOPED_TRACE(to_seconds(reread_delay));
    ClusterSimulation local_world;
    local_world.push_loss_rate = 0;
    local_world.engine.run_for(20 * kSecond);
    ASSERT_EQ(local_world.store.keys.at("s/leader").value.at("node"), "a");
    auto submit = [&local_world](const std::string& id) {
      auto submission = submission_json(id, 24);
      submission["owner"] = "cards";
      ASSERT_EQ(local_world.call("a", Method::post, "/v1/jobs", submission).status, 201);
    };
    local_world.run_time = 18 * kSecond;  // makes room on other machines once the new ones have their tasks
    submit("j-1");
    local_world.engine.run_for(18 * kSecond);
    local_world.run_time = kLongTaskDuration;
    local_world.nodes_with_stalled_watches = {"a"};
    submit("j-2");
    local_world.engine.run_for(reread_delay);
    local_world.store.page_size = 4;
    local_world.store.page_latency = kSecond;  // as if there were very many pages
    local_world.store.compact_changes();
    local_world.nodes_with_stalled_watches.clear();
    local_world.engine.run_for(20 * kSecond);
    local_world.store.page_latency = 0;
    local_world.engine.run_for(60 * kSecond);
    EXPECT_EQ(local_world.concurrent_runs, 0) << local_world.first_concurrent_run;
    EXPECT_EQ(local_world.starts.size(), 48U);
    for (const auto& [task, starts] : local_world.starts) EXPECT_EQ(starts, 1) << task;
  }
}

// A machine leaves its share with results that only it and the share's owner know. Its next owner does not
// know whether they are recorded, and must not tell the worker to forget them. The fault: writes of progress
// rows lagged, the machine counted as empty and was returned, the owner crashed, and its successor started
// the tasks again. An attempt that has exited is no longer listed at its machine, and `release` checked
// attempts only. The log of the first owner, then of its successor:
//   freed j-1/9 try 1048586 on i-100003 session 1 token 1048576: done
//   machine i-100003 leaves share 0 for -1
//   start j-1/9 try 2097154 on i-100002 session 1 token 2097152 by push
TEST_F(DuplicateExecutionTest, UnrecordedResultsSurviveAMachinesChangeOfShare) {
  world.push_loss_rate = 0;
  world.drop_commit = [](const std::string& body) { return body.find("\"p/") != std::string::npos; };
  world.engine.run_for(20 * kSecond);
  world.run_time_spread = 200 * kSecond;
  submit_to_share_0("j-1", 48);
  world.engine.run_for(190 * kSecond);
  const auto completed_tasks = world.completed;
  ASSERT_GT(completed_tasks.size(), 3U);
  ASSERT_LT(completed_tasks.size(), 48U);
  world.crash("a");
  world.engine.run_for(100 * kSecond);
  for (const auto& task : completed_tasks) EXPECT_EQ(world.starts[task], 1) << task;
}

// A machine reports a task of a job whose record has not been read yet; once it is read, the task must not be
// placed again. The fault: a reported task of an unknown job was dropped although the machine counted as
// accounted for, so when the job's record arrived, all its tasks counted as not placed, and the task was
// placed again, here on the machine that runs it. The owner's log, after the report of j-1/0:
//   share 0: rebuilt, 2 machines, 0 jobs
//   place j-1/0 try 2097153 on i-1 q 0.5000 of 2 with room
TEST_F(DuplicateExecutionTest, RunningTaskOfAnUnknownJobIsNotPlacedAgain) {
  const auto platform = wire::parse_settings(settings_json().dump());
  const auto types = machine_types();
  constexpr std::uint64_t kEpoch = 2;
  constexpr Micros kNow = 1000 * kSecond;
  job::JobRecord record;
  bool record_known = false;
  auto find_record = [&](const std::string&) { return record_known ? &record : nullptr; };
  share::ShareController controller(platform, types, {}, find_record, kEpoch, kNow, kNow);
  for (const char* id : {"i-1", "i-2"}) {
    share::MachineRecord machine;
    machine.id = id, machine.address = "127.0.0.1:9", machine.type = "cpu8", machine.zone = "z1";
    controller.on_machine_record(machine, false, kNow);
  }
  controller.finish_loading(kNow);
  wire::WorkerReport report;
  report.address = "127.0.0.1:9", report.type = "cpu8", report.zone = "z1";
  report.session = report.seq = 1;
  report.token = kEpoch << place::kEpochShift;
  report.machine = "i-2";
  controller.on_report(report, kNow, place::StartRefusal::none);
  wire::TaskReport task;
  task.job = "j-1", task.attempt = 1, task.state = wire::TaskState::running;
  report.machine = "i-1", report.tasks = {task};
  controller.on_report(report, kNow, place::StartRefusal::none);
  record_known = true;
  record.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(submission_json("j-1", 1)));
  controller.on_job_record("j-1", record, false, kNow, kNow);
  controller.tick(kNow, place::StartRefusal::none);
  for (const auto& attempt_line : controller.describe_attempts())
    EXPECT_EQ(attempt_line, "i-1 j-1/0 running");
}

}  // namespace
}  // namespace aspenwick::testing
