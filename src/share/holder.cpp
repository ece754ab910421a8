#include "share/holder.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace aspenwick::share {

using wire::Cause;
using wire::Rank;
using wire::Shape;
using wire::TaskReport;
using wire::TaskState;
using wire::WorkerReport;

namespace {
constexpr unsigned kBumpBits = 20;  // tokens: epoch, then fences drawn within it
constexpr double kDrift = 0.001;    // two clocks of 0.05% each
constexpr Micros kMargin = 300 * kMillisecond;
constexpr std::size_t kMaxOrders = 300;  // keeps an answer well under 64 KiB
constexpr Micros kRepeatHalt = kSecond;
constexpr Micros kPushAgain = 2 * kSecond;
constexpr Micros kHoldRoom = 3 * kSecond;  // for what it was made
constexpr Micros kDrainFor = 20 * kSecond;
constexpr std::size_t kMostDemands = 64;
constexpr Micros kDefaultWait = 60 * kSecond;
}  // namespace

std::uint64_t epoch_of_token(std::uint64_t token) { return token >> kBumpBits; }

wire::Json machine_to_json(const MachineRecord& m) {
  return {{"share", m.share}, {"epoch", m.epoch}, {"addr", m.address},
          {"type", m.type},   {"zone", m.zone},   {"spot", m.spot}};
}

MachineRecord machine_from_json(const std::string& id, const wire::Json& j, std::uint64_t version) {
  MachineRecord m;
  m.id = id;
  m.address = j.at("addr").get<std::string>();
  m.type = j.at("type").get<std::string>();
  m.zone = j.at("zone").get<std::string>();
  m.spot = j.at("spot").get<bool>();
  m.share = j.at("share").get<int>();
  m.epoch = j.at("epoch").get<std::uint64_t>();
  m.version = version;
  return m;
}

Holder::Holder(const wire::PlatformSettings& platform, const std::vector<wire::MachineType>& types,
               HolderSettings settings, JobLookup lookup, std::uint64_t epoch, Micros, Micros renewable_until)
    : platform_(platform),
      types_(types),
      settings_(settings),
      epoch_(epoch),
      renewable_until_(renewable_until),
      lookup_(std::move(lookup)),
      rnn_(settings.rnn),
      gpu_wanted_(types.size()) {}

Micros Holder::surely_lapsed(Micros answered) const {
  return answered + static_cast<Micros>(static_cast<double>(platform_.worker_lease) * (1 + kDrift)) + kMargin;
}

std::uint64_t Holder::floor(const Machine& m) const { return std::max(epoch_, m.record.epoch) << kBumpBits; }
std::uint64_t Holder::token(const Machine& m) const { return floor(m) + m.bump; }

const wire::Team* Holder::team(const std::string& name) const {
  for (const auto& t : platform_.teams)
    if (t.name == name) return &t;
  return nullptr;
}

// ---------------------------------------------------------------- events

void Holder::job_known(const std::string& id, const JobRecord& record, bool fresh, Micros now,
                       Micros time_of_day) {
  auto it = jobs_.find(id);
  if (record.final()) {
    if (it == jobs_.end()) return;
    Job& j = *it->second;
    (record.status == wire::JobStatus::withdrawn ? j.withdrawn : j.finished) = true;
    const auto active = j.active;  // halting a task not yet sent removes it
    for (const auto& [index, machine] : active) {
      Machine& m = machines_.at(machine);
      auto p = m.tasks.find({id, index});
      if (p == m.tasks.end()) continue;
      if (p->second.phase == Phase::assigned)
        drop(m, p, now, false);
      else
        halt(p->second, 0);
    }
    erase_if_over(id);
    return;
  }
  if (it != jobs_.end()) {
    it->second->version = record.version;
    return;
  }
  auto j = std::make_unique<Job>();
  j->spec = record.spec;
  j->id = id;
  j->version = record.version;
  j->submitted = now - std::max<Micros>(0, time_of_day - record.submitted);
  j->fresh = fresh;
  note_gpu_job(*record.spec);
  j->done = DoneSet(record.spec->tasks);
  j->recorded = j->done;
  j->chunk_versions.assign(j->done.chunks(), 0);
  jobs_.emplace(id, std::move(j));
}

void Holder::note_gpu_job(const JobSpec& spec) {
  if (spec.need.gpus == 0) return;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (job::type_allowed(spec, types_[i])) gpu_wanted_[i] = true;
}

void Holder::load_done(const std::string& job, std::uint32_t chunk, const std::string& text,
                       std::uint64_t version) {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || chunk >= it->second->chunk_versions.size()) return;
  it->second->done.merge_chunk(chunk, text);
  it->second->recorded.merge_chunk(chunk, text);
  it->second->chunk_versions[chunk] = version;
}

void Holder::loaded(Micros now) {
  loaded_ = true;
  check_rebuilt(now);
}

void Holder::machine_known(const MachineRecord& record, bool handed_empty, Micros now) {
  auto [it, added] = machines_.try_emplace(record.id);
  Machine& m = it->second;
  m.record = record;
  if (!added) return;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (types_[i].name == record.type) m.type = &types_[i], m.type_index = i;
  if (m.type) m.free = m.type->total;
  // A machine recorded before our takeover may hold anything until it reports under our token, or until the
  // lease that the former holder could last have renewed has lapsed. One that joins later was handed over
  // empty.
  m.handed_empty = handed_empty;
  m.lapse_at = surely_lapsed(handed_empty ? now : std::max(now, renewable_until_));
  m.idle_since = now;
  m.gpu_idle_since = now;
  rnn_.join(record.id);
}

void Holder::machine_gone(const std::string& id, Micros now) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  lapse(it->second, now, "left the share");
  rnn_.leave(id);
  machines_.erase(it);
  check_rebuilt(now);
}

// ---------------------------------------------------------------- reports

std::optional<Holder::Answer> Holder::on_report(const WorkerReport& r, Micros now, bool may_start) {
  auto it = machines_.find(r.machine);
  if (it == machines_.end()) return {};
  Machine& m = it->second;
  // A worker that has seen a higher token has another holder: our answer would be dropped.
  if (r.token > token(m)) return {};
  // Late or repeated reports (held packets) must not undo newer ones; they still get an answer.
  if (std::pair{r.session, r.seq} <= std::pair{m.session, m.seq}) return Answer{token(m), {}};
  apply(m, r, true, now);
  m.lapse_at = surely_lapsed(now);
  return Answer{token(m), take_orders(m, false, r.seq, may_start, now)};
}

