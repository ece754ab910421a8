// Determines which process of a peer sent a heartbeat, and a bound on the heartbeat's age. The time of
// arrival shows neither: a heartbeat may be delayed by a network partition, wait in the socket of a node that
// was suspended, or come from a process that has been restarted since. So each heartbeat names the process
// that sent it and echoes the newest timestamp that it received from us; a heartbeat that echoes a timestamp
// of this process was sent after that timestamp. Opens no sockets.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "share/ownership.h"
#include "share/peer_frame.h"

namespace aspenwick::share {

/// Builds the heartbeats of this process and judges those of the peers. Times are by this node's clock.
class HeartbeatTracker {
 public:
  /// `incarnation` identifies this process: drawn at random for each process, not 0.
  HeartbeatTracker(std::string node, std::uint64_t incarnation)
      : node_(std::move(node)), incarnation_(incarnation) {}

  /// The heartbeat to send to a peer now. The caller fills in the fields about records and cancellations.
  Heartbeat message_for(const std::string& peer, const PeerState& ours, Micros now) const;
  struct Reception {
    /// The sender's state, with `reported_at` and `alive_since` set; the caller sets
    /// `all_cancellations_known`. Not set if the heartbeat proves nothing newer than what was accepted
    /// before.
    std::optional<PeerState> state;
    bool reply_needed = false;  // the sender has no timestamp of this process yet: send it a heartbeat now
  };
  /// Records a heartbeat of a peer that arrived at `now`, and returns what it proves.
  Reception receive(const Heartbeat& heartbeat, Micros now);

  /// Notes from a gossip frame whether its sender's version reads heartbeats. Returns true if the sender's
  /// state in the frame counts as of its arrival, which holds only for the previous version.
  bool accept_gossip_state(const Gossip& gossip, Micros now);
  /// Whether the peer is known to run a version that reads heartbeats.
  bool reads_heartbeats(const std::string& peer) const { return heartbeat_readers_.contains(peer); }

 private:
  struct Peer {
    std::uint64_t incarnation = 0, timestamp = 0;  // of its process seen last: the newest, to be echoed
    Micros first_seen = 0;                         // arrival of that process's first heartbeat
    Micros echoed_at = -1;  // our timestamp that the last accepted heartbeat echoes; -1: none
    std::uint64_t accepted_timestamp = 0, accepted_incarnation = 0;  // those of that heartbeat itself
  };
  std::string node_;
  std::uint64_t incarnation_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> heartbeat_readers_;  // peers whose version reads heartbeats
};

}  // namespace aspenwick::share
