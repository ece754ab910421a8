#include "app/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "app/keys.h"

namespace aspenwick::app {

using share::Gossip;
using share::HolderKey;
using share::MachineRecord;
using wire::JobStatus;
using wire::WorkerReport;

namespace {

constexpr Micros kTick = 250 * kMillisecond;
constexpr Micros kSoon = 15 * kMillisecond;
constexpr Micros kPushDeadline = 3 * kSecond;
constexpr Micros kToldFor = 2 * kSecond;
constexpr double kMovePart = 0.25;  // of the changes that the state service takes, for one node's moves

struct Periodic {
  std::function<void()> what;
};

void run_periodic(evutil_socket_t, short, void* arg) { static_cast<Periodic*>(arg)->what(); }

}  // namespace

Controller::Controller(event_base* base, const wire::PlatformSettings& platform, const OperatorSettings& ops)
    : base_(base),
      platform_(platform),
      ops_(ops),
      http_(base, 24),
      workers_(base, 2),
      store_(base, http_, platform, [this] { return now(); }),
      own_(platform),
      graph_([this](const std::string& id) -> const job::JobRecord* {
        auto it = jobs_.find(id);
        return it == jobs_.end() ? nullptr : &it->second;
      }),
      leader_(platform, ops.renting, types_, machines_,
              {[this] { return now(); }, http_, [this] { return all_shares(); },
               [this](const std::vector<wire::MachineType>& types) { write_types(types); },
               [this](const fleet::Move& move) { give(move); },
               [this](const std::vector<std::string>& ids) { forget_machines(ids); }}) {
  peers_ = std::make_unique<share::PeerLink>(
      base, platform, [this](const share::Frame& f, const share::PeerLink::Reply& r) { on_frame(f, r); });
  server_ = std::make_unique<net::Server>(base, platform.listen, platform.sockets,
                                          [this](const ExchangePtr& x) { route(x); });
  store_.observe([this](Micros took) { state_calls_.add(took); });
  store_.watch(kShared, {[this](std::vector<wire::Row> rows) { reset_rows(std::move(rows)); },
                         [this](std::vector<wire::Row> rows) {
                           for (const auto& r : rows) apply_row(r);
                           follow_graph();
                           sync_holders();
                           poke();
                         }});
  every(kTick, &Controller::tick);
  every(500 * kMillisecond, &Controller::gossip);
  every(500 * kMillisecond, &Controller::lead);
  every(200 * kMillisecond, &Controller::ownership);
  every(5 * kSecond, &Controller::replan);
  every(10 * kSecond, &Controller::metrics);
}

Controller::~Controller() {
  for (event* e : timers_) {
    delete static_cast<Periodic*>(event_get_callback_arg(e));
    event_free(e);
  }
}

Micros Controller::now() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
Micros Controller::time_of_day() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Controller::every(Micros period, void (Controller::*what)()) {
  auto* p = new Periodic{[this, what] { (this->*what)(); }};
  event* e = event_new(base_, -1, EV_PERSIST, run_periodic, p);
  const timeval tv{period / kSecond, static_cast<suseconds_t>(period % kSecond)};
  event_add(e, &tv);
  timers_.push_back(e);
}

void Controller::later(Micros delay, std::function<void()> what) {
  const timeval tv{delay / kSecond, static_cast<suseconds_t>(delay % kSecond)};
  event_base_once(
      base_, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* arg) {
        std::unique_ptr<Periodic> p(static_cast<Periodic*>(arg));
        p->what();
      },
      new Periodic{std::move(what)}, &tv);
}

void Controller::poke() {
  if (tick_soon_) return;
  tick_soon_ = true;
  later(kSoon, [this] { tick(); });
}

// ---------------------------------------------------------------- workers

void Controller::report(const ExchangePtr& x) {
  ++count_reports_;
  WorkerReport r;
  try {
    r = wire::parse_report(x->body());
  } catch (const std::exception& e) {
    return x->answer(400, wire::error_body(e.what()));
  }
  answer_report(x, r, true);
}

bool Controller::may_start(const HeldShare& s) const {
  return synced_ && !s.handing_back && own_.lease_valid(now());
}

