#include "app/peer_desk.h"

#include <variant>

namespace aspenwick::app {

using share::HolderKey;

namespace {
constexpr Micros kToldFor = 2 * kSecond;
}

void PeerDesk::gossip() {
  const auto& own = needs_.keeper.ownership();
  const Micros now = needs_.loop.now();
  share::Gossip g;
  g.node = platform_.name;
  g.state_ok = own.has_state(needs_.store.ok(now), now);
  g.synced = needs_.records.synced();
  g.lease = own.lease().value_or(0);
  g.shares = needs_.keeper.own_shares();
  for (const auto& frame : share::encode_gossip(g)) needs_.peers.broadcast_bytes(frame);
}

std::vector<share::ShareSaid> PeerDesk::all_shares() const {
  auto shares = needs_.keeper.own_shares();
  const Micros now = needs_.loop.now();
  for (const auto& [share, told] : said_)
    if (now - told.at <= kToldFor && !needs_.keeper.find(share)) shares.push_back(told.said);
  return shares;
}

void PeerDesk::give(const fleet::Move& move) {
  if (auto* held = needs_.keeper.find(move.from)) {
    if (move.drain)
      held->holder->drain(move.machine, move.to, move.rank, needs_.loop.now());
    else
      needs_.move_machine(move.machine, move.to);
  } else if (const HolderKey* key = needs_.keeper.ownership().holder(move.from)) {
    needs_.peers.send(key->node, share::ReleaseAsk{move.machine, move.to, move.drain, move.rank});
  }
}

void PeerDesk::heard(const share::Frame& frame, const share::Peers::Reply& reply) {
  if (const auto* g = std::get_if<share::Gossip>(&frame))
    heard(*g);
  else if (const auto* a = std::get_if<share::ReleaseAsk>(&frame))
    heard(*a);
  else if (const auto* q = std::get_if<share::StatusAsk>(&frame))
    heard(*q, reply);
  else if (const auto* t = std::get_if<share::StatusTell>(&frame))
    needs_.status_told(*t);
  else if (const auto* w = std::get_if<share::WithdrawnTell>(&frame))
    heard(*w);
}

void PeerDesk::heard(const share::Gossip& g) {
  const Micros now = needs_.loop.now();
  auto& own = needs_.keeper.ownership();
  own.peer_said(g.node, {g.state_ok, g.synced, g.lease, now});
  // Share by share: a node with thousands of machines tells them in several frames.
  std::erase_if(said_, [&](const auto& s) {
    const HolderKey* key = own.holder(s.first);
    return s.second.node == g.node && key && key->node != g.node;
  });
  for (const auto& s : g.shares) said_[s.share] = {g.node, now, s};
}

void PeerDesk::heard(const share::ReleaseAsk& a) {
  const auto* m = needs_.records.machine(a.machine);
  auto* held = m ? needs_.keeper.find(m->share) : nullptr;
  if (!held || a.to_share >= needs_.keeper.ownership().shares()) return;
  if (a.drain)
    held->holder->drain(a.machine, a.to_share, a.rank, needs_.loop.now());
  else
    needs_.move_machine(a.machine, a.to_share);
}

void PeerDesk::heard(const share::StatusAsk& q, const share::Peers::Reply& reply) {
  share::StatusTell t;
  t.request = q.request;
  for (const auto& [s, held] : needs_.keeper.held())
    if (auto tally = held.holder->tally(q.job))
      t.known = true, t.done = tally->first, t.running = tally->second;
  reply(t);
}

void PeerDesk::heard(const share::WithdrawnTell& w) {
  const auto* known = needs_.records.job(w.job);
  if (!known || known->final()) return;
  job::JobRecord record = *known;
  record.status = wire::JobStatus::withdrawn;
  needs_.records.set_job(w.job, std::move(record));
  needs_.records.follow_graph();
  needs_.poke();
}

}  // namespace aspenwick::app
