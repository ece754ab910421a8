// Who owns which share: this node's lease at the state service, the owner keys of the shares, the leader key,
// and the states that peers report. Opens no sockets: the caller passes in events and the time.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "place/decision.h"
#include "wire/settings.h"

namespace aspenwick::share {

inline constexpr Micros kOwnerLeaseDuration = 5 * kSecond;
inline constexpr Micros kLeaseRenewInterval = 1500 * kMillisecond;
/// Maximum age of the job records that an owner acts on. Equal to the lease duration: a state service that is
/// too slow for reads is too slow for lease renewals as well.
inline constexpr Micros kMaxRecordsAge = kOwnerLeaseDuration;

/// The value of the keys s/holder/<share> and s/leader. `version` is the revision of the key's last write; it
/// is not part of the stored value.
struct OwnerKey {
  std::string node;
  std::uint64_t lease = 0, epoch = 0, version = 0;
};
wire::Json owner_to_json(const OwnerKey& key);
OwnerKey owner_from_json(const wire::Json& j, std::uint64_t version);

/// The latest state that a peer reported of itself.
struct PeerState {
  bool state_service_reachable = false, records_synced = false;
  std::uint64_t lease = 0;  // 0: none
  // By our clock: a lower bound of when the peer sent the report, or for gossip of the previous version its
  // arrival.
  Micros reported_at = 0;
  // The fields below let an owner continue beyond its lease; the previous version does not report them.
  // We know every cancellation that the peer may have confirmed to a user.
  bool all_cancellations_known = false;
  Micros alive_since = 0;  // by our clock; the peer's process has been running since then or longer
  std::vector<std::uint64_t> highest_epochs;  // by share: the highest owner epoch that the peer knows of
};

/// Throws wire::Malformed if the time allowed for a cancellation is shorter than the leases of an unreachable
/// owner and its workers can last. Called once, at startup.
void check_cancel_deadline(const wire::PlatformSettings& platform);

/// Decides what this node may do as an owner or leader. Keeps a reference to `platform`, which must outlive
/// it. All times are by this node's clock.
class Ownership {
 public:
  explicit Ownership(const wire::PlatformSettings& platform);

  // ---- this node's lease. Its duration counts from when the request was sent, which is never later than
  // when the state service started it.
  void lease_granted(std::uint64_t id, Micros sent);
  void lease_renewed(Micros sent);
  void lease_lost();
  std::optional<std::uint64_t> lease() const { return lease_; }
  bool lease_valid(Micros now) const;
  /// The remaining validity of the lease; 0 if it is not valid.
  Micros lease_time_left(Micros now) const { return lease_valid(now) ? lease_valid_until_ - now : 0; }
  /// Whether this node may act as an owner or leader; no other code decides this. The lease must be valid for
  /// certain, and the data that the action is based on (`known_as_of`) must be younger than kMaxRecordsAge:
  /// after a pause a renewed lease alone does not show what happened during the pause.
  place::StartRefusal action_refusal(Micros now, Micros known_as_of) const;
  /// All job records are known as of `as_of` or later.
  void set_records_as_of(Micros as_of) { records_as_of_ = std::max(records_as_of_, as_of); }

  // ---- keys read from the state service
  void owner_set(int share, const OwnerKey& key, Micros now);
  void owner_removed(int share, Micros now);
  /// Call these before and after reading all keys again, at startup or after changes that the watch did not
  /// deliver. Shares whose keys changed in between may have had owners that we never saw.
  void key_reread_started();
  void key_reread_finished(Micros now);
  void leader_set(const OwnerKey& key) { leader_ = key; }
  void leader_removed(Micros now) { leader_.reset(), no_leader_since_ = now; }
  const OwnerKey* owner(int share) const;
  const OwnerKey* leader() const { return leader_ ? &*leader_ : nullptr; }
  bool is_ours(const OwnerKey* key) const {
    return key && lease_ && key->lease == *lease_ && key->node == own_node_;
  }

  // ---- peers
  /// A report with an older `reported_at` never replaces a newer one.
  void peer_reported(const std::string& node, const PeerState& report);
  bool peer_alive(const std::string& node, Micros now) const;

