// Who holds what: our lease with the state service, the shares' owner keys, the leader key, and what the
// peers say. Socket-free: fed events and the time.
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
/// An owner acts only on job records that it knows as of a moment no longer ago. As long as its lease: a
/// state service too slow for the one is too slow for the other.
inline constexpr Micros kMaxRecordsAge = kOwnerLeaseDuration;

/// The value of owner/<n> and leader.
struct OwnerKey {
  std::string node;
  std::uint64_t lease = 0, epoch = 0, version = 0;
};
wire::Json owner_to_json(const OwnerKey& key);
OwnerKey owner_from_json(const wire::Json& j, std::uint64_t version);

/// What a peer last said of itself.
struct PeerState {
  bool state_service_reachable = false, synced = false;
  std::uint64_t lease = 0;
  Micros reported_at = 0;  // by our clock: not after it was said
  // What an owner needs that wants to go on beyond its lease; the version before tells nothing of it.
  bool all_cancellations_known = false;  // we know all cancellations that it may have told a user of
  Micros alive_since = 0;  // its process was there at this time, by our clock, and has been ever since
  std::vector<std::uint64_t> highest_epochs;  // by share: the highest that it knows to be taken
};

/// Ends a start whose settings leave less time to cancel than leases may last; throws wire::Malformed.
void check_cancel_deadline(const wire::PlatformSettings& platform);

class Ownership {
 public:
  explicit Ownership(const wire::PlatformSettings& platform);

  // ---- our lease; its time counts from sending
  void lease_granted(std::uint64_t id, Micros sent);
  void lease_renewed(Micros sent);
  void lease_lost();
  std::optional<std::uint64_t> lease() const { return lease_; }
  bool lease_valid(Micros now) const;
  /// For how long from now on; 0: it isn't.
  Micros lease_time_left(Micros now) const { return lease_valid(now) ? lease_valid_until_ - now : 0; }
  /// The right to act as an owner or leader, judged here only: our lease is surely valid, and what the act
  /// rests on was read no longer ago than kMaxRecordsAge. A lease renewed after a pause says nothing of what
  /// happened in it.
  place::StartRefusal action_refusal(Micros now, Micros known_as_of) const;
  /// All job records are known as they were at `sent` or later.
  void records_read(Micros sent) { records_read_at_ = std::max(records_read_at_, sent); }

  // ---- what the state service shows
  void owner_set(int share, const OwnerKey& key, Micros now);
  void owner_removed(int share, Micros now);
  /// All keys are about to be read anew, at the start or after changes that no watch has told; then they
  /// were. Who owned a share meanwhile is not known.
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
  /// `said.at`: when it was said at the earliest, by our clock. An older word never replaces a newer one.
  void peer_reported(const std::string& node, const PeerState& report);
  bool peer_alive(const std::string& node, Micros now) const;

  /// May reports of a share's workers be answered (which renews their leases)? Beyond our own lease only
  /// while all peers confirm it: they lack the state service too, were there when it last answered us, know
  /// of no owner after us and of no cancellation that we don't know. Unconfirmed, for no longer than
  /// max_unconfirmed_renewal().
  bool may_renew_worker_leases(int share, Micros now) const;
  /// Why not, for operators; empty: they may.
  std::string renewal_refusal_reason(int share, Micros now) const;
  Micros max_unconfirmed_renewal() const;
  /// Our view of the keys can't be old: our lease is valid, or nobody else seems to have the state service.
  bool keys_current(Micros now) const;
  /// What we tell peers. While our lease is valid we may take their shares, so we never say that we lack the
  /// state service then, whatever single calls of ours came to: they would go on renewing their workers.
  bool reports_state_service_reachable(bool store_answered, Micros now) const {
    return store_answered || lease_valid(now);
  }
  /// The last moment at which anybody who owned the share before its present key may renew a worker's lease;
  /// `now` if all of them have surely stopped.
  Micros former_owners_renew_until(int share, Micros now) const;
  /// The state service answers others but not us.
  bool only_we_lack_state_service(Micros now) const;
  /// Neither the state service nor any peer has been heard for so long that we may not even answer workers:
  /// the others may well go on without us.
  bool isolated(Micros now) const;

  /// Shares to try to take now.
  std::vector<int> shares_to_take(Micros now) const;
  bool take_leader(Micros now) const;
  /// A share of ours whose home is back and settled.
  std::optional<int> share_to_hand_back(Micros now);

  int home_share() const { return home_share_; }
  int share_count() const { return static_cast<int>(nodes_.size()); }
  const std::string& home_node(int share) const { return nodes_.at(static_cast<std::size_t>(share)); }
  int share_of_team(const std::string& team) const;

 private:
  /// Somebody whose key of a share has gone.
  struct FormerOwner {
    std::string node;  // empty: not known
    std::uint64_t lease = 0;
    std::optional<Micros> may_renew_until;  // at the latest; not known before the next key is there
  };
  void add_former_owner(int share, FormerOwner former, Micros now);
  Micros renewal_deadline(Micros now) const;
  bool certainly_stopped(const FormerOwner& former, Micros now) const;
  bool may_act_beyond_lease(Micros now, const std::function<bool(const PeerState&)>& confirms) const;
  bool records_fresh_for_renewal(Micros now) const;
  const char* confirmation_objection(int share, const PeerState& peer) const;

  const wire::PlatformSettings& platform_;
  std::string own_node_;
  std::vector<std::string> nodes_;
  int home_share_ = 0;
  std::optional<std::uint64_t> lease_;
  Micros lease_valid_until_ = 0, started_at_ = 0;
  Micros last_lease_valid_until_ = 0;  // the same, after the lease is gone too
  Micros lease_confirmed_at_ = 0,
         records_read_at_ = 0;  // the state service knew our lease then; all job records were read then
  std::map<int, OwnerKey> owners_;
  std::map<int, Micros> unowned_since_;
  std::map<int, std::vector<FormerOwner>> former_owners_;  // by share, those that may still renew workers
  std::map<int, std::uint64_t> versions_before_reread_;    // of the keys, before they were read anew
  std::optional<OwnerKey> leader_;
  Micros no_leader_since_ = 0;
  std::map<std::string, PeerState> peers_;
  std::map<std::string, Micros> home_ready_since_;
};

}  // namespace aspenwick::share
