// Measures what a node's decisions cost by the number of machines it manages: learning from a finished task,
// a worker's report, a planning pass, a gossip message, a takeover, a cold start. docs/scale.md has the
// results.
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include <random>

#include "fleet/provisioner.h"
#include "job/graph.h"
#include "place/rnn.h"
#include "share/peer_frame.h"
#include "share/share_controller.h"

namespace aspenwick {
namespace {

using share::ShareController;
using wire::Order;

constexpr int kCpusPerMachine = 16;

wire::PlatformSettings make_settings() {
  wire::PlatformSettings p;
  p.name = "n0";
  p.zones = {"east", "south"};
  for (const char* t : {"team-a", "team-b", "team-c"}) {
    wire::Team team;
    team.name = t;
    p.teams.push_back(team);
  }
  p.worker_lease = 30 * kSecond;
  return p;
}

std::vector<wire::MachineType> make_machine_types() {
  wire::MachineType t;
  t.name = "plain-16";
  t.total = {kCpusPerMachine * 1'000'000LL, 0, 64'000'000LL};
  t.price = 1, t.spot_price = 0.3, t.cache_gb = 100;
  t.zones = {"east", "south"};
  return {t};
}

job::JobRecord make_job(int n, std::uint32_t tasks, wire::Rank rank) {
  auto spec = std::make_shared<wire::JobSpec>();
  spec->id = "j-" + std::to_string(100000 + n);
  spec->job_class = "class-" + std::to_string(n % 4);
  spec->team = std::string("team-") + static_cast<char>('a' + n % 3);
  spec->image = "img-" + std::to_string(n % 20);
  spec->image_gb = 1;
  spec->shape = wire::Shape::array;
  spec->rank = rank;
  spec->tasks = tasks;
  spec->need = {1'000'000, 0, 1'000'000};
  spec->spot = true;
  spec->estimate = 30 * kSecond;
  spec->deadline = 600 * kSecond;
  job::JobRecord r;
  r.spec = spec;
  r.version = static_cast<std::uint64_t>(n) + 1;
  return r;
}

std::string machine_id(std::int64_t i) {
  std::string s = std::to_string(i);
  return "i-" + std::string(6 - s.size(), '0') + s;
}

/// A share of `n` machines that are full of running tasks (unless `without_tasks`), and jobs whose tasks
/// wait.
struct LoadedShare {
  wire::PlatformSettings settings = make_settings();
  std::vector<wire::MachineType> machine_types = make_machine_types();
  std::map<std::string, job::JobRecord> jobs;
  std::unique_ptr<ShareController> controller;
  std::vector<wire::WorkerReport> reports;
  Micros now = 1000 * kSecond;

  explicit LoadedShare(std::int64_t n, std::uint32_t waiting_tasks = 0, bool without_tasks = false) {
    controller = std::make_unique<ShareController>(
        settings, machine_types, share::ShareControllerSettings{},
        [this](const std::string& id) -> const job::JobRecord* {
          auto it = jobs.find(id);
          return it == jobs.end() ? nullptr : &it->second;
        },
        1, now, now);
    for (std::int64_t i = 0; i < n; ++i) {
      place::MachineRecord m;
      m.id = machine_id(i), m.address = "10.0.0.1:9", m.type = "plain-16", m.zone = i % 2 ? "east" : "south";
      m.spot = i % 3 == 0, m.share = 0, m.epoch = 1, m.version = 1;
      controller->on_machine_record(m, true, now);
      wire::WorkerReport r;
      r.machine = m.id, r.address = m.address, r.type = m.type, r.zone = m.zone, r.spot = m.spot;
      r.session = 1;
      reports.push_back(std::move(r));
    }
    spdlog::set_level(spdlog::level::warn);
    controller->finish_loading(now);
    for (int round = 0; round < 2; ++round)  // the second reports carry our token
      for (auto& r : reports) send_report(r);
    if (without_tasks) return;
    const auto capacity = static_cast<std::uint32_t>(n) * kCpusPerMachine;
    add_jobs(capacity, 100);
    while (controller->tick(now, place::StartRefusal::none)) {
    }
    for (auto& r : reports) send_report(r);
    now += kSecond;
    for (auto& r : reports) {
      for (auto& t : r.tasks) t.state = wire::TaskState::running;
      send_report(r);
    }
    if (waiting_tasks > 0) add_jobs(waiting_tasks, 100);
  }

