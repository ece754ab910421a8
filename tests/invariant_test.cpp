// The checks on task starts and the invariants that are verified at run time. In tests a violation aborts the
// process.
#include <gtest/gtest.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "fixtures.h"
#include "place/cluster_view.h"
#include "place/decision.h"
#include "share/ownership.h"

namespace aspenwick::place {
namespace {

/// Makes invariant violations abort, in all tests of this program.
class AbortOnViolation : public ::testing::Environment {
 public:
  void SetUp() override { abort_on_violation(true); }
};
const auto* const abort_environment = ::testing::AddGlobalTestEnvironment(new AbortOnViolation);

/// One job, whose first task is assigned to a machine that is accounted for.
struct TaskStartTest : ::testing::Test {
  TaskStartTest() {
    MachineRecord record;
    record.id = "i-1";
    machine = &view.add_machine(record);
    record.id = "i-2";
    other_machine = &view.add_machine(record);
    machine->accounted_for = other_machine->accounted_for = true;
    auto owned_job = std::make_unique<Job>();
    auto spec = wire::job_from_json(testing::job_json());
    owned_job->spec = std::make_shared<JobSpec>(spec);
    owned_job->id = "j-1";
    owned_job->done = DoneSet(spec.tasks);
    job = owned_job.get();
    view.jobs.emplace("j-1", std::move(owned_job));
    add_task_attempt(*machine, 1);
  }
  void add_task_attempt(Machine& m, std::uint64_t attempt) {
    TaskAttempt task_attempt;
    task_attempt.job = job;
    task_attempt.job_id = job->id;
    task_attempt.attempt = attempt;
    view.add_attempt(m, task_attempt);
  }
  StartRefusal refusal(StartRefusal owner_refusal = StartRefusal::none) {
    return start_refusal(view, *machine, machine->tasks.at({"j-1", 0}), owner_refusal);
  }
  ClusterView view;
  Machine* machine = nullptr;
  Machine* other_machine = nullptr;
  Job* job = nullptr;
};

TEST_F(TaskStartTest, AssignedAttemptOfAnOpenJobMayStart) { EXPECT_EQ(refusal(), StartRefusal::none); }

TEST_F(TaskStartTest, StartIsRefusedWhenTheOwnerMayNotAct) {
  for (const auto reason :
       {StartRefusal::lease_not_valid, StartRefusal::records_stale, StartRefusal::share_handed_over})
    EXPECT_EQ(refusal(reason), reason);
}

TEST_F(TaskStartTest, ActingRequiresAValidLeaseAndFreshRecords) {
  const auto platform = wire::parse_settings(testing::settings_json().dump());
  share::Ownership ownership(platform);
  constexpr Micros kNow = 1000 * kSecond;
  EXPECT_EQ(ownership.action_refusal(kNow, kNow), StartRefusal::lease_not_valid);
  ownership.lease_granted(7, kNow);
  EXPECT_EQ(ownership.action_refusal(kNow, kNow - share::kMaxRecordsAge), StartRefusal::records_stale);
  EXPECT_EQ(ownership.action_refusal(kNow, kNow - share::kMaxRecordsAge + 1), StartRefusal::none);
  ownership.lease_renewed(kNow + 100 * kSecond);  // renewed after a pause, which does not refresh the records
  EXPECT_EQ(ownership.action_refusal(kNow + 100 * kSecond, kNow), StartRefusal::records_stale);
}

TEST_F(TaskStartTest, StartIsRefusedOnAMachineThatIsNotAccountedFor) {
  machine->accounted_for = false;
  EXPECT_EQ(refusal(), StartRefusal::machine_not_accounted);
}

TEST_F(TaskStartTest, StartIsRefusedForAJobThatIsOver) {
  job->cancelled = true;
  EXPECT_EQ(refusal(), StartRefusal::job_over);
}

TEST_F(TaskStartTest, StartIsRefusedForATaskThatIsDone) {
  job->done.set(0);
  EXPECT_EQ(refusal(), StartRefusal::task_done);
}

TEST_F(TaskStartTest, StartIsRefusedWhileAStrayAttemptExists) {
  view.stray_attempts[{"j-1", 0}] = 1;
  EXPECT_EQ(refusal(), StartRefusal::other_attempt);
}

TEST_F(TaskStartTest, StartIsRefusedWhenTheActiveAttemptIsOnAnotherMachine) {
  job->active[0] = other_machine;
  EXPECT_EQ(refusal(), StartRefusal::other_attempt);
}

TEST_F(TaskStartTest, SecondAttemptOfATaskOnAnotherMachineAborts) {
  auto add_second_attempt = [this] {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("violation"));
    add_task_attempt(*other_machine, 2);
  };
  EXPECT_DEATH(add_second_attempt(), "one attempt of a task: j-1/0 on i-2 and on i-1");
}

TEST_F(TaskStartTest, ViolationInProductionIsCountedWithoutAborting) {
  abort_on_violation(false);
  const auto before = violations();
  report_violation(Invariant::epochs_rise, "share 0: epoch 1 after 2");
  abort_on_violation(true);
  EXPECT_EQ(violations()[2], before[2] + 1);
}

}  // namespace
}  // namespace aspenwick::place
