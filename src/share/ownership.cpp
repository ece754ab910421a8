#include "share/ownership.h"

#include <algorithm>

namespace aspenwick::share {
namespace {
// Covers two clocks that each drift by 0.05% over a lease of 5 s, and the granularity of timers.
constexpr Micros kClockDriftMargin = 100 * kMillisecond;
constexpr Micros kPeerReportMaxAge = 1500 * kMillisecond;  // older reports confirm and contradict nothing
constexpr Micros kPeerAliveTimeout = 2500 * kMillisecond;
// Unit of the time for which the other nodes leave a free share to its home node.
constexpr Micros kHomeNodeGrace = 1500 * kMillisecond;
constexpr Micros kHomeReadyTime = 4 * kSecond;          // a returning home node must be ready for this long
constexpr Micros kMaxUnconfirmedRenewal = 8 * kSecond;  // upper limit of max_unconfirmed_renewal()
constexpr Micros kCancelDeadlineMargin = 3 * kSecond;   // kept free in the time allowed for a cancellation
}  // namespace

wire::Json owner_to_json(const OwnerKey& key) {
  return {{"node", key.node}, {"lease", key.lease}, {"epoch", key.epoch}};
}

OwnerKey owner_from_json(const wire::Json& j, std::uint64_t version) {
  return {j.at("node").get<std::string>(), j.at("lease").get<std::uint64_t>(),
          j.at("epoch").get<std::uint64_t>(), version};
}

void check_cancel_deadline(const wire::PlatformSettings& platform) {
  // An unreachable owner renews its workers' leases until its own lease expires, and the workers go on for
  // one more worker lease.
  if (platform.cancel_deadline >= kOwnerLeaseDuration + platform.worker_lease + kCancelDeadlineMargin) return;
  throw wire::Malformed("params.workers.cancel_s: must be at least lease_s plus " +
                        std::to_string((kOwnerLeaseDuration + kCancelDeadlineMargin) / kSecond) + " s");
}

Ownership::Ownership(const wire::PlatformSettings& platform)
    : platform_(platform), own_node_(platform.name), nodes_(platform.node_names()) {
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
  // Owner lease + this + worker lease stay below the time allowed for a cancellation.
  return std::clamp<Micros>(
      platform_.cancel_deadline - kOwnerLeaseDuration - platform_.worker_lease - kCancelDeadlineMargin, 0,
      kMaxUnconfirmedRenewal);
}

/// Whether this node may act beyond its lease, while no node reaches the state service: as long as all peers
/// confirm it, otherwise for max_unconfirmed_renewal() after the lease.
bool Ownership::may_act_beyond_lease(Micros now,
                                     const std::function<bool(const PeerState&)>& confirms) const {
  bool all_confirm = true;
  for (const auto& s : platform_.siblings) {
    auto it = peers_.find(s.name);
    const bool fresh = it != peers_.end() && now - it->second.reported_at < kPeerReportMaxAge;
    // A peer that reaches the state service may take over soon, so stop.
    if (fresh && it->second.state_service_reachable) return false;
    if (!fresh || !confirms(it->second)) all_confirm = false;
  }
  return all_confirm ||
         (now < lease_valid_until_ + max_unconfirmed_renewal() && records_fresh_for_renewal(now));
}

/// An owner that renews workers' leases without its peers' confirmation must have read all records recently:
/// this bound plus a worker's lease fit into the time allowed for a cancellation, so one that the owner
/// missed still takes effect in time. A valid lease does not show when records were read.
bool Ownership::records_fresh_for_renewal(Micros now) const {
  return now - records_as_of_ < kOwnerLeaseDuration + kCancelDeadlineMargin + max_unconfirmed_renewal();
}

/// Why a peer that lacks the state service too does not confirm that we may continue; null if it does. An
/// owner that lost the state service before its peers did must not continue because the outage became common:
/// before that, peers may have confirmed cancellations, or taken the share and lost their leases since.
const char* Ownership::confirmation_objection(int share, const PeerState& peer) const {
  const OwnerKey* key = owner(share);
  const auto s = static_cast<std::size_t>(share);
  if (!is_ours(key)) return "was not asked, since the owner key is not ours";
  if (s >= peer.highest_epochs.size()) return "runs an older version that reports no owner epochs";
  if (peer.highest_epochs[s] > key->epoch) return "knows an owner key with a higher epoch";
  if (!peer.all_cancellations_known) return "may have confirmed cancellations that we have not received";
  if (peer.alive_since > std::min(lease_confirmed_at_, records_as_of_))
    return "started after the state service last served us";
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
  if (!lease_) return "this node holds no lease";
  if (now < lease_valid_until_) return "job records were last read too long ago";
  for (const auto& s : platform_.siblings) {
    const auto it = peers_.find(s.name);
    if (it == peers_.end() || now - it->second.reported_at >= kPeerReportMaxAge)
      return s.name + " has not been heard from recently";
    if (it->second.state_service_reachable) return s.name + " reaches the state service";
    if (const char* why = confirmation_objection(share, it->second)) return s.name + " " + why;
  }
  return "unknown reason";
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

/// The latest time at which the former owner of a share whose next key appears at `now` may renew a worker's
/// lease. One that peers confirmed stops once their last reports are kPeerReportMaxAge old, one that they did
/// not confirm after max_unconfirmed_renewal().
Micros Ownership::renewal_deadline(Micros now) const {
  return now + std::max(max_unconfirmed_renewal(), kPeerReportMaxAge);
}

bool Ownership::certainly_stopped(const FormerOwner& former, Micros now) const {
  if (former.node == own_node_)
    return true;  // a former process of this node, or this process under a lease that has ended
  const auto peer = peers_.find(former.node);
  // It is running and reports another lease than the one under which it owned the share.
  return peer != peers_.end() && now - peer->second.reported_at < kPeerReportMaxAge &&
         peer->second.lease != former.lease;
}

/// Considers all former owners that may still renew, not only the last one: that one may have ended shortly
/// after acquiring the share from an owner that is partitioned from the others and still answers its workers.
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

std::vector<int> Ownership::shares_to_acquire(Micros now) const {
  std::vector<int> out;
  if (!lease_valid(now)) return out;
  for (int s = 0; s < share_count(); ++s) {
    if (owners_.contains(s)) continue;
    auto it = unowned_since_.find(s);
    const Micros unowned_for = it == unowned_since_.end() ? now : now - it->second;
    // The home node acquires its share at once; the others wait, one after the other in name order.
    const int succession_rank = (home_share_ - s + share_count()) % share_count();
    // Right after our own start, a home node that we have not heard from is usually starting too.
    // A home node that is running but does not reach the state service cannot acquire its share. Waiting for
    // such nodes left four shares without an owner for 8 s when only one node could take them.
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

bool Ownership::should_acquire_leadership(Micros now) const {
  return !leader_ && lease_valid(now) && now - no_leader_since_ >= home_share_ * kSecond / 4;
}

std::optional<int> Ownership::share_to_hand_back(Micros now) {
  for (const auto& s : platform_.siblings) {
    auto it = peers_.find(s.name);
    const bool ready = it != peers_.end() && now - it->second.reported_at < kPeerReportMaxAge &&
                       it->second.state_service_reachable && it->second.records_synced;
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
