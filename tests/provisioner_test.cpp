// The capacity planner: which machines it rents, moves between shares and returns, from reports of the
// shares.
#include "fleet/provisioner.h"

#include <gtest/gtest.h>

#include <set>

#include "fixtures.h"

namespace aspenwick::fleet {
namespace {

class ProvisionerTest : public ::testing::Test {
 protected:
  wire::PlatformSettings platform_ = wire::parse_settings(testing::settings_json().dump());
  std::vector<wire::MachineType> types_ = testing::machine_types();
  Provisioner provisioner_{platform_, types_, {}};
  std::map<std::string, MachineRecord> records_;
  Micros now_ = 100 * kSecond;

  static share::Demand demand(double cpus, std::uint32_t waiting, bool spot, wire::Rank rank) {
    share::Demand d;
    d.need = {wire::to_millionths(cpus), 0, wire::to_millionths(1)};
    d.waiting = waiting, d.spot = spot, d.rank = rank;
    d.estimated_run_ms = 30'000, d.slack_ms = 10'000;
    return d;
  }
  /// Adds a cpu8 machine in z1 to the records, and returns the state of it that its share reports: empty,
  /// idle for so long.
  share::MachineState add_machine(const std::string& id, int share, Micros idle) {
    MachineRecord r;
    r.id = id, r.type = "cpu8", r.zone = "z1", r.share = share;
    records_[id] = r;
    share::MachineState m;
    m.id = id, m.free = types_[0].total, m.usable = true, m.empty = true;
    m.idle_ms = static_cast<std::uint32_t>(idle / kMillisecond);
    return m;
  }
  template <typename T>
  static std::vector<T> actions_of_type(const std::vector<Action>& actions) {
    std::vector<T> out;
    for (const auto& a : actions)
      if (const auto* t = std::get_if<T>(&a)) out.push_back(*t);
    return out;
  }
};

TEST_F(ProvisionerTest, RentsEnoughSpotMachinesIfAllowedAndOnDemandOtherwise) {
  const auto rents = actions_of_type<RentMachines>(
      provisioner_.tick(now_, {{0, true, {demand(2, 8, true, wire::Rank::high)}, {}}}, records_));
  ASSERT_EQ(rents.size(), 1U);
  EXPECT_TRUE(rents[0].spot);
  EXPECT_EQ(rents[0].count, 2);  // each holds four tasks of 2 CPUs
  Provisioner other{platform_, types_, {}};
  EXPECT_FALSE(actions_of_type<RentMachines>(
                   other.tick(now_, {{0, true, {demand(2, 8, false, wire::Rank::high)}, {}}}, records_))[0]
                   .spot);
}

TEST_F(ProvisionerTest, DoesNotRetryARefusedOfferImmediately) {
  const std::vector<ShareReport> reports{{0, true, {demand(2, 4, true, wire::Rank::high)}, {}}};
  const auto first = actions_of_type<RentMachines>(provisioner_.tick(now_, reports, records_));
  provisioner_.on_rent_result(first[0], 503, {}, now_);
  const auto second = actions_of_type<RentMachines>(provisioner_.tick(now_, reports, records_));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].zone + (second[0].spot ? "s" : ""), first[0].zone + (first[0].spot ? "s" : ""));
}

TEST_F(ProvisionerTest, CountsBootingMachinesAsCapacityAndDeletesThoseThatBootTooLong) {
  const std::vector<ShareReport> reports{{0, true, {demand(2, 4, true, wire::Rank::high)}, {}}};
  const auto rent = actions_of_type<RentMachines>(provisioner_.tick(now_, reports, records_));
  provisioner_.on_rent_result(rent[0], 200, {"i-000001"}, now_);
  EXPECT_TRUE(actions_of_type<RentMachines>(provisioner_.tick(now_, reports, records_)).empty());
  const auto deletions =
      actions_of_type<DeleteMachines>(provisioner_.tick(now_ + 300 * kSecond, reports, records_));
  ASSERT_EQ(deletions.size(), 1U);
  EXPECT_EQ(deletions[0].machines, std::vector<std::string>{"i-000001"});
}

