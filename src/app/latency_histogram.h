// How long things take, for the metrics line: a histogram of fixed size, whatever it counts.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "wire/time.h"

namespace aspenwick::app {

class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void record(Micros duration);
  /// An upper bound of what this part of all took, exact to a tenth; 0 if nothing was counted.
  Micros quantile(double fraction) const;
  std::uint64_t count() const;
  /// "12 of 1.2/30.0 ms" for p50 and p99.
  std::string summary() const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins_;
};

}  // namespace aspenwick::app
