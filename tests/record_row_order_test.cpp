// Rows and removals that reach a node out of the order of their revisions.
#include "app/owned_shares.h"
#include "app/records.h"
#include "node_fixture.h"

namespace aspenwick::testing {
namespace {

/// A node's records and owner keys, with a state service that never answers.
struct RecordRowOrderTest : NodeTest {
  struct NullRequester : net::Requester {
    void request(net::Method, const wire::Endpoint&, const std::string&, const std::string&, Micros,
                 net::ResponseCallback) override {}
  };
  static share::MachineRecord machine_record(const std::string& id, std::uint64_t version) {
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
  NullRequester http;
  store::Client store{loop, http, platform};
  app::Records records{platform,
                       {loop, store, [](const std::string&, const job::JobRecord&) {},
                        [](const std::string&, std::uint64_t) {}}};
  app::OwnedShares shares{platform, {}, {loop, store, records, [] {}}};
};

// All keys are read again, in several pages, and a machine is recorded after the first page was read. The
// machine was on none of the pages, so it was taken for removed, and its tasks were freed until the watch
// delivered its record again. A list of several pages is not a snapshot: a missing key counts as removed only
// if its last known revision isn't newer than the first page.
TEST_F(RecordRowOrderTest, KeysNewerThanTheFirstPageOfAListAreNotTakenForRemoved) {
  records.add_machine(machine_record("i-1", 10));
  records.add_machine(machine_record("i-2", 12));
  shares.apply(owner_row(3, 12));
  EXPECT_EQ(records.missing_keys({}, 11), std::vector<std::string>{"s/machine/i-1"});
  EXPECT_EQ(records.missing_keys({}, 12).size(), 2U);
  EXPECT_TRUE(shares.missing_keys({}, 11, false).empty());
  EXPECT_EQ(shares.missing_keys({}, 12, false), std::vector<std::string>{"s/holder/1"});
}

// A node learns of its own raised epoch from the response to the commit, before the watch delivers it, and
// pages of a list may be older. When the row that arrived last won, whatever its revision, an older row
// replaced a newer one: an owner with the raised epoch no longer counted as the owner, or a removed key
// reappeared.
TEST_F(RecordRowOrderTest, OlderRowsOfAnOwnerKeyAreIgnored) {
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
