// Which cancellations our processes have told one another. Whoever may have told a user that a job is
// cancelled numbers it, and repeats it to each peer until the peer's process has said that it had it or has
// read it in the state service by itself. So an owner that the state service doesn't answer knows whether a
// peer that lacks the service too may have confirmed something that the owner never heard of. Socket-free.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "share/peer_frame.h"

namespace aspenwick::share {

class CancellationBroadcast {
 public:
  /// Entries kept for peers that are away; a peer that misses older ones has to read them by itself.
  static constexpr std::size_t kMaxKept = 4096;
  /// Bounds one frame.
  static constexpr std::size_t kMaxPerNotice = 1000;

  /// `incarnation`: of our process, not 0.
  CancellationBroadcast(std::string node, std::uint64_t incarnation)
      : node_(std::move(node)), incarnation_(incarnation) {}

  // ---- ours
  /// We know that it is cancelled; returns its number. `revision`: of its record, 0: not known.
  std::uint64_t add(const std::string& job, std::uint64_t revision);
  /// The number of the newest, 0: none. Our word to a peer says no more than what is told up to here.
  std::uint64_t highest_number() const { return highest_number_; }
  /// A peer's process has read all job records up to `records_read_to`, and had ours up to the number `had`
  /// (0 too if that was said to another process of ours).
  void set_peer_progress(const std::string& peer, std::uint64_t records_read_to, std::uint64_t acked);
  /// The peer's process has said that it knows the cancellation of that revision and number.
  bool peer_knows(const std::string& peer, std::uint64_t revision, std::uint64_t number) const;
  /// What that peer may lack, to be sent until it says that it had it. None: it lacks nothing, or can't be
  /// told since it lacks what is no longer kept.
  std::optional<CancelNotice> message_for(const std::string& peer) const;

  // ---- the peers'
  /// Its jobs are cancelled whatever this returns. true: of what its sender numbered we now know all up to
  /// `upto`.
  bool heard(const CancelNotice& notice);
  /// Up to which number we know all that this process of the peer has told.
  std::uint64_t received_up_to(const std::string& peer, std::uint64_t incarnation) const;

 private:
  struct Peer {
    std::uint64_t records_read_to = 0, acked = 0;  // what it says of itself
    std::uint64_t incarnation = 0, received = 0;   // what it told us
  };
  static bool has_read(const Peer& peer, std::uint64_t revision);

  std::string node_;
  std::uint64_t incarnation_, highest_number_ = 0;
  std::uint64_t newest_dropped_revision_ = 0;  // newest revision among what is no longer kept
  std::deque<CancelNotice::Job> recent_;       // numbered up to highest_number_
  std::map<std::string, Peer> peers_;
};

}  // namespace aspenwick::share
