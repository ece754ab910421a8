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

class Cancellations {
 public:
  /// Entries kept for peers that are away; a peer that misses older ones has to read them by itself.
  static constexpr std::size_t kMostKept = 4096;
  /// Bounds one frame.
  static constexpr std::size_t kMostInFrame = 1000;

  /// `incarnation`: of our process, not 0.
  Cancellations(std::string node, std::uint64_t incarnation)
      : node_(std::move(node)), incarnation_(incarnation) {}

  // ---- ours
  /// We know that it is cancelled; returns its number. `revision`: of its record, 0: not known.
  std::uint64_t learnt(const std::string& job, std::uint64_t revision);
  /// The number of the newest, 0: none. Our word to a peer says no more than what is told up to here.
  std::uint64_t highest() const { return highest_; }
  /// A peer's process has read all job records up to `read_to`, and had ours up to the number `had` (0 too if
  /// that was said to another process of ours).
  void peer_has(const std::string& peer, std::uint64_t read_to, std::uint64_t had);
  /// The peer's process has said that it knows the cancellation of that revision and number.
  bool known_by(const std::string& peer, std::uint64_t revision, std::uint64_t number) const;
  /// What that peer may lack, to be sent until it says that it had it. None: it lacks nothing, or can't be
  /// told since it lacks what is no longer kept.
  std::optional<CancelTell> to(const std::string& peer) const;

  // ---- the peers'
  /// Its jobs are cancelled whatever this returns. true: of what its sender numbered we now know all up to
  /// `upto`.
  bool heard(const CancelTell& tell);
  /// Up to which number we know all that this process of the peer has told.
  std::uint64_t had(const std::string& peer, std::uint64_t incarnation) const;

 private:
  struct Peer {
    std::uint64_t read_to = 0, had = 0;              // what it says of itself
    std::uint64_t its_incarnation = 0, we_have = 0;  // what it told us
  };
  static bool has_read(const Peer& peer, std::uint64_t revision);

  std::string node_;
  std::uint64_t incarnation_, highest_ = 0;
  std::uint64_t dropped_ = 0;         // newest revision among what is no longer kept
  std::deque<CancelTell::Job> kept_;  // numbered up to highest_
  std::map<std::string, Peer> peers_;
};

}  // namespace aspenwick::share
