// What the parts of the provisioner share: offers by name, what waiting work comes to, how long machines
// drain.
#pragma once
#include <string>

#include "share/share_controller.h"

namespace aspenwick::fleet {

inline constexpr double kDefaultTaskSeconds = 30;  // seconds
inline constexpr Micros kPreemptingDrainTime = 15 * kSecond;
inline constexpr Micros kGracefulDrainTime = 40 * kSecond;  // as long as the owner keeps it from taking more

/// A machine type in a zone, spot or not, as the cloud offers it.
inline std::string offer_name(const std::string& type, const std::string& zone, bool spot) {
  return type + " " + zone + (spot ? " spot" : "");
}

/// Of one task, in seconds.
inline double estimated_task_seconds(const share::Demand& d) {
  return d.guess_ms > 0 ? d.guess_ms / 1e3 : kDefaultTaskSeconds;
}

/// Task seconds still to come, with half of what runs.
inline double outstanding_task_seconds(const share::Demand& d) {
  return (d.waiting + 0.5 * d.running) * estimated_task_seconds(d);
}

}  // namespace aspenwick::fleet
