// What the parts of the provisioner share: offers by name, what waiting work comes to, how long machines
// drain.
#pragma once
#include <string>

#include "share/share_controller.h"

namespace aspenwick::fleet {

inline constexpr double kUnknownRun = 30;  // seconds
inline constexpr Micros kDrainTime = 15 * kSecond;
inline constexpr Micros kRunEmpty = 40 * kSecond;  // as long as the owner keeps it from taking more

/// A machine type in a zone, spot or not, as the cloud offers it.
inline std::string offer(const std::string& type, const std::string& zone, bool spot) {
  return type + " " + zone + (spot ? " spot" : "");
}

/// Of one task, in seconds.
inline double run_time(const share::Demand& d) {
  return d.estimated_run_ms > 0 ? d.estimated_run_ms / 1e3 : kUnknownRun;
}

/// Task seconds still to come, with half of what runs.
inline double work_in_hand(const share::Demand& d) { return (d.waiting + 0.5 * d.running) * run_time(d); }

}  // namespace aspenwick::fleet
