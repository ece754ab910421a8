// Communication between nodes: gossip of share states, heartbeats, requests to release machines, job status,
// and cancellations ahead of the watch.
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
#include "share/report_assembler.h"
#include "store/client.h"

namespace aspenwick::app {

/// Sends and handles the frames between nodes, and keeps what the peers reported last.
class PeerService {
 public:
  struct Dependencies {
    net::Loop& loop;
    share::PeerTransport& peers;
    const store::Client& store;
    Records& records;
    OwnedShares& owned_shares;
    std::function<void(const std::string& machine, int to)> move_machine;
    std::function<void(const share::StatusReply&)> status_received;
    std::function<void()> schedule_tick;
  };
  /// `incarnation`: see share::HeartbeatTracker.
  PeerService(const wire::PlatformSettings& platform, std::uint64_t incarnation, Dependencies dependencies)
      : platform_(platform),
        deps_(std::move(dependencies)),
        heartbeats_(platform.name, incarnation),
        cancellations_(platform.name, incarnation) {}

  /// Called every half second and when the leader changes. Sends full reports on the owned shares to the
  /// leader and to peers that do not read heartbeats; to the others only which shares these are.
  void send_gossip();
  /// Called every quarter of a second: sends this node's own state to the peers that read heartbeats.
  void send_heartbeats();
  /// The owner keys or the leader key may have changed.
  void on_keys_changed();
  /// The job is known to be cancelled, by a record of this revision; 0: a peer reported it and the record is
  /// still to come.
  void on_cancellation_known(const std::string& job, std::uint64_t revision);
  /// No owner of the job's share can start a task of this cancelled job any more, so users may be told.
  bool may_confirm_cancellation(const std::string& job);
  /// This node has committed the cancellation: notifies the peers without waiting for their watch.
  void broadcast_cancellation(const std::string& job);
  /// Dispatches a frame of a peer; `reply` sends a frame back to it.
  void handle_frame(const share::Frame& frame, const share::PeerTransport::Reply& reply);
  /// Reports on all shares, as fresh as known here: of owned shares, and of others as received recently.
  std::vector<share::ShareReport> all_share_reports() const;
  /// All shares that have an owner were reported recently, or the other nodes have had the time to learn that
  /// this node leads. A leader that knows only its own shares would rent machines that other
  /// shares do not need.
  bool heard_from_all_shares() const;
  /// The node that recently reported to own the share; empty: none. For use while this node's own view of the
  /// keys may be outdated.
  std::string reported_owner(int share) const;
  /// Executes a move of the leader's plan, here or by asking the owner of the share.
  void execute_move(const fleet::MoveMachine& move);

 private:
  struct ReceivedReport {
    std::string node;
    Micros received = 0;
    share::ShareReport report;
  };
  void handle(const share::Gossip& gossip);
  void handle(const share::ReleaseRequest& release_request);
  void handle(const share::StatusRequest& status_request, const share::PeerTransport::Reply& reply);
  void handle(const share::LegacyCancelNotice& notice);
  void handle(const share::CancelNotice& notice);
  void handle(const share::Heartbeat& heartbeat);
  void send_heartbeat(const std::string& peer);
  void send_cancellations(const std::string& peer);
  share::PeerState own_state() const;
  std::vector<std::string> possible_owners(const std::string& job, std::uint64_t revision) const;

  const wire::PlatformSettings& platform_;
  Dependencies deps_;
  share::HeartbeatTracker heartbeats_;
  share::CancellationBroadcast cancellations_;
  share::PendingConfirmations confirmations_;
  std::map<int, ReceivedReport> received_reports_;  // by share, as last reported by its owner
  share::ReportAssembler report_assembler_;
  std::map<int, std::pair<std::string, Micros>>
      reported_owners_;  // by share: the node that reported to own the share, and when
  std::uint64_t leader_epoch_ = 0;
  Micros leader_since_ = 0;  // when the current leader key was first seen
};

}  // namespace aspenwick::app
