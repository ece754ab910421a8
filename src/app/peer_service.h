// What nodes tell each other: the gossip of shares, requests for machines, the status of jobs, cancellations
// ahead of the watch.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "app/owned_shares.h"
#include "app/records.h"
#include "fleet/provisioner.h"
#include "net/loop.h"
#include "share/cancellation_broadcast.h"
#include "share/heartbeat_tracker.h"
#include "share/peer_transport.h"
#include "share/pending_confirmations.h"
#include "store/client.h"

namespace aspenwick::app {

class PeerService {
 public:
  struct Needs {
    net::Loop& loop;
    share::PeerTransport& peers;
    const store::Client& store;
    Records& records;
    OwnedShares& owned_shares;
    std::function<void(const std::string& machine, int to)> move_machine;
    std::function<void(const share::StatusReply&)> status_told;
    std::function<void()> poke;
  };
  /// `incarnation`: see share::Heartbeats.
  PeerService(const wire::PlatformSettings& platform, std::uint64_t incarnation, Needs needs)
      : platform_(platform),
        needs_(std::move(needs)),
        heartbeats_(platform.name, incarnation),
        cancellations_(platform.name, incarnation) {}

  /// Every half second, and when another node leads: all that we know of our shares to the leader and to
  /// those that read no heartbeats, to the others only which they are.
  void gossip();
  /// Every quarter of a second: what we say of ourselves.
  void heartbeat();
  /// The keys may have changed.
  void keys_seen();
  /// We know that a job is cancelled, by a record of that revision; 0: told by a peer, the record is to come.
  void cancellation_known(const std::string& job, std::uint64_t revision);
  /// No owner of its share can start a task of this cancelled job any more: users may be told.
  bool may_confirm(const std::string& job);
  /// We have committed it: the peers are told ahead of the watch.
  void cancelled(const std::string& job);
  void heard(const share::Frame& frame, const share::PeerTransport::Reply& reply);
  /// All shares as fresh as is known: ours, and others' as told lately.
  std::vector<share::ShareReport> all_shares() const;
  /// All shares that are held were told lately, or others have had the time to learn that we lead: a leader
  /// that knows only its own shares would rent what others have to spare.
  bool heard_all() const;
  /// Who says lately that it holds a share; empty: nobody. Where our own view of the keys may be old.
  std::string told_owner(int share) const;
  /// As the leader's plan wants it: by us, or by whoever holds the share.
  void give(const fleet::MoveMachine& move);

 private:
  struct Told {
    std::string node;
    Micros at = 0;
    share::ShareReport said;
  };
  void heard(const share::Gossip& gossip);
  void heard(const share::ReleaseRequest& ask);
  void heard(const share::StatusRequest& ask, const share::PeerTransport::Reply& reply);
  void heard(const share::LegacyCancelNotice& tell);
  void heard(const share::CancelNotice& tell);
  void heard(const share::Heartbeat& heartbeat);
  void heartbeat(const std::string& peer);
  void tell_cancellations(const std::string& peer);
  share::PeerState state_of_us() const;
  std::vector<std::string> other_owners(const std::string& job, std::uint64_t revision) const;

  const wire::PlatformSettings& platform_;
  Needs needs_;
  share::HeartbeatTracker heartbeats_;
  share::CancellationBroadcast cancellations_;
  share::PendingConfirmations confirmations_;
  std::map<int, Told> said_;                             // by share, the last word of whoever held it
  std::map<int, std::pair<std::string, Micros>> holds_;  // who said that it holds it, and when
  std::uint64_t leader_epoch_ = 0;
  Micros led_since_ = 0;  // since we saw the leader's key as it is
};

}  // namespace aspenwick::app
