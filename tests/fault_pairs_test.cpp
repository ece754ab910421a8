// Random pairs of overlapping faults while simulated users submit, cancel and poll jobs at every node. The
// checks use only the responses that users got and what ran on the machines.
#include <cstdio>
#include <cstdlib>

#include "simulated_users.h"

namespace aspenwick::testing {
namespace {

struct FaultPairsTest : NodeTest {};

struct Fault {
  const char* name;
  std::function<void(ClusterSimulation&, SimulatedUsers&)> begin, end;
};

std::string random_node(ClusterSimulation& sim) { return kNodeNames[sim.random() % kNodeNames.size()]; }

void start_all(ClusterSimulation& sim) {
  for (const auto& n : kNodeNames)
    if (!sim.is_running(n)) sim.start(n);
}

std::vector<Fault> all_faults() {
  auto crash = [](ClusterSimulation& sim, const std::string& n) {
    if (sim.is_running(n)) sim.crash(n);
  };
  auto restart_all = [](ClusterSimulation& sim, SimulatedUsers&) { start_all(sim); };
  return {
      {"a node crashes", [=](ClusterSimulation& sim, SimulatedUsers&) { crash(sim, random_node(sim)); },
       restart_all},
      {"all nodes crash",
       [=](ClusterSimulation& sim, SimulatedUsers&) {
         for (const auto& n : kNodeNames) crash(sim, n);
         sim.engine.run_for(static_cast<Micros>(sim.random() % 500) * kMillisecond);
         sim.start(random_node(sim));
       },
       restart_all},
      {"a node freezes",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         if (const auto n = random_node(sim); sim.is_running(n))
           sim.freeze(n, static_cast<Micros>(sim.random() % 20) * kSecond);
       },
       [](ClusterSimulation&, SimulatedUsers&) {}},
      {"a node freezes while the state service flaps",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         const auto n = random_node(sim);
         const Micros span = static_cast<Micros>(10 + sim.random() % 110) * kSecond;
         if (!sim.is_running(n)) return;
         sim.freeze(n, span);
         sim.flap_state_service(span);
       },
       [](ClusterSimulation&, SimulatedUsers&) {}},
      {"a node's long polls stall",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.nodes_with_stalled_long_polls = {random_node(sim)};
       },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.nodes_with_stalled_long_polls.clear(); }},
      {"a node's watch stalls, then it reads all keys again in slow pages",
       [](ClusterSimulation& sim, SimulatedUsers& users) {
         sim.nodes_with_stalled_watches = {random_node(sim)};
         for (int s = 0; s < 2; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
         sim.store.page_size = 4;
         sim.store.page_latency = 2 * kSecond;
         sim.store.compact_changes();
         sim.nodes_with_stalled_watches.clear();
       },
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.store.page_size = 1000, sim.store.page_latency = 0;
       }},
      {"state service outage", [](ClusterSimulation& sim, SimulatedUsers&) { sim.state_service_down = true; },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.state_service_down = false; }},
      {"the state service refuses a node",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.nodes_refused_by_state_service = {random_node(sim)};
       },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.nodes_refused_by_state_service.clear(); }},
      {"a node is cut off from its peers",
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.nodes_cut_off_from_peers = {random_node(sim)}; },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.nodes_cut_off_from_peers.clear(); }},
      {"a node is cut off from the state service and its peers",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.nodes_refused_by_state_service = sim.nodes_cut_off_from_peers = {random_node(sim)};
       },
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.nodes_refused_by_state_service.clear(), sim.nodes_cut_off_from_peers.clear();
       }},
      {"a node is cut off with workers that reach only it, and the other nodes restart",
       [=](ClusterSimulation& sim, SimulatedUsers&) {
         const std::string cut = random_node(sim);
         for (const auto& machine : sim.machines())
           if (sim.random() % 2 == 0) sim.only_reachable_node[machine] = cut;
         sim.nodes_refused_by_state_service = sim.nodes_cut_off_from_peers = {cut};
         sim.engine.run_for(static_cast<Micros>(5000 + sim.random() % 4000) * kMillisecond);
         for (const auto& n : kNodeNames)
           if (n != cut) crash(sim, n);
         sim.engine.run_for(static_cast<Micros>(sim.random() % 300) * kMillisecond);
         for (const auto& n : kNodeNames)
           if (n != cut && !sim.is_running(n)) sim.start(n);
       },
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.nodes_refused_by_state_service.clear(), sim.nodes_cut_off_from_peers.clear();
         sim.only_reachable_node.clear();
       }},
      {"responses to pushes overtake reports, then machines hang",
       [](ClusterSimulation& sim, SimulatedUsers& users) {
         sim.report_latency = static_cast<Micros>(100 + sim.random() % 900) * kMillisecond;
         for (int s = 0; s < 8; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
         for (int i = 0; i < 3; ++i)
           sim.hang_random_machine(static_cast<Micros>(8 + sim.random() % 20) * kSecond);
       },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.report_latency = 0; }},
      {"delayed commits",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.commit_delay_rate = 0.3, sim.commit_delay_range = {2 * kSecond, 12 * kSecond};
       },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.commit_delay_rate = 0; }},
      {"lost commits",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.drop_commit = [&sim](const std::string&) { return sim.random() % 4 == 0; };
       },
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.drop_commit = [](const std::string&) { return false; };
       }},
      {"lost responses of the state service",
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.state_response_loss_rate = 0.2; },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.state_response_loss_rate = 0; }},
      {"slow state service",
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.state_service_latency = 4 * kSecond; },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.state_service_latency = 0; }},
      {"duplicate late reports",
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.report_duplicate_rate = 0.5; },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.report_duplicate_rate = 0; }},
      {"delayed and duplicate pushes",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.push_loss_rate = 0.1, sim.push_duplicate_rate = 0.5, sim.push_delay_rate = 0.2;
       },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.push_duplicate_rate = 0, sim.push_delay_rate = 0; }},
      {"no message reaches a machine",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.block_messages_to_random_machine(static_cast<Micros>(5 + sim.random() % 60) * kSecond);
       },
       [](ClusterSimulation&, SimulatedUsers&) {}},
      {"a machine hangs",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.hang_random_machine(static_cast<Micros>(3 + sim.random() % 30) * kSecond);
       },
       [](ClusterSimulation&, SimulatedUsers&) {}},
      {"held frames",
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.nodes_with_held_frames = {random_node(sim)}; },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.release_frames(); }},
      {"compacted changes and lists of many pages",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.store.compact_changes();
         sim.store.page_size = 3;
         sim.store.page_latency = static_cast<Micros>(sim.random() % 300) * kMillisecond;
       },
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.store.page_size = 1000, sim.store.page_latency = 0;
       }},
      {"reports replayed to the next leader",
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.report_replay_rate = 0.5; },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.report_replay_rate = 0; }},
      {"a machine's reports are lost",
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.block_reports_of_random_machine(static_cast<Micros>(5 + sim.random() % 60) * kSecond);
       },
       [](ClusterSimulation&, SimulatedUsers&) {}},
      {"a zone is isolated with a node",
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.isolate_zone("z1", random_node(sim)); },
       [](ClusterSimulation& sim, SimulatedUsers&) { sim.reconnect_zone(); }},
      {"leaders crash, one after the other",
       [=](ClusterSimulation& sim, SimulatedUsers& users) {
         for (int i = 0; i < 5; ++i) {
           const auto leader = sim.store.keys.find("s/leader");
           if (leader != sim.store.keys.end()) crash(sim, leader->second.value.at("node").get<std::string>());
           for (int s = 0; s < 6; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
           start_all(sim);
         }
       },
       restart_all},
      {"machines boot fast, and a node crashes",
       [=](ClusterSimulation& sim, SimulatedUsers& users) {
         sim.boot_time = kSecond;
         for (int s = 0; s < 5; ++s) users.act_for_one_second(), sim.engine.run_for(kSecond);
         crash(sim, random_node(sim));
       },
       [](ClusterSimulation& sim, SimulatedUsers&) {
         sim.boot_time = 5 * kSecond;
         start_all(sim);
       }},
      {"burst of cancellations",
       [](ClusterSimulation&, SimulatedUsers& users) { users.cancel_burst(6, true); },
       [](ClusterSimulation&, SimulatedUsers& users) { users.cancel_burst(6, false); }},
      {"cancellations as jobs complete",
       [](ClusterSimulation&, SimulatedUsers& users) { users.cancel_on_completion_rate = 0.5; },
       [](ClusterSimulation&, SimulatedUsers& users) { users.cancel_on_completion_rate = 0; }},
      {"invalid requests",
       [](ClusterSimulation&, SimulatedUsers& users) { users.invalid_request_rate = 0.7; },
       [](ClusterSimulation&, SimulatedUsers& users) { users.invalid_request_rate = 0; }},
      {"immediate rechecks at all nodes",
       [](ClusterSimulation&, SimulatedUsers& users) { users.recheck_rate = 1; },
       [](ClusterSimulation&, SimulatedUsers& users) { users.recheck_rate = 0; }},
  };
}

