// A cancellation that a user was told of reaches whoever answers the job's workers, also one that the state
// service refuses: the tasks are gone within the time that a cancellation has (design/cancellation.md).
#include "node_fixture.h"

namespace aspenwick::testing {
namespace {

using net::Method;

/// Node a leads and owns the share of this team; eight long tasks run on its machines. The parameter: what
/// follows begins only once the user was told, else as soon as the cancellation is committed.
struct CancellationTest : NodeTest, ::testing::WithParamInterface<bool> {
  CancellationTest() {
    w.run_time = 3600 * kSecond;
    w.engine.run_for(20 * kSecond);
    submit("j-1");
    w.engine.run_for(20 * kSecond);
    EXPECT_EQ(w.store.keys.at("s/leader").value.at("node"), "a");
    EXPECT_EQ(w.store.keys.at("s/holder/0").value.at("node"), "a");
    EXPECT_EQ(w.starts.size(), 8U);
  }
  void submit(const std::string& id) {
    auto j = job(id, 8);
    j["owner"] = "cards";
    EXPECT_EQ(w.call("b", Method::post, "/v1/jobs", j).status, 201);
  }
  /// As a user does: at these nodes in turn, then again and again at the last, until it is confirmed.
  void cancel(const std::string& id, const std::vector<std::string>& nodes) {
    for (const auto& node : nodes)
      if (told(id, w.call(node, Method::post, cancel_path(id)))) return;
    EXPECT_EQ(w.store.keys.at("s/job/" + id).value.at("st"), "withdrawn");
    cancel_again(id, nodes.back());
    for (int i = 0; GetParam() && i < 20 && !w.cancelled.contains(id); ++i) w.engine.run_for(kSecond);
  }
  static std::string cancel_path(const std::string& id) { return "/v1/jobs/" + id + "/withdraw"; }
  bool told(const std::string& id, const Response& answer) {
    if (answer.status != 200) return false;
    EXPECT_EQ(answer.body.at("status"), "withdrawn");
    w.cancelled.emplace(id, w.engine.now);
    return true;
  }
  void cancel_again(const std::string& id, const std::string& node) {
    w.engine.at(kSecond, [this, id, node] {
      if (!w.is_running(node)) return cancel_again(id, node);
      w.send(node, Method::post, cancel_path(id), {}, [this, id, node](const Response& answer) {
        if (!told(id, answer)) cancel_again(id, node);
      });
    });
  }
  /// The state service is down for all, for longer than a cancellation has.
  void outage() {
    w.state_service_down = true;
    w.engine.run_for(w.cancel_time() + 2 * w.worker_lease());
  }
  /// All of it, also once the troubles are over.
  void expect_gone(const std::vector<std::string>& cancelled = {"j-1"}) {
    w.state_service_down = false;
    w.nodes_refused_by_state_service.clear(), w.nodes_cut_off_from_peers.clear(),
        w.nodes_without_commit_responses.clear(), w.nodes_with_stalled_watches.clear();
    w.engine.run_for(30 * kSecond);
    for (const auto& id : cancelled) EXPECT_TRUE(w.cancelled.contains(id)) << id;
    EXPECT_EQ(w.ran_after_cancellation, "");
    EXPECT_EQ(w.concurrent_runs, 0) << w.first_concurrent_run;
  }
  ClusterSimulation w;
};

// The link between the two is broken just then: what the confirming node says once is lost.
TEST_P(CancellationTest, ReachesALeaderRefusedAloneWhoseLinkIsBrokenJustThen) {
  w.nodes_refused_by_state_service = w.nodes_cut_off_from_peers = {"a"};
  cancel("j-1", {"b"});
  w.state_service_down = true;
  w.engine.run_for(kSecond);
  w.nodes_cut_off_from_peers.clear();
  outage();
  expect_gone();
}

// The commit was executed and its answer lost: the user hears of it from a third node, which did not make it.
TEST_P(CancellationTest, ReachesALeaderRefusedAloneWhenARetryElsewhereIsToldOfIt) {
  w.nodes_refused_by_state_service = {"a"};
  w.nodes_without_commit_responses = {"b"};
  cancel("j-1", {"b", "c"});
  outage();
  expect_gone();
}

// The same, and that third node has just read the record; no watch has told anybody of it yet.
TEST_P(CancellationTest, ReachesALeaderRefusedAloneWhenOnlyOneReadHasToldOfIt) {
  w.nodes_refused_by_state_service = {"a"};
  w.nodes_without_commit_responses = w.nodes_with_stalled_watches = {"b"};
  w.nodes_with_stalled_watches.insert("c");
  cancel("j-1", {"b", "c"});
  outage();
  expect_gone();
}

// Whoever confirmed it ends, and nobody else knows: the leader hears all peers say that they lack the state
// service too, and one of them is a process that can't know what was confirmed before it.
TEST_P(CancellationTest, IsNotOutlivedByTheWordOfAProcessThatBeganAfterIt) {
  w.nodes_refused_by_state_service = w.nodes_cut_off_from_peers = {"a", "c"};
  cancel("j-1", {"b"});
  w.state_service_down = true;
  w.crash("b");
  w.engine.run_for(300 * kMillisecond);
  w.start("b");
  w.nodes_cut_off_from_peers.clear();
  outage();
  expect_gone();
}

// Two refusals of the leader in a row, each with cancellations and an outage right after it.
TEST_P(CancellationTest, ReachesALeaderRefusedTwice) {
  submit("j-2");
  w.engine.run_for(20 * kSecond);
  for (const char* id : {"j-1", "j-2"}) {
    w.nodes_refused_by_state_service = {"a"};
    w.engine.run_for(kSecond);
    w.nodes_without_commit_responses = {"c"};
    cancel(id, {"c", "b"});
    w.nodes_without_commit_responses.clear();
    outage();
    w.state_service_down = false, w.nodes_refused_by_state_service.clear();
    w.engine.run_for(30 * kSecond);
  }
  expect_gone({"j-1", "j-2"});
}

// Another node has taken the share when the outage begins: the former leader, whom nobody told that, must not
// go on with workers that only it reaches. When the outage is over their tasks start elsewhere at once.
TEST_P(CancellationTest, ALeaderWhoseShareWasTakenBeforeTheOutageDoesNotGoOn) {
  for (Micros taken_for = 0; taken_for <= 4 * kSecond; taken_for += kSecond) {
    SCOPED_TRACE(to_seconds(taken_for));
    ClusterSimulation world;
    world.run_time = 3600 * kSecond;
    world.push_loss_rate = 0;
    world.engine.run_for(20 * kSecond);
    auto j = job("j-1", 8);
    j["owner"] = "cards";
    EXPECT_EQ(world.call("b", Method::post, "/v1/jobs", j).status, 201);
    world.engine.run_for(20 * kSecond);
    for (const auto& m : world.machines()) world.only_reachable_node[m] = "a";
    world.run_time = 3 * kSecond;  // leaves machines that the new owner can use at once
    EXPECT_EQ(world.call("b", Method::post, "/v1/jobs", job("j-2", 8)).status, 201);
    world.engine.run_for(15 * kSecond);
    world.run_time = 3600 * kSecond;
    world.nodes_refused_by_state_service = {"a"};
    world.engine.run_for(6 * kSecond + taken_for);
    EXPECT_NE(world.store.keys.at("s/holder/0").value.at("node"), "a");
    world.state_service_down = true;
    world.engine.run_for(world.cancel_time() + 2 * world.worker_lease());
    world.state_service_down = false;
    world.engine.run_for(60 * kSecond);
    EXPECT_EQ(world.concurrent_runs, 0) << world.first_concurrent_run;
    for (int i = 0; i < 8; ++i) EXPECT_EQ(world.starts["j-1/" + std::to_string(i)], 2);
  }
}

// An outage alone costs nothing: everyone goes on for as long as it takes.
TEST_P(CancellationTest, AnOutageThatAllSeeEndsNoTask) {
  submit("j-2");
  w.engine.run_for(20 * kSecond);
  cancel("j-1", {"c"});
  outage();
  outage();
  w.state_service_down = false;
  w.engine.run_for(30 * kSecond);
  expect_gone();
  EXPECT_EQ(w.starts.size(), 16U);
  for (const auto& [task, n] : w.starts) EXPECT_EQ(n, 1) << task;
}

INSTANTIATE_TEST_SUITE_P(GoesOn, CancellationTest, ::testing::Bool(), [](const auto& info) {
  return info.param ? "OnceTheUserWasTold" : "OnceItIsCommitted";
});

}  // namespace
}  // namespace aspenwick::testing
