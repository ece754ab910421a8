// Causes for which a task ran on two machines at once, or again after it was done: each test brings one about
// (docs/incidents/2026-12-02-production.md).
#include "node_fixture.h"
#include "share/share_controller.h"

namespace aspenwick::testing {
namespace {

using net::Method;

constexpr Micros kLongRun = 3600 * kSecond;

struct RanTwiceTest : NodeTest {
  /// Node a leads and owns the share of this team.
  void submit_for_node_a(const std::string& id, int tasks) {
    auto submission = job(id, tasks);
    submission["owner"] = "cards";
    ASSERT_EQ(world.call("b", Method::post, "/v1/jobs", submission).status, 201);
  }
  std::string owner_of_share_0() const {
    const auto row = world.store.keys.find("s/holder/0");
    return row == world.store.keys.end() ? "" : row->second.value.at("node").get<std::string>();
  }
  ClusterSimulation world;
};

// Node a is cut off from the state service and its peers and goes on answering its workers for a bounded time
// after its lease. Its successor is killed and back at once, so the share changes owner twice within that
// time: the second successor has to wait for node a's workers just as the first one had to.
TEST_F(RanTwiceTest, ASecondTakeoverStillWaitsForTheOwnerBeforeTheFirst) {
  for (Micros owned_for = 0; owned_for <= 4 * kSecond; owned_for += kSecond) {
    SCOPED_TRACE(to_seconds(owned_for));
    ClusterSimulation w;
    w.run_time = kLongRun;
    w.push_loss_rate = 0;
    w.engine.run_for(20 * kSecond);
    auto submission = job("j-1", 8);
    submission["owner"] = "cards";
    ASSERT_EQ(w.call("b", Method::post, "/v1/jobs", submission).status, 201);
    w.engine.run_for(20 * kSecond);
    for (const auto& machine : w.machines()) w.only_reachable_node[machine] = "a";
    w.nodes_refused_by_state_service = w.nodes_cut_off_from_peers = {"a"};
    auto owner = [&w] {
      const auto row = w.store.keys.find("s/holder/0");
      return row == w.store.keys.end() ? "" : row->second.value.at("node").get<std::string>();
    };
    for (int i = 0; i < 100 && (owner().empty() || owner() == "a"); ++i) w.engine.run_for(kSecond / 10);
    const std::string successor = owner();
    ASSERT_NE(successor, "a");
    w.engine.run_for(owned_for);
    w.crash(successor);
    w.engine.run_for(50 * kMillisecond);
    w.start(successor);
    w.engine.run_for(60 * kSecond);
    EXPECT_EQ(w.concurrent_runs, 0) << w.first_concurrent_run;
    for (int i = 0; i < 8; ++i) EXPECT_EQ(w.starts["j-1/" + std::to_string(i)], 2);  // none is left waiting
  }
}

// Answers to pushes overtake the worker's reports, whose answers renew its lease all the same: when the
// machine falls silent, its tasks run until a lease after the last report that was answered.
TEST_F(RanTwiceTest, AnswersToReportsThatPushAnswersOvertookRenewTheLease) {
  world.push_loss_rate = 0;
  world.engine.run_for(20 * kSecond);
  submit_for_node_a("j-1", 12);  // leaves an empty machine that can be used at once
  world.engine.run_for(20 * kSecond);
  world.run_time = kLongRun;
  submit_for_node_a("j-2", 2);
  world.engine.run_for(3 * kSecond);
  const auto used = world.machines_running("j-2");
  ASSERT_EQ(used.size(), 1U);
  world.report_latency = 400 * kMillisecond;
  for (int i = 0; i < 30; ++i) {  // a push now and then while reports are on their way
    auto submission = job("j-" + std::to_string(100 + i), 1);
    submission["owner"] = "cards";
    submission["vcpus"] = 0.1, submission["ramGb"] = 0.1;
    ASSERT_EQ(world.call("b", Method::post, "/v1/jobs", submission).status, 201);
    world.engine.run_for(200 * kMillisecond);
  }
  world.hang(used[0], 2 * world.worker_lease());
  world.engine.run_for(2 * world.worker_lease());
  EXPECT_EQ(world.concurrent_runs, 0) << world.first_concurrent_run;
  EXPECT_EQ(world.starts["j-2/0"], 2);
}

// The changes that a node missed are too many, and it reads all keys again, in pages. A machine that it
// records meanwhile as the leader is on none of the pages read before: it was not removed.
TEST_F(RanTwiceTest, AMachineRecordedWhileAllKeysAreReadAgainIsNotTakenForRemoved) {
  for (Micros read_after = 0; read_after < 7 * kSecond; read_after += kSecond / 2) {
    SCOPED_TRACE(to_seconds(read_after));
    ClusterSimulation w;
    w.push_loss_rate = 0;
    w.engine.run_for(20 * kSecond);
    ASSERT_EQ(w.store.keys.at("s/leader").value.at("node"), "a");
    auto submit = [&w](const std::string& id) {
      auto submission = job(id, 24);
      submission["owner"] = "cards";
      ASSERT_EQ(w.call("a", Method::post, "/v1/jobs", submission).status, 201);
    };
    w.run_time = 18 * kSecond;  // makes room on other machines once the new ones have their tasks
    submit("j-1");
    w.engine.run_for(18 * kSecond);
    w.run_time = kLongRun;
    w.nodes_with_stalled_watches = {"a"};
    submit("j-2");
    w.engine.run_for(read_after);
    w.store.page_size = 4;
    w.store.page_latency = kSecond;  // as if there were very many pages
    w.store.compact_changes();
    w.nodes_with_stalled_watches.clear();
    w.engine.run_for(20 * kSecond);
    w.store.page_latency = 0;
    w.engine.run_for(60 * kSecond);
    EXPECT_EQ(w.concurrent_runs, 0) << w.first_concurrent_run;
    EXPECT_EQ(w.starts.size(), 48U);
    for (const auto& [task, starts] : w.starts) EXPECT_EQ(starts, 1) << task;
  }
}

// A machine leaves its share with results that only it and the share's owner know. Its next owner does not
// know whether they are recorded, and may not have them forgotten.
// What happened: rows of results lagged, the machine counted as empty and was given back, the owner ended,
// and its successor started the tasks again. Why: an attempt that has exited is in no account of its machine,
// and `release` asked for attempts alone. The log of the first owner, then of its successor:
//   freed j-1/9 try 1048586 on i-100003 session 1 token 1048576: done
//   machine i-100003 leaves share 0 for -1
//   start j-1/9 try 2097154 on i-100002 session 1 token 2097152 by push
TEST_F(RanTwiceTest, ResultsThatAreNotRecordedYetOutliveAMachinesChangeOfShare) {
  world.push_loss_rate = 0;
  world.drop_commit = [](const std::string& body) { return body.find("\"p/") != std::string::npos; };
  world.engine.run_for(20 * kSecond);
  world.run_time_spread = 200 * kSecond;
  submit_for_node_a("j-1", 48);
  world.engine.run_for(190 * kSecond);
  const auto results = world.completed;
  ASSERT_GT(results.size(), 3U);
  ASSERT_LT(results.size(), 48U);
  world.crash("a");
  world.engine.run_for(100 * kSecond);
  for (const auto& task : results) EXPECT_EQ(world.starts[task], 1) << task;
}

// A machine's report names a task of a job whose record has not been read yet. Once it has, the task is not
// free.
// What happened: the task was placed a second time, here on the very machine that runs it. Why: a report of
// an unknown job was left out of the account, though the machine counted as accounted for, so that the job's
// record, when it came, found all its tasks free. The owner's log, after the report of j-1/0:
//   share 0: rebuilt, 2 machines, 0 jobs
//   place j-1/0 try 2097153 on i-1 q 0.5000 of 2 with room
TEST_F(RanTwiceTest, ATaskOfAJobThatIsNotKnownYetIsPlacedNowhereElse) {
  const auto platform = wire::parse_settings(settings_json().dump());
  const auto types = machine_types();
  constexpr std::uint64_t kEpoch = 2;
  constexpr Micros kNow = 1000 * kSecond;
  job::JobRecord record;
  bool known = false;
  auto look_up = [&](const std::string&) { return known ? &record : nullptr; };
  share::ShareController owner(platform, types, {}, look_up, kEpoch, kNow, kNow);
  for (const char* id : {"i-1", "i-2"}) {
    share::MachineRecord machine;
    machine.id = id, machine.address = "127.0.0.1:9", machine.type = "cpu8", machine.zone = "z1";
    owner.on_machine_record(machine, false, kNow);
  }
  owner.finish_loading(kNow);
  wire::WorkerReport report;
  report.address = "127.0.0.1:9", report.type = "cpu8", report.zone = "z1";
  report.session = report.seq = 1;
  report.token = kEpoch << place::kEpochShift;
  report.machine = "i-2";
  owner.on_report(report, kNow, place::StartRefusal::none);
  wire::TaskReport task;
  task.job = "j-1", task.attempt = 1, task.state = wire::TaskState::running;
  report.machine = "i-1", report.tasks = {task};
  owner.on_report(report, kNow, place::StartRefusal::none);
  known = true;
  record.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(job("j-1", 1)));
  owner.on_job_record("j-1", record, false, kNow, kNow);
  owner.tick(kNow, place::StartRefusal::none);
  for (const auto& placed : owner.describe_attempts()) EXPECT_EQ(placed, "i-1 j-1/0 running");
}

}  // namespace
}  // namespace aspenwick::testing