bool Holder::apply(Machine& m, const WorkerReport& r, bool own_report, Micros now) {
  if (std::pair{r.session, r.seq} <= std::pair{m.session, m.seq}) return false;
  if (r.session > m.session && m.session != 0) lapse(m, now, "new session");
  m.session = r.session;
  m.seq = r.seq;
  m.seen_token = std::max(m.seen_token, r.token);
  m.up = true;
  m.last_report = now;
  m.record.address = r.address;
  if (r.notice && !m.taken_at) {
    m.taken_at = now + *r.notice;
    spdlog::info("machine {} will be taken in {:.1f} s", m.record.id, to_seconds(*r.notice));
  }
  m.forgets.clear();
  std::set<TaskKey> seen;
  for (const auto& t : r.tasks) {
    if (t.state == TaskState::exited) {
      task_exited(m, t, now);
      continue;
    }
    TaskKey key{t.job, t.index};
    auto p = m.tasks.find(key);
    if (p != m.tasks.end() && p->second.attempt != t.attempt) {
      // The machine holds another attempt than the one we meant: what it holds is the truth.
      if (p->second.phase == Phase::assigned || t.attempt > p->second.attempt) drop(m, p, now, true);
      p = m.tasks.find(key);
    }
    seen.insert(key);
    if (p == m.tasks.end()) {
      adopt(m, t, now);
      continue;
    }
    if (p->second.attempt != t.attempt) continue;
    p->second.fence = 0;
    if (t.state == TaskState::running && p->second.run_since == 0) p->second.run_since = now;
    if (t.state != TaskState::fetching && p->second.phase != Phase::running && p->second.job)
      has_image(m, *p->second.job->spec);
    p->second.phase = t.state == TaskState::running ? Phase::running : Phase::present;
  }
  for (auto p = m.tasks.begin(); p != m.tasks.end();) {
    auto here = p++;
    const Placed& x = here->second;
    if (seen.contains(here->first) || x.phase == Phase::assigned) continue;
    bool gone = true;
    if (x.phase == Phase::sent) {
      // An order in an answer was carried out or dropped before the next report is sent; an order pushed may
      // still arrive, however late, until the worker has seen a higher token.
      gone = x.by_push ? x.fence != 0 && r.token >= x.fence : own_report && r.seq > x.answer_seq;
    }
    if (gone) drop(m, here, now, true);
  }
  if (!m.accounted && r.token >= floor(m)) {
    m.accounted = true;
    check_rebuilt(now);
  }
  return true;
}

void Holder::adopt(Machine& m, const TaskReport& t, Micros now) {
  Placed p;
  p.job_id = t.job;
  p.index = t.index;
  p.attempt = t.attempt;
  p.phase = t.state == TaskState::running ? Phase::running : Phase::present;
  p.started = now;
  auto it = jobs_.find(t.job);
  if (it == jobs_.end() && lookup_(t.job) == nullptr) return;  // not known yet: leave it alone
  if (it != jobs_.end() && t.index < it->second->spec->tasks) {
    Job& j = *it->second;
    p.need = j.spec->need;
    p.team = j.spec->team;
    if (auto a = j.active.find(t.index); a != j.active.end()) {
      // Meant for another machine and not sent yet: what runs stays, or the task would run twice.
      Machine& other = machines_.at(a->second);
      auto q = other.tasks.find({t.job, t.index});
      if (q != other.tasks.end() && q->second.phase == Phase::assigned) drop(other, q, now, true);
    }
    if (!j.withdrawn && !j.finished && !j.done.test(t.index) && !j.active.contains(t.index)) {
      p.job = &j;
      j.active[t.index] = m.record.id;
      j.again.erase(t.index);
      if (t.state != TaskState::fetching) has_image(m, *j.spec);
    } else if (!j.active.contains(t.index)) {
      p.job = &j;  // over, but it must be seen to go
      j.active[t.index] = m.record.id;
      halt(p, 0);
    } else {
      halt(p, 0);
    }
  } else {
    // Another share's, or over. What is over holds its place and counts against its team until it is gone.
    if (const JobRecord* r = lookup_(t.job); r && r->spec) p.need = r->spec->need, p.team = r->spec->team;
    halt(p, 0);
  }
  m.free -= p.need;
  if (!p.team.empty()) team_use_[p.team] += p.need;
  m.tasks.emplace(TaskKey{t.job, t.index}, std::move(p));
}

void Holder::task_exited(Machine& m, const TaskReport& t, Micros now) {
  auto p = m.tasks.find({t.job, t.index});
  auto it = jobs_.find(t.job);
  Job* j = it == jobs_.end() ? nullptr : it->second.get();
  const bool ours = p != m.tasks.end() && p->second.attempt == t.attempt;
  if (t.cause == Cause::done && j && t.index < j->spec->tasks) {
    if (j->done.set(t.index)) {
      j->dirty.insert(t.index / DoneSet::kChunk);
      j->again.erase(t.index);
      if (ours) task_done(*j, m, p->second, now);
    }
    if (ours) drop(m, p, now, false);
    // An attempt of it elsewhere has nothing left to do.
    if (auto a = j->active.find(t.index); a != j->active.end()) {
      Machine& other = machines_.at(a->second);
      auto q = other.tasks.find({t.job, t.index});
      if (q != other.tasks.end()) {
        if (q->second.phase == Phase::assigned)
          drop(other, q, now, false);
        else
          halt(q->second, 0);
      }
    }
    // The result is forgotten only once it is recorded, or a crash here would lose it.
    if (j->recorded.test(t.index) || j->finished || j->withdrawn)
      m.forgets.push_back({Order::Verb::forget, t.job, t.index, t.attempt, 0});
    erase_if_over(t.job);
    return;
  }
  if (ours) {
    if (t.cause == Cause::error && j) task_failed(*j, m, now);
    if (t.cause == Cause::no_room && j) j->not_before = std::max(j->not_before, now + 200 * kMillisecond);
    if (t.cause == Cause::unknown && j) j->not_before = now + 2 * kSecond;
    spdlog::debug("exited {}/{} try {} on {} cause {}", t.job, t.index, t.attempt, m.record.id,
                  static_cast<int>(t.cause));
    drop(m, p, now, true);
  }
  if (t.cause == Cause::done && !j && lookup_(t.job) == nullptr)
    return;  // a job not known yet: keep its result
  m.forgets.push_back({Order::Verb::forget, t.job, t.index, t.attempt, 0});
}

