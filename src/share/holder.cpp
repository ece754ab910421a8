#include "share/holder.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::share {

using wire::Cause;
using wire::Rank;
using wire::Shape;
using wire::TaskReport;
using wire::TaskState;
using wire::WorkerReport;

namespace {
constexpr double kDrift = 0.001;  // two clocks of 0.05% each
constexpr Micros kMargin = 300 * kMillisecond;
constexpr std::size_t kMaxOrders = 300;  // keeps an answer well under 64 KiB
constexpr Micros kRepeatHalt = kSecond;
constexpr Micros kPushAgain = 2 * kSecond;  // twice as long after each further push that is lost
constexpr int kMostDoubled = 5;
constexpr int kGivenUp = 2;          // pushes lost in a row: starts wait for a report until one arrives
constexpr int kMostInVain = 2;       // answers that did not arrive, where pushes may do
constexpr Micros kLongestPause = 4;  // times between a worker's reports
constexpr Micros kLookAgain = 200 * kMillisecond;
constexpr std::uint64_t kMostPlaced =
    1000;  // in one pass, a few milliseconds: leases and reports wait for it
constexpr Micros kDefaultWait = 60 * kSecond;
constexpr Micros kDrainFor = 20 * kSecond;
constexpr Micros kSilentFor = 1500 * kMillisecond;  // after a takeover, before it is worth a line
}  // namespace

std::uint64_t epoch_of_token(std::uint64_t token) { return token >> place::kEpochShift; }

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
               HolderSettings settings, JobLookup lookup, std::uint64_t epoch, Micros now,
               Micros renewable_until)
    : platform_(platform),
      types_(types),
      settings_(settings),
      epoch_(epoch),
      renewable_until_(renewable_until),
      lookup_(std::move(lookup)),
      held_since_(now),
      placement_(platform, types, view_, settings.rnn, epoch) {
  for (const auto& z : platform.zones) zones_.push_back(view_.zone(z));
}

Micros Holder::surely_lapsed(Micros answered) const {
  return answered + static_cast<Micros>(static_cast<double>(platform_.worker_lease) * (1 + kDrift)) + kMargin;
}

std::uint64_t Holder::floor(const Machine& m) const {
  return std::max(epoch_, m.record.epoch) << place::kEpochShift;
}
std::uint64_t Holder::token(const Machine& m) const { return floor(m) + m.bump; }

void Holder::raise_epoch(std::uint64_t epoch) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  placement_.raise_epoch(epoch);
  view_.gained();
}

// ---------------------------------------------------------------- events

void Holder::job_known(const std::string& id, const JobRecord& record, bool fresh, Micros now,
                       Micros time_of_day) {
  auto it = view_.jobs.find(id);
  if (record.final()) {
    if (it == view_.jobs.end()) return;
    Job& j = *it->second;
    (record.status == wire::JobStatus::cancelled ? j.cancelled : j.finished) = true;
    const auto active = j.active;  // halting a task not yet sent removes it
    for (const auto& [index, m] : active) {
      auto p = m->tasks.find({id, index});
      if (p == m->tasks.end()) continue;
      if (p->second.phase == Phase::assigned)
        view_.drop(*m, p, now, Freed::job_over);
      else
        view_.halt(p->second, 0);
    }
    view_.erase_if_over(id);
    return;
  }
  if (it != view_.jobs.end()) {
    it->second->version = record.version;
    return;
  }
  auto j = std::make_unique<Job>();
  j->spec = record.spec;
  j->id = id;
  j->kind = view_.kind_of(*record.spec, types_);
  j->start_within = kDefaultWait;
  for (const auto& o : platform_.objectives)
    if (o.job_class == record.spec->job_class) {
      if (o.kind == "wait") j->start_within = o.within;
      if (o.kind == "finished") j->finish_within = o.within;
    }
  j->version = record.version;
  j->submitted = now - std::max<Micros>(0, time_of_day - record.submitted);
  j->ready = j->submitted;
  j->rank = record.spec->rank;
  if (record.spec->deadline) j->finish_by = j->submitted + *record.spec->deadline;
  j->waits_since = now;
  j->fresh = fresh;
  note_gpu_job(*record.spec);
  j->done = DoneSet(record.spec->tasks);
  j->recorded = j->recorded_whole = j->done;
  view_.jobs.emplace(id, std::move(j));
  ++view_.changes;
}

