// Encoding and decoding of the frames between nodes.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <set>

#include "share/peer_frame.h"
#include "share/report_assembler.h"

namespace aspenwick::share {
namespace {

Gossip full_gossip() {
  Gossip g;
  g.node = "rig-1", g.state_service_reachable = true, g.lease = 77;
  ShareReport s;
  s.share = 2, s.all_accounted_for = true;
  Demand d;
  d.need = {4'000'000, 0, 6'200'000}, d.type_mask = 5, d.zone = 1, d.rank = wire::Rank::high, d.spot = true;
  d.waiting = 7, d.closed_zone_mask = 2, d.max_per_zone = 3, d.slack_ms = 900, d.estimated_run_ms = 30'000;
  s.demands = {d};
  MachineState m;
  m.id = "i-000001", m.free = {1, 2, 3}, m.empty = true, m.suspect = true, m.idle_ms = 12;
  s.machines = {m, m};
  g.shares = {s};
  return g;
}

TEST(Frame, DecodesWhatWasEncoded) {
  const std::string bytes = encode(full_gossip());
  const auto g = std::get<Gossip>(decode(bytes));
  EXPECT_EQ(encode(g), bytes);
  EXPECT_EQ(g.shares[0].demands[0].waiting, 7U);
  EXPECT_TRUE(g.shares[0].machines[1].suspect);
  const auto request =
      std::get<ReleaseRequest>(decode(encode(ReleaseRequest{"i-7", -1, true, wire::Rank::production})));
  EXPECT_EQ(request.to_share, -1);
  EXPECT_TRUE(request.drain);
  EXPECT_EQ(std::get<StatusReply>(decode(encode(StatusReply{5, true, 9, 2}))).done, 9U);
}

TEST(Frame, DecodesHeartbeatsAndCancelNotices) {
  Heartbeat b;
  b.node = "rig-1", b.records_synced = true, b.lease = 7, b.incarnation = 8, b.timestamp = 9,
  b.echo_incarnation = 10;
  b.echo_timestamp = 11, b.records_read_to = 12, b.highest_cancellation = 13, b.acked_cancellation = 14,
  b.highest_epochs = {15, 16};
  const std::string heartbeat_bytes = encode(b),
                    notice_bytes = encode(CancelNotice{"rig-1", 8, 3, 5, {{"j-1", 17}, {"j-2", 18}}});
  const auto decoded = std::get<Heartbeat>(decode(heartbeat_bytes));
  EXPECT_EQ(encode(decoded), heartbeat_bytes);
  EXPECT_EQ(decoded.highest_epochs, b.highest_epochs);
  EXPECT_EQ(decoded.highest_cancellation, 13U);
  const auto notice = std::get<CancelNotice>(decode(notice_bytes));
  EXPECT_EQ(encode(notice), notice_bytes);
  EXPECT_EQ(notice.jobs[1].revision, 18U);
  for (const auto& valid : {heartbeat_bytes, notice_bytes})
    for (std::size_t n = 0; n < valid.size(); ++n) EXPECT_THROW(decode(valid.substr(0, n)), BadFrame);
  EXPECT_THROW(decode(encode(CancelNotice{"rig-1", 8, 6, 5, {}})), BadFrame);
  EXPECT_THROW(decode(encode(CancelNotice{"rig-1", 0, 3, 5, {}})), BadFrame);
}

TEST(Frame, GossipOfANodeThatOwnsAllSharesFits) {
  // With frames limited to 32 KiB, the link to a node that owned all shares, with some 400 machines, was
  // dropped, and its peers took the node for dead.
  Gossip g = full_gossip();
  const ShareReport report = g.shares[0];
  g.shares.clear();
  for (int s = 0; s < 5; ++s) {
    g.shares.push_back({s, true, std::vector<Demand>(64, report.demands[0]), {}});
    g.shares.back().machines.assign(200, report.machines[0]);
  }
  const std::string bytes = encode(g);
  EXPECT_EQ(std::get<Gossip>(decode(bytes)).shares[4].machines.size(), 200U);
}

TEST(Frame, EncodingIsBigEndianOnEveryMachine) {
  // Big-endian on every machine: magic, version, type, length, then the fields.
  EXPECT_EQ(encode(StatusRequest{0x01020304, "j-1"}),
            std::string("\xA5\xE7\x02\x03\0\0\0\x08\x01\x02\x03\x04\x03j-1", 16));
}

TEST(Frame, RejectsTruncatedOverlongAndForeignFrames) {
  const std::string valid = encode(full_gossip());
  for (std::size_t n = 0; n < valid.size(); ++n) EXPECT_THROW(decode(valid.substr(0, n)), BadFrame);
  EXPECT_THROW(decode(valid + "x"), BadFrame);
  std::string bad_version = valid, bad_magic = valid, bad_length = valid, bad_type = valid;
  bad_version[2] = 9, bad_magic[0] = 0, bad_length[4] = 0x7f, bad_type[3] = 99;
  EXPECT_THROW(decode(bad_version), BadFrame);
  EXPECT_THROW(decode(bad_magic), BadFrame);
  EXPECT_THROW(frame_length(bad_length.substr(0, kFrameHeaderSize)), BadFrame);
  EXPECT_THROW(decode(bad_type), BadFrame);
}

TEST(Frame, GossipLargerThanAFrameIsSplit) {
  // A peer drops the connection on a longer frame: a node that owns thousands of machines would seem dead.
  Gossip g = full_gossip();
  const ShareReport report = g.shares[0];
  EXPECT_EQ(encode_gossip(g), std::vector<std::string>{encode(g)});  // unchanged while it fits
  g.shares.clear();
  for (int s = 0; s < 5; ++s) {
    g.shares.push_back({s, true, report.demands, {}});
    g.shares.back().machines.assign(s == 4 ? 9000 : 1000, report.machines[0]);
  }
  std::map<int, std::size_t> machines;
  for (const auto& frame : encode_gossip(g)) {
    EXPECT_LE(frame.size(), kMaxFrameSize);
    const auto part = std::get<Gossip>(decode(frame));
    EXPECT_EQ(part.lease, g.lease);
    EXPECT_EQ(part.state_service_reachable, g.state_service_reachable);
    for (const auto& s : part.shares) machines[s.share] = s.machines.size();
  }
  for (int s = 0; s < 4; ++s) EXPECT_EQ(machines[s], 1000U);
  EXPECT_GT(machines[4], 2000U);  // as many as fit into one frame
}

/// A share with so many machines, numbered, and one demand.
Gossip gossip_of_large_share(int machines) {
  Gossip g = full_gossip();
  const MachineState machine = g.shares[0].machines[0];
  g.shares[0].machines.assign(static_cast<std::size_t>(machines), machine);
  for (int i = 0; i < machines; ++i)
    g.shares[0].machines[static_cast<std::size_t>(i)].id = "i-" + std::to_string(100'000 + i);
  return g;
}

/// Passes the frame to the assembler; returns the whole report if it was the last part.
std::optional<ShareReport> receive(ReportAssembler& assembler, const std::string& frame) {
  const auto part = std::get<Gossip>(decode(frame));
  if (!part.more_parts_follow) return assembler.complete(part.node, part.shares.at(0));
  assembler.add_part(part.node, part.shares.at(0));
  return {};
}

std::set<std::string> ids_of(const std::vector<MachineState>& machines) {
  std::set<std::string> ids;
  for (const MachineState& m : machines) ids.insert(m.id);
  return ids;
}

// Guards against machines that the leader never hears of: of a share beyond one frame it was told half.
TEST(Frame, AllMachinesOfAShareBeyondOneFrameAreReported) {
  for (const int machines : {1000, 4000, 6000}) {
    const auto frames = encode_gossip(gossip_of_large_share(machines));
    ReportAssembler assembler;
    std::optional<ShareReport> whole;
    for (const auto& frame : frames) {
      EXPECT_LE(frame.size(), kMaxFrameSize);
      EXPECT_FALSE(whole);
      whole = receive(assembler, frame);
    }
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->demands.size(), 1U);
    EXPECT_EQ(whole->machines.size(), static_cast<std::size_t>(machines));
    EXPECT_EQ(ids_of(whole->machines).size(), static_cast<std::size_t>(machines));
  }
}

// Parts that were lost or came from a former owner neither stay nor make a machine count twice.
TEST(Frame, AReportThatBrokeOffIsReplacedByTheNext) {
  const auto before = encode_gossip(gossip_of_large_share(4000));
  Gossip smaller = gossip_of_large_share(3900);
  ASSERT_EQ(before.size(), 2U);
  ReportAssembler assembler;
  EXPECT_FALSE(receive(assembler, before[0]));
  const auto after = encode_gossip(smaller);
  ASSERT_EQ(after.size(), 2U);
  EXPECT_FALSE(receive(assembler, after[0]));
  const auto whole = receive(assembler, after[1]);
  EXPECT_EQ(whole->machines.size(), 3900U);
  EXPECT_EQ(ids_of(whole->machines).size(), 3900U);
  EXPECT_EQ(receive(assembler, before[1])->machines.size(), 2000U);  // its first part is lost
  EXPECT_FALSE(receive(assembler, before[0]));
  smaller.node = "rig-2";  // the share's next owner
  smaller.shares[0].machines.resize(10);
  EXPECT_EQ(receive(assembler, encode(smaller))->machines.size(), 10U);
}

TEST(Frame, CorruptedFramesOnlyThrowBadFrame) {
  std::mt19937 random(11);
  const std::string valid = encode(full_gossip());
  int rejected = 0;
  for (int i = 0; i < 5000; ++i) {
    std::string s = valid;
    for (int k = 0; k < 3; ++k) s[random() % s.size()] = static_cast<char>(random());
    try {
      decode(s);
    } catch (const BadFrame&) {
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 100);
}

}  // namespace
}  // namespace aspenwick::share
