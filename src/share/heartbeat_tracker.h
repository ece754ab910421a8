// Which process of a peer a word comes from, and how old it is at most. A word may be held up by a cut, lie
// in the socket of a node that stood still, or be of a process that has ended and been started again since:
// its arrival says nothing. So each heartbeat names the process that sent it and returns the newest stamp
// that it had from us; what came back with a stamp of this process was said after that stamp. Socket-free.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "share/ownership.h"
#include "share/peer_frame.h"

namespace aspenwick::share {

class HeartbeatTracker {
 public:
  /// `incarnation`: drawn at random for each process, not 0.
  HeartbeatTracker(std::string node, std::uint64_t incarnation)
      : node_(std::move(node)), incarnation_(incarnation) {}

  /// What we say of ourselves to a peer, now; of the cancellations the caller tells.
  Heartbeat message_for(const std::string& peer, const PeerState& ours, Micros now) const;
  struct Reception {
    /// `at`: by our clock, surely not after it was said; `since` told too, `all_cancellations_known` not.
    /// None: it proves nothing.
    std::optional<PeerState> state;
    bool reply_needed = false;  // it has nothing of this process yet: an answer at once gives it our stamp
  };
  Reception heard(const Heartbeat& heartbeat, Micros now);

  /// A gossip frame came, which tells whether its sender's version sends heartbeats. true: it may be taken by
  /// its arrival, as the version before means it.
  bool accept_gossip_state(const Gossip& gossip, Micros now);
  /// The peer's process is known to read heartbeats.
  bool reads_heartbeats(const std::string& peer) const { return heartbeat_readers_.contains(peer); }

 private:
  struct Peer {
    std::uint64_t incarnation = 0, timestamp = 0;  // of the heartbeat that came last, to be returned
    Micros first_seen = 0;                         // when a heartbeat of that process came first
    Micros echoed_at = -1;                         // our stamp in the newest word taken
    std::uint64_t accepted_timestamp = 0, accepted_incarnation = 0;
  };
  std::string node_;
  std::uint64_t incarnation_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> heartbeat_readers_;
};

}  // namespace aspenwick::share