void Holder::set_course(const std::string& id, const job::Course& course, Micros now, Micros time_of_day) {
  auto it = view_.jobs.find(id);
  if (it == view_.jobs.end()) return;
  Job& j = *it->second;
  ++view_.changes;
  if (j.rank != course.rank) {
    j.rank = course.rank;
    for (const auto& [index, m] : j.active) m->load_stale = true;
  }
  j.ready = std::max(j.submitted, now - std::max<Micros>(0, time_of_day - course.ready));
  j.finish_by.reset();
  if (course.finish_by) j.finish_by = now + (*course.finish_by - time_of_day);
}

void Holder::loaded(Micros now) {
  loaded_ = true;
  check_rebuilt(now);
}

void Holder::machine_known(const MachineRecord& record, bool handed_empty, Micros now) {
  const bool added = !view_.machines.contains(record.id);
  Machine& m = view_.join(record);
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
  m.neuron = placement_.rnn().join(record.id);
}

void Holder::machine_gone(const std::string& id, Micros now) {
  auto it = view_.machines.find(id);
  if (it == view_.machines.end()) return;
  lapse(it->second, now, Freed::left_share);
  placement_.rnn().leave(it->second.neuron);
  view_.leave(it);
  check_rebuilt(now);
}

// ---------------------------------------------------------------- reports

/// A worker has one report in flight and drops answers to any other, and to those of earlier sessions. One
/// that the answer to a push overtook is still waited for: its answer renews the lease, so it has to count,
/// or the machine's tasks are started elsewhere while they still run there.
Holder::ReportOrder Holder::order_of(const Machine& m, const WorkerReport& r) {
  if (std::pair{r.session, r.seq} > std::pair{m.session, m.seq}) return ReportOrder::newest;
  const bool waited_for = r.session == m.session && r.seq > m.report_seq;
  return waited_for ? ReportOrder::overtaken : ReportOrder::copy;
}

std::optional<Holder::Answer> Holder::on_report(const WorkerReport& r, Micros now, bool may_start) {
  auto it = view_.machines.find(r.machine);
  if (it == view_.machines.end()) return {};
  Machine& m = it->second;
  // A worker that has seen a higher token has another holder: our answer would be dropped.
  if (r.token > token(m)) return {};
  // Late or repeated reports (held packets) must not undo newer ones. Nobody waits for the answer to a copy.
  const ReportOrder order = order_of(m, r);
  if (order == ReportOrder::copy) return Answer{token(m), {}};
  if (order == ReportOrder::newest) {
    if (m.hearing.shown(r.token, floor(m))) view_.gained(m);
    apply(m, r, true, now);
  }
  m.report_seq = r.seq;
  // Our answers don't reach it, nor do pushes: each further one would only put off the moment from which its
  // lease has surely lapsed, and what may be on it would hold up the share for as long as it reports.
  const int enough = m.pushes_lost >= kGivenUp ? 1 : kMostInVain;
  if (!m.accounted && m.hearing.in_vain() >= enough) return {};
  m.hearing.answered();
  // Never sooner than before: a copy of an old report may come in the seconds in which the former holder, cut
  // off, still answers the worker itself.
  m.lapse_at = std::max(m.lapse_at, surely_lapsed(now));
  if (order == ReportOrder::overtaken) return Answer{token(m), {}};
  auto orders = take_orders(m, false, r.seq, may_start, now);
  return Answer{token(m), std::move(orders)};  // the orders may take a higher token
}