TEST_F(ProvisionerTest, DrainsPartlyUsedMachinesForAShareWithAFarLargerBacklog) {
  // Machines that run a share's short tasks are hardly ever empty. Without rebalancing, the share that rented
  // first kept hundreds of machines while thousands of tasks waited in another.
  ShareReport donor{0, true, {demand(2, 0, true, wire::Rank::low)}, {}};
  donor.demands[0].running = 30;
  for (int i = 0; i < 10; ++i) {
    auto m = add_machine("i-00000" + std::to_string(i), 0, 0);
    m.empty = false;
    m.free.cpus -= wire::to_millionths(i < 5 ? 2 : 8);  // the last five are full
    if (i == 0) m.highest_rank = wire::Rank::production;
    donor.machines.push_back(m);
  }
  ShareReport recipient{1, true, {demand(2, 500, true, wire::Rank::low)}, {}};
  recipient.demands[0].running = 10;
  auto moves = actions_of_type<MoveMachine>(provisioner_.tick(now_, {donor, recipient}, records_));
  ASSERT_FALSE(moves.empty());
  EXPECT_LE(moves.size(), 2U);  // only a few in each pass
  EXPECT_EQ(moves[0].to, 1);
  EXPECT_TRUE(moves[0].drain);
  EXPECT_EQ(moves[0].rank, wire::Rank::low);  // no task is stopped
  EXPECT_EQ(moves[0].machine, "i-000001");    // neither the one with a production task nor a full one
  std::set<std::string> moved;
  for (int i = 0; i < 60; ++i)
    for (const auto& m :
         actions_of_type<MoveMachine>(provisioner_.tick(now_ += kSecond / 2, {donor, recipient}, records_)))
      moved.insert(m.machine);
  EXPECT_LE(moved.size(), 4U);  // at most half of its machines, and never full ones
  // Nothing is moved while the donor has nearly as large a backlog.
  Provisioner other{platform_, types_, {}};
  donor.demands[0].waiting = 900;
  EXPECT_TRUE(actions_of_type<MoveMachine>(other.tick(now_, {donor, recipient}, records_)).empty());
}

TEST_F(ProvisionerTest, MovesAnEmptyMachineToAShareWithWaitingTasks) {
  const ShareReport idle{0, true, {}, {add_machine("i-000001", 0, 3 * kSecond)}};
  const ShareReport busy{1, true, {demand(2, 4, true, wire::Rank::low)}, {}};
  const auto actions = provisioner_.tick(now_, {idle, busy}, records_);
  ASSERT_EQ(actions_of_type<MoveMachine>(actions).size(), 1U);
  EXPECT_EQ(actions_of_type<MoveMachine>(actions)[0].to, 1);
  EXPECT_TRUE(actions_of_type<RentMachines>(actions).empty());
}

TEST_F(ProvisionerTest, ReturnsIdleMachinesAndThoseWithALostWorker) {
  auto idle = add_machine("i-000001", 0, 60 * kSecond);
  auto lost_machine = add_machine("i-000002", 0, 20 * kSecond);
  lost_machine.usable = false, lost_machine.worker_lost = true;
  auto busy = add_machine("i-000003", 0, 0);
  busy.empty = false;
  const auto moves = actions_of_type<MoveMachine>(
      provisioner_.tick(now_, {{0, true, {}, {idle, lost_machine, busy}}}, records_));
  ASSERT_EQ(moves.size(), 2U);
  for (const auto& m : moves) EXPECT_EQ(m.to, -1);
  // A machine is deleted only after its owner has released it.
  EXPECT_TRUE(actions_of_type<DeleteMachines>(provisioner_.tick(now_, {}, records_)).empty());
  records_["i-000001"].share = -1;
  EXPECT_EQ(actions_of_type<DeleteMachines>(provisioner_.tick(now_, {}, records_)).size(), 1U);
}

TEST_F(ProvisionerTest, CountsBootingMachinesThatAFormerLeaderRented) {
  provisioner_.on_machines_listed({{"i-000009", "", "cpu8", "z1", "booting", true, 10 * kSecond}}, records_,
                                  now_);
  EXPECT_TRUE(actions_of_type<RentMachines>(
                  provisioner_.tick(now_, {{0, true, {demand(2, 4, true, wire::Rank::high)}, {}}}, records_))
                  .empty());
  EXPECT_TRUE(provisioner_.has_booting());
}

