#include "app/owned_shares.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"

namespace aspenwick::app {

using share::OwnerKey;

namespace {
constexpr Micros kLoadRetryDelay = 300 * kMillisecond;
constexpr Micros kRevokeRetryDelay = 300 * kMillisecond;
constexpr Micros kCatchUpAge = share::kMaxRecordsAge / 2;
}  // namespace

OwnedShares::OwnedShares(const wire::PlatformSettings& platform, const OperatorSettings& settings,
                         Dependencies dependencies)
    : platform_(platform), settings_(settings), deps_(std::move(dependencies)), ownership_(platform) {}

// ---------------------------------------------------------------- the watch

bool OwnedShares::apply(const wire::Row& row) {
  if (!row.key.starts_with(kOwnerPrefix) && row.key != kLeaderKey &&
      !row.key.starts_with(kEpochCounterPrefix))
    return false;
  try {
    read_row(row);
  } catch (const std::exception& e) {
    spdlog::error("cannot read state service row {}: {}", row.key, e.what());
  }
  return true;
}

void OwnedShares::read_row(const wire::Row& row) {
  const std::string& key = row.key;
  // Our own commit of a raised epoch is applied before the watch reports it, and the pages of a list are of
  // different revisions: an older row must not replace a newer one.
  if (!row_revisions_.advance(key, row.version)) return;
  if (key.starts_with(kOwnerPrefix)) {
    const int share = std::stoi(key.substr(kOwnerPrefix.size()));
    if (share < 0 || share >= ownership_.share_count()) return;
    const Micros now = deps_.loop.now();
    if (row.removed) return ownership_.owner_removed(share, now);
    ownership_.owner_set(share, share::owner_from_json(row.value, row.version), now);
    revoke_if_former(*ownership_.owner(share));
  } else if (key == kLeaderKey) {
    if (row.removed)
      ownership_.leader_removed(deps_.loop.now());
    else
      ownership_.leader_set(share::owner_from_json(row.value, row.version)),
          revoke_if_former(*ownership_.leader());
  } else if (!row.removed) {
    epoch_counters_[key] = {row.value.at("n").get<std::uint64_t>(), row.version};
  }
}

std::vector<std::string> OwnedShares::missing_keys(const std::set<std::string>& seen, std::uint64_t as_of,
                                                   bool first) const {
  std::vector<std::string> out;
  auto check_key = [&](const std::string& key, const OwnerKey* known) {
    const bool due = known ? known->version <= as_of : first;
    if (due && !seen.contains(key)) out.push_back(key);
  };
  for (int share = 0; share < ownership_.share_count(); ++share)
    check_key(kOwnerPrefix + std::to_string(share), ownership_.owner(share));
  check_key(kLeaderKey, ownership_.leader());
  return out;
}

void OwnedShares::revoke_if_former(const OwnerKey& key) {
  // Also handles a key that a commit of the former process created after all keys were read: it would block
  // the share for every node until that lease expires.
  if (key.node == platform_.name && !ownership_.is_ours(&key)) revoke_former_lease(key.lease);
}

void OwnedShares::revoke_former_lease(std::uint64_t lease) {
  if (lease == ownership_.lease() || !revoking_.insert(lease).second) return;
  deps_.store.revoke(lease, [this, lease](int code) {
    if (code == 200 || code == 404) return;
    deps_.loop.call_later(kRevokeRetryDelay, [this, lease] {
      revoking_.erase(lease);
      revoke_former_lease(lease);
    });
  });
}

void OwnedShares::find_and_revoke_former_lease() {
  deps_.store.get(
      kNodePrefix + platform_.name, store::Urgency::accept, [this](int code, const wire::Row& row) {
        if (code == 404 || records().synced()) return;
        if (code != 200)
          return deps_.loop.call_later(kRevokeRetryDelay, [this] { find_and_revoke_former_lease(); });
        try {
          revoke_former_lease(row.value.at("lease").get<std::uint64_t>());
        } catch (const std::exception& e) {
          spdlog::error("cannot read state service row {}: {}", row.key, e.what());
        }
      });
}

void OwnedShares::on_records_refreshed() {
  ownership_.set_records_as_of(records().records_as_of());
  for (auto& [share, owned] : owned_) owned.controller->set_records_as_of(records().records_as_of());
}

// ---------------------------------------------------------------- owners

void OwnedShares::sync_controllers() {
  if (!records().synced()) return;
  for (auto it = owned_.begin(); it != owned_.end();) {
    const OwnerKey* key = ownership_.owner(it->first);
    OwnedShare& owned = it->second;
    if (ownership_.is_ours(key) && owned.pending_epoch == key->epoch && owned.pending_epoch != 0) {
      spdlog::info("share {}: epoch raised to {}", it->first, key->epoch);
      owned.epoch = key->epoch, owned.key_version = key->version, owned.pending_epoch = 0;
      owned.controller->raise_epoch(key->epoch);
      last_epochs_[it->first] = std::max(last_epochs_[it->first], key->epoch);
    }
    if (ownership_.is_ours(key) && key->epoch == owned.epoch) {
      ++it;
      continue;
    }
    spdlog::info("share {}: ownership with epoch {} lost: {}", it->first, owned.epoch, loss_reason(key));
    it = owned_.erase(it);
  }
  for (int share = 0; share < ownership_.share_count() && !records().types().empty(); ++share)
    if (const OwnerKey* key = ownership_.owner(share); ownership_.is_ours(key) && !owned_.contains(share))
      create_controller(share, *key);
  const Micros now = deps_.loop.now();
  const auto changed = deps_.records.take_changed_machines();
  for (auto& [share, owned] : owned_) {
    const int share_index = share;
    share::ShareController& controller = *owned.controller;
    auto add_or_update = [&controller, share_index, now,
                          since_version = owned.acquired_version](const share::MachineRecord& m) {
      if (m.share == share_index) controller.on_machine_record(m, m.version > since_version, now);
    };
    for (const auto& id : changed) {
      const auto* m = records().machine(id);
      if (!m || m->share != share_index) controller.on_machine_removed(id, now);
    }
    if (!owned.loading) {
      for (const auto& id : changed)
        if (const auto* m = records().machine(id)) add_or_update(*m);
      continue;
    }
    for (const auto& [id, m] : records().machines()) add_or_update(m);  // a new controller gets all machines
    owned.loading = false;
    load_progress(share_index, owned.generation);
  }
}

std::string OwnedShares::loss_reason(const OwnerKey* key) const {
  if (!ownership_.lease()) return "the lease of this node has ended";
  if (!key) return "its owner key was removed";
  return "its owner key names " + key->node + " with epoch " + std::to_string(key->epoch) + " at revision " +
         std::to_string(key->version);
}

void OwnedShares::create_controller(int share, const OwnerKey& key) {
  std::uint64_t& last = last_epochs_[share];
  if (key.epoch < last)
    return place::report_violation(place::Invariant::epochs_rise, "share " + std::to_string(share) +
                                                                      ": epoch " + std::to_string(key.epoch) +
                                                                      " after " + std::to_string(last));
  last = key.epoch;
  OwnedShare& owned = owned_[share];
  owned.epoch = key.epoch;
  owned.key_version = owned.acquired_version = key.version;
  owned.generation = ++last_generation_;
  owned.loading = true;
  share::ShareControllerSettings controller_settings;
  controller_settings.share = share;
  controller_settings.rnn = settings_.rnn;
  controller_settings.suspect_for = settings_.suspect_for;
  controller_settings.error_backoff = settings_.error_backoff;
  controller_settings.owns_team = [this, share](const std::string& team) {
    return ownership_.share_of_team(team) == share;
  };
  const Micros now = deps_.loop.now();
  owned.controller = std::make_unique<share::ShareController>(
      platform_, records().types(), controller_settings,
      [this](const std::string& id) { return records().job_or_unreadable(id); }, owned.epoch, now,
      ownership_.former_owners_renew_until(share, now));
  spdlog::info(
      "share {}: owned with epoch {}, lease {}, key at revision {}; former owners may renew worker leases "
      "for {:.1f} s",
      share, owned.epoch, key.lease, key.version,
      to_seconds(ownership_.former_owners_renew_until(share, now) - now));
  for (const auto& [id, record] : records().jobs())
    if (!record.final()) job_updated(id, record);
}

/// Reads the progress rows that former owners of the share wrote; retried until the state service answers.
void OwnedShares::load_progress(int share, std::uint64_t generation) {
  const std::string prefix = kProgressPrefix + std::to_string(share) + "/";
  deps_.store.list(prefix, [this, share, generation, prefix](bool ok, const std::vector<wire::Row>& rows,
                                                             std::uint64_t) {
    OwnedShare* owned = find(share, generation);
    if (!owned) return;
    if (!ok)
      return deps_.loop.call_later(kLoadRetryDelay,
                                   [this, share, generation] { load_progress(share, generation); });
    std::vector<std::string> obsolete_keys;
    for (const auto& r : rows) {
      const auto name = share::ShareController::parse_row_name(r.key.substr(prefix.size()));
      if (!name || !r.value.is_string()) continue;
      if (const auto* j = records().job(name->first); j && j->final()) obsolete_keys.push_back(r.key);
      owned->controller->load_progress_row(name->first, name->second, r.value.get<std::string>(), r.version);
    }
    deps_.records.delete_keys(
        std::move(obsolete_keys));  // left by an owner that ended, or by a version without unit rows
    owned->controller->finish_loading(deps_.loop.now());
    deps_.schedule_tick();
  });
}

void OwnedShares::job_updated(const std::string& id, const job::JobRecord& record) {
  for (auto& [share, owned] : owned_) {
    // A job with open dependencies is not passed on yet.
    if (!record.final() && (!record.spec || !records().graph().is_ready(id))) continue;
    if (record.spec) owned.controller->note_gpu_job(*record.spec);
    if (!record.final() && ownership_.share_of_team(record.spec->team) != share) continue;
    const std::uint64_t since = std::max(record.version, records().graph().ready_version(id));
    owned.controller->on_job_record(id, record, since > owned.acquired_version, deps_.loop.now(),
                                    deps_.loop.time_of_day());
    if (!record.final())
      owned.controller->set_scheduling_goals(id, records().graph().scheduling_goals(id, record),
                                             deps_.loop.now(), deps_.loop.time_of_day());
  }
}

// ---------------------------------------------------------------- shares owned now

OwnedShares::OwnedShare* OwnedShares::find(int share) {
  auto it = owned_.find(share);
  return it == owned_.end() ? nullptr : &it->second;
}

OwnedShares::OwnedShare* OwnedShares::find(int share, std::uint64_t generation) {
  OwnedShare* owned = find(share);
  return owned && owned->generation == generation ? owned : nullptr;
}

bool OwnedShares::may_commit(const OwnedShare& owned) const {
  return records().synced() && !owned.handing_back && ownership_.lease_valid(deps_.loop.now());
}

place::StartRefusal OwnedShares::start_refusal(OwnedShare& owned) {
  auto refusal = ownership_.action_refusal(deps_.loop.now(), records().records_as_of());
  if (owned.handing_back) refusal = place::StartRefusal::share_handed_over;
  if (refusal != owned.last_refusal) log_refusal_change(owned.controller->share(), owned, refusal);
  return refusal;
}

place::StartRefusal OwnedShares::leader_refusal() const {
  return ownership_.action_refusal(deps_.loop.now(), deps_.store.watched_as_of());
}

/// Logs the age of the records and the remaining time of the lease: without them a log would not show why a
/// task start was allowed.
void OwnedShares::log_refusal_change(int share, OwnedShare& owned, place::StartRefusal refusal) {
  const Micros now = deps_.loop.now();
  if (refusal == place::StartRefusal::none)
    spdlog::info("share {}: task starts allowed again after {:.3f} s; records as of {:.3f} s ago, epoch {}",
                 share, to_seconds(now - owned.refused_since), to_seconds(now - records().records_as_of()),
                 owned.epoch);
  else
    spdlog::info(
        "share {}: task starts suspended: {}; records as of {:.3f} s ago, lease {} valid for {:.3f} s, epoch "
        "{}",
        share, place::to_string(refusal), to_seconds(now - records().records_as_of()),
        ownership_.lease().value_or(0), to_seconds(ownership_.lease_time_left(now)), owned.epoch);
  if (owned.last_refusal == place::StartRefusal::none) owned.refused_since = now;
  owned.last_refusal = refusal;
}

/// A watch without changes reports nothing for seconds, and one that is held up by a network cut reports
/// nothing at all. So the records that decisions are based on are read before they are too old, and at once
/// after a pause of this process.
void OwnedShares::refresh_stale_records() {
  const bool acts = !owned_.empty() || is_leader();
  if (acts && deps_.loop.now() - deps_.store.watched_as_of() >= kCatchUpAge) deps_.store.catch_up();
}

bool OwnedShares::is_leader() const {
  return ownership_.is_ours(ownership_.leader()) && ownership_.lease_valid(deps_.loop.now());
}

std::vector<share::ShareReport> OwnedShares::share_reports() const {
  const Micros now = deps_.loop.now();
  std::vector<share::ShareReport> out;
  for (const auto& [share, owned] : owned_)
    out.push_back({share, owned.controller->all_accounted_for(), owned.controller->demands(now),
                   owned.controller->machine_states(now)});
  return out;
}

std::vector<std::uint64_t> OwnedShares::acquired_epochs() const {
  std::vector<std::uint64_t> out;
  for (int share = 0; share < ownership_.share_count(); ++share) {
    const auto it = epoch_counters_.find(kEpochCounterPrefix + std::to_string(share));
    out.push_back(it == epoch_counters_.end() ? 0 : it->second.first);
  }
  return out;
}

std::uint64_t OwnedShares::highest_epoch() const {
  std::uint64_t highest = 0;
  for (const auto& [key, counter] : epoch_counters_) highest = std::max(highest, counter.first);
  for (const auto& [id, m] : records().machines()) highest = std::max(highest, m.epoch);
  return highest;
}

}  // namespace aspenwick::app
