// The list of waiting work that a share's owner reports to the leader: bounded, and without a job left out.
#include "share/demand.h"

#include <functional>
#include <set>
#include <tuple>

#include "fleet/provisioner.h"
#include "share/peer_frame.h"
#include "share_controller_fixture.h"

namespace aspenwick::testing {
namespace {

using share::Demand;
using share::DemandList;
using wire::Rank;
using wire::Shape;

constexpr std::size_t kMaxEntries = DemandList::kMaxSingle + DemandList::kMaxMerged;
constexpr std::int64_t kOne = 1'000'000;

Demand demand_of(Shape shape, std::uint32_t waiting, std::int64_t cpus) {
  Demand d;
  d.shape = shape, d.waiting = waiting, d.need = {cpus, 0, kOne};
  d.slack_ms = 20'000, d.estimated_run_ms = 30'000;
  return d;
}

bool any_needs(const std::vector<Demand>& list, const wire::Resources& need) {
  return std::any_of(list.begin(), list.end(), [&](const Demand& d) { return d.need == need; });
}

std::uint64_t sum_waiting(const std::vector<Demand>& list) {
  std::uint64_t sum = 0;
  for (const Demand& d : list) sum += d.waiting;
  return sum;
}

TEST(DemandListTest, ListsTheFirstJobsOneByOneAndCountsTheTasksOfAll) {
  for (const Shape shape : {Shape::array, Shape::service}) {
    DemandList list;
    DemandList::Turns turns;
    for (int i = 0; i < 50'000; ++i) list.add(demand_of(shape, 3, kOne * (1 + i % 5)));
    const auto listed = list.select(turns, 0);
    EXPECT_LE(listed.size(), kMaxEntries);
    EXPECT_EQ(sum_waiting(listed), 150'000U);
  }
}

TEST(DemandListTest, AverageRunTimeAndLeastSlackStandForMergedJobs) {
  DemandList list;
  DemandList::Turns turns;
  for (std::size_t i = 0; i < DemandList::kMaxSingle; ++i) list.add(demand_of(Shape::array, 1, 9 * kOne));
  Demand d = demand_of(Shape::array, 3, kOne);
  list.add(d);
  d.waiting = 1, d.estimated_run_ms = 70'000, d.slack_ms = 18'000;
  list.add(d);
  const Demand merged = list.select(turns, 0).back();
  EXPECT_EQ(merged.waiting, 4U);
  EXPECT_EQ(merged.estimated_run_ms, 40'000U);
  EXPECT_EQ(merged.slack_ms, 18'000U);
}

// A gang starts whole or not at all: the tasks of several must not be told as one gang.
TEST(DemandListTest, GangsAreNotAddedUp) {
  DemandList list;
  DemandList::Turns turns;
  for (int i = 0; i < 1000; ++i) list.add(demand_of(Shape::gang, i % 2 == 0 ? 4 : 8, kOne));
  for (int i = 0; i < 1000; ++i) list.add(demand_of(Shape::gang, 1, kOne));  // its only task starts alone
  const auto listed = list.select(turns, 0);
  EXPECT_EQ(listed.size(), kMaxEntries);
  std::uint64_t single_tasks = 0;
  std::set<std::uint32_t> gang_sizes;
  for (const Demand& d : listed)
    if (d.shape == Shape::gang)
      gang_sizes.insert(d.waiting);
    else
      single_tasks += d.waiting;
  EXPECT_EQ(gang_sizes, (std::set<std::uint32_t>{4, 8}));
  EXPECT_EQ(single_tasks, 1000U);
}

// Guards against a job that is never told because too many others have needs of their own: all have their
// turn, and meanwhile the tasks of those that fit the same machines are counted.
TEST(DemandListTest, EveryJobHasItsTurnIfAllNeedsDiffer) {
  constexpr int kJobs = 2000;
  DemandList::Turns turns;
  std::set<std::int64_t> told;
  for (int second = 0; second <= 2 * kJobs / static_cast<int>(DemandList::kMaxMerged); ++second) {
    DemandList list;
    for (int i = 0; i < kJobs; ++i) list.add(demand_of(Shape::array, 1, kOne + i));
    list.add(demand_of(Shape::array, 1, kOne + kJobs + second));  // new needs come all the time
    const auto listed = list.select(turns, second * kSecond);
    EXPECT_LE(listed.size(), kMaxEntries);
    EXPECT_EQ(sum_waiting(listed), kJobs + 1U);
    EXPECT_EQ(list.select(turns, second * kSecond + kSecond / 2), listed);  // for the whole turn
    for (const Demand& d : listed) told.insert(d.need.cpus - kOne);
  }
  for (int i = 0; i < kJobs; ++i) EXPECT_TRUE(told.contains(i)) << i;
}

// The longest list, of a share with 3,000 machines, still goes in one frame.
TEST(DemandListTest, AReportWithTheLongestListFitsIntoAFrame) {
  DemandList list;
  DemandList::Turns turns;
  for (int i = 0; i < 1000; ++i) list.add(demand_of(Shape::array, 1, kOne + i));
  share::ShareReport report{0, true, list.select(turns, 0), {}};
  report.demands.push_back(demand_of(Shape::array, 0, kOne));
  report.machines.resize(3000);
  for (auto& machine : report.machines) machine.id = "i-000001";
  share::Gossip gossip;
  gossip.node = "rig-1";
  gossip.shares.push_back(report);
  EXPECT_LE(share::encode(gossip).size(), share::kMaxFrameSize);
}

struct TeamLimitTest : ShareControllerTest {
  std::uint32_t tasks_told(const std::string& id, const char* team, double cpus, double gpus) {
    auto submission = submission_json(id, 100);
    submission["owner"] = team, submission["vcpus"] = cpus, submission["cards"] = gpus;
    records[id].spec = std::make_shared<wire::JobSpec>(wire::job_from_json(submission));
    deliver_record(id);
    const wire::Resources need = records[id].spec->need;
    for (const Demand& d : controller.demands(now))
      if (d.need == need) return d.waiting;
    return 0;
  }
};

// Guards against rents for tasks beyond the limit of a team that runs nothing yet: the limit was looked at
// only once the team had tasks on machines.
TEST_F(TeamLimitTest, TheLeaderIsToldOfTasksWithinTheLimitOnly) {
  EXPECT_EQ(tasks_told("j-000001", "tight", 2, 0), 4U);    // limit: 8 CPUs
  EXPECT_EQ(tasks_told("j-000002", "cards", 1, 1), 4U);    // limit: 4 GPUs
  EXPECT_EQ(tasks_told("j-000003", "cards", 3, 0), 100U);  // none for CPUs
  EXPECT_EQ(tasks_told("j-000004", "tight", 0, 0), 100U);  // needs nothing that is limited
}

/// What the jobs in front and the job behind them are: their shape and rank, and whether the job behind needs
/// GPUs and those in front do not, or the other way round.
using QueueShape = std::tuple<const char*, const char*, bool>;
struct JobBehindManyTest : ShareControllerTest, ::testing::WithParamInterface<QueueShape> {
  static constexpr int kJobsInFront = 500;
  void submit(int number, const char* rank, bool gpus, double memory) {
    auto submission = submission_json("j-" + std::to_string(100'000 + number), 1);
    submission["shape"] = std::get<0>(GetParam()), submission["rank"] = rank;
    submission["cards"] = gpus ? 4.0 : 0.0, submission["ramGb"] = memory;
    const std::string id = submission["nameId"];
    records[id].spec = std::make_shared<wire::JobSpec>(wire::job_from_json(submission));
    deliver_record(id);
  }
};

// Guards against a job that waits for good because the leader is told of those before it only (review, case
// 3): for every shape, rank and kind of need it is told, and the leader rents a machine for it though the
// cloud has none for the others.
TEST_P(JobBehindManyTest, IsToldToTheLeaderWhichRentsForIt) {
  const auto& [shape, rank, behind_needs_gpus] = GetParam();
  for (int i = 0; i < kJobsInFront; ++i) submit(i, "production", !behind_needs_gpus, 8);
  submit(kJobsInFront, rank, behind_needs_gpus, 3);
  const auto listed = controller.demands(now);
  const wire::Resources need{2 * kOne, behind_needs_gpus ? 4 * kOne : 0, 3 * kOne};
  EXPECT_TRUE(any_needs(listed, need));
  EXPECT_LE(listed.size(), kMaxEntries);

  fleet::Provisioner provisioner{platform, types, {}};
  const std::size_t refused_type = behind_needs_gpus ? 0 : 1;
  bool rented_for_job_behind = false;
  for (int tick = 0; tick < 60 && !rented_for_job_behind; ++tick, now += kSecond / 2)
    for (const auto& action : provisioner.tick(now, {{0, true, controller.demands(now), {}}}, {}))
      if (const auto* rent = std::get_if<fleet::RentMachines>(&action)) {
        rented_for_job_behind |= rent->type != refused_type;
        provisioner.on_rent_result(*rent, 503, {}, now);
      }
  EXPECT_TRUE(rented_for_job_behind);
}

INSTANTIATE_TEST_SUITE_P(AllShapesRanksAndNeeds, JobBehindManyTest,
                         ::testing::Combine(::testing::Values("array", "group", "service"),
                                            ::testing::Values("low", "normal", "high", "production"),
                                            ::testing::Bool()));

}  // namespace
}  // namespace aspenwick::testing
