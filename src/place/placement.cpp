#include "place/placement.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::place {

using wire::Rank;
using wire::Shape;

namespace {
constexpr Micros kReservationTime = 3 * kSecond;  // for what it was made
constexpr Micros kMaxWaitForNonGpu = 4 * kSecond;
constexpr Micros kMinRemainingToMove = 75 * kSecond;  // left of a gang, at least
constexpr Micros kUrgentStartSlack = 20 * kSecond;
constexpr Micros kUrgentFinishSlack = 40 * kSecond;
constexpr Micros kMinMoveInterval = 90 * kSecond;
constexpr Micros kMoveDuration = 15 * kSecond;
// Nothing of a job started for so long: the leader looks for room in other shares, whose machines take a
// while to run empty; later, what is better kept for GPU work is kept no longer. Well inside the 90 s that no
// job may wait beside room.
constexpr Micros kPassedOverAfter = 20 * kSecond;
constexpr Micros kAnyRoomAfter = 50 * kSecond;
constexpr int kImageCached = 2;           // see warmth()
constexpr double kLongFetchSeconds = 10;  // seconds: more than lower work loses by making way
constexpr double kFetchFraction = 0.25;   // of the time in which a task should start
constexpr int kMaxTargetRounds = 3;       // what makes way in one aims lower in the next
}  // namespace

void Placement::note_gpu_job(const JobSpec& spec) {
  if (spec.need.gpus == 0) return;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (job::type_allowed(spec, types_[i])) usable_by_gpu_jobs_[i] = true;
}

/// Seconds that a task of the job takes, as seen so far or as its owner guessed.
double Placement::expected_run_seconds(const Job& j) {
  return j.finished_runs >= 3 ? j.run_seconds / j.finished_runs : to_seconds(j.spec->estimate);
}

Micros Placement::slack(const Job& j, Micros now) const {
  const Micros to_start = j.ready + j.start_within - now;
  if (!j.finish_by) return to_start;
  const Micros to_finish = *j.finish_by - j.spec->estimate - now;
  // Hurried by what follows only, its own class's objective holds as well.
  return j.spec->deadline ? to_finish : std::min(to_finish, to_start);
}

Rank Placement::effective_rank(const Job& j, Micros now) const {
  const bool urgent = j.rank == j.spec->rank || j.ready + j.start_within - now < kUrgentStartSlack ||
                      (j.finish_by && *j.finish_by - j.spec->estimate - now < kUrgentFinishSlack);
  return urgent ? j.rank : j.spec->rank;
}

namespace {
/// A job that waits, as the order sees it.
struct WaitingJob {
  Job* job;
  Rank rank;
  bool guaranteed;
  /// What it is to keep still: its deadline, or its class's objective for the end, or neither, all too late.
  enum class Target : std::uint8_t { deadline, objective, none } target;
  Micros slack;  // to that
  double work;   // seconds of a task
};

bool placed_before(const WaitingJob& a, const WaitingJob& b) {
  if (a.rank != b.rank) return a.rank > b.rank;
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if ((a.target == WaitingJob::Target::none) != (b.target == WaitingJob::Target::none))
    return b.target == WaitingJob::Target::none;
  if (a.slack != b.slack) return a.slack < b.slack;
  return a.job->id < b.job->id;
}

/// When not all can be kept, keep as many as can be (Moore's rule): in the order of their slack, whenever one
/// would be late, the largest so far makes way. In the order of deadlines alone nearly all would miss by a
/// little. What makes way is returned.
std::vector<WaitingJob*> select_deferred(const std::vector<WaitingJob*>& jobs, double slots) {
  std::vector<WaitingJob*> kept, out;
  double work = 0;
  for (WaitingJob* w : jobs) {
    kept.push_back(w);
    work += w->work;
    while (work / slots > to_seconds(w->slack) && !kept.empty()) {
      const auto largest =
          std::max_element(kept.begin(), kept.end(),
                           [](const WaitingJob* a, const WaitingJob* b) { return a->work < b->work; });
      out.push_back(*largest);
      work -= (*largest)->work;
      kept.erase(largest);
    }
  }
  return out;
}

/// A job that is too late for its deadline aims at its class's objective for the end, in one queue with those
/// that are not: each class keeps that floor. Put after all that were in time, half of a class waited for 600
/// s that could nearly all have been over in 350.
void lower_target(WaitingJob& w, Micros now) {
  using Target = WaitingJob::Target;
  const bool first = w.target == Target::deadline;
  w.target = Target::none;
  if (!first || w.job->finish_within == 0 || w.rank != Rank::low) return;
  w.slack = w.job->ready + w.job->finish_within - now - from_seconds(Placement::expected_run_seconds(*w.job));
  if (w.slack > 0) w.target = Target::objective;
}
}  // namespace

