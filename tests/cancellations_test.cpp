// What processes know of each other's cancellations, number by number.
#include "share/cancellations.h"

#include <gtest/gtest.h>

#include "share/pending_confirmations.h"

namespace aspenwick::share {
namespace {

std::vector<std::string> ids(const std::optional<CancelTell>& tell) {
  std::vector<std::string> out;
  if (tell)
    for (const auto& j : tell->jobs) out.push_back(j.id);
  return out;
}

TEST(Cancellations, AreRepeatedUntilThePeerHasThem) {
  Cancellations a("a", 11), b("b", 22);
  a.peer_has("b", 100, 0);
  EXPECT_FALSE(a.to("b"));
  a.learnt("j-1", 101);
  a.learnt("j-2", 99);  // b has read its record
  a.learnt("j-3", 102);
  for (int i = 0; i < 2; ++i) EXPECT_EQ(ids(a.to("b")), (std::vector<std::string>{"j-1", "j-3"}));
  EXPECT_TRUE(b.heard(*a.to("b")));
  EXPECT_EQ(b.had("a", 11), 3U);
  a.peer_has("b", 100, b.had("a", 11));
  EXPECT_FALSE(a.to("b"));
  a.learnt("j-4", 103);
  EXPECT_EQ(ids(a.to("b")), std::vector<std::string>{"j-4"});
  EXPECT_EQ(a.highest(), 4U);
}

// Only what follows without a hole counts as had: the frame before it may have been lost.
TEST(Cancellations, AHoleIsNotTakenForKnowledge) {
  Cancellations a("a", 11), b("b", 22);
  a.peer_has("b", 100, 0);
  a.learnt("j-1", 101);
  a.peer_has("b", 100, 1);  // said by b's former process
  a.learnt("j-2", 102);
  EXPECT_FALSE(b.heard(*a.to("b")));
  EXPECT_EQ(b.had("a", 11), 0U);
  a.peer_has("b", 100, b.had("a", 11));
  EXPECT_TRUE(b.heard(*a.to("b")));
  EXPECT_EQ(b.had("a", 11), 2U);
}

// What a process had told says nothing of what its successor tells.
TEST(Cancellations, ANewProcessOfThePeerBeginsAnew) {
  Cancellations before("a", 11), after("a", 12), b("b", 22);
  for (auto* a : {&before, &after}) a->peer_has("b", 100, 0);
  before.learnt("j-1", 101);
  before.learnt("j-2", 102);
  after.learnt("j-3", 103);
  b.heard(*before.to("b"));
  b.heard(*after.to("b"));
  EXPECT_EQ(b.had("a", 11), 0U);
  EXPECT_EQ(b.had("a", 12), 1U);
}

// Kept within bounds; a peer that lacks what is no longer kept is told nothing that it could take for all.
TEST(Cancellations, APeerThatWasAwayTooLongHasToRead) {
  Cancellations a("a", 11), b("b", 22);
  a.peer_has("b", 100, 0);
  for (std::uint64_t i = 1; i <= Cancellations::kMostKept + 10; ++i) a.learnt("j-1", 100 + i);
  EXPECT_FALSE(a.to("b"));
  a.peer_has("b", 110, 0);  // it has read those ten
  while (const auto tell = a.to("b")) {
    EXPECT_LE(encode(*tell).size(), kMaxFrame);
    EXPECT_TRUE(b.heard(*tell));
    a.peer_has("b", 110, b.had("a", 11));
  }
  EXPECT_EQ(b.had("a", 11), a.highest());
}

struct PendingConfirmationsTest : ::testing::Test {
  bool settled(Micros now) {
    return pending.settled(
        "j-1", cancellations, [this](std::uint64_t) { return owners; }, now);
  }
  static constexpr Micros kNow = 1000 * kSecond;
  Cancellations cancellations{"a", 11};
  PendingConfirmations pending;
  std::vector<std::string> owners{"b"};
};

TEST_F(PendingConfirmationsTest, WaitForTheOwnersWordByNumberOrByRevision) {
  for (const bool by_number : {false, true}) {
    pending.learnt("j-1", 101, cancellations.learnt("j-1", 101), kNow);
    EXPECT_FALSE(settled(kNow));
    cancellations.peer_has("c", 200, 9);  // somebody else's
    cancellations.peer_has("b", 100, cancellations.highest() - 1);
    EXPECT_FALSE(settled(kNow));
    cancellations.peer_has("b", by_number ? 100 : 101, by_number ? cancellations.highest() : 0);
    EXPECT_TRUE(settled(kNow));
    cancellations.peer_has("b", 0, 0);  // its process began anew, and will read it
    EXPECT_TRUE(settled(kNow));
  }
}

TEST_F(PendingConfirmationsTest, AreSettledOnceNoOwnerMayActOnRecordsThatLackThem) {
  constexpr Micros kPast = PendingConfirmations::kSettledAfter;
  pending.learnt("j-1", 101, cancellations.learnt("j-1", 101), kNow);
  EXPECT_FALSE(settled(kNow + kPast - 1));
  pending.learnt("j-1", 102, cancellations.learnt("j-1", 102),
                 kNow + kPast - 1);  // told again: cancelled no later
  EXPECT_TRUE(settled(kNow + kPast));
  pending.learnt("j-2", 103, cancellations.learnt("j-2", 103), kNow);
  pending.learnt("j-3", 104, cancellations.learnt("j-3", 104), kNow + kPast);
  EXPECT_EQ(pending.size(), 1U);  // nobody asked about the first
}

// A peer of a former version tells of it ahead of its record: a revision that others have read proves
// nothing.
TEST_F(PendingConfirmationsTest, OfNoKnownRevisionOnlyTheNumberCounts) {
  pending.learnt("j-1", 0, cancellations.learnt("j-1", 0), kNow);
  cancellations.peer_has("b", 1000, 0);
  EXPECT_FALSE(settled(kNow));
  EXPECT_EQ(ids(cancellations.to("b")), std::vector<std::string>{"j-1"});
  cancellations.peer_has("b", 1000, 1);
  EXPECT_TRUE(settled(kNow));
}

}  // namespace
}  // namespace aspenwick::share
