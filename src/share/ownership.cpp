#include "share/ownership.h"

#include <algorithm>

namespace aspenwick::share {
namespace {
constexpr Micros kClockDriftMargin = 100 * kMillisecond;  // 5 s at 0.05% twice, and timer steps
constexpr Micros kPeerReportMaxAge = 1500 * kMillisecond;
constexpr Micros kPeerAliveTimeout = 2500 * kMillisecond;
constexpr Micros kHomeNodeGrace = 1500 * kMillisecond;  // a free share waits this long for its home
constexpr Micros kHomeReadyTime = 4 * kSecond;
constexpr Micros kMaxUnconfirmedRenewal = 8 * kSecond;
constexpr Micros kCancelDeadlineMargin = 3 * kSecond;
}  // namespace

wire::Json owner_to_json(const OwnerKey& key) {
  return {{"node", key.node}, {"lease", key.lease}, {"epoch", key.epoch}};
}

OwnerKey owner_from_json(const wire::Json& j, std::uint64_t version) {
  return {j.at("node").get<std::string>(), j.at("lease").get<std::uint64_t>(),
          j.at("epoch").get<std::uint64_t>(), version};
}

void check_cancel_deadline(const wire::PlatformSettings& platform) {
  // An owner that nobody reaches renews its workers until its own lease is over, and they go on for one more.
  if (platform.cancel >= kOwnerLeaseDuration + platform.worker_lease + kCancelDeadlineMargin) return;
  throw wire::Malformed("params.workers.cancel_s: must be at least lease_s and " +
                        std::to_string((kOwnerLeaseDuration + kCancelDeadlineMargin) / kSecond) + " s");
}

Ownership::Ownership(const wire::PlatformSettings& platform)
    : platform_(platform), own_node_(platform.name), nodes_(platform.nodes()) {
  home_share_ = static_cast<int>(std::find(nodes_.begin(), nodes_.end(), own_node_) - nodes_.begin());
}

void Ownership::lease_granted(std::uint64_t id, Micros sent) {
  if (started_at_ == 0) started_at_ = sent;
  lease_ = id;
  lease_valid_until_ = last_lease_valid_until_ = sent + kOwnerLeaseDuration - kClockDriftMargin;
  lease_confirmed_at_ = sent;
}
void Ownership::lease_renewed(Micros sent) {
  lease_valid_until_ = last_lease_valid_until_ =
      std::max(lease_valid_until_, sent + kOwnerLeaseDuration - kClockDriftMargin);
  lease_confirmed_at_ = std::max(lease_confirmed_at_, sent);
}
void Ownership::lease_lost() {
  lease_.reset();
  lease_valid_until_ = 0;
}
bool Ownership::lease_valid(Micros now) const { return lease_ && now < lease_valid_until_; }

place::StartRefusal Ownership::action_refusal(Micros now, Micros known_as_of) const {
  if (!lease_valid(now)) return place::StartRefusal::lease_not_valid;
  if (now - known_as_of >= kMaxRecordsAge) return place::StartRefusal::records_stale;
  return place::StartRefusal::none;
}

void Ownership::owner_set(int share, const OwnerKey& key, Micros now) {
  if (const OwnerKey* known = owner(share); known && (known->node != key.node || known->lease != key.lease))
    add_former_owner(share, {known->node, known->lease, {}}, now);
  for (auto& former : former_owners_[share])
    if (!former.may_renew_until) former.may_renew_until = renewal_deadline(now);
  owners_[share] = key;
  unowned_since_.erase(share);
}
void Ownership::owner_removed(int share, Micros now) {
  if (const OwnerKey* known = owner(share)) add_former_owner(share, {known->node, known->lease, {}}, now);
  owners_.erase(share);
  unowned_since_[share] = now;
}
const OwnerKey* Ownership::owner(int share) const {
  auto it = owners_.find(share);
  return it == owners_.end() ? nullptr : &it->second;
}

void Ownership::peer_reported(const std::string& node, const PeerState& report) {
  auto [it, added] = peers_.try_emplace(node, report);
  if (!added && report.reported_at >= it->second.reported_at) it->second = report;
}

bool Ownership::peer_alive(const std::string& node, Micros now) const {
  auto it = peers_.find(node);
  return it != peers_.end() && now - it->second.reported_at < kPeerAliveTimeout;
}

Micros Ownership::max_unconfirmed_renewal() const {
  // Store lease + this + worker lease stays under the time that a cancellation has.
  return std::clamp<Micros>(
      platform_.cancel - kOwnerLeaseDuration - platform_.worker_lease - kCancelDeadlineMargin, 0,
      kMaxUnconfirmedRenewal);
}

/// Beyond our lease, while nobody has the state service: as long as all peers confirm it, or for the bound.
bool Ownership::may_act_beyond_lease(Micros now,
                                     const std::function<bool(const PeerState&)>& confirms) const {
  bool all_confirm = true;
  for (const auto& s : platform_.siblings) {
    auto it = peers_.find(s.name);
    const bool fresh = it != peers_.end() && now - it->second.reported_at < kPeerReportMaxAge;
    // A peer that the state service answers may take over soon: yield.
    if (fresh && it->second.state_service_reachable) return false;
    if (!fresh || !confirms(it->second)) all_confirm = false;
  }
  return all_confirm ||
         (now < lease_valid_until_ + max_unconfirmed_renewal() && records_fresh_for_renewal(now));
}

/// Whoever renews workers without its peers' word read all records so lately that a cancellation it lacks
/// still has its time: this bound and a worker's lease fit into it. A lease says nothing of what was read.
bool Ownership::records_fresh_for_renewal(Micros now) const {
  return now - records_read_at_ < kOwnerLeaseDuration + kCancelDeadlineMargin + max_unconfirmed_renewal();
}

/// What keeps a peer that lacks the state service too from confirming an owner; null: nothing. Once it was
/// cut off from the service alone, an owner must not take a common outage for its right to go on: others may
/// have confirmed cancellations before it, or taken the share and lost their leases since.
const char* Ownership::confirmation_objection(int share, const PeerState& peer) const {
  const OwnerKey* key = owner(share);
  const auto s = static_cast<std::size_t>(share);
  if (!is_ours(key)) return "isn't asked, the key is not ours";
  if (s >= peer.highest_epochs.size()) return "is of a version that doesn't say what it knows";
  if (peer.highest_epochs[s] > key->epoch) return "knows of a later owner";
  if (!peer.all_cancellations_known) return "may have told users of cancellations that we don't know";
  if (peer.alive_since > std::min(lease_confirmed_at_, records_read_at_))
    return "began after we were last served";
  return nullptr;
}

bool Ownership::may_renew_worker_leases(int share, Micros now) const {
  if (!lease_) return false;
  return (now < lease_valid_until_ && records_fresh_for_renewal(now)) ||
         may_act_beyond_lease(
             now, [&](const PeerState& peer) { return confirmation_objection(share, peer) == nullptr; });
}

std::string Ownership::renewal_refusal_reason(int share, Micros now) const {
  if (may_renew_worker_leases(share, now)) return {};
  if (!lease_) return "our lease has ended";
  if (now < lease_valid_until_) return "records were read too long ago";
  for (const auto& s : platform_.siblings) {
    const auto it = peers_.find(s.name);
    if (it == peers_.end() || now - it->second.reported_at >= kPeerReportMaxAge)
      return s.name + " isn't heard";
    if (it->second.state_service_reachable) return s.name + " has the state service";
    if (const char* why = confirmation_objection(share, it->second)) return s.name + " " + why;
  }
  return "unknown";
}

bool Ownership::keys_current(Micros now) const {
  if (!lease_) return false;
  return now < lease_valid_until_ || may_act_beyond_lease(now, [](const PeerState&) { return true; });
}

void Ownership::add_former_owner(int share, FormerOwner former, Micros now) {
  auto& formers = former_owners_[share];
  std::erase_if(formers,
                [&](const FormerOwner& f) { return f.may_renew_until && *f.may_renew_until <= now; });
  formers.push_back(std::move(former));
}

void Ownership::key_reread_started() {
  versions_before_reread_.clear();
  for (const auto& [share, key] : owners_) versions_before_reread_[share] = key.version;
}

void Ownership::key_reread_finished(Micros now) {
  for (int s = 0; s < share_count(); ++s) {
    const OwnerKey* key = owner(s);
    const auto before = versions_before_reread_.find(s);
    if (key && before != versions_before_reread_.end() && before->second == key->version) continue;
    FormerOwner unknown;
    if (key) unknown.may_renew_until = renewal_deadline(now);
    add_former_owner(s, std::move(unknown), now);
  }
}

/// Who was confirmed by peers went on for as long as a peer's word counts, who wasn't for the bound.
Micros Ownership::renewal_deadline(Micros now) const {
  return now + std::max(max_unconfirmed_renewal(), kPeerReportMaxAge);
}

bool Ownership::certainly_stopped(const FormerOwner& former, Micros now) const {
  if (former.node == own_node_)
    return true;  // our own former process, or ourselves under a lease that is over
  const auto peer = peers_.find(former.node);
  // It lives and says that it no longer goes by that lease.
  return peer != peers_.end() && now - peer->second.reported_at < kPeerReportMaxAge &&
         peer->second.lease != former.lease;
}

/// Not only the last owner counts: it may have taken the share a moment ago from one that is cut off and goes
/// on with its workers, and have ended since. All who may still renew are remembered until their time is
/// over.
Micros Ownership::former_owners_renew_until(int share, Micros now) const {
  Micros until = now;
  const auto formers = former_owners_.find(share);
  if (formers == former_owners_.end()) return until;
  for (const FormerOwner& former : formers->second)
    if (!certainly_stopped(former, now))
      until = std::max(until, former.may_renew_until.value_or(renewal_deadline(now)));
  return until;
}

bool Ownership::only_we_lack_state_service(Micros now) const {
  if (now < lease_valid_until_) return false;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return now - p.second.reported_at < kPeerReportMaxAge && p.second.state_service_reachable;
  });
}