void Controller::answer_report(const ExchangePtr& x, const WorkerReport& r, bool may_adopt) {
  if (!synced_) return x->answer(503, wire::error_body("starting"));
  auto it = machines_.find(r.machine);
  if (it == machines_.end()) {
    if (leading() && may_adopt) return adopt(x, r);
    const HolderKey* leader = own_.leader();
    if (leader && leader->node != platform_.name) return x->answer(421, wire::redirect_body(leader->node));
    return x->answer(503, wire::error_body("no leader"));
  }
  const int share = it->second.share;
  const HolderKey* key = own_.holder(share);
  if (share < 0 || !key) return x->answer(503, wire::error_body("no holder"));
  if (!own_.ours(key)) {
    if (key->node == platform_.name) return x->answer(503, wire::error_body("not yet"));
    return x->answer(421, wire::redirect_body(key->node));
  }
  auto h = held_.find(share);
  if (h == held_.end() || !h->second.holder || h->second.handing_back)
    return x->answer(503, wire::error_body("not yet"));
  if (!own_.may_renew_workers(now())) return x->answer(503, wire::error_body("no right to act"));
  auto answer = h->second.holder->on_report(r, now(), may_start(h->second));
  if (!answer) return x->answer(503, wire::error_body("no right to act"));
  x->answer(200, wire::report_answer(answer->token, answer->orders));
  poke();
}

void Controller::adopt(const ExchangePtr& x, const WorkerReport& r) {
  if (!adopting_.insert(r.machine).second) return x->answer(503, wire::error_body("being adopted"));
  MachineRecord m;
  m.id = r.machine;
  m.address = r.address;
  m.type = r.type;
  m.zone = r.zone;
  m.spot = r.spot;
  m.share = leader_.share_for(r.machine, r.type, own_.shares());
  // If it has obeyed someone, only a newer epoch can give it orders.
  if (r.token > 0) m.epoch = std::max(highest_epoch(), share::epoch_of_token(r.token)) + 1;
  store_.commit({{kMachine + m.id, 0}, {kLeader, own_.leader()->version}},
                {{kMachine + m.id, share::machine_to_json(m), {}, false}}, store::Urgency::user,
                [this, x, r, m](int code, std::uint64_t revision) mutable {
                  adopting_.erase(r.machine);
                  if (code != 200) return x->answer(503, wire::error_body("state service"));
                  leader_.adopted(r.machine);
                  spdlog::info("machine {} ({}, {}{}) joins share {}", m.id, m.type, m.zone,
                               m.spot ? ", spot" : "", m.share);
                  if (!machines_.contains(m.id)) {
                    m.version = revision;
                    machines_[m.id] = m;
                    machines_changed_.insert(m.id);
                    sync_holders();
                  }
                  answer_report(x, r, false);
                });
}

void Controller::push_orders() {
  for (auto& [share, held] : held_) {
    if (!held.holder || !may_start(held)) continue;
    for (auto& push : held.holder->pushes(now())) {
      wire::Endpoint to;
      try {
        to = wire::parse_endpoint(push.address);
      } catch (const wire::Malformed&) {
        continue;
      }
      const std::uint64_t epoch = held.epoch;
      workers_.request(
          EVHTTP_REQ_POST, to, "/do", wire::direct_orders(push.token, push.session, push.orders),
          kPushDeadline,
          [this, share = share, epoch, machine = push.machine](int code, const std::string& body) {
            auto h = held_.find(share);
            if (h == held_.end() || !h->second.holder || h->second.epoch != epoch) return;
            WorkerReport r;
            const WorkerReport* report = nullptr;
            if (code == 200 || code == 409) try {
                r = wire::parse_report(body);
                report = &r;
              } catch (const std::exception& e) {
                spdlog::error("worker {}: {}", machine, e.what());
              }
            h->second.holder->pushed(machine, report ? code : 0, report, now());
            poke();
          });
    }
  }
}

// ---------------------------------------------------------------- state

