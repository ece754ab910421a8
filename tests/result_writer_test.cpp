// An owner that gives a machine away while answers of the state service are lost and its epoch is raised.
#include "app/result_writer.h"

#include <algorithm>
#include <deque>

#include "node_fixture.h"

namespace aspenwick::testing {
namespace {

/// Node a with share 0 and one empty machine; its requests are answered by hand.
struct ResultWriterTest : NodeTest {
  struct Request {
    net::Method method;
    std::string path, body;
    net::Answered done;
  };
  struct Scripted : net::Requester {
    std::deque<Request> waiting;
    void request(net::Method method, const wire::Endpoint&, const std::string& path, const std::string& body,
                 Micros, net::Answered done) override {
      waiting.push_back({method, path, body, std::move(done)});
    }
    /// The first request whose path or body has the text; none: a failure.
    Request take(const std::string& text) {
      const auto it = std::find_if(waiting.begin(), waiting.end(), [&](const Request& r) {
        return (r.path + " " + r.body).find(text) != std::string::npos;
      });
      if (it == waiting.end()) {
        ADD_FAILURE() << "nothing asked about " << text;
        return {net::Method::get, "", "", [](int, const std::string&) {}};
      }
      Request found = std::move(*it);
      waiting.erase(it);
      return found;
    }
  };
  ResultWriterTest() {
    for (const auto& type : job::types_to_rows(machine_types(), platform.value_room()))
      records.apply({"s/types", type, 2, false});
    records.apply({"s/machine/i-1", machine(0), 3, false});
    records.mark_synced();
    shares.ownership().lease_granted(kLease, engine.now);
    shares.apply({"s/token/0", {{"n", 5}}, 4, false});
    shares.apply({"s/holder/0", share::owner_to_json({"a", kLease, 5, 4}), 4, false});
    shares.sync_controllers();
    http.take("/kv?under=p/0/").done(200, R"({"rows":[],"hasNext":false,"ledgerRev":4})");
    wire::WorkerReport report;
    report.machine = "i-1", report.address = "127.0.0.1:9", report.type = "cpu8", report.zone = "z1";
    report.session = report.seq = 1, report.token = 5ULL << place::kEpochShift;
    shares.find(0)->controller->on_report(report, engine.now, place::StartRefusal::none);
  }
  static app::OperatorSettings with_epochs_raised_at_once() {
    app::OperatorSettings s;
    s.attempts_per_epoch = 0;
    return s;
  }
  static wire::Json machine(int share) {
    share::MachineRecord m;
    m.address = "127.0.0.1:9", m.type = "cpu8", m.zone = "z1", m.share = share, m.epoch = 1;
    return share::machine_to_json(m);
  }
  /// The machine may take tasks of our share.
  bool used() {
    for (const auto& state : shares.find(0)->controller->machine_states(engine.now))
      if (state.id == "i-1") return state.usable;
    return false;
  }
  void move_while_the_epoch_is_raised() {
    records.refresh_jobs([](bool) {});  // what an owner acts on is to be fresh
    engine.run_for(100 * kMillisecond);
    http.take("/changes?under=s/job/").done(200, R"({"news":[],"ledgerRev":9})");
    ASSERT_TRUE(used());
    writer.move_machine("i-1", 1);
    engine.run_for(100 * kMillisecond);
    http.take("\"s/machine/i-1\"").done(0, "");
    EXPECT_FALSE(used());
    shares.tick();
    engine.run_for(200 * kMillisecond);
    http.take("\"s/token/0\"").done(200, R"({"ledgerRev":30})");
    EXPECT_EQ(shares.find(0)->epoch, 6U);
    engine.run_for(1100 * kMillisecond);
    EXPECT_FALSE(used());  // not before the row is read
  }
  void answer_with_row(int share, std::uint64_t revision) {
    const wire::Json row{{"path", "s/machine/i-1"}, {"value", machine(share)}, {"stamp", revision}};
    http.take("/kv/s/machine/i-1").done(200, row.dump());
  }

  static constexpr std::uint64_t kLease = 7;
  wire::PlatformSettings platform = wire::parse_settings(settings_json().dump());
  app::OperatorSettings settings = with_epochs_raised_at_once();
  SimulationEngine engine;
  SimulatedLoop loop{engine};
  Scripted http;
  store::Client store{loop, http, platform};
  app::Records records{platform,
                       {loop, store, [](const std::string&, const job::JobRecord&) {},
                        [](const std::string&, std::uint64_t) {}}};
  app::OwnedShares shares{platform, settings, {loop, store, records, [] {}}};
  app::ResultWriter writer{platform, {loop, store, records, shares, [] {}}};
};

// The commit of a move is executed and its answer lost; then the owner's epoch is raised, ahead of the watch.
// What happened: the machine counted as surely not moved and was used again, though its row names another
// share: its tasks were then freed, while they ran, when the watch told of the move. Why: that a new key
// refuses further tries says nothing of those made before it.
TEST_F(ResultWriterTest, AMoveThatWasExecutedBeforeTheEpochRoseIsNotTakenForRefused) {
  move_while_the_epoch_is_raised();
  answer_with_row(1, 10);
  EXPECT_FALSE(used());
}

TEST_F(ResultWriterTest, AMoveThatWasNotExecutedBeforeTheEpochRoseIsRefusedForGood) {
  move_while_the_epoch_is_raised();
  http.take("/kv/s/machine/i-1").done(503, "");
  engine.run_for(kSecond);
  EXPECT_FALSE(used());  // the row was not read
  answer_with_row(0, 3);
  EXPECT_TRUE(used());
}

}  // namespace
}  // namespace aspenwick::testing
