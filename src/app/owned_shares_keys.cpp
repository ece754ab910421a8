// The node's lease in the state service and the owner keys on it: acquiring them, handing them back, and
// replacing them under a higher epoch.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"
#include "app/owned_shares.h"

namespace aspenwick::app {

using share::OwnerKey;

namespace {
constexpr Micros kRaiseRetryDelay = kSecond;
constexpr Micros kHandBackRetryDelay = 500 * kMillisecond;
}  // namespace

void OwnedShares::request_lease() {
  if (ownership_.lease() || lease_requested_) return;
  lease_requested_ = true;
  const Micros sent = deps_.loop.now();
  deps_.store.grant(share::kOwnerLeaseDuration, [this, sent](int code, std::uint64_t lease) {
    lease_requested_ = false;
    if (code != 200) return;
    ownership_.lease_granted(lease, sent);
    last_renewal_ = sent;
    tick();
  });
}

void OwnedShares::renew_lease() {
  const Micros sent = deps_.loop.now();
  if (!ownership_.lease() || sent - last_renewal_ < share::kLeaseRenewInterval) return;
  last_renewal_ = sent;
  const std::uint64_t lease = *ownership_.lease();
  deps_.store.renew(lease, [this, sent, lease](int code) {
    if (ownership_.lease() != lease) return;
    if (code == 200) {
      ownership_.lease_renewed(sent);
    } else if (code == 404) {
      spdlog::info("lease {} of this node has ended", lease);
      ownership_.lease_lost();
      sync_controllers();
      request_lease();
    } else {
      last_renewal_ =
          std::min(last_renewal_,
                   deps_.loop.now() - share::kLeaseRenewInterval + 500 * kMillisecond);  // retry soon
    }
  });
}

void OwnedShares::acquire_key(const std::string& key, const std::string& counter,
                              std::function<void(int)> done) {
  auto it = epoch_counters_.find(counter);
  const std::uint64_t counter_version = it == epoch_counters_.end() ? 0 : it->second.second;
  const OwnerKey new_key{platform_.name, *ownership_.lease(), highest_epoch() + 1, 0};
  // As urgent as lease renewals: while a share has no owner, the leases of its workers run out.
  deps_.store.commit({{key, 0}, {counter, counter_version}},
                     {{counter, {{"n", new_key.epoch}}, {}, false},
                      {key, share::owner_to_json(new_key), new_key.lease, false}},
                     store::Urgency::now, [done = std::move(done)](int code, std::uint64_t) { done(code); });
}

void OwnedShares::acquire_share(int share) {
  if (!acquiring_.insert(share).second) return;
  acquire_key(kOwnerPrefix + std::to_string(share), kEpochCounterPrefix + std::to_string(share),
              [this, share](int code) {
                if (code == 200) spdlog::info("share {}: acquired", share);
                // The watch brings the new key; until then no further attempt is made.
                deps_.loop.call_later(code == 200 ? kSecond : 150 * kMillisecond,
                                      [this, share] { acquiring_.erase(share); });
              });
}

void OwnedShares::acquire_leadership() {
  if (acquiring_leadership_) return;
  acquiring_leadership_ = true;
  acquire_key(kLeaderKey, kEpochCounterPrefix + "leader", [this](int code) {
    deps_.loop.call_later(code == 200 ? kSecond : 200 * kMillisecond,
                          [this] { acquiring_leadership_ = false; });
  });
}

void OwnedShares::hand_back(int share) {
  auto it = owned_.find(share);
  if (it == owned_.end() || it->second.handing_back) return;
  it->second.handing_back = true;
  spdlog::info("share {}: handing back to {}", share, ownership_.home_node(share));
  remove_owner_key(share, it->second.generation, it->second.key_version, false);
}

/// Removes the owner key and retries until it is certain whether the key was removed; until then no task is
/// started and no report answered. When a lost request was not retried, its share stayed without an owner for
/// as long as the node lived. `maybe_executed`: an earlier attempt may still be executed; only a key that has
/// changed since then makes its failure certain.
void OwnedShares::remove_owner_key(int share, std::uint64_t generation, std::uint64_t version,
                                   bool maybe_executed) {
  OwnedShare* owned = find(share, generation);
  if (!owned) return;  // the watch has reported the removal
  if (owned->key_version != version) {
    owned->handing_back = false;
    return;
  }
  const std::string key = kOwnerPrefix + std::to_string(share);
  deps_.store.commit({{key, version}}, {{key, nullptr, {}, true}}, store::Urgency::user,
                     [this, share, generation, version, maybe_executed](int code, std::uint64_t) {
                       OwnedShare* current = find(share, generation);
                       if (!current || code == 200) return;
                       if (code != 0 && code != 409 && !maybe_executed) {
                         current->handing_back = false;
                         return;
                       }
                       deps_.loop.call_later(kHandBackRetryDelay, [this, share, generation, version] {
                         remove_owner_key(share, generation, version, true);
                       });
                     });
}

/// Before the attempt numbers of an epoch run out, replaces the owner key by one with a higher epoch: same
/// lease, same owner, no takeover. Whether an attempt was executed is known from the key; further attempts
/// ask for the same epoch, and the guard lets only one of them succeed.
void OwnedShares::raise_epoch(int share, OwnedShare& owned) {
  const Micros now = deps_.loop.now();
  if (owned.controller->attempts_in_epoch() < settings_.attempts_per_epoch || owned.handing_back ||
      !ownership_.lease_valid(now) || now - owned.last_raise_attempt < kRaiseRetryDelay)
    return;
  owned.last_raise_attempt = now;
  if (owned.pending_epoch == 0) owned.pending_epoch = highest_epoch() + 1;
  const std::string key = kOwnerPrefix + std::to_string(share),
                    counter = kEpochCounterPrefix + std::to_string(share);
  const auto it = epoch_counters_.find(counter);
  const OwnerKey new_key{platform_.name, *ownership_.lease(), owned.pending_epoch, 0};
  deps_.store.commit(
      {{key, owned.key_version}, {counter, it == epoch_counters_.end() ? 0 : it->second.second}},
      {{counter, {{"n", new_key.epoch}}, {}, false},
       {key, share::owner_to_json(new_key), new_key.lease, false}},
      store::Urgency::user,
      [this, share, generation = owned.generation, new_key = OwnerKey(new_key)](
          int code, std::uint64_t revision) mutable {
        if (code != 200 || !find(share, generation)) return;
        new_key.version = revision;
        if (!row_revisions_.advance(kOwnerPrefix + std::to_string(share), revision)) return;
        ownership_.owner_set(share, new_key, deps_.loop.now());
        sync_controllers();
      });
}

void OwnedShares::tick() {
  // The lease is requested while the records are still being read.
  renew_lease();
  request_lease();
  if (!records().synced()) return;
  on_records_refreshed();
  refresh_stale_records();
  if (ownership_.lease()) deps_.records.announce_formats(*ownership_.lease());
  for (const int share : ownership_.shares_to_acquire(deps_.loop.now())) acquire_share(share);
  if (ownership_.should_acquire_leadership(deps_.loop.now())) acquire_leadership();
  if (auto share = ownership_.share_to_hand_back(deps_.loop.now())) hand_back(*share);
  for (auto& [share, owned] : owned_) {
    raise_epoch(share, owned);
    log_renewal_change(share, owned);
  }
}

/// Logs for operators when answering worker reports stops or resumes.
void OwnedShares::log_renewal_change(int share, OwnedShare& owned) const {
  auto why = ownership_.renewal_refusal_reason(share, deps_.loop.now());
  if (why.empty() == owned.renewal_refusal.empty()) return;
  if (why.empty())
    spdlog::info("share {}: worker reports are answered again", share);
  else
    spdlog::info("share {}: worker reports are not answered: {}", share, why);
  owned.renewal_refusal = std::move(why);
}

}  // namespace aspenwick::app
