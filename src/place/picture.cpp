#include "place/picture.h"

#include <algorithm>

namespace aspenwick::place {

using wire::Shape;

/// The machine has the image of a task that got past fetching. Like the worker, we take it that those used
/// last are kept.
void Machine::used_image(const JobSpec& spec) {
  if (spec.image.empty() || !type) return;
  std::erase_if(images, [&](const auto& i) { return i.first == spec.image; });
  images.insert(images.begin(), {spec.image, spec.image_gb});
  double sum = 0;
  for (std::size_t i = 0; i < images.size(); ++i)
    if (sum += images[i].second; sum > type->cache_gb) return images.resize(i);
}

void Picture::drop(Machine& m, std::map<TaskKey, Placed>::iterator it, Micros now, bool again) {
  const Placed p = it->second;
  m.tasks.erase(it);
  m.free += p.need;
  if (m.tasks.empty()) m.idle_since = now;
  if (p.need.gpus > 0) m.gpu_idle_since = now;
  if (!p.team.empty()) team_use[p.team] -= p.need;
  Job* j = p.job;
  if (!j) return;
  j->active.erase(p.index);
  if (j->withdrawn || j->finished) {
    erase_if_over(p.job_id);
    return;
  }
  if (!again || j->done.test(p.index)) return;
  j->again.insert(p.index);
  // A gang runs whole or not at all: the rest must be gone before the next attempt.
  if (j->spec->shape == Shape::gang && !j->active.empty() && p.attempt == j->gang_attempt) stop_gang(*j, 0);
}

void Picture::halt(Placed& p, Micros grace) {
  if (p.halting && grace >= p.grace) return;
  p.halting = true;
  p.grace = grace;
  p.halt_sent = 0;
}

void Picture::stop_gang(Job& j, Micros grace) {
  for (const auto& [index, machine] : j.active) {
    auto& tasks = machines.at(machine).tasks;
    if (auto p = tasks.find({j.id, index}); p != tasks.end()) halt(p->second, grace);
  }
}

void Picture::erase_if_over(const std::string& id) {
  auto it = jobs.find(id);
  if (it != jobs.end() && (it->second->withdrawn || it->second->finished) && it->second->active.empty())
    jobs.erase(it);
}

std::map<std::string, int> Picture::zones_of(const Job& j) const {
  std::map<std::string, int> zones;
  for (const auto& [index, machine] : j.active) ++zones[machines.at(machine).record.zone];
  return zones;
}

}  // namespace aspenwick::place
