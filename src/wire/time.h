// The unit of time of the whole program, and conversions.
#pragma once
#include <cmath>
#include <cstdint>

namespace aspenwick {

/// Whole microseconds: a duration, or a time on the clock that the context names.
using Micros = std::int64_t;

inline constexpr Micros kMillisecond = 1'000;
inline constexpr Micros kSecond = 1'000'000;

inline Micros from_seconds(double s) { return static_cast<Micros>(std::llround(s * 1e6)); }
inline double to_seconds(Micros t) { return static_cast<double>(t) / 1e6; }

}  // namespace aspenwick
