// The leader's errands without sockets: what it asks of the cloud, and what it makes of late or refused
// answers.
#include "app/leader.h"

#include <gtest/gtest.h>

#include <set>
#include <utility>

#include "fixtures.h"

namespace aspenwick::app {
namespace {

struct Cloud : net::Requester {
  struct Call {
    std::string path, body;
    net::ResponseCallback done;
  };
  std::vector<Call> calls;
  void request(net::Method, const wire::Endpoint&, const std::string& path, const std::string& body, Micros,
               net::ResponseCallback done) override {
    calls.push_back({path, body, std::move(done)});
  }
  std::vector<Call> take(const std::string& path) {
    std::vector<Call> out;
    for (auto& c : std::exchange(calls, {}))
      if (c.path.starts_with(path)) out.push_back(std::move(c));
    return out;
  }
};

struct LeaderTest : ::testing::Test {
  wire::PlatformSettings platform = wire::parse_settings(testing::settings_json().dump());
  std::vector<wire::MachineType> types;
  std::map<std::string, share::MachineRecord> machines;
  Cloud cloud;
  Micros now = 100 * kSecond;
  share::Demand waiting;
  int found = 0;
  Leader leader{platform,
                {},
                types,
                machines,
                {[this] { return now; }, cloud,
                 [this] {
                   return std::vector<share::ShareReport>{{0, true, {waiting}, {}}};
                 },
                 [this](const auto&) { ++found; }, [](const auto&) {}, [](const auto&) {}}};
  void SetUp() override {
    waiting.need = {wire::to_millionths(2), 0, wire::to_millionths(1)};
    waiting.waiting = 8, waiting.rank = wire::Rank::high, waiting.slack_ms = 10'000;
  }
  void lead(std::uint64_t epoch) {
    now += kSecond / 2;
    leader.run(epoch);
  }
};

TEST_F(LeaderTest, ReadsTheTypesOnceBeforeItPlansAnything) {
  lead(1), lead(1), lead(1);
  auto asked = cloud.take("/flavors");
  ASSERT_EQ(asked.size(), 1U);  // none while one is on its way
  asked[0].done(503, "");
  EXPECT_EQ(found, 0);
  lead(1);
  asked = cloud.take("/flavors");
  ASSERT_EQ(asked.size(), 1U);
  asked[0].done(200, "not JSON");
  EXPECT_EQ(found, 0);
  EXPECT_TRUE(cloud.take("/rentals").empty());
}

TEST_F(LeaderTest, AnAnswerToAFormerTimeOfLeadingRentsNothingTwice) {
  types = testing::machine_types();
  for (int i = 0; i < 6; ++i) lead(1);
  std::vector<Cloud::Call> rents;
  for (auto& c : cloud.take("/rentals"))
    if (c.path == "/rentals") rents.push_back(std::move(c));
  ASSERT_FALSE(rents.empty());
  leader.step_down();
  rents[0].done(200, R"({"rigs":["i-000001"]})");  // too late: the next leader finds it in the list
  for (int i = 0; i < 6; ++i) lead(2);
  std::set<std::string> bodies;
  for (const auto& c : rents) bodies.insert(c.body);
  int again = 0;
  for (const auto& c : cloud.take("/rentals"))
    if (c.path == "/rentals") again += !bodies.insert(c.body).second;
  EXPECT_EQ(again, 0);  // names of requests are never used twice
}

TEST_F(LeaderTest, KeepsToTheCloudsRate) {
  types = testing::machine_types();
  waiting.waiting = 100'000;
  std::size_t calls = 0;
  for (int i = 0; i < 40; ++i) {
    lead(1);
    for (auto& c : cloud.take("/")) c.done(503, ""), ++calls;
  }
  EXPECT_LE(static_cast<double>(calls), 20 * platform.cloud_rps);
  EXPECT_GT(calls, 5U);
}

}  // namespace
}  // namespace aspenwick::app
