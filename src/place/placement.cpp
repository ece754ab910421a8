#include "place/placement.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::place {

using wire::Rank;
using wire::Shape;

namespace {
constexpr Micros kReservationTime = 3 * kSecond;  // of a machine for the job that tasks were preempted for
constexpr Micros kMaxWaitForNonGpu = 4 * kSecond;
constexpr Micros kMinRemainingToMove = 75 * kSecond;  // expected remaining run time of a gang
constexpr Micros kUrgentStartSlack = 20 * kSecond;
constexpr Micros kUrgentFinishSlack = 40 * kSecond;
constexpr Micros kMinMoveInterval = 90 * kSecond;
constexpr Micros kMoveDuration = 15 * kSecond;
// Time without any start of a job's tasks after which the leader looks for capacity in other shares, whose
// machines take a while to drain, and after which the job may also use machines kept for GPU work. Both are
// well below the 90 s that no job may wait while there is capacity for it.
constexpr Micros kStarvedAfter = 20 * kSecond;
constexpr Micros kAcceptsAnyMachineAfter = 50 * kSecond;
constexpr int kImageCached = 2;           // see image_availability()
constexpr double kLongFetchSeconds = 10;  // more than preempted work loses
constexpr double kFetchFraction = 0.25;   // of the objective for the start
constexpr int kMaxTargetRounds = 3;       // jobs deferred in one round have a lower target in the next
}  // namespace

void Placement::note_gpu_job(const JobSpec& spec) {
  if (spec.need.gpus == 0) return;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (job::type_allowed(spec, types_[i])) usable_by_gpu_jobs_[i] = true;
}

double Placement::expected_run_seconds(const Job& j) {
  return j.finished_runs >= 3 ? j.run_seconds / j.finished_runs : to_seconds(j.spec->estimate);
}

Micros Placement::slack(const Job& j, Micros now) const {
  const Micros to_start = j.ready + j.start_within - now;
  if (!j.finish_by) return to_start;
  const Micros to_finish = *j.finish_by - j.spec->estimate - now;
  // If only its dependents impose a latest finish, its class's start objective holds as well.
  return j.spec->deadline ? to_finish : std::min(to_finish, to_start);
}

Rank Placement::effective_rank(const Job& j, Micros now) const {
  const bool urgent = j.rank == j.spec->rank || j.ready + j.start_within - now < kUrgentStartSlack ||
                      (j.finish_by && *j.finish_by - j.spec->estimate - now < kUrgentFinishSlack);
  return urgent ? j.rank : j.spec->rank;
}

namespace {
/// A job with waiting tasks and the keys that it is ordered by.
struct WaitingJob {
  Job* job;
  Rank rank;
  bool guaranteed;
  /// What it can still meet: its deadline, else its class's objective for the end, else neither.
  enum class Target : std::uint8_t { deadline, objective, none } target;
  Micros slack;  // to the target
  double work;   // expected run time of all waiting tasks, in seconds
};

bool placed_before(const WaitingJob& a, const WaitingJob& b) {
  if (a.rank != b.rank) return a.rank > b.rank;
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if ((a.target == WaitingJob::Target::none) != (b.target == WaitingJob::Target::none))
    return b.target == WaitingJob::Target::none;
  if (a.slack != b.slack) return a.slack < b.slack;
  return a.job->id < b.job->id;
}

/// If not all targets can be met, selects jobs to defer so that as many as possible are met (Moore's
/// algorithm): goes through the jobs in the order of their slack and, whenever one would be late, defers the
/// largest so far. Ordered by deadline alone, nearly all would be a little late. Returns the deferred jobs.
std::vector<WaitingJob*> select_deferred(const std::vector<WaitingJob*>& jobs, double slots) {
  std::vector<WaitingJob*> kept, deferred;
  double work = 0;
  for (WaitingJob* w : jobs) {
    kept.push_back(w);
    work += w->work;
    while (work / slots > to_seconds(w->slack) && !kept.empty()) {
      const auto largest =
          std::max_element(kept.begin(), kept.end(),
                           [](const WaitingJob* a, const WaitingJob* b) { return a->work < b->work; });
      deferred.push_back(*largest);
      work -= (*largest)->work;
      kept.erase(largest);
    }
  }
  return deferred;
}

/// A job that is too late for its deadline gets its class's objective for the end as its target, and stays in
/// one queue with the jobs that are in time, so that each class still gets its objective. When such jobs came
/// after all that were in time, half of a class waited for 600 s though nearly all of it could have ended
/// within 350 s.
void lower_target(WaitingJob& w, Micros now) {
  using Target = WaitingJob::Target;
  const bool had_deadline = w.target == Target::deadline;
  w.target = Target::none;
  if (!had_deadline || w.job->finish_within == 0 || w.rank != Rank::low) return;
  w.slack = w.job->ready + w.job->finish_within - now - from_seconds(Placement::expected_run_seconds(*w.job));
  if (w.slack > 0) w.target = Target::objective;
}
}  // namespace