std::vector<Job*> Placement::ordered_jobs(Micros now) const {
  using Target = WaitingJob::Target;
  std::vector<WaitingJob> list;
  for (auto& [id, j] : view_.jobs) {
    if (j->cancelled || j->finished || j->waiting() == 0) continue;
    list.push_back({j.get(), effective_rank(*j, now), quota_.within_guarantee(*j), Target::deadline,
                    slack(*j, now), j->waiting() * expected_run_seconds(*j)});
    // Once a deadline can no longer be kept, the job makes way for those that still can.
    if (j->finish_by && *j->finish_by - j->spec->estimate < now) lower_target(list.back(), now);
  }
  double low_rank_slots = 0;
  for (const auto& [id, j] : view_.jobs)
    if (j->rank == Rank::low && j->spec->shape == Shape::array)
      low_rank_slots += static_cast<double>(j->active.size());
  for (int round = 0; round < kMaxTargetRounds && low_rank_slots >= 1; ++round) {
    std::vector<WaitingJob*> with_target;
    for (WaitingJob& w : list)
      if (w.target != Target::none && w.job->finish_by && w.rank == Rank::low) with_target.push_back(&w);
    std::sort(with_target.begin(), with_target.end(),
              [](const WaitingJob* a, const WaitingJob* b) { return placed_before(*a, *b); });
    const auto out = select_deferred(with_target, low_rank_slots);
    for (WaitingJob* w : out) lower_target(*w, now);
    if (out.empty()) break;
  }
  for (WaitingJob& w : list)  // the shortest first
    if (w.target == Target::none) w.slack = static_cast<Micros>(w.job->waiting());
  std::sort(list.begin(), list.end(), placed_before);
  std::vector<Job*> out;
  out.reserve(list.size());
  for (const auto& w : list) out.push_back(w.job);
  return out;
}

std::optional<std::uint32_t> Placement::next_task(Job& j) {
  if (!j.to_restart.empty()) return *j.to_restart.begin();
  while (j.next_index < j.spec->tasks && (j.done.test(j.next_index) || j.active.contains(j.next_index)))
    ++j.next_index;
  if (j.next_index >= j.spec->tasks) return {};
  return j.next_index;
}

/// How long nothing of it was started, though it might have been.
void Placement::update_wait(Job& j, Micros now) const {
  const std::uint32_t tasks = j.spec->shape == Shape::gang ? j.spec->tasks : 1;
  if (now < j.not_before || !placement_allowed(j) || !quota_.within_limit(j, tasks)) j.waiting_since = now;
  const Micros waits = now - std::max(j.ready, j.waiting_since);
  j.passed_over = waits >= kPassedOverAfter, j.any_room = waits >= kAnyRoomAfter;
}

void Placement::collect_unaccounted() {
  unaccounted_.clear();
  if (view_.rebuilt) return;
  for (const Machine* m : view_.machines_by_id)
    if ((!m->accounted_for && !m->handed_over_empty) || m->unattributed > 0)
      unaccounted_.insert({m->type, m->type_index, m->zone, m->spot});
}

