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
    d.need = {wire::to_units(cpus), 0, wire::to_units(1)};
    d.waiting = waiting, d.spot = spot, d.rank = rank;
    d.estimated_run_ms = 30'000, d.slack_ms = 10'000;
    return d;
  }
  share::MachineState machine(const std::string& id, int share, Micros idle) {
    MachineRecord r;
    r.id = id, r.type = "cpu8", r.zone = "z1", r.share = share;
    records_[id] = r;
    share::MachineState m;
    m.id = id, m.free = types_[0].total, m.usable = true, m.empty = true;
    m.idle_ms = static_cast<std::uint32_t>(idle / kMillisecond);
    return m;
  }
  template <typename T>
  static std::vector<T> only(const std::vector<Action>& actions) {
    std::vector<T> out;
    for (const auto& a : actions)
      if (const auto* t = std::get_if<T>(&a)) out.push_back(*t);
    return out;
  }
};

TEST_F(ProvisionerTest, RentsSpotWhereAllowedAndEnough) {
  const auto rents = only<RentMachines>(
      provisioner_.tick(now_, {{0, true, {demand(2, 8, true, wire::Rank::high)}, {}}}, records_));
  ASSERT_EQ(rents.size(), 1U);
  EXPECT_TRUE(rents[0].spot);
  EXPECT_EQ(rents[0].count, 2);  // four tasks of 2 CPUs to a machine
  Provisioner other{platform_, types_, {}};
  EXPECT_FALSE(only<RentMachines>(
                   other.tick(now_, {{0, true, {demand(2, 8, false, wire::Rank::high)}, {}}}, records_))[0]
                   .spot);
}

TEST_F(ProvisionerTest, ARefusedOfferIsNotAskedAgainAtOnce) {
  const std::vector<ShareReport> said{{0, true, {demand(2, 4, true, wire::Rank::high)}, {}}};
  const auto first = only<RentMachines>(provisioner_.tick(now_, said, records_));
  provisioner_.on_rent_result(first[0], 503, {}, now_);
  const auto second = only<RentMachines>(provisioner_.tick(now_, said, records_));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].zone + (second[0].spot ? "s" : ""), first[0].zone + (first[0].spot ? "s" : ""));
}

TEST_F(ProvisionerTest, BootingMachinesCountAsRoomAndStragglersAreDeleted) {
  const std::vector<ShareReport> said{{0, true, {demand(2, 4, true, wire::Rank::high)}, {}}};
  const auto rent = only<RentMachines>(provisioner_.tick(now_, said, records_));
  provisioner_.on_rent_result(rent[0], 200, {"i-000001"}, now_);
  EXPECT_TRUE(only<RentMachines>(provisioner_.tick(now_, said, records_)).empty());
  const auto late = only<DeleteMachines>(provisioner_.tick(now_ + 300 * kSecond, said, records_));
  ASSERT_EQ(late.size(), 1U);
  EXPECT_EQ(late[0].machines, std::vector<std::string>{"i-000001"});
}

TEST_F(ProvisionerTest, AShareWithFarMoreWorkInHandGetsMachinesThatRunEmpty) {
  // Machines on which a share's own short work comes and goes are hardly ever empty: without this, a share
  // that was first kept hundreds while thousands of tasks waited in another.
  ShareReport rich{0, true, {demand(2, 0, true, wire::Rank::low)}, {}};
  rich.demands[0].running = 30;
  for (int i = 0; i < 10; ++i) {
    auto m = machine("i-00000" + std::to_string(i), 0, 0);
    m.empty = false;
    m.free.cpus -= wire::to_units(i < 5 ? 2 : 8);  // the later ones are full
    if (i == 0) m.highest_rank = wire::Rank::production;
    rich.machines.push_back(m);
  }
  ShareReport poor{1, true, {demand(2, 500, true, wire::Rank::low)}, {}};
  poor.demands[0].running = 10;
  auto moves = only<MoveMachine>(provisioner_.tick(now_, {rich, poor}, records_));
  ASSERT_FALSE(moves.empty());
  EXPECT_LE(moves.size(), 2U);  // a few at a time
  EXPECT_EQ(moves[0].to, 1);
  EXPECT_TRUE(moves[0].drain);
  EXPECT_EQ(moves[0].rank, wire::Rank::low);  // nothing is stopped for it
  EXPECT_EQ(moves[0].machine, "i-000001");    // not that which a replica keeps, nor a full one
  std::set<std::string> given;
  for (int i = 0; i < 60; ++i)
    for (const auto& m : only<MoveMachine>(provisioner_.tick(now_ += kSecond / 2, {rich, poor}, records_)))
      given.insert(m.machine);
  EXPECT_LE(given.size(), 4U);  // half of what it has, at most, and never full ones
  // Not while the share that would give has nearly as much in hand.
  Provisioner other{platform_, types_, {}};
  rich.demands[0].waiting = 900;
  EXPECT_TRUE(only<MoveMachine>(other.tick(now_, {rich, poor}, records_)).empty());
}