TEST_F(ProvisionerTest, MovesMachinesForAGangOnlyIfAllOfItFitsInOneZone) {
  // Another share has two idle machines each in z1 and z2. A gang of three fits in neither zone; moving
  // machines for it would cause a move every tick, and the gang would never start.
  ShareReport idle{0, true, {}, {}};
  for (const char* id : {"i-000001", "i-000002", "i-000003", "i-000004"})
    idle.machines.push_back(add_machine(id, 0, 3 * kSecond));
  records_["i-000003"].zone = records_["i-000004"].zone = "z2";
  share::Demand d = demand(8, 3, true, wire::Rank::normal);
  d.shape = wire::Shape::gang, d.one_zone = true;
  for (const auto& t : types_)
    for (const auto& z : t.zones)
      for (const bool spot : {true, false}) provisioner_.on_rent_result({0, z, spot, 1, -1}, 503, {}, now_);
  d.type_mask = 1;
  const auto actions_for_three = provisioner_.tick(now_, {idle, {1, true, {d}, {}}}, records_);
  EXPECT_TRUE(actions_of_type<MoveMachine>(actions_for_three).empty());
  d.waiting = 2;
  const auto moves_for_two =
      actions_of_type<MoveMachine>(provisioner_.tick(now_, {idle, {1, true, {d}, {}}}, records_));
  ASSERT_EQ(moves_for_two.size(), 2U);
  EXPECT_EQ(records_[moves_for_two[0].machine].zone, records_[moves_for_two[1].machine].zone);
}

TEST_F(ProvisionerTest, RentsInBulkWithinTheZoneLimit) {
  // 96 service tasks at a cold start, reported as one demand: twelve machines are rented in two requests,
  // each in a zone of its own for half of the tasks.
  share::Demand d = demand(1, 96, false, wire::Rank::production);
  d.shape = wire::Shape::service, d.max_per_zone = 48;
  const auto rents = actions_of_type<RentMachines>(provisioner_.tick(now_, {{0, true, {d}, {}}}, records_));
  ASSERT_EQ(rents.size(), 2U);
  EXPECT_NE(rents[0].zone, rents[1].zone);
  EXPECT_EQ(rents[0].count + rents[1].count, 12);
  // Machines of unanswered requests count as capacity.
  EXPECT_TRUE(actions_of_type<RentMachines>(provisioner_.tick(now_, {{0, true, {d}, {}}}, records_)).empty());
}

