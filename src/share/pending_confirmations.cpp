#include "share/pending_confirmations.h"

#include <algorithm>

namespace aspenwick::share {

void PendingConfirmations::add(const std::string& job, std::uint64_t revision, std::uint64_t number,
                               Micros now) {
  while (!expiry_queue_.empty() && now - expiry_queue_.front().first >= kConfirmableAfter) {
    const auto old = pending_.find(expiry_queue_.front().second);
    if (old != pending_.end() && now - old->second.added_at >= kConfirmableAfter) pending_.erase(old);
    expiry_queue_.pop_front();
  }
  // Added again with its record's revision: the job was not cancelled later than known before, so its time
  // stays.
  const auto [it, added] = pending_.try_emplace(job, Pending{revision, number, now});
  if (added) {
    expiry_queue_.emplace_back(now, job);
    return;
  }
  it->second.revision = revision;
  it->second.number = number;
}

bool PendingConfirmations::confirmable(const std::string& job, const CancellationBroadcast& cancellations,
                                       const OwnerLookup& owners, Micros now) {
  const auto it = pending_.find(job);
  if (it == pending_.end()) return true;
  const Pending& pending = it->second;
  const bool owners_stopped = now - pending.added_at >= kConfirmableAfter;
  if (!owners_stopped && !known_by_all(pending, cancellations, owners(pending.revision))) return false;
  pending_.erase(it);
  return true;
}

bool PendingConfirmations::known_by_all(const Pending& pending, const CancellationBroadcast& cancellations,
                                        const std::vector<std::string>& nodes) {
  return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    return cancellations.peer_knows(node, pending.revision, pending.number);
  });
}

}  // namespace aspenwick::share
