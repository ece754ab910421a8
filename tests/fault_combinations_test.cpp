// Directed tests of faults that coincide, since invariants were seen broken when two faults met. Random pairs
// of faults are in fault_pairs_test.cpp.
#include "simulated_users.h"

namespace aspenwick::testing {
namespace {

using net::Method;

struct FaultCombinationTest : NodeTest {};

// The commit that hands a share back is lost without a response. The owner then neither started tasks of the
// share nor answered its workers, but went on renewing its holder key.
TEST_F(FaultCombinationTest, ALostHandBackLeavesNoShareWithoutAHolder) {
  ClusterSimulation sim;
  sim.engine.run_for(20 * kSecond);
  sim.crash("b");
  sim.engine.run_for(15 * kSecond);
  int lost = 0;
  sim.drop_commit = [&](const std::string& body) {
    return body.find("\"delete\":\"s/holder/1\"") != std::string::npos && ++lost == 1;
  };
  sim.start("b");
  sim.engine.run_for(20 * kSecond);
  ASSERT_GE(lost, 1);
  EXPECT_EQ(sim.store.keys.at("s/holder/1").value.at("node"), "b");
}

// The commit that moves a machine to another share is lost without a response. The machine was then used by
// nobody and never returned to the cloud.
TEST_F(FaultCombinationTest, ALostMachineMoveLeavesNoMachineWithoutAnOwner) {
  ClusterSimulation sim;
  sim.engine.run_for(20 * kSecond);
  EXPECT_EQ(sim.call("a", Method::post, "/v1/jobs", submission_json("j-1", 8)).status, 201);
  sim.engine.run_for(20 * kSecond);
  int lost = 0;
  sim.drop_commit = [&](const std::string& body) {
    return body.find("\"set\":\"s/machine/") != std::string::npos &&
           body.find("s/holder/") != std::string::npos && ++lost == 1;
  };
  sim.engine.run_for(600 * kSecond);
  EXPECT_GE(lost, 1);
  EXPECT_TRUE(sim.machines().empty());
}

// The state service responds slowly. Renewals that it had executed counted as failed, since their responses
// arrived after the request's deadline, and no node started anything.
TEST_F(FaultCombinationTest, TasksStartWhileTheStateServiceRespondsSlowly) {
  ClusterSimulation sim;
  sim.run_time = 5 * kSecond;
  sim.engine.run_for(20 * kSecond);
  for (int i = 1; i <= 10; ++i)
    EXPECT_EQ(sim.call("b", Method::post, "/v1/jobs", submission_json("j-" + std::to_string(i), 4)).status,
              201);
  sim.state_service_latency = 3500 * kMillisecond;
  sim.engine.run_for(60 * kSecond);
  EXPECT_EQ(sim.completed.size(), 40U);
  EXPECT_EQ(sim.store.leased_keys_removed, 0);
}

// A commit that is executed again later must fail its guards: shares taken, handed back or kept under a
// higher epoch, machines that join, move or leave, results, ends of jobs, cancellations. Allowed are keys
// written again that nothing reads any more (results of a finished job, a machine that the cloud has
// deleted), and deletions of keys that don't exist.
TEST_F(FaultCombinationTest, ATransactionRepeatedLaterChangesNothing) {
  app::OperatorSettings settings;
  settings.attempts_per_epoch = 30;
  ClusterSimulation sim(settings);
  sim.run_time = 20 * kSecond;
  sim.run_time_spread = 20 * kSecond;
  sim.engine.run_for(20 * kSecond);
  auto repeat_commits = [&] {
    for (const auto& body : std::vector(sim.sent_commits)) {
      const Json transaction = Json::parse(body);
      const auto before = sim.store.keys;
      int status = 0;
      sim.store.request(Method::post, "/commit", body, [&](int code, const std::string&) { status = code; });
      if (status != 200) continue;
      for (const auto& change : transaction.at("writes")) {
        const auto key = change.at(change.contains("delete") ? "delete" : "set").get<std::string>();
        if (change.contains("delete")) {
          EXPECT_FALSE(before.contains(key)) << body;
          continue;
        }
        EXPECT_FALSE(before.contains(key)) << body;
        if (key.starts_with("p/")) {
          const auto job = key.substr(key.find('/', 2) + 1);
          EXPECT_NE(before.at("s/job/" + job.substr(0, job.find('/'))).value.at("st"), "queued") << body;
        } else {
          ASSERT_TRUE(key.starts_with("s/machine/")) << body;
          const auto machines = sim.machines();
          EXPECT_EQ(std::count(machines.begin(), machines.end(), key.substr(10)), 0) << body;
        }
      }
    }
  };
  int jobs = 0;
  for (const char* owner : {"cards", "red", "cards", "tight"}) {
    for (int i = 0; i < 3; ++i) {
      auto j = submission_json("j-" + std::to_string(++jobs), 12);
      j["owner"] = owner;
      EXPECT_EQ(sim.call("c", Method::post, "/v1/jobs", j).status, 201);
    }
    sim.engine.run_for(25 * kSecond);
    EXPECT_EQ(sim.call("c", Method::post, "/v1/jobs/j-" + std::to_string(jobs) + "/withdraw").status, 200);
    sim.engine.run_for(2 * kSecond);
    repeat_commits();
    const std::string node = jobs % 2 == 0 ? "a" : "b";
    sim.crash(node);
    sim.engine.run_for(12 * kSecond);
    sim.start(node);
    sim.engine.run_for(15 * kSecond);
    repeat_commits();
  }
  EXPECT_GT(sim.sent_commits.size(), 100U);
  for (int i = 1; i <= jobs; ++i) {
    const std::string id = "j-" + std::to_string(i);
    for (int s = 0;
         s < 200 && sim.call("b", Method::get, "/v1/jobs/" + id).body.value("status", "") == "queued"; ++s)
      sim.engine.run_for(kSecond);
  }
  EXPECT_EQ(sim.concurrent_runs, 0) << sim.first_concurrent_run;
}

// The leader is cut off from the state service and the other nodes, but not from its workers and users. Jobs
// are cancelled through the node that takes over.
TEST_F(FaultCombinationTest, ALeaderCutOffWithItsWorkersStopsJobsCancelledElsewhere) {
  ClusterSimulation sim;
  sim.run_time = 3600 * kSecond;
  sim.engine.run_for(20 * kSecond);
  for (const char* owner : {"cards", "red"}) {
    auto j = submission_json(owner == std::string("red") ? "j-2" : "j-1", 8);
    j["owner"] = owner;
    EXPECT_EQ(sim.call("b", Method::post, "/v1/jobs", j).status, 201);
  }
  sim.engine.run_for(20 * kSecond);
  sim.nodes_refused_by_state_service = sim.nodes_cut_off_from_peers = {"a"};
  sim.engine.run_for(kSecond);
  // The user repeats the cancellation until the former owner can no longer start tasks without knowing of it.
  for (int i = 0; i < 10 && !sim.cancelled.contains("j-1"); ++i) {
    if (sim.call("c", Method::post, "/v1/jobs/j-1/withdraw").status == 200)
      sim.cancelled.emplace("j-1", sim.engine.now);
    else
      sim.engine.run_for(kSecond);
  }
  ASSERT_TRUE(sim.cancelled.contains("j-1"));
  // The node that is cut off must not return an older status than another node has returned.
  for (int i = 0; i < 60; ++i) {
    const auto response = sim.call("a", Method::get, "/v1/jobs/j-1");
    if (response.status == 200) {
      EXPECT_EQ(response.body.at("status"), "withdrawn");
    }
    sim.engine.run_for(kSecond);
  }
  sim.nodes_refused_by_state_service.clear(), sim.nodes_cut_off_from_peers.clear();
  sim.engine.run_for(30 * kSecond);
  EXPECT_EQ(sim.ran_after_cancellation, "");
  EXPECT_EQ(sim.concurrent_runs, 0) << sim.first_concurrent_run;
}

// ---------------------------------------------------------------- with simulated users

/// Simulated users check every response; afterwards all jobs must end and all invariants hold.
struct FaultCombinationWithUsersTest : FaultCombinationTest {
  /// Submits jobs of all three teams in turn, 100 ms apart, at random nodes.
  static void submit_jobs(ClusterSimulation& sim, SimulatedUsers& users, int jobs, int tasks, int from = 1) {
    static const std::vector<std::string> kOwners{"red", "tight", "cards"};
    for (int i = from; i < from + jobs; ++i) {
      auto j = submission_json("j-" + std::to_string(i), tasks);
      j["owner"] = kOwners[static_cast<std::size_t>(i) % 3];
      if (i % 3 == 2) j["cards"] = 1.0;
      users.submit(j);
      sim.engine.run_for(100 * kMillisecond);
    }
  }
  static void expect_invariants(const ClusterSimulation& sim) {
    EXPECT_EQ(sim.concurrent_runs, 0) << sim.first_concurrent_run;
    EXPECT_EQ(sim.ran_after_cancellation, "");
    EXPECT_EQ(sim.placement_violation, "");
  }
  static void finish_and_check(ClusterSimulation& sim, SimulatedUsers& users) {
    sim.run_time = 2 * kSecond;
    users.recheck_rate = 0, users.cancel_on_completion_rate = 0;
    users.expect_all_jobs_end();
    expect_invariants(sim);
  }
  static std::string leader(const ClusterSimulation& sim) {
    const auto key = sim.store.keys.find("s/leader");
    return key == sim.store.keys.end() ? "" : key->second.value.at("node").get<std::string>();
  }
};

// A user who learns that a job is accepted, done or cancelled polls it at every node within milliseconds,
// repeats the submission, and sometimes cancels. Meanwhile the state service is slow or loses responses, or
// one node's watch lags.
TEST_F(FaultCombinationWithUsersTest, ImmediateRechecksReturnNoOlderState) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation sim;
    sim.random.seed(seed);
    SimulatedUsers users(sim);
    users.recheck_rate = 1;
    sim.run_time = kSecond, sim.run_time_spread = 5 * kSecond;
    if (seed % 4 == 1) sim.nodes_with_stalled_watches = {kNodeNames[seed % 3]};
    if (seed % 4 == 2) sim.state_service_latency = 60 * kMillisecond;
    if (seed % 4 == 3) sim.state_response_loss_rate = 0.1;
    sim.engine.run_for(15 * kSecond);
    for (int s = 0; s < 60; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
    sim.nodes_with_stalled_watches.clear(), sim.state_service_latency = 0, sim.state_response_loss_rate = 0;
    finish_and_check(sim, users);
  }
}

// Commits are executed at once and only their responses are lost, one kind of commit in each run. The other
// nodes read what was written while users poll at all nodes; the wrong belief of the node that sent the
// commit must do no harm until it is corrected.
TEST_F(FaultCombinationWithUsersTest, ALostCommitResponseBreaksNoInvariant) {
  const std::vector<std::pair<const char*, std::string>> kinds{{"accept", R"("guards":[{"path":"s/job/)"},
                                                               {"cancel", R"("st":"withdrawn")"},
                                                               {"done", R"("st":"done")"},
                                                               {"done-set", R"("set":"p/)"},
                                                               {"holder key", R"("set":"s/holder/)"},
                                                               {"epoch", R"("set":"s/token/)"},
                                                               {"hand-back", R"("delete":"s/holder/)"},
                                                               {"join", R"("set":"s/machine/)"},
                                                               {"forget", R"("delete":"s/machine/)"},
                                                               {"types", R"("set":"s/types)"},
                                                               {"leader", R"("set":"s/leader")"},
                                                               {"formats", R"("set":"s/node/)"}};
  for (const auto& [name, text] : kinds) {
    SCOPED_TRACE(name);
    app::OperatorSettings settings;
    settings.attempts_per_epoch = 15;
    ClusterSimulation sim(settings);
    SimulatedUsers users(sim);
    users.recheck_rate = 0.3;
    int lost = 0;
    sim.drop_commit_response = [&, pattern = text](const std::string& body) {
      return body.find(pattern) != std::string::npos && (lost == 0 || sim.random() % 3 != 0) && ++lost > 0;
    };
    sim.push_loss_rate = 0.2;
    sim.run_time_spread = 20 * kSecond;
    sim.engine.run_for(20 * kSecond);
    submit_jobs(sim, users, 9, 4);
    for (int s = 0; s < 25; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
    const auto first_leader = leader(sim);
    sim.crash(first_leader.empty() ? "b" : first_leader);
    for (int s = 0; s < 12; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
    for (const auto& n : kNodeNames)
      if (!sim.is_running(n)) sim.start(n);
    for (int s = 0; s < 40; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
    finish_and_check(sim, users);
    sim.engine.run_for(300 * kSecond);
    EXPECT_GT(lost, 0);
    sim.drop_commit_response = [](const std::string&) { return false; };
    sim.engine.run_for(200 * kSecond);
    EXPECT_TRUE(sim.machines().empty());  // no machine is left without an owner
  }
}

// Every team is at its limit. Jobs are cancelled while their machines hang or reach no node, and the leader
// changes. The capacity of a cancelled task counts as free only once the task has certainly ended, also for
// the new leader; then all of it is used.
TEST_F(FaultCombinationWithUsersTest, TeamLimitsHoldWhileCancelledTasksMayStillRunAndTheLeaderChanges) {
  for (int variant = 0; variant < 8; ++variant) {
    SCOPED_TRACE(variant);
    ClusterSimulation sim;
    SimulatedUsers users(sim);
    sim.push_loss_rate = variant & 1 ? 0.3 : 0;
    sim.run_time = 150 * kSecond;
    sim.engine.run_for(20 * kSecond);
    submit_jobs(sim, users, 9, 6);
    sim.engine.run_for(40 * kSecond);
    const std::vector<std::string> cancelled{"j-1", "j-2"};  // the first of "tight" and of "cards"
    for (const auto& id : cancelled) {
      EXPECT_FALSE(sim.machines_running(id).empty()) << id;
      for (const auto& m : sim.machines_running(id))
        if (variant & 2)
          sim.block_reports_of(m, 40 * kSecond);
        else
          sim.hang(m, 10 * kSecond);
    }
    const auto first_leader = leader(sim);
    if (variant & 4) sim.crash(first_leader);
    for (const auto& id : cancelled) users.cancel(id);
    sim.engine.run_for(300 * kMillisecond);
    if (!(variant & 4)) sim.crash(first_leader);
    sim.engine.run_for(10 * kSecond);
    sim.start(first_leader);
    sim.engine.run_for(60 * kSecond);
    finish_and_check(sim, users);
  }
}

// Cancellations at every moment of a share's handover: its owner crashes, another node takes it over, and it
// is handed back to its home node.
TEST_F(FaultCombinationWithUsersTest, CancellationsDuringAShareHandoverBreakNoInvariant) {
  for (Micros at = 0; at <= 24 * kSecond; at += 800 * kMillisecond) {
    SCOPED_TRACE(to_seconds(at));
    ClusterSimulation sim;
    SimulatedUsers users(sim);
    sim.push_loss_rate = 0.1;
    sim.run_time = 90 * kSecond;
    sim.engine.run_for(20 * kSecond);
    submit_jobs(sim, users, 9, 4);
    sim.engine.run_for(20 * kSecond);
    sim.engine.at(8 * kSecond, [&] { sim.start("b"); });
    sim.engine.at(at, [&] {
      for (int i = 1; i <= 9; i += 2) {
        const std::string id = "j-" + std::to_string(i);
        for (const auto& n : kNodeNames) users.cancel(id, n);  // at all running nodes at once
      }
    });
    sim.crash("b");
    sim.engine.run_for(30 * kSecond);
    for (int i = 1; i <= 9; i += 2) users.cancel("j-" + std::to_string(i));
    sim.engine.run_for(60 * kSecond);
    finish_and_check(sim, users);
  }
}

// Machines report 1 s after their creation and get tasks at once, half of the commits are executed 2 to 12 s
// late, and the leader crashes.
TEST_F(FaultCombinationWithUsersTest, FastMachineStartsWithDelayedCommitsAndALeaderCrashBreakNoInvariant) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation sim;
    sim.random.seed(seed);
    SimulatedUsers users(sim);
    sim.boot_time = kSecond, sim.run_time_spread = 30 * kSecond;
    sim.push_loss_rate = seed % 2 == 0 ? 0 : 0.3;
    sim.engine.run_for(20 * kSecond);
    sim.commit_delay_rate = 0.5, sim.commit_delay_range = {2 * kSecond, 12 * kSecond};
    submit_jobs(sim, users, 6, 8);
    sim.engine.run_for(static_cast<Micros>(seed) * 700 * kMillisecond);
    const auto first_leader = leader(sim);
    if (!first_leader.empty()) sim.crash(first_leader);
    sim.engine.run_for(7 * kSecond);
    for (const auto& n : kNodeNames)
      if (!sim.is_running(n)) sim.start(n);
    sim.engine.run_for(30 * kSecond);
    sim.commit_delay_rate = 0;
    finish_and_check(sim, users);
    sim.engine.run_for(300 * kSecond);
    EXPECT_TRUE(sim.machines().empty());
  }
}

// Copies of old reports reach every node as a new leader begins; the former leader may still run, cut off.
TEST_F(FaultCombinationWithUsersTest, OldReportsReplayedToANewLeaderBreakNoInvariant) {
  for (unsigned seed = 1; seed <= 16; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation sim;
    sim.random.seed(seed);
    SimulatedUsers users(sim);
    sim.push_loss_rate = seed % 2 == 0 ? 0 : 0.5;
    sim.run_time = 40 * kSecond, sim.run_time_spread = 40 * kSecond;
    sim.engine.run_for(20 * kSecond);
    submit_jobs(sim, users, 9, 6);
    sim.engine.run_for(25 * kSecond);
    const auto first_leader = leader(sim);
    ASSERT_FALSE(first_leader.empty());
    sim.report_replay_rate = 1;
    if (seed % 4 < 2) {
      for (const auto& m : sim.machines()) sim.only_reachable_node[m] = first_leader;
      sim.engine.run_for(3 * kSecond);
      sim.nodes_refused_by_state_service = sim.nodes_cut_off_from_peers = {first_leader};
      sim.engine.run_for(25 * kSecond);
      sim.only_reachable_node.clear();
      sim.nodes_refused_by_state_service.clear(), sim.nodes_cut_off_from_peers.clear();
    } else {
      sim.engine.run_for(3 * kSecond);
      sim.crash(first_leader);
      sim.engine.run_for(static_cast<Micros>(seed) * 400 * kMillisecond);
      sim.start(first_leader);
    }
    sim.engine.run_for(20 * kSecond);
    sim.report_replay_rate = 0;
    finish_and_check(sim, users);
  }
}

// One-task jobs, four a second for two minutes, a quarter of them cancelled, must not starve another job.
TEST_F(FaultCombinationWithUsersTest, ManySmallJobsWithCancellationsStarveNoOtherJob) {
  ClusterSimulation sim;
  SimulatedUsers users(sim);
  sim.push_loss_rate = 0;
  sim.run_time = 2 * kSecond, sim.run_time_spread = 4 * kSecond;
  sim.engine.run_for(20 * kSecond);
  for (int i = 1; i <= 480; ++i) {
    const std::string id = "j-" + std::to_string(i);
    auto j = submission_json(id, 1);
    j["vcpus"] = 0.5, j["ramGb"] = 0.5;
    j["owner"] = i % 2 ? "red" : "tight";
    users.submit(j);
    if (i % 4 == 0)
      sim.engine.at(static_cast<Micros>(sim.random() % 5000) * kMillisecond,
                    [&users, id] { users.cancel(id); });
    sim.engine.run_for(250 * kMillisecond);
    if (i == 240) {
      auto other = submission_json("j-900", 6);
      other["owner"] = "cards";
      users.submit(other);
    }
  }
  sim.engine.run_for(30 * kSecond);
  for (int i = 0; i < 6; ++i) EXPECT_TRUE(sim.completed.contains("j-900/" + std::to_string(i))) << i;
  int ended_jobs = 0;
  for (int i = 1; i <= 480; ++i) {
    const std::string id = "j-" + std::to_string(i);
    ended_jobs += sim.completed.contains(id + "/0") || sim.cancelled.contains(id);
  }
  EXPECT_EQ(ended_jobs, 480);
  finish_and_check(sim, users);
}

// Cancellations, polls and repeated submissions coincide with the end of a job's last task, without other
// faults.
TEST_F(FaultCombinationWithUsersTest, CancellationsAsTheLastTaskEndsBreakNoInvariant) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation sim;
    sim.random.seed(seed);
    SimulatedUsers users(sim);
    users.cancel_on_completion_rate = 0.7, users.recheck_rate = 0.5;
    sim.push_loss_rate = seed % 2 == 0 ? 0 : 1;
    sim.run_time_spread = 8 * kSecond;
    sim.engine.run_for(20 * kSecond);
    for (int s = 0; s < 80; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
    finish_and_check(sim, users);
  }
}

// A zone with its machines and a node is cut off for longer than a worker's lease, and jobs are cancelled.
TEST_F(FaultCombinationWithUsersTest, AZonePartitionLongerThanAWorkerLeaseBreaksNoInvariant) {
  for (const auto& node : kNodeNames)
    for (const Micros span : {14 * kSecond, 45 * kSecond}) {
      SCOPED_TRACE(node + " for " + std::to_string(to_seconds(span)));
      ClusterSimulation sim;
      SimulatedUsers users(sim);
      sim.push_loss_rate = 0;
      sim.run_time = 60 * kSecond, sim.run_time_spread = 30 * kSecond;
      sim.engine.run_for(20 * kSecond);
      submit_jobs(sim, users, 9, 5);
      sim.engine.run_for(20 * kSecond);
      sim.isolate_zone("z1", node);
      sim.engine.run_for(2 * kSecond);
      for (const auto& n : kNodeNames)
        if (n != node) users.cancel("j-3", n), users.cancel("j-4", n), users.cancel("j-5", n);
      sim.engine.run_for(span);
      sim.reconnect_zone();
      sim.engine.run_for(30 * kSecond);
      finish_and_check(sim, users);
    }
}

// All nodes are down for longer than a worker's lease, right after jobs were accepted and cancelled.
TEST_F(FaultCombinationWithUsersTest, AllControllersDownLongerThanAWorkerLeaseBreaksNoInvariant) {
  ClusterSimulation sim;
  SimulatedUsers users(sim);
  sim.run_time = 60 * kSecond;
  sim.engine.run_for(20 * kSecond);
  submit_jobs(sim, users, 6, 4);
  sim.engine.run_for(20 * kSecond);
  users.cancel("j-1", "a"), users.cancel("j-2", "b");
  submit_jobs(sim, users, 3, 4, 7);
  for (const auto& n : kNodeNames) sim.crash(n);
  sim.engine.run_for(sim.worker_lease() + 5 * kSecond);
  for (const auto& n : kNodeNames) sim.start(n);
  sim.engine.run_for(30 * kSecond);
  finish_and_check(sim, users);
}

// Arrays and gangs whose tasks must stay in one zone lose machines.
TEST_F(FaultCombinationWithUsersTest, JobsBoundToOneZoneSurviveLostMachines) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation sim;
    sim.random.seed(seed);
    SimulatedUsers users(sim);
    sim.push_loss_rate = seed % 2 == 0 ? 0 : 0.3;
    sim.run_time = 40 * kSecond;
    sim.engine.run_for(20 * kSecond);
    for (int i = 1; i <= 6; ++i) {
      auto j = submission_json("j-" + std::to_string(i), i % 2 == 0 ? 4 : 9);
      if (i % 2 == 0) j["shape"] = "group";
      if (i % 3 == 0) j["site"] = "z2";
      j["together"] = true;
      users.submit(j);
    }
    sim.engine.run_for(25 * kSecond);
    for (int i = 0; i < 3; ++i) sim.lose_random_machine(), sim.engine.run_for(7 * kSecond);
    sim.engine.run_for(30 * kSecond);
    finish_and_check(sim, users);
  }
}

