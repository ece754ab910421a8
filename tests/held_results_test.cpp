// Results that only a worker and the owner of its share know: the machine is not released from the share, and
// the worker is not told to forget them, until they are written to a progress row or their job is over.
#include "share_controller_fixture.h"

namespace aspenwick::testing {
namespace {

struct HeldResultsTest : ShareControllerTest {
  std::uint64_t releases_refused_for_results() const {
    return controller.releases_refused().at(
        static_cast<std::size_t>(place::ReleaseRefusal::results_not_recorded));
  }
};

TEST_F(HeldResultsTest, MachineIsNotReleasedUntilTheRowOfItsResultIsWritten) {
  add_job("j-1", 5);
  send_report("i-1", {done_task("j-1", 0)});
  controller.drain("i-1", 1, wire::Rank::low, now);
  EXPECT_FALSE(reported_empty("i-1"));
  EXPECT_TRUE(controller.drained_machines().empty());
  EXPECT_FALSE(controller.release("i-1", now));
  EXPECT_EQ(releases_refused_for_results(), 1U);
  EXPECT_EQ(controller.held_results(now + kSecond).results, 1U);
  EXPECT_EQ(controller.held_results(now + kSecond).oldest_age, kSecond);
  // The answer to the commit is lost: whether it was executed or not, the result counts as not recorded.
  auto writes = controller.take_progress_writes(10, now);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_FALSE(controller.release("i-1", now));  // the write is in flight
  controller.on_progress_write_result(writes[0], false, 5);
  EXPECT_FALSE(controller.release("i-1", now));
  writes = controller.take_progress_writes(10, now);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].version, 5U);
  controller.on_progress_write_result(writes[0], true, 6);
  EXPECT_TRUE(reported_empty("i-1"));
  EXPECT_EQ(controller.drained_machines().size(), 1U);
  EXPECT_TRUE(controller.release("i-1", now));
}

TEST_F(HeldResultsTest, LastResultOfAJobPreventsReleaseUntilTheRecordSaysDone) {
  add_job("j-1", 1);
  EXPECT_TRUE(send_report("i-1", {done_task("j-1", 0)}).empty());
  EXPECT_EQ(controller.jobs_to_commit().size(), 1U);
  controller.set_committing("j-1", true);
  EXPECT_FALSE(controller.release("i-1", now));
  records["j-1"].status = wire::JobStatus::done;
  controller.on_job_record("j-1", records["j-1"], false, now, now);
  EXPECT_TRUE(controller.release("i-1", now));
}

// Owners of an earlier version released machines with such results: only that owner knows what is recorded.
TEST_F(HeldResultsTest, ResultOfForeignJobIsKeptUntilItsOwnerHasRecordedIt) {
  add_record("j-9", 5, "array", "blue");
  EXPECT_TRUE(send_report("i-1", {done_task("j-9", 0), done_task("j-9", 1)}).empty());
  EXPECT_FALSE(controller.release("i-1", now));
  const std::set<std::pair<std::string, std::uint32_t>> chunk{{"j-9", 0}};
  EXPECT_EQ(controller.needed_chunks_of_other_shares(), chunk);
  job::DoneSet recorded(5);
  recorded.set(1);
  controller.on_chunk_of_other_share("j-9", 0, recorded.chunk_text(0));
  EXPECT_EQ(send_report("i-1", {done_task("j-9", 0), done_task("j-9", 1)}),
            (std::set<place::TaskKey>{{"j-9", 1}}));
  EXPECT_FALSE(controller.release("i-1", now));
  EXPECT_TRUE(send_report("i-2", {done_task("j-9", 2)}).empty());
  records["j-9"].status = wire::JobStatus::cancelled;
  EXPECT_TRUE(controller.needed_chunks_of_other_shares().empty());
  EXPECT_TRUE(controller.release("i-1", now));
  EXPECT_EQ(send_report("i-2", {done_task("j-9", 2)}), (std::set<place::TaskKey>{{"j-9", 2}}));
}

