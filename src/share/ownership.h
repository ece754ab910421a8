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

inline constexpr Micros kOwnerLease = 5 * kSecond;
inline constexpr Micros kRenewEvery = 1500 * kMillisecond;
/// An owner acts only on job records that it knows as of a moment no longer ago. As long as its lease: a
/// state service too slow for the one is too slow for the other.
inline constexpr Micros kRecordsBound = kOwnerLease;

/// The value of owner/<n> and leader.
struct OwnerKey {
  std::string node;
  std::uint64_t lease = 0, epoch = 0, version = 0;
};
wire::Json owner_to_json(const OwnerKey& h);
OwnerKey owner_from_json(const wire::Json& j, std::uint64_t version);

/// What a peer last said of itself.
struct PeerState {
  bool state_ok = false, synced = false;
  std::uint64_t lease = 0;
  Micros at = 0;  // by our clock: not after it was said
  // What an owner needs that wants to go on beyond its lease; the version before tells nothing of it.
  bool knows_all = false;  // we know all cancellations that it may have told a user of
  Micros since = 0;        // its process was there at this time, by our clock, and has been ever since
  std::vector<std::uint64_t> epochs;  // by share: the highest that it knows to be taken
};

/// Ends a start whose settings leave less time to cancel than leases may last; throws wire::Malformed.
void check_time_to_cancel(const wire::PlatformSettings& platform);

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
  Micros lease_sure_for(Micros now) const { return lease_valid(now) ? valid_until_ - now : 0; }
  /// The right to act as an owner or leader, judged here only: our lease is surely valid, and what the act
  /// rests on was read no longer ago than kRecordsBound. A lease renewed after a pause says nothing of what
  /// happened in it.
  place::StartRefusal acting_refusal(Micros now, Micros known_as_of) const;
  /// All job records are known as they were at `sent` or later.
  void records_read(Micros sent) { read_ = std::max(read_, sent); }

  // ---- what the state service shows
  void owner_set(int share, const OwnerKey& key, Micros now);
  void owner_removed(int share, Micros now);
  /// All keys are about to be read anew, at the start or after changes that no watch has told; then they
  /// were. Who owned a share meanwhile is not known.
  void reading_keys();
  void keys_read(Micros now);
  void leader_set(const OwnerKey& key) { leader_ = key; }
  void leader_removed(Micros now) { leader_.reset(), leader_free_since_ = now; }
  const OwnerKey* owner(int share) const;
  const OwnerKey* leader() const { return leader_ ? &*leader_ : nullptr; }
  bool ours(const OwnerKey* key) const { return key && lease_ && key->lease == *lease_ && key->node == me_; }

  // ---- peers
  /// `said.at`: when it was said at the earliest, by our clock. An older word never replaces a newer one.
  void peer_reported(const std::string& node, const PeerState& said);
  bool peer_alive(const std::string& node, Micros now) const;

  /// May reports of a share's workers be answered (which renews their leases)? Beyond our own lease only
  /// while all peers confirm it: they lack the state service too, were there when it last answered us, know
  /// of no owner after us and of no cancellation that we don't know. Unconfirmed, for no longer than
  /// unconfirmed_bound().
  bool may_renew_workers(int share, Micros now) const;
  /// Why not, for operators; empty: they may.
  std::string why_not_renewed(int share, Micros now) const;
  Micros unconfirmed_bound() const;
  /// Our view of the keys can't be old: our lease is valid, or nobody else seems to have the state service.
  bool keys_current(Micros now) const;
  /// What we tell peers. While our lease is valid we may take their shares, so we never say that we lack the
  /// state service then, whatever single calls of ours came to: they would go on renewing their workers.
  bool has_state(bool answered, Micros now) const { return answered || lease_valid(now); }
  /// The last moment at which anybody who owned the share before its present key may renew a worker's lease;
  /// `now` if all of them have surely stopped.
  Micros renewable_until(int share, Micros now) const;
  /// The state service answers others but not us.
  bool refused_alone(Micros now) const;
  /// Neither the state service nor any peer has been heard for so long that we may not even answer workers:
  /// the others may well go on without us.
  bool cut_off(Micros now) const;

  /// Shares to try to take now.
  std::vector<int> to_take(Micros now) const;
  bool take_leader(Micros now) const;
  /// A share of ours whose home is back and settled.
  std::optional<int> to_hand_back(Micros now);

  int home_share() const { return home_; }
  int shares() const { return static_cast<int>(nodes_.size()); }
  const std::string& node_of(int share) const { return nodes_.at(static_cast<std::size_t>(share)); }
  int share_of_team(const std::string& team) const;

 private:
  /// Somebody whose key of a share has gone.
  struct FormerOwner {
    std::string node;  // empty: not known
    std::uint64_t lease = 0;
    std::optional<Micros> renews_until;  // at the latest; not known before the next key is there
  };
  void add_former(int share, FormerOwner former, Micros now);
  Micros renewal_bound(Micros now) const;
  bool surely_stopped(const FormerOwner& former, Micros now) const;
  bool beyond_lease(Micros now, const std::function<bool(const PeerState&)>& confirms) const;
  bool records_known_for_renewal(Micros now) const;
  const char* objection(int share, const PeerState& peer) const;

  const wire::PlatformSettings& platform_;
  std::string me_;
  std::vector<std::string> nodes_;
  int home_ = 0;
  std::optional<std::uint64_t> lease_;
  Micros valid_until_ = 0, started_ = 0;
  Micros held_until_ = 0;         // the same, after the lease is gone too
  Micros served_ = 0, read_ = 0;  // the state service knew our lease then; all job records were read then
  std::map<int, OwnerKey> owners_;
  std::map<int, Micros> free_since_;
  std::map<int, std::vector<FormerOwner>> former_owners_;  // by share, those that may still renew workers
  std::map<int, std::uint64_t> versions_before_;           // of the keys, before they were read anew
  std::optional<OwnerKey> leader_;
  Micros leader_free_since_ = 0;
  std::map<std::string, PeerState> peers_;
  std::map<std::string, Micros> settled_since_;
};

}  // namespace aspenwick::share
