// How nodes broadcast numbered cancellations to their peers, and when one may be confirmed to a user.
#include "share/cancellation_broadcast.h"

#include <gtest/gtest.h>

#include "share/pending_confirmations.h"

namespace aspenwick::share {
namespace {

std::vector<std::string> ids(const std::optional<CancelNotice>& notice) {
  std::vector<std::string> out;
  if (notice)
    for (const auto& j : notice->jobs) out.push_back(j.id);
  return out;
}

TEST(CancellationBroadcast, CancellationsAreRepeatedUntilThePeerHasThem) {
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

// Only cancellations without a gap before them count as received: an earlier frame may have been lost.
TEST(CancellationBroadcast, CancellationsAfterAGapAreNotAcknowledged) {
  CancellationBroadcast a("a", 11), b("b", 22);
  a.set_peer_progress("b", 100, 0);
  a.add("j-1", 101);
  a.set_peer_progress("b", 100, 1);  // reported by b's former process
  a.add("j-2", 102);
  EXPECT_FALSE(b.receive(*a.message_for("b")));
  EXPECT_EQ(b.received_up_to("a", 11), 0U);
  a.set_peer_progress("b", 100, b.received_up_to("a", 11));
  EXPECT_TRUE(b.receive(*a.message_for("b")));
  EXPECT_EQ(b.received_up_to("a", 11), 2U);
}

// The numbers of a process are unrelated to those of the process that replaces it after a restart.
TEST(CancellationBroadcast, NumbersOfARestartedProcessStartAgain) {
  CancellationBroadcast former_process("a", 11), new_process("a", 12), b("b", 22);
  for (auto* a : {&former_process, &new_process}) a->set_peer_progress("b", 100, 0);
  former_process.add("j-1", 101);
  former_process.add("j-2", 102);
  new_process.add("j-3", 103);
  b.receive(*former_process.message_for("b"));
  b.receive(*new_process.message_for("b"));
  EXPECT_EQ(b.received_up_to("a", 11), 0U);
  EXPECT_EQ(b.received_up_to("a", 12), 1U);
}

// The broadcast keeps at most kMaxKept entries. A peer that misses dropped ones is sent nothing, as it could
// take the rest for the whole.
TEST(CancellationBroadcast, PeerThatMissedDroppedCancellationsIsSentNothingUntilItHasRead) {
  CancellationBroadcast a("a", 11), b("b", 22);
  a.set_peer_progress("b", 100, 0);
  for (std::uint64_t i = 1; i <= CancellationBroadcast::kMaxKept + 10; ++i) a.add("j-1", 100 + i);
  EXPECT_FALSE(a.message_for("b"));
  a.set_peer_progress("b", 110, 0);  // it has read the ten dropped ones
  while (const auto notice = a.message_for("b")) {
    EXPECT_LE(encode(*notice).size(), kMaxFrameSize);
    EXPECT_TRUE(b.receive(*notice));
    a.set_peer_progress("b", 110, b.received_up_to("a", 11));
  }
  EXPECT_EQ(b.received_up_to("a", 11), a.highest_number());
}

struct PendingConfirmationsTest : ::testing::Test {
  bool confirmable(Micros now) {
    return pending.confirmable(
        "j-1", cancellations, [this](std::uint64_t) { return owners; }, now);
  }
  static constexpr Micros kNow = 1000 * kSecond;
  CancellationBroadcast cancellations{"a", 11};
  PendingConfirmations pending;
  std::vector<std::string> owners{"b"};
};

TEST_F(PendingConfirmationsTest, ConfirmableOnceTheOwnerReportsTheNumberOrTheRevision) {
  for (const bool by_number : {false, true}) {
    pending.add("j-1", 101, cancellations.add("j-1", 101), kNow);
    EXPECT_FALSE(confirmable(kNow));
    cancellations.set_peer_progress("c", 200, 9);  // not the owner
    cancellations.set_peer_progress("b", 100, cancellations.highest_number() - 1);
    EXPECT_FALSE(confirmable(kNow));
    cancellations.set_peer_progress("b", by_number ? 100 : 101,
                                    by_number ? cancellations.highest_number() : 0);
    EXPECT_TRUE(confirmable(kNow));
    cancellations.set_peer_progress("b", 0, 0);  // the owner was restarted, and will read the record
    EXPECT_TRUE(confirmable(kNow));
  }
}

TEST_F(PendingConfirmationsTest, ConfirmableOnceNoOwnerMayActOnOlderRecords) {
  constexpr Micros kDelay = PendingConfirmations::kConfirmableAfter;
  pending.add("j-1", 101, cancellations.add("j-1", 101), kNow);
  EXPECT_FALSE(confirmable(kNow + kDelay - 1));
  pending.add("j-1", 102, cancellations.add("j-1", 102),
              kNow + kDelay - 1);  // learnt of again: the cancellation is no later
  EXPECT_TRUE(confirmable(kNow + kDelay));
  pending.add("j-2", 103, cancellations.add("j-2", 103), kNow);
  pending.add("j-3", 104, cancellations.add("j-3", 104), kNow + kDelay);
  EXPECT_EQ(pending.size(), 1U);  // j-2 expired without a query
}

// A peer of the previous version announces a cancellation ahead of its record, without a revision: that
// others have read up to some revision proves nothing.
TEST_F(PendingConfirmationsTest, WithoutARevisionOnlyTheNumberConfirms) {
  pending.add("j-1", 0, cancellations.add("j-1", 0), kNow);
  cancellations.set_peer_progress("b", 1000, 0);
  EXPECT_FALSE(confirmable(kNow));
  EXPECT_EQ(ids(cancellations.message_for("b")), std::vector<std::string>{"j-1"});
  cancellations.set_peer_progress("b", 1000, 1);
  EXPECT_TRUE(confirmable(kNow));
}

}  // namespace
}  // namespace aspenwick::share
