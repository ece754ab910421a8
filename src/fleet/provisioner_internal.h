// Shared by the provisioner's source files: names of offers, estimates of work, and drain times.
#pragma once
#include <string>

#include "share/share_controller.h"

namespace aspenwick::fleet {

inline constexpr double kDefaultTaskSeconds = 30;  // if the owner has no estimate
/// How long a machine counts as drained if tasks of lower rank are stopped.
inline constexpr Micros kPreemptingDrainTime = 15 * kSecond;
/// The same if its tasks may finish: as long as the owner places nothing more on it.
inline constexpr Micros kGracefulDrainTime = 40 * kSecond;

/// Key and log name of an offer: a machine type in a zone, spot or on-demand.
inline std::string offer_name(const std::string& type, const std::string& zone, bool spot) {
  return type + " " + zone + (spot ? " spot" : "");
}

/// The expected run time of one task, in seconds.
inline double estimated_task_seconds(const share::Demand& d) {
  return d.estimated_run_ms > 0 ? d.estimated_run_ms / 1e3 : kDefaultTaskSeconds;
}

/// The work left in a demand, in task seconds. Running tasks count half: on average they are half done.
inline double outstanding_task_seconds(const share::Demand& d) {
  return (d.waiting + 0.5 * d.running) * estimated_task_seconds(d);
}

}  // namespace aspenwick::fleet
