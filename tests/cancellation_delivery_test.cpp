// A cancellation that was confirmed to a user reaches the node that answers the job's workers, also one that
// the state service refuses: the tasks are gone within the time allowed for a cancellation
// (design/cancellation.md).
#include "node_fixture.h"

namespace aspenwick::testing {
namespace {

using net::Method;

/// Node a is the leader and owns the share of this team; eight long tasks run on its machines. The parameter:
/// the fault that follows begins only once the cancellation was confirmed to the user, else as soon as it is
/// committed.
struct CancellationDeliveryTest : NodeTest, ::testing::WithParamInterface<bool> {
  CancellationDeliveryTest() {
    world.run_time = 3600 * kSecond;
    world.engine.run_for(20 * kSecond);
    submit("j-1");
    world.engine.run_for(20 * kSecond);
    EXPECT_EQ(world.store.keys.at("s/leader").value.at("node"), "a");
    EXPECT_EQ(world.store.keys.at("s/holder/0").value.at("node"), "a");
    EXPECT_EQ(world.starts.size(), 8U);
  }
  void submit(const std::string& id) {
    auto submission = submission_json(id, 8);
    submission["owner"] = "cards";
    EXPECT_EQ(world.call("b", Method::post, "/v1/jobs", submission).status, 201);
  }
  /// Cancels the job as a user does: at these nodes in turn, then repeatedly at the last one until it
  /// confirms.
  void cancel(const std::string& id, const std::vector<std::string>& nodes) {
    for (const auto& node : nodes)
      if (record_confirmation(id, world.call(node, Method::post, cancel_path(id)))) return;
    EXPECT_EQ(world.store.keys.at("s/job/" + id).value.at("st"), "withdrawn");
    retry_cancel(id, nodes.back());
    for (int i = 0; GetParam() && i < 20 && !world.cancelled.contains(id); ++i) world.engine.run_for(kSecond);
  }
  static std::string cancel_path(const std::string& id) { return "/v1/jobs/" + id + "/withdraw"; }
  /// Notes when the user was told that the job is cancelled. Returns false if the answer confirms nothing.
  bool record_confirmation(const std::string& id, const Response& answer) {
    if (answer.status != 200) return false;
    EXPECT_EQ(answer.body.at("status"), "withdrawn");
    world.cancelled.emplace(id, world.engine.now);
    return true;
  }
  void retry_cancel(const std::string& id, const std::string& node) {
    world.engine.at(kSecond, [this, id, node] {
      if (!world.is_running(node)) return retry_cancel(id, node);
      world.send(node, Method::post, cancel_path(id), {}, [this, id, node](const Response& answer) {
        if (!record_confirmation(id, answer)) retry_cancel(id, node);
      });
    });
  }
  /// The state service is down for all nodes, for longer than the time allowed for a cancellation.
  void run_outage() {
    world.state_service_down = true;
    world.engine.run_for(world.cancel_time() + 2 * world.worker_lease());
  }
  /// Ends all faults, and expects that each cancellation was confirmed and that no cancelled task ran too
  /// long or task ran twice.
  void expect_no_cancelled_task_ran(const std::vector<std::string>& cancelled = {"j-1"}) {
    world.state_service_down = false;
    world.nodes_refused_by_state_service.clear(), world.nodes_cut_off_from_peers.clear(),
        world.nodes_without_commit_responses.clear(), world.nodes_with_stalled_watches.clear();
    world.engine.run_for(30 * kSecond);
    for (const auto& id : cancelled) EXPECT_TRUE(world.cancelled.contains(id)) << id;
    EXPECT_EQ(world.ran_after_cancellation, "");
    EXPECT_EQ(world.concurrent_runs, 0) << world.first_concurrent_run;
  }
  ClusterSimulation world;
};

// The link between node a and the confirming node b is broken at that time: a message sent only once is lost.
TEST_P(CancellationDeliveryTest, LeaderRefusedAloneWithABrokenPeerLinkLearnsOfTheCancellation) {
  world.nodes_refused_by_state_service = world.nodes_cut_off_from_peers = {"a"};
  cancel("j-1", {"b"});
  world.state_service_down = true;
  world.engine.run_for(kSecond);
  world.nodes_cut_off_from_peers.clear();
  run_outage();
  expect_no_cancelled_task_ran();
}

// The commit was executed and its answer lost: a third node confirms to the user, which did not write it.
TEST_P(CancellationDeliveryTest, LeaderRefusedAloneLearnsOfTheCancellationWhenARetryAtAnotherNodeConfirms) {
  world.nodes_refused_by_state_service = {"a"};
  world.nodes_without_commit_responses = {"b"};
  cancel("j-1", {"b", "c"});
  run_outage();
  expect_no_cancelled_task_ran();
}

// The same, and the third node has just read the record; no watch has delivered it to any node yet.
TEST_P(CancellationDeliveryTest, LeaderRefusedAloneLearnsOfTheCancellationWhenTheConfirmingNodeReadItOnce) {
  world.nodes_refused_by_state_service = {"a"};
  world.nodes_without_commit_responses = world.nodes_with_stalled_watches = {"b"};
  world.nodes_with_stalled_watches.insert("c");
  cancel("j-1", {"b", "c"});
  run_outage();
  expect_no_cancelled_task_ran();
}

// The node that confirmed it crashes, and no other node knows of it: all peers report to the leader that they
// cannot reach the state service either, but one of them is a process that began after the confirmation and
// can't know of it.
TEST_P(CancellationDeliveryTest, RestartedPeerDoesNotConfirmRenewalsPastTheCancellation) {
  world.nodes_refused_by_state_service = world.nodes_cut_off_from_peers = {"a", "c"};
  cancel("j-1", {"b"});
  world.state_service_down = true;
  world.crash("b");
  world.engine.run_for(300 * kMillisecond);
  world.start("b");
  world.nodes_cut_off_from_peers.clear();
  run_outage();
  expect_no_cancelled_task_ran();
}

// The state service refuses the leader twice in a row, each time with a cancellation and an outage right
// after.
TEST_P(CancellationDeliveryTest, LeaderRefusedTwiceLearnsOfBothCancellations) {
  submit("j-2");
  world.engine.run_for(20 * kSecond);
  for (const char* id : {"j-1", "j-2"}) {
    world.nodes_refused_by_state_service = {"a"};
    world.engine.run_for(kSecond);
    world.nodes_without_commit_responses = {"c"};
    cancel(id, {"c", "b"});
    world.nodes_without_commit_responses.clear();
    run_outage();
    world.state_service_down = false, world.nodes_refused_by_state_service.clear();
    world.engine.run_for(30 * kSecond);
  }
  expect_no_cancelled_task_ran({"j-1", "j-2"});
}

// Another node has taken the share when the outage begins. The former leader has not learnt of that and must
// not go on renewing workers that only it reaches: when the outage is over, their tasks start elsewhere at
// once.
TEST_P(CancellationDeliveryTest, LeaderWhoseShareWasTakenBeforeTheOutageStopsRenewing) {
  for (Micros outage_delay = 0; outage_delay <= 4 * kSecond; outage_delay += kSecond) {
    SCOPED_TRACE(to_seconds(outage_delay));
    ClusterSimulation local_world;
    local_world.run_time = 3600 * kSecond;
    local_world.push_loss_rate = 0;
    local_world.engine.run_for(20 * kSecond);
    auto submission = submission_json("j-1", 8);
    submission["owner"] = "cards";
    EXPECT_EQ(local_world.call("b", Method::post, "/v1/jobs", submission).status, 201);
    local_world.engine.run_for(20 * kSecond);
    for (const auto& machine : local_world.machines()) local_world.only_reachable_node[machine] = "a";
    local_world.run_time = 3 * kSecond;  // leaves machines that the new owner can use at once
    EXPECT_EQ(local_world.call("b", Method::post, "/v1/jobs", submission_json("j-2", 8)).status, 201);
    local_world.engine.run_for(15 * kSecond);
    local_world.run_time = 3600 * kSecond;
    local_world.nodes_refused_by_state_service = {"a"};
    local_world.engine.run_for(6 * kSecond + outage_delay);
    EXPECT_NE(local_world.store.keys.at("s/holder/0").value.at("node"), "a");
    local_world.state_service_down = true;
    local_world.engine.run_for(local_world.cancel_time() + 2 * local_world.worker_lease());
    local_world.state_service_down = false;
    local_world.engine.run_for(60 * kSecond);
    EXPECT_EQ(local_world.concurrent_runs, 0) << local_world.first_concurrent_run;
    for (int i = 0; i < 8; ++i) EXPECT_EQ(local_world.starts["j-1/" + std::to_string(i)], 2);
  }
}

// An outage alone ends no task: all nodes go on renewing worker leases for as long as it lasts.
TEST_P(CancellationDeliveryTest, OutageForAllNodesEndsNoTask) {
  submit("j-2");
  world.engine.run_for(20 * kSecond);
  cancel("j-1", {"c"});
  run_outage();
  run_outage();
  world.state_service_down = false;
  world.engine.run_for(30 * kSecond);
  expect_no_cancelled_task_ran();
  EXPECT_EQ(world.starts.size(), 16U);
  for (const auto& [task, starts] : world.starts) EXPECT_EQ(starts, 1) << task;
}

INSTANTIATE_TEST_SUITE_P(FaultStarts, CancellationDeliveryTest, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "AfterConfirmation" : "AfterCommit"; });

}  // namespace
}  // namespace aspenwick::testing
