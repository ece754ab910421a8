// Results that only a worker and the owner of its share know: the machine stays in the share, and the worker
// is not told to forget, until a row holds them or their job is over.
#include "owner_fixture.h"

namespace aspenwick::testing {
namespace {

struct HeldResultsTest : OwnerTest {
  std::uint64_t refused_for_results() const {
    return owner.releases_refused().at(static_cast<std::size_t>(place::ReleaseRefusal::results_not_recorded));
  }
};

TEST_F(HeldResultsTest, AMachineStaysUntilTheRowOfItsResultIsWritten) {
  accept("j-1", 5);
  report("i-1", {done("j-1", 0)});
  owner.drain("i-1", 1, wire::Rank::low, now);
  EXPECT_FALSE(told_empty("i-1"));
  EXPECT_TRUE(owner.drained_machines().empty());
  EXPECT_FALSE(owner.release("i-1", now));
  EXPECT_EQ(refused_for_results(), 1U);
  EXPECT_EQ(owner.held_results(now + kSecond).results, 1U);
  EXPECT_EQ(owner.held_results(now + kSecond).oldest_age, kSecond);
  // The answer of the commit is lost: executed or not, nothing is recorded as far as we know.
  auto writes = owner.take_progress_writes(10, now);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_FALSE(owner.release("i-1", now));  // on its way
  owner.on_progress_write_result(writes[0], false, 5);
  EXPECT_FALSE(owner.release("i-1", now));
  writes = owner.take_progress_writes(10, now);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].version, 5U);
  owner.on_progress_write_result(writes[0], true, 6);
  EXPECT_TRUE(told_empty("i-1"));
  EXPECT_EQ(owner.drained_machines().size(), 1U);
  EXPECT_TRUE(owner.release("i-1", now));
}

TEST_F(HeldResultsTest, TheLastResultOfAJobHoldsItsMachineUntilTheJobsRecordSaysDone) {
  accept("j-1", 1);
  EXPECT_TRUE(report("i-1", {done("j-1", 0)}).empty());
  EXPECT_EQ(owner.jobs_to_commit().size(), 1U);
  owner.set_committing("j-1", true);
  EXPECT_FALSE(owner.release("i-1", now));
  records["j-1"].status = wire::JobStatus::done;
  owner.on_job_record("j-1", records["j-1"], false, now, now);
  EXPECT_TRUE(owner.release("i-1", now));
}

// As machines that an owner of an earlier version gave away: that owner alone knows what is recorded.
TEST_F(HeldResultsTest, AResultOfAnotherSharesJobIsNotForgottenBeforeItsOwnerHasRecordedIt) {
  record("j-9", 5, "array", "blue");
  EXPECT_TRUE(report("i-1", {done("j-9", 0), done("j-9", 1)}).empty());
  EXPECT_FALSE(owner.release("i-1", now));
  const std::set<std::pair<std::string, std::uint32_t>> chunk{{"j-9", 0}};
  EXPECT_EQ(owner.needed_chunks_of_other_shares(), chunk);
  job::DoneSet recorded(5);
  recorded.set(1);
  owner.on_chunk_of_other_share("j-9", 0, recorded.chunk_text(0));
  EXPECT_EQ(report("i-1", {done("j-9", 0), done("j-9", 1)}), (std::set<place::TaskKey>{{"j-9", 1}}));
  EXPECT_FALSE(owner.release("i-1", now));
  EXPECT_TRUE(report("i-2", {done("j-9", 2)}).empty());
  records["j-9"].status = wire::JobStatus::cancelled;
  EXPECT_TRUE(owner.needed_chunks_of_other_shares().empty());
  EXPECT_TRUE(owner.release("i-1", now));
  EXPECT_EQ(report("i-2", {done("j-9", 2)}), (std::set<place::TaskKey>{{"j-9", 2}}));
}

