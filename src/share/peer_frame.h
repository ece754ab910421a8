// What our processes say to one another: packed structs by hand, big-endian, with a version and a checked
// length.
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
inline constexpr std::size_t kMaxFrameSize = 128 * 1024;

struct ShareReport {
  int share = 0;
  bool rebuilt = false;
  std::vector<Demand> demands;
  std::vector<MachineState> machines;
};
struct Gossip {
  std::string node;
  bool state_service_reachable = false, synced = false;
  std::uint64_t lease = 0;
  std::vector<ShareReport> shares;
  // In bits that the version before leaves unread.
  bool sender_reads_heartbeats = false;  // the sender reads heartbeats; what it says of itself goes by them
  bool ids_only = false;                 // only which shares it holds: the rest is told to the leader
};
/// What a process says of itself, with which process it is and what it last had from the receiver (see
/// heartbeats.h, cancellations.h). Sent only to those that read it.
struct Heartbeat {
  std::string node;
  bool state_service_reachable = false, synced = false;
  std::uint64_t lease = 0;
  std::uint64_t incarnation = 0, timestamp = 0;            // stamp: microseconds of the sender's clock
  std::uint64_t echo_incarnation = 0, echo_timestamp = 0;  // the receiver's, as heard last; 0: nothing yet
  std::uint64_t records_read_to = 0;  // revision up to which the sender has read all job records; 0: not yet
  std::uint64_t highest_cancellation = 0;  // number of the newest that the sender may have told a user of
  std::uint64_t acked_cancellation = 0;    // of the receiver's process `echo_incarnation`, up to which number
  std::vector<std::uint64_t> highest_epochs;  // by share: the highest that the sender knows to be taken
};
/// The leader asks an owner to give a machine away, empty or to be drained; share -1: to be deleted.
struct ReleaseRequest {
  std::string machine;
  int to_share = -1;
  bool drain = false;  // stop first what ranks below
  wire::Rank rank = wire::Rank::low;
};
struct StatusRequest {
  std::uint32_t request = 0;
  std::string job;
};
struct StatusReply {
  std::uint32_t request = 0;
  bool known = false;
  std::uint32_t done = 0, running = 0;
};
/// A job was cancelled; told ahead of the watch to the version before, which reads no CancelNotice.
struct LegacyCancelNotice {
  std::string job;
};
/// Jobs that are cancelled: of those that the sender has numbered above `from`, up to `upto`, all whose
/// records the receiver may not have read (see cancellations.h).
struct CancelNotice {
  struct Job {
    std::string id;
    std::uint64_t revision = 0;  // of its record
  };
  std::string node;
  std::uint64_t incarnation = 0, after_number = 0, last_number = 0;
  std::vector<Job> jobs;
};
using Frame = std::variant<Gossip, ReleaseRequest, StatusRequest, StatusReply, LegacyCancelNotice, Heartbeat,
                           CancelNotice>;

std::string encode(const Frame& frame);
/// The same in as many frames as their bound asks for, one if it can be: each with some of the shares. A
/// share that none holds is told with as many of its machines as fit.
std::vector<std::string> encode_gossip(const Gossip& whole);

struct BadFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};
/// The length of a whole frame from its header (kFrameHeaderSize bytes); throws BadFrame.
std::size_t frame_length(const std::string& header);
Frame decode(const std::string& frame);  // throws BadFrame

}  // namespace aspenwick::share
