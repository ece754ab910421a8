// The invariants that are checked at run time: in tests a violation aborts, and each of these tests brings
// one about.
#include <gtest/gtest.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "fixtures.h"
#include "place/cluster_view.h"
#include "place/decision.h"
#include "share/ownership.h"

namespace aspenwick::place {
namespace {

/// For all tests of the program.
class AbortOnViolation : public ::testing::Environment {
 public:
  void SetUp() override { abort_on_violation(true); }
};
const auto* const registered = ::testing::AddGlobalTestEnvironment(new AbortOnViolation);

/// One job of two tasks, the first of which is assigned to a machine that is accounted for.
struct DecisionTest : ::testing::Test {
  DecisionTest() {
    MachineRecord record;
    record.id = "i-1";
    machine = &view.add_machine(record);
    record.id = "i-2";
    other = &view.add_machine(record);
    machine->accounted_for = other->accounted_for = true;
    auto owned = std::make_unique<Job>();
    auto spec = wire::job_from_json(testing::job_json());
    owned->spec = std::make_shared<JobSpec>(spec);
    owned->id = "j-1";
    owned->done = DoneSet(spec.tasks);
    job = owned.get();
    view.jobs.emplace("j-1", std::move(owned));
    add(*machine, 1);
  }
  void add(Machine& m, std::uint64_t attempt) {
    TaskAttempt p;
    p.job = job;
    p.job_id = job->id;
    p.attempt = attempt;
    view.add_attempt(m, p);
  }
  StartRefusal refusal(StartRefusal of_owner = StartRefusal::none) {
    return start_refusal(view, *machine, machine->tasks.at({"j-1", 0}), of_owner);
  }
  ClusterView view;
  Machine* machine = nullptr;
  Machine* other = nullptr;
  Job* job = nullptr;
};

TEST_F(DecisionTest, AnAssignedAttemptOfAnOpenJobMayStart) { EXPECT_EQ(refusal(), StartRefusal::none); }

TEST_F(DecisionTest, NothingStartsThatTheOwnerHasNoRightToStart) {
  for (const auto why :
       {StartRefusal::lease_not_valid, StartRefusal::records_stale, StartRefusal::share_handed_over})
    EXPECT_EQ(refusal(why), why);
}

TEST_F(DecisionTest, TheRightToActNeedsAValidLeaseAndFreshRecords) {
  const auto platform = wire::parse_settings(testing::settings_json().dump());
  share::Ownership own(platform);
  constexpr Micros kNow = 1000 * kSecond;
  EXPECT_EQ(own.action_refusal(kNow, kNow), StartRefusal::lease_not_valid);
  own.lease_granted(7, kNow);
  EXPECT_EQ(own.action_refusal(kNow, kNow - share::kMaxRecordsAge), StartRefusal::records_stale);
  EXPECT_EQ(own.action_refusal(kNow, kNow - share::kMaxRecordsAge + 1), StartRefusal::none);
  own.lease_renewed(kNow + 100 * kSecond);  // renewed after a pause: the records are as old as they were
  EXPECT_EQ(own.action_refusal(kNow + 100 * kSecond, kNow), StartRefusal::records_stale);
}

TEST_F(DecisionTest, NothingStartsOnAMachineThatIsNotAccountedFor) {
  machine->accounted_for = false;
  EXPECT_EQ(refusal(), StartRefusal::machine_not_accounted);
}

TEST_F(DecisionTest, NothingStartsOfAJobThatIsOver) {
  job->cancelled = true;
  EXPECT_EQ(refusal(), StartRefusal::job_over);
}

TEST_F(DecisionTest, NothingStartsOfATaskThatIsDone) {
  job->done.set(0);
  EXPECT_EQ(refusal(), StartRefusal::task_done);
}

TEST_F(DecisionTest, NothingStartsWhileACopyOfTheTaskIsOnAnotherMachine) {
  view.stray_attempts[{"j-1", 0}] = 1;
  EXPECT_EQ(refusal(), StartRefusal::other_attempt);
}

TEST_F(DecisionTest, NothingStartsWhereTheJobsAttemptIsOnAnotherMachine) {
  job->active[0] = other;
  EXPECT_EQ(refusal(), StartRefusal::other_attempt);
}

TEST_F(DecisionTest, ASecondAttemptOfATaskOnAnotherMachineAborts) {
  auto start_a_second = [this] {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("violation"));
    add(*other, 2);
  };
  EXPECT_DEATH(start_a_second(), "one attempt of a task: j-1/0 on i-2 and on i-1");
}

TEST_F(DecisionTest, AViolationInProductionIsCountedAndTheProcessGoesOn) {
  abort_on_violation(false);
  const auto before = violations();
  report_violation(Invariant::epochs_rise, "share 0: epoch 1 after 2");
  abort_on_violation(true);
  EXPECT_EQ(violations()[2], before[2] + 1);
}

}  // namespace
}  // namespace aspenwick::place
