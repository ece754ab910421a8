#include "share/heartbeat_tracker.h"

namespace aspenwick::share {
namespace {
// A peer that has certainly sent a heartbeat within this time does not run the previous version; gossip that
// says so was sent earlier and delayed.
constexpr Micros kLegacyGossipDelay = 5 * kSecond;
}  // namespace

Heartbeat HeartbeatTracker::message_for(const std::string& peer, const PeerState& ours, Micros now) const {
  Heartbeat b;
  b.node = node_;
  b.state_service_reachable = ours.state_service_reachable, b.records_synced = ours.records_synced,
  b.lease = ours.lease;
  b.highest_epochs = ours.highest_epochs;
  b.incarnation = incarnation_;
  b.timestamp = static_cast<std::uint64_t>(now);
  if (auto it = peers_.find(peer); it != peers_.end())
    b.echo_incarnation = it->second.incarnation, b.echo_timestamp = it->second.timestamp;
  return b;
}

HeartbeatTracker::Reception HeartbeatTracker::receive(const Heartbeat& b, Micros now) {
  Reception out;
  heartbeat_readers_.insert(b.node);
  Peer& p = peers_[b.node];
  // Of one process, the newest timestamp is echoed. The order of arrival does not show which of two processes
  // is the later one; echoing the timestamp of one that has ended only delays proof until the next heartbeat
  // of the running one.
  if (p.incarnation != b.incarnation) p.first_seen = now;
  if (p.incarnation != b.incarnation || b.timestamp > p.timestamp)
    p.incarnation = b.incarnation, p.timestamp = b.timestamp;
  out.reply_needed = b.echo_incarnation != incarnation_;
  const auto echoed = static_cast<Micros>(b.echo_timestamp);
  if (out.reply_needed || echoed > now) return out;
  const bool newer =
      echoed > p.echoed_at || (echoed == p.echoed_at && b.incarnation == p.accepted_incarnation &&
                               b.timestamp > p.accepted_timestamp);
  if (!newer) return out;
  p.echoed_at = echoed, p.accepted_incarnation = b.incarnation, p.accepted_timestamp = b.timestamp;
  out.state = PeerState{b.state_service_reachable, b.records_synced, b.lease, echoed, false, p.first_seen,
                        b.highest_epochs};
  return out;
}

bool HeartbeatTracker::accept_gossip_state(const Gossip& g, Micros now) {
  if (g.sender_reads_heartbeats) {
    heartbeat_readers_.insert(g.node);
    return false;
  }
  if (auto it = peers_.find(g.node);
      it != peers_.end() && it->second.echoed_at >= 0 && now - it->second.echoed_at < kLegacyGossipDelay)
    return false;
  heartbeat_readers_.erase(g.node);
  return true;
}

}  // namespace aspenwick::share