void Controller::reset_rows(std::vector<wire::Row> rows) {
  const bool first = !synced_;
  std::set<std::string> seen;
  for (const auto& r : rows) seen.insert(r.key);
  auto gone = [&](const std::string& key) { return !seen.contains(key); };
  std::vector<std::string> lost;
  for (const auto& [id, m] : machines_)
    if (gone(kMachine + id)) lost.push_back(kMachine + id);
  for (int s = 0; s < own_.shares(); ++s)
    if (gone(kHolder + std::to_string(s)) && (own_.holder(s) || first))
      lost.push_back(kHolder + std::to_string(s));
  if (gone(kLeader) && (own_.leader() || first)) lost.push_back(kLeader);
  // Machines and jobs before holders: a share's holder is made from all that was there when it was taken.
  for (const auto& key : lost) apply_row({key, nullptr, 0, true});
  for (const auto& r : rows) apply_row(r);
  synced_ = true;
  follow_graph();
  if (first) {
    spdlog::info("in step with the state service: {} jobs, {} machines", jobs_.size(), machines_.size());
    // Our former process has ended: its lease ends with it, and its shares are free at once.
    std::set<std::uint64_t> former;
    for (int s = 0; s < own_.shares(); ++s)
      if (const HolderKey* k = own_.holder(s); k && k->node == platform_.name && !own_.ours(k))
        former.insert(k->lease);
    if (const HolderKey* k = own_.leader(); k && k->node == platform_.name && !own_.ours(k))
      former.insert(k->lease);
    for (const auto lease : former) store_.revoke(lease, [](int) {});
  }
  sync_holders();
  own_lease();
}

void Controller::apply_row(const wire::Row& row) {
  const std::string& key = row.key;
  try {
    if (key.starts_with(kJob)) {
      const std::string id = key.substr(kJob.size());
      if (row.removed) return;
      auto it = jobs_.find(id);
      if (it != jobs_.end() && it->second.version >= row.version) return;
      set_job(id, job::record_from_json(row.value, row.version));
    } else if (key.starts_with(kPart)) {
      apply_part(row);
    } else if (key.starts_with(kNode)) {
      const std::string node = key.substr(kNode.size());
      if (row.removed)
        readers_.erase(node);
      else
        readers_[node] = {row.value.at("lease").get<std::uint64_t>(), row.version};
    } else if (key.starts_with(kMachine)) {
      const std::string id = key.substr(kMachine.size());
      machines_changed_.insert(id);
      if (row.removed) {
        machines_.erase(id);
      } else {
        auto it = machines_.find(id);
        if (it != machines_.end() && it->second.version >= row.version) return;
        machines_[id] = share::machine_from_json(id, row.value, row.version);
      }
    } else if (key.starts_with(kHolder)) {
      const int share = std::stoi(key.substr(kHolder.size()));
      if (share < 0 || share >= own_.shares()) return;
      if (row.removed) {
        if (const HolderKey* k = own_.holder(share)) former_[share] = {k->node, k->lease};
        own_.holder_removed(share, now());
      } else {
        if (const HolderKey* k = own_.holder(share); k && k->version != row.version)
          former_[share] = {k->node, k->lease};
        own_.holder_set(share, share::holder_from_json(row.value, row.version));
      }
    } else if (key == kLeader) {
      if (row.removed)
        own_.leader_removed(now());
      else
        own_.leader_set(share::holder_from_json(row.value, row.version));
    } else if (key.starts_with(kToken) && !row.removed) {
      tokens_[key] = {row.value.at("n").get<std::uint64_t>(), row.version};
    } else if (key.starts_with(kTypes) && !row.removed) {
      apply_types(row);
    }
  } catch (const std::exception& e) {
    spdlog::error("state service: {}: {}", key, e.what());
  }
}

void Controller::feed_job(const std::string& id, const job::JobRecord& record) {
  for (auto& [share, held] : held_) {
    if (!held.holder) continue;
    // A job that waits for others has no part in anything yet.
    if (!record.final() && (!record.spec || !graph_.ready(id))) continue;
    if (record.spec) held.holder->note_gpu_job(*record.spec);
    if (!record.final() && own_.share_of_team(record.spec->team) != share) continue;
    const std::uint64_t since = std::max(record.version, graph_.ready_version(id));
    held.holder->job_known(id, record, since > held.key_version, now(), time_of_day());
    if (!record.final()) held.holder->set_course(id, graph_.course(id, record), now(), time_of_day());
  }
}

