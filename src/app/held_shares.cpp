// The shares that this node holds: our lease, taking and handing back, holders kept in step with the records,
// and what holders have recorded.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/controller.h"
#include "app/keys.h"

namespace aspenwick::app {

using share::HolderKey;
using wire::JobStatus;

namespace {
constexpr double kProgressPart = 0.3;  // of the changes that the state service takes

std::string progress_key(int share, const std::string& job, std::uint32_t row) {
  return kProgress + std::to_string(share) + "/" + job + "/" + share::Holder::row_name(row);
}
}  // namespace

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

}  // namespace aspenwick::app