// Tasks that need nothing fit on any machine in any number, but in each zone only as many as may be there.
TEST_F(ProvisionerTest, AssignsTasksThatNeedNothingUpToTheZoneLimit) {
  const auto machine = add_machine("i-000001", 0, 0);
  share::Demand d = demand(0, 100'000, false, wire::Rank::high);
  d.need = {};
  EXPECT_TRUE(actions_of_type<RentMachines>(
                  provisioner_.tick(now_, {{0, true, std::vector(64, d), {machine}}}, records_))
                  .empty());
  d.max_per_zone = 50'000;  // the other half needs a machine in another zone
  const auto rents =
      actions_of_type<RentMachines>(provisioner_.tick(now_, {{0, true, {d}, {machine}}}, records_));
  ASSERT_EQ(rents.size(), 1U);
  EXPECT_EQ(rents[0].count, 1);
  EXPECT_NE(rents[0].zone, "z1");
}

TEST_F(ProvisionerTest, DoesNotRentExpensiveMachinesForWorkWithEnoughSlack) {
  // cpu8 machines hold eight tasks and cost 0.8, or 0.3 as spot; GPU machines cost ten times as much.
  share::Demand d = demand(1, 60, true, wire::Rank::low);
  d.slack_ms = 240'000;
  for (const auto& z : types_[0].zones)
    for (const bool spot : {true, false}) provisioner_.on_rent_result({0, z, spot, 1, -1}, 503, {}, now_);
  EXPECT_FALSE(
      actions_of_type<RentMachines>(provisioner_.tick(now_, {{0, true, {d}, {}}}, records_)).empty());
  Provisioner other{platform_, types_, {}};
  for (const auto& z : types_[0].zones)
    for (const bool spot : {true, false}) other.on_rent_result({0, z, spot, 1, -1}, 503, {}, now_);
  d.running = 16;  // these finish the backlog in 144 s
  EXPECT_TRUE(actions_of_type<RentMachines>(other.tick(now_, {{0, true, {d}, {}}}, records_)).empty());
}

TEST_F(ProvisionerTest, DoesNotRentForLaterDeadlinesThatRunningMachinesMeet) {
  // Four jobs of 40 tasks with staggered deadlines: 16 slots finish all in time if the earliest deadline goes
  // first. Planned one by one, the jobs would need twice as many slots, on expensive machines.
  ShareReport report{0, true, {}, {}};
  for (std::uint32_t n = 1; n <= 4; ++n) {
    share::Demand d = demand(1, 40, true, wire::Rank::low);
    d.slack_ms = n * 150'000;
    report.demands.push_back(d);
  }
  report.demands[0].running = 16;
  for (const auto& z : types_[0].zones)
    for (const bool spot : {true, false}) provisioner_.on_rent_result({0, z, spot, 1, -1}, 503, {}, now_);
  EXPECT_TRUE(actions_of_type<RentMachines>(provisioner_.tick(now_, {report}, records_)).empty());
}

TEST_F(ProvisionerTest, DrainsALowerRankMachineForUrgentProductionDespiteABootingOne) {
  share::Demand d = demand(2, 2, false, wire::Rank::production);
  d.shape = wire::Shape::service, d.slack_ms = 4'000;
  auto low = add_machine("i-000001", 0, 0);
  low.empty = false, low.free = {};
  provisioner_.on_machines_listed({{"i-000009", "", "cpu8", "z1", "booting", false, 2 * kSecond}}, records_,
                                  now_);
  const auto moves = actions_of_type<MoveMachine>(
      provisioner_.tick(now_, {{0, true, {}, {low}}, {1, true, {d}, {}}}, records_));
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_TRUE(moves[0].drain);
  EXPECT_EQ(moves[0].to, 1);
}

TEST_F(ProvisionerTest, KeepsIdleSpotGpuMachinesForGangsOnOnDemandOnes) {
  share::Demand d = demand(1, 1, true, wire::Rank::normal);
  d.need.gpus = wire::to_millionths(4), d.type_mask = 2, d.shape = wire::Shape::gang;
  auto spot = add_machine("i-000001", 0, 60 * kSecond);
  auto on_demand = add_machine("i-000002", 0, 0);
  records_["i-000001"].type = records_["i-000002"].type = "gpu4";
  records_["i-000001"].spot = true;
  spot.free = types_[1].total, on_demand.free = {}, on_demand.empty = false,
  on_demand.highest_rank = wire::Rank::normal;
  provisioner_.tick(now_, {{0, true, {d}, {}}}, records_);  // GPU work that can use the type is noted
  EXPECT_TRUE(
      actions_of_type<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {spot, on_demand}}}, records_))
          .empty());
  EXPECT_EQ(actions_of_type<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {spot}}}, records_)).size(),
            1U);
  // Idle in one share, it is moved to the share whose gang runs on an on-demand machine.
  records_["i-000002"].share = 1;
  const auto moves = actions_of_type<MoveMachine>(
      provisioner_.tick(now_, {{0, true, {}, {spot}}, {1, true, {}, {on_demand}}}, records_));
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].to, 1);
  records_["i-000002"].share = 0;
  // Idle for too long, it is returned all the same.
  spot.idle_ms = 300'000;
  EXPECT_EQ(
      actions_of_type<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {spot, on_demand}}}, records_))
          .size(),
      1U);
}