std::vector<Job*> Placement::ordered_jobs(Micros now) const {
  using Target = WaitingJob::Target;
  std::vector<WaitingJob> waiting_jobs;
  for (auto& [id, j] : view_.jobs) {
    if (j->cancelled || j->finished || j->waiting() == 0) continue;
    waiting_jobs.push_back({j.get(), effective_rank(*j, now), quota_.within_guarantee(*j), Target::deadline,
                            slack(*j, now), j->waiting() * expected_run_seconds(*j)});
    // A job that can no longer meet its deadline yields to those that can.
    if (j->finish_by && *j->finish_by - j->spec->estimate < now) lower_target(waiting_jobs.back(), now);
  }
  double low_rank_slots = 0;
  for (const auto& [id, j] : view_.jobs)
    if (j->rank == Rank::low && j->spec->shape == Shape::array)
      low_rank_slots += static_cast<double>(j->active.size());
  for (int round = 0; round < kMaxTargetRounds && low_rank_slots >= 1; ++round) {
    std::vector<WaitingJob*> with_target;
    for (WaitingJob& w : waiting_jobs)
      if (w.target != Target::none && w.job->finish_by && w.rank == Rank::low) with_target.push_back(&w);
    std::sort(with_target.begin(), with_target.end(),
              [](const WaitingJob* a, const WaitingJob* b) { return placed_before(*a, *b); });
    const auto deferred = select_deferred(with_target, low_rank_slots);
    for (WaitingJob* w : deferred) lower_target(*w, now);
    if (deferred.empty()) break;
  }
  for (WaitingJob& w : waiting_jobs)  // without a target, jobs with the fewest waiting tasks come first
    if (w.target == Target::none) w.slack = static_cast<Micros>(w.job->waiting());
  std::sort(waiting_jobs.begin(), waiting_jobs.end(), placed_before);
  std::vector<Job*> ordered;
  ordered.reserve(waiting_jobs.size());
  for (const auto& w : waiting_jobs) ordered.push_back(w.job);
  return ordered;
}

/// The next task to place, first those to be restarted; nothing if none waits.
std::optional<std::uint32_t> Placement::next_task(Job& j) {
  if (!j.to_restart.empty()) return *j.to_restart.begin();
  while (j.next_index < j.spec->tasks && (j.done.test(j.next_index) || j.active.contains(j.next_index)))
    ++j.next_index;
  if (j.next_index >= j.spec->tasks) return {};
  return j.next_index;
}

/// Updates since when the job waits although it could be placed, and the flags that depend on it.
void Placement::update_wait(Job& j, Micros now) const {
  const std::uint32_t tasks = j.spec->shape == Shape::gang ? j.spec->tasks : 1;
  if (now < j.not_before || !placement_allowed(j) || !quota_.within_limit(j, tasks)) j.waiting_since = now;
  const Micros waited = now - std::max(j.ready, j.waiting_since);
  j.starved = waited >= kStarvedAfter, j.accepts_any_machine = waited >= kAcceptsAnyMachineAfter;
}

/// Collects the distinct properties of the machines that are not accounted for yet.
void Placement::collect_unaccounted() {
  unaccounted_.clear();
  if (view_.all_accounted_for) return;
  for (const Machine* m : view_.machines_by_id)
    if ((!m->accounted_for && !m->handed_over_empty) || m->unattributed > 0)
      unaccounted_.insert({m->type, m->type_index, m->zone, m->spot});
}

/// Neither we nor a former owner of the share ever started a task where its job's constraints forbid it.
bool Placement::may_hold_tasks_of(const UnaccountedMachine& u, const Job& j) const {
  if (!u.type) return true;
  if (u.spot && !j.spec->spot) return false;
  const JobKind& kind = j.kind->first;
  return (kind.zone < 0 || kind.zone == u.zone) && kind.types[u.type_index];
}

