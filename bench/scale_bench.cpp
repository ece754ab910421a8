// What one node's decisions cost by the number of machines in its hand: a finished task in the learner, a
// report, a planning pass, gossip, a takeover, a cold start. docs/scale.md keeps the curves.
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

constexpr int kCpus = 16;

wire::PlatformSettings platform() {
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

std::vector<wire::MachineType> types() {
  wire::MachineType t;
  t.name = "plain-16";
  t.total = {kCpus * 1'000'000LL, 0, 64'000'000LL};
  t.price = 1, t.spot_price = 0.3, t.cache_gb = 100;
  t.zones = {"east", "south"};
  return {t};
}

job::JobRecord job_of(int n, std::uint32_t tasks, wire::Rank rank) {
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

std::string name(std::int64_t i) {
  std::string s = std::to_string(i);
  return "i-" + std::string(6 - s.size(), '0') + s;
}

/// A share with `n` machines that are full of running tasks, and jobs that wait.
struct World {
  wire::PlatformSettings settings = platform();
  std::vector<wire::MachineType> machine_types = types();
  std::map<std::string, job::JobRecord> jobs;
  std::unique_ptr<ShareController> holder;
  std::vector<wire::WorkerReport> reports;
  Micros now = 1000 * kSecond;

  explicit World(std::int64_t n, std::uint32_t waiting = 0, bool empty = false) {
    holder = std::make_unique<ShareController>(
        settings, machine_types, share::ShareControllerSettings{},
        [this](const std::string& id) -> const job::JobRecord* {
          auto it = jobs.find(id);
          return it == jobs.end() ? nullptr : &it->second;
        },
        1, now, now);
    for (std::int64_t i = 0; i < n; ++i) {
      place::MachineRecord m;
      m.id = name(i), m.address = "10.0.0.1:9", m.type = "plain-16", m.zone = i % 2 ? "east" : "south";
      m.spot = i % 3 == 0, m.share = 0, m.epoch = 1, m.version = 1;
      holder->on_machine_record(m, true, now);
      wire::WorkerReport r;
      r.machine = m.id, r.address = m.address, r.type = m.type, r.zone = m.zone, r.spot = m.spot;
      r.session = 1;
      reports.push_back(std::move(r));
    }
    spdlog::set_level(spdlog::level::warn);
    holder->finish_loading(now);
    for (int twice = 0; twice < 2; ++twice)  // the second under our token
      for (auto& r : reports) report(r);
    if (empty) return;
    const auto room = static_cast<std::uint32_t>(n) * kCpus;
    add_jobs(room, 100);
    while (holder->tick(now, place::StartRefusal::none)) {
    }
    for (auto& r : reports) report(r);
    now += kSecond;
    for (auto& r : reports) {
      for (auto& t : r.tasks) t.state = wire::TaskState::running;
      report(r);
    }
    if (waiting > 0) add_jobs(waiting, 100);
  }

  void add_jobs(std::uint32_t tasks, std::uint32_t each) {
    for (std::uint32_t sum = 0; sum < tasks; sum += each) {
      const auto r = job_of(static_cast<int>(jobs.size()), each, wire::Rank::low);
      jobs[r.spec->id] = r;
      holder->on_job_record(r.spec->id, r, false, now, 0);
    }
  }

  /// As a worker does: what it is told shows in its next report.
  std::size_t report(wire::WorkerReport& r) {
    ++r.seq;
    const auto answer = holder->on_report(r, now, place::StartRefusal::none);
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

void Lesson(benchmark::State& state) {
  place::Rnn rnn;
  std::vector<place::Rnn::Neuron> all;
  for (std::int64_t i = 0; i < state.range(0); ++i) all.push_back(rnn.add_machine(name(i)));
  std::mt19937 random(1);
  std::lognormal_distribution<double> goal(0, 0.3);
  for (auto _ : state) {
    rnn.learn(all[random() % all.size()], goal(random));
    benchmark::DoNotOptimize(rnn.q(all[0]));
  }
}

void UnchangedReport(benchmark::State& state) {
  World w(state.range(0));
  std::size_t i = 0;
  for (auto _ : state) {
    w.report(w.reports[i]);
    i = (i + 1) % w.reports.size();
  }
}

/// The text of a report with as many running tasks.
void ReadReport(benchmark::State& state) {
  std::string body =
      R"({"rig":"i-000231","endpoint":"10.1.0.232:9000","rigtype":"plain-16","site":"east","loaner":false,)"
      R"("stint":1,"tally":88,"baton":1048576,"pieces":[)";
  for (std::int64_t i = 0; i < state.range(0); ++i)
    body += std::string(i ? "," : "") + R"({"piece":"j-00412)" + std::to_string(i) + "/" + std::to_string(i) +
            R"(","try":1048577,"status":"running"})";
  body += "]}";
  for (auto _ : state) benchmark::DoNotOptimize(wire::parse_report(body));
}

/// A report with a finished task, read from its text, and the pass that follows it.
void FinishedTask(benchmark::State& state) {
  World w(state.range(0), 50'000);
  std::size_t i = 0;
  for (auto _ : state) {
    w.now += 10 * kMillisecond;
    auto& r = w.reports[i];
    if (!r.tasks.empty()) {
      r.tasks[0].state = wire::TaskState::exited;
      r.tasks[0].cause = wire::Cause::done;
    }
    w.report(r);
    w.holder->tick(w.now, place::StartRefusal::none);
    w.report(r);
    i = (i + 1) % w.reports.size();
  }
}

/// A pass that fills an empty fleet; the time of one task.
void Burst(benchmark::State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    World w(state.range(0), 0, true);
    w.add_jobs(static_cast<std::uint32_t>(state.range(0)) * kCpus, 100);
    state.ResumeTiming();
    while (w.holder->tick(w.now, place::StartRefusal::none)) {
    }
  }
  state.counters["per_task"] =
      benchmark::Counter(static_cast<double>(state.range(0) * kCpus),
                         benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

/// Nothing has changed since the pass before, and everything is full.
void IdlePass(benchmark::State& state) {
  World w(state.range(0), 50'000);
  while (w.holder->tick(w.now, place::StartRefusal::none)) {
  }
  for (auto _ : state) {
    w.now += 15 * kMillisecond;
    w.holder->tick(w.now, place::StartRefusal::none);
    benchmark::DoNotOptimize(w.holder->take_pushes(w.now, 1000, place::StartRefusal::none));
  }
}

void Gossip(benchmark::State& state) {
  World w(state.range(0), 50'000);
  std::size_t bytes = 0;
  for (auto _ : state) {
    share::Gossip g;
    g.node = "n0";
    g.shares.push_back({0, true, w.holder->demands(w.now), w.holder->machine_states(w.now)});
    bytes = share::encode(g).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

/// From the first machine and job told to all of them accounted for, with the tasks found running.
void Takeover(benchmark::State& state) {
  World before(state.range(0));
  const std::size_t heap = mallinfo2().uordblks;
  for (auto _ : state) {
    ShareController h(
        before.settings, before.machine_types, share::ShareControllerSettings{},
        [&](const std::string& id) -> const job::JobRecord* { return &before.jobs.at(id); }, 2, before.now,
        before.now);
    for (const auto& [id, r] : before.jobs) h.on_job_record(id, r, false, before.now, 0);
    for (const auto& r : before.reports) {
      place::MachineRecord m;
      m.id = r.machine, m.address = r.address, m.type = r.type, m.zone = r.zone, m.share = 0, m.epoch = 1;
      h.on_machine_record(m, false, before.now);
    }
    h.finish_loading(before.now);
    for (auto r : before.reports) {
      r.seq += 1000;
      h.on_report(r, before.now, place::StartRefusal::none);
      r.seq += 1, r.token = std::uint64_t{2} << place::kEpochShift;
      h.on_report(r, before.now, place::StartRefusal::none);
    }
    if (!h.all_accounted_for()) state.SkipWithError("not rebuilt");
    state.counters["heap_MB"] = static_cast<double>(mallinfo2().uordblks - heap) / 1e6;  // this owner's
  }
}

/// A leader's plan over all machines, held as five shares.
void RentingPass(benchmark::State& state) {
  World w(state.range(0), 5'000);
  std::map<std::string, place::MachineRecord> records;
  std::vector<share::ShareReport> shares(5);
  const auto states = w.holder->machine_states(w.now);
  for (int s = 0; s < 5; ++s) shares[static_cast<std::size_t>(s)].share = s;
  shares[0].demands = w.holder->demands(w.now);
  for (std::size_t i = 0; i < states.size(); ++i) {
    shares[i % 5].machines.push_back(states[i]);
    place::MachineRecord m;
    m.id = states[i].id, m.type = "plain-16", m.zone = "east", m.share = static_cast<int>(i % 5);
    records[m.id] = m;
  }
  fleet::Provisioner provisioner(w.settings, w.machine_types, {});
  for (auto _ : state) {
    w.now += kSecond / 2;
    benchmark::DoNotOptimize(provisioner.tick(w.now, shares, records));
  }
}

/// Reading `n` job records, nine in ten of them history, into the graph and a owner.
void ColdStart(benchmark::State& state) {
  std::vector<std::pair<std::string, wire::Json>> rows;
  for (int i = 0; i < state.range(0); ++i) {
    auto r = job_of(i, 100, wire::Rank::low);
    const std::string id = r.spec->id;
    if (i % 10 != 0) r.status = wire::JobStatus::done, r.spec.reset();
    rows.emplace_back(id, job::record_to_json(r));
  }
  const auto settings = platform();
  const auto machine_types = types();
  for (auto _ : state) {
    std::unordered_map<std::string, job::JobRecord> jobs;
    job::DependencyGraph graph([&](const std::string& id) -> const job::JobRecord* {
      auto it = jobs.find(id);
      return it == jobs.end() ? nullptr : &it->second;
    });
    ShareController h(
        settings, machine_types, share::ShareControllerSettings{},
        [](const std::string&) -> const job::JobRecord* { return nullptr; }, 1, 0, 0);
    for (const auto& [id, value] : rows) {
      auto& kept = jobs[id] = job::record_from_json(value, 1);
      graph.update(id, kept);
      if (!kept.final()) h.on_job_record(id, kept, false, 0, 0);
    }
    benchmark::DoNotOptimize(h.waiting_tasks());
  }
}

#define SIZES ->Arg(200)->Arg(800)->Arg(3200)->Arg(12800)->Unit(benchmark::kMicrosecond)
BENCHMARK(Lesson) SIZES;
BENCHMARK(ReadReport)->Arg(1)->Arg(16)->Arg(64);
BENCHMARK(UnchangedReport) SIZES;
BENCHMARK(FinishedTask) SIZES;
BENCHMARK(IdlePass) SIZES;
BENCHMARK(Burst)->Arg(200)->Arg(800)->Arg(3200)->Unit(benchmark::kMillisecond)->Iterations(1);
BENCHMARK(Gossip) SIZES;
BENCHMARK(Takeover) SIZES;
BENCHMARK(RentingPass) SIZES;
BENCHMARK(ColdStart)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace aspenwick
