#include "place/quota.h"

namespace aspenwick::place {

const wire::Team* Quota::team(const std::string& name) const {
  for (const auto& t : platform_.teams)
    if (t.name == name) return &t;
  return nullptr;
}

bool Quota::within_limit(const Job& j, std::uint32_t tasks) const {
  const wire::Team* t = team(j.spec->team);
  if (!t) return false;
  auto it = view_.team_usage.find(j.spec->team);
  const Resources usage_after =
      (it == view_.team_usage.end() ? Resources{} : it->second) + j.spec->need * tasks;
  return (t->limit.cpus == 0 || j.spec->need.cpus == 0 || usage_after.cpus <= t->limit.cpus) &&
         (t->limit.gpus == 0 || j.spec->need.gpus == 0 || usage_after.gpus <= t->limit.gpus);
}

bool Quota::within_guarantee(const Job& j) const {
  const wire::Team* t = team(j.spec->team);
  if (!t) return false;
  auto it = view_.team_usage.find(j.spec->team);
  const Resources usage_after = (it == view_.team_usage.end() ? Resources{} : it->second) + j.spec->need;
  // A guarantee must exist for the job's main resource (GPUs if it needs any); 0 means none.
  if ((j.spec->need.gpus > 0 ? t->guaranteed.gpus : t->guaranteed.cpus) == 0) return false;
  return (t->guaranteed.cpus == 0 || usage_after.cpus <= t->guaranteed.cpus) &&
         (t->guaranteed.gpus == 0 || usage_after.gpus <= t->guaranteed.gpus);
}

bool Quota::is_borrowed(const Job& j, const TaskAttempt& p) const {
  if (p.team.empty() || p.team == j.spec->team) return false;
  const wire::Team* t = team(p.team);
  auto it = view_.team_usage.find(p.team);
  if (!t || it == view_.team_usage.end()) return false;
  return j.spec->need.gpus > 0 ? p.need.gpus > 0 && it->second.gpus > t->guaranteed.gpus
                               : it->second.cpus > t->guaranteed.cpus;
}

}  // namespace aspenwick::place
