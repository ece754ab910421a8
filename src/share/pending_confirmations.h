// Cancellations that no user may be told of yet: an owner of the job's share may still start a task of it.
// One is settled once every node that may own the share knows it, or once the time has passed for which an
// owner may act on records that lack it. Socket-free.
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

class PendingConfirmations {
 public:
  /// What an owner sends last on old records arrives within this time, clock drift included.
  static constexpr Micros kMaxOrderDelay = 500 * kMillisecond;
  /// By the clock of the node that confirms, since it learnt of the cancellation, which was committed by
  /// then.
  static constexpr Micros kConfirmableAfter = kMaxRecordsAge + kMaxOrderDelay;

  /// A job is known to be cancelled. `revision`: of its record, 0: not known. `number`: see Cancellations.
  void add(const std::string& job, std::uint64_t revision, std::uint64_t number, Micros now);
  /// All other nodes that may own the job's share, as of that revision or later.
  using OwnerLookup = std::function<std::vector<std::string>(std::uint64_t revision)>;
  /// Users may be told; true for good once it was.
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
  std::deque<std::pair<Micros, std::string>> expiry_queue_;  // nobody may ask: these are forgotten in time
};

}  // namespace aspenwick::share