TEST_F(ProvisionerTest, AnEmptyMachineMovesToWorkThatWaits) {
  const ShareReport idle{0, true, {}, {machine("i-000001", 0, 3 * kSecond)}};
  const ShareReport busy{1, true, {demand(2, 4, true, wire::Rank::low)}, {}};
  const auto actions = provisioner_.tick(now_, {idle, busy}, records_);
  ASSERT_EQ(only<MoveMachine>(actions).size(), 1U);
  EXPECT_EQ(only<MoveMachine>(actions)[0].to, 1);
  EXPECT_TRUE(only<RentMachines>(actions).empty());
}

TEST_F(ProvisionerTest, IdleAndLapsedMachinesGoBack) {
  auto idle = machine("i-000001", 0, 60 * kSecond);
  auto lapsed = machine("i-000002", 0, 20 * kSecond);
  lapsed.usable = false, lapsed.worker_lost = true;
  auto busy = machine("i-000003", 0, 0);
  busy.empty = false;
  const auto moves =
      only<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {idle, lapsed, busy}}}, records_));
  ASSERT_EQ(moves.size(), 2U);
  for (const auto& m : moves) EXPECT_EQ(m.to, -1);
  // Only when its owner has let it go is it deleted.
  EXPECT_TRUE(only<DeleteMachines>(provisioner_.tick(now_, {}, records_)).empty());
  records_["i-000001"].share = -1;
  EXPECT_EQ(only<DeleteMachines>(provisioner_.tick(now_, {}, records_)).size(), 1U);
}

TEST_F(ProvisionerTest, MachinesOfAFormerLeaderAreFoundInTheList) {
  provisioner_.on_machines_listed({{"i-000009", "", "cpu8", "z1", "booting", true, 10 * kSecond}}, records_,
                                  now_);
  EXPECT_TRUE(only<RentMachines>(
                  provisioner_.tick(now_, {{0, true, {demand(2, 4, true, wire::Rank::high)}, {}}}, records_))
                  .empty());
  EXPECT_TRUE(provisioner_.has_booting());
}

TEST_F(ProvisionerTest, AGangGetsMachinesOnlyWhereAllOfItFits) {
  // Two machines each in z1 and z2 of another share: a gang of three would get a move every tick and never
  // start.
  ShareReport idle{0, true, {}, {}};
  for (const char* id : {"i-000001", "i-000002", "i-000003", "i-000004"})
    idle.machines.push_back(machine(id, 0, 3 * kSecond));
  records_["i-000003"].zone = records_["i-000004"].zone = "z2";
  share::Demand d = demand(8, 3, true, wire::Rank::normal);
  d.shape = wire::Shape::gang, d.one_zone = true;
  for (const auto& t : types_)
    for (const auto& z : t.zones)
      for (const bool spot : {true, false}) provisioner_.on_rent_result({0, z, spot, 1, -1}, 503, {}, now_);
  d.type_mask = 1;
  const auto none = provisioner_.tick(now_, {idle, {1, true, {d}, {}}}, records_);
  EXPECT_TRUE(only<MoveMachine>(none).empty());
  d.waiting = 2;
  const auto two = only<MoveMachine>(provisioner_.tick(now_, {idle, {1, true, {d}, {}}}, records_));
  ASSERT_EQ(two.size(), 2U);
  EXPECT_EQ(records_[two[0].machine].zone, records_[two[1].machine].zone);
}

TEST_F(ProvisionerTest, RentsInBulkWithinTheZoneLimit) {
  // Ninety services at a cold start, told as one demand: machines come by the dozen, half of the tasks a
  // zone.
  share::Demand d = demand(1, 96, false, wire::Rank::production);
  d.shape = wire::Shape::service, d.max_per_zone = 48;
  const auto rents = only<RentMachines>(provisioner_.tick(now_, {{0, true, {d}, {}}}, records_));
  ASSERT_EQ(rents.size(), 2U);
  EXPECT_NE(rents[0].zone, rents[1].zone);
  EXPECT_EQ(rents[0].count + rents[1].count, 12);
  // Not yet answered, they count as coming.
  EXPECT_TRUE(only<RentMachines>(provisioner_.tick(now_, {{0, true, {d}, {}}}, records_)).empty());
}

