// Starts, and renewals of workers' leases, that rest on records read too long ago (docs/design/rights.md).
//
// What users saw: a job was confirmed as cancelled, and 45 s later a task of it was started again. The order
// of events: the owner of its share stood still for 57 s. Short outages of the state service in a row
// restored its lease each time, so that nobody took the share; the machines' leases ran out. Another node
// cancelled the job. Awake again, the owner renewed its lease, took its machines for free and started the
// task. It read the cancellation 80 ms later. The evidence: the owner's lease was answered at 135.04 s and
// its watch, as of before the pause, was followed anew at 135.08 s; the start left at 135.06 s under the
// token from before the pause. The cause: the right to start was judged by the lease alone, and nothing asked
// how old the records were.
#include "simulated_users.h"

namespace aspenwick::testing {
namespace {

constexpr Micros kLongRun = 3600 * kSecond;
constexpr int kTasks = 24;
constexpr Micros kPause = 57 * kSecond;
constexpr Micros kCancelledAfter = 11 * kSecond;  // of the pause; longer than a watch is open

struct StaleRecordsTest : NodeTest {};

/// Node a has lost the last changes and reads all keys again, in pages of a few keys that take a while each.
void read_all_keys_again(ClusterSimulation& world, std::size_t page_size, Micros page_latency) {
  world.nodes_with_stalled_watches = {"a"};
  EXPECT_EQ(world.call("b", net::Method::post, "/v1/jobs", job("j-9", 1)).status, 201);
  world.store.page_size = page_size;
  world.store.page_latency = page_latency;
  world.store.compact_changes();
  world.nodes_with_stalled_watches.clear();
  world.engine.run_for(100 * kMillisecond);
}

struct World {
  std::string owner_of_share_0() const {
    const auto row = world.store.keys.find("s/holder/0");
    return row == world.store.keys.end() ? "" : row->second.value.at("node").get<std::string>();
  }
  ClusterSimulation world;
  SimulatedUsers users{world};
};

/// The long tasks of job j-1 run on as many machines of share 0, which node a owns.
struct RunningJob : World {
  RunningJob() {
    world.push_loss_rate = 0;
    world.run_time = kLongRun;
    world.engine.run_for(20 * kSecond);
    auto submission = job("j-1", kTasks);
    submission["owner"] = "cards";
    submission["vcpus"] = 8.0;
    users.submit(submission);
    world.engine.run_for(30 * kSecond);
    EXPECT_EQ(owner_of_share_0(), "a");
    EXPECT_EQ(world.starts.size(), static_cast<std::size_t>(kTasks));
  }
  void expect_nothing_started_after_the_cancellation() const {
    EXPECT_TRUE(world.cancelled.contains("j-1"));
    EXPECT_EQ(world.latest_start_after_cancellation, 0) << world.latest_cancelled_start;
    EXPECT_EQ(world.ran_after_cancellation, "");
    EXPECT_EQ(world.concurrent_runs, 0) << world.first_concurrent_run;
  }
};

TEST_F(StaleRecordsTest, AnOwnerThatStoodStillStartsNothingThatWasCancelledMeanwhile) {
  for (Micros longer = 0; longer < 1300 * kMillisecond; longer += 50 * kMillisecond) {
    SCOPED_TRACE(to_seconds(longer));
    RunningJob r;
    r.world.report_latency = 300 * kMillisecond;  // some reach the owner just after it is awake
    r.world.flap_state_service(kPause + 5 * kSecond);
    r.world.freeze("a", kPause + longer);
    r.world.nodes_cut_off_from_peers = {"a"};  // what its peers tell it is lost
    r.world.engine.run_for(kCancelledAfter);
    r.users.cancel("j-1", "b");
    r.world.engine.run_for(kPause + longer - kCancelledAfter);
    EXPECT_EQ(r.owner_of_share_0(), "a");
    r.world.engine.run_for(10 * kSecond);
    r.expect_nothing_started_after_the_cancellation();
  }
}

/// Node a owns share 0, on whose four machines the many short tasks of job j-1 take turns.
struct WaitingTasks : World {
  WaitingTasks() {
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
    auto submission = job(id, 600);
    submission["owner"] = "cards";
    users.submit(submission);
  }
};

// The same with nobody standing still: the owner's lease is renewed all the while, its records are being read
// again.
TEST_F(StaleRecordsTest, AnOwnerThatReadsAllKeysAgainStartsNothingThatWasCancelledMeanwhile) {
  WaitingTasks w;
  w.world.nodes_cut_off_from_peers = {"a"};
  read_all_keys_again(w.world, 4, 2 * kSecond);
  w.users.cancel("j-1", "b");
  w.world.engine.run_for(12 * kSecond);
  EXPECT_TRUE(w.world.cancelled.contains("j-1"));
  EXPECT_EQ(w.world.latest_start_after_cancellation, 0) << w.world.latest_cancelled_start;
  EXPECT_EQ(w.owner_of_share_0(), "a");
  w.world.engine.run_for(60 * kSecond);
  EXPECT_EQ(w.world.latest_start_after_cancellation, 0) << w.world.latest_cancelled_start;
}

// An owner whose lease is valid renews its workers' leases too: not for longer than a cancellation may stay
// unknown.
TEST_F(StaleRecordsTest, WorkersAreNotRenewedForLongOnOldRecords) {
  RunningJob r;
  r.world.nodes_cut_off_from_peers = {"a"};
  read_all_keys_again(r.world, 1, 2900 * kMillisecond);
  r.users.cancel("j-1", "b");
  r.world.engine.run_for(8 * kSecond);
  EXPECT_TRUE(r.world.cancelled.contains("j-1"));
  r.world.engine.run_for(r.world.cancel_time() + r.world.worker_lease());
  EXPECT_EQ(r.owner_of_share_0(), "a");
  r.expect_nothing_started_after_the_cancellation();
}

// A watch that a cut holds, while other requests are answered, costs no start: the changes are asked for
// beside it.
TEST_F(StaleRecordsTest, AWatchThatIsHeldStopsNoStartsAndHidesNoCancellation) {
  WaitingTasks w;
  w.world.nodes_cut_off_from_peers = {"a"};
  w.world.nodes_with_stalled_long_polls = {"a"};
  w.submit("j-2");
  w.users.cancel("j-1", "b");
  w.world.engine.run_for(8 * kSecond);
  EXPECT_TRUE(w.world.cancelled.contains("j-1"));
  EXPECT_EQ(w.world.latest_start_after_cancellation, 0) << w.world.latest_cancelled_start;
  const auto started = w.world.starts.size();
  w.world.engine.run_for(20 * kSecond);
  EXPECT_GT(w.world.starts.size(), started + 100);  // of j-2
}

// The leader rents and moves nothing by a view that is being read again.
TEST_F(StaleRecordsTest, ALeaderRentsNothingOnAnOldView) {
  WaitingTasks w;
  ASSERT_EQ(w.world.store.keys.at("s/leader").value.at("node"), "a");
  const auto machines = w.world.machines().size();
  read_all_keys_again(w.world, 1, 2 * kSecond);
  w.world.engine.run_for(6 * kSecond);
  w.world.max_machines = 100;  // the cloud has more now, and there is work for them
  w.world.engine.run_for(20 * kSecond);
  EXPECT_EQ(w.world.machines().size(), machines);
  w.world.store.page_latency = 0;
  w.world.engine.run_for(30 * kSecond);
  EXPECT_GT(w.world.machines().size(), machines);
}

// A leader that stood still sees machines that have not reported to it since, and no other share: it rents
// nothing for the tasks that it takes for waiting before it has heard of both.
TEST_F(StaleRecordsTest, ALeaderThatStoodStillRentsNothingBeforeItHasHeardOfItsMachines) {
  for (Micros longer = 0; longer < 1300 * kMillisecond; longer += 100 * kMillisecond) {
    SCOPED_TRACE(to_seconds(longer));
    RunningJob r;
    ASSERT_EQ(r.world.store.keys.at("s/leader").value.at("node"), "a");
    const auto machines = r.world.machines().size();
    r.world.flap_state_service(kPause + 2 * kSecond);
    r.world.freeze("a", kPause + longer);
    r.world.engine.run_for(kPause + longer + 20 * kSecond);
    EXPECT_EQ(r.world.machines().size(), machines);
    EXPECT_EQ(r.world.starts.at("j-1/0"), 2);
  }
}

// The node that confirms has not read that the share changed its owner: the former one's word is not enough.
TEST_F(StaleRecordsTest, AFormerOwnersWordConfirmsNoCancellation) {
  WaitingTasks w;
  w.world.nodes_with_stalled_watches = {"c"};
  w.world.crash("a");
  for (int i = 0; i < 100 && w.owner_of_share_0() != "b"; ++i) w.world.engine.run_for(kSecond / 10);
  ASSERT_EQ(w.owner_of_share_0(), "b");
  w.world.start("a");
  w.world.engine.run_for(1500 * kMillisecond);
  w.world.nodes_with_stalled_long_polls = w.world.nodes_cut_off_from_peers = {"b"};
  const auto started = w.world.starts.size();
  w.users.cancel("j-1", "c");
  w.world.engine.run_for(2 * kSecond);
  ASSERT_GT(w.world.starts.size(), started);  // by b, which doesn't know yet
  w.world.engine.run_for(8 * kSecond);
  EXPECT_TRUE(w.world.cancelled.contains("j-1"));
  EXPECT_EQ(w.world.latest_start_after_cancellation, 0) << w.world.latest_cancelled_start;
}

// Where the owner can be reached, its word costs a round trip and the watch's pause, and no retry.
TEST_F(StaleRecordsTest, ACancellationIsConfirmedAtOnceWhereItsOwnerHears) {
  WaitingTasks w;
  for (int i = 2; i <= 12; ++i) {
    const std::string id = "j-" + std::to_string(i);
    w.submit(id);
    w.world.engine.run_for(kSecond + i * 23 * kMillisecond);
    const Micros asked = w.world.engine.now;
    EXPECT_EQ(w.world.call("b", net::Method::post, "/v1/jobs/" + id + "/withdraw").status, 200);
    EXPECT_LE(w.world.engine.now - asked, 120 * kMillisecond);
  }
}

}  // namespace
}  // namespace aspenwick::testing
