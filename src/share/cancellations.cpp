#include "share/cancellations.h"

#include <algorithm>

namespace aspenwick::share {

std::uint64_t Cancellations::learnt(const std::string& job, std::uint64_t revision) {
  ++highest_;
  kept_.push_back({job, revision});
  // What all have read, and what is too much to keep. What a peer had may have been had by its former
  // process.
  const auto read_by_all = [&] {
    return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
      return has_read(p.second, kept_.front().revision);
    });
  };
  while (!kept_.empty() && (kept_.size() > kMostKept || read_by_all())) {
    dropped_ = std::max(dropped_, kept_.front().revision);
    kept_.pop_front();
  }
  return highest_;
}

bool Cancellations::has_read(const Peer& peer, std::uint64_t revision) {
  return revision != 0 && peer.read_to >= revision;
}

bool Cancellations::known_by(const std::string& peer, std::uint64_t revision, std::uint64_t number) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && (has_read(it->second, revision) || it->second.had >= number);
}

void Cancellations::peer_has(const std::string& peer, std::uint64_t read_to, std::uint64_t had) {
  Peer& p = peers_[peer];
  p.read_to = read_to;
  p.had = std::min(had, highest_);
}

std::optional<CancelTell> Cancellations::to(const std::string& peer) const {
  const auto it = peers_.find(peer);
  // One that has read nothing yet will read all of it, and holds nothing until then.
  if (it == peers_.end() || it->second.read_to == 0 || it->second.had >= highest_) return {};
  const Peer& p = it->second;
  const std::uint64_t first = highest_ - kept_.size() + 1;
  if (p.had + 1 < first && p.read_to < dropped_) return {};
  CancelTell tell;
  tell.node = node_;
  tell.incarnation = incarnation_;
  tell.from = p.had;
  for (tell.upto = std::max(p.had, first - 1); tell.upto < highest_; ++tell.upto) {
    const auto& job = kept_[tell.upto + 1 - first];
    if (has_read(p, job.revision)) continue;
    if (tell.jobs.size() == kMostInFrame) break;
    tell.jobs.push_back(job);
  }
  return tell;
}

bool Cancellations::heard(const CancelTell& tell) {
  Peer& p = peers_[tell.node];
  if (p.its_incarnation != tell.incarnation) p.its_incarnation = tell.incarnation, p.we_have = 0;
  if (tell.from > p.we_have) return false;  // some before it are missing
  p.we_have = std::max(p.we_have, tell.upto);
  return true;
}

std::uint64_t Cancellations::had(const std::string& peer, std::uint64_t incarnation) const {
  const auto it = peers_.find(peer);
  return it == peers_.end() || it->second.its_incarnation != incarnation ? 0 : it->second.we_have;
}

}  // namespace aspenwick::share
