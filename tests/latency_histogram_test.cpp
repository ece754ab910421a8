// The histogram of latencies.
#include "app/latency_histogram.h"

#include <gtest/gtest.h>

namespace aspenwick::app {
namespace {

TEST(LatencyHistogram, QuantilesAreAccurateToTenPercent) {
  LatencyHistogram histogram;
  EXPECT_EQ(histogram.quantile(0.5), 0);
  for (int i = 1; i <= 1000; ++i) histogram.record(i * kMillisecond);
  EXPECT_NEAR(static_cast<double>(histogram.quantile(0.5)), 500e3, 50e3);
  EXPECT_NEAR(static_cast<double>(histogram.quantile(0.99)), 990e3, 99e3);
  EXPECT_EQ(histogram.count(), 1000U);
  histogram.record(0);
  histogram.record(1'000'000 * kSecond);  // below and above the range of the buckets
  EXPECT_EQ(histogram.count(), 1002U);
}

}  // namespace
}  // namespace aspenwick::app
