// What a machine reports of a job whose record was not read yet stays in the machine's account: it holds the
// machine and the task until the records say what it is.
#include "owner_fixture.h"

namespace aspenwick::testing {
namespace {

struct AttributionTest : OwnerTest {
  using Lines = std::vector<std::string>;
  void place() { owner.tick(now, StartRefusal::none); }
  bool told_usable(const std::string& machine) const {
    for (const auto& state : owner.machine_states(now))
      if (state.id == machine) return state.usable;
    return false;
  }
};

TEST_F(AttributionTest, AnAttemptOfAnUnknownJobHoldsItsMachine) {
  report("i-2", {});
  report("i-1", {running("j-1", 0)});
  EXPECT_FALSE(told_empty("i-1"));
  EXPECT_FALSE(told_usable("i-1"));
  EXPECT_FALSE(owner.release("i-1", now));
  EXPECT_EQ(owner.attribution_counts().unattributed_attempts, 1U);
  record("j-2", 8);
  owner.on_job_record("j-2", records["j-2"], true, now,
                      now);  // accepted since: it may start where there is room
  place();
  EXPECT_EQ(owner.describe_attempts(), (Lines{"i-1 j-1/0 running", "i-2 j-2/0 assigned", "i-2 j-2/1 assigned",
                                              "i-2 j-2/2 assigned", "i-2 j-2/3 assigned"}));
  accept("j-1", 1);
  EXPECT_EQ(owner.task_counts("j-1")->second, 1U);
  EXPECT_TRUE(told_usable("i-1"));
  EXPECT_EQ(owner.attribution_counts().unattributed_attempts, 0U);
  EXPECT_EQ(owner.attribution_counts().attributed_attempts, 1U);
}

TEST_F(AttributionTest, ADoneTaskOfAnUnknownJobIsNotFreeOnceItsRecordComes) {
  report("i-1", {done("j-1", 0)});
  report("i-2", {});
  EXPECT_EQ(owner.attribution_counts().unattributed_results, 1U);
  EXPECT_FALSE(owner.release("i-1", now));
  accept("j-1", 2);
  place();
  EXPECT_EQ(owner.task_counts("j-1")->first, 1U);
  EXPECT_EQ(owner.describe_attempts().size(), 1U);  // task 1
  EXPECT_EQ(owner.attribution_counts().attributed_results, 1U);
  EXPECT_EQ(owner.take_progress_writes(10, now).size(), 1U);  // and it is recorded
}

// A successor reads the rows of its share while the record of a job is still on its way to it.
// What happened: the row was dropped, tasks that are done were started again, and the row that recorded them
// was written anew without them. Why: load_progress_row took a job that it didn't know for one that there
// isn't.
TEST_F(AttributionTest, RowsThatAreReadBeforeTheirJobIsKnownCount) {
  job::DoneSet recorded(3);
  recorded.set(0), recorded.set(1);
  owner.load_progress_row("j-1", 0, recorded.chunk_text(0), 7);
  report("i-1", {});
  report("i-2", {});
  accept("j-1", 3);
  place();
  EXPECT_EQ(owner.task_counts("j-1")->first, 2U);
  EXPECT_EQ(owner.describe_attempts().size(), 1U);  // task 2
  report("i-1", {done("j-1", 2)});
  EXPECT_EQ(owner.jobs_to_commit().size(), 1U);
  EXPECT_EQ(owner.progress_row_names("j-1"), (std::vector<std::string>{"j-1/0"}));
}

// The answers to pushes are reports too.
TEST_F(AttributionTest, WhatAnswersToPushesTellIsKeptAsWell) {
  report("i-1", {});
  report("i-2", {});
  wire::WorkerReport answer;
  answer.machine = "i-1", answer.address = "127.0.0.1:9", answer.type = "cpu8", answer.zone = "z1";
  answer.session = 1, answer.seq = ++seq, answer.token = kEpoch << place::kEpochShift;
  answer.tasks = {running("j-1", 0), done("j-1", 1)};
  owner.on_push_result("i-1", 409, &answer, now);
  accept("j-1", 2);
  place();
  EXPECT_EQ(owner.describe_attempts(), Lines{"i-1 j-1/0 running"});
}

// A job that waits for others has a record and is told to the owner only when it is ready.
TEST_F(AttributionTest, AJobThatIsNotReadyByOurRecordsIsNotKnownYet) {
  record("j-1", 2);
  EXPECT_TRUE(report("i-1", {running("j-1", 0), done("j-1", 1)}).empty());
  report("i-2", {});
  place();
  EXPECT_EQ(owner.describe_attempts(), Lines{"i-1 j-1/0 running"});
  tell("j-1");
  place();
  EXPECT_EQ(owner.describe_attempts(), Lines{"i-1 j-1/0 running"});
  EXPECT_EQ(owner.task_counts("j-1")->first, 1U);
}

TEST_F(AttributionTest, ItsTeamsLimitHoldsWhileAnAttemptIsNotAttributed) {
  report("i-1", {running("j-1", 0)});
  report("i-2", {});
  record("j-2", 4, "array", "tight");
  tell("j-2");
  place();
  EXPECT_FALSE(owner.all_accounted_for());
  EXPECT_EQ(owner.describe_attempts(), Lines{"i-1 j-1/0 running"});
  record("j-1", 1, "array", "tight");
  tell("j-1");
  place();
  EXPECT_TRUE(owner.all_accounted_for());
  EXPECT_EQ(owner.describe_attempts().size(), 4U);  // of 2 CPUs each, 8 in all
}

// A job accepted through another node a moment before has a record that we may not have read.
TEST_F(AttributionTest, OnlyRecordsReadAfterTheReportTellThatThereIsNoSuchJob) {
  report("i-2", {});
  EXPECT_TRUE(report("i-1", {running("j-1", 0), done("j-2", 0)}).empty());
  const Micros reported = now;
  owner.set_records_as_of(reported);
  now += kSecond;
  place();
  EXPECT_EQ(owner.describe_attempts(), Lines{"i-1 j-1/0 running"});
  EXPECT_TRUE(report("i-1", {running("j-1", 0), done("j-2", 0)}).empty());
  EXPECT_FALSE(owner.all_accounted_for());
  owner.set_records_as_of(reported + 1);
  place();
  EXPECT_EQ(owner.describe_attempts(), Lines{"i-1 j-1/0 halting"});
  EXPECT_TRUE(owner.all_accounted_for());
  EXPECT_EQ(report("i-1", {running("j-1", 0), done("j-2", 0)}), (std::set<place::TaskKey>{{"j-2", 0}}));
  EXPECT_EQ(owner.attribution_counts().dropped_attempts, 1U);
  EXPECT_EQ(owner.attribution_counts().dropped_results, 1U);
}

// Not whole yet, or a row that can't be read: there is such a job all the same.
TEST_F(AttributionTest, ARecordWithoutItsSpecificationIsNoKnowledgeThatTheJobIsOver) {
  records["j-1"] = {};
  report("i-2", {});
  EXPECT_TRUE(report("i-1", {running("j-1", 0), done("j-1", 1)}).empty());
  owner.set_records_as_of(now + 1);
  place();
  EXPECT_EQ(owner.describe_attempts(), Lines{"i-1 j-1/0 running"});
  EXPECT_TRUE(report("i-1", {running("j-1", 0), done("j-1", 1)}).empty());
  EXPECT_TRUE(owner.all_accounted_for());  // it holds its machine, not the share
  EXPECT_FALSE(owner.release("i-1", now));
}

TEST_F(AttributionTest, WhatTurnsOutToBeOverOrAnotherSharesIsStopped) {
  report("i-2", {running("j-2", 0)});
  report("i-1", {running("j-1", 0)});
  record("j-1", 1, "array", "blue");
  record("j-2", 1);
  records["j-2"].status = wire::JobStatus::cancelled;
  place();
  EXPECT_EQ(owner.describe_attempts(), (Lines{"i-1 j-1/0 halting", "i-2 j-2/0 halting"}));
  EXPECT_EQ(owner.attribution_counts().unattributed_attempts, 0U);
}

TEST_F(AttributionTest, ATaskThatTheJobDoesNotHaveIsStopped) {
  report("i-1", {running("j-1", 5), done("j-1", 6)});
  report("i-2", {});
  accept("j-1", 1);
  place();
  EXPECT_EQ(owner.task_counts("j-1")->first, 0U);
  EXPECT_EQ(owner.describe_attempts(), (Lines{"i-1 j-1/0 assigned", "i-1 j-1/5 halting"}));
}

TEST_F(AttributionTest, TheAccountHoldsNoMoreThanTheNewestReportLists) {
  report("i-1", {running("j-1", 0), done("j-1", 1), running("j-2", 99'999)});
  EXPECT_EQ(owner.attribution_counts().unattributed_attempts, 2U);
  report("i-1", {running("j-3", 0)});
  EXPECT_EQ(owner.attribution_counts().unattributed_attempts, 1U);
  EXPECT_EQ(owner.attribution_counts().unattributed_results, 0U);
  ++session, seq = 0;
  report("i-1", {});
  EXPECT_EQ(owner.attribution_counts().unattributed_attempts, 0U);
  EXPECT_TRUE(owner.release("i-1", now));
}

}  // namespace
}  // namespace aspenwick::testing
