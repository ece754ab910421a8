// Reliable broadcast of cancellations between the nodes. A process that may have confirmed a cancellation to
// a user gives it a number and repeats it to each peer until the peer's process acknowledges it or has read
// it from the state service. An owner that does not reach the state service therefore knows whether a peer
// that does not reach it either may have confirmed a cancellation that the owner has not received. Opens no
// sockets.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "share/peer_frame.h"

namespace aspenwick::share {

/// The numbered cancellations of this process, and what is known of each peer's process. Numbers start at 1
/// and have no gaps; they are valid only together with the process's incarnation.
class CancellationBroadcast {
 public:
  /// Entries kept for peers that are unreachable. A peer that misses older ones has to read the records from
  /// the state service.
  static constexpr std::size_t kMaxKept = 4096;
  /// Jobs in one notice, so that it fits into a frame.
  static constexpr std::size_t kMaxPerNotice = 1000;

  /// `incarnation` identifies this process; not 0.
  CancellationBroadcast(std::string node, std::uint64_t incarnation)
      : node_(std::move(node)), incarnation_(incarnation) {}

  // ---- cancellations of this process
  /// Adds a job that is known to be cancelled and returns its number. `revision` is that of its record, 0 if
  /// unknown.
  std::uint64_t add(const std::string& job, std::uint64_t revision);
  /// The number of the newest cancellation, 0 if there is none. A heartbeat reports it: a peer that has
  /// received all up to it knows everything that this process may have confirmed by then.
  std::uint64_t highest_number() const { return highest_number_; }
  /// A peer's process has read all job records up to the revision `records_read_to`, and has received our
  /// cancellations up to the number `acked` (0 also if it acknowledged those of another process of this
  /// node).
  void set_peer_progress(const std::string& peer, std::uint64_t records_read_to, std::uint64_t acked);
  /// Whether the peer's process has reported that it knows the cancellation with that revision and number.
  bool peer_knows(const std::string& peer, std::uint64_t revision, std::uint64_t number) const;
  /// The cancellations that the peer may lack, to be sent until it acknowledges them. Not set if it lacks
  /// none, or if it lacks some that are no longer kept, so that a notice could not be complete.
  std::optional<CancelNotice> message_for(const std::string& peer) const;

  // ---- cancellations of the peers
  /// Records a notice that a peer sent. Returns true if all cancellations of its sender up to `last_number`
  /// are now known, false if earlier ones are missing; the jobs in it are cancelled in either case.
  bool receive(const CancelNotice& notice);
  /// The number up to which all cancellations of this process of the peer were received.
  std::uint64_t received_up_to(const std::string& peer, std::uint64_t incarnation) const;

 private:
  struct Peer {
    // As the peer's process reports them.
    std::uint64_t records_read_to = 0, acked = 0;
    // The peer's process, and up to which number its cancellations were received without a gap.
    std::uint64_t incarnation = 0, received = 0;
  };
  static bool has_read(const Peer& peer, std::uint64_t revision);

  std::string node_;
  std::uint64_t incarnation_, highest_number_ = 0;
  std::uint64_t newest_dropped_revision_ = 0;  // among the entries that are no longer kept
  std::deque<CancelNotice::Job> recent_;       // the last one has the number highest_number_
  std::map<std::string, Peer> peers_;
};

}  // namespace aspenwick::share