// ---------------------------------------------------------------- leader

bool Controller::leading() const { return own_.ours(own_.leader()) && own_.lease_valid(now()); }

std::vector<share::ShareSaid> Controller::own_shares() const {
  std::vector<share::ShareSaid> out;
  for (const auto& [s, held] : held_) {
    if (!held.holder) continue;
    out.push_back(
        {s, held.holder->rebuilt(), held.holder->demands(now()), held.holder->machine_states(now())});
  }
  return out;
}

std::vector<share::ShareSaid> Controller::all_shares() const {
  auto shares = own_shares();
  for (const auto& [share, told] : said_)
    if (now() - told.at <= kToldFor && !held_.contains(share)) shares.push_back(told.said);
  return shares;
}

void Controller::lead() {
  if (leading())
    leader_.lead(own_.leader()->epoch);
  else
    leader_.rest();
}

/// As the leader's plan wants it: by us, or by whoever holds the share.
void Controller::give(const fleet::Move& move) {
  if (auto h = held_.find(move.from); h != held_.end()) {
    if (move.drain)
      h->second.holder->drain(move.machine, move.to, move.rank, now());
    else
      move_machine(move.machine, move.to);
  } else if (const HolderKey* key = own_.holder(move.from)) {
    peers_->send(key->node, share::ReleaseAsk{move.machine, move.to, move.drain, move.rank});
  }
}

void Controller::forget_machines(const std::vector<std::string>& ids) {
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  auto flush = [&] {
    if (!writes.empty())
      store_.commit(std::move(guards), std::move(writes), store::Urgency::background,
                    [](int, std::uint64_t) {});
    guards.clear(), writes.clear();
  };
  for (const auto& id : ids) {
    auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    guards.push_back({kMachine + id, it->second.version});
    writes.push_back({kMachine + id, nullptr, {}, true});
    if (writes.size() >= std::min<std::size_t>(4, store_.txn_ops())) flush();
  }
  flush();
}

void Controller::move_machine(const std::string& machine, int to) {
  auto it = machines_.find(machine);
  if (it == machines_.end() || to >= own_.shares()) return;
  auto held = held_.find(it->second.share);
  if (held == held_.end() || !may_start(held->second) || to == it->second.share || moving_.contains(machine))
    return;
  // A share that gives many at once must not keep users waiting for their changes.
  const Micros t = now();
  const double pace = platform_.state_write_rps * kMovePart;
  move_level_ = std::min(std::max(2.0, 2 * pace), move_level_ + to_seconds(t - last_move_) * pace);
  last_move_ = t;
  if (move_level_ < 1 || !held->second.holder->release(machine, t)) return;
  move_level_ -= 1;
  moving_.insert(machine);
  MachineRecord m = it->second;
  const int from = m.share;
  m.share = to;
  std::vector<wire::Guard> guards{{kMachine + machine, m.version},
                                  {kHolder + std::to_string(from), held->second.key_version}};
  std::vector<wire::Write> writes;
  // The new share's epoch may be lower than ours, which the worker has seen.
  if (to >= 0) m.epoch = std::max(held->second.epoch, m.epoch) + 1;
  writes.push_back({kMachine + machine, share::machine_to_json(m), {}, false});
  spdlog::info("machine {} leaves share {} for {}", machine, from, to);
  store_.commit(std::move(guards), std::move(writes),
                to >= 0 ? store::Urgency::user : store::Urgency::background,
                [this, machine, from](int code, std::uint64_t) {
                  // Surely not moved: it is used again. When unknown, the watch or the takeover of the share
                  // tells.
                  later(code == 0 ? 10 * kSecond : 100 * kMillisecond, [this, machine, from, code] {
                    moving_.erase(machine);
                    auto h = held_.find(from);
                    if (code != 200 && code != 0 && h != held_.end()) h->second.holder->keep(machine);
                  });
                });
}

// ---------------------------------------------------------------- peers

void Controller::gossip() {
  Gossip g;
  g.node = platform_.name;
  g.state_ok = own_.has_state(store_.ok(now()), now());
  g.synced = synced_;
  g.lease = own_.lease().value_or(0);
  g.shares = own_shares();
  for (const auto& frame : share::encode_gossip(g)) peers_->broadcast_bytes(frame);
}

