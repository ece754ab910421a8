// What users send, field by field, and what they are told when records, reads and answers come in any order.
#include <algorithm>
#include <limits>

#include "app/records.h"
#include "simulated_users.h"

namespace aspenwick::testing {
namespace {

using net::Method;

struct RequestsTest : NodeTest {
  /// Whether anything of the job was written.
  static bool written(const ClusterSimulation& w, const std::string& id) {
    return std::any_of(w.sent_commits.begin(), w.sent_commits.end(),
                       [&](const auto& text) { return text.find(id) != std::string::npos; });
  }
};

// Each field left out, null, of another type, out of range: 400 with a reason that names it, or 422 for what
// can never run; never a 5xx, and nothing is written. What may be null may be left out (PROTOCOL).
TEST_F(RequestsTest, NothingIsAcceptedThatLacksAFieldOrCanNeverRun) {
  ClusterSimulation w;
  w.engine.run_for(20 * kSecond);
  const Json gone = Json(Json::value_t::discarded);
  const std::vector<Json> odd_texts{
      gone, nullptr, 1, true, "", Json::array(), Json::object(), std::string(300, 'x')};
  const std::vector<Json> odd_amounts{gone, nullptr, "1",           true,          -1,
                                      -0.5, 1e12,    Json::array(), Json::object()};
  const std::vector<Json> odd_flags{gone, nullptr, 0, 1, "true", Json::array()};
  const std::vector<Json> odd_counts{
      gone, nullptr, "4", 0, -1, 1.5, 100'001, 1e30, true, Json::array(), 18446744073709551615ULL};
  struct Row {
    const char* field;
    std::vector<Json> values;
  };
  std::vector<Row> rows{{"nameId", {gone, nullptr, 7, "", "j-", "x-1", "j-1a", "j-1/2", Json::array()}},
                        {"pieces", odd_counts},
                        {"rigtypes", {"cpu8", 1, true, Json::object(), {1}, {nullptr}, {"cpu8", 2}}},
                        {"site", {1, true, "", Json::array(), std::string(300, 'x')}},
                        {"dueS", {"1", true, -1, 1e12, Json::array()}},
                        {"waitsOn", {"j-1", 1, Json::object(), {1}, {"x-1"}, {""}}}};
  for (const char* f : {"jobclass", "owner", "shape", "rank"}) rows.push_back({f, odd_texts});
  for (const char* f : {"shape", "rank"}) rows.push_back({f, {"some", "Array", "LOW"}});
  auto bundle = odd_texts;  // no image at all is one
  std::erase(bundle, Json(""));
  rows.push_back({"bundle", bundle});
  for (const char* f : {"vcpus", "cards", "ramGb", "sizeGb", "guessS", "snapshotEveryS", "snapshotS"})
    rows.push_back({f, odd_amounts});
  for (const char* f : {"together", "spread", "loaner"}) rows.push_back({f, odd_flags});
  int n = 500'000;
  for (const auto& row : rows)
    for (const auto& value : row.values) {
      const std::string id = "j-" + std::to_string(++n);
      auto j = job(id, 1);
      if (value.is_discarded())
        j.erase(row.field);
      else
        j[row.field] = value;
      const auto told = w.call("a", Method::post, "/v1/jobs", j);
      EXPECT_EQ(told.status, 400) << j.dump();
      EXPECT_NE(told.body.value("error", "").find(row.field), std::string::npos) << told.body << j.dump();
      EXPECT_FALSE(written(w, id)) << j.dump();
    }
  // Twice, one of them good: whoever reads the job elsewhere may take the other one.
  for (const char* twice : {R"("vcpus":1.0,)", R"("rank":"production",)", R"("site":"z1",)"}) {
    const std::string id = "j-" + std::to_string(++n);
    std::string text = job(id, 1).dump();
    text.insert(1, twice);
    EXPECT_EQ(w.call_text("b", Method::post, "/v1/jobs", text).status, 400) << text;
    EXPECT_FALSE(written(w, id));
  }
  for (const char* text : {"", "{", "[]", "null", "1", "{\"nameId\":", "\xff\xfe"})
    EXPECT_EQ(w.call_text("b", Method::post, "/v1/jobs", text).status, 400) << text;

  struct Never {
    const char* field;
    Json value;
  };
  for (const auto& [field, value] : std::vector<Never>{{"owner", "nobody"},
                                                       {"vcpus", 17.0},
                                                       {"cards", 5.0},
                                                       {"ramGb", 65.0},
                                                       {"rigtypes", Json::array()},
                                                       {"rigtypes", {"no such"}},
                                                       {"site", "z9"},
                                                       {"waitsOn", {"j-499999"}}}) {
    const std::string id = "j-" + std::to_string(++n);
    auto j = job(id, 1);
    j[field] = value;
    const auto told = w.call("a", Method::post, "/v1/jobs", j);
    EXPECT_EQ(told.status, 422) << j.dump();
    EXPECT_FALSE(told.body.value("error", "").empty());
    EXPECT_FALSE(written(w, id)) << j.dump();
  }
  for (const char* shape : {"group", "service"}) {  // an array is limited task by task
    const std::string id = "j-" + std::to_string(++n);
    auto j = job(id, 5);
    j["owner"] = "tight", j["shape"] = shape;
    EXPECT_EQ(w.call("c", Method::post, "/v1/jobs", j).status, 422) << j.dump();
    EXPECT_FALSE(written(w, id));
  }
  auto spread = job("j-600000", 2);  // at most one of the two in a zone, and they have one zone
  spread["shape"] = "group", spread["spread"] = true, spread["site"] = "z1";
  EXPECT_EQ(w.call("c", Method::post, "/v1/jobs", spread).status, 422);
  spread["site"] = nullptr, spread["together"] = true;
  EXPECT_EQ(w.call("c", Method::post, "/v1/jobs", spread).status, 422);

  // What may be null may be left out.
  auto least = job("j-600001", 1);
  for (const char* f : {"rigtypes", "site", "dueS"}) least.erase(f);
  EXPECT_EQ(w.call("a", Method::post, "/v1/jobs", least).status, 201);
}

// A retry of an accepted job is never refused: not by a node that has not heard of it yet, whatever it makes
// of the job itself by its own limits, types and records.
TEST_F(RequestsTest, ARetryOfAnAcceptedJobIsNeverRefused) {
  ClusterSimulation w;
  w.engine.run_for(20 * kSecond);
  EXPECT_EQ(w.call("a", Method::post, "/v1/jobs", job("j-1", 1)).status, 201);
  w.engine.run_for(kSecond);
  // Accepted elsewhere a moment ago, while the limits and types were others: no watch has told of it.
  auto large = job("j-2", 1);
  large["vcpus"] = 17.0;
  auto record = w.store.keys.at("s/job/j-1").value;
  record["spec"] = large;
  w.store.set_key("s/job/j-2", record, 0);
  EXPECT_EQ(w.call("b", Method::post, "/v1/jobs", large).status, 200);
  auto bad = job("j-3", 1);
  bad["waitsOn"] = 1;
  w.store.set_key("s/job/j-3", record, 0);
  EXPECT_EQ(w.call("b", Method::post, "/v1/jobs", bad).status, 200);
  // While the state service can't be asked nothing is refused for good either.
  auto unknown = job("j-4", 1);
  unknown["vcpus"] = 17.0;
  w.nodes_refused_by_state_service = {"b"};
  EXPECT_EQ(w.call("b", Method::post, "/v1/jobs", unknown).status, 503);
}

// Our commit was executed, the answer comes late, and the user was told by another node meanwhile that the
// job is over: what we tell then is not that it is queued.
TEST_F(RequestsTest, ALateAnswerTellsTheNewestThatIsKnown) {
  ClusterSimulation w;
  w.engine.run_for(20 * kSecond);
  w.state_service_latency = 1900 * kMillisecond;
  std::vector<Response> told;
  w.send("b", Method::post, "/v1/jobs", job("j-1", 1), [&](const Response& a) { told.push_back(a); });
  w.engine.run_for(100 * kMillisecond);
  ASSERT_TRUE(w.store.keys.contains("s/job/j-1"));
  w.state_service_latency = 0;
  EXPECT_EQ(w.call("c", Method::post, "/v1/jobs/j-1/withdraw").body.value("status", ""), "withdrawn");
  ASSERT_TRUE(told.empty());
  w.engine.run_for(2 * kSecond);
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].body.value("status", ""), "withdrawn");
}

// The owner's word on a job takes its time, and the job is called off at the node that asked: it is not told
// as queued after that.
TEST_F(RequestsTest, APeersLateWordTellsNothingOlder) {
  ClusterSimulation w;
  w.run_time = 600 * kSecond;
  w.engine.run_for(20 * kSecond);
  EXPECT_EQ(w.call("a", Method::post, "/v1/jobs", job("j-1", 1)).status, 201);
  w.engine.run_for(30 * kSecond);
  int held_by_others = 0;
  for (const auto& node : kNodeNames) {
    if (w.call(node, Method::get, "/v1/jobs/j-1").body.value("status", "") != "running") continue;
    ++held_by_others;
  }
  EXPECT_EQ(held_by_others, 3);
  // Slow, it does not go back from running to queued.
  w.nodes_with_held_frames = {"a", "b", "c"};
  for (const auto& node : kNodeNames)
    EXPECT_EQ(w.call(node, Method::get, "/v1/jobs/j-1").body.value("status", ""), "running") << node;
  std::vector<Response> told;
  for (const auto& node : kNodeNames)
    w.send(node, Method::get, "/v1/jobs/j-1", {}, [&](const Response& a) { told.push_back(a); });
  w.engine.run_for(60 * kMillisecond);  // read afresh; the owner is being asked
  const auto before = told.size();
  // The owner knows it, and can't say so: the user comes again, and nobody is told anything older meanwhile.
  Response cancelled;
  for (int i = 0; i < 10 && cancelled.status != 200; ++i) {
    cancelled = w.call("a", Method::post, "/v1/jobs/j-1/withdraw");
    for (const auto& node : kNodeNames)
      w.send(node, Method::get, "/v1/jobs/j-1", {}, [&](const Response& a) { told.push_back(a); });
    w.engine.run_for(kSecond);
  }
  EXPECT_EQ(cancelled.body.value("status", ""), "withdrawn");
  ASSERT_LT(before, 3U);
  ASSERT_GE(told.size(), 6U);
  for (auto i = before; i < told.size(); ++i)
    EXPECT_TRUE(told[i].status == 503 || told[i].body.value("status", "") == "withdrawn") << told[i].body;
  EXPECT_EQ(w.call("a", Method::get, "/v1/jobs/j-1").body.value("status", ""), "withdrawn");
}

/// A node's records alone: nothing is sent, nothing answered.
struct Silent : net::Requester {
  void request(net::Method, const wire::Endpoint&, const std::string&, const std::string&, Micros,
               net::Answered) override {}
};

// Records of a job come by the watch, a fresh read, a peer's word and our own commits, in any order and
// again: in the end the last one stands, and what was over stays so all the way.
TEST_F(RequestsTest, TheLastRecordStandsInWhicheverOrderTheyCome) {
  SimulationEngine engine;
  SimulatedLoop loop(engine);
  Silent http;
  const auto platform = wire::parse_settings(settings_json().dump());
  store::Client client(loop, http, platform);
  job::JobRecord queued;
  queued.spec = std::make_shared<const wire::JobSpec>(wire::job_from_json(job("j-1", 1)));
  queued.version = 10;
  job::JobRecord in_parts = queued;  // as the watch has it before its parts
  in_parts.spec.reset(), in_parts.parts = 1, in_parts.parts_tag = "t";
  for (const auto end : {wire::JobStatus::cancelled, wire::JobStatus::done}) {
    job::JobRecord over = queued;
    over.status = end, over.version = 12;
    if (end == wire::JobStatus::done) over.spec.reset();
    enum Event { first, parts, last, told, told_plainly };
    std::vector<Event> events{first, parts, last};
    if (end == wire::JobStatus::cancelled) events.insert(events.end(), {told, told_plainly});
    std::sort(events.begin(), events.end());
    do {
      bool was_over = false;
      app::Records records(platform, {loop, client, [](const std::string&, const job::JobRecord&) {},
                                      [](const std::string&, std::uint64_t) {}});
      for (const auto e : events) {
        if (e == first) records.update_job("j-1", queued);
        if (e == parts) records.update_job("j-1", in_parts);
        if (e == last) records.update_job("j-1", over);
        if (e == told) records.apply_peer_cancellation("j-1", 12);
        if (e == told_plainly) records.apply_peer_cancellation("j-1", 0);
        const auto* known = records.job("j-1");
        if (was_over) {
          EXPECT_EQ(known->status, end);
        }
        was_over = known && known->final();
      }
      const auto* known = records.job("j-1");
      ASSERT_NE(known, nullptr);
      EXPECT_EQ(known->status, end);
      EXPECT_EQ(known->version, 12U);
    } while (std::next_permutation(events.begin(), events.end()));
  }
}

// A cancellation that a peer of the former version tells goes by no revision until its record comes: others
// have read up to the open record's, which tells nothing of it.
TEST_F(RequestsTest, ACancellationToldAheadOfItsRecordHasNoRevision) {
  SimulationEngine engine;
  SimulatedLoop loop(engine);
  Silent http;
  const auto platform = wire::parse_settings(settings_json().dump());
  store::Client client(loop, http, platform);
  std::vector<std::uint64_t> revisions;
  app::Records records(platform,
                       {loop, client, [](const std::string&, const job::JobRecord&) {},
                        [&](const std::string&, std::uint64_t revision) { revisions.push_back(revision); }});
  job::JobRecord record;
  record.spec = std::make_shared<const wire::JobSpec>(wire::job_from_json(job("j-1", 1)));
  record.version = 10;
  records.update_job("j-1", record);
  records.apply_peer_cancellation("j-1", 0);
  record.status = wire::JobStatus::cancelled, record.version = 12;
  records.update_job("j-1", record);
  EXPECT_EQ(revisions, (std::vector<std::uint64_t>{0, 12}));
}

}  // namespace
}  // namespace aspenwick::testing
