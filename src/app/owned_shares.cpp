#include "app/owned_shares.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"

namespace aspenwick::app {

using share::OwnerKey;

namespace {
constexpr Micros kLoadAgain = 300 * kMillisecond;
constexpr Micros kEndAgain = 300 * kMillisecond;
constexpr Micros kCatchUpAfter = share::kMaxRecordsAge / 2;
}  // namespace

OwnedShares::OwnedShares(const wire::PlatformSettings& platform, const OperatorSettings& settings,
                         Needs needs)
    : platform_(platform), settings_(settings), needs_(std::move(needs)), own_(platform) {}

// ---------------------------------------------------------------- the watch

bool OwnedShares::apply(const wire::Row& row) {
  if (!row.key.starts_with(kOwner) && row.key != kLeader && !row.key.starts_with(kToken)) return false;
  try {
    read(row);
  } catch (const std::exception& e) {
    spdlog::error("state service: {}: {}", row.key, e.what());
  }
  return true;
}

void OwnedShares::read(const wire::Row& row) {
  const std::string& key = row.key;
  // Our own raised epoch comes ahead of the watch, and the pages of a list are of different revisions.
  if (!revisions_.take(key, row.version)) return;
  if (key.starts_with(kOwner)) {
    const int share = std::stoi(key.substr(kOwner.size()));
    if (share < 0 || share >= own_.share_count()) return;
    const Micros now = needs_.loop.now();
    if (row.removed) return own_.owner_removed(share, now);
    own_.owner_set(share, share::owner_from_json(row.value, row.version), now);
    end_if_former(*own_.owner(share));
  } else if (key == kLeader) {
    if (row.removed)
      own_.leader_removed(needs_.loop.now());
    else
      own_.leader_set(share::owner_from_json(row.value, row.version)), end_if_former(*own_.leader());
  } else if (!row.removed) {
    tokens_[key] = {row.value.at("n").get<std::uint64_t>(), row.version};
  }
}

std::vector<std::string> OwnedShares::missing(const std::set<std::string>& seen, std::uint64_t as_of,
                                              bool first) const {
  std::vector<std::string> out;
  auto look = [&](const std::string& key, const OwnerKey* known) {
    const bool due = known ? known->version <= as_of : first;
    if (due && !seen.contains(key)) out.push_back(key);
  };
  for (int s = 0; s < own_.share_count(); ++s) look(kOwner + std::to_string(s), own_.owner(s));
  look(kLeader, own_.leader());
  return out;
}

void OwnedShares::end_if_former(const OwnerKey& key) {
  // Also one that a commit of our former process has put there after we had read all keys: it would keep the
  // share from everybody until its lease is over.
  if (key.node == platform_.name && !own_.is_ours(&key)) end_former(key.lease);
}

void OwnedShares::end_former(std::uint64_t lease) {
  if (lease == own_.lease() || !ending_.insert(lease).second) return;
  needs_.store.revoke(lease, [this, lease](int code) {
    if (code == 200 || code == 404) return;
    needs_.loop.call_later(kEndAgain, [this, lease] {
      ending_.erase(lease);
      end_former(lease);
    });
  });
}

void OwnedShares::find_former() {
  needs_.store.get(kNode + platform_.name, store::Urgency::accept, [this](int code, const wire::Row& row) {
    if (code == 404 || records().synced()) return;
    if (code != 200) return needs_.loop.call_later(kEndAgain, [this] { find_former(); });
    try {
      end_former(row.value.at("lease").get<std::uint64_t>());
    } catch (const std::exception& e) {
      spdlog::error("state service: {}: {}", row.key, e.what());
    }
  });
}

void OwnedShares::records_read() {
  own_.records_read(records().read_as_of());
  for (auto& [s, owned] : owned_) owned.controller->records_read(records().read_as_of());
}

// ---------------------------------------------------------------- owners

void OwnedShares::sync() {
  if (!records().synced()) return;
  for (auto it = owned_.begin(); it != owned_.end();) {
    const OwnerKey* key = own_.owner(it->first);
    OwnedShare& owned = it->second;
    if (own_.is_ours(key) && owned.raising == key->epoch && owned.raising != 0) {
      spdlog::info("share {}: goes on with epoch {}", it->first, key->epoch);
      owned.epoch = key->epoch, owned.key_version = key->version, owned.raising = 0;
      owned.controller->raise_epoch(key->epoch);
      last_epochs_[it->first] = std::max(last_epochs_[it->first], key->epoch);
    }
    if (own_.is_ours(key) && key->epoch == owned.epoch) {
      ++it;
      continue;
    }
    spdlog::info("share {}: no longer held with epoch {}: {}", it->first, owned.epoch, why_not_held(key));
    it = owned_.erase(it);
  }
  for (int s = 0; s < own_.share_count() && !records().types().empty(); ++s)
    if (const OwnerKey* key = own_.owner(s); own_.is_ours(key) && !owned_.contains(s))
      make_controller(s, *key);
  const Micros now = needs_.loop.now();
  const auto changed = needs_.records.take_changed_machines();
  for (auto& [share, owned] : owned_) {
    const int s = share;
    share::ShareController& h = *owned.controller;
    auto known = [&h, s, now, taken = owned.taken_version](const share::MachineRecord& m) {
      if (m.share == s) h.on_machine_record(m, m.version > taken, now);
    };
    for (const auto& id : changed) {
      const auto* m = records().machine(id);
      if (!m || m->share != s) h.on_machine_removed(id, now);
    }
    if (!owned.loading) {
      for (const auto& id : changed)
        if (const auto* m = records().machine(id)) known(*m);
      continue;
    }
    for (const auto& [id, m] : records().machines()) known(m);  // new: all of them
    owned.loading = false;
    load_done(s, owned.made);
  }
}

std::string OwnedShares::why_not_held(const OwnerKey* key) const {
  if (!own_.lease()) return "our lease has ended";
  if (!key) return "its key is gone";
  return "its key is " + key->node + "'s with epoch " + std::to_string(key->epoch) + " at revision " +
         std::to_string(key->version);
}

void OwnedShares::make_controller(int s, const OwnerKey& key) {
  std::uint64_t& last = last_epochs_[s];
  if (key.epoch < last)
    return place::violated(place::Invariant::epochs_rise, "share " + std::to_string(s) + ": epoch " +
                                                              std::to_string(key.epoch) + " after " +
                                                              std::to_string(last));
  last = key.epoch;
  OwnedShare& owned = owned_[s];
  owned.epoch = key.epoch;
  owned.key_version = owned.taken_version = key.version;
  owned.made = ++made_;
  owned.loading = true;
  share::ShareControllerSettings hs;
  hs.share = s;
  hs.rnn = settings_.rnn;
  hs.suspect_for = settings_.suspect_for;
  hs.error_backoff = settings_.error_backoff;
  hs.owns_team = [this, s](const std::string& team) { return own_.share_of_team(team) == s; };
  const Micros now = needs_.loop.now();
  owned.controller = std::make_unique<share::ShareController>(
      platform_, records().types(), hs, [this](const std::string& id) { return records().entry(id); },
      owned.epoch, now, own_.former_owners_renew_until(s, now));
  spdlog::info(
      "share {}: held with epoch {}, lease {}, key at revision {}; former owners may renew for {:.1f} s", s,
      owned.epoch, key.lease, key.version, to_seconds(own_.former_owners_renew_until(s, now) - now));
  for (const auto& [id, record] : records().jobs())
    if (!record.final()) job_seen(id, record);
}

/// What its former owners recorded as done, read until the state service answers.
void OwnedShares::load_done(int s, std::uint64_t made) {
  const std::string prefix = kProgress + std::to_string(s) + "/";
  needs_.store.list(prefix, [this, s, made, prefix](bool ok, const std::vector<wire::Row>& rows,
                                                    std::uint64_t) {
    OwnedShare* owned = find(s, made);
    if (!owned) return;
    if (!ok) return needs_.loop.call_later(kLoadAgain, [this, s, made] { load_done(s, made); });
    std::vector<std::string> over;
    for (const auto& r : rows) {
      const auto name = share::ShareController::parse_row_name(r.key.substr(prefix.size()));
      if (!name || !r.value.is_string()) continue;
      if (const auto* j = records().job(name->first); j && j->final()) over.push_back(r.key);
      owned->controller->load_done(name->first, name->second, r.value.get<std::string>(), r.version);
    }
    needs_.records.delete_keys(std::move(over));  // left by an owner that ended, or that knew no such rows
    owned->controller->finish_loading(needs_.loop.now());
    needs_.poke();
  });
}

void OwnedShares::job_seen(const std::string& id, const job::JobRecord& record) {
  for (auto& [share, owned] : owned_) {
    // A job that waits for others has no part in anything yet.
    if (!record.final() && (!record.spec || !records().graph().ready(id))) continue;
    if (record.spec) owned.controller->note_gpu_job(*record.spec);
    if (!record.final() && own_.share_of_team(record.spec->team) != share) continue;
    const std::uint64_t since = std::max(record.version, records().graph().ready_version(id));
    owned.controller->on_job_record(id, record, since > owned.taken_version, needs_.loop.now(),
                                    needs_.loop.time_of_day());
    if (!record.final())
      owned.controller->set_priority_and_deadline(id, records().graph().course(id, record), needs_.loop.now(),
                                                  needs_.loop.time_of_day());
  }
}

// ---------------------------------------------------------------- what we hold

OwnedShares::OwnedShare* OwnedShares::find(int share) {
  auto it = owned_.find(share);
  return it == owned_.end() ? nullptr : &it->second;
}

OwnedShares::OwnedShare* OwnedShares::find(int share, std::uint64_t made) {
  OwnedShare* owned = find(share);
  return owned && owned->made == made ? owned : nullptr;
}

bool OwnedShares::owns(const OwnedShare& owned) const {
  return records().synced() && !owned.handing_back && own_.lease_valid(needs_.loop.now());
}

place::StartRefusal OwnedShares::refusal(OwnedShare& owned) {
  auto refusal = own_.action_refusal(needs_.loop.now(), records().read_as_of());
  if (owned.handing_back) refusal = place::StartRefusal::share_handed_over;
  if (refusal != owned.refusal) say_refusal(owned.controller->share(), owned, refusal);
  return refusal;
}

place::StartRefusal OwnedShares::leading_refusal() const {
  return own_.action_refusal(needs_.loop.now(), needs_.store.watched_as_of());
}

/// What was read when, and whose lease was sure for how long: without it nobody could tell why a start was
/// allowed.
void OwnedShares::say_refusal(int s, OwnedShare& owned, place::StartRefusal refusal) {
  const Micros now = needs_.loop.now();
  if (refusal == place::StartRefusal::none)
    spdlog::info("share {}: tasks are started again, after {:.3f} s; records as of {:.3f} s ago, epoch {}", s,
                 to_seconds(now - owned.refused_since), to_seconds(now - records().read_as_of()),
                 owned.epoch);
  else
    spdlog::info(
        "share {}: no task is started: {}; records as of {:.3f} s ago, lease {} sure for {:.3f} s, epoch {}",
        s, place::to_string(refusal), to_seconds(now - records().read_as_of()), own_.lease().value_or(0),
        to_seconds(own_.lease_time_left(now)), owned.epoch);
  if (owned.refusal == place::StartRefusal::none) owned.refused_since = now;
  owned.refusal = refusal;
}

/// A watch that nothing happens under says nothing for seconds, and one that a cut holds nothing at all: what
/// we act on is asked for before it is too old, and at once after we stood still.
void OwnedShares::keep_records_fresh() {
  const bool acts = !owned_.empty() || leading();
  if (acts && needs_.loop.now() - needs_.store.watched_as_of() >= kCatchUpAfter) needs_.store.catch_up();
}

bool OwnedShares::leading() const {
  return own_.is_ours(own_.leader()) && own_.lease_valid(needs_.loop.now());
}

std::vector<share::ShareReport> OwnedShares::shares_to_tell() const {
  const Micros now = needs_.loop.now();
  std::vector<share::ShareReport> out;
  for (const auto& [s, owned] : owned_)
    out.push_back({s, owned.controller->rebuilt(), owned.controller->demands(now),
                   owned.controller->machine_states(now)});
  return out;
}

std::vector<std::uint64_t> OwnedShares::taken_epochs() const {
  std::vector<std::uint64_t> out;
  for (int s = 0; s < own_.share_count(); ++s) {
    const auto it = tokens_.find(kToken + std::to_string(s));
    out.push_back(it == tokens_.end() ? 0 : it->second.first);
  }
  return out;
}

std::uint64_t OwnedShares::highest_epoch() const {
  std::uint64_t highest = 0;
  for (const auto& [key, counter] : tokens_) highest = std::max(highest, counter.first);
  for (const auto& [id, m] : records().machines()) highest = std::max(highest, m.epoch);
  return highest;
}

}  // namespace aspenwick::app