bool Holder::apply(Machine& m, const WorkerReport& r, bool own_report, Micros now) {
  if (std::pair{r.session, r.seq} <= std::pair{m.session, m.seq}) return false;
  if (r.session > m.session) {
    const Micros answered = m.lapse_at - surely_lapsed(0);
    const bool unheard = m.session != 0 && m.accounted && m.up && now - answered < platform_.worker_lease;
    if (m.session != 0) lapse(m, now, Freed::new_session);
    // A session's lease runs from its beginning, with no report answered: seen through a push, it may have
    // begun just now, and what we start in it lives that long. Before a machine is accounted for we start
    // nothing, and its former holder knew no session that began after it.
    if (m.accounted) m.lapse_at = std::max(m.lapse_at, surely_lapsed(now));
    // A session ends when no answer arrives for a lease, and by our book some did.
    if (unheard) doubt(m, now, "its session ended between our answers");
    m.report_seq = 0;
  }
  m.session = r.session;
  m.seq = r.seq;
  m.seen_token = std::max(m.seen_token, r.token);
  if (!m.up) view_.gained(m);
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
      if (p->second.phase == Phase::assigned || t.attempt > p->second.attempt)
        view_.drop(m, p, now, Freed::replaced);
      p = m.tasks.find(key);
    }
    seen.insert(key);
    if (p == m.tasks.end()) {
      adopt(m, t, now);
      continue;
    }
    if (p->second.attempt != t.attempt) continue;
    p->second.fence = 0;
    if (t.state == TaskState::running && p->second.run_since == 0) {
      p->second.run_since = now;
      if (p->second.job && p->second.phase != Phase::running) waits_.push_back(now - p->second.job->ready);
    }
    if (t.state != TaskState::fetching && p->second.phase != Phase::running && p->second.job)
      m.used_image(*p->second.job->spec);
    if (p->second.phase < Phase::present && p->second.job) p->second.job->waits_since = now;
    p->second.phase = t.state == TaskState::running ? Phase::running : Phase::present;
    p->second.fetching = t.state == TaskState::fetching;
    if (Job* j = p->second.job; j && j->incomplete == t.attempt && !p->second.fetching)
      view_.halt(p->second, 0);  // it has the image now, see ClusterView::end_attempt
  }
  bool unheard = false;
  for (auto p = m.tasks.begin(); p != m.tasks.end();) {
    auto here = p++;
    const Placed& x = here->second;
    if (seen.contains(here->first) || x.phase == Phase::assigned) continue;
    bool gone = true;
    if (x.phase == Phase::sent) {
      // An order in an answer was carried out or dropped before the next report is sent; an order pushed may
      // still arrive, however late, until the worker has seen a higher token.
      gone = x.by_push ? x.fence != 0 && r.token >= x.fence : own_report && r.seq > x.answer_seq;
      unheard |= gone && !x.by_push && x.answer_seq != 0;
    }
    if (gone) view_.drop(m, here, now, x.fence != 0 ? Freed::fenced : Freed::not_listed);
  }
  if (unheard) doubt(m, now, "an answer did not arrive");
  if (!m.accounted && r.token >= floor(m)) {
    m.accounted = true;
    m.lapse_at = std::max(m.lapse_at, surely_lapsed(now));  // of this session, as above
    view_.gained(m);
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
  p.fetching = t.state == TaskState::fetching;
  p.started = now;
  auto it = view_.jobs.find(t.job);
  if (it == view_.jobs.end() && lookup_(t.job) == nullptr) return;  // not known yet: leave it alone
  if (it != view_.jobs.end() && t.index < it->second->spec->tasks) {
    Job& j = *it->second;
    p.need = j.spec->need;
    p.team = j.spec->team;
    if (auto a = j.active.find(t.index); a != j.active.end()) {
      // Meant for another machine and not sent yet: what runs stays, or the task would run twice.
      Machine& other = *a->second;
      auto q = other.tasks.find({t.job, t.index});
      if (q != other.tasks.end() && q->second.phase == Phase::assigned)
        view_.drop(other, q, now, Freed::runs_elsewhere);
    }
    if (!j.cancelled && !j.finished && !j.done.test(t.index) && !j.active.contains(t.index)) {
      p.job = &j;
      if (t.state != TaskState::fetching) m.used_image(*j.spec);
    } else if (!j.active.contains(t.index)) {
      p.job = &j;  // over, but it must be seen to go
      view_.halt(p, 0);
    } else {
      view_.halt(p, 0);
    }
  } else {
    // Another share's, or over. What is over holds its place and counts against its team until it is gone.
    if (const JobRecord* r = lookup_(t.job); r && r->spec) p.need = r->spec->need, p.team = r->spec->team;
    view_.halt(p, 0);
  }
  view_.add(m, std::move(p));
}

