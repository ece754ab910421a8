#include "app/peer_service.h"

#include <variant>

namespace aspenwick::app {

using share::OwnerKey;

namespace {
constexpr Micros kShareReportMaxAge = 2 * kSecond;
constexpr Micros kReportedOwnerMaxAge = 1500 * kMillisecond;
constexpr Micros kNewLeaderWait = 1500 * kMillisecond;  // after a new leader key was seen
}  // namespace

share::PeerState PeerService::own_state() const {
  const auto& ownership = deps_.owned_shares.ownership();
  const Micros now = deps_.loop.now();
  return {ownership.reports_state_service_reachable(deps_.store.reachable(now), now),
          deps_.records.synced(),
          ownership.lease().value_or(0),
          now,
          false,
          0,
          deps_.owned_shares.acquired_epochs()};
}

void PeerService::send_gossip() {
  const auto ours = own_state();
  share::Gossip full;
  full.node = platform_.name;
  full.state_service_reachable = ours.state_service_reachable, full.records_synced = ours.records_synced,
  full.lease = ours.lease;
  full.sender_reads_heartbeats = true;
  share::Gossip brief = full;
  brief.ids_only = true;
  for (const auto& [share, owned] : deps_.owned_shares.all())
    brief.shares.push_back({share, owned.controller->all_accounted_for(), {}, {}});
  const std::string brief_frame = share::encode(brief);
  const OwnerKey* leader = deps_.owned_shares.ownership().leader();
  std::vector<std::string> full_frames;
  for (const auto& peer : platform_.siblings) {
    if (heartbeats_.reads_heartbeats(peer.name) && leader && leader->node != peer.name) {
      deps_.peers.send_bytes(peer.name, brief_frame);
      continue;
    }
    if (full_frames.empty()) {
      full.shares = deps_.owned_shares.share_reports();
      full_frames = share::encode_gossip(full);
    }
    for (const auto& frame : full_frames) deps_.peers.send_bytes(peer.name, frame);
  }
}

void PeerService::send_heartbeat(const std::string& peer) {
  share::Heartbeat heartbeat = heartbeats_.message_for(peer, own_state(), deps_.loop.now());
  heartbeat.records_read_to = deps_.records.read_revision();
  heartbeat.highest_cancellation = cancellations_.highest_number();
  heartbeat.acked_cancellation = cancellations_.received_up_to(peer, heartbeat.echo_incarnation);
  deps_.peers.send(peer, heartbeat);
}

void PeerService::send_cancellations(const std::string& peer) {
  if (const auto notice = cancellations_.message_for(peer)) deps_.peers.send(peer, *notice);
}

void PeerService::send_heartbeats() {
  for (const auto& peer : platform_.siblings)
    if (heartbeats_.reads_heartbeats(peer.name)) send_heartbeat(peer.name);
}

void PeerService::on_keys_changed() {
  const OwnerKey* leader = deps_.owned_shares.ownership().leader();
  const std::uint64_t epoch = leader ? leader->epoch : 0;
  if (epoch == leader_epoch_) return;
  leader_epoch_ = epoch;
  leader_since_ = deps_.loop.now();
  if (leader) send_gossip();
}

void PeerService::on_cancellation_known(const std::string& job, std::uint64_t revision) {
  const std::uint64_t number = cancellations_.add(job, revision);
  confirmations_.add(job, revision, number, deps_.loop.now());
}

bool PeerService::may_confirm_cancellation(const std::string& job) {
  return confirmations_.confirmable(
      job, cancellations_, [this, &job](std::uint64_t revision) { return possible_owners(job, revision); },
      deps_.loop.now());
}

/// The nodes that may own the job's share and may not know of its cancellation. A node that acquires the
/// share later reads every record up to its owner key, and so the cancellation. Any node that may have
/// acquired it before, unseen by us, must have reported that it knows.
std::vector<std::string> PeerService::possible_owners(const std::string& job, std::uint64_t revision) const {
  const auto& ownership = deps_.owned_shares.ownership();
  const auto* record = deps_.records.job(job);
  const bool keys_known = revision != 0 && deps_.store.watched_revision() >= revision;
  if (keys_known && record && record->spec) {
    const OwnerKey* key = ownership.owner(ownership.share_of_team(record->spec->team));
    if (!key || key->node == platform_.name) return {};
    return {key->node};
  }
  std::vector<std::string> nodes;
  for (const auto& peer : platform_.siblings) nodes.push_back(peer.name);
  return nodes;
}

void PeerService::broadcast_cancellation(const std::string& job) {
  for (const auto& peer : platform_.siblings)
    if (heartbeats_.reads_heartbeats(peer.name))
      send_cancellations(peer.name);
    else
      deps_.peers.send(peer.name, share::LegacyCancelNotice{job});
}

bool PeerService::heard_from_all_shares() const {
  const Micros now = deps_.loop.now();
  if (now - leader_since_ > kNewLeaderWait) return true;
  const auto& ownership = deps_.owned_shares.ownership();
  for (int index = 0; index < ownership.share_count(); ++index) {
    if (!ownership.owner(index) || deps_.owned_shares.find(index)) continue;
    auto reported = received_reports_.find(index);
    if (reported == received_reports_.end() || now - reported->second.received > kShareReportMaxAge)
      return false;
  }
  return true;
}

std::string PeerService::reported_owner(int share) const {
  auto it = reported_owners_.find(share);
  return it == reported_owners_.end() || deps_.loop.now() - it->second.second > kReportedOwnerMaxAge
             ? ""
             : it->second.first;
}

std::vector<share::ShareReport> PeerService::all_share_reports() const {
  auto shares = deps_.owned_shares.share_reports();
  const Micros now = deps_.loop.now();
  for (const auto& [share, reported] : received_reports_)
    if (now - reported.received <= kShareReportMaxAge && !deps_.owned_shares.find(share))
      shares.push_back(reported.report);
  return shares;
}

void PeerService::execute_move(const fleet::MoveMachine& move) {
  if (auto* owned = deps_.owned_shares.find(move.from)) {
    if (move.drain)
      owned->controller->drain(move.machine, move.to, move.rank, deps_.loop.now());
    else
      deps_.move_machine(move.machine, move.to);
  } else if (const OwnerKey* key = deps_.owned_shares.ownership().owner(move.from)) {
    deps_.peers.send(key->node, share::ReleaseRequest{move.machine, move.to, move.drain, move.rank});
  }
}

void PeerService::handle_frame(const share::Frame& frame, const share::PeerTransport::Reply& reply) {
  if (const auto* gossip = std::get_if<share::Gossip>(&frame))
    handle(*gossip);
  else if (const auto* release_request = std::get_if<share::ReleaseRequest>(&frame))
    handle(*release_request);
  else if (const auto* status_request = std::get_if<share::StatusRequest>(&frame))
    handle(*status_request, reply);
  else if (const auto* status_reply = std::get_if<share::StatusReply>(&frame))
    deps_.status_received(*status_reply);
  else if (const auto* legacy_notice = std::get_if<share::LegacyCancelNotice>(&frame))
    handle(*legacy_notice);
  else if (const auto* cancel_notice = std::get_if<share::CancelNotice>(&frame))
    handle(*cancel_notice);
  else if (const auto* heartbeat = std::get_if<share::Heartbeat>(&frame))
    handle(*heartbeat);
}

void PeerService::handle(const share::Heartbeat& heartbeat) {
  auto reception = heartbeats_.receive(heartbeat, deps_.loop.now());
  if (reception.state) {
    // Repeated with each heartbeat of the peer, so that nothing queues up for a peer that cannot be reached.
    cancellations_.set_peer_progress(heartbeat.node, heartbeat.records_read_to, heartbeat.acked_cancellation);
    send_cancellations(heartbeat.node);
    reception.state->all_cancellations_known =
        cancellations_.received_up_to(heartbeat.node, heartbeat.incarnation) >=
        heartbeat.highest_cancellation;
    deps_.owned_shares.ownership().peer_reported(heartbeat.node, *reception.state);
  }
  if (reception.reply_needed) send_heartbeat(heartbeat.node);
}

void PeerService::handle(const share::Gossip& gossip) {
  const Micros now = deps_.loop.now();
  auto& ownership = deps_.owned_shares.ownership();
  if (heartbeats_.accept_gossip_state(gossip, now))
    ownership.peer_reported(
        gossip.node,
        {gossip.state_service_reachable, gossip.records_synced, gossip.lease, now, false, 0, {}});
  for (const auto& report : gossip.shares) reported_owners_[report.share] = {gossip.node, now};
  if (gossip.ids_only) return;
  if (gossip.more_parts_follow) {
    for (const auto& part : gossip.shares) report_assembler_.add_part(gossip.node, part);
    return;
  }
  // Share by share, because a node with thousands of machines sends them in several frames.
  std::erase_if(received_reports_, [&](const auto& entry) {
    const OwnerKey* key = ownership.owner(entry.first);
    return entry.second.node == gossip.node && key && key->node != gossip.node;
  });
  for (const auto& report : gossip.shares)
    received_reports_[report.share] = {gossip.node, now, report_assembler_.complete(gossip.node, report)};
}

void PeerService::handle(const share::ReleaseRequest& release_request) {
  const auto* machine = deps_.records.machine(release_request.machine);
  auto* owned = machine ? deps_.owned_shares.find(machine->share) : nullptr;
  if (!owned || release_request.to_share >= deps_.owned_shares.ownership().share_count()) return;
  if (release_request.drain)
    owned->controller->drain(release_request.machine, release_request.to_share, release_request.rank,
                             deps_.loop.now());
  else
    deps_.move_machine(release_request.machine, release_request.to_share);
}

void PeerService::handle(const share::StatusRequest& status_request,
                         const share::PeerTransport::Reply& reply) {
  share::StatusReply status_reply;
  status_reply.request = status_request.request;
  for (const auto& [share, owned] : deps_.owned_shares.all())
    if (auto counts = owned.controller->task_counts(status_request.job))
      status_reply.known = true, status_reply.done = counts->first, status_reply.running = counts->second;
  reply(status_reply);
}

void PeerService::handle(const share::LegacyCancelNotice& notice) {
  // The revision is not known: the record with the cancellation is still to come.
  deps_.records.apply_peer_cancellation(notice.job, 0);
  deps_.records.publish_graph_changes();
  deps_.schedule_tick();
}

void PeerService::handle(const share::CancelNotice& notice) {
  for (const auto& job : notice.jobs) deps_.records.apply_peer_cancellation(job.id, job.revision);
  deps_.records.publish_graph_changes();
  cancellations_.receive(notice);
  deps_.schedule_tick();
  send_heartbeat(notice.node);  // confirms that we know them; a user is waiting for it
}

}  // namespace aspenwick::app
