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
constexpr Micros kCloudDeadline = 5 * kSecond;
constexpr double kProgressPart = 0.3;  // of the changes that the state service takes
constexpr double kMovePart = 0.25;     // the same, for one node's moves

std::string progress_key(int share, const std::string& job, std::uint32_t row) {
  return kProgress + std::to_string(share) + "/" + job + "/" + share::Holder::row_name(row);
}

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
      }) {
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
  m.share = renter_ ? renter_->share_for(r.machine, r.type, own_.shares()) : 0;
  // If it has obeyed someone, only a newer epoch can give it orders.
  if (r.token > 0) m.epoch = std::max(highest_epoch(), share::epoch_of_token(r.token)) + 1;
  store_.commit({{kMachine + m.id, 0}, {kLeader, own_.leader()->version}},
                {{kMachine + m.id, share::machine_to_json(m), {}, false}}, store::Urgency::user,
                [this, x, r, m](int code, std::uint64_t revision) mutable {
                  adopting_.erase(r.machine);
                  if (code != 200) return x->answer(503, wire::error_body("state service"));
                  if (renter_) renter_->adopted(r.machine);
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

void Controller::sync_holders() {
  if (!synced_) return;
  for (auto it = held_.begin(); it != held_.end();) {
    const HolderKey* key = own_.holder(it->first);
    if (own_.ours(key) && key->epoch == it->second.epoch) {
      ++it;
      continue;
    }
    spdlog::info("share {}: no longer held", it->first);
    it = held_.erase(it);
  }
  for (int s = 0; s < own_.shares() && !types_.empty(); ++s) {
    const HolderKey* key = own_.holder(s);
    if (!own_.ours(key) || held_.contains(s)) continue;
    HeldShare& held = held_[s];
    held.epoch = key->epoch;
    held.key_version = key->version;
    held.loading = true;
    const auto former = former_.contains(s) ? former_[s] : std::pair<std::string, std::uint64_t>{};
    share::HolderSettings hs;
    hs.share = s;
    hs.rnn = ops_.rnn;
    hs.suspect_for = ops_.suspect_for;
    hs.error_backoff = ops_.error_backoff;
    held.holder = std::make_unique<share::Holder>(
        platform_, types_, hs,
        [this](const std::string& id) -> const job::JobRecord* {
          auto j = jobs_.find(id);
          return j == jobs_.end() ? nullptr : &j->second;
        },
        held.epoch, now(), own_.renewable_until(former.first, former.second, now()));
    spdlog::info("share {}: held with epoch {}", s, held.epoch);
    for (const auto& [id, record] : jobs_)
      if (!record.final()) feed_job(id, record);
  }
  for (auto& [s, held] : held_) {
    share::Holder& h = *held.holder;
    for (const auto& id : machines_changed_) {
      auto rec = machines_.find(id);
      if (rec == machines_.end() || rec->second.share != s) h.machine_gone(id, now());
    }
    if (held.loading) {  // new: all of them
      for (const auto& [id, m] : machines_)
        if (m.share == s) h.machine_known(m, m.version > held.key_version, now());
    } else {
      for (const auto& id : machines_changed_)
        if (auto rec = machines_.find(id); rec != machines_.end() && rec->second.share == s)
          h.machine_known(rec->second, rec->second.version > held.key_version, now());
    }
    if (!held.loading) continue;
    held.loading = false;
    const std::uint64_t epoch = held.epoch;
    auto load = std::make_shared<std::function<void()>>();
    *load = [this, s = s, epoch, load] {
      store_.list(kProgress + std::to_string(s) + "/",
                  [this, s, epoch, load](bool ok, const std::vector<wire::Row>& rows, std::uint64_t) {
                    auto it = held_.find(s);
                    if (it == held_.end() || it->second.epoch != epoch) return;
                    if (!ok) return later(300 * kMillisecond, [load] { (*load)(); });
                    const std::size_t skip = (kProgress + std::to_string(s) + "/").size();
                    std::vector<std::string> over;
                    for (const auto& r : rows) {
                      const auto name = share::Holder::parse_row_name(r.key.substr(skip));
                      if (!name || !r.value.is_string()) continue;
                      if (auto j = jobs_.find(name->first); j != jobs_.end() && j->second.final())
                        over.push_back(r.key);
                      it->second.holder->load_done(name->first, name->second, r.value.get<std::string>(),
                                                   r.version);
                    }
                    delete_keys(std::move(over));  // left by a holder that ended, or that knew no such rows
                    it->second.holder->loaded(now());
                    poke();
                  });
    };
    (*load)();
  }
  machines_changed_.clear();
}

void Controller::own_lease() {
  if (own_.lease() || lease_asked_ || !synced_) return;
  lease_asked_ = true;
  const Micros sent = now();
  store_.grant(share::kHolderLease, [this, sent](int code, std::uint64_t lease) {
    lease_asked_ = false;
    if (code != 200) return;
    own_.lease_granted(lease, sent);
    renewed_ = sent;
    ownership();
  });
}

void Controller::renew() {
  const Micros sent = now();
  if (!own_.lease() || sent - renewed_ < share::kRenewEvery) return;
  renewed_ = sent;
  const std::uint64_t lease = *own_.lease();
  store_.renew(lease, [this, sent, lease](int code) {
    if (own_.lease() != lease) return;
    if (code == 200) {
      own_.lease_renewed(sent);
    } else if (code == 404) {
      spdlog::info("our lease has ended");
      own_.lease_lost();
      sync_holders();
      own_lease();
    } else {
      renewed_ = std::min(renewed_, now() - share::kRenewEvery + 500 * kMillisecond);  // try again soon
    }
  });
}

void Controller::ownership() {
  if (!synced_) return;
  renew();
  own_lease();
  announce();
  for (const int s : own_.to_take(now())) take_share(s);
  if (own_.take_leader(now())) take_leader();
  if (auto s = own_.to_hand_back(now())) hand_back(*s);
}

/// The highest epoch that anything known to us goes by. What a machine's former holders used was in its
/// record before its share's key was removed, and only who has seen the key removed takes the share: so a
/// successor's epoch, drawn above this, is above every token that its machines have seen.
std::uint64_t Controller::highest_epoch() const {
  std::uint64_t highest = 0;
  for (const auto& [key, counter] : tokens_) highest = std::max(highest, counter.first);
  for (const auto& [id, m] : machines_) highest = std::max(highest, m.epoch);
  return highest;
}

void Controller::take_key(const std::string& key, const std::string& counter, std::function<void(int)> done) {
  auto it = tokens_.find(counter);
  const std::uint64_t seen = it == tokens_.end() ? 0 : it->second.second;
  const HolderKey mine{platform_.name, *own_.lease(), highest_epoch() + 1, 0};
  // With the leases, ahead of all else: while a share has no holder, its workers' leases run out.
  store_.commit(
      {{key, 0}, {counter, seen}},
      {{counter, {{"n", mine.epoch}}, {}, false}, {key, share::holder_to_json(mine), mine.lease, false}},
      store::Urgency::now, [done = std::move(done)](int code, std::uint64_t) { done(code); });
}

void Controller::take_share(int s) {
  if (!taking_.insert(s).second) return;
  take_key(kHolder + std::to_string(s), kToken + std::to_string(s), [this, s](int code) {
    if (code == 200) spdlog::info("share {}: taken", s);
    // The watch tells.
    later(code == 200 ? kSecond : 150 * kMillisecond, [this, s] { taking_.erase(s); });
  });
}

void Controller::take_leader() {
  if (taking_leader_) return;
  taking_leader_ = true;
  take_key(kLeader, kToken + "leader", [this](int code) {
    later(code == 200 ? kSecond : 200 * kMillisecond, [this] { taking_leader_ = false; });
  });
}

void Controller::hand_back(int s) {
  auto it = held_.find(s);
  if (it == held_.end() || it->second.handing_back) return;
  it->second.handing_back = true;
  spdlog::info("share {}: handed back to {}", s, own_.node_of(s));
  store_.commit({{kHolder + std::to_string(s), it->second.key_version}},
                {{kHolder + std::to_string(s), nullptr, {}, true}}, store::Urgency::user,
                [this, s](int code, std::uint64_t) {
                  // When it is not known whether the key is gone, the watch tells; until then nothing is
                  // started.
                  if (code == 200 || code == 0) return;
                  if (auto h = held_.find(s); h != held_.end()) h->second.handing_back = false;
                });
}

void Controller::record_done() {
  finish_jobs();
  withdraw_doomed();
  const bool all_new = std::all_of(platform_.siblings.begin(), platform_.siblings.end(),
                                   [&](const auto& n) { return readers_.contains(n.name); });
  for (auto& [s, held] : held_) held.holder->set_all_read_units(all_new);
  // Done-sets are written at a pace that leaves most changes to users and machines; until then the workers
  // keep the results. A finished job's own record says it all.
  const Micros t = now();
  const double pace = platform_.state_write_rps * kProgressPart / static_cast<double>(own_.shares());
  progress_level_ =
      std::min(std::max(2.0, 2 * pace * static_cast<double>(held_.size())),
               progress_level_ + to_seconds(t - last_done_) * pace * static_cast<double>(held_.size()));
  last_done_ = t;
  if (progress_level_ < 1 || !store_.writes_spare()) return;
  for (auto& [s, held] : held_) {
    if (!may_start(held)) continue;
    const auto most = static_cast<std::size_t>(std::max(0.0, progress_level_));
    const auto writes = held.holder->done_writes(std::min({store_.txn_ops(), std::size_t{4}, most}));
    progress_level_ -= static_cast<double>(writes.size());
    if (writes.empty()) continue;
    std::vector<wire::Guard> guards{{kHolder + std::to_string(s), held.key_version}};
    std::vector<wire::Write> puts;
    for (const auto& w : writes) {
      guards.push_back({progress_key(s, w.job, w.row), w.version});
      puts.push_back({progress_key(s, w.job, w.row), w.text, {}, false});
    }
    store_.commit(
        std::move(guards), std::move(puts), store::Urgency::background,
        [this, s = s, epoch = held.epoch, writes](int code, std::uint64_t revision) {
          auto h = held_.find(s);
          if (h == held_.end() || h->second.epoch != epoch) return;
          for (const auto& w : writes) {
            if (code == 200) {
              h->second.holder->done_written(w, true, revision);
              continue;
            }
            // Perhaps executed: the key's version must be read before the next try.
            store_.get(progress_key(s, w.job, w.row), store::Urgency::read,
                       [this, s, epoch, w](int got, const wire::Row& row) {
                         auto k = held_.find(s);
                         if (k == held_.end() || k->second.epoch != epoch) return;
                         const std::uint64_t version = got == 200 ? row.version : got == 404 ? 0 : w.version;
                         k->second.holder->done_written(w, false, version);
                       });
          }
        });
  }
}

void Controller::finish_jobs() {
  for (auto& [s, held] : held_) {
    if (!may_start(held)) continue;
    for (const auto& id : held.holder->complete_jobs()) {
      auto it = jobs_.find(id);
      if (it == jobs_.end() || it->second.final()) continue;
      job::JobRecord record = it->second;
      record.status = JobStatus::done;
      record.finished = time_of_day();
      held.holder->set_committing(id, true);
      std::vector<wire::Write> writes{{kJob + id, job::record_to_json(record), {}, false}};
      std::vector<std::string> rest;
      for (const auto& name : held.holder->done_keys(id)) {
        const std::string key = kProgress + std::to_string(s) + "/" + name;
        if (writes.size() < store_.txn_ops())
          writes.push_back({key, nullptr, {}, true});
        else
          rest.push_back(key);
      }
      store_.commit(
          {{kHolder + std::to_string(s), held.key_version}, {kJob + id, record.version}}, std::move(writes),
          store::Urgency::accept,
          [this, s = s, epoch = held.epoch, id, record, rest](int code, std::uint64_t revision) mutable {
            if (code == 200) {
              delete_keys(std::move(rest));
              record.version = revision;
              record.spec.reset();
              drop_parts(id, record);
              set_job(id, std::move(record));
              follow_graph();
              poke();  // what waited for it starts at once
              return;
            }
            later(300 * kMillisecond, [this, s, epoch, id] {
              auto h = held_.find(s);
              if (h != held_.end() && h->second.epoch == epoch) h->second.holder->set_committing(id, false);
            });
          });
    }
  }
}

// ---------------------------------------------------------------- leader

bool Controller::leading() const { return own_.ours(own_.leader()) && own_.lease_valid(now()); }

void Controller::fetch_types() {
  if (fetching_types_) return;
  fetching_types_ = true;
  http_.request(EVHTTP_REQ_GET, platform_.cloud, "/flavors", "", kCloudDeadline,
                [this](int code, const std::string& body) {
                  fetching_types_ = false;
                  if (code != 200) return;
                  try {
                    auto types = wire::parse_types(body);
                    if (renter_) renter_->prices(types);
                    if (!types_.empty() || types.empty()) return;
                    write_types(types);
                  } catch (const std::exception& e) {
                    spdlog::error("cloud: {}", e.what());
                  }
                });
}

void Controller::list_machines(const std::string& after,
                               std::shared_ptr<std::vector<wire::CloudMachine>> sofar) {
  listing_ = true;
  cloud_tokens_ -= 1;
  std::string path = "/rentals?page=500";
  if (!after.empty()) path += "&since=" + after;
  http_.request(EVHTTP_REQ_GET, platform_.cloud, path, "", kCloudDeadline,
                [this, sofar](int code, const std::string& body) {
                  listing_ = false;
                  if (code != 200 || !renter_) return;
                  try {
                    auto page = wire::parse_cloud_page(body);
                    sofar->insert(sofar->end(), page.machines.begin(), page.machines.end());
                    if (page.more && !page.machines.empty()) return list_machines(sofar->back().id, sofar);
                    renter_->listed(*sofar, machines_, now());
                  } catch (const std::exception& e) {
                    spdlog::error("cloud: {}", e.what());
                  }
                });
}

std::vector<share::ShareSaid> Controller::own_shares() const {
  std::vector<share::ShareSaid> out;
  for (const auto& [s, held] : held_) {
    if (!held.holder) continue;
    out.push_back(
        {s, held.holder->rebuilt(), held.holder->demands(now()), held.holder->machine_states(now())});
  }
  return out;
}

void Controller::lead() {
  if (!leading()) {
    renter_.reset();
    return;
  }
  const Micros t = now();
  cloud_tokens_ =
      std::min(platform_.cloud_rps, cloud_tokens_ + to_seconds(t - cloud_last_) * platform_.cloud_rps * 0.8);
  cloud_last_ = t;
  if (types_.empty()) {
    if (cloud_tokens_ >= 1) cloud_tokens_ -= 1, fetch_types();
    return;
  }
  if (!renter_ || renter_epoch_ != own_.leader()->epoch) {
    renter_ = std::make_unique<fleet::Renter>(platform_, types_, ops_.renting);
    renter_epoch_ = own_.leader()->epoch;
    next_list_ = 0;
    spdlog::info("leading with epoch {}", renter_epoch_);
  }
  if (t >= next_prices_ && cloud_tokens_ >= 1) {
    next_prices_ = t + 60 * kSecond;
    cloud_tokens_ -= 1;
    fetch_types();
  }
  if (t >= next_list_ && !listing_ && cloud_tokens_ >= 1) {
    next_list_ = t + 4 * kSecond;
    list_machines("", std::make_shared<std::vector<wire::CloudMachine>>());
  }
  auto shares = own_shares();
  for (const auto& [node, g] : said_) {
    if (t - said_at_[node] > 2 * kSecond) continue;
    for (const auto& s : g.shares)
      if (!held_.contains(s.share)) shares.push_back(s);
  }
  for (const auto& a : renter_->tick(t, shares, machines_)) carry_out(a);
}

void Controller::carry_out(const fleet::Action& action) {
  const std::uint64_t epoch = renter_epoch_;
  if (const auto* rent = std::get_if<fleet::Rent>(&action)) {
    if (cloud_tokens_ < 1) return renter_->rented(*rent, 429, {}, now() - 3600 * kSecond);
    cloud_tokens_ -= 1;
    const std::string request = request_names_.next(epoch);
    http_.request(EVHTTP_REQ_POST, platform_.cloud, "/rentals",
                  wire::rental_body(request, types_[rent->type].name, rent->zone, rent->spot, rent->count),
                  kCloudDeadline, [this, epoch, rent = *rent](int code, const std::string& body) {
                    if (!renter_ || renter_epoch_ != epoch) return;
                    std::vector<std::string> ids;
                    if (code == 200) try {
                        ids = wire::parse_rented(body);
                      } catch (const std::exception& e) {
                        spdlog::error("cloud: {}", e.what());
                      }
                    renter_->rented(rent, code, ids, now());
                  });
  } else if (const auto* del = std::get_if<fleet::Delete>(&action)) {
    if (cloud_tokens_ < 1) return renter_->deleted(del->machines, false, now());
    cloud_tokens_ -= 1;
    http_.request(EVHTTP_REQ_POST, platform_.cloud, "/rentals/delete",
                  wire::rental_delete_body(del->machines), kCloudDeadline,
                  [this, epoch, ids = del->machines](int code, const std::string&) {
                    if (!renter_ || renter_epoch_ != epoch) return;
                    if (code != 200) return;
                    renter_->deleted(ids, true, now());
                    spdlog::info("deleted {} machines: {} ...", ids.size(), ids.front());
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
                  });
  } else if (const auto* move = std::get_if<fleet::Move>(&action)) {
    if (auto h = held_.find(move->from); h != held_.end()) {
      if (move->drain)
        h->second.holder->drain(move->machine, move->to, move->rank, now());
      else
        move_machine(move->machine, move->to);
    } else if (const HolderKey* key = own_.holder(move->from))
      peers_->send(key->node, share::ReleaseAsk{move->machine, move->to, move->drain, move->rank});
  }
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
  peers_->broadcast(g);
}

void Controller::on_frame(const share::Frame& frame, const share::PeerLink::Reply& reply) {
  if (const auto* g = std::get_if<Gossip>(&frame)) {
    own_.peer_said(g->node, {g->state_ok, g->synced, g->lease, now()});
    said_[g->node] = *g;
    said_at_[g->node] = now();
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