TEST_F(HeldResultsTest, RowsThatPreventAReleaseAreWrittenFirst) {
  add_job("j-1", 100), add_job("j-2", 5), add_job("j-3", 5);
  std::vector<wire::TaskReport> tasks{running_task("j-1", 99)};
  for (std::uint32_t i = 0; i < 50; ++i) tasks.push_back(done_task("j-1", i));
  send_report("i-1", tasks);
  auto next_written_job = [this] {
    const auto writes = controller.take_progress_writes(1, now);
    return writes.empty() ? "" : writes[0].job;
  };
  send_report("i-2", {done_task("j-2", 0)});
  notice = 20 * kSecond;
  tasks.push_back(done_task("j-3", 0));
  send_report("i-1", tasks);
  // First results on the machine with a preemption notice, then those of an empty machine, then the rest.
  EXPECT_EQ(next_written_job(), "j-1");
  EXPECT_EQ(next_written_job(), "j-3");
  EXPECT_EQ(next_written_job(), "j-2");
  EXPECT_EQ(next_written_job(), "");
}

TEST_F(HeldResultsTest, RowOfAnEmptyMachineIsWrittenBeforeManyResultsOfABusyOne) {
  add_job("j-1", 100), add_job("j-2", 5);
  std::vector<wire::TaskReport> tasks{running_task("j-1", 99)};
  for (std::uint32_t i = 0; i < 50; ++i) tasks.push_back(done_task("j-1", i));
  send_report("i-1", tasks);
  send_report("i-2", {done_task("j-2", 0)});
  const auto first = controller.take_progress_writes(1, now);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].job, "j-2");
}

// The worker has forgotten them, so the machine holds nothing; the results that the owner knows are written
// all the same.
TEST_F(HeldResultsTest, ResultsLostWithTheSessionDoNotPreventRelease) {
  add_job("j-1", 5);
  send_report("i-1", {done_task("j-1", 0)});
  ++session, seq = 0;
  send_report("i-1", {});
  EXPECT_TRUE(controller.release("i-1", now));
  send_report("i-2", {done_task("j-1", 1)});
  now += 120 * kSecond;
  controller.tick(now, StartRefusal::records_stale);  // its lease has surely expired
  EXPECT_TRUE(controller.release("i-2", now));
  ASSERT_EQ(controller.take_progress_writes(10, now).size(), 1U);
  EXPECT_EQ(controller.task_counts("j-1")->first, 2U);
}

TEST_F(HeldResultsTest, GangMachinesAreNotReleasedUntilTheResultIsRecorded) {
  add_job("j-1", 2, "group");
  send_report("i-1", {done_task("j-1", 0)});
  send_report("i-2", {done_task("j-1", 1)});
  EXPECT_EQ(controller.held_results(now).machines, 2U);
  controller.raise_epoch(kEpoch + 1);
  EXPECT_FALSE(controller.release("i-1", now));
  EXPECT_FALSE(controller.release("i-2", now));
  records["j-1"].status = wire::JobStatus::done;
  controller.on_job_record("j-1", records["j-1"], false, now, now);
  EXPECT_TRUE(controller.release("i-1", now));
  EXPECT_TRUE(controller.release("i-2", now));
}

TEST_F(HeldResultsTest, ResultWithIndexBeyondTheJobsTasksIsForgotten) {
  add_job("j-1", 2);
  EXPECT_EQ(send_report("i-1", {done_task("j-1", 2)}), (std::set<place::TaskKey>{{"j-1", 2}}));
  EXPECT_TRUE(controller.release("i-1", now));
}

TEST_F(HeldResultsTest, WaitOfAnEmptyMachineForItsResultsIsMeasured) {
  add_job("j-1", 5);
  send_report("i-1", {done_task("j-1", 0)});
  controller.tick(now, StartRefusal::records_stale);
  controller.on_progress_write_result(controller.take_progress_writes(1, now).at(0), true, 5);
  now += 3 * kSecond;
  controller.tick(now, StartRefusal::records_stale);
  EXPECT_EQ(controller.take_result_waits(), std::vector<Micros>{3 * kSecond});
}

}  // namespace
}  // namespace aspenwick::testing