TEST_F(HeldResultsTest, RowsThatHoldUpAMachineAreWrittenFirst) {
  accept("j-1", 100), accept("j-2", 5), accept("j-3", 5);
  std::vector<wire::TaskReport> tasks{running("j-1", 99)};
  for (std::uint32_t i = 0; i < 50; ++i) tasks.push_back(done("j-1", i));
  report("i-1", tasks);
  auto next_row = [this] {
    const auto writes = owner.take_progress_writes(1, now);
    return writes.empty() ? "" : writes[0].job;
  };
  report("i-2", {done("j-2", 0)});
  notice = 20 * kSecond;
  tasks.push_back(done("j-3", 0));
  report("i-1", tasks);
  // On the machine that is about to be taken; those of an empty one; the rest.
  EXPECT_EQ(next_row(), "j-1");
  EXPECT_EQ(next_row(), "j-3");
  EXPECT_EQ(next_row(), "j-2");
  EXPECT_EQ(next_row(), "");
}

TEST_F(HeldResultsTest, AnEmptyMachinesRowGoesBeforeManyResultsOfABusyOne) {
  accept("j-1", 100), accept("j-2", 5);
  std::vector<wire::TaskReport> tasks{running("j-1", 99)};
  for (std::uint32_t i = 0; i < 50; ++i) tasks.push_back(done("j-1", i));
  report("i-1", tasks);
  report("i-2", {done("j-2", 0)});
  const auto first = owner.take_progress_writes(1, now);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].job, "j-2");
}

// The worker has forgotten them, so the machine holds nothing; what we know of them is written all the same.
TEST_F(HeldResultsTest, ResultsThatWentWithTheWorkersSessionHoldNoMachine) {
  accept("j-1", 5);
  report("i-1", {done("j-1", 0)});
  ++session, seq = 0;
  report("i-1", {});
  EXPECT_TRUE(owner.release("i-1", now));
  report("i-2", {done("j-1", 1)});
  now += 120 * kSecond;
  owner.tick(now, StartRefusal::records_stale);  // its lease has surely expired
  EXPECT_TRUE(owner.release("i-2", now));
  ASSERT_EQ(owner.take_progress_writes(10, now).size(), 1U);
  EXPECT_EQ(owner.task_counts("j-1")->first, 2U);
}

TEST_F(HeldResultsTest, EachMachineOfAGangStaysUntilItsResultsAreRecorded) {
  accept("j-1", 2, "group");
  report("i-1", {done("j-1", 0)});
  report("i-2", {done("j-1", 1)});
  EXPECT_EQ(owner.held_results(now).machines, 2U);
  owner.raise_epoch(kEpoch + 1);
  EXPECT_FALSE(owner.release("i-1", now));
  EXPECT_FALSE(owner.release("i-2", now));
  records["j-1"].status = wire::JobStatus::done;
  owner.on_job_record("j-1", records["j-1"], false, now, now);
  EXPECT_TRUE(owner.release("i-1", now));
  EXPECT_TRUE(owner.release("i-2", now));
}

TEST_F(HeldResultsTest, AResultOfATaskThatTheJobDoesNotHaveIsForgotten) {
  accept("j-1", 2);
  EXPECT_EQ(report("i-1", {done("j-1", 2)}), (std::set<place::TaskKey>{{"j-1", 2}}));
  EXPECT_TRUE(owner.release("i-1", now));
}

TEST_F(HeldResultsTest, HowLongAnEmptyMachineWaitedIsMeasured) {
  accept("j-1", 5);
  report("i-1", {done("j-1", 0)});
  owner.tick(now, StartRefusal::records_stale);
  owner.on_progress_write_result(owner.take_progress_writes(1, now).at(0), true, 5);
  now += 3 * kSecond;
  owner.tick(now, StartRefusal::records_stale);
  EXPECT_EQ(owner.take_result_waits(), std::vector<Micros>{3 * kSecond});
}

}  // namespace
}  // namespace aspenwick::testing
