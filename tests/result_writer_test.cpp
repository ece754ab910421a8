// An owner moves a machine to another share while a response of the state service is lost and its epoch is
// raised.
#include "app/result_writer.h"

#include <algorithm>
#include <deque>

#include "node_fixture.h"

namespace aspenwick::testing {
namespace {

/// Node a, which owns share 0 with one empty machine. The test responds to its requests.
struct ResultWriterTest : NodeTest {
  struct Request {
    net::Method method;
    std::string path, body;
    net::ResponseCallback respond;
  };
  struct ManualRequester : net::Requester {
    std::deque<Request> pending;
    void request(net::Method method, const wire::Endpoint&, const std::string& path, const std::string& body,
                 Micros, net::ResponseCallback respond) override {
      pending.push_back({method, path, body, std::move(respond)});
    }
    /// Removes and returns the first request whose path or body contains the text; the test fails if there is
    /// none.
    Request take(const std::string& text) {
      const auto it = std::find_if(pending.begin(), pending.end(), [&](const Request& r) {
        return (r.path + " " + r.body).find(text) != std::string::npos;
      });
      if (it == pending.end()) {
        ADD_FAILURE() << "no pending request contains " << text;
        return {net::Method::get, "", "", [](int, const std::string&) {}};
      }
      Request found = std::move(*it);
      pending.erase(it);
      return found;
    }
  };
  ResultWriterTest() {
    for (const auto& type : job::types_to_rows(machine_types(), platform.value_size_limit()))
      records.apply({"s/types", type, 2, false});
    records.apply({"s/machine/i-1", machine_json(0), 3, false});
    records.mark_synced();
    shares.ownership().lease_granted(kLease, engine.now);
    shares.apply({"s/token/0", {{"n", 5}}, 4, false});
    shares.apply({"s/holder/0", share::owner_to_json({"a", kLease, 5, 4}), 4, false});
    shares.sync_controllers();
    http.take("/kv?under=p/0/").respond(200, R"({"rows":[],"hasNext":false,"ledgerRev":4})");
    wire::WorkerReport report;
    report.machine = "i-1", report.address = "127.0.0.1:9", report.type = "cpu8", report.zone = "z1";
    report.session = report.seq = 1, report.token = 5ULL << place::kEpochShift;
    shares.find(0)->controller->on_report(report, engine.now, place::StartRefusal::none);
  }
  static app::OperatorSettings settings_that_raise_the_epoch_at_once() {
    app::OperatorSettings s;
    s.attempts_per_epoch = 0;
    return s;
  }
  static wire::Json machine_json(int share) {
    share::MachineRecord m;
    m.address = "127.0.0.1:9", m.type = "cpu8", m.zone = "z1", m.share = share, m.epoch = 1;
    return share::machine_to_json(m);
  }
  /// Whether share 0 may place tasks on the machine.
  bool is_usable() {
    for (const auto& state : shares.find(0)->controller->machine_states(engine.now))
      if (state.id == "i-1") return state.usable;
    return false;
  }
  /// Starts the move to share 1, whose commit gets no response, and then raises the epoch.
  void start_move_and_raise_epoch() {
    records.refresh_jobs([](bool) {});  // owners act only on records that were read recently
    engine.run_for(100 * kMillisecond);
    http.take("/changes?under=s/job/").respond(200, R"({"news":[],"ledgerRev":9})");
    ASSERT_TRUE(is_usable());
    writer.move_machine("i-1", 1);
    engine.run_for(100 * kMillisecond);
    http.take("\"s/machine/i-1\"").respond(0, "");
    EXPECT_FALSE(is_usable());
    shares.tick();
    engine.run_for(200 * kMillisecond);
    http.take("\"s/token/0\"").respond(200, R"({"ledgerRev":30})");
    EXPECT_EQ(shares.find(0)->epoch, 6U);
    engine.run_for(1100 * kMillisecond);
    EXPECT_FALSE(is_usable());  // not before the machine's row has been read
  }
  void respond_with_row(int share, std::uint64_t revision) {
    const wire::Json row{{"path", "s/machine/i-1"}, {"value", machine_json(share)}, {"stamp", revision}};
    http.take("/kv/s/machine/i-1").respond(200, row.dump());
  }

  static constexpr std::uint64_t kLease = 7;
  wire::PlatformSettings platform = wire::parse_settings(settings_json().dump());
  app::OperatorSettings settings = settings_that_raise_the_epoch_at_once();
  SimulationEngine engine;
  SimulatedLoop loop{engine};
  ManualRequester http;
  store::Client store{loop, http, platform};
  app::Records records{platform,
                       {loop, store, [](const std::string&, const job::JobRecord&) {},
                        [](const std::string&, std::uint64_t) {}}};
  app::OwnedShares shares{platform, settings, {loop, store, records, [] {}}};
  app::ResultWriter writer{platform, {loop, store, records, shares, [] {}}};
};

// The commit of a move is executed and its response lost; then the owner's epoch is raised, before the watch
// delivers the move. The machine was taken for not moved and used again, although its row named another
// share. When the watch delivered the move, its tasks were freed while they ran. The raised epoch rejects
// only commits that arrive after it; earlier ones may have been executed.
TEST_F(ResultWriterTest, AMoveCommittedBeforeTheEpochWasRaisedIsNotTakenForRejected) {
  start_move_and_raise_epoch();
  respond_with_row(1, 10);
  EXPECT_FALSE(is_usable());
}

TEST_F(ResultWriterTest, AMoveNotCommittedBeforeTheEpochWasRaisedIsRejected) {
  start_move_and_raise_epoch();
  http.take("/kv/s/machine/i-1").respond(503, "");
  engine.run_for(kSecond);
  EXPECT_FALSE(is_usable());  // the read of the row failed
  respond_with_row(0, 3);
  EXPECT_TRUE(is_usable());
}

}  // namespace
}  // namespace aspenwick::testing
