#include "place/placement.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::place {

using wire::Rank;
using wire::Shape;

namespace {
constexpr Micros kHoldRoom = 3 * kSecond;  // for what it was made
constexpr Micros kAwaitPlain = 4 * kSecond;
constexpr Micros kWorthMoving = 75 * kSecond;  // left of a gang, at least
constexpr Micros kPressedToStart = 20 * kSecond;
constexpr Micros kPressed = 40 * kSecond;
constexpr Micros kMoveAgain = 90 * kSecond;
constexpr Micros kMoveTime = 15 * kSecond;
// Nothing of a job started for so long: the leader looks for room in other shares, whose machines take a
// while to run empty; later, what is better kept for GPU work is kept no longer. Well inside the 90 s that no
// job may wait beside room.
constexpr Micros kPassedOver = 20 * kSecond;
constexpr Micros kAnyRoom = 50 * kSecond;
constexpr int kWarm = 2;             // see warmth()
constexpr double kLongFetch = 10;    // seconds: more than lower work loses by making way
constexpr double kFetchPart = 0.25;  // of the time in which a task should start
constexpr int kAimingPasses = 3;     // what makes way in one aims lower in the next
}  // namespace

void Placement::note_gpu_job(const JobSpec& spec) {
  if (spec.need.gpus == 0) return;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (job::type_allowed(spec, types_[i])) gpu_wanted_[i] = true;
}

/// Seconds that a task of the job takes, as seen so far or as its owner guessed.
double Placement::run_time(const Job& j) {
  return j.run_count >= 3 ? j.run_sum / j.run_count : to_seconds(j.spec->estimate);
}

Micros Placement::slack(const Job& j, Micros now) const {
  const Micros to_start = j.ready + j.start_within - now;
  if (!j.finish_by) return to_start;
  const Micros to_finish = *j.finish_by - j.spec->estimate - now;
  // Hurried by what follows only, its own class's objective holds as well.
  return j.spec->deadline ? to_finish : std::min(to_finish, to_start);
}

Rank Placement::rank_now(const Job& j, Micros now) const {
  const bool pressed = j.rank == j.spec->rank || j.ready + j.start_within - now < kPressedToStart ||
                       (j.finish_by && *j.finish_by - j.spec->estimate - now < kPressed);
  return pressed ? j.rank : j.spec->rank;
}

