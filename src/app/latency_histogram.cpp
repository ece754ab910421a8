#include "app/latency_histogram.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/histogram.hpp>

namespace aspenwick::app {
namespace bh = boost::histogram;
namespace {
constexpr double kMinMicros = 10,
                 kMaxMicros = 1e9;  // microseconds; values beyond count in the first or last bin
constexpr unsigned kBins = 194;     // each a tenth wider than the one before
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint32_t>>;
}  // namespace

struct LatencyHistogram::Bins {
  Counts counts =
      bh::make_histogram_with(bh::dense_storage<std::uint32_t>(), Axis(kBins, kMinMicros, kMaxMicros));
  std::uint64_t total = 0;
};

LatencyHistogram::LatencyHistogram() : bins_(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Micros duration) {
  bins_->counts(std::clamp(static_cast<double>(duration), kMinMicros, kMaxMicros * 0.99));
  ++bins_->total;
}

std::uint64_t LatencyHistogram::count() const { return bins_->total; }

Micros LatencyHistogram::quantile(double fraction) const {
  std::uint64_t seen = 0;
  const auto wanted = static_cast<std::uint64_t>(fraction * static_cast<double>(bins_->total));
  for (auto&& bin : bh::indexed(bins_->counts)) {
    seen += *bin;
    if (seen > wanted || (seen == bins_->total && seen > 0)) return static_cast<Micros>(bin.bin().upper());
  }
  return 0;
}

std::string LatencyHistogram::summary() const {
  return fmt::format("{} of {:.1f}/{:.1f} ms", count(), static_cast<double>(quantile(0.5)) / kMillisecond,
                     static_cast<double>(quantile(0.99)) / kMillisecond);
}

}  // namespace aspenwick::app