void Holder::task_exited(Machine& m, const TaskReport& t, Micros now) {
  auto p = m.tasks.find({t.job, t.index});
  auto it = view_.jobs.find(t.job);
  Job* j = it == view_.jobs.end() ? nullptr : it->second.get();
  const bool ours = p != m.tasks.end() && p->second.attempt == t.attempt;
  if (t.cause == Cause::done && j && t.index < j->spec->tasks) {
    const bool news = j->done.set(t.index);
    if (news) {
      j->dirty.insert(t.index / DoneSet::kUnit);
      j->again.erase(t.index);
      gang_done(*j);
    }
    if (ours && (news || j->spec->shape == Shape::gang)) task_done(*j, m, p->second, now);
    // The result is forgotten only once it is recorded, or a crash here would lose it.
    if (surely_recorded(*j, t.index) || j->finished || j->cancelled)
      m.forgets.push_back({Order::Verb::forget, t.job, t.index, t.attempt, 0});
    // With its last task a job that is over goes from the view, and `j` with it.
    if (ours) view_.drop(m, p, now, Freed::done);
    it = view_.jobs.find(t.job);
    if (it == view_.jobs.end()) return;
    // An attempt of it elsewhere has nothing left to do.
    if (auto a = it->second->active.find(t.index); a != it->second->active.end()) {
      Machine& other = *a->second;
      auto q = other.tasks.find({t.job, t.index});
      if (q != other.tasks.end()) {
        if (q->second.phase == Phase::assigned)
          view_.drop(other, q, now, Freed::done);
        else
          view_.halt(q->second, 0);
      }
    }
    view_.erase_if_over(t.job);
    return;
  }
  if (ours) {
    if (t.cause == Cause::error && j) task_failed(*j, m, now);
    if (t.cause == Cause::no_room && j) j->not_before = std::max(j->not_before, now + 200 * kMillisecond);
    if (t.cause == Cause::gang_incomplete && j) j->incomplete = t.attempt;
    if (t.cause == Cause::unknown && j) j->not_before = now + 2 * kSecond;
    spdlog::debug("exited {}/{} try {} on {} cause {}", t.job, t.index, t.attempt, m.record.id,
                  static_cast<int>(t.cause));
    view_.drop(m, p, now, Freed::exited);
  }
  if (t.cause == Cause::done && !j && lookup_(t.job) == nullptr)
    return;  // a job not known yet: keep its result
  m.forgets.push_back({Order::Verb::forget, t.job, t.index, t.attempt, 0});
}

/// A gang completes together: where one task is done, all are. The others' machines may be gone before they
/// tell it; started without the done one, the rest would wait for it, again and again, and the job never end.
void Holder::gang_done(Job& j) {
  if (j.spec->shape != Shape::gang || j.done.count() == 0) return;
  for (std::uint32_t i = 0; i < j.spec->tasks; ++i)
    if (j.done.set(i)) j.dirty.insert(i / DoneSet::kUnit);
  j.again.clear();
}

void Holder::task_done(Job& j, Machine& m, const Placed& p, Micros now) {
  m.error_jobs.clear();
  if (p.run_since == 0 || j.spec->shape == Shape::service) return;
  const double run = std::max(0.05, to_seconds(now - p.run_since));
  j.run_sum += run;
  ++j.run_count;
  const double goal = settings_.rnn.normalise ? run / (j.run_sum / j.run_count) : run;
  placement_.rnn().learn(m.neuron, goal);
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("learn {} goal {:.3f} threshold {:.3f} q {:.4f}", m.record.id, goal,
                  placement_.rnn().threshold(), placement_.rnn().q(m.neuron));
}