TEST_F(ProvisionerTest, WorkWithSlackDoesNotRentDearMachines) {
  // Ordinary machines cost 0.8 and spot ones 0.3 for eight tasks; GPU machines ten times as much.
  share::Demand d = demand(1, 60, true, wire::Rank::low);
  d.slack_ms = 240'000;
  for (const auto& z : types_[0].zones)
    for (const bool spot : {true, false}) provisioner_.on_rent_result({0, z, spot, 1, -1}, 503, {}, now_);
  EXPECT_FALSE(only<RentMachines>(provisioner_.tick(now_, {{0, true, {d}, {}}}, records_)).empty());
  Provisioner other{platform_, types_, {}};
  for (const auto& z : types_[0].zones)
    for (const bool spot : {true, false}) other.on_rent_result({0, z, spot, 1, -1}, 503, {}, now_);
  d.running = 16;  // in 144 s these do it
  EXPECT_TRUE(only<RentMachines>(other.tick(now_, {{0, true, {d}, {}}}, records_)).empty());
}

TEST_F(ProvisionerTest, LaterWorkUsesTheMachinesOfEarlierWork) {
  // Four jobs of 40 tasks due one after another: 16 slots do all of it in time, earliest first. Each by
  // itself they would want twice as many, on dear machines.
  ShareReport said{0, true, {}, {}};
  for (std::uint32_t n = 1; n <= 4; ++n) {
    share::Demand d = demand(1, 40, true, wire::Rank::low);
    d.slack_ms = n * 150'000;
    said.demands.push_back(d);
  }
  said.demands[0].running = 16;
  for (const auto& z : types_[0].zones)
    for (const bool spot : {true, false}) provisioner_.on_rent_result({0, z, spot, 1, -1}, 503, {}, now_);
  EXPECT_TRUE(only<RentMachines>(provisioner_.tick(now_, {said}, records_)).empty());
}

TEST_F(ProvisionerTest, UrgentProductionGetsAMachineOfLowerRanksRatherThanABootingOne) {
  share::Demand d = demand(2, 2, false, wire::Rank::production);
  d.shape = wire::Shape::service, d.slack_ms = 4'000;
  auto low = machine("i-000001", 0, 0);
  low.empty = false, low.free = {};
  provisioner_.on_machines_listed({{"i-000009", "", "cpu8", "z1", "booting", false, 2 * kSecond}}, records_,
                                  now_);
  const auto moves =
      only<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {low}}, {1, true, {d}, {}}}, records_));
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_TRUE(moves[0].drain);
  EXPECT_EQ(moves[0].to, 1);
}

TEST_F(ProvisionerTest, SpotGpuMachinesStayForAWhileWhereGangsOnOrdinaryOnesCanMoveToThem) {
  share::Demand d = demand(1, 1, true, wire::Rank::normal);
  d.need.gpus = wire::to_units(4), d.type_mask = 2, d.shape = wire::Shape::gang;
  auto spot = machine("i-000001", 0, 60 * kSecond);
  auto plain = machine("i-000002", 0, 0);
  records_["i-000001"].type = records_["i-000002"].type = "gpu4";
  records_["i-000001"].spot = true;
  spot.free = types_[1].total, plain.free = {}, plain.empty = false, plain.highest_rank = wire::Rank::normal;
  provisioner_.tick(now_, {{0, true, {d}, {}}}, records_);  // learns that the type is wanted
  EXPECT_TRUE(only<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {spot, plain}}}, records_)).empty());
  EXPECT_EQ(only<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {spot}}}, records_)).size(), 1U);
  // Left over in one share, it goes to the one whose gang runs on an ordinary machine.
  records_["i-000002"].share = 1;
  const auto moves =
      only<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {spot}}, {1, true, {}, {plain}}}, records_));
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].to, 1);
  records_["i-000002"].share = 0;
  // Unused for long, it goes back all the same.
  spot.idle_ms = 300'000;
  EXPECT_EQ(only<MoveMachine>(provisioner_.tick(now_, {{0, true, {}, {spot, plain}}}, records_)).size(), 1U);
}