/// What the job's own wishes forbid there was never started there: by us, or by whoever held the share
/// before.
bool Placement::may_hold_tasks_of(const UnaccountedMachine& u, const Job& j) const {
  if (!u.type) return true;
  if (u.spot && !j.spec->spot) return false;
  const JobKind& kind = j.kind->first;
  return (kind.zone < 0 || kind.zone == u.zone) && kind.types[u.type_index];
}

/// A task is placed only when every machine that could hold it is accounted for. One that is silent after a
/// takeover (it died, or was taken back) holds up its whole lease long only what it may hold: without that,
/// one lost spot machine kept production of its share waiting for 15 s.
bool Placement::placement_allowed(const Job& j) const {
  if (j.committing) return false;
  if (view_.rebuilt) return true;
  // Unseen tasks may use up the team's limit.
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

bool Placement::machine_allowed(const Job& j, const Machine& m, Micros now) const {
  if (!m.type || !m.up || !m.accounted_for || m.leaving || m.reclaim_at || m.suspect_until > now)
    return false;
  if (m.drain_until > now || m.delivery.in_doubt() || m.unattributed > 0) return false;
  // Room that is being made bit by bit must not be filled again from below.
  if (m.reserved_until > now && j.rank < m.reserved_for_rank) return false;
  if (m.spot && !j.spec->spot) return false;
  const JobKind& kind = j.kind->first;
  if ((kind.zone >= 0 && kind.zone != m.zone) || !kind.types[m.type_index]) return false;
  if (j.avoided_machines.empty()) return true;
  const auto bad = j.avoided_machines.find(m.record.id);
  return bad == j.avoided_machines.end() || bad->second <= now;
}

bool Placement::fits(const Job& j, const Machine& m, const Resources& free) const {
  // Machines for GPU work take other work only if it can make way at once: what stays, or outranks GPU work,
  // would keep a dear machine rented for a few CPUs.
  // Passed over for long, it may: where these were the only machines with room it never ran.
  if (j.spec->need.gpus == 0 && usable_by_gpu_jobs_[m.type_index] && !j.any_room &&
      (j.rank > Rank::low || j.spec->shape != Shape::array))
    return false;
  return j.spec->need.fits_in(free);
}

/// Machines that cost much more for this kind of task are a tier of their own: q decides within the cheapest
/// tier that has room. A long-running task on a GPU machine that it does not need would keep it rented.
int Placement::cost_tier(const Job& j, const Machine& m) const {
  if (j.spec->need.gpus == 0) return m.type->total.gpus > 0 ? 1 : 0;
  // What may not use spot machines has no cheaper tier to wait for, and none to make room in.
  return m.spot || !j.spec->spot ? 0 : 1;
}

/// How soon a task could start there: 2 with its image, 1 while another task fetches it.
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

/// Fetching its image takes so long that it would hardly start in time: it makes room where the image is
/// rather than start where there is room.
bool Placement::prefers_cached_image(const Job& j) const {
  if (j.rank < Rank::high || j.spec->image.empty()) return false;
  double slowest = 0;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (j.kind->first.types[i]) slowest = std::max(slowest, j.spec->image_gb / types_[i].fetch_gb_per_s);
  return slowest > std::max(kLongFetchSeconds, kFetchFraction * to_seconds(j.start_within));
}

/// Production keeps a machine rented for long. For the few seconds in which the leader may drain one without
/// GPUs elsewhere it waits, rather than settle on a dear one; where plain machines are all taken, longer
/// would be in vain.
bool Placement::waits_for_non_gpu_machine(const Job& j, Micros now) const {
  if (j.rank != Rank::production || j.spec->need.gpus > 0) return false;
  if (now - j.ready >= std::min(j.start_within / 2, kMaxWaitForNonGpu)) return false;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (types_[i].total.gpus == 0 && j.kind->first.types[i]) return true;
  return false;
}

namespace {
/// Equal q: spot machines first, then the fullest.
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

/// As far as the job's own tasks decide.
bool Placement::zone_allowed(const Job& j, const Machine& m) const {
  if (j.spec->one_zone && !j.active.empty() && j.active_in_zone(m.zone) == 0) return false;
  return !j.spec->spread || j.active_in_zone(m.zone) < static_cast<int>((j.spec->tasks + 1) / 2);
}

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
  // Among these, where the image is: fetching it takes as long as many tasks run.
  int best_availability = 0;
  for (Found& f : found)
    f.availability = image_availability(j, *f.machine),
    best_availability = std::max(best_availability, f.availability);
  candidates.machines.clear(), candidates.neurons.clear();
  best_availability = std::max(best_availability, candidates.min_availability);
  std::erase_if(found, [&](const Found& f) { return f.availability < best_availability; });
  // What stays goes where something stays already: scattered, it would tie every machine to its share, and
  // their rooms would be of no use to the others.
  if (j.spec->shape == Shape::service && std::any_of(found.begin(), found.end(), [](const Found& f) {
        return f.machine->task_summary().has_services;
      }))
    std::erase_if(found, [](const Found& f) { return !f.machine->task_summary().has_services; });
  for (const Found& f : found) candidates.machines.push_back(f.machine);
  std::sort(candidates.machines.begin(), candidates.machines.end(), preferred_over);
  for (const Machine* m : candidates.machines) candidates.neurons.push_back(m->neuron);
}

bool Placement::place_task(Job& j, std::uint32_t index, std::uint64_t attempt, bool cheap_only, Micros now,
                           CandidateSet& candidates) {
  if (!quota_.within_limit(j, 1)) return false;
  // An old attempt is still somewhere.
  if (!view_.stray_attempts.empty() && view_.stray_attempts.contains({j.id, index})) return false;
  if (candidates.machines.empty()) {
    // In vain for all jobs alike, until there is more room. Zones and machines that one job avoids are its
    // own.
    const bool applies_to_kind = !j.spec->spread && !j.spec->one_zone && j.avoided_machines.empty() &&
                                 candidates.zone < 0 && candidates.min_availability == 0 && !j.any_room;
    auto& failed = j.kind->second.placement[static_cast<std::size_t>(j.rank)];
    auto& failed_cheap = j.kind->second.cheap_placement[static_cast<std::size_t>(j.rank)];
    const auto capacity_version = view_.capacity_version_for(j.kind->first);
    const bool known_to_fail = failed.covers(capacity_version, j.spec->need) ||
                               (cheap_only && failed_cheap.covers(capacity_version, j.spec->need));
    if (known_to_fail && !j.any_room) return false;
    find_candidates(j, candidates, now);
    const bool none = candidates.machines.empty();
    if (applies_to_kind && none) failed.record(capacity_version, j.spec->need);
    if (applies_to_kind && !none && candidates.tier > 0) failed_cheap.record(capacity_version, j.spec->need);
    if (none) return false;
  }
  if (cheap_only && candidates.tier > 0) return false;
  const std::size_t chosen = rnn_.choose(candidates.neurons);
  Machine& m = *candidates.machines[chosen];
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("place {}/{} try {} on {} q {:.4f} of {} with room", j.id, index, attempt, m.record.id,
                  rnn_.q(m.neuron), candidates.machines.size());
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

/// How many tasks of the job `room` holds.
std::int64_t Placement::task_slots(const Job& j, const Machine& m, Resources room) const {
  if (!fits(j, m, room)) return 0;
  return j.spec->need.times_in(room, j.spec->tasks);
}

/// The zones in which a gang that needs one could start, given the room that `room_of` tells of each machine:
/// the one with the least to spare first, so that the other stays open for a larger gang. A single -1 if any
/// will do.
std::vector<int> Placement::gang_zones(const Job& j, Micros now,
                                       const std::function<Resources(const Machine&)>& room_of) const {
  std::map<std::string, std::pair<int, std::int64_t>> by_name;
  for (const Machine* m : view_.machines_by_id)
    if (machine_allowed(j, *m, now) && (m->spot || j.spot_only_until <= now)) {
      auto& [zone, n] = by_name[j.spec->one_zone ? m->record.zone : ""];
      zone = j.spec->one_zone ? m->zone : -1;
      n += task_slots(j, *m, room_of(*m));
    }
  std::vector<std::pair<std::int64_t, int>> found;
  for (const auto& [name, z] : by_name)
    if (z.second >= j.spec->tasks) found.emplace_back(z.second, z.first);
  std::stable_sort(found.begin(), found.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<int> out;
  out.reserve(found.size());
  for (const auto& [n, zone] : found) out.push_back(zone);
  return out;
}

bool Placement::place_gang(Job& j, Micros now, int min_availability) {
  // Old attempts must be gone before the new one starts.
  if (!j.active.empty() || !quota_.within_limit(j, j.spec->tasks)) return false;
  // In vain for gangs alike that are as large. One that goes to spot machines looks for less than they do.
  auto& failed = j.kind->second.gang_placement[static_cast<std::size_t>(j.rank)];
  const auto capacity_version = view_.capacity_version_for(j.kind->first);
  if (!j.any_room && failed.covers(capacity_version, j.spec->need, j.spec->tasks)) return false;
  const auto zones = gang_zones(j, now, [&](const Machine& m) {
    return min_availability == 0 || image_availability(j, m) >= min_availability ? m.free : Resources{};
  });
  if (zones.empty()) {
    if (j.avoided_machines.empty() && j.spot_only_until <= now && min_availability == 0 && !j.any_room)
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
    // All or none.
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

/// A gang that saves, runs whole on ordinary machines and has some time to go: what is left costs less on
/// spot machines than fetching the image again and the repeated start.
bool Placement::worth_moving_to_spot(const Job& j, Micros now) const {
  if (j.spec->shape != Shape::gang || !j.spec->spot || j.spec->checkpoint_every == 0 ||
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
  // Owners guess too low as often as too high.
  const Micros left = std::max(j.spec->estimate - elapsed, elapsed / 3);
  // Not if the move may cost what is expected of it.
  for (const auto& o : platform_.objectives)
    if (o.kind == "finished" && o.job_class == j.spec->job_class) {
      const Micros spare = j.ready + o.within - now - left;
      if (spare > 0 && spare < left / 2 + kMoveDuration * 2) return false;
    }
  return left > kMinRemainingToMove;
}

/// Machines with GPUs cost several times as much when they aren't spot ones. When some of those are left
/// over, a gang saves, stops and goes on there; its ordinary machines can be given back.
void Placement::move_to_spot(Micros now) {
  for (auto& [id, j] : view_.jobs) {
    if (!worth_moving_to_spot(*j, now)) continue;
    const auto zones = gang_zones(*j, now, [](const Machine& m) { return m.spot ? m.free : Resources{}; });
    if (zones.empty()) continue;
    spdlog::info("gang {} goes on on spot machines", j->id);
    j->moved_to_spot_at = now;
    j->spot_only_until = now + kMoveDuration;
    view_.stop_gang(*j, j->spec->save_time);
    return;
  }
}

/// Stops lower ranks on as many machines of one zone as the whole gang needs, or on none.
bool Placement::preempt_for_gang(Job& j, Micros now, int min_availability) {
  if (!j.active.empty() || !quota_.within_limit(j, j.spec->tasks)) return false;
  auto& failed = j.kind->second.gang_preemption[static_cast<std::size_t>(j.rank)];
  if (failed.covers(view_.change_count, j.spec->need, j.spec->tasks)) return false;
  auto outranked = [&](const TaskAttempt& p) { return p.job && p.job->rank < j.rank; };
  auto room_of = [&](const Machine& m) {
    if (min_availability > 0 && image_availability(j, m) < min_availability) return Resources{};
    Resources room = m.free;
    if (const auto& summary = m.task_summary();
        !summary.halting && (!summary.any_stoppable || summary.lowest_stoppable_rank >= j.rank))
      return room;
    for (const auto& [key, p] : m.tasks)
      if (p.halting || outranked(p)) room += p.need;
    return room;
  };
  const auto zones = gang_zones(j, now, room_of);
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
    const auto n = task_slots(j, m, room_of(m));
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
      const Micros grace = p.job->spec->checkpoint_every > 0 ? p.job->spec->save_time : 0;
      if (p.job->spec->shape == Shape::gang)
        view_.stop_gang(*p.job, grace);
      else
        view_.halt(p, grace);
    }
  }
  return true;
}

Placement::Preemption Placement::preempt_for(Job& j, Micros now, int min_availability) {
  std::int64_t missing = j.waiting();
  // What is unseen counts against the guarantee too: until it is seen nobody borrows.
  const bool guaranteed = view_.rebuilt && quota_.within_guarantee(j);
  if (guaranteed && j.rank < Rank::high) {  // others' work is stopped for the guaranteed part only
    const auto& g = quota_.team(j.spec->team)->guaranteed;
    const auto& use = view_.team_usage[j.spec->team];
    missing = std::min(missing, j.spec->need.gpus > 0 ? (g.gpus - use.gpus) / j.spec->need.gpus
                                                      : (g.cpus - use.cpus) / j.spec->need.cpus);
  }
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
      // room that is already on its way
      while (missing > 0 && fits(j, m, available)) available -= j.spec->need, --missing;
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
    // The same test as for placing: else tasks are stopped for room that is then refused, again and again.
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
    spdlog::debug("preempt {}/{} on {} for {}", p->job_id, p->index, best->record.id, j.id);
    const Micros grace = p->job->spec->checkpoint_every > 0 ? p->job->spec->save_time : 0;
    if (p->job->spec->shape == Shape::gang)
      view_.stop_gang(*p->job, grace);
    else
      view_.halt(*p, grace);
  }
  return Preemption::started;
}

/// A gang: placed whole, or lower ranks stopped for it.
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
        preempt_for(*j, now, 0);  // of what others borrowed
      continue;
    }
    auto place = [&](bool cheap_only,
                     int min_availability = 0) {  // true: all that waits, or enough for one pass
      CandidateSet candidates;
      candidates.min_availability = min_availability;
      while (auto index = next_task(*j)) {
        if (!place_task(*j, *index, (epoch_ << kEpochShift) + attempts_ + 1, cheap_only, now, candidates))
          return false;
        if (++attempts_ >= attempt_limit) return true;
      }
      return true;
    };
    // Production rather displaces lower ranks than stay on a dear machine. What is done soon takes dear room
    // that is there anyway: displaced work is lost.
    const bool may_displace =
        effective_rank(*j, now) >= Rank::high || (view_.rebuilt && quota_.within_guarantee(*j));
    const bool is_production = j->rank == Rank::production;
    auto preempt = [&](int min_availability) {  // what makes way for it now, or has begun to before
      Preemption last = Preemption::started, outcome = Preemption::none;
      for (std::uint32_t i = 0; i < j->waiting() && i < 8 && last == Preemption::started; ++i)
        if (last = preempt_for(*j, now, min_availability); last != Preemption::none)
          outcome = std::max(outcome, last);
      return outcome;
    };
    if (prefers_cached_image(*j) &&
        (place(is_production, kImageCached) || preempt(kImageCached) != Preemption::none))
      continue;
    if (place(is_production) || !may_displace) continue;
    const bool preempting = preempt(0) == Preemption::started;
    if (!preempting && is_production && !waits_for_non_gpu_machine(*j, now)) place(false);
  }
  if (view_.rebuilt) move_to_spot(now);
  return attempts_ < attempt_limit;  // the last job may have stopped there
}

}  // namespace aspenwick::place