/// A task is placed only when every machine that could hold an attempt of it is accounted for. A machine that
/// is silent after a takeover (it died, or was reclaimed) delays for its whole lease only the jobs that it
/// may hold. When it delayed all jobs, one lost spot machine kept production jobs of its share waiting for 15
/// s.
bool Placement::placement_allowed(const Job& j) const {
  if (j.committing) return false;
  if (view_.all_accounted_for) return true;
  // Tasks on machines that are not accounted for may use up the team's limit.
  const wire::Team* t = quota_.team(j.spec->team);
  if (!t) return false;
  if (t->limit.cpus > 0 && j.spec->need.cpus > 0) return false;
  if (t->limit.gpus > 0 && j.spec->need.gpus > 0 &&
      std::any_of(unaccounted_.begin(), unaccounted_.end(),
                  [](const UnaccountedMachine& u) { return !u.type || u.type->total.gpus > 0; }))
    return false;
  // A job accepted since the takeover cannot run anywhere yet.
  return j.accepted_since_takeover ||
         std::none_of(unaccounted_.begin(), unaccounted_.end(),
                      [&](const UnaccountedMachine& u) { return may_hold_tasks_of(u, j); });
}

/// Whether the machine may take a task of the job now, apart from its free resources.
bool Placement::machine_allowed(const Job& j, const Machine& m, Micros now) const {
  if (!m.type || !m.up || !m.accounted_for || m.leaving || m.reclaim_at || m.suspect_until > now)
    return false;
  if (m.drain_until > now || m.delivery.in_doubt() || m.unattributed > 0) return false;
  // Capacity that is being freed by preemption must not be taken by lower ranks meanwhile.
  if (m.reserved_until > now && j.rank < m.reserved_for_rank) return false;
  if (m.spot && !j.spec->spot) return false;
  const JobKind& kind = j.kind->first;
  if ((kind.zone >= 0 && kind.zone != m.zone) || !kind.types[m.type_index]) return false;
  if (j.avoided_machines.empty()) return true;
  const auto avoided = j.avoided_machines.find(m.record.id);
  return avoided == j.avoided_machines.end() || avoided->second <= now;
}

/// Whether a task of the job fits into `free` on this machine and does not block a machine kept for GPU jobs.
bool Placement::fits(const Job& j, const Machine& m, const Resources& free) const {
  // Machines for GPU jobs take other work only if it can be preempted at once: services, gangs and higher
  // ranks would keep an expensive machine rented for a few CPUs. Jobs that have waited long
  // (accepts_any_machine) are exempt: where these were the only machines with capacity, they never ran.
  if (j.spec->need.gpus == 0 && usable_by_gpu_jobs_[m.type_index] && !j.accepts_any_machine &&
      (j.rank > Rank::low || j.spec->shape != Shape::array))
    return false;
  return j.spec->need.fits_in(free);
}

/// Machines that cost much more for this kind of task form a tier of their own, and q decides within the
/// cheapest tier that has capacity. A long-running task on a GPU machine that it does not need would keep it
/// rented.
int Placement::cost_tier(const Job& j, const Machine& m) const {
  if (j.spec->need.gpus == 0) return m.type->total.gpus > 0 ? 1 : 0;
  // A job that may not use spot machines has no cheaper tier to wait for or to preempt in.
  return m.spot || !j.spec->spot ? 0 : 1;
}

/// How soon a task could have its image there: 2 if it is cached (kImageCached) or none is needed, 1 if
/// another task may be fetching it, else 0.
int Placement::image_availability(const Job& j, const Machine& m) const {
  if (j.spec->image.empty()) return 2;
  if (std::any_of(m.cached_images.begin(), m.cached_images.end(),
                  [&](const auto& i) { return i.first == j.spec->image; }))
    return 2;
  return std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
    return t.second.job && t.second.phase != AttemptPhase::assigned &&
           t.second.job->spec->image == j.spec->image;
  });
}

/// Whether fetching the job's image takes so long that it would hardly start in time. Such a job preempts
/// tasks where its image is cached rather than start where there is capacity.
bool Placement::prefers_cached_image(const Job& j) const {
  if (j.rank < Rank::high || j.spec->image.empty()) return false;
  double slowest = 0;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (j.kind->first.types[i]) slowest = std::max(slowest, j.spec->image_gb / types_[i].fetch_gb_per_s);
  return slowest > std::max(kLongFetchSeconds, kFetchFraction * to_seconds(j.start_within));
}

