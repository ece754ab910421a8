// The frames that nodes exchange, and their encoding: big-endian fields without padding, behind a header of
// magic number (2 bytes), version (1), type (1) and body length (4).
#pragma once
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "share/share_controller.h"

namespace aspenwick::share {

inline constexpr std::uint16_t kFrameMagic = 0xA5E7;
inline constexpr std::uint8_t kFrameVersion = 2;
inline constexpr std::size_t kFrameHeaderSize = 8;
// The receiver drops a connection on which a longer body is announced.
inline constexpr std::size_t kMaxFrameSize = 128 * 1024;

/// What the owner of a share reports to the leader.
struct ShareReport {
  int share = 0;
  bool all_accounted_for = false;  // the owner has accounted for all machines since it acquired the share
  std::vector<Demand> demands;
  std::vector<MachineState> machines;
};
/// The state of a node and the shares that it owns, sent periodically and whenever the leader changes.
struct Gossip {
  std::string node;
  bool state_service_reachable = false, records_synced = false;
  std::uint64_t lease = 0;
  std::vector<ShareReport> shares;
  // These are bits that the previous version ignores.
  bool sender_reads_heartbeats = false;  // the sender's state is then taken from its heartbeats
  bool ids_only = false;                 // `shares` only names the owned shares; the leader gets the rest
  bool more_parts_follow = false;        // of the only share in this frame; see encode_gossip()
};
/// The state of a process, its identity and what it last received from the receiver; see heartbeat_tracker.h
/// and cancellation_broadcast.h. Sent only to peers whose version reads heartbeats.
struct Heartbeat {
  std::string node;
  bool state_service_reachable = false, records_synced = false;
  std::uint64_t lease = 0;
  std::uint64_t incarnation = 0, timestamp = 0;            // timestamp: microseconds of the sender's clock
  std::uint64_t echo_incarnation = 0, echo_timestamp = 0;  // last received from the receiver; 0: none yet
  std::uint64_t records_read_to = 0;  // revision up to which the sender has read all job records; 0: not yet
  // The number of the newest cancellation that the sender may have confirmed to a user.
  std::uint64_t highest_cancellation = 0;
  // The number up to which the sender received the cancellations of the receiver's process
  // `echo_incarnation`.
  std::uint64_t acked_cancellation = 0;
  std::vector<std::uint64_t> highest_epochs;  // by share: the highest owner epoch that the sender knows of
};
/// The leader asks the owner of a machine to move it to another share or to have it deleted.
struct ReleaseRequest {
  std::string machine;
  int to_share = -1;   // -1: delete the machine
  bool drain = false;  // first stop the tasks that rank below `rank`; otherwise only an empty machine moves
  wire::Rank rank = wire::Rank::low;
};
/// Asks for the progress of a job; answered by a StatusReply with the same `request`.
struct StatusRequest {
  std::uint32_t request = 0;
  std::string job;
};
struct StatusReply {
  std::uint32_t request = 0;
  bool known = false;                   // a share that the sender owns has the job
  std::uint32_t done = 0, running = 0;  // tasks
};
/// A job was cancelled. Sent ahead of the watch to peers of the previous version, which reads no
/// CancelNotice.
struct LegacyCancelNotice {
  std::string job;
};
/// Cancelled jobs: of the cancellations that the sender has numbered above `after_number` and up to
/// `last_number`, all whose records the receiver may not have read; see cancellation_broadcast.h.
struct CancelNotice {
  struct Job {
    std::string id;
    std::uint64_t revision = 0;  // of its record; 0: unknown
  };
  std::string node;
  std::uint64_t incarnation = 0, after_number = 0, last_number = 0;
  std::vector<Job> jobs;
};
using Frame = std::variant<Gossip, ReleaseRequest, StatusRequest, StatusReply, LegacyCancelNotice, Heartbeat,
                           CancelNotice>;

/// Returns the frame with its header. Strings are cut to 255 bytes; the total length is not checked.
std::string encode(const Frame& frame);
/// Encodes `whole` as one frame, or, if that would exceed kMaxFrameSize, as several with some of the shares
/// each. A share that does not fit into a frame of its own goes in two parts with half of its machines each,
/// the last one with its demands; a receiver of the previous version knows only that part. Of a share that
/// does not fit into two frames, the number of machines is halved until it does: peers drop a connection on
/// which too much waits to be sent.
std::vector<std::string> encode_gossip(const Gossip& whole);

/// Bytes that are not a valid frame of this version.
struct BadFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};
/// Returns the length of a whole frame including its header, given at least the header (kFrameHeaderSize
/// bytes); throws BadFrame.
std::size_t frame_length(const std::string& header);
/// Decodes one whole frame; throws BadFrame.
Frame decode(const std::string& frame);

}  // namespace aspenwick::share
