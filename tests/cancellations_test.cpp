// What processes know of each other's cancellations, number by number.
#include <gtest/gtest.h>

#include "share/cancellation_broadcast.h"
#include "share/pending_confirmations.h"

namespace aspenwick::share {
namespace {

std::vector<std::string> ids(const std::optional<CancelNotice>& tell) {
  std::vector<std::string> out;
  if (tell)
    for (const auto& j : tell->jobs) out.push_back(j.id);
  return out;
}

TEST(CancellationBroadcast, AreRepeatedUntilThePeerHasThem) {
  CancellationBroadcast a("a", 11), b("b", 22);
  a.set_peer_progress("b", 100, 0);
  EXPECT_FALSE(a.message_for("b"));
  a.add("j-1", 101);
  a.add("j-2", 99);  // b has read its record
  a.add("j-3", 102);
  for (int i = 0; i < 2; ++i) EXPECT_EQ(ids(a.message_for("b")), (std::vector<std::string>{"j-1", "j-3"}));
  EXPECT_TRUE(b.receive(*a.message_for("b")));
  EXPECT_EQ(b.received_up_to("a", 11), 3U);
  a.set_peer_progress("b", 100, b.received_up_to("a", 11));
  EXPECT_FALSE(a.message_for("b"));
  a.add("j-4", 103);
  EXPECT_EQ(ids(a.message_for("b")), std::vector<std::string>{"j-4"});
  EXPECT_EQ(a.highest_number(), 4U);
}

// Only what follows without a hole counts as had: the frame before it may have been lost.
TEST(CancellationBroadcast, AHoleIsNotTakenForKnowledge) {
  CancellationBroadcast a("a", 11), b("b", 22);
  a.set_peer_progress("b", 100, 0);
  a.add("j-1", 101);
  a.set_peer_progress("b", 100, 1);  // said by b's former process
  a.add("j-2", 102);
  EXPECT_FALSE(b.receive(*a.message_for("b")));
  EXPECT_EQ(b.received_up_to("a", 11), 0U);
  a.set_peer_progress("b", 100, b.received_up_to("a", 11));
  EXPECT_TRUE(b.receive(*a.message_for("b")));
  EXPECT_EQ(b.received_up_to("a", 11), 2U);
}

// What a process had told says nothing of what its successor tells.
TEST(CancellationBroadcast, ANewProcessOfThePeerBeginsAnew) {
  CancellationBroadcast before("a", 11), after("a", 12), b("b", 22);
  for (auto* a : {&before, &after}) a->set_peer_progress("b", 100, 0);
  before.add("j-1", 101);
  before.add("j-2", 102);
  after.add("j-3", 103);
  b.receive(*before.message_for("b"));
  b.receive(*after.message_for("b"));
  EXPECT_EQ(b.received_up_to("a", 11), 0U);
  EXPECT_EQ(b.received_up_to("a", 12), 1U);
}

// Kept within bounds; a peer that lacks what is no longer kept is told nothing that it could take for all.
TEST(CancellationBroadcast, APeerThatWasAwayTooLongHasToRead) {
  CancellationBroadcast a("a", 11), b("b", 22);
  a.set_peer_progress("b", 100, 0);
  for (std::uint64_t i = 1; i <= CancellationBroadcast::kMaxKept + 10; ++i) a.add("j-1", 100 + i);
  EXPECT_FALSE(a.message_for("b"));
  a.set_peer_progress("b", 110, 0);  // it has read those ten
  while (const auto tell = a.message_for("b")) {
    EXPECT_LE(encode(*tell).size(), kMaxFrameSize);
    EXPECT_TRUE(b.receive(*tell));
    a.set_peer_progress("b", 110, b.received_up_to("a", 11));
  }
  EXPECT_EQ(b.received_up_to("a", 11), a.highest_number());
}

struct PendingConfirmationsTest : ::testing::Test {
  bool settled(Micros now) {
    return pending.confirmable(
        "j-1", cancellations, [this](std::uint64_t) { return owners; }, now);
  }
  static constexpr Micros kNow = 1000 * kSecond;
  CancellationBroadcast cancellations{"a", 11};
  PendingConfirmations pending;
  std::vector<std::string> owners{"b"};
};

TEST_F(PendingConfirmationsTest, WaitForTheOwnersWordByNumberOrByRevision) {
  for (const bool by_number : {false, true}) {
    pending.add("j-1", 101, cancellations.add("j-1", 101), kNow);
    EXPECT_FALSE(settled(kNow));
    cancellations.set_peer_progress("c", 200, 9);  // somebody else's
    cancellations.set_peer_progress("b", 100, cancellations.highest_number() - 1);
    EXPECT_FALSE(settled(kNow));
    cancellations.set_peer_progress("b", by_number ? 100 : 101,
                                    by_number ? cancellations.highest_number() : 0);
    EXPECT_TRUE(settled(kNow));
    cancellations.set_peer_progress("b", 0, 0);  // its process began anew, and will read it
    EXPECT_TRUE(settled(kNow));
  }
}

TEST_F(PendingConfirmationsTest, AreSettledOnceNoOwnerMayActOnRecordsThatLackThem) {
  constexpr Micros kPast = PendingConfirmations::kConfirmableAfter;
  pending.add("j-1", 101, cancellations.add("j-1", 101), kNow);
  EXPECT_FALSE(settled(kNow + kPast - 1));
  pending.add("j-1", 102, cancellations.add("j-1", 102),
              kNow + kPast - 1);  // told again: cancelled no later
  EXPECT_TRUE(settled(kNow + kPast));
  pending.add("j-2", 103, cancellations.add("j-2", 103), kNow);
  pending.add("j-3", 104, cancellations.add("j-3", 104), kNow + kPast);
  EXPECT_EQ(pending.size(), 1U);  // nobody asked about the first
}

// A peer of a former version tells of it ahead of its record: a revision that others have read proves
// nothing.
TEST_F(PendingConfirmationsTest, OfNoKnownRevisionOnlyTheNumberCounts) {
  pending.add("j-1", 0, cancellations.add("j-1", 0), kNow);
  cancellations.set_peer_progress("b", 1000, 0);
  EXPECT_FALSE(settled(kNow));
  EXPECT_EQ(ids(cancellations.message_for("b")), std::vector<std::string>{"j-1"});
  cancellations.set_peer_progress("b", 1000, 1);
  EXPECT_TRUE(settled(kNow));
}

}  // namespace
}  // namespace aspenwick::share