/// Production jobs keep a machine rented for long. They wait a few seconds, in which the leader may drain a
/// machine without GPUs in another share, rather than start on an expensive one. Where all such machines are
/// in use, a longer wait would not help.
bool Placement::waits_for_non_gpu_machine(const Job& j, Micros now) const {
  if (j.rank != Rank::production || j.spec->need.gpus > 0) return false;
  if (now - j.ready >= std::min(j.start_within / 2, kMaxWaitForNonGpu)) return false;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (types_[i].total.gpus == 0 && j.kind->first.types[i]) return true;
  return false;
}

namespace {
/// The order of machines with equal q: spot machines first, then the fullest.
bool preferred_over(const Machine* a, const Machine* b) {
  if (a->spot != b->spot) return a->spot;
  if (a->free.cpus != b->free.cpus) return a->free.cpus < b->free.cpus;
  return a->record.id < b->record.id;
}
}  // namespace

void Placement::CandidateSet::insert(Machine* m) {
  const auto at = std::lower_bound(machines.begin(), machines.end(), m, preferred_over) - machines.begin();
  machines.insert(machines.begin() + at, m);
  neurons.insert(neurons.begin() + at, m->neuron);
}

void Placement::CandidateSet::keep_if(const std::function<bool(const Machine&)>& wanted) {
  std::erase_if(machines, [&](const Machine* m) { return !wanted(*m); });
  neurons.clear();
  for (const Machine* m : machines) neurons.push_back(m->neuron);
}

/// Whether the zones of the job's active tasks allow a further one on this machine (`spread`, `one_zone`).
bool Placement::zone_allowed(const Job& j, const Machine& m) const {
  if (j.spec->one_zone && !j.active.empty() && j.active_in_zone(m.zone) == 0) return false;
  return !j.spec->spread || j.active_in_zone(m.zone) < static_cast<int>((j.spec->tasks + 1) / 2);
}

/// Fills `candidates` with the machines on which the next task of the job may start, see CandidateSet.
void Placement::find_candidates(const Job& j, CandidateSet& candidates, Micros now) const {
  struct Found {
    Machine* machine;
    int availability;
  };
  std::vector<Found> found;
  candidates.tier = 9;
  for (Machine* machine : view_.machines_by_id) {
    Machine& m = *machine;
    if (!j.spec->need.fits_in(m.free) || !machine_allowed(j, m, now) || !fits(j, m, m.free)) continue;
    if ((candidates.zone >= 0 && m.zone != candidates.zone) || !zone_allowed(j, m)) continue;
    const int tier = cost_tier(j, m);
    if (tier > candidates.tier) continue;
    if (tier < candidates.tier) candidates.tier = tier, found.clear();
    found.push_back({&m, 0});
  }
  // Among these, prefer machines with the image: fetching it can take as long as many tasks run.
  int best_availability = 0;
  for (Found& f : found)
    f.availability = image_availability(j, *f.machine),
    best_availability = std::max(best_availability, f.availability);
  candidates.machines.clear(), candidates.neurons.clear();
  best_availability = std::max(best_availability, candidates.min_availability);
  std::erase_if(found, [&](const Found& f) { return f.availability < best_availability; });
  // Services go where other services run already. Scattered, they would tie every machine to its share, and
  // other shares could not use the free capacity.
  if (j.spec->shape == Shape::service && std::any_of(found.begin(), found.end(), [](const Found& f) {
        return f.machine->task_summary().has_services;
      }))
    std::erase_if(found, [](const Found& f) { return !f.machine->task_summary().has_services; });
  for (const Found& f : found) candidates.machines.push_back(f.machine);
  std::sort(candidates.machines.begin(), candidates.machines.end(), preferred_over);
  for (const Machine* m : candidates.machines) candidates.neurons.push_back(m->neuron);
}