  /// Whether reports of a share's workers may be answered, which renews the workers' leases. Beyond our own
  /// lease only while all peers confirm it: they lack the state service too, were running when it last served
  /// us, and know neither a later owner nor a cancellation that we do not know. Without these confirmations,
  /// for at most max_unconfirmed_renewal() after the lease, and only if all job records were read recently.
  bool may_renew_worker_leases(int share, Micros now) const;
  /// Why may_renew_worker_leases() is false, for the operator's log; empty if it is true.
  std::string renewal_refusal_reason(int share, Micros now) const;
  /// How long after its lease an owner may renew workers' leases without confirmation by its peers.
  Micros max_unconfirmed_renewal() const;
  /// Whether our view of the keys is current: our lease is valid, or no other node seems to reach the state
  /// service.
  bool keys_current(Micros now) const;
  /// Whether we report to peers that we reach the state service. While our lease is valid we may take their
  /// shares, so we report it as reachable even if single calls failed: otherwise the peers would go on
  /// renewing their workers' leases.
  bool reports_state_service_reachable(bool store_answered, Micros now) const {
    return store_answered || lease_valid(now);
  }
  /// The latest time at which any owner of the share before the present key may renew a worker's lease; `now`
  /// if all of them have certainly stopped.
  Micros former_owners_renew_until(int share, Micros now) const;
  /// The state service answers a peer but not us.
  bool only_we_lack_state_service(Micros now) const;
  /// We have heard neither from the state service nor from any peer for so long that we may not even answer
  /// workers; the other nodes may be working without us.
  bool isolated(Micros now) const;

  /// The shares without an owner that this node should try to acquire now.
  std::vector<int> shares_to_acquire(Micros now) const;
  /// Whether this node should try to acquire the leader key now.
  bool should_acquire_leadership(Micros now) const;
  /// A share that we own and whose home node has been ready for long enough to get it back.
  std::optional<int> share_to_hand_back(Micros now);

  /// The share that belongs to this node whenever it is ready; every node has one.
  int home_share() const { return home_share_; }
  int share_count() const { return static_cast<int>(nodes_.size()); }
  const std::string& home_node(int share) const { return nodes_.at(static_cast<std::size_t>(share)); }
  /// Teams are assigned to the shares in turn, in name order; 0 for an unknown team.
  int share_of_team(const std::string& team) const;

 private:
  /// A node that owned a share under a key that is gone.
  struct FormerOwner {
    std::string node;  // empty: unknown
    std::uint64_t lease = 0;
    std::optional<Micros> may_renew_until;  // upper bound; not set until the share's next key is seen
  };
  void add_former_owner(int share, FormerOwner former, Micros now);
  Micros renewal_deadline(Micros now) const;
  bool certainly_stopped(const FormerOwner& former, Micros now) const;
  bool may_act_beyond_lease(Micros now, const std::function<bool(const PeerState&)>& confirms) const;
  bool records_fresh_for_renewal(Micros now) const;
  const char* confirmation_objection(int share, const PeerState& peer) const;

  const wire::PlatformSettings& platform_;
  std::string own_node_;
  std::vector<std::string> nodes_;  // in name order; the home node of share n is nodes_[n]
  int home_share_ = 0;
  std::optional<std::uint64_t> lease_;
  Micros lease_valid_until_ = 0, started_at_ = 0;  // started_at_: when the first lease was requested
  Micros last_lease_valid_until_ = 0;  // like lease_valid_until_, but kept after the lease is lost
  // When the state service last confirmed our lease, and as of when all job records were last read.
  Micros lease_confirmed_at_ = 0, records_as_of_ = 0;
  std::map<int, OwnerKey> owners_;
  std::map<int, Micros> unowned_since_;
  // By share: those that may still renew workers' leases.
  std::map<int, std::vector<FormerOwner>> former_owners_;
  std::map<int, std::uint64_t> versions_before_reread_;  // of the owner keys, by share
  std::optional<OwnerKey> leader_;
  Micros no_leader_since_ = 0;
  std::map<std::string, PeerState> peers_;
  std::map<std::string, Micros> home_ready_since_;
};

}  // namespace aspenwick::share