void Holder::task_done(Job& j, Machine& m, const Placed& p, Micros now) {
  m.error_jobs.clear();
  if (p.run_since == 0 || j.spec->shape == Shape::service) return;
  const double run = std::max(0.05, to_seconds(now - p.run_since));
  j.run_sum += run;
  ++j.run_count;
  const double goal = settings_.rnn.normalise ? run / (j.run_sum / j.run_count) : run;
  rnn_.learn(m.record.id, goal);
  spdlog::debug("learn {} goal {:.3f} threshold {:.3f} q {:.4f}", m.record.id, goal, rnn_.threshold(),
                rnn_.q(m.record.id));
}

void Holder::task_failed(Job& j, Machine& m, Micros now) {
  ++j.errors;
  j.bad_machines.insert(m.record.id);
  m.error_jobs.insert(j.id);
  if (j.bad_machines.size() >= 3) {
    // It fails wherever it runs: the job is to blame. It backs off, and the machines are cleared of it.
    j.not_before = now + std::min<Micros>(60 * kSecond, settings_.error_backoff << std::min(j.errors, 5));
    for (const auto& id : j.bad_machines)
      if (auto it = machines_.find(id); it != machines_.end()) {
        it->second.error_jobs.erase(j.id);
        it->second.suspect_until = 0;
      }
    j.bad_machines.clear();
  } else if (static_cast<int>(m.error_jobs.size()) >= 2) {
    m.suspect_until = now + settings_.suspect_for;
    spdlog::info("machine {} is suspect: tasks of {} jobs failed on it", m.record.id, m.error_jobs.size());
  }
}

void Holder::lapse(Machine& m, Micros now, const char* why) {
  if (!m.tasks.empty()) spdlog::info("machine {}: {} tasks gone ({})", m.record.id, m.tasks.size(), why);
  while (!m.tasks.empty()) drop(m, m.tasks.begin(), now, true);
  m.forgets.clear();
}

void Holder::drop(Machine& m, std::map<TaskKey, Placed>::iterator it, Micros now, bool again) {
  const Placed p = it->second;
  m.tasks.erase(it);
  m.free += p.need;
  if (m.tasks.empty()) m.idle_since = now;
  if (p.need.gpus > 0) m.gpu_idle_since = now;
  if (!p.team.empty()) team_use_[p.team] -= p.need;
  Job* j = p.job;
  if (!j) return;
  j->active.erase(p.index);
  if (j->withdrawn || j->finished) {
    erase_if_over(p.job_id);
    return;
  }
  if (!again || j->done.test(p.index)) return;
  j->again.insert(p.index);
  // A gang runs whole or not at all: the rest must be gone before the next attempt.
  if (j->spec->shape == Shape::gang && !j->active.empty() && p.attempt == j->gang_attempt) stop_gang(*j, 0);
}

void Holder::halt(Placed& p, Micros grace) {
  if (p.halting && grace >= p.grace) return;
  p.halting = true;
  p.grace = grace;
  p.halt_sent = 0;
}

void Holder::stop_gang(Job& j, Micros grace) {
  for (const auto& [index, machine] : j.active) {
    auto& tasks = machines_.at(machine).tasks;
    if (auto p = tasks.find({j.id, index}); p != tasks.end()) halt(p->second, grace);
  }
}

void Holder::erase_if_over(const std::string& id) {
  auto it = jobs_.find(id);
  if (it != jobs_.end() && (it->second->withdrawn || it->second->finished) && it->second->active.empty())
    jobs_.erase(it);
}

// ---------------------------------------------------------------- orders

std::vector<Order> Holder::take_orders(Machine& m, bool by_push, std::uint64_t answer_seq, bool may_start,
                                       Micros now) {
  std::vector<Order> out;
  for (auto it = m.tasks.begin(); it != m.tasks.end() && out.size() < kMaxOrders;) {
    auto here = it++;
    Placed& p = here->second;
    if (p.halting) {
      if (p.phase == Phase::assigned) {
        drop(m, here, now, true);
      } else if (!by_push || now - p.halt_sent >= kRepeatHalt) {
        p.halt_sent = now;
        out.push_back({Order::Verb::halt, p.job_id, p.index, p.attempt, p.grace});
      }
      continue;
    }
    if (p.phase != Phase::assigned || !may_start || !m.accounted) continue;
    p.phase = Phase::sent;
    p.by_push = by_push;
    p.answer_seq = answer_seq;
    p.started = now;
    out.push_back({Order::Verb::launch, p.job_id, p.index, p.attempt, 0});
  }
  // Room first: halts and forgets go before launches.
  std::stable_partition(out.begin(), out.end(), [](const Order& o) { return o.verb != Order::Verb::launch; });
  for (const auto& f : m.forgets) {
    if (out.size() >= kMaxOrders) break;
    out.push_back(f);
  }
  m.forgets.clear();
  return out;
}

std::vector<Holder::Push> Holder::pushes(Micros now) {
  std::vector<Push> out;
  if (!loaded_) return out;
  for (auto& [id, m] : machines_) {
    if (m.pushing || now < m.push_again || m.record.address.empty()) continue;
    bool wanted = !m.accounted && now < m.lapse_at;
    for (const auto& [key, p] : m.tasks) {
      if (wanted) break;
      wanted = p.phase == Phase::assigned || (p.halting && now - p.halt_sent >= kRepeatHalt);
    }
    if (!wanted) continue;
    if (m.accounted && !m.up) continue;
    Push push{id, m.record.address, token(m), m.session, {}};
    if (m.accounted) push.orders = take_orders(m, true, 0, true, now);
    m.pushing = true;
    out.push_back(std::move(push));
  }
  return out;
}

void Holder::pushed(const std::string& machine, int status, const WorkerReport* report, Micros now) {
  auto it = machines_.find(machine);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  m.pushing = false;
  if ((status == 200 || status == 409) && report) {
    for (auto p = m.tasks.begin(); p != m.tasks.end();) {
      auto here = p++;
      Placed& x = here->second;
      if (x.phase != Phase::sent || !x.by_push || x.fence != 0) continue;
      if (status == 409)
        drop(m, here, now, true);  // nothing was executed
      else
        x.by_push = false, x.answer_seq = 0;  // executed: the next newer report shows it
    }
    apply(m, *report, false, now);
    if (status == 409) m.push_again = m.accounted ? now + kSecond / 2 : now;
    return;
  }
  // No answer: the orders may arrive minutes later (held packets), also after the task was placed elsewhere.
  // A higher token fences them; until a report shows that the worker has seen it, those tasks count as being
  // there.
  ++m.bump;
  m.push_again = now + kPushAgain;
  for (auto& [key, p] : m.tasks)
    if (p.phase == Phase::sent && p.by_push) p.fence = token(m);
}