void Holder::task_failed(Job& j, Machine& m, Micros now) {
  ++j.errors;
  // Not for good: where it is the only machine with room, the job would wait there for ever.
  std::erase_if(j.bad_machines, [&](const auto& bad) { return bad.second <= now; });
  j.bad_machines[m.record.id] = now + settings_.suspect_for;
  m.error_jobs.insert(j.id);
  if (j.bad_machines.size() >= 3) {
    // It fails wherever it runs: the job is to blame. It backs off, and the machines are cleared of it.
    j.not_before = now + std::min<Micros>(60 * kSecond, settings_.error_backoff << std::min(j.errors, 5));
    for (const auto& [id, until] : j.bad_machines)
      if (auto it = view_.machines.find(id); it != view_.machines.end()) {
        it->second.error_jobs.erase(j.id);
        it->second.suspect_until = 0;
        view_.gained();
      }
    j.bad_machines.clear();
  } else if (static_cast<int>(m.error_jobs.size()) >= 2) {
    m.suspect_until = now + settings_.suspect_for;
    spdlog::info("machine {} is suspect: tasks of {} jobs failed on it", m.record.id, m.error_jobs.size());
  }
}

void Holder::lapse(Machine& m, Micros now, Freed why) {
  if (!m.tasks.empty())
    spdlog::info("machine {}: {} tasks gone ({})", m.record.id, m.tasks.size(), place::to_string(why));
  while (!m.tasks.empty()) view_.drop(m, m.tasks.begin(), now, why);
  m.forgets.clear();
}

/// Its reports arrive, but what we send seems not to. Under a new token its reports will tell; until then
/// nothing new is given to it, and what was not sent yet goes elsewhere.
void Holder::doubt(Machine& m, Micros now, const char* why) {
  ++m.bump;
  if (!m.hearing.in_doubt()) spdlog::debug("machine {} is in doubt: {}", m.record.id, why);
  m.hearing.doubt(token(m), now);
  view_.to_order.insert(&m);  // to be asked at once
  for (auto it = m.tasks.begin(); it != m.tasks.end();) {
    auto here = it++;
    if (here->second.phase == Phase::assigned) view_.drop(m, here, now, Freed::never_sent);
  }
}

// ---------------------------------------------------------------- orders

/// The last look before an order to start leaves. What would break an invariant is refused and not tried
/// again.
bool Holder::start_allowed(Machine& m, std::map<TaskKey, Placed>::iterator at, bool lease_valid, Micros now) {
  using place::Invariant;
  using place::StartRefusal;
  const StartRefusal why = place::start_refusal(view_, m, at->second, lease_valid);
  if (why == StartRefusal::none) return true;
  if (why == StartRefusal::lease_not_valid || why == StartRefusal::machine_not_accounted) return false;
  const Placed& p = at->second;
  const auto which =
      why == StartRefusal::other_attempt ? Invariant::one_attempt_of_a_task : Invariant::done_is_final;
  place::violated(which, p.job_id + "/" + std::to_string(p.index) + " try " + std::to_string(p.attempt) +
                             " on " + m.record.id + ", epoch " + std::to_string(epoch_) + ": " +
                             std::string(place::to_string(why)));
  view_.drop(m, at, now, Freed::refused);
  return false;
}

std::vector<Order> Holder::take_orders(Machine& m, bool by_push, std::uint64_t answer_seq, bool may_start,
                                       Micros now) {
  std::vector<Order> out;
  bool launches = false;
  for (auto it = m.tasks.begin(); it != m.tasks.end() && out.size() < kMaxOrders;) {
    auto here = it++;
    Placed& p = here->second;
    if (p.halting) {
      if (p.phase == Phase::assigned) {
        view_.drop(m, here, now, Freed::never_sent);
      } else if (!by_push || now - p.halt_sent >= kRepeatHalt) {
        p.halt_sent = now;
        out.push_back({Order::Verb::halt, p.job_id, p.index, p.attempt, p.grace});
      }
      continue;
    }
    if (p.phase != Phase::assigned || !start_allowed(m, here, may_start, now)) continue;
    p.phase = Phase::sent;
    p.by_push = by_push;
    p.answer_seq = answer_seq;
    p.started = now;
    launches = true;
    out.push_back({Order::Verb::launch, p.job_id, p.index, p.attempt, 0});
    spdlog::debug("start {}/{} try {} on {} session {} token {} by {}", p.job_id, p.index, p.attempt,
                  m.record.id, m.session, token(m), by_push ? "push" : "answer");
  }
  // Room first: halts and forgets go before launches.
  std::stable_partition(out.begin(), out.end(), [](const Order& o) { return o.verb != Order::Verb::launch; });
  // A copy of a push that was carried out may come at any later time, and would start again what the worker
  // has forgotten: so it forgets under a higher token than any start was pushed under. Not while a push is on
  // its way, which would be refused; the next report tells again what it could forget.
  const bool fence = m.launch_token == token(m);
  if (!m.forgets.empty() && !(fence && m.pushing)) {
    if (fence) ++m.bump;
    for (const auto& f : m.forgets) {
      if (out.size() >= kMaxOrders) break;
      out.push_back(f);
    }
  }
  m.forgets.clear();
  if (launches && by_push) m.launch_token = token(m);
  return out;
}

