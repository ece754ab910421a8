// Rows and removals that reach a node in other orders than their revisions.
#include "app/owned_shares.h"
#include "app/records.h"
#include "node_fixture.h"

namespace aspenwick::testing {
namespace {

/// A node's records and keys, with a state service that never answers.
struct RowsTest : NodeTest {
  struct Silent : net::Requester {
    void request(net::Method, const wire::Endpoint&, const std::string&, const std::string&, Micros,
                 net::Answered) override {}
  };
  static share::MachineRecord machine(const std::string& id, std::uint64_t version) {
    share::MachineRecord m;
    m.id = id, m.address = "127.0.0.1:9", m.type = "cpu8", m.zone = "z1", m.share = 0, m.version = version;
    return m;
  }
  static wire::Row owner_row(std::uint64_t epoch, std::uint64_t version) {
    return {"s/holder/1", share::owner_to_json({"b", 7, epoch, version}), version, false};
  }
  wire::PlatformSettings platform = wire::parse_settings(settings_json().dump());
  SimulationEngine engine;
  SimulatedLoop loop{engine};
  Silent http;
  store::Client store{loop, http, platform};
  app::Records records{platform,
                       {loop, store, [](const std::string&, const job::JobRecord&) {},
                        [](const std::string&, std::uint64_t) {}}};
  app::OwnedShares shares{platform, {}, {loop, store, records, [] {}}};
};

// All keys are read again, in many pages, and a machine is recorded after the first.
// What happened: it is on none of the pages, was taken for removed, and its tasks were freed until the watch
// told of it again. Why: a list of many pages is no snapshot, and a removal was not compared by revision.
TEST_F(RowsTest, WhatIsNewerThanTheFirstPageOfAListWasNotRemovedBeforeIt) {
  records.add_machine(machine("i-1", 10));
  records.add_machine(machine("i-2", 12));
  shares.apply(owner_row(3, 12));
  EXPECT_EQ(records.missing_keys({}, 11), std::vector<std::string>{"s/machine/i-1"});
  EXPECT_EQ(records.missing_keys({}, 12).size(), 2U);
  EXPECT_TRUE(shares.missing_keys({}, 11, false).empty());
  EXPECT_EQ(shares.missing_keys({}, 12, false), std::vector<std::string>{"s/holder/1"});
}

// Our own raised epoch is known by its commit's answer, ahead of the watch; pages of a list may be older than
// that. What happened: the older row replaced the newer one, so that an owner with the raised epoch no longer
// counted as the owner, or a key that was gone came back. Why: the last row told counted, whatever its
// revision.
TEST_F(RowsTest, AnOlderRowOfAnOwnersKeyChangesNothing) {
  shares.apply(owner_row(3, 12));
  shares.apply(owner_row(2, 9));
  ASSERT_NE(shares.ownership().owner(1), nullptr);
  EXPECT_EQ(shares.ownership().owner(1)->epoch, 3U);
  shares.apply({"s/holder/1", nullptr, 11, true});
  ASSERT_NE(shares.ownership().owner(1), nullptr);
  shares.apply({"s/holder/1", nullptr, 13, true});
  EXPECT_EQ(shares.ownership().owner(1), nullptr);
  shares.apply(owner_row(3, 12));
  EXPECT_EQ(shares.ownership().owner(1), nullptr);
  shares.apply(owner_row(4, 14));
  ASSERT_NE(shares.ownership().owner(1), nullptr);
  shares.apply({"s/leader", share::owner_to_json({"b", 7, 5, 20}), 20, false});
  shares.apply({"s/leader", share::owner_to_json({"c", 8, 4, 19}), 19, false});
  EXPECT_EQ(shares.ownership().leader()->node, "b");
}

}  // namespace
}  // namespace aspenwick::testing
