// Task starts, and renewals of worker leases, that are based on stale records (docs/design/rights.md).
//
// Guards against a cancelled job whose task was started 45 s after the cancellation was confirmed. The
// share's owner was suspended for 57 s. Short consecutive outages of the state service restored its lease
// each time, so no node took the share, while the machines' leases expired and another node cancelled the
// job. When it resumed, the owner renewed its lease (answered at 135.04 s), took its machines for free and
// sent the start at 135.06 s under the token from before the pause. Its watch resumed at 135.08 s from the
// revision before the pause, and it read the cancellation 80 ms after the start. The cause: the right to
// start was decided by the lease alone, without the age of the records.
#include "simulated_users.h"

namespace aspenwick::testing {
namespace {

constexpr Micros kLongTaskDuration = 3600 * kSecond;
constexpr int kTaskCount = 24;
constexpr Micros kFreezeDuration = 57 * kSecond;
constexpr Micros kCancelDelay = 11 * kSecond;  // from the start of the freeze; longer than a watch stays open

struct StaleRecordsTest : NodeTest {};

/// Makes node a miss the latest changes, so that it reads all keys again, in pages of `page_size` keys
/// that take `page_latency` each.
void force_key_reread(ClusterSimulation& world, std::size_t page_size, Micros page_latency) {
  world.nodes_with_stalled_watches = {"a"};
  EXPECT_EQ(world.call("b", net::Method::post, "/v1/jobs", submission_json("j-9", 1)).status, 201);
  world.store.page_size = page_size;
  world.store.page_latency = page_latency;
  world.store.compact_changes();
  world.nodes_with_stalled_watches.clear();
  world.engine.run_for(100 * kMillisecond);
}

struct Cluster {
  std::string owner_of_share_0() const {
    const auto row = world.store.keys.find("s/holder/0");
    return row == world.store.keys.end() ? "" : row->second.value.at("node").get<std::string>();
  }
  ClusterSimulation world;
  SimulatedUsers users{world};
};

/// Node a owns share 0. Each of the kTaskCount long tasks of job j-1 runs on a machine of its own.
struct ClusterWithRunningJob : Cluster {
  ClusterWithRunningJob() {
    world.push_loss_rate = 0;
    world.run_time = kLongTaskDuration;
    world.engine.run_for(20 * kSecond);
    auto submission = submission_json("j-1", kTaskCount);
    submission["owner"] = "cards";
    submission["vcpus"] = 8.0;
    users.submit(submission);
    world.engine.run_for(30 * kSecond);
    EXPECT_EQ(owner_of_share_0(), "a");
    EXPECT_EQ(world.starts.size(), static_cast<std::size_t>(kTaskCount));
  }
  void expect_no_start_after_cancellation() const {
    EXPECT_TRUE(world.cancelled.contains("j-1"));
    EXPECT_EQ(world.latest_start_after_cancellation, 0) << world.latest_cancelled_start;
    EXPECT_EQ(world.ran_after_cancellation, "");
    EXPECT_EQ(world.concurrent_runs, 0) << world.first_concurrent_run;
  }
};

TEST_F(StaleRecordsTest, OwnerResumedAfterAFreezeStartsNothingCancelledMeanwhile) {
  for (Micros extra_freeze = 0; extra_freeze < 1300 * kMillisecond; extra_freeze += 50 * kMillisecond) {
    SCOPED_TRACE(to_seconds(extra_freeze));
    ClusterWithRunningJob cluster;
    cluster.world.report_latency = 300 * kMillisecond;  // some arrive just after the owner resumed
    cluster.world.flap_state_service(kFreezeDuration + 5 * kSecond);
    cluster.world.freeze("a", kFreezeDuration + extra_freeze);
    cluster.world.nodes_cut_off_from_peers = {"a"};  // frames of its peers are lost
    cluster.world.engine.run_for(kCancelDelay);
    cluster.users.cancel("j-1", "b");
    cluster.world.engine.run_for(kFreezeDuration + extra_freeze - kCancelDelay);
    EXPECT_EQ(cluster.owner_of_share_0(), "a");
    cluster.world.engine.run_for(10 * kSecond);
    cluster.expect_no_start_after_cancellation();
  }
}

/// Node a owns share 0 with four machines, on which the many short tasks of job j-1 run a few at a time.
struct ClusterWithQueuedTasks : Cluster {
  ClusterWithQueuedTasks() {
    world.push_loss_rate = 0;
    world.max_machines = 4;
    world.run_time = kSecond;
    world.engine.run_for(20 * kSecond);
    submit("j-1");
    world.engine.run_for(30 * kSecond);
    EXPECT_EQ(owner_of_share_0(), "a");
    EXPECT_FALSE(world.machines_running("j-1").empty());
  }
  void submit(const std::string& id) {
    auto submission = submission_json(id, 600);
    submission["owner"] = "cards";
    users.submit(submission);
  }
};

// The same without a suspended node: the owner's lease is renewed throughout while it reads its records
// again.
TEST_F(StaleRecordsTest, OwnerRereadingAllKeysStartsNothingCancelledMeanwhile) {
  ClusterWithQueuedTasks cluster;
  cluster.world.nodes_cut_off_from_peers = {"a"};
  force_key_reread(cluster.world, 4, 2 * kSecond);
  cluster.users.cancel("j-1", "b");
  cluster.world.engine.run_for(12 * kSecond);
  EXPECT_TRUE(cluster.world.cancelled.contains("j-1"));
  EXPECT_EQ(cluster.world.latest_start_after_cancellation, 0) << cluster.world.latest_cancelled_start;
  EXPECT_EQ(cluster.owner_of_share_0(), "a");
  cluster.world.engine.run_for(60 * kSecond);
  EXPECT_EQ(cluster.world.latest_start_after_cancellation, 0) << cluster.world.latest_cancelled_start;
}

// An owner with a valid lease renews its workers' leases, but on stale records for no longer than a
// cancellation may stay unknown to it.
TEST_F(StaleRecordsTest, WorkerLeasesAreNotRenewedForLongOnStaleRecords) {
  ClusterWithRunningJob cluster;
  cluster.world.nodes_cut_off_from_peers = {"a"};
  force_key_reread(cluster.world, 1, 2900 * kMillisecond);
  cluster.users.cancel("j-1", "b");
  cluster.world.engine.run_for(8 * kSecond);
  EXPECT_TRUE(cluster.world.cancelled.contains("j-1"));
  cluster.world.engine.run_for(cluster.world.cancel_time() + cluster.world.worker_lease());
  EXPECT_EQ(cluster.owner_of_share_0(), "a");
  cluster.expect_no_start_after_cancellation();
}

// A watch that is held up by a network fault while other requests are answered delays no start: the changes
// are requested separately as well.
TEST_F(StaleRecordsTest, HeldWatchNeitherStopsStartsNorHidesACancellation) {
  ClusterWithQueuedTasks cluster;
  cluster.world.nodes_cut_off_from_peers = {"a"};
  cluster.world.nodes_with_stalled_long_polls = {"a"};
  cluster.submit("j-2");
  cluster.users.cancel("j-1", "b");
  cluster.world.engine.run_for(8 * kSecond);
  EXPECT_TRUE(cluster.world.cancelled.contains("j-1"));
  EXPECT_EQ(cluster.world.latest_start_after_cancellation, 0) << cluster.world.latest_cancelled_start;
  const auto starts_before = cluster.world.starts.size();
  cluster.world.engine.run_for(20 * kSecond);
  EXPECT_GT(cluster.world.starts.size(), starts_before + 100);  // of j-2
}

// The leader rents and moves no machines by a view that is being read again.
TEST_F(StaleRecordsTest, LeaderRentsNothingOnAStaleView) {
  ClusterWithQueuedTasks cluster;
  ASSERT_EQ(cluster.world.store.keys.at("s/leader").value.at("node"), "a");
  const auto machines = cluster.world.machines().size();
  force_key_reread(cluster.world, 1, 2 * kSecond);
  cluster.world.engine.run_for(6 * kSecond);
  cluster.world.max_machines = 100;  // the cloud has more machines now, and there are tasks for them
  cluster.world.engine.run_for(20 * kSecond);
  EXPECT_EQ(cluster.world.machines().size(), machines);
  cluster.world.store.page_latency = 0;
  cluster.world.engine.run_for(30 * kSecond);
  EXPECT_GT(cluster.world.machines().size(), machines);
}

// A leader that was suspended has machines that have not reported to it since, and no news of other shares.
// It rents nothing for tasks that seem to wait until it has heard from both.
TEST_F(StaleRecordsTest, LeaderResumedAfterAFreezeRentsNothingBeforeMachinesReport) {
  for (Micros extra_freeze = 0; extra_freeze < 1300 * kMillisecond; extra_freeze += 100 * kMillisecond) {
    SCOPED_TRACE(to_seconds(extra_freeze));
    ClusterWithRunningJob cluster;
    ASSERT_EQ(cluster.world.store.keys.at("s/leader").value.at("node"), "a");
    const auto machines = cluster.world.machines().size();
    cluster.world.flap_state_service(kFreezeDuration + 2 * kSecond);
    cluster.world.freeze("a", kFreezeDuration + extra_freeze);
    cluster.world.engine.run_for(kFreezeDuration + extra_freeze + 20 * kSecond);
    EXPECT_EQ(cluster.world.machines().size(), machines);
    EXPECT_EQ(cluster.world.starts.at("j-1/0"), 2);
  }
}

// The confirming node has not read that the share changed owner: that the former owner has acknowledged the
// cancellation is not enough.
TEST_F(StaleRecordsTest, FormerOwnersAcknowledgementDoesNotConfirmACancellation) {
  ClusterWithQueuedTasks cluster;
  cluster.world.nodes_with_stalled_watches = {"c"};
  cluster.world.crash("a");
  for (int i = 0; i < 100 && cluster.owner_of_share_0() != "b"; ++i)
    cluster.world.engine.run_for(kSecond / 10);
  ASSERT_EQ(cluster.owner_of_share_0(), "b");
  cluster.world.start("a");
  cluster.world.engine.run_for(1500 * kMillisecond);
  cluster.world.nodes_with_stalled_long_polls = cluster.world.nodes_cut_off_from_peers = {"b"};
  const auto starts_before = cluster.world.starts.size();
  cluster.users.cancel("j-1", "c");
  cluster.world.engine.run_for(2 * kSecond);
  ASSERT_GT(cluster.world.starts.size(), starts_before);  // by b, which doesn't know of the cancellation yet
  cluster.world.engine.run_for(8 * kSecond);
  EXPECT_TRUE(cluster.world.cancelled.contains("j-1"));
  EXPECT_EQ(cluster.world.latest_start_after_cancellation, 0) << cluster.world.latest_cancelled_start;
}

// If the owner is reachable, its acknowledgement costs a round trip and the watch's pause, and no retry.
TEST_F(StaleRecordsTest, CancellationIsConfirmedAtOnceWhenItsOwnerIsReachable) {
  ClusterWithQueuedTasks cluster;
  for (int i = 2; i <= 12; ++i) {
    const std::string id = "j-" + std::to_string(i);
    cluster.submit(id);
    cluster.world.engine.run_for(kSecond + i * 23 * kMillisecond);
    const Micros requested_at = cluster.world.engine.now;
    EXPECT_EQ(cluster.world.call("b", net::Method::post, "/v1/jobs/" + id + "/withdraw").status, 200);
    EXPECT_LE(cluster.world.engine.now - requested_at, 120 * kMillisecond);
  }
}

}  // namespace
}  // namespace aspenwick::testing
