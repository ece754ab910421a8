// The leader without sockets: which requests it sends to the cloud, and how it handles late and failed
// responses.
#include "app/leader.h"

#include <gtest/gtest.h>

#include <set>
#include <utility>

#include "fixtures.h"

namespace aspenwick::app {
namespace {

/// Keeps requests to the cloud until the test responds to them.
struct FakeCloud : net::Requester {
  struct Request {
    std::string path, body;
    net::ResponseCallback respond;
  };
  std::vector<Request> pending;
  void request(net::Method, const wire::Endpoint&, const std::string& path, const std::string& body, Micros,
               net::ResponseCallback done) override {
    pending.push_back({path, body, std::move(done)});
  }
  /// Removes all pending requests, and returns those whose path has the prefix.
  std::vector<Request> take_requests(const std::string& path) {
    std::vector<Request> out;
    for (auto& c : std::exchange(pending, {}))
      if (c.path.starts_with(path)) out.push_back(std::move(c));
    return out;
  }
};

struct LeaderTest : ::testing::Test {
  wire::PlatformSettings platform = wire::parse_settings(testing::settings_json().dump());
  std::vector<wire::MachineType> types;
  std::map<std::string, share::MachineRecord> machines;
  FakeCloud cloud;
  Micros now = 100 * kSecond;
  share::Demand demand;
  std::vector<share::Demand> further_demands;
  int types_received = 0;
  Leader leader{platform,
                {},
                types,
                machines,
                {[this] { return now; }, cloud,
                 [this] {
                   share::ShareReport report{0, true, {demand}, {}};
                   report.demands.insert(report.demands.end(), further_demands.begin(),
                                         further_demands.end());
                   return std::vector<share::ShareReport>{report};
                 },
                 [this](const auto&) { ++types_received; }, [](const auto&) {}, [](const auto&) {}}};
  void SetUp() override {
    demand.need = {wire::to_millionths(2), 0, wire::to_millionths(1)};
    demand.waiting = 8, demand.rank = wire::Rank::high, demand.slack_ms = 10'000;
  }
  /// Runs the leader for 90 s, refusing everything. Returns how often it requested a cpu8 machine.
  int requests_for_cpu8(std::uint64_t epoch) {
    int requested = 0;
    for (int pass = 0; pass < 180; ++pass) {
      run_pass(epoch);
      for (auto& request : cloud.take_requests("/")) {
        requested += request.path == "/rentals" && request.body.find("cpu8") != std::string::npos;
        request.respond(503, "");
      }
    }
    return requested;
  }
  /// Runs the leader half a second later.
  void run_pass(std::uint64_t epoch) {
    now += kSecond / 2;
    leader.run(epoch);
  }
};

TEST_F(LeaderTest, RequestsMachineTypesOneAtATimeBeforePlanning) {
  run_pass(1), run_pass(1), run_pass(1);
  auto type_requests = cloud.take_requests("/flavors");
  ASSERT_EQ(type_requests.size(), 1U);  // no second one while the first is pending
  type_requests[0].respond(503, "");
  EXPECT_EQ(types_received, 0);
  run_pass(1);
  type_requests = cloud.take_requests("/flavors");
  ASSERT_EQ(type_requests.size(), 1U);
  type_requests[0].respond(200, "not JSON");
  EXPECT_EQ(types_received, 0);
  EXPECT_TRUE(cloud.take_requests("/rentals").empty());
}

TEST_F(LeaderTest, AResponseFromAFormerTermCausesNoRepeatedRental) {
  types = testing::machine_types();
  for (int i = 0; i < 6; ++i) run_pass(1);
  std::vector<FakeCloud::Request> rental_requests;
  for (auto& c : cloud.take_requests("/rentals"))
    if (c.path == "/rentals") rental_requests.push_back(std::move(c));
  ASSERT_FALSE(rental_requests.empty());
  leader.step_down();
  // Too late: the next leader finds the machine in the list.
  rental_requests[0].respond(200, R"({"rigs":["i-000001"]})");
  for (int i = 0; i < 6; ++i) run_pass(2);
  std::set<std::string> bodies;
  for (const auto& c : rental_requests) bodies.insert(c.body);
  int repeated = 0;
  for (const auto& c : cloud.take_requests("/rentals"))
    if (c.path == "/rentals") repeated += !bodies.insert(c.body).second;
  EXPECT_EQ(repeated, 0);  // idempotency keys are never reused
}

TEST_F(LeaderTest, StaysWithinTheCloudsRequestRate) {
  types = testing::machine_types();
  demand.waiting = 100'000;
  std::size_t request_count = 0;
  for (int i = 0; i < 40; ++i) {
    run_pass(1);
    for (auto& c : cloud.take_requests("/")) c.respond(503, ""), ++request_count;
  }
  EXPECT_LE(static_cast<double>(request_count), 20 * platform.cloud_rps);
  EXPECT_GT(request_count, 5U);
}

// Guards against a job that gets no machine, though the cloud has some, because the retries for jobs before
// it take all requests that the cloud's rate limit allows.
TEST_F(LeaderTest, RefusedDemandsLeaveRequestsToTheOthers) {
  types = testing::machine_types();
  for (int i = 0; i < 12; ++i) {
    auto gpu = types[1];
    gpu.name += "-" + std::to_string(i), gpu.zones = platform.zones;
    types.push_back(gpu);
  }
  share::Demand last = demand;
  last.rank = wire::Rank::low, last.waiting = 1, last.type_mask = 1;
  demand.need.gpus = wire::to_millionths(1);
  std::uint64_t term = 0;
  for (const double requests_per_second : {3.0, 100.0})
    for (const auto shape : {wire::Shape::array, wire::Shape::gang, wire::Shape::service})
      for (const std::uint32_t waiting : {1U, 2000U}) {  // many jobs of one task, and one of many tasks
        platform.cloud_rps = requests_per_second;
        demand.shape = shape, demand.waiting = waiting;
        further_demands.assign(waiting == 1 ? 30 : 0, demand);
        further_demands.push_back(last);
        EXPECT_GT(requests_for_cpu8(++term), 0)
            << requests_per_second << " " << static_cast<int>(shape) << " " << waiting;
      }
}

}  // namespace
}  // namespace aspenwick::app
