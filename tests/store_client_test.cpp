// How the client of the state service handles responses that are late, repeated, or older than their
// requests.
#include <gtest/gtest.h>

#include <deque>
#include <utility>

#include "cluster_simulation.h"
#include "fixtures.h"
#include "store/client.h"

namespace aspenwick::store {
namespace {

/// Keeps requests until the test responds to them.
struct ManualRequester : net::Requester {
  struct Request {
    std::string path;
    net::ResponseCallback respond;
  };
  std::deque<Request> pending;
  void request(net::Method, const wire::Endpoint&, const std::string& path, const std::string&, Micros,
               net::ResponseCallback done) override {
    pending.push_back({path, std::move(done)});
  }
  Request take() {
    Request taken = std::move(pending.front());
    pending.pop_front();
    return taken;
  }
};

struct StoreClientTest : ::testing::Test {
  StoreClientTest() {
    client.watch("s/", {[](const std::vector<wire::Row>&, std::uint64_t) {},
                        [this](const std::vector<wire::Row>& rows) {
                          for (const auto& row : rows) delivered.push_back(row.version);
                        },
                        [this] { ++catch_up_callbacks; }});
    http.take().respond(200, R"({"rows":[],"hasNext":false,"ledgerRev":10})");
    watch = http.take();
    engine.run_for(3 * kSecond);
  }
  /// The body of a response with changes of one key, at these revisions.
  static std::string changes(std::uint64_t revision, const std::vector<std::uint64_t>& row_revisions) {
    wire::Json news = wire::Json::array();
    for (const auto row_revision : row_revisions)
      news.push_back({{"set", "s/job/j-1"}, {"value", 1}, {"stamp", row_revision}});
    return wire::Json{{"ledgerRev", revision}, {"news", news}}.dump();
  }
  ManualRequester::Request catch_up() {
    client.catch_up();
    EXPECT_EQ(http.pending.size(), 1U);
    return http.take();
  }
  wire::PlatformSettings platform = wire::parse_settings(testing::settings_json().dump());
  testing::SimulationEngine engine;
  testing::SimulatedLoop loop{engine};
  ManualRequester http;
  Client client{loop, http, platform};
  ManualRequester::Request watch;
  std::vector<std::uint64_t> delivered;
  int catch_up_callbacks = 0;
};

TEST_F(StoreClientTest, AChangeIsDeliveredOnceWhicheverResponseBringsIt) {
  const Micros requested_at = engine.now;
  catch_up().respond(200, changes(12, {11, 12}));
  EXPECT_EQ(client.watched_revision(), 12U);
  EXPECT_EQ(client.watched_as_of(), requested_at);
  EXPECT_EQ(catch_up_callbacks, 1);
  watch.respond(200, changes(11, {11}));  // sent before the other request, answered after it
  EXPECT_EQ(delivered, (std::vector<std::uint64_t>{11, 12}));
  EXPECT_EQ(client.watched_revision(), 12U);
  EXPECT_EQ(client.watched_as_of(), requested_at);
}

TEST_F(StoreClientTest, AResponseOlderThanItsRequestIsIgnored) {
  const Micros as_of = client.watched_as_of();
  catch_up().respond(200, changes(9, {}));
  watch.respond(200, changes(8, {8}));
  EXPECT_EQ(client.stale_responses(), 2U);
  EXPECT_EQ(client.watched_as_of(), as_of);
  EXPECT_EQ(client.watched_revision(), 10U);
  EXPECT_TRUE(delivered.empty());
  EXPECT_EQ(catch_up_callbacks, 0);
}

TEST_F(StoreClientTest, AReadWithAnOlderRevisionThanRequestedFails) {
  std::vector<bool> results;
  auto done = [&](bool ok, const std::vector<wire::Row>&, std::uint64_t) { results.push_back(ok); };
  client.changes("s/job/", 10, done);
  http.take().respond(200, changes(9, {}));
  client.changes("s/job/", 10, done);
  http.take().respond(200, changes(10, {}));
  EXPECT_EQ(results, (std::vector<bool>{false, true}));
  EXPECT_EQ(client.stale_responses(), 1U);
}

TEST_F(StoreClientTest, AMalformedResponseIsIgnored) {
  const Micros as_of = client.watched_as_of();
  catch_up().respond(200, "{");
  EXPECT_EQ(client.watched_as_of(), as_of);
}

TEST_F(StoreClientTest, AResponseCountsAsOfWhenItWasRequested) {
  const Micros requested_at = engine.now;
  auto late_request = catch_up();
  engine.run_for(57 * kSecond);  // the process was suspended
  late_request.respond(200, changes(10, {}));
  EXPECT_EQ(client.watched_as_of(), requested_at);
}

TEST_F(StoreClientTest, CatchesUpAtMostOnceASecondAndSoonerAfterARejection) {
  catch_up();
  client.catch_up();
  EXPECT_TRUE(http.pending.empty());
  engine.run_for(kSecond);
  catch_up().respond(503, "{}");
  client.catch_up();
  EXPECT_TRUE(http.pending.empty());
  engine.run_for(250 * kMillisecond);
  catch_up();
}

TEST_F(StoreClientTest, DoesNotCatchUpWhileAListIsBeingRead) {
  auto late_request = catch_up();
  watch.respond(410, "{}");
  ASSERT_TRUE(http.pending.front().path.starts_with("/kv?"));
  engine.run_for(2 * kSecond);
  client.catch_up();
  EXPECT_EQ(http.pending.size(), 1U);
  late_request.respond(200, changes(12, {11, 12}));
  EXPECT_TRUE(delivered.empty());
  EXPECT_EQ(client.watched_revision(), 10U);
}

}  // namespace
}  // namespace aspenwick::store
