#include "share/ownership.h"

#include <algorithm>

namespace aspenwick::share {
namespace {
constexpr Micros kDriftMargin = 100 * kMillisecond;  // 5 s at 0.05% twice, and timer steps
constexpr Micros kPeerFresh = 1500 * kMillisecond;
constexpr Micros kPeerAlive = 2500 * kMillisecond;
constexpr Micros kHomeFirst = 1500 * kMillisecond;  // a free share waits this long for its home
constexpr Micros kSettled = 4 * kSecond;
constexpr Micros kMaxUnconfirmed = 8 * kSecond;
constexpr Micros kBoundMargin = 3 * kSecond;
}  // namespace

wire::Json owner_to_json(const OwnerKey& h) {
  return {{"node", h.node}, {"lease", h.lease}, {"epoch", h.epoch}};
}

OwnerKey owner_from_json(const wire::Json& j, std::uint64_t version) {
  return {j.at("node").get<std::string>(), j.at("lease").get<std::uint64_t>(),
          j.at("epoch").get<std::uint64_t>(), version};
}

void check_time_to_cancel(const wire::PlatformSettings& platform) {
  // An owner that nobody reaches renews its workers until its own lease is over, and they go on for one more.
  if (platform.cancel >= kOwnerLease + platform.worker_lease + kBoundMargin) return;
  throw wire::Malformed("params.workers.cancel_s: must be at least lease_s and " +
                        std::to_string((kOwnerLease + kBoundMargin) / kSecond) + " s");
}

Ownership::Ownership(const wire::PlatformSettings& platform)
    : platform_(platform), me_(platform.name), nodes_(platform.nodes()) {
  home_ = static_cast<int>(std::find(nodes_.begin(), nodes_.end(), me_) - nodes_.begin());
}

void Ownership::lease_granted(std::uint64_t id, Micros sent) {
  if (started_ == 0) started_ = sent;
  lease_ = id;
  valid_until_ = held_until_ = sent + kOwnerLease - kDriftMargin;
  served_ = sent;
}
void Ownership::lease_renewed(Micros sent) {
  valid_until_ = held_until_ = std::max(valid_until_, sent + kOwnerLease - kDriftMargin);
  served_ = std::max(served_, sent);
}
void Ownership::lease_lost() {
  lease_.reset();
  valid_until_ = 0;
}
bool Ownership::lease_valid(Micros now) const { return lease_ && now < valid_until_; }

place::StartRefusal Ownership::acting_refusal(Micros now, Micros known_as_of) const {
  if (!lease_valid(now)) return place::StartRefusal::lease_not_valid;
  if (now - known_as_of >= kRecordsBound) return place::StartRefusal::records_stale;
  return place::StartRefusal::none;
}

void Ownership::owner_set(int share, const OwnerKey& key, Micros now) {
  if (const OwnerKey* known = owner(share); known && (known->node != key.node || known->lease != key.lease))
    add_former(share, {known->node, known->lease, {}}, now);
  for (auto& former : former_owners_[share])
    if (!former.renews_until) former.renews_until = renewal_bound(now);
  owners_[share] = key;
  free_since_.erase(share);
}
void Ownership::owner_removed(int share, Micros now) {
  if (const OwnerKey* known = owner(share)) add_former(share, {known->node, known->lease, {}}, now);
  owners_.erase(share);
  free_since_[share] = now;
}
const OwnerKey* Ownership::owner(int share) const {
  auto it = owners_.find(share);
  return it == owners_.end() ? nullptr : &it->second;
}

void Ownership::peer_reported(const std::string& node, const PeerState& said) {
  auto [it, added] = peers_.try_emplace(node, said);
  if (!added && said.at >= it->second.at) it->second = said;
}

bool Ownership::peer_alive(const std::string& node, Micros now) const {
  auto it = peers_.find(node);
  return it != peers_.end() && now - it->second.at < kPeerAlive;
}

Micros Ownership::unconfirmed_bound() const {
  // Store lease + this + worker lease stays under the time that a cancellation has.
  return std::clamp<Micros>(platform_.cancel - kOwnerLease - platform_.worker_lease - kBoundMargin, 0,
                            kMaxUnconfirmed);
}

/// Beyond our lease, while nobody has the state service: as long as all peers confirm it, or for the bound.
bool Ownership::beyond_lease(Micros now, const std::function<bool(const PeerState&)>& confirms) const {
  bool all_confirm = true;
  for (const auto& s : platform_.siblings) {
    auto it = peers_.find(s.name);
    const bool fresh = it != peers_.end() && now - it->second.at < kPeerFresh;
    // A peer that the state service answers may take over soon: yield.
    if (fresh && it->second.state_ok) return false;
    if (!fresh || !confirms(it->second)) all_confirm = false;
  }
  return all_confirm || (now < valid_until_ + unconfirmed_bound() && records_known_for_renewal(now));
}

/// Whoever renews workers without its peers' word read all records so lately that a cancellation it lacks
/// still has its time: this bound and a worker's lease fit into it. A lease says nothing of what was read.
bool Ownership::records_known_for_renewal(Micros now) const {
  return now - read_ < kOwnerLease + kBoundMargin + unconfirmed_bound();
}

/// What keeps a peer that lacks the state service too from confirming an owner; null: nothing. Once it was
/// cut off from the service alone, an owner must not take a common outage for its right to go on: others may
/// have confirmed cancellations before it, or taken the share and lost their leases since.
const char* Ownership::objection(int share, const PeerState& peer) const {
  const OwnerKey* key = owner(share);
  const auto s = static_cast<std::size_t>(share);
  if (!ours(key)) return "isn't asked, the key is not ours";
  if (s >= peer.epochs.size()) return "is of a version that doesn't say what it knows";
  if (peer.epochs[s] > key->epoch) return "knows of a later owner";
  if (!peer.knows_all) return "may have told users of cancellations that we don't know";
  if (peer.since > std::min(served_, read_)) return "began after we were last served";
  return nullptr;
}

bool Ownership::may_renew_workers(int share, Micros now) const {
  if (!lease_) return false;
  return (now < valid_until_ && records_known_for_renewal(now)) ||
         beyond_lease(now, [&](const PeerState& peer) { return objection(share, peer) == nullptr; });
}

std::string Ownership::why_not_renewed(int share, Micros now) const {
  if (may_renew_workers(share, now)) return {};
  if (!lease_) return "our lease has ended";
  if (now < valid_until_) return "records were read too long ago";
  for (const auto& s : platform_.siblings) {
    const auto it = peers_.find(s.name);
    if (it == peers_.end() || now - it->second.at >= kPeerFresh) return s.name + " isn't heard";
    if (it->second.state_ok) return s.name + " has the state service";
    if (const char* why = objection(share, it->second)) return s.name + " " + why;
  }
  return "unknown";
}

bool Ownership::keys_current(Micros now) const {
  if (!lease_) return false;
  return now < valid_until_ || beyond_lease(now, [](const PeerState&) { return true; });
}

void Ownership::add_former(int share, FormerOwner former, Micros now) {
  auto& formers = former_owners_[share];
  std::erase_if(formers, [&](const FormerOwner& f) { return f.renews_until && *f.renews_until <= now; });
  formers.push_back(std::move(former));
}

void Ownership::reading_keys() {
  versions_before_.clear();
  for (const auto& [share, key] : owners_) versions_before_[share] = key.version;
}

void Ownership::keys_read(Micros now) {
  for (int s = 0; s < shares(); ++s) {
    const OwnerKey* key = owner(s);
    const auto before = versions_before_.find(s);
    if (key && before != versions_before_.end() && before->second == key->version) continue;
    FormerOwner unknown;
    if (key) unknown.renews_until = renewal_bound(now);
    add_former(s, std::move(unknown), now);
  }
}

/// Who was confirmed by peers went on for as long as a peer's word counts, who wasn't for the bound.
Micros Ownership::renewal_bound(Micros now) const { return now + std::max(unconfirmed_bound(), kPeerFresh); }

bool Ownership::surely_stopped(const FormerOwner& former, Micros now) const {
  if (former.node == me_) return true;  // our own former process, or ourselves under a lease that is over
  const auto peer = peers_.find(former.node);
  // It lives and says that it no longer goes by that lease.
  return peer != peers_.end() && now - peer->second.at < kPeerFresh && peer->second.lease != former.lease;
}

/// Not only the last owner counts: it may have taken the share a moment ago from one that is cut off and goes
/// on with its workers, and have ended since. All who may still renew are remembered until their time is
/// over.
Micros Ownership::renewable_until(int share, Micros now) const {
  Micros until = now;
  const auto formers = former_owners_.find(share);
  if (formers == former_owners_.end()) return until;
  for (const FormerOwner& former : formers->second)
    if (!surely_stopped(former, now))
      until = std::max(until, former.renews_until.value_or(renewal_bound(now)));
  return until;
}

bool Ownership::refused_alone(Micros now) const {
  if (now < valid_until_) return false;
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& p) { return now - p.second.at < kPeerFresh && p.second.state_ok; });
}

