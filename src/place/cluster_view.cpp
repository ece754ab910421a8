#include "place/cluster_view.h"

#include <spdlog/spdlog.h>

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

const Machine::Load& Machine::load() const {
  if (!load_stale) return load_;
  load_ = {};
  load_stale = false;
  for (const auto& [key, p] : tasks) {
    load_.top = std::max(load_.top, p.job ? p.job->rank : wire::Rank::production);
    load_.gpus = load_.gpus || p.need.gpus > 0;
    load_.halting = load_.halting || p.halting;
    load_.stays = load_.stays || (p.job && p.job->spec->shape == Shape::service);
    if (!p.job || p.halting) continue;
    load_.lowest = load_.any ? std::min(load_.lowest, p.job->rank) : p.job->rank;
    load_.any = true;
  }
  return load_;
}

/// The only way in for an attempt: its room is taken, its job and team know of it.
void ClusterView::add(Machine& m, Placed p) {
  TaskKey key{p.job_id, p.index};
  p.on = &m;
  m.free -= p.need;
  m.load_stale = true;
  ++changes;
  if (!p.team.empty()) team_use[p.team] += p.need;
  if (Job* j = p.job) {
    if (j->active.contains(p.index))
      violated(Invariant::one_attempt_of_a_task, p.job_id + "/" + std::to_string(p.index) + " on " +
                                                     m.record.id + " and on " +
                                                     j->active[p.index]->record.id);
    j->active[p.index] = &m;
    j->again.erase(p.index);
    if (j->in_zone.size() <= static_cast<std::size_t>(m.zone))
      j->in_zone.resize(static_cast<std::size_t>(m.zone) + 1);
    ++j->in_zone[static_cast<std::size_t>(m.zone)];
  } else {
    ++strays[key];
    if (p.unattributed) ++m.unattributed, ++unattributed;
  }
  if (p.phase == Phase::assigned || p.halting) to_order.insert(&m);
  m.tasks.emplace(std::move(key), std::move(p));
}

void ClusterView::drop(Machine& m, std::map<TaskKey, Placed>::iterator it, Micros now, Freed why) {
  const Placed p = std::move(it->second);
  ++freed.at(static_cast<std::size_t>(why));
  spdlog::debug("freed {}/{} try {} on {} session {} token {}: {}", p.job_id, p.index, p.attempt, m.record.id,
                m.session, m.seen_token, to_string(why));
  const TaskKey key = it->first;
  m.tasks.erase(it);
  m.free += p.need;
  m.load_stale = true;
  gained(m);
  if (m.tasks.empty()) m.idle_since = now;
  if (p.need.gpus > 0) m.gpu_idle_since = now;
  if (!p.team.empty()) team_use[p.team] -= p.need;
  Job* j = p.job;
  if (!j) {
    if (p.unattributed) --m.unattributed, --unattributed;
    remove_stray(key);
    return;
  }
  j->active.erase(p.index);
  --j->in_zone[static_cast<std::size_t>(m.zone)];
  if (j->cancelled || j->finished) {
    erase_if_over(p.job_id);
    return;
  }
  if (!runs_again(why) || j->done.test(p.index)) return;
  j->again.insert(p.index);
  // What was never seen to start, its order lost, has been waiting all along.
  if (j->waiting() == 1 && p.phase >= Phase::present) j->waits_since = now;
  // A gang runs whole or not at all: the rest must be gone before the next attempt.
  if (j->spec->shape == Shape::gang && !j->active.empty() && p.attempt == j->gang_attempt) end_attempt(*j);
}

Placed ClusterView::take_unattributed(Machine& m, std::map<TaskKey, Placed>::iterator it) {
  Placed p = std::move(it->second);
  remove_stray(it->first);
  m.tasks.erase(it);
  m.load_stale = true;
  --m.unattributed, --unattributed;
  p.unattributed = false;
  gained(m);
  return p;
}