// ---------------------------------------------------------------- planning

void Holder::check_rebuilt(Micros) {
  if (rebuilt_ || !loaded_) return;
  for (const auto& [id, m] : machines_)
    if (!m.accounted && !m.handed_empty) return;
  rebuilt_ = true;
  spdlog::info("share {}: rebuilt, {} machines, {} jobs", settings_.share, machines_.size(), jobs_.size());
}

void Holder::tick(Micros now, bool may_start) {
  if (!loaded_) return;
  for (auto& [id, m] : machines_) {
    if (now >= m.lapse_at && (m.up || !m.accounted)) {
      lapse(m, now, "lease lapsed");
      m.up = false;
      m.accounted = true;
      check_rebuilt(now);
    }
    if (m.drain_until > 0 && now >= m.drain_until) m.drain_until = 0, m.drain_to = -2;
    if (m.taken_at)  // save what can be saved before the machine goes
      for (auto& [key, p] : m.tasks)
        if (p.job && !p.halting && p.job->spec->checkpoint_every > 0 && p.phase != Phase::assigned) {
          if (p.job->spec->shape == Shape::gang)
            stop_gang(*p.job, p.job->spec->save_time);
          else
            halt(p, p.job->spec->save_time);
        }
  }
  if (may_start) place_all(now);
}

Micros Holder::slack(const Job& j, Micros now) const {
  if (j.spec->deadline) return j.submitted + *j.spec->deadline - j.spec->estimate - now;
  return j.submitted + start_within(j) - now;
}

Micros Holder::start_within(const Job& j) const {
  Micros within = kDefaultWait;
  for (const auto& o : platform_.objectives)
    if (o.kind == "wait" && o.job_class == j.spec->job_class) within = o.within;
  return within;
}

/// Seconds that a task of the job takes, as seen so far or as its owner guessed.
double Holder::run_time(const Job& j) {
  return j.run_count >= 3 ? j.run_sum / j.run_count : to_seconds(j.spec->estimate);
}

std::vector<Holder::Job*> Holder::ordered_jobs(Micros now) {
  struct Entry {
    Job* job;
    bool guaranteed, late;
    Micros slack;
  };
  std::vector<Entry> list;
  for (auto& [id, j] : jobs_) {
    if (j->withdrawn || j->finished || j->waiting() == 0) continue;
    const bool guaranteed = within_guarantee(*j);
    const Micros left = slack(*j, now);
    // Once a deadline can no longer be kept, the job makes way for those that still can: by deadline alone,
    // all jobs of an overloaded hour would be late together. Of the late ones, the shortest first.
    const bool late = j->spec->deadline && left < 0;
    list.push_back({j.get(), guaranteed, late, left});
  }
  const auto before = [](const Entry& a, const Entry& b) {
    if (a.job->spec->rank != b.job->spec->rank) return a.job->spec->rank > b.job->spec->rank;
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.late != b.late) return b.late;
    if (a.slack != b.slack) return a.slack < b.slack;
    return a.job->id < b.job->id;
  };
  std::sort(list.begin(), list.end(), before);
  // When not all deadlines can be kept, keep as many as can be: in the order of deadlines, whenever a job
  // would be late, the largest so far makes way (Moore's rule). Taken one after another, all would miss by a
  // little.
  double low_slots = 0;
  for (const auto& [id, j] : jobs_)
    if (j->spec->rank == Rank::low && j->spec->shape == Shape::array)
      low_slots += static_cast<double>(j->active.size());
  double work = 0;
  std::vector<std::pair<Entry*, double>> kept;
  for (Entry& e : list) {
    if (e.late || !e.job->spec->deadline || e.job->spec->rank != Rank::low || low_slots < 1) continue;
    kept.emplace_back(&e, e.job->waiting() * run_time(*e.job));
    work += kept.back().second;
    while (work / low_slots > to_seconds(e.slack) && !kept.empty()) {
      auto largest = std::max_element(kept.begin(), kept.end(),
                                      [](const auto& a, const auto& b) { return a.second < b.second; });
      largest->first->late = true;
      work -= largest->second;
      kept.erase(largest);
    }
  }
  for (Entry& e : list)
    if (e.late) e.slack = static_cast<Micros>(e.job->waiting());
  std::sort(list.begin(), list.end(), before);
  std::vector<Job*> out;
  out.reserve(list.size());
  for (const auto& e : list) out.push_back(e.job);
  return out;
}

bool Holder::place_allowed(const Job& j) const {
  if (j.committing) return false;
  if (rebuilt_) return true;
  // Until all machines are accounted for, only jobs that cannot run anywhere yet, of teams without a limit
  // that unseen tasks might use up.
  const wire::Team* t = team(j.spec->team);
  return j.fresh && t && t->limit.cpus == 0 && t->limit.gpus == 0;
}

bool Holder::within_limit(const Job& j, std::uint32_t tasks) const {
  const wire::Team* t = team(j.spec->team);
  if (!t) return false;
  auto it = team_use_.find(j.spec->team);
  const Resources after = (it == team_use_.end() ? Resources{} : it->second) + j.spec->need * tasks;
  return (t->limit.cpus == 0 || j.spec->need.cpus == 0 || after.cpus <= t->limit.cpus) &&
         (t->limit.gpus == 0 || j.spec->need.gpus == 0 || after.gpus <= t->limit.gpus);
}

bool Holder::within_guarantee(const Job& j) const {
  const wire::Team* t = team(j.spec->team);
  if (!t) return false;
  auto it = team_use_.find(j.spec->team);
  const Resources after = (it == team_use_.end() ? Resources{} : it->second) + j.spec->need;
  // Something must be guaranteed of what the job mainly takes; 0 means no guarantee.
  if ((j.spec->need.gpus > 0 ? t->guaranteed.gpus : t->guaranteed.cpus) == 0) return false;
  return (t->guaranteed.cpus == 0 || after.cpus <= t->guaranteed.cpus) &&
         (t->guaranteed.gpus == 0 || after.gpus <= t->guaranteed.gpus);
}

