// A histogram of durations for the metrics lines; its size does not depend on the number of entries.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "wire/time.h"

namespace aspenwick::app {

/// Counts durations in bins of logarithmic width.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void record(Micros duration);
  /// An upper bound of the duration that this fraction of all entries took, at most a tenth too high; 0 if
  /// there are no entries.
  Micros quantile(double fraction) const;
  std::uint64_t count() const;
  /// For example "12 of 1.2/30.0 ms": count, p50 and p99.
  std::string summary() const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins_;
};

}  // namespace aspenwick::app
