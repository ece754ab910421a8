// Attribution of reported tasks to jobs: tasks that a machine reports of a job whose record is not read yet
// stay recorded at the machine. The machine is not released and the task is not placed elsewhere until the
// records show what the task is.
#include "share_controller_fixture.h"

namespace aspenwick::testing {
namespace {

struct AttributionTest : ShareControllerTest {
  using AttemptLines = std::vector<std::string>;
  void run_placement() { controller.tick(now, StartRefusal::none); }
  bool reported_usable(const std::string& machine) const {
    for (const auto& state : controller.machine_states(now))
      if (state.id == machine) return state.usable;
    return false;
  }
};

TEST_F(AttributionTest, AttemptOfUnknownJobPreventsReleaseUntilItsRecordArrives) {
  send_report("i-2", {});
  send_report("i-1", {running_task("j-1", 0)});
  EXPECT_FALSE(reported_empty("i-1"));
  EXPECT_FALSE(reported_usable("i-1"));
  EXPECT_FALSE(controller.release("i-1", now));
  EXPECT_EQ(controller.attribution_counts().unattributed_attempts, 1U);
  add_record("j-2", 8);
  controller.on_job_record("j-2", records["j-2"], true, now,
                           now);  // accepted since the takeover: it may start where there is room
  run_placement();
  EXPECT_EQ(controller.describe_attempts(),
            (AttemptLines{"i-1 j-1/0 running", "i-2 j-2/0 assigned", "i-2 j-2/1 assigned",
                          "i-2 j-2/2 assigned", "i-2 j-2/3 assigned"}));
  add_job("j-1", 1);
  EXPECT_EQ(controller.task_counts("j-1")->second, 1U);
  EXPECT_TRUE(reported_usable("i-1"));
  EXPECT_EQ(controller.attribution_counts().unattributed_attempts, 0U);
  EXPECT_EQ(controller.attribution_counts().attributed_attempts, 1U);
}

TEST_F(AttributionTest, DoneTaskOfUnknownJobIsNotPlacedAgainOnceItsRecordArrives) {
  send_report("i-1", {done_task("j-1", 0)});
  send_report("i-2", {});
  EXPECT_EQ(controller.attribution_counts().unattributed_results, 1U);
  EXPECT_FALSE(controller.release("i-1", now));
  add_job("j-1", 2);
  run_placement();
  EXPECT_EQ(controller.task_counts("j-1")->first, 1U);
  EXPECT_EQ(controller.describe_attempts().size(), 1U);  // task 1
  EXPECT_EQ(controller.attribution_counts().attributed_results, 1U);
  EXPECT_EQ(controller.take_progress_writes(10, now).size(), 1U);  // the result is also written
}

// A new owner reads the progress rows of its share before the record of a job has arrived. load_progress_row
// took an unknown job for one that does not exist and dropped the row: tasks that were done were started
// again, and the row was written again without them.
TEST_F(AttributionTest, ProgressRowsLoadedBeforeTheJobRecordAreKept) {
  job::DoneSet recorded(3);
  recorded.set(0), recorded.set(1);
  controller.load_progress_row("j-1", 0, recorded.chunk_text(0), 7);
  send_report("i-1", {});
  send_report("i-2", {});
  add_job("j-1", 3);
  run_placement();
  EXPECT_EQ(controller.task_counts("j-1")->first, 2U);
  EXPECT_EQ(controller.describe_attempts().size(), 1U);  // task 2
  send_report("i-1", {done_task("j-1", 2)});
  EXPECT_EQ(controller.jobs_to_commit().size(), 1U);
  EXPECT_EQ(controller.progress_row_names("j-1"), (std::vector<std::string>{"j-1/0"}));
}

// A worker's answer to a push contains a report and is handled like one.
TEST_F(AttributionTest, TasksInPushAnswersAreAttributedOnceTheRecordArrives) {
  send_report("i-1", {});
  send_report("i-2", {});
  wire::WorkerReport answer;
  answer.machine = "i-1", answer.address = "127.0.0.1:9", answer.type = "cpu8", answer.zone = "z1";
  answer.session = 1, answer.seq = ++seq, answer.token = kEpoch << place::kEpochShift;
  answer.tasks = {running_task("j-1", 0), done_task("j-1", 1)};
  controller.on_push_result("i-1", 409, &answer, now);
  add_job("j-1", 2);
  run_placement();
  EXPECT_EQ(controller.describe_attempts(), AttemptLines{"i-1 j-1/0 running"});
}

// A job that waits for its dependencies has a record, which reaches the controller only when the job is
// ready.
TEST_F(AttributionTest, TasksOfAJobThatIsNotReadyStayUnattributed) {
  add_record("j-1", 2);
  EXPECT_TRUE(send_report("i-1", {running_task("j-1", 0), done_task("j-1", 1)}).empty());
  send_report("i-2", {});
  run_placement();
  EXPECT_EQ(controller.describe_attempts(), AttemptLines{"i-1 j-1/0 running"});
  deliver_record("j-1");
  run_placement();
  EXPECT_EQ(controller.describe_attempts(), AttemptLines{"i-1 j-1/0 running"});
  EXPECT_EQ(controller.task_counts("j-1")->first, 1U);
}

TEST_F(AttributionTest, TeamLimitHoldsWhileAnAttemptIsNotAttributed) {
  send_report("i-1", {running_task("j-1", 0)});
  send_report("i-2", {});
  add_record("j-2", 4, "array", "tight");
  deliver_record("j-2");
  run_placement();
  EXPECT_FALSE(controller.all_accounted_for());
  EXPECT_EQ(controller.describe_attempts(), AttemptLines{"i-1 j-1/0 running"});
  add_record("j-1", 1, "array", "tight");
  deliver_record("j-1");
  run_placement();
  EXPECT_TRUE(controller.all_accounted_for());
  EXPECT_EQ(controller.describe_attempts().size(), 4U);  // of 2 CPUs each, 8 in all
}

// The record of a job that another node has just accepted may not be read yet.
TEST_F(AttributionTest, JobIsUnknownForCertainOnlyByRecordsReadAfterTheReport) {
  send_report("i-2", {});
  EXPECT_TRUE(send_report("i-1", {running_task("j-1", 0), done_task("j-2", 0)}).empty());
  const Micros reported = now;
  controller.set_records_as_of(reported);
  now += kSecond;
  run_placement();
  EXPECT_EQ(controller.describe_attempts(), AttemptLines{"i-1 j-1/0 running"});
  EXPECT_TRUE(send_report("i-1", {running_task("j-1", 0), done_task("j-2", 0)}).empty());
  EXPECT_FALSE(controller.all_accounted_for());
  controller.set_records_as_of(reported + 1);
  run_placement();
  EXPECT_EQ(controller.describe_attempts(), AttemptLines{"i-1 j-1/0 halting"});
  EXPECT_TRUE(controller.all_accounted_for());
  EXPECT_EQ(send_report("i-1", {running_task("j-1", 0), done_task("j-2", 0)}),
            (std::set<place::TaskKey>{{"j-2", 0}}));
  EXPECT_EQ(controller.attribution_counts().dropped_attempts, 1U);
  EXPECT_EQ(controller.attribution_counts().dropped_results, 1U);
}

// The record is incomplete so far, or one of its rows can't be read: the job exists all the same.
TEST_F(AttributionTest, RecordWithoutSpecDoesNotMeanThatTheJobIsOver) {
  records["j-1"] = {};
  send_report("i-2", {});
  EXPECT_TRUE(send_report("i-1", {running_task("j-1", 0), done_task("j-1", 1)}).empty());
  controller.set_records_as_of(now + 1);
  run_placement();
  EXPECT_EQ(controller.describe_attempts(), AttemptLines{"i-1 j-1/0 running"});
  EXPECT_TRUE(send_report("i-1", {running_task("j-1", 0), done_task("j-1", 1)}).empty());
  EXPECT_TRUE(controller.all_accounted_for());  // it keeps its machine from being released, not the share
                                                // from being rebuilt
  EXPECT_FALSE(controller.release("i-1", now));
}

TEST_F(AttributionTest, AttemptsOfEndedOrForeignJobsAreStoppedOnceKnown) {
  send_report("i-2", {running_task("j-2", 0)});
  send_report("i-1", {running_task("j-1", 0)});
  add_record("j-1", 1, "array", "blue");
  add_record("j-2", 1);
  records["j-2"].status = wire::JobStatus::cancelled;
  run_placement();
  EXPECT_EQ(controller.describe_attempts(), (AttemptLines{"i-1 j-1/0 halting", "i-2 j-2/0 halting"}));
  EXPECT_EQ(controller.attribution_counts().unattributed_attempts, 0U);
}

TEST_F(AttributionTest, AttemptWithIndexBeyondTheJobsTasksIsStopped) {
  send_report("i-1", {running_task("j-1", 5), done_task("j-1", 6)});
  send_report("i-2", {});
  add_job("j-1", 1);
  run_placement();
  EXPECT_EQ(controller.task_counts("j-1")->first, 0U);
  EXPECT_EQ(controller.describe_attempts(), (AttemptLines{"i-1 j-1/0 assigned", "i-1 j-1/5 halting"}));
}

TEST_F(AttributionTest, UnattributedTasksAreOnlyThoseOfTheNewestReport) {
  send_report("i-1", {running_task("j-1", 0), done_task("j-1", 1), running_task("j-2", 99'999)});
  EXPECT_EQ(controller.attribution_counts().unattributed_attempts, 2U);
  send_report("i-1", {running_task("j-3", 0)});
  EXPECT_EQ(controller.attribution_counts().unattributed_attempts, 1U);
  EXPECT_EQ(controller.attribution_counts().unattributed_results, 0U);
  ++session, seq = 0;
  send_report("i-1", {});
  EXPECT_EQ(controller.attribution_counts().unattributed_attempts, 0U);
  EXPECT_TRUE(controller.release("i-1", now));
}

}  // namespace
}  // namespace aspenwick::testing