/// Another team's work that it runs beyond its own guarantee, of the kind that is wanted.
bool Holder::borrowed(const Job& j, const Placed& p) const {
  if (p.team.empty() || p.team == j.spec->team) return false;
  const wire::Team* t = team(p.team);
  auto it = team_use_.find(p.team);
  if (!t || it == team_use_.end()) return false;
  return j.spec->need.gpus > 0 ? p.need.gpus > 0 && it->second.gpus > t->guaranteed.gpus
                               : it->second.cpus > t->guaranteed.cpus;
}

std::map<std::string, int> Holder::zones_of(const Job& j) const {
  std::map<std::string, int> zones;
  for (const auto& [index, machine] : j.active) ++zones[machines_.at(machine).record.zone];
  return zones;
}

bool Holder::machine_allowed(const Job& j, const Machine& m, Micros now) const {
  if (!m.type || !m.up || !m.accounted || m.leaving || m.taken_at || m.suspect_until > now) return false;
  if (m.drain_until > now) return false;
  // Room that is being made bit by bit must not be filled again from below.
  if (m.held_until > now && j.spec->rank < m.held_for) return false;
  if (m.record.spot && !j.spec->spot) return false;
  if (j.spec->zone && *j.spec->zone != m.record.zone) return false;
  if (!job::type_allowed(*j.spec, *m.type)) return false;
  return !j.bad_machines.contains(m.record.id);
}

bool Holder::fits(const Job& j, const Machine& m, const Resources& free) const {
  // Machines for GPU work take other work only if it can make way at once: what stays, or outranks GPU work,
  // would keep a dear machine rented for a few CPUs.
  if (j.spec->need.gpus == 0 && gpu_wanted_[m.type_index] &&
      (j.spec->rank > Rank::low || j.spec->shape != Shape::array))
    return false;
  return j.spec->need.fits_in(free);
}

std::optional<std::uint32_t> Holder::next_task(Job& j) {
  if (!j.again.empty()) return *j.again.begin();
  while (j.cursor < j.spec->tasks && (j.done.test(j.cursor) || j.active.contains(j.cursor))) ++j.cursor;
  if (j.cursor >= j.spec->tasks) return {};
  return j.cursor;
}

/// Machines that cost much more for this kind of task are a tier of their own: q decides within the cheapest
/// tier that has room. A long-running task on a GPU machine that it does not need would keep it rented.
int Holder::dearness(const Job& j, const Machine& m) const {
  if (j.spec->need.gpus == 0) return m.type->total.gpus > 0 ? 1 : 0;
  return m.record.spot ? 0 : 1;
}

/// The machine has the image of a task that got past fetching. Like the worker, we take it that those used
/// last are kept.
void Holder::has_image(Machine& m, const JobSpec& spec) {
  if (spec.image.empty() || !m.type) return;
  std::erase_if(m.images, [&](const auto& i) { return i.first == spec.image; });
  m.images.insert(m.images.begin(), {spec.image, spec.image_gb});
  double sum = 0;
  for (std::size_t i = 0; i < m.images.size(); ++i)
    if (sum += m.images[i].second; sum > m.type->cache_gb) return m.images.resize(i);
}

/// How soon a task could start there: 2 with its image, 1 while another task fetches it.
int Holder::warmth(const Job& j, const Machine& m) const {
  if (j.spec->image.empty()) return 2;
  if (std::any_of(m.images.begin(), m.images.end(), [&](const auto& i) { return i.first == j.spec->image; }))
    return 2;
  return std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
    return t.second.job && t.second.phase != Phase::assigned && t.second.job->spec->image == j.spec->image;
  });
}

/// Production keeps a machine rented for long. For half of the time that it may take to start, it waits for a
/// machine without GPUs, which the leader has drained elsewhere, rather than settle on a dear one.
bool Holder::await_plain(const Job& j, Micros now) const {
  if (j.spec->rank != Rank::production || j.spec->need.gpus > 0) return false;
  if (now - j.submitted >= start_within(j) / 2) return false;
  return std::any_of(types_.begin(), types_.end(),
                     [&](const auto& t) { return t.total.gpus == 0 && job::type_allowed(*j.spec, t); });
}

bool Holder::place_one(Job& j, std::uint32_t index, std::uint64_t attempt, bool cheap_only, Micros now,
                       const std::string& zone) {
  if (!within_limit(j, 1)) return false;
  std::map<std::string, int> zones;
  if (j.spec->one_zone || j.spec->spread) zones = zones_of(j);
  const int zone_limit = static_cast<int>((j.spec->tasks + 1) / 2);
  std::vector<Machine*> fit;
  for (const auto& [id, m] : machines_)
    if (m.tasks.contains({j.id, index})) return false;  // an old attempt is still there
  for (auto& [id, m] : machines_) {
    if (!machine_allowed(j, m, now) || !fits(j, m, m.free)) continue;
    if (!zone.empty() && m.record.zone != zone) continue;
    if (j.spec->one_zone && !zones.empty() && !zones.contains(m.record.zone)) continue;
    if (j.spec->spread)
      if (auto z = zones.find(m.record.zone); z != zones.end() && z->second >= zone_limit) continue;
    fit.push_back(&m);
  }
  if (fit.empty()) return false;
  int tier = 9;
  for (const Machine* m : fit) tier = std::min(tier, dearness(j, *m));
  if (cheap_only && tier > 0) return false;
  std::erase_if(fit, [&](const Machine* m) { return dearness(j, *m) > tier; });
  // Among these, where the image is: fetching it takes as long as many tasks run.
  int warm = 0;
  for (const Machine* m : fit) warm = std::max(warm, warmth(j, *m));
  std::erase_if(fit, [&](const Machine* m) { return warmth(j, *m) < warm; });
  // Equal q: spot machines first, then the fullest.
  std::sort(fit.begin(), fit.end(), [&](const Machine* a, const Machine* b) {
    if (a->record.spot != b->record.spot) return a->record.spot;
    if (a->free.cpus != b->free.cpus) return a->free.cpus < b->free.cpus;
    return a->record.id < b->record.id;
  });
  std::vector<std::string> names;
  names.reserve(fit.size());
  for (const Machine* m : fit) names.push_back(m->record.id);
  Machine& m = *fit[rnn_.choose(names)];
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("place {}/{} try {} on {} q {:.4f} of {} with room", j.id, index, attempt, m.record.id,
                  rnn_.q(m.record.id), fit.size());
  Placed p;
  p.job = &j;
  p.job_id = j.id;
  p.index = index;
  p.attempt = attempt;
  p.need = j.spec->need;
  p.team = j.spec->team;
  p.started = now;
  m.free -= p.need;
  m.tasks.emplace(TaskKey{j.id, index}, std::move(p));
  j.active[index] = m.record.id;
  j.again.erase(index);
  team_use_[j.spec->team] += j.spec->need;
  return true;
}

