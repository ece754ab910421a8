// Random runs in which writes of results are lost or delayed while machines are returned and moved, nodes
// crash and restart within 50 ms, and watches lag while new jobs start. No task may start again unless its
// result was lost.
#include <cstdio>
#include <cstdlib>

#include "simulated_users.h"

namespace aspenwick::testing {
namespace {

struct LaggingResultsTest : NodeTest {};

std::string random_running_node(ClusterSimulation& sim) {
  std::string node = kNodeNames[sim.random() % kNodeNames.size()];
  while (!sim.is_running(node)) node = kNodeNames[sim.random() % kNodeNames.size()];
  return node;
}

void submit_random_jobs(ClusterSimulation& sim, int& count) {
  static const std::vector<std::string> teams{"red", "cards"};  // of different shares
  for (int i = 0; i < 3; ++i) {
    auto submission =
        submission_json("j-" + std::to_string(1000 + ++count), 1 + static_cast<int>(sim.random() % 12));
    submission["owner"] = teams[sim.random() % teams.size()];
    if (sim.random() % 4 == 0) submission["shape"] = "group", submission["pieces"] = 2;
    sim.submitted[submission["nameId"]] = submission;
    sim.send(random_running_node(sim), net::Method::post, "/v1/jobs", submission, [](const Response&) {});
  }
}

/// Begins each of four faults with its own probability.
void begin_faults(ClusterSimulation& sim) {
  if (sim.random() % 2 == 0)
    sim.drop_commit = [&sim](const std::string& body) {
      return body.find("\"p/") != std::string::npos && sim.random() % 4 != 0;
    };
  if (sim.random() % 3 == 0)
    sim.drop_commit_response = [&sim](const std::string&) { return sim.random() % 6 == 0; };
  if (sim.random() % 3 == 0) sim.state_service_latency = kSecond;
  if (sim.random() % 3 == 0) sim.nodes_with_stalled_long_polls = {random_running_node(sim)};
}

void end_faults(ClusterSimulation& sim) {
  sim.drop_commit = sim.drop_commit_response = [](const std::string&) { return false; };
  sim.state_service_latency = 0;
  sim.nodes_with_stalled_long_polls.clear();
}

void crash_and_restart_random_node(ClusterSimulation& sim) {
  const std::string node = random_running_node(sim);
  sim.crash(node);
  sim.engine.run_for(50 * kMillisecond);
  sim.start(node);
}

void run_scenario(unsigned seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  app::OperatorSettings settings;
  settings.renting.idle_after = 4 * kSecond;
  ClusterSimulation sim(settings);
  sim.random.seed(seed);
  sim.push_loss_rate = seed % 3 == 0 ? 0.3 : 0;
  sim.run_time = kSecond;
  sim.run_time_spread = 25 * kSecond;
  sim.engine.run_for(15 * kSecond);
  int count = 0;
  for (int round = 0; round < 6; ++round) {
    submit_random_jobs(sim, count);
    begin_faults(sim);
    sim.engine.run_for(static_cast<Micros>(sim.random() % 20'000) * kMillisecond);
    if (sim.random() % 2 == 0) crash_and_restart_random_node(sim);
    sim.engine.run_for(static_cast<Micros>(sim.random() % 20'000) * kMillisecond);
    if (sim.random() % 2 == 0) end_faults(sim);
  }
  end_faults(sim);
  sim.engine.run_for(200 * kSecond);
  EXPECT_EQ(sim.needless_reruns, 0) << sim.first_needless_rerun;
  EXPECT_EQ(sim.concurrent_runs, 0) << sim.first_concurrent_run;
  for (const auto& [id, submission] : sim.submitted) {
    const auto record = sim.store.keys.find("s/job/" + id);
    if (record == sim.store.keys.end()) continue;  // never accepted: submissions aren't repeated here
    EXPECT_EQ(record->second.value.at("st"), "done") << id;
  }
}

TEST_F(LaggingResultsTest, NoTaskIsRestartedUnlessItsResultWasLost) {
  unsigned from = 1, to = 12;
  if (const char* seed_range = std::getenv("SEEDS")) std::sscanf(seed_range, "%u-%u", &from, &to);
  for (unsigned seed = from; seed <= to; ++seed) run_scenario(seed);
}

}  // namespace
}  // namespace aspenwick::testing
