#include "app/latency.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/histogram.hpp>

namespace aspenwick::app {
namespace bh = boost::histogram;
namespace {
constexpr double kLeast = 10, kMost = 1e9;  // microseconds; what is beyond counts at the ends
constexpr unsigned kBins = 194;             // each a tenth wider than the one before
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint32_t>>;
}  // namespace

struct Latency::Bins {
  Counts counts = bh::make_histogram_with(bh::dense_storage<std::uint32_t>(), Axis(kBins, kLeast, kMost));
  std::uint64_t total = 0;
};

Latency::Latency() : bins_(std::make_unique<Bins>()) {}
Latency::~Latency() = default;

void Latency::add(Micros took) {
  bins_->counts(std::clamp(static_cast<double>(took), kLeast, kMost * 0.99));
  ++bins_->total;
}

std::uint64_t Latency::count() const { return bins_->total; }

Micros Latency::quantile(double part) const {
  std::uint64_t seen = 0;
  const auto wanted = static_cast<std::uint64_t>(part * static_cast<double>(bins_->total));
  for (auto&& bin : bh::indexed(bins_->counts)) {
    seen += *bin;
    if (seen > wanted || (seen == bins_->total && seen > 0)) return static_cast<Micros>(bin.bin().upper());
  }
  return 0;
}

std::string Latency::text() const {
  return fmt::format("{} of {:.1f}/{:.1f} ms", count(), static_cast<double>(quantile(0.5)) / kMillisecond,
                     static_cast<double>(quantile(0.99)) / kMillisecond);
}

}  // namespace aspenwick::app
