// What processes know of each other's cancellations, number by number.
#include "share/cancellations.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace aspenwick::share