// Its own share has nothing left, the cloud neither: another share's machine with room, which never ran
// empty, takes no more and comes to it. Not before it was passed over for long, and not where GPUs are in
// use.
TEST_F(ProvisionerTest, AJobThatWasPassedOverGetsRoomThatAnotherShareLeavesUnused) {
  share::Demand d = demand(2, 1, false, wire::Rank::low);
  auto busy = machine("i-000001", 0, 0), busier = machine("i-000002", 0, 0), gpu = machine("i-000003", 0, 0);
  records_["i-000003"].type = "gpu4";
  for (auto* m : {&busy, &busier, &gpu}) m->empty = false;
  busy.free.cpus = wire::to_units(6), busier.free.cpus = wire::to_units(3);
  gpu.free = types_[1].total, gpu.free.gpus = wire::to_units(1), gpu.highest_rank = wire::Rank::normal;
  share::Demand training = demand(1, 1, true, wire::Rank::normal);
  training.need.gpus = wire::to_units(4), training.type_mask = 2, training.shape = wire::Shape::gang;
  const std::vector<share::MachineState> others{busy, busier, gpu};
  for (const auto& t : types_)
    for (const auto& z : t.zones)
      for (const bool spot : {false, true})
        provisioner_.on_rent_result({t.name == "cpu8" ? 0U : 1U, z, spot, 1, 0}, 503, {}, now_);
  auto moves = [&](Micros now) {
    return only<MoveMachine>(
        provisioner_.tick(now, {{0, true, {training}, others}, {1, true, {d}, {}}}, records_));
  };
  EXPECT_TRUE(moves(now_).empty());
  d.starved = true;
  EXPECT_TRUE(moves(now_ + kSecond).empty());  // between two tasks there is always some
  const auto given = moves(now_ + 5 * kSecond);
  ASSERT_EQ(given.size(), 1U);
  EXPECT_EQ(given[0].machine, "i-000001");
  EXPECT_TRUE(given[0].drain);
  EXPECT_EQ(given[0].to, 1);
  EXPECT_EQ(given[0].rank, wire::Rank::low);  // what runs there may end
  // It takes longer than a drain lasts.
  EXPECT_TRUE(moves(now_ + 6 * kSecond).empty());
  const auto on = moves(now_ + 36 * kSecond);
  ASSERT_EQ(on.size(), 1U);
  EXPECT_EQ(on[0].machine, "i-000001");
}

// Machines that GPU work wants are not rented for other work, but where no other could hold it.
TEST_F(ProvisionerTest, WorkThatOnlyGpuMachinesHoldGetsOneWhileGpuWorkWaits) {
  share::Demand training = demand(1, 1, true, wire::Rank::normal);
  training.need.gpus = wire::to_units(4), training.type_mask = 2, training.shape = wire::Shape::gang;
  share::Demand large = demand(12, 1, true, wire::Rank::normal);
  large.shape = wire::Shape::gang, large.type_mask = 2;
  provisioner_.tick(now_, {{0, true, {training}, {}}}, records_);  // learns that the type is wanted
  int rented = 0;
  for (const auto& r :
       only<RentMachines>(provisioner_.tick(now_ + kSecond, {{1, true, {large}, {}}}, records_)))
    rented += r.count;
  EXPECT_EQ(rented, 1);
}

TEST(RentalIdempotencyKeys, GoOnAfterAPauseAndNeverRepeat) {
  // fresh-ff24: after a state outage the leader led again with its old epoch and counted from 1. The cloud
  // answered with machines that were long up, which were then deleted as stragglers.
  RentalIdempotencyKeys names;
  EXPECT_EQ(names.next(8), "e8-1");
  EXPECT_EQ(names.next(8), "e8-2");
  EXPECT_EQ(names.next(9), "e9-1");
  EXPECT_EQ(names.next(9), "e9-2");
}

TEST_F(ProvisionerTest, AMachineThatIsUpIsNoStraggler) {
  auto up = machine("i-000001", 0, 0);
  up.empty = false;
  provisioner_.on_rent_result({0, "z1", false, 1, 0}, 200, {"i-000001"}, now_);
  EXPECT_TRUE(
      only<DeleteMachines>(provisioner_.tick(now_ + 300 * kSecond, {{0, true, {}, {up}}}, records_)).empty());
}

}  // namespace
}  // namespace aspenwick::fleet
