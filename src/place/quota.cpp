#include "place/quota.h"

#include <algorithm>

namespace aspenwick::place {
namespace {
/// How many tasks, 0 to `max`, fit between `used` and `bound` of one kind of resource if each needs `need` of
/// it. Tasks that need nothing of it fit in any number, unless more than the bound is used already. A bound
/// of 0 means none.
std::int64_t tasks_within(std::int64_t bound, std::int64_t used, std::int64_t need, std::int64_t max) {
  if (bound == 0) return max;
  if (used > bound) return 0;
  return need == 0 ? max : std::min(max, (bound - used) / need);
}
}  // namespace

const wire::Team* Quota::team(const std::string& name) const {
  for (const auto& t : platform_.teams)
    if (t.name == name) return &t;
  return nullptr;
}

Resources Quota::usage(const std::string& team) const {
  const auto it = view_.team_usage.find(team);
  return it == view_.team_usage.end() ? Resources{} : it->second;
}

std::int64_t Quota::tasks_within_limit(const Job& j, std::int64_t max) const {
  const wire::Team* t = team(j.spec->team);
  if (!t) return 0;
  const Resources& need = j.spec->need;
  const Resources used = usage(t->name);
  if (need.cpus > 0) max = tasks_within(t->limit.cpus, used.cpus, need.cpus, max);
  if (need.gpus > 0) max = tasks_within(t->limit.gpus, used.gpus, need.gpus, max);
  return max;
}

std::int64_t Quota::tasks_within_guarantee(const Job& j, std::int64_t max) const {
  const wire::Team* t = team(j.spec->team);
  if (!t) return 0;
  const Resources& need = j.spec->need;
  if ((need.gpus > 0 ? t->guaranteed.gpus : t->guaranteed.cpus) == 0) return 0;
  const Resources used = usage(t->name);
  max = tasks_within(t->guaranteed.cpus, used.cpus, need.cpus, max);
  return tasks_within(t->guaranteed.gpus, used.gpus, need.gpus, max);
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
