// Teams' limits and guarantees. Usage counts all attempts that are, or may be, on machines, including those
// being halted.
#pragma once
#include <cstdint>
#include <string>

#include "place/cluster_view.h"
#include "wire/settings.h"

namespace aspenwick::place {

/// Quota checks against the team usage of one share. The settings and the view must outlive it.
class Quota {
 public:
  Quota(const wire::PlatformSettings& platform, const ClusterView& view) : platform_(platform), view_(view) {}

  /// The team's settings, or null if there is no such team.
  const wire::Team* team(const std::string& name) const;
  /// How many more tasks of the job, 0 to `max`, stay within its team's limit; 0 if the team is unknown. A
  /// limit does not apply to tasks that need nothing of its kind.
  std::int64_t tasks_within_limit(const Job& j, std::int64_t max) const;
  /// Whether `tasks` more tasks of the job stay within its team's limit; false if the team is unknown.
  bool within_limit(const Job& j, std::uint32_t tasks) const { return tasks_within_limit(j, tasks) >= tasks; }
  /// How many more tasks of the job, 0 to `max`, stay within what its team is guaranteed. 0 if the team is
  /// guaranteed none of the job's main resource: GPUs if it needs any, else CPUs.
  std::int64_t tasks_within_guarantee(const Job& j, std::int64_t max) const;
  /// Whether one more task of the job stays within what its team is guaranteed.
  bool within_guarantee(const Job& j) const { return tasks_within_guarantee(j, 1) == 1; }
  /// Whether the attempt is another team's, beyond that team's guarantee, and of a resource that the job
  /// needs.
  bool is_borrowed(const Job& j, const TaskAttempt& p) const;

 private:
  Resources usage(const std::string& team) const;

  const wire::PlatformSettings& platform_;
  const ClusterView& view_;
};

}  // namespace aspenwick::place