std::vector<Holder::Push> Holder::pushes(Micros now, std::size_t most) {
  std::vector<Push> out;
  if (!loaded_) return out;
  for (auto it = view_.to_order.begin(); it != view_.to_order.end() && out.size() < most;) {
    Machine& m = **it;
    bool wanted = (!m.accounted && now < m.lapse_at) || m.hearing.in_doubt();
    bool later = !m.accounted || m.hearing.in_doubt();
    for (const auto& [key, p] : m.tasks) {
      if (wanted) break;
      wanted = p.phase == Phase::assigned || (p.halting && now - p.halt_sent >= kRepeatHalt);
      later = later || p.halting;
    }
    it = wanted || later ? std::next(it) : view_.to_order.erase(it);
    if (!wanted || m.pushing || now < m.push_again || m.record.address.empty()) continue;
    if (m.accounted && !m.up) continue;
    Push push{m.record.id, m.record.address, 0, m.session, {}};
    // To a machine that pushes don't reach, starts go with its reports: pushed first and fenced each time, a
    // task would never start where only workers can reach nodes (tests/node_test.cpp). Such a push asks
    // whether they reach it again, and repeats halts.
    if (m.accounted) push.orders = take_orders(m, true, 0, m.pushes_lost < kGivenUp, now);
    push.token = token(m);  // the orders may take a higher one
    m.pushing = true;
    out.push_back(std::move(push));
  }
  return out;
}

void Holder::pushed(const std::string& machine, int status, const WorkerReport* report, Micros now) {
  auto it = view_.machines.find(machine);
  if (it == view_.machines.end()) return;
  Machine& m = it->second;
  m.pushing = false;
  const int lost = std::exchange(m.pushes_lost, status == 200 || status == 409 ? 0 : m.pushes_lost + 1);
  if ((status == 200 || status == 409) && report) {
    for (auto p = m.tasks.begin(); p != m.tasks.end();) {
      auto here = p++;
      Placed& x = here->second;
      if (x.phase != Phase::sent || !x.by_push || x.fence != 0) continue;
      if (status == 409)
        view_.drop(m, here, now, Freed::push_refused);  // nothing was executed
      else
        x.by_push = false, x.answer_seq = 0;  // executed: the next newer report shows it
    }
    if (m.hearing.shown(report->token, 0)) view_.gained(m);
    apply(m, *report, false, now);
    if (status == 409) m.push_again = m.accounted ? now + kSecond / 2 : now;
    return;
  }
  // No answer: the orders may arrive minutes later (held packets), also after the task was placed elsewhere.
  // A higher token fences them; until a report shows that the worker has seen it, those tasks count as being
  // there.
  // Where pushes never arrive, reports have shown after the first whether answers do.
  if (lost == 0)
    doubt(m, now, "a push was not answered");
  else
    ++m.bump;
  const Micros longest = std::max(kPushAgain, kLongestPause * platform_.report);
  m.push_again = now + std::min(longest, kPushAgain << std::min(lost, kMostDoubled));
  for (auto& [key, p] : m.tasks)
    if (p.phase == Phase::sent && p.by_push) p.fence = token(m);
}

// ---------------------------------------------------------------- planning

void Holder::check_rebuilt(Micros) {
  if (view_.rebuilt || !loaded_) return;
  for (const auto& [id, m] : view_.machines)
    if (!m.accounted && !m.handed_empty) return;
  view_.rebuilt = true;
  spdlog::info("share {}: rebuilt, {} machines, {} jobs", settings_.share, view_.machines.size(),
               view_.jobs.size());
}

