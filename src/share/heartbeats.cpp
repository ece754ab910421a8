#include "share/heartbeats.h"

namespace aspenwick::share {
namespace {
// A peer that has sent heartbeats so lately is not of the version before: gossip that says so is an old one,
// held up.
constexpr Micros kHeartbeatsFor = 5 * kSecond;
}  // namespace

Heartbeat Heartbeats::to(const std::string& peer, const PeerState& ours, Micros now) const {
  Heartbeat b;
  b.node = node_;
  b.state_ok = ours.state_ok, b.synced = ours.synced, b.lease = ours.lease;
  b.epochs = ours.epochs;
  b.incarnation = incarnation_;
  b.stamp = static_cast<std::uint64_t>(now);
  if (auto it = peers_.find(peer); it != peers_.end())
    b.echo_incarnation = it->second.incarnation, b.echo_stamp = it->second.stamp;
  return b;
}

Heartbeats::Heard Heartbeats::heard(const Heartbeat& b, Micros now) {
  Heard out;
  read_.insert(b.node);
  Peer& p = peers_[b.node];
  // Of one process the newest stamp is returned. Which of two processes is the later one is not told by what
  // comes first; returning a dead one's only delays proof until the living one's next heartbeat.
  if (p.incarnation != b.incarnation) p.since = now;
  if (p.incarnation != b.incarnation || b.stamp > p.stamp) p.incarnation = b.incarnation, p.stamp = b.stamp;
  out.answer = b.echo_incarnation != incarnation_;
  const auto proof = static_cast<Micros>(b.echo_stamp);
  if (out.answer || proof > now) return out;
  const bool newer = proof > p.proven ||
                     (proof == p.proven && b.incarnation == p.proven_incarnation && b.stamp > p.proven_stamp);
  if (!newer) return out;
  p.proven = proof, p.proven_incarnation = b.incarnation, p.proven_stamp = b.stamp;
  out.state = PeerState{b.state_ok, b.synced, b.lease, proof, false, p.since, b.epochs};
  return out;
}

bool Heartbeats::take_gossip(const Gossip& g, Micros now) {
  if (g.heartbeats) {
    read_.insert(g.node);
    return false;
  }
  if (auto it = peers_.find(g.node);
      it != peers_.end() && it->second.proven >= 0 && now - it->second.proven < kHeartbeatsFor)
    return false;
  read_.erase(g.node);
  return true;
}

}  // namespace aspenwick::share