// Workers' reports reach no node while pushes reach the workers; jobs are cancelled meanwhile, and the leader
// crashes.
TEST_F(FaultCombinationWithUsersTest, CancellationsWhileReportsAreLostBreakNoInvariant) {
  for (const Micros span : {8 * kSecond, 20 * kSecond, 60 * kSecond}) {
    SCOPED_TRACE(to_seconds(span));
    ClusterSimulation sim;
    SimulatedUsers users(sim);
    sim.push_loss_rate = 0;
    sim.run_time = 50 * kSecond;
    sim.engine.run_for(20 * kSecond);
    submit_jobs(sim, users, 9, 4);
    sim.engine.run_for(20 * kSecond);
    for (const auto& m : sim.machines()) sim.block_reports_of(m, span);
    users.cancel("j-1"), users.cancel("j-2"), users.cancel("j-3");
    sim.engine.run_for(span / 2);
    sim.crash(leader(sim));
    sim.engine.run_for(span);
    for (const auto& n : kNodeNames)
      if (!sim.is_running(n)) sim.start(n);
    sim.engine.run_for(30 * kSecond);
    finish_and_check(sim, users);
  }
}

// The leader changes ten times in two minutes; in the second run the state service is down during two of the
// changes.
TEST_F(FaultCombinationWithUsersTest, TenLeaderChangesInTwoMinutesBreakNoInvariant) {
  for (const bool outage : {false, true}) {
    SCOPED_TRACE(outage);
    ClusterSimulation sim;
    SimulatedUsers users(sim);
    sim.push_loss_rate = 0.1;
    sim.run_time = 20 * kSecond, sim.run_time_spread = 40 * kSecond;
    sim.engine.run_for(20 * kSecond);
    submit_jobs(sim, users, 9, 5);
    sim.engine.run_for(10 * kSecond);
    std::set<std::string> leaders;
    for (int change = 0; change < 10; ++change) {
      sim.state_service_down = outage && change % 5 == 3;
      const auto now = leader(sim);
      if (!now.empty() && sim.is_running(now)) sim.crash(now);
      for (int s = 0; s < 6; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
      sim.state_service_down = false;
      for (const auto& n : kNodeNames)
        if (!sim.is_running(n)) sim.start(n);
      for (int s = 0; s < 6; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
      leaders.insert(leader(sim));
    }
    EXPECT_GT(leaders.size(), 1U);
    finish_and_check(sim, users);
  }
}

// The machine of a cancelled task hangs, from before or after the cancellation, and goes on within its lease
// or after it.
TEST_F(FaultCombinationWithUsersTest, ACancelledTaskOnAHungMachineStopsWithinTheCancellationTime) {
  for (const Micros hang : {4 * kSecond, 9 * kSecond, 11 * kSecond, 30 * kSecond})
    for (const bool hangs_before_cancellation : {true, false})
      for (const bool leader_crashes : {true, false}) {
        SCOPED_TRACE(to_seconds(hang));
        ClusterSimulation sim;
        SimulatedUsers users(sim);
        sim.push_loss_rate = 0;
        sim.run_time = 150 * kSecond;
        sim.engine.run_for(20 * kSecond);
        submit_jobs(sim, users, 6, 4);
        sim.engine.run_for(30 * kSecond);
        const auto job_machines = sim.machines_running("j-1");
        ASSERT_FALSE(job_machines.empty());
        auto hang_machines = [&] {
          for (const auto& m : job_machines) sim.hang(m, hang);
        };
        if (hangs_before_cancellation) hang_machines(), sim.engine.run_for(kSecond);
        users.cancel("j-1");
        if (!hangs_before_cancellation) hang_machines();
        sim.engine.run_for(500 * kMillisecond);
        const auto first_leader = leader(sim);
        if (leader_crashes) sim.crash(first_leader);
        sim.engine.run_for(15 * kSecond);
        if (leader_crashes) sim.start(first_leader);
        sim.engine.run_for(60 * kSecond);
        EXPECT_TRUE(sim.machines_running("j-1").empty());
        finish_and_check(sim, users);
      }
}

// More jobs of all ranks than the cloud has capacity for, with a slow state service, lost reports and lost
// pushes; some jobs are cancelled.
TEST_F(FaultCombinationWithUsersTest, OverloadWithSlowStateServiceAndLostPushesBreaksNoInvariant) {
  ClusterSimulation sim;
  sim.max_machines = 6;
  SimulatedUsers users(sim);
  sim.push_loss_rate = 0.3, sim.report_loss_rate = 0.2, sim.state_service_latency = 800 * kMillisecond;
  sim.run_time = 5 * kSecond, sim.run_time_spread = 10 * kSecond;
  sim.engine.run_for(20 * kSecond);
  static const char* const kRanks[] = {"low", "high", "normal", "production"};
  for (int i = 1; i <= 16; ++i) {
    auto j = submission_json("j-" + std::to_string(i), 6);
    j["rank"] = kRanks[i % 4];
    j["owner"] = i % 3 ? "red" : "cards";
    users.submit(j);
    sim.engine.run_for(kSecond);
  }
  for (int i = 3; i <= 16; i += 4) users.cancel("j-" + std::to_string(i));
  sim.engine.run_for(60 * kSecond);
  sim.state_service_latency = 0, sim.report_loss_rate = 0;
  finish_and_check(sim, users);
}

// Tasks of a job started for up to 5 s after its cancellation had been confirmed: the owner of the share is
// cut off from the state service and its peers; another node commits the cancellation and confirms it; the
// owner goes on starting waiting tasks until its lease ends. The confirming node knew that its commit had
// succeeded, but not that the owner had stopped. All of the late starts were ordered by the owner that was
// cut off.
TEST_F(FaultCombinationWithUsersTest, NoTaskStartsAfterTheCancellationIsConfirmed) {
  ClusterSimulation sim;
  SimulatedUsers users(sim);
  sim.push_loss_rate = 0, sim.max_machines = 4;
  sim.run_time = kSecond;
  sim.engine.run_for(20 * kSecond);
  auto j = submission_json("j-1", 600);
  j["owner"] = "cards";
  users.submit(j);
  sim.engine.run_for(30 * kSecond);
  ASSERT_EQ(sim.store.keys.at("s/holder/0").value.at("node"), "a");
  ASSERT_FALSE(sim.machines_running("j-1").empty());
  sim.nodes_refused_by_state_service = sim.nodes_cut_off_from_peers = {"a"};
  sim.engine.run_for(200 * kMillisecond);
  users.cancel("j-1", "b");
  sim.engine.run_for(20 * kSecond);
  ASSERT_TRUE(sim.cancelled.contains("j-1"));
  EXPECT_EQ(sim.latest_start_after_cancellation, 0) << sim.latest_cancelled_start;
  expect_invariants(sim);
}

}  // namespace
}  // namespace aspenwick::testing
