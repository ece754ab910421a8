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
#include "share/cancellations.h"
#include "share/heartbeats.h"
#include "share/peers.h"
#include "share/pending_confirmations.h"
#include "store/client.h"

namespace aspenwick::app {

class PeerService {
 public:
  struct Dependencies {
    net::Loop& loop;
    share::Peers& peers;
    const store::Client& store;
    Records& records;
    OwnedShares& owned_shares;
    std::function<void(const std::string& machine, int to)> move_machine;
    std::function<void(const share::StatusTell&)> status_received;
    std::function<void()> schedule_tick;
  };
  /// `incarnation`: see share::Heartbeats.
  PeerService(const wire::PlatformSettings& platform, std::uint64_t incarnation, Dependencies dependencies)
      : platform_(platform),
        deps_(std::move(dependencies)),
        heartbeats_(platform.name, incarnation),
        cancellations_(platform.name, incarnation) {}

  /// Every half second, and when another node leads: all that we know of our shares to the leader and to
  /// those that read no heartbeats, to the others only which they are.
  void send_gossip();
  /// Every quarter of a second: what we say of ourselves.
  void send_heartbeats();
  /// The keys may have changed.
  void on_keys_changed();
  /// We know that a job is cancelled, by a record of that revision; 0: told by a peer, the record is to come.
  void on_cancellation_known(const std::string& job, std::uint64_t revision);
  /// No owner of its share can start a task of this cancelled job any more: users may be told.
  bool may_confirm_cancellation(const std::string& job);
  /// We have committed it: the peers are told ahead of the watch.
  void broadcast_cancellation(const std::string& job);
  void handle_frame(const share::Frame& frame, const share::Peers::Reply& reply);
  /// All shares as fresh as is known: ours, and others' as told lately.
  std::vector<share::ShareSaid> all_share_states() const;
  /// All shares that are held were told lately, or others have had the time to learn that we lead: a leader
  /// that knows only its own shares would rent what others have to spare.
  bool heard_from_all_share_states() const;
  /// Who says lately that it holds a share; empty: nobody. Where our own view of the keys may be old.
  std::string reported_owner(int share) const;
  /// As the leader's plan wants it: by us, or by whoever holds the share.
  void execute_move(const fleet::Move& move);

 private:
  struct ReportedState {
    std::string node;
    Micros received = 0;
    share::ShareSaid state;
  };
  void handle(const share::Gossip& gossip);
  void handle(const share::ReleaseAsk& ask);
  void handle(const share::StatusAsk& ask, const share::Peers::Reply& reply);
  void handle(const share::PlainCancelTell& tell);
  void handle(const share::CancelTell& tell);
  void handle(const share::Heartbeat& heartbeat);
  void send_heartbeat(const std::string& peer);
  void send_cancellations(const std::string& peer);
  share::PeerState own_state() const;
  std::vector<std::string> possible_owners(const std::string& job, std::uint64_t revision) const;

  const wire::PlatformSettings& platform_;
  Dependencies deps_;
  share::Heartbeats heartbeats_;
  share::Cancellations cancellations_;
  share::PendingConfirmations confirmations_;
  std::map<int, ReportedState> reported_states_;  // by share, the last word of whoever held it
  std::map<int, std::pair<std::string, Micros>> reported_holders_;  // who said that it holds it, and when
  std::uint64_t leader_epoch_ = 0;
  Micros leader_since_ = 0;  // since we saw the leader's key as it is
};

}  // namespace aspenwick::app