  void add_jobs(std::uint32_t tasks, std::uint32_t tasks_per_job) {
    for (std::uint32_t sum = 0; sum < tasks; sum += tasks_per_job) {
      const auto r = make_job(static_cast<int>(jobs.size()), tasks_per_job, wire::Rank::low);
      jobs[r.spec->id] = r;
      controller->on_job_record(r.spec->id, r, false, now, 0);
    }
  }

  /// Adds jobs of one task each, whose tasks need memory of `different_needs` different amounts.
  void add_jobs_of_one_task(std::int64_t n, std::int64_t different_needs) {
    for (std::int64_t i = 0; i < n; ++i) {
      auto r = make_job(static_cast<int>(jobs.size()), 1, wire::Rank::low);
      auto spec = std::make_shared<wire::JobSpec>(*r.spec);
      spec->need.memory += i % different_needs;
      r.spec = spec;
      jobs[spec->id] = r;
      controller->on_job_record(spec->id, r, false, now, 0);
    }
  }

  /// Sends the report and applies the orders of the response to it, so that the next report shows them, as
  /// that of a worker does. Returns how many tasks were launched.
  std::size_t send_report(wire::WorkerReport& r) {
    ++r.seq;
    const auto answer = controller->on_report(r, now, place::StartRefusal::none);
    if (!answer) return 0;
    r.token = answer->token;
    std::size_t launched = 0;
    for (const auto& o : answer->orders) {
      if (o.verb == Order::Verb::launch) {
        ++launched;
        r.tasks.push_back({o.job, o.index, o.attempt, wire::TaskState::fetching, {}, false});
      } else {
        std::erase_if(r.tasks, [&](const auto& t) { return t.job == o.job && t.index == o.index; });
      }
    }
    return launched;
  }
};

/// The learner updates its network with the goal of one finished task.
void LearnResult(benchmark::State& state) {
  place::Rnn rnn;
  std::vector<place::Rnn::Neuron> neurons;
  for (std::int64_t i = 0; i < state.range(0); ++i) neurons.push_back(rnn.add_machine(machine_id(i)));
  std::mt19937 random(1);
  std::lognormal_distribution<double> goal(0, 0.3);
  for (auto _ : state) {
    rnn.learn(neurons[random() % neurons.size()], goal(random));
    benchmark::DoNotOptimize(rnn.q(neurons[0]));
  }
}

/// A report without changes.
void UnchangedReport(benchmark::State& state) {
  LoadedShare loaded(state.range(0));
  std::size_t i = 0;
  for (auto _ : state) {
    loaded.send_report(loaded.reports[i]);
    i = (i + 1) % loaded.reports.size();
  }
}

/// Parses a report with this number of running tasks.
void ParseReport(benchmark::State& state) {
  std::string body =
      R"({"rig":"i-000231","endpoint":"10.1.0.232:9000","rigtype":"plain-16","site":"east","loaner":false,)"
      R"("stint":1,"tally":88,"baton":1048576,"pieces":[)";
  for (std::int64_t i = 0; i < state.range(0); ++i)
    body += std::string(i ? "," : "") + R"({"piece":"j-00412)" + std::to_string(i) + "/" + std::to_string(i) +
            R"(","try":1048577,"status":"running"})";
  body += "]}";
  for (auto _ : state) benchmark::DoNotOptimize(wire::parse_report(body));
}