namespace {
/// A job that waits, as the order sees it.
struct Waiting {
  Job* job;
  Rank rank;
  bool guaranteed;
  /// What it is to keep still: its deadline, or its class's objective for the end, or neither, all too late.
  enum class Aim : std::uint8_t { deadline, objective, none } aim;
  Micros slack;  // to that
  double work;   // seconds of a task
};

bool before(const Waiting& a, const Waiting& b) {
  if (a.rank != b.rank) return a.rank > b.rank;
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if ((a.aim == Waiting::Aim::none) != (b.aim == Waiting::Aim::none)) return b.aim == Waiting::Aim::none;
  if (a.slack != b.slack) return a.slack < b.slack;
  return a.job->id < b.job->id;
}

/// When not all can be kept, keep as many as can be (Moore's rule): in the order of their slack, whenever one
/// would be late, the largest so far makes way. In the order of deadlines alone nearly all would miss by a
/// little. What makes way is returned.
std::vector<Waiting*> make_way(const std::vector<Waiting*>& jobs, double slots) {
  std::vector<Waiting*> kept, out;
  double work = 0;
  for (Waiting* w : jobs) {
    kept.push_back(w);
    work += w->work;
    while (work / slots > to_seconds(w->slack) && !kept.empty()) {
      const auto largest = std::max_element(
          kept.begin(), kept.end(), [](const Waiting* a, const Waiting* b) { return a->work < b->work; });
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
void aim_lower(Waiting& w, Micros now) {
  using Aim = Waiting::Aim;
  const bool first = w.aim == Aim::deadline;
  w.aim = Aim::none;
  if (!first || w.job->finish_within == 0 || w.rank != Rank::low) return;
  w.slack = w.job->ready + w.job->finish_within - now - from_seconds(Placement::run_time(*w.job));
  if (w.slack > 0) w.aim = Aim::objective;
}
}  // namespace

std::vector<Job*> Placement::ordered_jobs(Micros now) const {
  using Aim = Waiting::Aim;
  std::vector<Waiting> list;
  for (auto& [id, j] : view_.jobs) {
    if (j->cancelled || j->finished || j->waiting() == 0) continue;
    list.push_back({j.get(), rank_now(*j, now), quota_.within_guarantee(*j), Aim::deadline, slack(*j, now),
                    j->waiting() * run_time(*j)});
    // Once a deadline can no longer be kept, the job makes way for those that still can.
    if (j->finish_by && *j->finish_by - j->spec->estimate < now) aim_lower(list.back(), now);
  }
  double low_slots = 0;
  for (const auto& [id, j] : view_.jobs)
    if (j->rank == Rank::low && j->spec->shape == Shape::array)
      low_slots += static_cast<double>(j->active.size());
  for (int pass = 0; pass < kAimingPasses && low_slots >= 1; ++pass) {
    std::vector<Waiting*> aiming;
    for (Waiting& w : list)
      if (w.aim != Aim::none && w.job->finish_by && w.rank == Rank::low) aiming.push_back(&w);
    std::sort(aiming.begin(), aiming.end(),
              [](const Waiting* a, const Waiting* b) { return before(*a, *b); });
    const auto out = make_way(aiming, low_slots);
    for (Waiting* w : out) aim_lower(*w, now);
    if (out.empty()) break;
  }
  for (Waiting& w : list)  // the shortest first
    if (w.aim == Aim::none) w.slack = static_cast<Micros>(w.job->waiting());
  std::sort(list.begin(), list.end(), before);
  std::vector<Job*> out;
  out.reserve(list.size());
  for (const auto& w : list) out.push_back(w.job);
  return out;
}

std::optional<std::uint32_t> Placement::next_task(Job& j) {
  if (!j.again.empty()) return *j.again.begin();
  while (j.cursor < j.spec->tasks && (j.done.test(j.cursor) || j.active.contains(j.cursor))) ++j.cursor;
  if (j.cursor >= j.spec->tasks) return {};
  return j.cursor;
}

/// How long nothing of it was started, though it might have been.
void Placement::note_wait(Job& j, Micros now) const {
  const std::uint32_t tasks = j.spec->shape == Shape::gang ? j.spec->tasks : 1;
  if (now < j.not_before || !place_allowed(j) || !quota_.within_limit(j, tasks)) j.waits_since = now;
  const Micros waits = now - std::max(j.ready, j.waits_since);
  j.passed_over = waits >= kPassedOver, j.any_room = waits >= kAnyRoom;
}

void Placement::look_for_unseen() {
  unseen_.clear();
  if (view_.rebuilt) return;
  for (const Machine* m : view_.all)
    if ((!m->accounted && !m->handed_empty) || m->unattributed > 0)
      unseen_.insert({m->type, m->type_index, m->zone, m->spot});
}

/// What the job's own wishes forbid there was never started there: by us, or by whoever held the share
/// before.
bool Placement::may_hold(const Unseen& u, const Job& j) const {
  if (!u.type) return true;
  if (u.spot && !j.spec->spot) return false;
  const Kind& kind = j.kind->first;
  return (kind.zone < 0 || kind.zone == u.zone) && kind.types[u.type_index];
}

/// A task is placed only when every machine that could hold it is accounted for. One that is silent after a
/// takeover (it died, or was taken back) holds up its whole lease long only what it may hold: without that,
/// one lost spot machine kept production of its share waiting for 15 s.
bool Placement::place_allowed(const Job& j) const {
  if (j.committing) return false;
  if (view_.rebuilt) return true;
  // Unseen tasks may use up the team's limit.
  const wire::Team* t = quota_.team(j.spec->team);
  if (!t) return false;
  if (t->limit.cpus > 0 && j.spec->need.cpus > 0) return false;
  if (t->limit.gpus > 0 && j.spec->need.gpus > 0 &&
      std::any_of(unseen_.begin(), unseen_.end(),
                  [](const Unseen& u) { return !u.type || u.type->total.gpus > 0; }))
    return false;
  // A job accepted since the takeover cannot run anywhere yet.
  return j.fresh ||
         std::none_of(unseen_.begin(), unseen_.end(), [&](const Unseen& u) { return may_hold(u, j); });
}

bool Placement::machine_allowed(const Job& j, const Machine& m, Micros now) const {
  if (!m.type || !m.up || !m.accounted || m.leaving || m.taken_at || m.suspect_until > now) return false;
  if (m.drain_until > now || m.hearing.in_doubt() || m.unattributed > 0) return false;
  // Room that is being made bit by bit must not be filled again from below.
  if (m.held_until > now && j.rank < m.held_for) return false;
  if (m.spot && !j.spec->spot) return false;
  const Kind& kind = j.kind->first;
  if ((kind.zone >= 0 && kind.zone != m.zone) || !kind.types[m.type_index]) return false;
  if (j.bad_machines.empty()) return true;
  const auto bad = j.bad_machines.find(m.record.id);
  return bad == j.bad_machines.end() || bad->second <= now;
}

bool Placement::fits(const Job& j, const Machine& m, const Resources& free) const {
  // Machines for GPU work take other work only if it can make way at once: what stays, or outranks GPU work,
  // would keep a dear machine rented for a few CPUs.
  // Passed over for long, it may: where these were the only machines with room it never ran.
  if (j.spec->need.gpus == 0 && gpu_wanted_[m.type_index] && !j.any_room &&
      (j.rank > Rank::low || j.spec->shape != Shape::array))
    return false;
  return j.spec->need.fits_in(free);
}

/// Machines that cost much more for this kind of task are a tier of their own: q decides within the cheapest
/// tier that has room. A long-running task on a GPU machine that it does not need would keep it rented.
int Placement::dearness(const Job& j, const Machine& m) const {
  if (j.spec->need.gpus == 0) return m.type->total.gpus > 0 ? 1 : 0;
  // What may not use spot machines has no cheaper tier to wait for, and none to make room in.
  return m.spot || !j.spec->spot ? 0 : 1;
}

/// How soon a task could start there: 2 with its image, 1 while another task fetches it.
int Placement::warmth(const Job& j, const Machine& m) const {
  if (j.spec->image.empty()) return 2;
  if (std::any_of(m.images.begin(), m.images.end(), [&](const auto& i) { return i.first == j.spec->image; }))
    return 2;
  return std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
    return t.second.job && t.second.phase != Phase::assigned && t.second.job->spec->image == j.spec->image;
  });
}

/// Fetching its image takes so long that it would hardly start in time: it makes room where the image is
/// rather than start where there is room.
bool Placement::image_first(const Job& j) const {
  if (j.rank < Rank::high || j.spec->image.empty()) return false;
  double slowest = 0;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (j.kind->first.types[i]) slowest = std::max(slowest, j.spec->image_gb / types_[i].fetch_gb_per_s);
  return slowest > std::max(kLongFetch, kFetchPart * to_seconds(j.start_within));
}

/// Production keeps a machine rented for long. For the few seconds in which the leader may drain one without
/// GPUs elsewhere it waits, rather than settle on a dear one; where plain machines are all taken, longer
/// would be in vain.
bool Placement::await_plain(const Job& j, Micros now) const {
  if (j.rank != Rank::production || j.spec->need.gpus > 0) return false;
  if (now - j.ready >= std::min(j.start_within / 2, kAwaitPlain)) return false;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (types_[i].total.gpus == 0 && j.kind->first.types[i]) return true;
  return false;
}

namespace {
/// Equal q: spot machines first, then the fullest.
bool goes_before(const Machine* a, const Machine* b) {
  if (a->spot != b->spot) return a->spot;
  if (a->free.cpus != b->free.cpus) return a->free.cpus < b->free.cpus;
  return a->record.id < b->record.id;
}
}  // namespace

void Placement::Fit::insert(Machine* m) {
  const auto at = std::lower_bound(machines.begin(), machines.end(), m, goes_before) - machines.begin();
  machines.insert(machines.begin() + at, m);
  neurons.insert(neurons.begin() + at, m->neuron);
}

void Placement::Fit::keep_if(const std::function<bool(const Machine&)>& wanted) {
  std::erase_if(machines, [&](const Machine* m) { return !wanted(*m); });
  neurons.clear();
  for (const Machine* m : machines) neurons.push_back(m->neuron);
}

/// As far as the job's own tasks decide.
bool Placement::zone_open(const Job& j, const Machine& m) const {
  if (j.spec->one_zone && !j.active.empty() && j.tasks_in(m.zone) == 0) return false;
  return !j.spec->spread || j.tasks_in(m.zone) < static_cast<int>((j.spec->tasks + 1) / 2);
}

void Placement::find_fit(const Job& j, Fit& fit, Micros now) const {
  struct Found {
    Machine* machine;
    int warmth;
  };
  std::vector<Found> found;
  fit.tier = 9;
  for (Machine* at : view_.all) {
    Machine& m = *at;
    if (!j.spec->need.fits_in(m.free) || !machine_allowed(j, m, now) || !fits(j, m, m.free)) continue;
    if ((fit.zone >= 0 && m.zone != fit.zone) || !zone_open(j, m)) continue;
    const int tier = dearness(j, m);
    if (tier > fit.tier) continue;
    if (tier < fit.tier) fit.tier = tier, found.clear();
    found.push_back({&m, 0});
  }
  // Among these, where the image is: fetching it takes as long as many tasks run.
  int warm = 0;
  for (Found& f : found) f.warmth = warmth(j, *f.machine), warm = std::max(warm, f.warmth);
  fit.machines.clear(), fit.neurons.clear();
  warm = std::max(warm, fit.least_warmth);
  std::erase_if(found, [&](const Found& f) { return f.warmth < warm; });
  // What stays goes where something stays already: scattered, it would tie every machine to its share, and
  // their rooms would be of no use to the others.
  if (j.spec->shape == Shape::service &&
      std::any_of(found.begin(), found.end(), [](const Found& f) { return f.machine->load().stays; }))
    std::erase_if(found, [](const Found& f) { return !f.machine->load().stays; });
  for (const Found& f : found) fit.machines.push_back(f.machine);
  std::sort(fit.machines.begin(), fit.machines.end(), goes_before);
  for (const Machine* m : fit.machines) fit.neurons.push_back(m->neuron);
}

bool Placement::place_one(Job& j, std::uint32_t index, std::uint64_t attempt, bool cheap_only, Micros now,
                          Fit& fit) {
  if (!quota_.within_limit(j, 1)) return false;
  // An old attempt is still somewhere.
  if (!view_.strays.empty() && view_.strays.contains({j.id, index})) return false;
  if (fit.machines.empty()) {
    // In vain for all jobs alike, until there is more room. Zones and machines that one job avoids are its
    // own.
    const bool alike = !j.spec->spread && !j.spec->one_zone && j.bad_machines.empty() && fit.zone < 0 &&
                       fit.least_warmth == 0 && !j.any_room;
    auto& room = j.kind->second.room[static_cast<std::size_t>(j.rank)];
    auto& cheap = j.kind->second.cheap_room[static_cast<std::size_t>(j.rank)];
    const auto gains = view_.gains_for(j.kind->first);
    const bool in_vain = room.holds(gains, j.spec->need) || (cheap_only && cheap.holds(gains, j.spec->need));
    if (in_vain && !j.any_room) return false;
    find_fit(j, fit, now);
    const bool none = fit.machines.empty();
    if (alike && none) room.note(gains, j.spec->need);
    if (alike && !none && fit.tier > 0) cheap.note(gains, j.spec->need);
    if (none) return false;
  }
  if (cheap_only && fit.tier > 0) return false;
  const std::size_t chosen = rnn_.choose(fit.neurons);
  Machine& m = *fit.machines[chosen];
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("place {}/{} try {} on {} q {:.4f} of {} with room", j.id, index, attempt, m.record.id,
                  rnn_.q(m.neuron), fit.machines.size());
  Placed p;
  p.job = &j;
  p.job_id = j.id;
  p.index = index;
  p.attempt = attempt;
  p.need = j.spec->need;
  p.team = j.spec->team;
  p.started = now;
  view_.add(m, std::move(p));
  fit.machines.erase(fit.machines.begin() + static_cast<std::ptrdiff_t>(chosen));
  fit.neurons.erase(fit.neurons.begin() + static_cast<std::ptrdiff_t>(chosen));
  if (fits(j, m, m.free)) fit.insert(&m);
  if (j.spec->spread || j.spec->one_zone) fit.keep_if([&](const Machine& o) { return zone_open(j, o); });
  return true;
}

/// How many tasks of the job `room` holds.
std::int64_t Placement::slots(const Job& j, const Machine& m, Resources room) const {
  if (!fits(j, m, room)) return 0;
  return j.spec->need.copies_that_fit(room, j.spec->tasks);
}

/// The zones in which a gang that needs one could start, given the room that `room_of` tells of each machine:
/// the one with the least to spare first, so that the other stays open for a larger gang. A single -1 if any
/// will do.
std::vector<int> Placement::gang_zones(const Job& j, Micros now,
                                       const std::function<Resources(const Machine&)>& room_of) const {
  std::map<std::string, std::pair<int, std::int64_t>> by_name;
  for (const Machine* m : view_.all)
    if (machine_allowed(j, *m, now) && (m->spot || j.to_spot_until <= now)) {
      auto& [zone, n] = by_name[j.spec->one_zone ? m->record.zone : ""];
      zone = j.spec->one_zone ? m->zone : -1;
      n += slots(j, *m, room_of(*m));
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

bool Placement::place_gang(Job& j, Micros now, int least_warmth) {
  // Old attempts must be gone before the new one starts.
  if (!j.active.empty() || !quota_.within_limit(j, j.spec->tasks)) return false;
  // In vain for gangs alike that are as large. One that goes to spot machines looks for less than they do.
  auto& tried = j.kind->second.gang_room[static_cast<std::size_t>(j.rank)];
  const auto gains = view_.gains_for(j.kind->first);
  if (!j.any_room && tried.holds(gains, j.spec->need, j.spec->tasks)) return false;
  const auto zones = gang_zones(j, now, [&](const Machine& m) {
    return least_warmth == 0 || warmth(j, m) >= least_warmth ? m.free : Resources{};
  });
  if (zones.empty()) {
    if (j.bad_machines.empty() && j.to_spot_until <= now && least_warmth == 0 && !j.any_room)
      tried.note(gains, j.spec->need, j.spec->tasks);
    return false;
  }
  const std::uint64_t attempt = (epoch_ << kEpochShift) + attempts_ + 1;
  j.gang_attempt = attempt;
  if (j.began == 0) j.began = now;
  Fit fit;
  fit.zone = zones.front();
  fit.least_warmth = least_warmth;
  for (std::uint32_t i = 0; i < j.spec->tasks; ++i) {
    if (j.done.test(i)) continue;
    if (place_one(j, i, attempt, false, now, fit)) continue;
    // All or none.
    j.gang_attempt = 0;
    const auto active = j.active;
    for (const auto& [index, m] : active)
      view_.drop(*m, m->tasks.find({j.id, index}), now, Freed::never_sent);
    return false;
  }
  ++attempts_;
  j.to_spot_until = 0;
  return true;
}

/// A gang that saves, runs whole on ordinary machines and has some time to go: what is left costs less on
/// spot machines than fetching the image again and the repeated start.
bool Placement::worth_spot(const Job& j, Micros now) const {
  if (j.spec->shape != Shape::gang || !j.spec->spot || j.spec->checkpoint_interval == 0 ||
      j.spec->need.gpus == 0)
    return false;
  if (j.cancelled || j.finished || j.committing || j.active.size() != j.spec->tasks) return false;
  if (now - j.moved < kMoveAgain && j.moved > 0) return false;
  bool ordinary = false;
  for (const auto& [index, m] : j.active) {
    auto p = m->tasks.find({j.id, index});
    if (p == m->tasks.end() || p->second.phase != Phase::running || p->second.halting) return false;
    ordinary = ordinary || !m->spot;
  }
  const Micros elapsed = j.began > 0 ? now - j.began : 0;
  if (!ordinary) return false;
  // Owners guess too low as often as too high.
  const Micros left = std::max(j.spec->estimate - elapsed, elapsed / 3);
  // Not if the move may cost what is expected of it.
  for (const auto& o : platform_.objectives)
    if (o.kind == "finished" && o.job_class == j.spec->job_class) {
      const Micros spare = j.ready + o.time_limit - now - left;
      if (spare > 0 && spare < left / 2 + kMoveTime * 2) return false;
    }
  return left > kWorthMoving;
}

/// Machines with GPUs cost several times as much when they aren't spot ones. When some of those are left
/// over, a gang saves, stops and goes on there; its ordinary machines can be given back.
void Placement::move_to_spot(Micros now) {
  for (auto& [id, j] : view_.jobs) {
    if (!worth_spot(*j, now)) continue;
    const auto zones = gang_zones(*j, now, [](const Machine& m) { return m.spot ? m.free : Resources{}; });
    if (zones.empty()) continue;
    spdlog::info("gang {} goes on on spot machines", j->id);
    j->moved = now;
    j->to_spot_until = now + kMoveTime;
    view_.stop_gang(*j, j->spec->checkpoint_duration);
    return;
  }
}

/// Stops lower ranks on as many machines of one zone as the whole gang needs, or on none.
bool Placement::make_gang_room(Job& j, Micros now, int least_warmth) {
  if (!j.active.empty() || !quota_.within_limit(j, j.spec->tasks)) return false;
  auto& tried = j.kind->second.gang_to_stop[static_cast<std::size_t>(j.rank)];
  if (tried.holds(view_.changes, j.spec->need, j.spec->tasks)) return false;
  auto below = [&](const Placed& p) { return p.job && p.job->rank < j.rank; };
  auto room_of = [&](const Machine& m) {
    if (least_warmth > 0 && warmth(j, m) < least_warmth) return Resources{};
    Resources room = m.free;
    if (const auto& load = m.load(); !load.halting && (!load.any || load.lowest >= j.rank)) return room;
    for (const auto& [key, p] : m.tasks)
      if (p.halting || below(p)) room += p.need;
    return room;
  };
  const auto zones = gang_zones(j, now, room_of);
  if (zones.empty()) {
    if (j.bad_machines.empty() && j.to_spot_until <= now && least_warmth == 0)
      tried.note(view_.changes, j.spec->need, j.spec->tasks);
    return false;
  }
  struct Choice {
    Machine* machine;
    std::int64_t slots;
    double loss;
  };
  std::vector<Choice> choices;
  for (Machine* at : view_.all) {
    Machine& m = *at;
    if (!machine_allowed(j, m, now) || (j.spec->one_zone && m.zone != zones.front())) continue;
    const auto n = slots(j, m, room_of(m));
    double loss = 0;
    for (const auto& [key, p] : m.tasks)
      if (!p.halting && below(p)) loss += to_seconds(now - p.started) * static_cast<double>(p.need.cpus);
    if (n > 0) choices.push_back({&m, n, loss});
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
  std::int64_t missing = j.spec->tasks;
  for (const auto& c : choices) {
    if (missing <= 0) break;
    Machine& m = *c.machine;
    missing -= c.slots;
    m.held_for = j.rank;
    m.held_until = now + kHoldRoom;
    for (auto& [key, p] : m.tasks) {
      if (slots(j, m, m.free) >= c.slots || p.halting || !below(p)) continue;
      const Micros grace = p.job->spec->checkpoint_interval > 0 ? p.job->spec->checkpoint_duration : 0;
      if (p.job->spec->shape == Shape::gang)
        view_.stop_gang(*p.job, grace);
      else
        view_.halt(p, grace);
    }
  }
  return true;
}

Placement::Room Placement::make_room(Job& j, Micros now, int least_warmth) {
  std::int64_t missing = j.waiting();
  // What is unseen counts against the guarantee too: until it is seen nobody borrows.
  const bool guaranteed = view_.rebuilt && quota_.within_guarantee(j);
  if (guaranteed && j.rank < Rank::high) {  // others' work is stopped for the guaranteed part only
    const auto& g = quota_.team(j.spec->team)->guaranteed;
    const auto& use = view_.team_use[j.spec->team];
    missing = std::min(missing, j.spec->need.gpus > 0 ? (g.gpus - use.gpus) / j.spec->need.gpus
                                                      : (g.cpus - use.cpus) / j.spec->need.cpus);
  }
  if (!quota_.within_limit(j, 1)) return Room::none;
  const bool alike =
      !j.spec->spread && !j.spec->one_zone && j.bad_machines.empty() && !guaranteed && least_warmth == 0;
  auto& tried = j.kind->second.to_stop[static_cast<std::size_t>(j.rank)];
  if (!guaranteed && tried.holds(view_.changes, j.spec->need)) return Room::none;
  Machine* best = nullptr;
  std::vector<Placed*> best_victims;
  double best_loss = 0;
  for (Machine* at : view_.all) {
    Machine& m = *at;
    const auto& load = m.load();
    const bool can_stop = load.any && (load.lowest < j.rank || guaranteed);
    if ((!can_stop && !load.halting) || !machine_allowed(j, m, now) || !zone_open(j, m)) continue;
    if (least_warmth > 0 && warmth(j, m) < least_warmth) continue;
    Resources coming = m.free;
    if (load.halting) {
      for (const auto& [key, p] : m.tasks)
        if (p.halting) coming += p.need;
      // room that is already on its way
      while (missing > 0 && fits(j, m, coming)) coming -= j.spec->need, --missing;
      if (missing <= 0) return Room::coming;
    }
    if (!can_stop) continue;
    std::vector<Placed*> low;
    for (auto& [key, p] : m.tasks)
      if (p.job && !p.halting && (p.job->rank < j.rank || (guaranteed && quota_.borrowed(j, p))))
        low.push_back(&p);
    std::sort(low.begin(), low.end(), [](const Placed* a, const Placed* b) {
      return std::pair{a->job->rank, -a->started} < std::pair{b->job->rank, -b->started};
    });
    std::vector<Placed*> victims;
    double loss = 0;
    for (Placed* p : low) {
      if (fits(j, m, coming)) break;
      coming += p->need;
      victims.push_back(p);
      loss += to_seconds(now - p->started) * static_cast<double>(p->need.cpus + 8 * p->need.gpus);
    }
    // The same test as for placing: else tasks are stopped for room that is then refused, again and again.
    if (victims.empty() || !fits(j, m, coming)) continue;
    if (!best || loss < best_loss) best = &m, best_victims = victims, best_loss = loss;
  }
  if (!best) {
    if (alike) tried.note(view_.changes, j.spec->need);
    return Room::none;
  }
  best->held_for = j.rank;
  best->held_until = now + kHoldRoom;
  for (Placed* p : best_victims) {
    spdlog::debug("preempt {}/{} on {} for {}", p->job_id, p->index, best->record.id, j.id);
    const Micros grace = p->job->spec->checkpoint_interval > 0 ? p->job->spec->checkpoint_duration : 0;
    if (p->job->spec->shape == Shape::gang)
      view_.stop_gang(*p->job, grace);
    else
      view_.halt(*p, grace);
  }
  return Room::made;
}

/// A gang: placed whole, or lower ranks stopped for it.
bool Placement::place_or_make_room(Job& j, Micros now, int least_warmth) {
  if (place_gang(j, now, least_warmth) || !j.active.empty()) return true;
  return j.rank > Rank::low && make_gang_room(j, now, least_warmth);
}

bool Placement::place_all(Micros now, std::uint64_t most) {
  if (attempts_ >= kAttemptsPerEpoch) return true;  // nothing more can be started before the next epoch
  const std::uint64_t stop = std::min(attempts_ + most, kAttemptsPerEpoch);
  look_for_unseen();
  for (Job* j : ordered_jobs(now)) {
    if (attempts_ >= stop) return false;
    note_wait(*j, now);
    if (!place_allowed(*j) || now < j->not_before) continue;
    if (j->spec->shape == Shape::gang) {
      if (image_first(*j) && place_or_make_room(*j, now, kWarm)) continue;
      if (!place_or_make_room(*j, now, 0) && j->rank > Rank::low && j->spec->tasks == 1)
        make_room(*j, now, 0);  // of what others borrowed
      continue;
    }
    auto place = [&](bool cheap_only, int least_warmth = 0) {  // true: all that waits, or enough for one pass
      Fit fit;
      fit.least_warmth = least_warmth;
      while (auto index = next_task(*j)) {
        if (!place_one(*j, *index, (epoch_ << kEpochShift) + attempts_ + 1, cheap_only, now, fit))
          return false;
        if (++attempts_ >= stop) return true;
      }
      return true;
    };
    // Production rather displaces lower ranks than stay on a dear machine. What is done soon takes dear room
    // that is there anyway: displaced work is lost.
    const bool may_displace =
        rank_now(*j, now) >= Rank::high || (view_.rebuilt && quota_.within_guarantee(*j));
    const bool stays = j->rank == Rank::production;
    auto room = [&](int least_warmth) {  // what makes way for it now, or has begun to before
      Room last = Room::made, any = Room::none;
      for (std::uint32_t i = 0; i < j->waiting() && i < 8 && last == Room::made; ++i)
        if (last = make_room(*j, now, least_warmth); last != Room::none) any = std::max(any, last);
      return any;
    };
    if (image_first(*j) && (place(stays, kWarm) || room(kWarm) != Room::none)) continue;
    if (place(stays) || !may_displace) continue;
    const bool coming = room(0) == Room::made;
    if (!coming && stays && !await_plain(*j, now)) place(false);
  }
  if (view_.rebuilt) move_to_spot(now);
  return attempts_ < stop;  // the last job may have stopped there
}

}  // namespace aspenwick::place
