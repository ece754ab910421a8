#include "share/pending_confirmations.h"

#include <algorithm>

namespace aspenwick::share {

void PendingConfirmations::learnt(const std::string& job, std::uint64_t revision, std::uint64_t number,
                                  Micros now) {
  while (!by_time_.empty() && now - by_time_.front().first >= kSettledAfter) {
    const auto old = pending_.find(by_time_.front().second);
    if (old != pending_.end() && now - old->second.learnt >= kSettledAfter) pending_.erase(old);
    by_time_.pop_front();
  }
  // Told again with its record's revision, it was cancelled no later.
  const auto [it, added] = pending_.try_emplace(job, Pending{revision, number, now});
  if (added) {
    by_time_.emplace_back(now, job);
    return;
  }
  it->second.revision = revision;
  it->second.number = number;
}

bool PendingConfirmations::settled(const std::string& job, const Cancellations& cancellations,
                                   const Owners& owners, Micros now) {
  const auto it = pending_.find(job);
  if (it == pending_.end()) return true;
  const Pending& pending = it->second;
  const bool owners_stopped = now - pending.learnt >= kSettledAfter;
  if (!owners_stopped && !known_by_all(pending, cancellations, owners(pending.revision))) return false;
  pending_.erase(it);
  return true;
}

bool PendingConfirmations::known_by_all(const Pending& pending, const Cancellations& cancellations,
                                        const std::vector<std::string>& nodes) {
  return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    return cancellations.known_by(node, pending.revision, pending.number);
  });
}

}  // namespace aspenwick::share