/// Which machines keep a takeover from being whole, for operators: said once.
void Holder::say_silent(Micros now) {
  if (view_.rebuilt || said_silent_ || now - held_since_ < kSilentFor) return;
  said_silent_ = true;
  std::size_t silent = 0;
  const Machine* first = nullptr;
  for (const Machine* m : view_.all)
    if (!m->accounted && !m->handed_empty && ++silent == 1) first = m;
  if (first)
    spdlog::info("share {}: {} of {} machines have not answered, {} ({}, {}{}) ...", settings_.share, silent,
                 view_.machines.size(), first->record.id, first->record.type, first->record.zone,
                 first->spot ? ", spot" : "");
}

bool Holder::tick(Micros now, bool may_start) {
  if (!loaded_) return false;
  say_silent(now);
  for (Machine* at : view_.all) {
    Machine& m = *at;
    if (now >= m.lapse_at && (m.up || !m.accounted)) {
      lapse(m, now, Freed::lease_expired);
      m.up = false;
      m.accounted = true;
      view_.gained();
      check_rebuilt(now);
    }
    if (m.drain_until > 0 && now >= m.drain_until) m.drain_until = 0, m.drain_to = -2, view_.gained();
    if (m.taken_at)  // save what can be saved before the machine goes
      for (auto& [key, p] : m.tasks)
        if (p.job && !p.halting && p.job->spec->checkpoint_every > 0 && p.phase != Phase::assigned) {
          if (p.job->spec->shape == Shape::gang)
            view_.stop_gang(*p.job, p.job->spec->save_time);
          else
            view_.halt(p, p.job->spec->save_time);
        }
  }
  if (!may_start) return false;
  // A pass costs what changed: what was tried in vain since then isn't tried again, and nothing is where
  // nothing changed. What only time brings (room no longer held, a deadline that presses) is looked for now
  // and then.
  const bool due = now - looked_ >= kLookAgain || now < looked_;
  if (due) looked_ = now, view_.gained();
  if (!due && placed_at_ == view_.changes) return false;
  const bool whole = placement_.place_all(now, kMostPlaced);
  if (whole) placed_at_ = view_.changes;
  return !whole;
}

// ---------------------------------------------------------------- giving machines away

bool Holder::release(const std::string& machine, Micros) {
  auto it = view_.machines.find(machine);
  if (it == view_.machines.end()) return false;
  Machine& m = it->second;
  if (!loaded_ || !m.tasks.empty() || !m.accounted || m.pushing || m.leaving) return false;
  m.leaving = true;
  return true;
}

void Holder::drain(const std::string& machine, int to, Rank rank, Micros now) {
  auto it = view_.machines.find(machine);
  if (it == view_.machines.end() || !loaded_ || !it->second.up) return;
  Machine& m = it->second;
  if (m.drain_until > now && (rank != Rank::low || m.drain_to != to)) return;
  if (rank == Rank::low) {  // nothing ranks below: what runs may finish, nothing more is placed
    m.drain_to = to;
    m.drain_until = now + 2 * kDrainFor;
    return;
  }
  for (const auto& [key, p] : m.tasks)
    if (!p.job || p.job->rank >= rank) return;
  spdlog::info("machine {}: {} tasks stopped to give it to share {}", machine, m.tasks.size(), to);
  m.drain_to = to;
  m.drain_until = now + kDrainFor;
  for (auto& [key, p] : m.tasks) {
    const Micros grace = p.job->spec->checkpoint_every > 0 ? p.job->spec->save_time : 0;
    if (p.job->spec->shape == Shape::gang)
      view_.stop_gang(*p.job, grace);
    else
      view_.halt(p, grace);
  }
}

std::vector<std::pair<std::string, int>> Holder::drained() const {
  std::vector<std::pair<std::string, int>> out;
  for (const auto& [id, m] : view_.machines)
    if (m.drain_until > 0 && m.drain_to >= -1 && m.tasks.empty() && !m.leaving)
      out.emplace_back(id, m.drain_to);
  return out;
}

void Holder::keep(const std::string& machine) {
  if (auto it = view_.machines.find(machine); it != view_.machines.end())
    it->second.leaving = false, view_.gained();
}

}  // namespace aspenwick::share
