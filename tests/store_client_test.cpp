// What the client of the state service makes of answers that come late, twice, or older than their questions.
#include <gtest/gtest.h>

#include <deque>
#include <utility>

#include "cluster_simulation.h"
#include "fixtures.h"
#include "store/client.h"

namespace aspenwick::store {
namespace {

/// Keeps requests until the test answers them.
struct Scripted : net::Requester {
  struct Call {
    std::string path;
    net::Answered done;
  };
  std::deque<Call> calls;
  void request(net::Method, const wire::Endpoint&, const std::string& path, const std::string&, Micros,
               net::Answered done) override {
    calls.push_back({path, std::move(done)});
  }
  Call take() {
    Call call = std::move(calls.front());
    calls.pop_front();
    return call;
  }
};

struct ClientTest : ::testing::Test {
  ClientTest() {
    client.watch("s/", {[](const std::vector<wire::Row>&, std::uint64_t) {},
                        [this](const std::vector<wire::Row>& rows) {
                          for (const auto& row : rows) told.push_back(row.version);
                        },
                        [this] { ++caught_up; }});
    http.take().done(200, R"({"rows":[],"hasNext":false,"ledgerRev":10})");
    watch = http.take();
    engine.run_for(3 * kSecond);
  }
  static std::string changes(std::uint64_t revision, const std::vector<std::uint64_t>& stamps) {
    wire::Json news = wire::Json::array();
    for (const auto stamp : stamps) news.push_back({{"set", "s/job/j-1"}, {"value", 1}, {"stamp", stamp}});
    return wire::Json{{"ledgerRev", revision}, {"news", news}}.dump();
  }
  Scripted::Call catch_up() {
    client.catch_up();
    EXPECT_EQ(http.calls.size(), 1U);
    return http.take();
  }
  wire::PlatformSettings platform = wire::parse_settings(testing::settings_json().dump());
  testing::SimulationEngine engine;
  testing::SimulatedLoop loop{engine};
  Scripted http;
  Client client{loop, http, platform};
  Scripted::Call watch;
  std::vector<std::uint64_t> told;
  int caught_up = 0;
};

TEST_F(ClientTest, AChangeIsToldOnceWhicheverAnswerBringsIt) {
  const Micros asked = engine.now;
  catch_up().done(200, changes(12, {11, 12}));
  EXPECT_EQ(client.watched(), 12U);
  EXPECT_EQ(client.watched_as_of(), asked);
  EXPECT_EQ(caught_up, 1);
  watch.done(200, changes(11, {11}));  // opened earlier, it comes later
  EXPECT_EQ(told, (std::vector<std::uint64_t>{11, 12}));
  EXPECT_EQ(client.watched(), 12U);
  EXPECT_EQ(client.watched_as_of(), asked);
}

TEST_F(ClientTest, AnAnswerOlderThanItsQuestionMakesNothingFresher) {
  const Micros as_of = client.watched_as_of();
  catch_up().done(200, changes(9, {}));
  watch.done(200, changes(8, {8}));
  EXPECT_EQ(client.old_answers(), 2U);
  EXPECT_EQ(client.watched_as_of(), as_of);
  EXPECT_EQ(client.watched(), 10U);
  EXPECT_TRUE(told.empty());
  EXPECT_EQ(caught_up, 0);
}

TEST_F(ClientTest, AFreshReadThatIsOlderThanItsQuestionFails) {
  std::vector<bool> read;
  auto done = [&](bool ok, const std::vector<wire::Row>&, std::uint64_t) { read.push_back(ok); };
  client.changes("s/job/", 10, done);
  http.take().done(200, changes(9, {}));
  client.changes("s/job/", 10, done);
  http.take().done(200, changes(10, {}));
  EXPECT_EQ(read, (std::vector<bool>{false, true}));
  EXPECT_EQ(client.old_answers(), 1U);
}

TEST_F(ClientTest, ADamagedAnswerMakesNothingFresher) {
  const Micros as_of = client.watched_as_of();
  catch_up().done(200, "{");
  EXPECT_EQ(client.watched_as_of(), as_of);
}

TEST_F(ClientTest, AnAnswerCountsFromItsQuestion) {
  const Micros asked = engine.now;
  auto late = catch_up();
  engine.run_for(57 * kSecond);  // the process stood still
  late.done(200, changes(10, {}));
  EXPECT_EQ(client.watched_as_of(), asked);
}

TEST_F(ClientTest, CatchesUpOnceASecondAndSoonerOnceRefused) {
  catch_up();
  client.catch_up();
  EXPECT_TRUE(http.calls.empty());
  engine.run_for(kSecond);
  catch_up().done(503, "{}");
  client.catch_up();
  EXPECT_TRUE(http.calls.empty());
  engine.run_for(250 * kMillisecond);
  catch_up();
}

TEST_F(ClientTest, DoesNotCatchUpAmongThePagesOfAList) {
  auto late = catch_up();
  watch.done(410, "{}");
  ASSERT_TRUE(http.calls.front().path.starts_with("/kv?"));
  engine.run_for(2 * kSecond);
  client.catch_up();
  EXPECT_EQ(http.calls.size(), 1U);
  late.done(200, changes(12, {11, 12}));
  EXPECT_TRUE(told.empty());
  EXPECT_EQ(client.watched(), 10U);
}

}  // namespace
}  // namespace aspenwick::store