/// Places one task on a machine that the learner chooses among `candidates`, which are searched for if there
/// are none. Returns false if it could not be placed; `cheap_only`: not on machines above the lowest cost
/// tier.
bool Placement::place_task(Job& j, std::uint32_t index, std::uint64_t attempt, bool cheap_only, Micros now,
                           CandidateSet& candidates) {
  if (!quota_.within_limit(j, 1)) return false;
  // Another attempt is still on some machine.
  if (!view_.stray_attempts.empty() && view_.stray_attempts.contains({j.id, index})) return false;
  if (candidates.machines.empty()) {
    // A failed search holds for all jobs of the kind until there is more capacity, unless zones or machines
    // that only this job avoids have restricted it.
    const bool applies_to_kind = !j.spec->spread && !j.spec->one_zone && j.avoided_machines.empty() &&
                                 candidates.zone < 0 && candidates.min_availability == 0 &&
                                 !j.accepts_any_machine;
    auto& failed = j.kind->second.placement[static_cast<std::size_t>(j.rank)];
    auto& failed_cheap = j.kind->second.cheap_placement[static_cast<std::size_t>(j.rank)];
    const auto capacity_version = view_.capacity_version_for(j.kind->first);
    const bool known_to_fail = failed.covers(capacity_version, j.spec->need) ||
                               (cheap_only && failed_cheap.covers(capacity_version, j.spec->need));
    if (known_to_fail && !j.accepts_any_machine) return false;
    find_candidates(j, candidates, now);
    const bool none_found = candidates.machines.empty();
    if (applies_to_kind && none_found) failed.record(capacity_version, j.spec->need);
    if (applies_to_kind && !none_found && candidates.tier > 0)
      failed_cheap.record(capacity_version, j.spec->need);
    if (none_found) return false;
  }
  if (cheap_only && candidates.tier > 0) return false;
  const std::size_t chosen = rnn_.choose(candidates.neurons);
  Machine& m = *candidates.machines[chosen];
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("placing {}/{} attempt {} on {}: q {:.4f}, {} candidates", j.id, index, attempt,
                  m.record.id, rnn_.q(m.neuron), candidates.machines.size());
  TaskAttempt p;
  p.job = &j;
  p.job_id = j.id;
  p.index = index;
  p.attempt = attempt;
  p.need = j.spec->need;
  p.team = j.spec->team;
  p.started_at = now;
  view_.add_attempt(m, std::move(p));
  candidates.machines.erase(candidates.machines.begin() + static_cast<std::ptrdiff_t>(chosen));
  candidates.neurons.erase(candidates.neurons.begin() + static_cast<std::ptrdiff_t>(chosen));
  if (fits(j, m, m.free)) candidates.insert(&m);
  if (j.spec->spread || j.spec->one_zone)
    candidates.keep_if([&](const Machine& o) { return zone_allowed(j, o); });
  return true;
}

/// How many tasks of the job fit into `capacity` on this machine.
std::int64_t Placement::task_slots(const Job& j, const Machine& m, Resources capacity) const {
  if (!fits(j, m, capacity)) return 0;
  return j.spec->need.copies_that_fit(capacity, j.spec->tasks);
}

