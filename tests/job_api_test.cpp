// The API for jobs: validation of every field, and the status that users get when records, reads and
// responses arrive in any order.
#include <algorithm>
#include <limits>

#include "app/records.h"
#include "simulated_users.h"

namespace aspenwick::testing {
namespace {

using net::Method;

struct JobApiTest : NodeTest {
  /// Whether any commit named the job.
  static bool was_written(const ClusterSimulation& w, const std::string& id) {
    return std::any_of(w.sent_commits.begin(), w.sent_commits.end(),
                       [&](const auto& text) { return text.find(id) != std::string::npos; });
  }
};

// Each field missing, null, of another type, or out of range: 400 with an error that names it, or 422 for
// jobs that can never run. It is never a 5xx, and nothing is written. Fields that may be null may be absent
// (PROTOCOL).
TEST_F(JobApiTest, InvalidAndUnschedulableJobsAreRejected) {
  ClusterSimulation w;
  w.engine.run_for(20 * kSecond);
  const Json absent = Json(Json::value_t::discarded);
  const std::vector<Json> invalid_texts{
      absent, nullptr, 1, true, "", Json::array(), Json::object(), std::string(300, 'x')};
  const std::vector<Json> invalid_amounts{absent, nullptr, "1",           true,          -1,
                                          -0.5,   1e12,    Json::array(), Json::object()};
  const std::vector<Json> invalid_flags{absent, nullptr, 0, 1, "true", Json::array()};
  const std::vector<Json> invalid_counts{
      absent, nullptr, "4", 0, -1, 1.5, 100'001, 1e30, true, Json::array(), 18446744073709551615ULL};
  struct InvalidField {
    const char* field;
    std::vector<Json> values;
  };
  std::vector<InvalidField> invalid_fields{
      {"nameId", {absent, nullptr, 7, "", "j-", "x-1", "j-1a", "j-1/2", Json::array()}},
      {"pieces", invalid_counts},
      {"rigtypes", {"cpu8", 1, true, Json::object(), {1}, {nullptr}, {"cpu8", 2}}},
      {"site", {1, true, "", Json::array(), std::string(300, 'x')}},
      {"dueS", {"1", true, -1, 1e12, Json::array()}},
      {"waitsOn", {"j-1", 1, Json::object(), {1}, {"x-1"}, {""}}}};
  for (const char* f : {"jobclass", "owner", "shape", "rank"}) invalid_fields.push_back({f, invalid_texts});
  for (const char* f : {"shape", "rank"}) invalid_fields.push_back({f, {"some", "Array", "LOW"}});
  auto bundle = invalid_texts;  // an empty image name is valid
  std::erase(bundle, Json(""));
  invalid_fields.push_back({"bundle", bundle});
  for (const char* f : {"vcpus", "cards", "ramGb", "sizeGb", "guessS", "snapshotEveryS", "snapshotS"})
    invalid_fields.push_back({f, invalid_amounts});
  for (const char* f : {"together", "spread", "loaner"}) invalid_fields.push_back({f, invalid_flags});
  int n = 500'000;
  for (const auto& invalid_field : invalid_fields)
    for (const auto& value : invalid_field.values) {
      const std::string id = "j-" + std::to_string(++n);
      auto j = submission_json(id, 1);
      if (value.is_discarded())
        j.erase(invalid_field.field);
      else
        j[invalid_field.field] = value;
      const auto response = w.call("a", Method::post, "/v1/jobs", j);
      EXPECT_EQ(response.status, 400) << j.dump();
      EXPECT_NE(response.body.value("error", "").find(invalid_field.field), std::string::npos)
          << response.body << j.dump();
      EXPECT_FALSE(was_written(w, id)) << j.dump();
    }
  // Duplicate fields, one of them valid, are rejected: another parser may use the other one.
  for (const char* duplicate : {R"("vcpus":1.0,)", R"("rank":"production",)", R"("site":"z1",)"}) {
    const std::string id = "j-" + std::to_string(++n);
    std::string text = submission_json(id, 1).dump();
    text.insert(1, duplicate);
    EXPECT_EQ(w.call_text("b", Method::post, "/v1/jobs", text).status, 400) << text;
    EXPECT_FALSE(was_written(w, id));
  }
  for (const char* text : {"", "{", "[]", "null", "1", "{\"nameId\":", "\xff\xfe"})
    EXPECT_EQ(w.call_text("b", Method::post, "/v1/jobs", text).status, 400) << text;

  struct Unschedulable {
    const char* field;
    Json value;
  };
  for (const auto& [field, value] : std::vector<Unschedulable>{{"owner", "nobody"},
                                                               {"vcpus", 17.0},
                                                               {"cards", 5.0},
                                                               {"ramGb", 65.0},
                                                               {"rigtypes", Json::array()},
                                                               {"rigtypes", {"no such"}},
                                                               {"site", "z9"},
                                                               {"waitsOn", {"j-499999"}}}) {
    const std::string id = "j-" + std::to_string(++n);
    auto j = submission_json(id, 1);
    j[field] = value;
    const auto response = w.call("a", Method::post, "/v1/jobs", j);
    EXPECT_EQ(response.status, 422) << j.dump();
    EXPECT_FALSE(response.body.value("error", "").empty());
    EXPECT_FALSE(was_written(w, id)) << j.dump();
  }
  for (const char* shape : {"group", "service"}) {  // an array's limit applies to each task
    const std::string id = "j-" + std::to_string(++n);
    auto j = submission_json(id, 5);
    j["owner"] = "tight", j["shape"] = shape;
    EXPECT_EQ(w.call("c", Method::post, "/v1/jobs", j).status, 422) << j.dump();
    EXPECT_FALSE(was_written(w, id));
  }
  // At most one task in each zone, but only one zone is allowed.
  auto spread = submission_json("j-600000", 2);
  spread["shape"] = "group", spread["spread"] = true, spread["site"] = "z1";
  EXPECT_EQ(w.call("c", Method::post, "/v1/jobs", spread).status, 422);
  spread["site"] = nullptr, spread["together"] = true;
  EXPECT_EQ(w.call("c", Method::post, "/v1/jobs", spread).status, 422);

  // Fields that may be null may be absent.
  auto minimal = submission_json("j-600001", 1);
  for (const char* f : {"rigtypes", "site", "dueS"}) minimal.erase(f);
  EXPECT_EQ(w.call("a", Method::post, "/v1/jobs", minimal).status, 201);
}

// A retry of an accepted job is never rejected, not even by a node that doesn't know the job yet and finds it
// invalid by its own limits, machine types and records.
TEST_F(JobApiTest, RetriesOfAcceptedJobsAreNeverRejected) {
  ClusterSimulation w;
  w.engine.run_for(20 * kSecond);
  EXPECT_EQ(w.call("a", Method::post, "/v1/jobs", submission_json("j-1", 1)).status, 201);
  w.engine.run_for(kSecond);
  // Accepted by another node a moment ago, under other limits and types; no watch has delivered it yet.
  auto large = submission_json("j-2", 1);
  large["vcpus"] = 17.0;
  auto record = w.store.keys.at("s/job/j-1").value;
  record["spec"] = large;
  w.store.set_key("s/job/j-2", record, 0);
  EXPECT_EQ(w.call("b", Method::post, "/v1/jobs", large).status, 200);
  auto bad = submission_json("j-3", 1);
  bad["waitsOn"] = 1;
  w.store.set_key("s/job/j-3", record, 0);
  EXPECT_EQ(w.call("b", Method::post, "/v1/jobs", bad).status, 200);
  // While the state service is unavailable, nothing is rejected for good either.
  auto unknown = submission_json("j-4", 1);
  unknown["vcpus"] = 17.0;
  w.nodes_refused_by_state_service = {"b"};
  EXPECT_EQ(w.call("b", Method::post, "/v1/jobs", unknown).status, 503);
}

// A submission's commit is executed, but its response is late, and meanwhile another node has told the user
// that the job is cancelled. The late response must not report the job as queued.
TEST_F(JobApiTest, ALateCommitResponseReportsTheNewestStatus) {
  ClusterSimulation w;
  w.engine.run_for(20 * kSecond);
  w.state_service_latency = 1900 * kMillisecond;
  std::vector<Response> responses;
  w.send("b", Method::post, "/v1/jobs", submission_json("j-1", 1),
         [&](const Response& a) { responses.push_back(a); });
  w.engine.run_for(100 * kMillisecond);
  ASSERT_TRUE(w.store.keys.contains("s/job/j-1"));
  w.state_service_latency = 0;
  EXPECT_EQ(w.call("c", Method::post, "/v1/jobs/j-1/withdraw").body.value("status", ""), "withdrawn");
  ASSERT_TRUE(responses.empty());
  w.engine.run_for(2 * kSecond);
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].body.value("status", ""), "withdrawn");
}

// While the owner's reply on a job is delayed, the job is cancelled at the node that waits for the reply. The
// job must not be reported as queued after that.
TEST_F(JobApiTest, ALatePeerReplyReportsNoOlderStatus) {
  ClusterSimulation w;
  w.run_time = 600 * kSecond;
  w.engine.run_for(20 * kSecond);
  EXPECT_EQ(w.call("a", Method::post, "/v1/jobs", submission_json("j-1", 1)).status, 201);
  w.engine.run_for(30 * kSecond);
  int reported_running = 0;
  for (const auto& node : kNodeNames) {
    if (w.call(node, Method::get, "/v1/jobs/j-1").body.value("status", "") != "running") continue;
    ++reported_running;
  }
  EXPECT_EQ(reported_running, 3);
  // While frames are held, the status does not go back from running to queued.
  w.nodes_with_held_frames = {"a", "b", "c"};
  for (const auto& node : kNodeNames)
    EXPECT_EQ(w.call(node, Method::get, "/v1/jobs/j-1").body.value("status", ""), "running") << node;
  std::vector<Response> responses;
  for (const auto& node : kNodeNames)
    w.send(node, Method::get, "/v1/jobs/j-1", {}, [&](const Response& a) { responses.push_back(a); });
  w.engine.run_for(60 * kMillisecond);  // the records were read again, and the owner is being asked
  const auto before = responses.size();
  // The owner knows of the cancellation, but its reply can't arrive: the user retries, and meanwhile no
  // response reports an older status.
  Response cancelled;
  for (int i = 0; i < 10 && cancelled.status != 200; ++i) {
    cancelled = w.call("a", Method::post, "/v1/jobs/j-1/withdraw");
    for (const auto& node : kNodeNames)
      w.send(node, Method::get, "/v1/jobs/j-1", {}, [&](const Response& a) { responses.push_back(a); });
    w.engine.run_for(kSecond);
  }
  EXPECT_EQ(cancelled.body.value("status", ""), "withdrawn");
  ASSERT_LT(before, 3U);
  ASSERT_GE(responses.size(), 6U);
  for (auto i = before; i < responses.size(); ++i)
    EXPECT_TRUE(responses[i].status == 503 || responses[i].body.value("status", "") == "withdrawn")
        << responses[i].body;
  EXPECT_EQ(w.call("a", Method::get, "/v1/jobs/j-1").body.value("status", ""), "withdrawn");
}

/// Sends nothing and never responds.
struct NullRequester : net::Requester {
  void request(net::Method, const wire::Endpoint&, const std::string&, const std::string&, Micros,
               net::ResponseCallback) override {}
};

// Records of a job come from the watch, fresh reads, peers and the node's own commits, in any order and
// repeatedly. The newest one wins in the end, and a job that was final stays final throughout.
TEST_F(JobApiTest, TheNewestRecordWinsInEveryOrderOfArrival) {
  SimulationEngine engine;
  SimulatedLoop loop(engine);
  NullRequester http;
  const auto platform = wire::parse_settings(settings_json().dump());
  store::Client client(loop, http, platform);
  job::JobRecord queued;
  queued.spec = std::make_shared<const wire::JobSpec>(wire::job_from_json(submission_json("j-1", 1)));
  queued.version = 10;
  job::JobRecord in_parts = queued;  // as the watch delivers it, before its parts are read
  in_parts.spec.reset(), in_parts.parts = 1, in_parts.parts_tag = "t";
  for (const auto final_status : {wire::JobStatus::cancelled, wire::JobStatus::done}) {
    job::JobRecord final_record = queued;
    final_record.status = final_status, final_record.version = 12;
    if (final_status == wire::JobStatus::done) final_record.spec.reset();
    enum Event { queued_read, parts_read, final_read, cancelled_by_peer, cancelled_by_peer_without_revision };
    std::vector<Event> events{queued_read, parts_read, final_read};
    if (final_status == wire::JobStatus::cancelled)
      events.insert(events.end(), {cancelled_by_peer, cancelled_by_peer_without_revision});
    std::sort(events.begin(), events.end());
    do {
      bool was_final = false;
      app::Records records(platform, {loop, client, [](const std::string&, const job::JobRecord&) {},
                                      [](const std::string&, std::uint64_t) {}});
      for (const auto e : events) {
        if (e == queued_read) records.update_job("j-1", queued);
        if (e == parts_read) records.update_job("j-1", in_parts);
        if (e == final_read) records.update_job("j-1", final_record);
        if (e == cancelled_by_peer) records.apply_peer_cancellation("j-1", 12);
        if (e == cancelled_by_peer_without_revision) records.apply_peer_cancellation("j-1", 0);
        const auto* known = records.job("j-1");
        if (was_final) {
          EXPECT_EQ(known->status, final_status);
        }
        was_final = known && known->final();
      }
      const auto* known = records.job("j-1");
      ASSERT_NE(known, nullptr);
      EXPECT_EQ(known->status, final_status);
      EXPECT_EQ(known->version, 12U);
    } while (std::next_permutation(events.begin(), events.end()));
  }
}

// A cancellation from a peer of the former version has no revision until the job's record arrives. It must
// not get the revision of the open record: that others have read up to that doesn't mean that they know of
// the cancellation.
TEST_F(JobApiTest, ACancellationThatPrecedesItsRecordHasNoRevision) {
  SimulationEngine engine;
  SimulatedLoop loop(engine);
  NullRequester http;
  const auto platform = wire::parse_settings(settings_json().dump());
  store::Client client(loop, http, platform);
  std::vector<std::uint64_t> revisions;
  app::Records records(platform,
                       {loop, client, [](const std::string&, const job::JobRecord&) {},
                        [&](const std::string&, std::uint64_t revision) { revisions.push_back(revision); }});
  job::JobRecord record;
  record.spec = std::make_shared<const wire::JobSpec>(wire::job_from_json(submission_json("j-1", 1)));
  record.version = 10;
  records.update_job("j-1", record);
  records.apply_peer_cancellation("j-1", 0);
  record.status = wire::JobStatus::cancelled, record.version = 12;
  records.update_job("j-1", record);
  EXPECT_EQ(revisions, (std::vector<std::uint64_t>{0, 12}));
}

}  // namespace
}  // namespace aspenwick::testing
