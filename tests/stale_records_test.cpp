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
#include "users.h"

namespace aspenwick::testing {
namespace {

constexpr Micros kLongRun = 3600 * kSecond;
constexpr int kTasks = 24;
constexpr Micros kPause = 57 * kSecond;
constexpr Micros kCancelledAfter = 11 * kSecond;  // of the pause; longer than a watch is open

struct StaleRecordsTest : NodeTest {};

/// The long tasks of job j-1 run on as many machines of share 0, which node a owns.
struct RunningJob {
  RunningJob() {
    world.push_lost = 0;
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
  std::string owner_of_share_0() const {
    const auto row = world.store.keys.find("s/holder/0");
    return row == world.store.keys.end() ? "" : row->second.value.at("node").get<std::string>();
  }
  void expect_nothing_started_after_the_cancellation() const {
    EXPECT_TRUE(world.cancelled.contains("j-1"));
    EXPECT_EQ(world.start_after_cancellation, 0) << world.started_cancelled;
    EXPECT_EQ(world.ran_cancelled, "");
    EXPECT_EQ(world.ran_twice, 0) << world.first_twice;
  }
  SmallWorld world;
  Users users{world};
};

TEST_F(StaleRecordsTest, AnOwnerThatStoodStillStartsNothingThatWasCancelledMeanwhile) {
  for (Micros longer = 0; longer < 1300 * kMillisecond; longer += 50 * kMillisecond) {
    SCOPED_TRACE(to_seconds(longer));
    RunningJob r;
    r.world.report_takes = 300 * kMillisecond;  // some reach the owner just after it is awake
    r.world.interrupt_state_service(kPause + 5 * kSecond);
    r.world.freeze("a", kPause + longer);
    r.world.cut_off = {"a"};  // what its peers tell it is lost
    r.world.engine.run_for(kCancelledAfter);
    r.users.cancel("j-1", "b");
    r.world.engine.run_for(kPause + longer - kCancelledAfter);
    EXPECT_EQ(r.owner_of_share_0(), "a");
    r.world.engine.run_for(10 * kSecond);
    r.expect_nothing_started_after_the_cancellation();
  }
}

}  // namespace
}  // namespace aspenwick::testing
