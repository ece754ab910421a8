// Teams' limits and guarantees, counting tasks in flight and stopping.
#pragma once
#include <string>

#include "place/cluster_view.h"
#include "wire/settings.h"

namespace aspenwick::place {

class Quota {
 public:
  Quota(const wire::PlatformSettings& platform, const ClusterView& view) : platform_(platform), view_(view) {}

  const wire::Team* team(const std::string& name) const;
  bool within_limit(const Job& j, std::uint32_t tasks) const;
  bool within_guarantee(const Job& j) const;
  bool is_borrowed(const Job& j, const TaskAttempt& p) const;

 private:
  const wire::PlatformSettings& platform_;
  const ClusterView& view_;
};

}  // namespace aspenwick::place