bool Ownership::isolated(Micros now) const {
  if (platform_.siblings.empty() || now < last_lease_valid_until_ + max_unconfirmed_renewal()) return false;
  return std::none_of(peers_.begin(), peers_.end(),
                      [&](const auto& p) { return now - p.second.reported_at < kPeerReportMaxAge; });
}

std::vector<int> Ownership::shares_to_take(Micros now) const {
  std::vector<int> out;
  if (!lease_valid(now)) return out;
  for (int s = 0; s < share_count(); ++s) {
    if (owners_.contains(s)) continue;
    auto it = unowned_since_.find(s);
    const Micros unowned_for = it == unowned_since_.end() ? now : now - it->second;
    // The home takes its share at once; the others wait a little, in turn.
    const int succession_rank = (home_share_ - s + share_count()) % share_count();
    // Right after our own start a home that we have not heard of is mostly starting too.
    // One that lives but that the state service does not answer can't take it: waiting for it left four
    // shares without an owner for 8 s where one node was left that could.
    const auto home = peers_.find(home_node(s));
    const bool home_can_take =
        home != peers_.end() && home->second.state_service_reachable && peer_alive(home_node(s), now);
    const bool home_has_priority = home_can_take || now - started_at_ < kHomeNodeGrace;
    const Micros wait = succession_rank == 0 ? 0
                        : home_has_priority  ? kHomeNodeGrace * (succession_rank + 1)
                                             : (succession_rank - 1) * kSecond / 2;
    if (unowned_for >= wait) out.push_back(s);
  }
  return out;
}

bool Ownership::take_leader(Micros now) const {
  return !leader_ && lease_valid(now) && now - no_leader_since_ >= home_share_ * kSecond / 4;
}

std::optional<int> Ownership::share_to_hand_back(Micros now) {
  for (const auto& s : platform_.siblings) {
    auto it = peers_.find(s.name);
    const bool ready = it != peers_.end() && now - it->second.reported_at < kPeerReportMaxAge &&
                       it->second.state_service_reachable && it->second.synced;
    if (!ready)
      home_ready_since_.erase(s.name);
    else
      home_ready_since_.try_emplace(s.name, now);
  }
  for (const auto& [share, key] : owners_) {
    if (share == home_share_ || !is_ours(&key)) continue;
    auto it = home_ready_since_.find(home_node(share));
    if (it != home_ready_since_.end() && now - it->second >= kHomeReadyTime) return share;
  }
  return {};
}

int Ownership::share_of_team(const std::string& team) const {
  for (std::size_t i = 0; i < platform_.teams.size(); ++i)
    if (platform_.teams[i].name == team) return static_cast<int>(i % nodes_.size());
  return 0;
}

}  // namespace aspenwick::share