/// How many tasks of the job `room` holds.
std::int64_t Holder::slots(const Job& j, const Machine& m, Resources room) const {
  std::int64_t n = 0;
  for (; n < j.spec->tasks && fits(j, m, room); ++n) room -= j.spec->need;
  return n;
}

/// The zones in which a gang that needs one could start, given the room that `room_of` tells of each machine:
/// the one with the least to spare first, so that the other stays open for a larger gang. A single "" if any
/// will do.
std::vector<std::string> Holder::gang_zones(const Job& j, Micros now,
                                            const std::function<Resources(const Machine&)>& room_of) const {
  std::map<std::string, std::int64_t> found;
  for (const auto& [id, m] : machines_)
    if (machine_allowed(j, m, now)) found[j.spec->one_zone ? m.record.zone : ""] += slots(j, m, room_of(m));
  std::vector<std::string> out;
  for (const auto& [zone, n] : found)
    if (n >= j.spec->tasks) out.push_back(zone);
  std::sort(out.begin(), out.end(),
            [&](const std::string& a, const std::string& b) { return found[a] < found[b]; });
  return out;
}

bool Holder::place_gang(Job& j, Micros now) {
  // Old attempts must be gone before the new one starts.
  if (!j.active.empty() || !within_limit(j, j.spec->tasks)) return false;
  const auto zones = gang_zones(j, now, [](const Machine& m) { return m.free; });
  if (zones.empty()) return false;
  const std::uint64_t attempt = (epoch_ << kBumpBits) + attempts_ + 1;
  j.gang_attempt = attempt;
  for (std::uint32_t i = 0; i < j.spec->tasks; ++i) {
    if (j.done.test(i)) continue;
    if (place_one(j, i, attempt, false, now, zones.front())) continue;
    // All or none.
    j.gang_attempt = 0;
    const auto active = j.active;
    for (const auto& [index, machine] : active) {
      Machine& m = machines_.at(machine);
      drop(m, m.tasks.find({j.id, index}), now, true);
    }
    return false;
  }
  ++attempts_;
  return true;
}

