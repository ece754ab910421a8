#include "share/cancellation_broadcast.h"

#include <algorithm>

namespace aspenwick::share {

std::uint64_t CancellationBroadcast::add(const std::string& job, std::uint64_t revision) {
  ++highest_number_;
  recent_.push_back({job, revision});
  // Drop entries that all peers have read from the state service, and those over kMaxKept. An acknowledgement
  // does not allow dropping: it may have come from a former process of the peer, and the new one lacks the
  // entry.
  const auto read_by_all = [&] {
    return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
      return has_read(p.second, recent_.front().revision);
    });
  };
  while (!recent_.empty() && (recent_.size() > kMaxKept || read_by_all())) {
    newest_dropped_revision_ = std::max(newest_dropped_revision_, recent_.front().revision);
    recent_.pop_front();
  }
  return highest_number_;
}

bool CancellationBroadcast::has_read(const Peer& peer, std::uint64_t revision) {
  return revision != 0 && peer.records_read_to >= revision;
}

bool CancellationBroadcast::peer_knows(const std::string& peer, std::uint64_t revision,
                                       std::uint64_t number) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && (has_read(it->second, revision) || it->second.acked >= number);
}

void CancellationBroadcast::set_peer_progress(const std::string& peer, std::uint64_t records_read_to,
                                              std::uint64_t acked) {
  Peer& p = peers_[peer];
  p.records_read_to = records_read_to;
  p.acked = std::min(acked, highest_number_);
}

std::optional<CancelNotice> CancellationBroadcast::message_for(const std::string& peer) const {
  const auto it = peers_.find(peer);
  // A peer that has not read the records yet will read all of them, and owns no share until then.
  if (it == peers_.end() || it->second.records_read_to == 0 || it->second.acked >= highest_number_) return {};
  const Peer& p = it->second;
  const std::uint64_t first = highest_number_ - recent_.size() + 1;
  if (p.acked + 1 < first && p.records_read_to < newest_dropped_revision_) return {};
  CancelNotice notice;
  notice.node = node_;
  notice.incarnation = incarnation_;
  notice.after_number = p.acked;
  for (notice.last_number = std::max(p.acked, first - 1); notice.last_number < highest_number_;
       ++notice.last_number) {
    const auto& job = recent_[notice.last_number + 1 - first];
    if (has_read(p, job.revision)) continue;
    if (notice.jobs.size() == kMaxPerNotice) break;
    notice.jobs.push_back(job);
  }
  return notice;
}

bool CancellationBroadcast::receive(const CancelNotice& notice) {
  Peer& p = peers_[notice.node];
  if (p.incarnation != notice.incarnation) p.incarnation = notice.incarnation, p.received = 0;
  if (notice.after_number > p.received) return false;  // some before this notice are missing
  p.received = std::max(p.received, notice.last_number);
  return true;
}

std::uint64_t CancellationBroadcast::received_up_to(const std::string& peer,
                                                    std::uint64_t incarnation) const {
  const auto it = peers_.find(peer);
  return it == peers_.end() || it->second.incarnation != incarnation ? 0 : it->second.received;
}

}  // namespace aspenwick::share