void ClusterView::remove_stray(const TaskKey& key) {
  if (auto s = strays.find(key); s != strays.end() && --s->second == 0) strays.erase(s);
}

void ClusterView::halt(Placed& p, Micros grace) {
  if (p.halting && grace >= p.grace) return;
  p.halting = true;
  p.grace = grace;
  p.halt_sent = 0;
  ++changes;
  if (!p.on) return;  // not added yet
  p.on->load_stale = true;
  to_order.insert(p.on);
}

void ClusterView::stop_gang(Job& j, Micros grace) {
  for (const auto& [index, machine] : j.active)
    if (auto p = machine->tasks.find({j.id, index}); p != machine->tasks.end()) halt(p->second, grace);
}

/// Those still fetching when the others had waited for too long go on until they have the image, and are
/// stopped then: a fetch that nobody waits for is given up, and the next attempt would fail the same way, for
/// ever where an image takes longer than a gang waits.
void ClusterView::end_attempt(Job& j) {
  for (const auto& [index, machine] : j.active) {
    auto p = machine->tasks.find({j.id, index});
    if (p == machine->tasks.end()) continue;
    if (j.incomplete == p->second.attempt && p->second.fetching) continue;
    halt(p->second, 0);
  }
}

void ClusterView::erase_if_over(const std::string& id) {
  auto it = jobs.find(id);
  if (it != jobs.end() && (it->second->cancelled || it->second->finished) && it->second->active.empty())
    jobs.erase(it);
}

void ClusterView::gained(const Machine& m) {
  if (gains_of_.size() <= m.type_index) gains_of_.resize(m.type_index + 1);
  ++gains_of_[m.type_index];
  ++changes;
}

std::uint64_t ClusterView::gains_for(const Kind& kind) const {
  std::uint64_t sum = gains_;
  for (std::size_t t = 0; t < gains_of_.size() && t < kind.types.size(); ++t)
    if (kind.types[t]) sum += gains_of_[t];
  return sum;
}

/// New, or known with another record.
Machine& ClusterView::join(const MachineRecord& record) {
  auto [it, added] = machines.try_emplace(record.id);
  Machine& m = it->second;
  m.record = record;
  m.spot = record.spot;
  if (!added) return m;
  m.zone = zone(record.zone);
  all.insert(std::lower_bound(all.begin(), all.end(), &m, ById{}), &m);
  to_order.insert(&m);
  gained();
  return m;
}

void ClusterView::leave(std::map<std::string, Machine>::iterator it) {
  to_order.erase(&it->second);
  std::erase(all, &it->second);
  machines.erase(it);
}

int ClusterView::zone(const std::string& name) {
  const auto it = std::find(zones_.begin(), zones_.end(), name);
  if (it == zones_.end()) zones_.push_back(name);
  return static_cast<int>(std::find(zones_.begin(), zones_.end(), name) - zones_.begin());
}

std::shared_ptr<std::pair<const Kind, Tried>> ClusterView::kind_of(
    const JobSpec& spec, const std::vector<wire::MachineType>& types) {
  Kind kind{spec.need.gpus > 0,
            std::vector<bool>(types.size()),
            spec.zone ? zone(*spec.zone) : -1,
            spec.spot,
            spec.one_zone,
            spec.shape};
  for (std::size_t i = 0; i < types.size(); ++i) kind.types[i] = job::type_allowed(spec, types[i]);
  auto& known = kinds_[kind];
  if (auto shared = known.lock()) return shared;
  auto made = std::make_shared<std::pair<const Kind, Tried>>(kind, Tried{});
  known = made;
  if (kinds_.size() >= sweep_kinds_at_) {  // as many again may come before those without jobs are looked for
    std::erase_if(kinds_, [](const auto& k) { return k.second.expired(); });
    sweep_kinds_at_ = 64 + 2 * kinds_.size();
  }
  return made;
}

}  // namespace aspenwick::place
