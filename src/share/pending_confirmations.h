// Cancellations that may not be confirmed to a user yet, because an owner of the job's share may still start
// a task of the job. One may be confirmed once every node that may own the share knows it, or once no owner
// may act any more on records that lack it. Opens no sockets.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "share/cancellation_broadcast.h"
#include "share/ownership.h"

namespace aspenwick::share {

/// Times are by the clock of the node that confirms.
class PendingConfirmations {
 public:
  /// The last order that an owner sends on outdated records arrives within this time; includes clock drift.
  static constexpr Micros kMaxOrderDelay = 500 * kMillisecond;
  /// How long after this node learnt of a cancellation it may be confirmed in any case. The cancellation was
  /// committed by the time at which the node learnt of it.
  static constexpr Micros kConfirmableAfter = kMaxRecordsAge + kMaxOrderDelay;

  /// Adds a job that is known to be cancelled. `revision` is that of its record, 0 if unknown; `number` is
  /// that of CancellationBroadcast.
  void add(const std::string& job, std::uint64_t revision, std::uint64_t number, Micros now);
  /// Returns all other nodes that may own the job's share, as of that revision or later.
  using OwnerLookup = std::function<std::vector<std::string>(std::uint64_t revision)>;
  /// Whether the cancellation may be confirmed to users. Once true, it stays so unless the job is added
  /// again; true also for a job that was never added.
  bool confirmable(const std::string& job, const CancellationBroadcast& cancellations,
                   const OwnerLookup& owners, Micros now);
  std::size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    std::uint64_t revision = 0, number = 0;
    Micros added_at = 0;
  };
  static bool known_by_all(const Pending& pending, const CancellationBroadcast& cancellations,
                           const std::vector<std::string>& nodes);

  std::unordered_map<std::string, Pending> pending_;
  // Jobs by the time at which they were added, to remove those that nobody asks about.
  std::deque<std::pair<Micros, std::string>> expiry_queue_;
};

}  // namespace aspenwick::share
