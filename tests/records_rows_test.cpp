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
  Engine engine;
  NodeLoop loop{engine};
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
  EXPECT_EQ(records.missing({}, 11), std::vector<std::string>{"s/machine/i-1"});
  EXPECT_EQ(records.missing({}, 12).size(), 2U);
  EXPECT_TRUE(shares.missing({}, 11, false).empty());
  EXPECT_EQ(shares.missing({}, 12, false), std::vector<std::string>{"s/holder/1"});
}

}  // namespace
}  // namespace aspenwick::testing