// The job's own share has no free capacity and the cloud has no machines. A machine of another share that has
// unused capacity, but is never empty, is drained and moved. This happens only for a starved job, and not to
// machines whose GPUs are in use.
TEST_F(ProvisionerTest, DrainsAnUnderusedMachineOfAnotherShareForAStarvedJob) {
  share::Demand d = demand(2, 1, false, wire::Rank::low);
  auto busy = add_machine("i-000001", 0, 0), busier = add_machine("i-000002", 0, 0),
       gpu = add_machine("i-000003", 0, 0);
  records_["i-000003"].type = "gpu4";
  for (auto* m : {&busy, &busier, &gpu}) m->empty = false;
  busy.free.cpus = wire::to_millionths(6), busier.free.cpus = wire::to_millionths(3);
  gpu.free = types_[1].total, gpu.free.gpus = wire::to_millionths(1), gpu.highest_rank = wire::Rank::normal;
  share::Demand training = demand(1, 1, true, wire::Rank::normal);
  training.need.gpus = wire::to_millionths(4), training.type_mask = 2, training.shape = wire::Shape::gang;
  const std::vector<share::MachineState> other_share_machines{busy, busier, gpu};
  for (const auto& t : types_)
    for (const auto& z : t.zones)
      for (const bool spot : {false, true})
        provisioner_.on_rent_result({t.name == "cpu8" ? 0U : 1U, z, spot, 1, 0}, 503, {}, now_);
  auto moves = [&](Micros now) {
    return actions_of_type<MoveMachine>(
        provisioner_.tick(now, {{0, true, {training}, other_share_machines}, {1, true, {d}, {}}}, records_));
  };
  EXPECT_TRUE(moves(now_).empty());
  d.starved = true;
  EXPECT_TRUE(moves(now_ + kSecond).empty());  // too short: some is always free between two tasks
  const auto moved = moves(now_ + 5 * kSecond);
  ASSERT_EQ(moved.size(), 1U);
  EXPECT_EQ(moved[0].machine, "i-000001");
  EXPECT_TRUE(moved[0].drain);
  EXPECT_EQ(moved[0].to, 1);
  EXPECT_EQ(moved[0].rank, wire::Rank::low);  // its tasks may finish
  // Its tasks run for longer than a drain lasts: the drain is renewed.
  EXPECT_TRUE(moves(now_ + 6 * kSecond).empty());
  const auto later_moves = moves(now_ + 36 * kSecond);
  ASSERT_EQ(later_moves.size(), 1U);
  EXPECT_EQ(later_moves[0].machine, "i-000001");
}

// Machine types that GPU work can use are rented for other work only if no other type can hold it.
TEST_F(ProvisionerTest, RentsAGpuMachineForOtherWorkThatFitsNoOtherType) {
  share::Demand training = demand(1, 1, true, wire::Rank::normal);
  training.need.gpus = wire::to_millionths(4), training.type_mask = 2, training.shape = wire::Shape::gang;
  share::Demand large = demand(12, 1, true, wire::Rank::normal);
  large.shape = wire::Shape::gang, large.type_mask = 2;
  provisioner_.tick(now_, {{0, true, {training}, {}}}, records_);  // GPU work that can use the type is noted
  int rented = 0;
  for (const auto& r :
       actions_of_type<RentMachines>(provisioner_.tick(now_ + kSecond, {{1, true, {large}, {}}}, records_)))
    rented += r.count;
  EXPECT_EQ(rented, 1);
}

TEST(RentalIdempotencyKeys, ContinueAfterAPauseAndNeverRepeat) {
  // After an outage of the state service the leader resumed with the same epoch and counted from 1 again. The
  // cloud answered with machines of earlier requests, which had been running for long and were then deleted
  // as booting too long (run fresh-ff24).
  RentalIdempotencyKeys keys;
  EXPECT_EQ(keys.next(8), "e8-1");
  EXPECT_EQ(keys.next(8), "e8-2");
  EXPECT_EQ(keys.next(9), "e9-1");
  EXPECT_EQ(keys.next(9), "e9-2");
}

TEST_F(ProvisionerTest, DoesNotDeleteAReportingMachineAsBootingTooLong) {
  auto running_machine = add_machine("i-000001", 0, 0);
  running_machine.empty = false;
  provisioner_.on_rent_result({0, "z1", false, 1, 0}, 200, {"i-000001"}, now_);
  EXPECT_TRUE(actions_of_type<DeleteMachines>(
                  provisioner_.tick(now_ + 300 * kSecond, {{0, true, {}, {running_machine}}}, records_))
                  .empty());
}

}  // namespace
}  // namespace aspenwick::fleet
