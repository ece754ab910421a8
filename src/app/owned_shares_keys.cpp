// Our lease at the state service and the keys on it: which are taken, given back, and held on under a higher
// epoch.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"
#include "app/owned_shares.h"

namespace aspenwick::app {

using share::OwnerKey;

namespace {
constexpr Micros kRaiseAgain = kSecond;
constexpr Micros kHandBackAgain = 500 * kMillisecond;
}  // namespace

void OwnedShares::own_lease() {
  if (own_.lease() || lease_asked_) return;
  lease_asked_ = true;
  const Micros sent = needs_.loop.now();
  needs_.store.grant(share::kOwnerLeaseDuration, [this, sent](int code, std::uint64_t lease) {
    lease_asked_ = false;
    if (code != 200) return;
    own_.lease_granted(lease, sent);
    renewed_ = sent;
    tick();
  });
}

void OwnedShares::renew() {
  const Micros sent = needs_.loop.now();
  if (!own_.lease() || sent - renewed_ < share::kLeaseRenewInterval) return;
  renewed_ = sent;
  const std::uint64_t lease = *own_.lease();
  needs_.store.renew(lease, [this, sent, lease](int code) {
    if (own_.lease() != lease) return;
    if (code == 200) {
      own_.lease_renewed(sent);
    } else if (code == 404) {
      spdlog::info("our lease {} has ended", lease);
      own_.lease_lost();
      sync();
      own_lease();
    } else {
      renewed_ = std::min(
          renewed_, needs_.loop.now() - share::kLeaseRenewInterval + 500 * kMillisecond);  // try again soon
    }
  });
}

void OwnedShares::take_key(const std::string& key, const std::string& counter,
                           std::function<void(int)> done) {
  auto it = tokens_.find(counter);
  const std::uint64_t seen = it == tokens_.end() ? 0 : it->second.second;
  const OwnerKey mine{platform_.name, *own_.lease(), highest_epoch() + 1, 0};
  // With the leases, ahead of all else: while a share has no owner, its workers' leases run out.
  needs_.store.commit(
      {{key, 0}, {counter, seen}},
      {{counter, {{"n", mine.epoch}}, {}, false}, {key, share::owner_to_json(mine), mine.lease, false}},
      store::Urgency::now, [done = std::move(done)](int code, std::uint64_t) { done(code); });
}

void OwnedShares::take_share(int s) {
  if (!taking_.insert(s).second) return;
  take_key(kOwner + std::to_string(s), kToken + std::to_string(s), [this, s](int code) {
    if (code == 200) spdlog::info("share {}: taken", s);
    // The watch tells.
    needs_.loop.call_later(code == 200 ? kSecond : 150 * kMillisecond, [this, s] { taking_.erase(s); });
  });
}

void OwnedShares::take_leader() {
  if (taking_leader_) return;
  taking_leader_ = true;
  take_key(kLeader, kToken + "leader", [this](int code) {
    needs_.loop.call_later(code == 200 ? kSecond : 200 * kMillisecond, [this] { taking_leader_ = false; });
  });
}

void OwnedShares::hand_back(int s) {
  auto it = owned_.find(s);
  if (it == owned_.end() || it->second.handing_back) return;
  it->second.handing_back = true;
  spdlog::info("share {}: handed back to {}", s, own_.home_node(s));
  remove_key(s, it->second.made, it->second.key_version, false);
}

/// Until the key is surely gone or surely not: meanwhile nothing is started and no report answered. A request
/// that got lost left a share without anyone for as long as its owner lived. `unsure`: an earlier try may be
/// executed yet; only a key that has changed since refuses it for good.
void OwnedShares::remove_key(int s, std::uint64_t made, std::uint64_t version, bool unsure) {
  OwnedShare* owned = find(s, made);
  if (!owned) return;  // the watch told
  if (owned->key_version != version) {
    owned->handing_back = false;
    return;
  }
  const std::string key = kOwner + std::to_string(s);
  needs_.store.commit({{key, version}}, {{key, nullptr, {}, true}}, store::Urgency::user,
                      [this, s, made, version, unsure](int code, std::uint64_t) {
                        OwnedShare* h = find(s, made);
                        if (!h || code == 200) return;
                        if (code != 0 && code != 409 && !unsure) {
                          h->handing_back = false;
                          return;
                        }
                        needs_.loop.call_later(
                            kHandBackAgain, [this, s, made, version] { remove_key(s, made, version, true); });
                      });
}

/// Before the numbers of an epoch are used up, the share's key gets a higher one in place: same lease, same
/// owner, no takeover. Whether a try was executed is told by the key; a further try asks for the same epoch,
/// and the guard lets one of them through.
void OwnedShares::raise_epoch(int s, OwnedShare& owned) {
  const Micros now = needs_.loop.now();
  if (owned.controller->attempts_in_epoch() < settings_.attempts_per_epoch || owned.handing_back ||
      !own_.lease_valid(now) || now - owned.raised < kRaiseAgain)
    return;
  owned.raised = now;
  if (owned.raising == 0) owned.raising = highest_epoch() + 1;
  const std::string key = kOwner + std::to_string(s), counter = kToken + std::to_string(s);
  const auto it = tokens_.find(counter);
  const OwnerKey mine{platform_.name, *own_.lease(), owned.raising, 0};
  needs_.store.commit(
      {{key, owned.key_version}, {counter, it == tokens_.end() ? 0 : it->second.second}},
      {{counter, {{"n", mine.epoch}}, {}, false}, {key, share::owner_to_json(mine), mine.lease, false}},
      store::Urgency::user,
      [this, s, made = owned.made, mine = OwnerKey(mine)](int code, std::uint64_t revision) mutable {
        if (code != 200 || !find(s, made)) return;
        mine.version = revision;
        if (!revisions_.take(kOwner + std::to_string(s), revision)) return;
        own_.owner_set(s, mine, needs_.loop.now());
        sync();
      });
}

void OwnedShares::tick() {
  // Ours is asked for while the records are still read.
  renew();
  own_lease();
  if (!records().synced()) return;
  records_read();
  keep_records_fresh();
  if (own_.lease()) needs_.records.announce(*own_.lease());
  for (const int s : own_.shares_to_take(needs_.loop.now())) take_share(s);
  if (own_.take_leader(needs_.loop.now())) take_leader();
  if (auto s = own_.share_to_hand_back(needs_.loop.now())) hand_back(*s);
  for (auto& [s, owned] : owned_) {
    raise_epoch(s, owned);
    say_whether_answered(s, owned);
  }
}

/// For operators, once each time it changes.
void OwnedShares::say_whether_answered(int s, OwnedShare& owned) const {
  auto why = own_.renewal_refusal_reason(s, needs_.loop.now());
  if (why.empty() == owned.not_answered.empty()) return;
  if (why.empty())
    spdlog::info("share {}: workers are answered again", s);
  else
    spdlog::info("share {}: workers are not answered: {}", s, why);
  owned.not_answered = std::move(why);
}

}  // namespace aspenwick::app