/// Applies three random pairs of faults; the second fault of each pair begins while the first lasts.
void run_fault_pairs(unsigned seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  app::OperatorSettings settings;
  settings.attempts_per_epoch = seed % 3 == 0 ? 40 : 4000;
  ClusterSimulation sim(settings);
  sim.random.seed(seed);
  sim.push_loss_rate = seed % 2 == 0 ? 0 : 0.3;
  sim.run_time = (seed % 5 == 0 ? 300 : 2) * kSecond;
  sim.run_time_spread = 60 * kSecond;
  const auto faults = all_faults();
  SimulatedUsers users(sim);
  // The cloud's capacity is limited only where tasks are short. With tasks that run longer than a job may
  // wait, capacity in another share couldn't become free in time, since no task of the same rank is stopped
  // for it.
  if (seed % 4 == 1 && seed % 5 != 0) sim.max_machines = 6 + seed % 5;
  users.recheck_rate = seed % 3 == 0 ? 0.2 : 0;
  sim.engine.run_for(15 * kSecond);
  auto act_for = [&](Micros span) {
    for (const Micros until = sim.engine.now + span; sim.engine.now < until; sim.engine.run_for(kSecond))
      users.act_for_one_second();
  };
  act_for(20 * kSecond);
  std::string applied;
  for (int pair = 0; pair < 3; ++pair) {
    const auto &first = faults[sim.random() % faults.size()], &second = faults[sim.random() % faults.size()];
    applied += std::string(first.name) + " with " + second.name + "; ";
    auto random_time = [&] {
      return static_cast<Micros>(sim.random() % (sim.random() % 2 == 0 ? 6000 : 50'000)) * kMillisecond;
    };
    first.begin(sim, users);
    act_for(random_time());
    second.begin(sim, users);
    act_for(random_time());
    (sim.random() % 2 == 0 ? first : second).end(sim, users);
    act_for(random_time());
    first.end(sim, users), second.end(sim, users);
    start_all(sim);
    act_for(static_cast<Micros>(sim.random() % 20) * kSecond);
  }
  SCOPED_TRACE(applied);
  while (!sim.no_node_frozen()) act_for(kSecond);
  sim.run_time = 2 * kSecond;
  users.recheck_rate = 0;
  users.expect_all_jobs_end();
  if (std::getenv("FIGURES"))
    std::printf(
        "seed %u: longest wait beside free capacity %.1f s, latest start after a cancellation %.3f s (%s)\n",
        seed, to_seconds(sim.longest_wait), to_seconds(sim.latest_start_after_cancellation),
        sim.latest_cancelled_start.c_str());
  EXPECT_EQ(sim.concurrent_runs, 0) << sim.first_concurrent_run;
  EXPECT_EQ(sim.ran_after_cancellation, "");
  EXPECT_EQ(sim.placement_violation, "");
  EXPECT_EQ(sim.latest_order_after_cancellation, 0) << sim.latest_cancelled_order;
}

TEST_F(FaultPairsTest, TwoOverlappingFaultsBreakNoInvariant) {
  unsigned from = 1, to = 12;
  if (const char* seed_range = std::getenv("SEEDS")) std::sscanf(seed_range, "%u-%u", &from, &to);
  for (unsigned seed = from; seed <= to; ++seed) run_fault_pairs(seed);
}

// A job that must run in one zone waits for over 90 s while a machine of another share has free capacity for
// it: a task that runs there keeps the machine from becoming empty, and no task of the same rank is stopped.
// Seen in release builds; with this seed the build with sanitizers runs another sequence of events, and
// passes.
TEST_F(FaultPairsTest, AJobDoesNotWaitBesideCapacityOfAnotherShareWithSeed1290) { run_fault_pairs(1290); }

}  // namespace
}  // namespace aspenwick::testing
