#include "app/peer_service.h"

#include <variant>

namespace aspenwick::app {

using share::OwnerKey;

namespace {
constexpr Micros kToldFor = 2 * kSecond;
constexpr Micros kHoldsFor = 1500 * kMillisecond;
constexpr Micros kToldWithin = 1500 * kMillisecond;  // of a new leader's key
}  // namespace

share::PeerState PeerService::state_of_us() const {
  const auto& own = needs_.owned_shares.ownership();
  const Micros now = needs_.loop.now();
  return {own.reports_state_service_reachable(needs_.store.reachable(now), now),
          needs_.records.synced(),
          own.lease().value_or(0),
          now,
          false,
          0,
          needs_.owned_shares.taken_epochs()};
}

void PeerService::gossip() {
  const auto ours = state_of_us();
  share::Gossip g;
  g.node = platform_.name;
  g.state_service_reachable = ours.state_service_reachable, g.records_synced = ours.records_synced,
  g.lease = ours.lease;
  g.sender_reads_heartbeats = true;
  share::Gossip brief = g;
  brief.ids_only = true;
  for (const auto& [s, owned] : needs_.owned_shares.all())
    brief.shares.push_back({s, owned.controller->rebuilt(), {}, {}});
  const std::string in_brief = share::encode(brief);
  const OwnerKey* leader = needs_.owned_shares.ownership().leader();
  std::vector<std::string> whole;
  for (const auto& peer : platform_.siblings) {
    if (heartbeats_.reads_heartbeats(peer.name) && leader && leader->node != peer.name) {
      needs_.peers.send_bytes(peer.name, in_brief);
      continue;
    }
    if (whole.empty()) {
      g.shares = needs_.owned_shares.shares_to_tell();
      whole = share::encode_gossip(g);
    }
    for (const auto& frame : whole) needs_.peers.send_bytes(peer.name, frame);
  }
}

void PeerService::heartbeat(const std::string& peer) {
  share::Heartbeat b = heartbeats_.message_for(peer, state_of_us(), needs_.loop.now());
  b.records_read_to = needs_.records.read_to();
  b.highest_cancellation = cancellations_.highest_number();
  b.acked_cancellation = cancellations_.received_up_to(peer, b.echo_incarnation);
  needs_.peers.send(peer, b);
}

void PeerService::tell_cancellations(const std::string& peer) {
  if (const auto tell = cancellations_.message_for(peer)) needs_.peers.send(peer, *tell);
}

void PeerService::heartbeat() {
  for (const auto& peer : platform_.siblings)
    if (heartbeats_.reads_heartbeats(peer.name)) heartbeat(peer.name);
}

void PeerService::keys_seen() {
  const OwnerKey* leader = needs_.owned_shares.ownership().leader();
  const std::uint64_t epoch = leader ? leader->epoch : 0;
  if (epoch == leader_epoch_) return;
  leader_epoch_ = epoch;
  led_since_ = needs_.loop.now();
  if (leader) gossip();
}

void PeerService::cancellation_known(const std::string& job, std::uint64_t revision) {
  const std::uint64_t number = cancellations_.add(job, revision);
  confirmations_.add(job, revision, number, needs_.loop.now());
}

bool PeerService::may_confirm(const std::string& job) {
  return confirmations_.confirmable(
      job, cancellations_, [this, &job](std::uint64_t revision) { return other_owners(job, revision); },
      needs_.loop.now());
}

/// Who takes the share later reads every record up to its key, and so the cancellation. Whoever may have
/// taken it before, unseen by us, has to have said that it knows.
std::vector<std::string> PeerService::other_owners(const std::string& job, std::uint64_t revision) const {
  const auto& own = needs_.owned_shares.ownership();
  const auto* record = needs_.records.job(job);
  const bool keys_known = revision != 0 && needs_.store.watched_revision() >= revision;
  if (keys_known && record && record->spec) {
    const OwnerKey* key = own.owner(own.share_of_team(record->spec->team));
    if (!key || key->node == platform_.name) return {};
    return {key->node};
  }
  std::vector<std::string> nodes;
  for (const auto& peer : platform_.siblings) nodes.push_back(peer.name);
  return nodes;
}

void PeerService::cancelled(const std::string& job) {
  for (const auto& peer : platform_.siblings)
    if (heartbeats_.reads_heartbeats(peer.name))
      tell_cancellations(peer.name);
    else
      needs_.peers.send(peer.name, share::LegacyCancelNotice{job});
}

bool PeerService::heard_all() const {
  const Micros now = needs_.loop.now();
  if (now - led_since_ > kToldWithin) return true;
  const auto& own = needs_.owned_shares.ownership();
  for (int s = 0; s < own.share_count(); ++s) {
    if (!own.owner(s) || needs_.owned_shares.find(s)) continue;
    auto told = said_.find(s);
    if (told == said_.end() || now - told->second.at > kToldFor) return false;
  }
  return true;
}

std::string PeerService::told_owner(int share) const {
  auto it = holds_.find(share);
  return it == holds_.end() || needs_.loop.now() - it->second.second > kHoldsFor ? "" : it->second.first;
}

std::vector<share::ShareReport> PeerService::all_shares() const {
  auto shares = needs_.owned_shares.shares_to_tell();
  const Micros now = needs_.loop.now();
  for (const auto& [share, told] : said_)
    if (now - told.at <= kToldFor && !needs_.owned_shares.find(share)) shares.push_back(told.said);
  return shares;
}

void PeerService::give(const fleet::Move& move) {
  if (auto* owned = needs_.owned_shares.find(move.from)) {
    if (move.drain)
      owned->controller->drain(move.machine, move.to, move.rank, needs_.loop.now());
    else
      needs_.move_machine(move.machine, move.to);
  } else if (const OwnerKey* key = needs_.owned_shares.ownership().owner(move.from)) {
    needs_.peers.send(key->node, share::ReleaseRequest{move.machine, move.to, move.drain, move.rank});
  }
}

void PeerService::heard(const share::Frame& frame, const share::PeerTransport::Reply& reply) {
  if (const auto* g = std::get_if<share::Gossip>(&frame))
    heard(*g);
  else if (const auto* a = std::get_if<share::ReleaseRequest>(&frame))
    heard(*a);
  else if (const auto* q = std::get_if<share::StatusRequest>(&frame))
    heard(*q, reply);
  else if (const auto* t = std::get_if<share::StatusReply>(&frame))
    needs_.status_told(*t);
  else if (const auto* w = std::get_if<share::LegacyCancelNotice>(&frame))
    heard(*w);
  else if (const auto* c = std::get_if<share::CancelNotice>(&frame))
    heard(*c);
  else if (const auto* b = std::get_if<share::Heartbeat>(&frame))
    heard(*b);
}

void PeerService::heard(const share::Heartbeat& b) {
  auto heard = heartbeats_.heard(b, needs_.loop.now());
  if (heard.state) {
    // Repeated with each of its heartbeats, so that nothing piles up for a peer that can't be reached.
    cancellations_.set_peer_progress(b.node, b.records_read_to, b.acked_cancellation);
    tell_cancellations(b.node);
    heard.state->all_cancellations_known =
        cancellations_.received_up_to(b.node, b.incarnation) >= b.highest_cancellation;
    needs_.owned_shares.ownership().peer_reported(b.node, *heard.state);
  }
  if (heard.reply_needed) heartbeat(b.node);
}

void PeerService::heard(const share::Gossip& g) {
  const Micros now = needs_.loop.now();
  auto& own = needs_.owned_shares.ownership();
  if (heartbeats_.accept_gossip_state(g, now))
    own.peer_reported(g.node, {g.state_service_reachable, g.records_synced, g.lease, now, false, 0, {}});
  for (const auto& s : g.shares) holds_[s.share] = {g.node, now};
  if (g.ids_only) return;
  // Share by share: a node with thousands of machines tells them in several frames.
  std::erase_if(said_, [&](const auto& s) {
    const OwnerKey* key = own.owner(s.first);
    return s.second.node == g.node && key && key->node != g.node;
  });
  for (const auto& s : g.shares) said_[s.share] = {g.node, now, s};
}

void PeerService::heard(const share::ReleaseRequest& a) {
  const auto* m = needs_.records.machine(a.machine);
  auto* owned = m ? needs_.owned_shares.find(m->share) : nullptr;
  if (!owned || a.to_share >= needs_.owned_shares.ownership().share_count()) return;
  if (a.drain)
    owned->controller->drain(a.machine, a.to_share, a.rank, needs_.loop.now());
  else
    needs_.move_machine(a.machine, a.to_share);
}

void PeerService::heard(const share::StatusRequest& q, const share::PeerTransport::Reply& reply) {
  share::StatusReply t;
  t.request = q.request;
  for (const auto& [s, owned] : needs_.owned_shares.all())
    if (auto tally = owned.controller->task_counts(q.job))
      t.known = true, t.done = tally->first, t.running = tally->second;
  reply(t);
}

void PeerService::heard(const share::LegacyCancelNotice& w) {
  // Of no known revision: the record that says it is still to come.
  needs_.records.cancelled_elsewhere(w.job, 0);
  needs_.records.follow_graph();
  needs_.poke();
}

void PeerService::heard(const share::CancelNotice& c) {
  for (const auto& j : c.jobs) needs_.records.cancelled_elsewhere(j.id, j.revision);
  needs_.records.follow_graph();
  cancellations_.heard(c);
  needs_.poke();
  heartbeat(c.node);  // says that we know them: a user waits for it
}

}  // namespace aspenwick::app