/// A report of a finished task, the planning pass that follows, and the next report.
void FinishedTask(benchmark::State& state) {
  LoadedShare loaded(state.range(0), 50'000);
  std::size_t i = 0;
  for (auto _ : state) {
    loaded.now += 10 * kMillisecond;
    auto& r = loaded.reports[i];
    if (!r.tasks.empty()) {
      r.tasks[0].state = wire::TaskState::exited;
      r.tasks[0].cause = wire::ExitCause::done;
    }
    loaded.send_report(r);
    loaded.controller->tick(loaded.now, place::StartRefusal::none);
    loaded.send_report(r);
    i = (i + 1) % loaded.reports.size();
  }
}

/// Planning passes that fill all machines, which are empty at first. Counts the time per task.
void FillEmptyMachines(benchmark::State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    LoadedShare loaded(state.range(0), 0, true);
    loaded.add_jobs(static_cast<std::uint32_t>(state.range(0)) * kCpusPerMachine, 100);
    state.ResumeTiming();
    while (loaded.controller->tick(loaded.now, place::StartRefusal::none)) {
    }
  }
  state.counters["per_task"] =
      benchmark::Counter(static_cast<double>(state.range(0) * kCpusPerMachine),
                         benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

/// A planning pass when all machines are full and nothing has changed since the previous pass.
void IdlePlanningPass(benchmark::State& state) {
  LoadedShare loaded(state.range(0), 50'000);
  while (loaded.controller->tick(loaded.now, place::StartRefusal::none)) {
  }
  for (auto _ : state) {
    loaded.now += 15 * kMillisecond;
    loaded.controller->tick(loaded.now, place::StartRefusal::none);
    benchmark::DoNotOptimize(loaded.controller->take_pushes(loaded.now, 1000, place::StartRefusal::none));
  }
}

/// Builds and encodes a gossip message.
void EncodeGossip(benchmark::State& state) {
  LoadedShare loaded(state.range(0), 50'000);
  std::size_t bytes = 0;
  for (auto _ : state) {
    share::Gossip g;
    g.node = "n0";
    g.shares.push_back(
        {0, true, loaded.controller->demands(loaded.now), loaded.controller->machine_states(loaded.now)});
    bytes = share::encode(g).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

/// Lists the demands of jobs of one task that wait, with so many different needs.
void ListDemands(benchmark::State& state) {
  LoadedShare loaded(1);
  loaded.add_jobs_of_one_task(state.range(0), state.range(1));
  std::size_t entries = 0;
  for (auto _ : state) {
    loaded.now += kSecond / 2;
    entries = loaded.controller->demands(loaded.now).size();
  }
  state.counters["entries"] = static_cast<double>(entries);
}

/// A takeover of a share, from the first job record until all machines and their running tasks are accounted
/// for.
void Takeover(benchmark::State& state) {
  LoadedShare before(state.range(0));
  const std::size_t heap = mallinfo2().uordblks;
  for (auto _ : state) {
    ShareController controller(
        before.settings, before.machine_types, share::ShareControllerSettings{},
        [&](const std::string& id) -> const job::JobRecord* { return &before.jobs.at(id); }, 2, before.now,
        before.now);
    for (const auto& [id, r] : before.jobs) controller.on_job_record(id, r, false, before.now, 0);
    for (const auto& r : before.reports) {
      place::MachineRecord m;
      m.id = r.machine, m.address = r.address, m.type = r.type, m.zone = r.zone, m.share = 0, m.epoch = 1;
      controller.on_machine_record(m, false, before.now);
    }
    controller.finish_loading(before.now);
    for (auto r : before.reports) {
      r.seq += 1000;
      controller.on_report(r, before.now, place::StartRefusal::none);
      r.seq += 1, r.token = std::uint64_t{2} << place::kEpochShift;
      controller.on_report(r, before.now, place::StartRefusal::none);
    }
    if (!controller.all_accounted_for()) state.SkipWithError("not all machines are accounted for");
    state.counters["heap_MB"] = static_cast<double>(mallinfo2().uordblks - heap) / 1e6;  // of this controller
  }
}

/// The leader plans rentals and moves for all machines, which are divided into five shares. The first ones
/// have the demands of the loaded share each.
void plan_capacity(benchmark::State& state, LoadedShare& loaded, std::int64_t shares_with_demands) {
  std::map<std::string, place::MachineRecord> records;
  std::vector<share::ShareReport> shares(5);
  const auto states = loaded.controller->machine_states(loaded.now);
  for (std::size_t s = 0; s < shares.size(); ++s) {
    shares[s].share = static_cast<int>(s);
    if (static_cast<std::int64_t>(s) < shares_with_demands)
      shares[s].demands = loaded.controller->demands(loaded.now);
  }
  for (std::size_t i = 0; i < states.size(); ++i) {
    shares[i % 5].machines.push_back(states[i]);
    place::MachineRecord m;
    m.id = states[i].id, m.type = "plain-16", m.zone = "east", m.share = static_cast<int>(i % 5);
    records[m.id] = m;
  }
  fleet::Provisioner provisioner(loaded.settings, loaded.machine_types, {});
  for (auto _ : state) {
    loaded.now += kSecond / 2;
    benchmark::DoNotOptimize(provisioner.tick(loaded.now, shares, records));
  }
}

void ProvisionerPass(benchmark::State& state) {
  LoadedShare loaded(state.range(0), 5'000);
  plan_capacity(state, loaded, 1);
}

/// The same with the longest lists of demands in all shares.
void ProvisionerPassManyJobs(benchmark::State& state) {
  LoadedShare loaded(state.range(0));
  loaded.add_jobs_of_one_task(state.range(1), state.range(1));
  plan_capacity(state, loaded, 5);
}

/// Reads `n` job records, nine in ten of them done, into the dependency graph and a share controller.
void ColdStart(benchmark::State& state) {
  std::vector<std::pair<std::string, wire::Json>> rows;
  for (int i = 0; i < state.range(0); ++i) {
    auto r = make_job(i, 100, wire::Rank::low);
    const std::string id = r.spec->id;
    if (i % 10 != 0) r.status = wire::JobStatus::done, r.spec.reset();
    rows.emplace_back(id, job::record_to_json(r));
  }
  const auto settings = make_settings();
  const auto machine_types = make_machine_types();
  for (auto _ : state) {
    std::unordered_map<std::string, job::JobRecord> jobs;
    job::DependencyGraph graph([&](const std::string& id) -> const job::JobRecord* {
      auto it = jobs.find(id);
      return it == jobs.end() ? nullptr : &it->second;
    });
    ShareController controller(
        settings, machine_types, share::ShareControllerSettings{},
        [](const std::string&) -> const job::JobRecord* { return nullptr; }, 1, 0, 0);
    for (const auto& [id, value] : rows) {
      auto& kept = jobs[id] = job::record_from_json(value, 1);
      graph.update(id, kept);
      if (!kept.final()) controller.on_job_record(id, kept, false, 0, 0);
    }
    benchmark::DoNotOptimize(controller.waiting_tasks());
  }
}

#define MACHINE_COUNTS ->Arg(200)->Arg(800)->Arg(3200)->Arg(12800)->Unit(benchmark::kMicrosecond)
BENCHMARK(LearnResult) MACHINE_COUNTS;
BENCHMARK(ParseReport)->Arg(1)->Arg(16)->Arg(64);
BENCHMARK(UnchangedReport) MACHINE_COUNTS;
BENCHMARK(FinishedTask) MACHINE_COUNTS;
BENCHMARK(IdlePlanningPass) MACHINE_COUNTS;
BENCHMARK(FillEmptyMachines)->Arg(200)->Arg(800)->Arg(3200)->Unit(benchmark::kMillisecond)->Iterations(1);
BENCHMARK(EncodeGossip) MACHINE_COUNTS;
BENCHMARK(ListDemands)
    ->Args({1'000, 1})
    ->Args({50'000, 1})
    ->Args({50'000, 50})
    ->Args({50'000, 50'000})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(Takeover) MACHINE_COUNTS;
BENCHMARK(ProvisionerPass) MACHINE_COUNTS;
BENCHMARK(ProvisionerPassManyJobs)->Args({4'000, 50'000})->Unit(benchmark::kMicrosecond);
BENCHMARK(ColdStart)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace aspenwick
