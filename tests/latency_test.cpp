#include "app/latency.h"

#include <gtest/gtest.h>

namespace aspenwick::app {
namespace {

TEST(Latency, QuantilesAreExactToATenth) {
  Latency l;
  EXPECT_EQ(l.quantile(0.5), 0);
  for (int i = 1; i <= 1000; ++i) l.add(i * kMillisecond);
  EXPECT_NEAR(static_cast<double>(l.quantile(0.5)), 500e3, 50e3);
  EXPECT_NEAR(static_cast<double>(l.quantile(0.99)), 990e3, 99e3);
  EXPECT_EQ(l.count(), 1000U);
  l.add(0);
  l.add(1'000'000 * kSecond);  // beyond the ends
  EXPECT_EQ(l.count(), 1002U);
}

}  // namespace
}  // namespace aspenwick::app