/// The zones in which the whole gang could start, if each machine has the capacity that `capacity_of`
/// returns. The zone with the least to spare comes first, so that the others stay free for larger gangs. For
/// a gang that is not bound to one zone: a single -1, or nothing.
std::vector<int> Placement::gang_zones(const Job& j, Micros now,
                                       const std::function<Resources(const Machine&)>& capacity_of) const {
  std::map<std::string, std::pair<int, std::int64_t>> by_name;
  for (const Machine* m : view_.machines_by_id)
    if (machine_allowed(j, *m, now) && (m->spot || j.spot_only_until <= now)) {
      auto& [zone, n] = by_name[j.spec->one_zone ? m->record.zone : ""];
      zone = j.spec->one_zone ? m->zone : -1;
      n += task_slots(j, *m, capacity_of(*m));
    }
  std::vector<std::pair<std::int64_t, int>> found;
  for (const auto& [name, z] : by_name)
    if (z.second >= j.spec->tasks) found.emplace_back(z.second, z.first);
  std::stable_sort(found.begin(), found.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<int> zones;
  zones.reserve(found.size());
  for (const auto& [n, zone] : found) zones.push_back(zone);
  return zones;
}

/// Places all tasks of the gang that are not done, or none.
bool Placement::place_gang(Job& j, Micros now, int min_availability) {
  // All tasks of the previous attempt must be gone before the next one starts.
  if (!j.active.empty() || !quota_.within_limit(j, j.spec->tasks)) return false;
  // A failed search holds for all gangs of the kind that are as large or larger. One that moves to spot
  // machines searches fewer machines, so its failures are not recorded.
  auto& failed = j.kind->second.gang_placement[static_cast<std::size_t>(j.rank)];
  const auto capacity_version = view_.capacity_version_for(j.kind->first);
  if (!j.accepts_any_machine && failed.covers(capacity_version, j.spec->need, j.spec->tasks)) return false;
  const auto zones = gang_zones(j, now, [&](const Machine& m) {
    return min_availability == 0 || image_availability(j, m) >= min_availability ? m.free : Resources{};
  });
  if (zones.empty()) {
    if (j.avoided_machines.empty() && j.spot_only_until <= now && min_availability == 0 &&
        !j.accepts_any_machine)
      failed.record(capacity_version, j.spec->need, j.spec->tasks);
    return false;
  }
  const std::uint64_t attempt = (epoch_ << kEpochShift) + attempts_ + 1;
  j.gang_attempt = attempt;
  if (j.first_started_at == 0) j.first_started_at = now;
  CandidateSet candidates;
  candidates.zone = zones.front();
  candidates.min_availability = min_availability;
  for (std::uint32_t i = 0; i < j.spec->tasks; ++i) {
    if (j.done.test(i)) continue;
    if (place_task(j, i, attempt, false, now, candidates)) continue;
    // A gang is placed whole or not at all.
    j.gang_attempt = 0;
    const auto active = j.active;
    for (const auto& [index, m] : active)
      view_.free_attempt(*m, m->tasks.find({j.id, index}), now, FreeReason::never_sent);
    return false;
  }
  ++attempts_;
  j.spot_only_until = 0;
  return true;
}

/// Whether the gang saves checkpoints, runs with all its tasks, not all of them on spot machines, and has
/// enough run time left that the lower price outweighs fetching the image again and restarting.
bool Placement::worth_moving_to_spot(const Job& j, Micros now) const {
  if (j.spec->shape != Shape::gang || !j.spec->spot || j.spec->checkpoint_interval == 0 ||
      j.spec->need.gpus == 0)
    return false;
  if (j.cancelled || j.finished || j.committing || j.active.size() != j.spec->tasks) return false;
  if (now - j.moved_to_spot_at < kMinMoveInterval && j.moved_to_spot_at > 0) return false;
  bool on_demand = false;
  for (const auto& [index, m] : j.active) {
    auto p = m->tasks.find({j.id, index});
    if (p == m->tasks.end() || p->second.phase != AttemptPhase::running || p->second.halting) return false;
    on_demand = on_demand || !m->spot;
  }
  const Micros elapsed = j.first_started_at > 0 ? now - j.first_started_at : 0;
  if (!on_demand) return false;
  // Submitted estimates are too low as often as too high.
  const Micros remaining = std::max(j.spec->estimate - elapsed, elapsed / 3);
  // Not if the move could make it miss its objective.
  for (const auto& o : platform_.objectives)
    if (o.kind == "finished" && o.job_class == j.spec->job_class) {
      const Micros spare = j.ready + o.time_limit - now - remaining;
      if (spare > 0 && spare < remaining / 2 + kMoveDuration * 2) return false;
    }
  return remaining > kMinRemainingToMove;
}

/// On-demand machines with GPUs cost several times as much as spot ones. When spot machines are free, a gang
/// saves, stops and continues there, and its on-demand machines can be returned. Moves at most one gang per
/// pass.
void Placement::move_to_spot(Micros now) {
  for (auto& [id, j] : view_.jobs) {
    if (!worth_moving_to_spot(*j, now)) continue;
    const auto zones = gang_zones(*j, now, [](const Machine& m) { return m.spot ? m.free : Resources{}; });
    if (zones.empty()) continue;
    spdlog::info("gang {} moves to spot machines", j->id);
    j->moved_to_spot_at = now;
    j->spot_only_until = now + kMoveDuration;
    view_.stop_gang(*j, j->spec->checkpoint_duration);
    return;
  }
}

/// Preempts lower ranks on as many machines as the whole gang needs, in one zone if it is bound to one, or on
/// none. Prefers the machines where the least work is lost.
bool Placement::preempt_for_gang(Job& j, Micros now, int min_availability) {
  if (!j.active.empty() || !quota_.within_limit(j, j.spec->tasks)) return false;
  auto& failed = j.kind->second.gang_preemption[static_cast<std::size_t>(j.rank)];
  if (failed.covers(view_.change_count, j.spec->need, j.spec->tasks)) return false;
  auto outranked = [&](const TaskAttempt& p) { return p.job && p.job->rank < j.rank; };
  auto capacity_of = [&](const Machine& m) {
    if (min_availability > 0 && image_availability(j, m) < min_availability) return Resources{};
    Resources capacity = m.free;
    if (const auto& summary = m.task_summary();
        !summary.halting && (!summary.any_stoppable || summary.lowest_stoppable_rank >= j.rank))
      return capacity;
    for (const auto& [key, p] : m.tasks)
      if (p.halting || outranked(p)) capacity += p.need;
    return capacity;
  };
  const auto zones = gang_zones(j, now, capacity_of);
  if (zones.empty()) {
    if (j.avoided_machines.empty() && j.spot_only_until <= now && min_availability == 0)
      failed.record(view_.change_count, j.spec->need, j.spec->tasks);
    return false;
  }
  struct Choice {
    Machine* machine;
    std::int64_t slots;
    double loss;
  };
  std::vector<Choice> choices;
  for (Machine* machine : view_.machines_by_id) {
    Machine& m = *machine;
    if (!machine_allowed(j, m, now) || (j.spec->one_zone && m.zone != zones.front())) continue;
    const auto n = task_slots(j, m, capacity_of(m));
    double loss = 0;
    for (const auto& [key, p] : m.tasks)
      if (!p.halting && outranked(p))
        loss += to_seconds(now - p.started_at) * static_cast<double>(p.need.cpus);
    if (n > 0) choices.push_back({&m, n, loss});
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
  std::int64_t missing = j.spec->tasks;
  for (const auto& c : choices) {
    if (missing <= 0) break;
    Machine& m = *c.machine;
    missing -= c.slots;
    m.reserved_for_rank = j.rank;
    m.reserved_until = now + kReservationTime;
    for (auto& [key, p] : m.tasks) {
      if (task_slots(j, m, m.free) >= c.slots || p.halting || !outranked(p)) continue;
      const Micros grace = p.job->spec->checkpoint_interval > 0 ? p.job->spec->checkpoint_duration : 0;
      if (p.job->spec->shape == Shape::gang)
        view_.stop_gang(*p.job, grace);
      else
        view_.halt(p, grace);
    }
  }
  return true;
}

/// Preempts tasks of lower rank, or other teams' borrowed resources within the own guarantee, on the one
/// machine where that loses the least work and frees enough capacity for a task of the job.
Placement::Preemption Placement::preempt_for(Job& j, Micros now, int min_availability) {
  std::int64_t missing = j.waiting();
  // Tasks that are not accounted for may count against the guarantee, so it is used only once every
  // machine is accounted for.
  const bool guaranteed = view_.all_accounted_for && quota_.within_guarantee(j);
  if (guaranteed && j.rank < Rank::high)  // preempt other teams' work for the guaranteed part only
    missing = quota_.tasks_within_guarantee(j, missing);
  if (!quota_.within_limit(j, 1)) return Preemption::none;
  const bool applies_to_kind = !j.spec->spread && !j.spec->one_zone && j.avoided_machines.empty() &&
                               !guaranteed && min_availability == 0;
  auto& failed = j.kind->second.preemption[static_cast<std::size_t>(j.rank)];
  if (!guaranteed && failed.covers(view_.change_count, j.spec->need)) return Preemption::none;
  Machine* best = nullptr;
  std::vector<TaskAttempt*> best_victims;
  double best_loss = 0;
  for (Machine* machine : view_.machines_by_id) {
    Machine& m = *machine;
    const auto& summary = m.task_summary();
    const bool can_stop = summary.any_stoppable && (summary.lowest_stoppable_rank < j.rank || guaranteed);
    if ((!can_stop && !summary.halting) || !machine_allowed(j, m, now) || !zone_allowed(j, m)) continue;
    if (min_availability > 0 && image_availability(j, m) < min_availability) continue;
    Resources available = m.free;
    if (summary.halting) {
      for (const auto& [key, p] : m.tasks)
        if (p.halting) available += p.need;
      // Tasks being halted free this capacity already.
      const std::int64_t freed = fits(j, m, available) ? j.spec->need.copies_that_fit(available, missing) : 0;
      available -= j.spec->need * freed;
      missing -= freed;
      if (missing <= 0) return Preemption::pending;
    }
    if (!can_stop) continue;
    std::vector<TaskAttempt*> stoppable;
    for (auto& [key, p] : m.tasks)
      if (p.job && !p.halting && (p.job->rank < j.rank || (guaranteed && quota_.is_borrowed(j, p))))
        stoppable.push_back(&p);
    std::sort(stoppable.begin(), stoppable.end(), [](const TaskAttempt* a, const TaskAttempt* b) {
      return std::pair{a->job->rank, -a->started_at} < std::pair{b->job->rank, -b->started_at};
    });
    std::vector<TaskAttempt*> victims;
    double loss = 0;
    for (TaskAttempt* p : stoppable) {
      if (fits(j, m, available)) break;
      available += p->need;
      victims.push_back(p);
      loss += to_seconds(now - p->started_at) * static_cast<double>(p->need.cpus + 8 * p->need.gpus);
    }
    // The same test as for placing; otherwise tasks would be preempted again and again for capacity that the
    // job is then refused.
    if (victims.empty() || !fits(j, m, available)) continue;
    if (!best || loss < best_loss) best = &m, best_victims = victims, best_loss = loss;
  }
  if (!best) {
    if (applies_to_kind) failed.record(view_.change_count, j.spec->need);
    return Preemption::none;
  }
  best->reserved_for_rank = j.rank;
  best->reserved_until = now + kReservationTime;
  for (TaskAttempt* p : best_victims) {
    spdlog::debug("preempting {}/{} on {} for {}", p->job_id, p->index, best->record.id, j.id);
    const Micros grace = p->job->spec->checkpoint_interval > 0 ? p->job->spec->checkpoint_duration : 0;
    if (p->job->spec->shape == Shape::gang)
      view_.stop_gang(*p->job, grace);
    else
      view_.halt(*p, grace);
  }
  return Preemption::started;
}

/// Places the whole gang, or preempts lower ranks for it. Returns false if neither was possible.
bool Placement::place_gang_or_preempt(Job& j, Micros now, int min_availability) {
  if (place_gang(j, now, min_availability) || !j.active.empty()) return true;
  return j.rank > Rank::low && preempt_for_gang(j, now, min_availability);
}

bool Placement::place_waiting_tasks(Micros now, std::uint64_t max_tasks) {
  if (attempts_ >= kAttemptsPerEpoch) return true;  // nothing more can be started before the next epoch
  const std::uint64_t attempt_limit = std::min(attempts_ + max_tasks, kAttemptsPerEpoch);
  collect_unaccounted();
  for (Job* j : ordered_jobs(now)) {
    if (attempts_ >= attempt_limit) return false;
    update_wait(*j, now);
    if (!placement_allowed(*j) || now < j->not_before) continue;
    if (j->spec->shape == Shape::gang) {
      if (prefers_cached_image(*j) && place_gang_or_preempt(*j, now, kImageCached)) continue;
      if (!place_gang_or_preempt(*j, now, 0) && j->rank > Rank::low && j->spec->tasks == 1)
        preempt_for(*j, now, 0);  // may also preempt other teams' borrowed resources
      continue;
    }
    // Returns true if all waiting tasks were placed, or enough for one pass.
    auto place = [&](bool cheap_only, int min_availability = 0) {
      CandidateSet candidates;
      candidates.min_availability = min_availability;
      while (auto index = next_task(*j)) {
        if (!place_task(*j, *index, (epoch_ << kEpochShift) + attempts_ + 1, cheap_only, now, candidates))
          return false;
        if (++attempts_ >= attempt_limit) return true;
      }
      return true;
    };
    // Production jobs preempt lower ranks rather than stay on an expensive machine. Jobs that end soon use
    // expensive machines that are rented anyway, since preempted work is lost.
    const bool may_preempt =
        effective_rank(*j, now) >= Rank::high || (view_.all_accounted_for && quota_.within_guarantee(*j));
    const bool is_production = j->rank == Rank::production;
    // Preempts for up to eight waiting tasks. Returns `started` if anything was preempted now, `pending` if
    // halts under way are enough.
    auto preempt = [&](int min_availability) {
      Preemption last = Preemption::started, outcome = Preemption::none;
      for (std::uint32_t i = 0; i < j->waiting() && i < 8 && last == Preemption::started; ++i)
        if (last = preempt_for(*j, now, min_availability); last != Preemption::none)
          outcome = std::max(outcome, last);
      return outcome;
    };
    if (prefers_cached_image(*j) &&
        (place(is_production, kImageCached) || preempt(kImageCached) != Preemption::none))
      continue;
    if (place(is_production) || !may_preempt) continue;
    const bool preempting = preempt(0) == Preemption::started;
    if (!preempting && is_production && !waits_for_non_gpu_machine(*j, now)) place(false);
  }
  if (view_.all_accounted_for) move_to_spot(now);
  return attempts_ < attempt_limit;  // the last job may have reached the limit
}

}  // namespace aspenwick::place