bool Ownership::cut_off(Micros now) const {
  if (platform_.siblings.empty() || now < held_until_ + unconfirmed_bound()) return false;
  return std::none_of(peers_.begin(), peers_.end(),
                      [&](const auto& p) { return now - p.second.at < kPeerFresh; });
}

std::vector<int> Ownership::to_take(Micros now) const {
  std::vector<int> out;
  if (!lease_valid(now)) return out;
  for (int s = 0; s < shares(); ++s) {
    if (owners_.contains(s)) continue;
    auto it = free_since_.find(s);
    const Micros free_for = it == free_since_.end() ? now : now - it->second;
    // The home takes its share at once; the others wait a little, in turn.
    const int turn = (home_ - s + shares()) % shares();
    // Right after our own start a home that we have not heard of is mostly starting too.
    // One that lives but that the state service does not answer can't take it: waiting for it left four
    // shares without an owner for 8 s where one node was left that could.
    const auto home = peers_.find(node_of(s));
    const bool home_able = home != peers_.end() && home->second.state_ok && peer_alive(node_of(s), now);
    const bool home_first = home_able || now - started_ < kHomeFirst;
    const Micros wait = turn == 0 ? 0 : home_first ? kHomeFirst * (turn + 1) : (turn - 1) * kSecond / 2;
    if (free_for >= wait) out.push_back(s);
  }
  return out;
}

bool Ownership::take_leader(Micros now) const {
  return !leader_ && lease_valid(now) && now - leader_free_since_ >= home_ * kSecond / 4;
}

std::optional<int> Ownership::to_hand_back(Micros now) {
  for (const auto& s : platform_.siblings) {
    auto it = peers_.find(s.name);
    const bool good =
        it != peers_.end() && now - it->second.at < kPeerFresh && it->second.state_ok && it->second.synced;
    if (!good)
      settled_since_.erase(s.name);
    else
      settled_since_.try_emplace(s.name, now);
  }
  for (const auto& [share, key] : owners_) {
    if (share == home_ || !ours(&key)) continue;
    auto it = settled_since_.find(node_of(share));
    if (it != settled_since_.end() && now - it->second >= kSettled) return share;
  }
  return {};
}

int Ownership::share_of_team(const std::string& team) const {
  for (std::size_t i = 0; i < platform_.teams.size(); ++i)
    if (platform_.teams[i].name == team) return static_cast<int>(i % nodes_.size());
  return 0;
}

}  // namespace aspenwick::share