/// Stops lower ranks on as many machines of one zone as the whole gang needs, or on none.
bool Holder::make_gang_room(Job& j, Micros now) {
  if (!j.active.empty() || !within_limit(j, j.spec->tasks)) return false;
  auto below = [&](const Placed& p) { return p.job && p.job->spec->rank < j.spec->rank; };
  auto room_of = [&](const Machine& m) {
    Resources room = m.free;
    for (const auto& [key, p] : m.tasks)
      if (p.halting || below(p)) room += p.need;
    return room;
  };
  const auto zones = gang_zones(j, now, room_of);
  if (zones.empty()) return false;
  struct Choice {
    Machine* machine;
    std::int64_t slots;
    double loss;
  };
  std::vector<Choice> choices;
  for (auto& [id, m] : machines_) {
    if (!machine_allowed(j, m, now) || (j.spec->one_zone && m.record.zone != zones.front())) continue;
    const auto n = slots(j, m, room_of(m));
    double loss = 0;
    for (const auto& [key, p] : m.tasks)
      if (!p.halting && below(p)) loss += to_seconds(now - p.started) * static_cast<double>(p.need.cpus);
    if (n > 0) choices.push_back({&m, n, loss});
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
  std::int64_t missing = j.spec->tasks;
  for (const auto& c : choices) {
    if (missing <= 0) break;
    Machine& m = *c.machine;
    missing -= c.slots;
    m.held_for = j.spec->rank;
    m.held_until = now + kHoldRoom;
    for (auto& [key, p] : m.tasks) {
      if (slots(j, m, m.free) >= c.slots || p.halting || !below(p)) continue;
      const Micros grace = p.job->spec->checkpoint_every > 0 ? p.job->spec->save_time : 0;
      if (p.job->spec->shape == Shape::gang)
        stop_gang(*p.job, grace);
      else
        halt(p, grace);
    }
  }
  return true;
}

bool Holder::make_room(Job& j, Micros now) {
  std::int64_t missing = j.waiting();
  const bool guaranteed = within_guarantee(j);
  if (guaranteed && j.spec->rank < Rank::high) {  // others' work is stopped for the guaranteed part only
    const auto& g = team(j.spec->team)->guaranteed;
    const auto& use = team_use_[j.spec->team];
    missing = std::min(missing, j.spec->need.gpus > 0 ? (g.gpus - use.gpus) / j.spec->need.gpus
                                                      : (g.cpus - use.cpus) / j.spec->need.cpus);
  }
  if (!within_limit(j, 1)) return false;
  const int zone_limit = static_cast<int>((j.spec->tasks + 1) / 2);
  const auto zones = zones_of(j);
  Machine* best = nullptr;
  std::vector<Placed*> best_victims;
  double best_loss = 0;
  for (auto& [id, m] : machines_) {
    if (!machine_allowed(j, m, now)) continue;
    if (j.spec->one_zone && !zones.empty() && !zones.contains(m.record.zone)) continue;
    if (j.spec->spread)
      if (auto z = zones.find(m.record.zone); z != zones.end() && z->second >= zone_limit) continue;
    Resources coming = m.free;
    bool stopping = false;
    for (const auto& [key, p] : m.tasks)
      if (p.halting) coming += p.need, stopping = true;
    if (stopping) {  // room that is already on its way
      while (missing > 0 && fits(j, m, coming)) coming -= j.spec->need, --missing;
      if (missing <= 0) return false;
    }
    std::vector<Placed*> low;
    for (auto& [key, p] : m.tasks)
      if (p.job && !p.halting && (p.job->spec->rank < j.spec->rank || (guaranteed && borrowed(j, p))))
        low.push_back(&p);
    std::sort(low.begin(), low.end(), [](const Placed* a, const Placed* b) {
      return std::pair{a->job->spec->rank, -a->started} < std::pair{b->job->spec->rank, -b->started};
    });
    std::vector<Placed*> victims;
    double loss = 0;
    for (Placed* p : low) {
      if (fits(j, m, coming)) break;
      coming += p->need;
      victims.push_back(p);
      loss += to_seconds(now - p->started) * static_cast<double>(p->need.cpus + 8 * p->need.gpus);
    }
    // The same test as for placing: else tasks are stopped for room that is then refused, again and again.
    if (victims.empty() || !fits(j, m, coming)) continue;
    if (!best || loss < best_loss) best = &m, best_victims = victims, best_loss = loss;
  }
  if (!best) return false;
  best->held_for = j.spec->rank;
  best->held_until = now + kHoldRoom;
  for (Placed* p : best_victims) {
    spdlog::debug("preempt {}/{} on {} for {}", p->job_id, p->index, best->record.id, j.id);
    const Micros grace = p->job->spec->checkpoint_every > 0 ? p->job->spec->save_time : 0;
    if (p->job->spec->shape == Shape::gang)
      stop_gang(*p->job, grace);
    else
      halt(*p, grace);
  }
  return true;
}

void Holder::place_all(Micros now) {
  for (Job* j : ordered_jobs(now)) {
    if (!place_allowed(*j) || now < j->not_before) continue;
    if (j->spec->shape == Shape::gang) {
      if (place_gang(*j, now) || !j->active.empty() || j->spec->rank == Rank::low) continue;
      if (!make_gang_room(*j, now) && j->spec->tasks == 1) make_room(*j, now);  // of what others borrowed
      continue;
    }
    auto place = [&](bool cheap_only) {  // true: all that waits
      while (auto index = next_task(*j)) {
        if (!place_one(*j, *index, (epoch_ << kBumpBits) + attempts_ + 1, cheap_only, now)) return false;
        ++attempts_;
      }
      return true;
    };
    // Production rather displaces lower ranks than stay on a dear machine. What is done soon takes dear room
    // that is there anyway: displaced work is lost.
    const bool may_displace = j->spec->rank >= Rank::high || within_guarantee(*j);
    const bool stays = j->spec->rank == Rank::production;
    if (place(stays) || !may_displace) continue;
    bool coming = false;
    for (std::uint32_t i = 0; i < j->waiting() && i < 8 && make_room(*j, now); ++i) coming = true;
    if (!coming && stays && !await_plain(*j, now)) place(false);
  }
}

// ---------------------------------------------------------------- records

std::vector<Holder::DoneWrite> Holder::done_writes(std::size_t most) {
  std::vector<DoneWrite> out;
  if (most == 0) return out;
  // Most unrecorded results first: in the order of names some jobs would never have their turn.
  std::vector<Job*> dirty;
  for (auto& [id, j] : jobs_)
    if (!j->withdrawn && !j->finished && !j->committing && !j->done.all() && !j->dirty.empty())
      dirty.push_back(j.get());
  std::sort(dirty.begin(), dirty.end(), [](const Job* a, const Job* b) {
    return a->done.count() - a->recorded.count() > b->done.count() - b->recorded.count();
  });
  for (Job* j : dirty) {
    for (auto it = j->dirty.begin(); it != j->dirty.end() && out.size() < most;) {
      if (j->in_flight.contains(*it)) {
        ++it;
        continue;
      }
      out.push_back({j->id, *it, j->done.chunk_text(*it), j->chunk_versions[*it]});
      j->in_flight.insert(*it);
      it = j->dirty.erase(it);
    }
  }
  return out;
}

void Holder::done_written(const DoneWrite& w, bool ok, std::uint64_t version) {
  auto it = jobs_.find(w.job);
  if (it == jobs_.end()) return;
  Job& j = *it->second;
  j.in_flight.erase(w.chunk);
  if (!ok) j.dirty.insert(w.chunk);
  j.chunk_versions[w.chunk] = version;
  if (ok) j.recorded.merge_chunk(w.chunk, w.text);
}

std::vector<std::string> Holder::complete_jobs() const {
  std::vector<std::string> out;
  for (const auto& [id, j] : jobs_)
    if (!j->withdrawn && !j->finished && !j->committing && j->done.all() && j->in_flight.empty())
      out.push_back(id);
  return out;
}

std::vector<std::string> Holder::done_keys(const std::string& job) const {
  std::vector<std::string> out;
  auto it = jobs_.find(job);
  if (it == jobs_.end()) return out;
  for (std::size_t c = 0; c < it->second->chunk_versions.size(); ++c)
    if (it->second->chunk_versions[c] != 0) out.push_back(job + "/" + std::to_string(c));
  return out;
}

void Holder::set_committing(const std::string& job, bool on) {
  if (auto it = jobs_.find(job); it != jobs_.end()) it->second->committing = on;
}

bool Holder::release(const std::string& machine, Micros) {
  auto it = machines_.find(machine);
  if (it == machines_.end()) return false;
  Machine& m = it->second;
  if (!loaded_ || !m.tasks.empty() || !m.accounted || m.pushing || m.leaving) return false;
  m.leaving = true;
  return true;
}

void Holder::drain(const std::string& machine, int to, Rank rank, Micros now) {
  auto it = machines_.find(machine);
  if (it == machines_.end() || !loaded_ || !it->second.up || it->second.drain_until > now) return;
  Machine& m = it->second;
  if (rank == Rank::low) {  // nothing ranks below: what runs may finish, nothing more is placed
    m.drain_to = to;
    m.drain_until = now + 2 * kDrainFor;
    return;
  }
  for (const auto& [key, p] : m.tasks)
    if (!p.job || p.job->spec->rank >= rank) return;
  spdlog::info("machine {}: {} tasks stopped to give it to share {}", machine, m.tasks.size(), to);
  m.drain_to = to;
  m.drain_until = now + kDrainFor;
  for (auto& [key, p] : m.tasks) {
    const Micros grace = p.job->spec->checkpoint_every > 0 ? p.job->spec->save_time : 0;
    if (p.job->spec->shape == Shape::gang)
      stop_gang(*p.job, grace);
    else
      halt(p, grace);
  }
}

std::vector<std::pair<std::string, int>> Holder::drained() const {
  std::vector<std::pair<std::string, int>> out;
  for (const auto& [id, m] : machines_)
    if (m.drain_until > 0 && m.drain_to >= -1 && m.tasks.empty() && !m.leaving)
      out.emplace_back(id, m.drain_to);
  return out;
}

void Holder::keep(const std::string& machine) {
  if (auto it = machines_.find(machine); it != machines_.end()) it->second.leaving = false;
}

// ---------------------------------------------------------------- answers

std::optional<std::pair<std::uint32_t, std::uint32_t>> Holder::tally(const std::string& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return {};
  std::uint32_t running = 0;
  for (const auto& [index, machine] : it->second->active) {
    const auto& tasks = machines_.at(machine).tasks;
    auto p = tasks.find({id, index});
    if (p != tasks.end() && p->second.phase == Phase::running) ++running;
  }
  return std::pair{it->second->done.count(), running};
}

std::size_t Holder::waiting() const {
  std::size_t n = 0;
  for (const auto& [id, j] : jobs_)
    if (!j->withdrawn && !j->finished) n += j->waiting();
  return n;
}

std::vector<Demand> Holder::demands(Micros now) const {
  std::vector<Demand> out;
  for (Job* j : const_cast<Holder*>(this)->ordered_jobs(now)) {
    if (out.size() >= kMostDemands) break;
    std::int64_t waiting = j->waiting();
    const wire::Team* t = team(j->spec->team);
    auto use = team_use_.find(j->spec->team);
    if (t && use != team_use_.end()) {
      if (t->limit.gpus > 0 && j->spec->need.gpus > 0)
        waiting = std::min(waiting, (t->limit.gpus - use->second.gpus) / j->spec->need.gpus);
      if (t->limit.cpus > 0 && j->spec->need.cpus > 0)
        waiting = std::min(waiting, (t->limit.cpus - use->second.cpus) / j->spec->need.cpus);
    }
    if (waiting <= 0 || now < j->not_before) continue;
    Demand d;
    d.need = j->spec->need;
    d.types = 0;
    for (std::size_t i = 0; i < types_.size() && i < 64; ++i)
      if (job::type_allowed(*j->spec, types_[i])) d.types |= 1ULL << i;
    if (j->spec->zone) {
      auto z = std::find(platform_.zones.begin(), platform_.zones.end(), *j->spec->zone);
      d.zone = static_cast<std::uint8_t>(z - platform_.zones.begin());
    }
    if (j->spec->spread || j->spec->one_zone) {
      const auto zones = zones_of(*j);
      d.per_zone = j->spec->spread ? (j->spec->tasks + 1) / 2 : 0;
      for (std::size_t z = 0; z < platform_.zones.size() && z < 32; ++z) {
        auto n = zones.find(platform_.zones[z]);
        const bool closed = j->spec->spread ? n != zones.end() && n->second >= static_cast<int>(d.per_zone)
                                            : !zones.empty() && n == zones.end();
        if (closed) d.closed_zones |= 1U << z;
      }
    }
    d.rank = j->spec->rank;
    d.shape = j->spec->shape;
    d.spot = j->spec->spot;
    d.waiting = static_cast<std::uint32_t>(waiting);
    d.running = static_cast<std::uint32_t>(j->active.size());
    d.slack_ms = static_cast<std::uint32_t>(std::clamp<Micros>(slack(*j, now) / kMillisecond, 0, 3'600'000));
    d.guess_ms = static_cast<std::uint32_t>(std::clamp(run_time(*j) * 1000, 0.0, 3.6e6));
    d.one_zone = j->spec->one_zone;
    // Jobs that are alike are told as one: with ninety services waiting the rest would not be heard of.
    if (d.shape == wire::Shape::service) {
      auto same = std::find_if(out.begin(), out.end(), [&](const Demand& o) {
        return o.shape == d.shape && o.need == d.need && o.types == d.types && o.zone == d.zone &&
               o.rank == d.rank && o.spot == d.spot && o.one_zone == d.one_zone &&
               o.closed_zones == d.closed_zones && (o.per_zone > 0) == (d.per_zone > 0) && !d.one_zone;
      });
      if (same != out.end()) {
        same->waiting += d.waiting, same->running += d.running, same->per_zone += d.per_zone;
        continue;
      }
    }
    out.push_back(d);
  }
  // What runs of low arrays that have nothing waiting: its machines are free for others soon.
  Demand busy;
  for (const auto& [id, j] : jobs_) {
    if (j->spec->shape != Shape::array || j->spec->rank >= Rank::high || j->waiting() > 0) continue;
    busy.running += static_cast<std::uint32_t>(j->active.size());
    busy.need += j->spec->need * static_cast<std::int64_t>(j->active.size());
  }
  if (busy.running > 0) {
    busy.need = {busy.need.cpus / busy.running, 0, 0};
    out.push_back(busy);
  }
  return out;
}

std::vector<MachineState> Holder::machine_states(Micros now) const {
  std::vector<MachineState> out;
  for (const auto& [id, m] : machines_) {
    MachineState s;
    s.id = id;
    s.free = m.free;
    s.suspect = m.suspect_until > now;
    s.usable = m.up && m.accounted && !m.leaving && !m.taken_at && !s.suspect && m.drain_until <= now;
    s.empty = m.tasks.empty() && m.accounted && !m.pushing && !m.leaving;
    s.lapsed = m.accounted && !m.up;
    s.idle_ms =
        static_cast<std::uint32_t>(std::clamp<Micros>((now - m.idle_since) / kMillisecond, 0, 3'600'000));
    if (!m.tasks.empty()) s.idle_ms = 0;
    if (m.type && gpu_wanted_[m.type_index]) {  // idle while no GPU task is there
      const bool busy =
          std::any_of(m.tasks.begin(), m.tasks.end(), [](const auto& t) { return t.second.need.gpus > 0; });
      s.idle_ms = busy ? 0
                       : static_cast<std::uint32_t>(
                             std::clamp<Micros>((now - m.gpu_idle_since) / kMillisecond, 0, 3'600'000));
    }
    for (const auto& [key, p] : m.tasks)
      s.top_rank = std::max(s.top_rank, p.job ? p.job->spec->rank : Rank::production);
    out.push_back(std::move(s));
  }
  return out;
}

std::vector<std::string> Holder::describe() const {
  std::vector<std::string> out;
  static constexpr const char* kPhases[] = {"assigned", "sent", "present", "running"};
  for (const auto& [id, m] : machines_)
    for (const auto& [key, p] : m.tasks)
      out.push_back(id + " " + key.first + "/" + std::to_string(key.second) + " " +
                    (p.halting ? "halting" : kPhases[static_cast<int>(p.phase)]));
  return out;
}

}  // namespace aspenwick::share