void Controller::on_frame(const share::Frame& frame, const share::PeerLink::Reply& reply) {
  if (const auto* g = std::get_if<Gossip>(&frame)) {
    own_.peer_said(g->node, {g->state_ok, g->synced, g->lease, now()});
    // Share by share: a node with thousands of machines tells them in several frames.
    std::erase_if(said_, [&](const auto& s) {
      return s.second.node == g->node && own_.holder(s.first) && own_.holder(s.first)->node != g->node;
    });
    for (const auto& s : g->shares) said_[s.share] = {g->node, now(), s};
  } else if (const auto* a = std::get_if<share::ReleaseAsk>(&frame)) {
    auto m = machines_.find(a->machine);
    auto h = m == machines_.end() ? held_.end() : held_.find(m->second.share);
    if (h == held_.end() || a->to_share >= own_.shares()) return;
    if (a->drain)
      h->second.holder->drain(a->machine, a->to_share, a->rank, now());
    else
      move_machine(a->machine, a->to_share);
  } else if (const auto* q = std::get_if<share::StatusAsk>(&frame)) {
    share::StatusTell t;
    t.request = q->request;
    for (const auto& [s, held] : held_)
      if (auto tally = held.holder->tally(q->job))
        t.known = true, t.done = tally->first, t.running = tally->second;
    reply(t);
  } else if (const auto* t = std::get_if<share::StatusTell>(&frame)) {
    auto it = asks_.find(t->request);
    if (it == asks_.end()) return;
    it->second.exchange->answer(
        200, wire::status_body(it->second.job, t->running > 0 ? JobStatus::running : JobStatus::queued,
                               std::pair{t->done, t->running}));
    asks_.erase(it);
  } else if (const auto* w = std::get_if<share::WithdrawnTell>(&frame)) {
    auto it = jobs_.find(w->job);
    if (it == jobs_.end() || it->second.final()) return;
    job::JobRecord record = it->second;
    record.status = JobStatus::withdrawn;
    set_job(w->job, std::move(record));
    follow_graph();
    poke();
  }
}

// ---------------------------------------------------------------- time

void Controller::tick() {
  tick_soon_ = false;
  for (auto& [s, held] : held_) {
    const Micros began = now();
    held.holder->tick(began, may_start(held));
    planning_.add(now() - began);
    for (const Micros w : held.holder->take_waits()) waits_.add(w);
  }
  for (auto& [s, held] : held_)
    for (const auto& [machine, to] : held.holder->drained()) move_machine(machine, to);
  push_orders();
  record_done();
}

void Controller::replan() {
  graph_.replan();
  follow_graph();
}

void Controller::metrics() {
  for (const auto& [share, held] : held_) {
    struct Sum {
      std::size_t machines = 0;
      wire::Resources total, free;
    };
    std::map<std::string, Sum> sums;
    for (const auto& m : held.holder->machine_states(now())) {
      auto rec = machines_.find(m.id);
      if (!m.usable || rec == machines_.end()) continue;
      Sum& sum = sums[rec->second.type + (rec->second.spot ? " spot" : "")];
      ++sum.machines;
      sum.free += m.free;
      for (const auto& t : types_)
        if (t.name == rec->second.type) sum.total += t.total;
    }
    for (const auto& [type, sum] : sums)
      spdlog::info("metrics: share {} {}: {} machines, cpus {} of {} free, gpus {} of {} free", share, type,
                   sum.machines, sum.free.cpus / 1'000'000, sum.total.cpus / 1'000'000,
                   sum.free.gpus / 1'000'000, sum.total.gpus / 1'000'000);
    spdlog::info("metrics: share {} waiting tasks {}", share, held.holder->waiting());
  }
  spdlog::info("metrics: waits {}, planning {}, state calls {}", waits_.text(), planning_.text(),
               state_calls_.text());
  spdlog::info("metrics: reports {} users {} jobs {} machines {} shares {}{}", count_reports_, count_users_,
               jobs_.size(), machines_.size(), held_.size(), leading() ? " leader" : "");
}

}  // namespace aspenwick::app
