// Machines that change shares: empty ones, those that are drained for work of higher rank or that waits for
// long, and those that a share with more work in hand gets.
#include <algorithm>

#include "fleet/provisioner.h"
#include "fleet/provisioner_terms.h"

namespace aspenwick::fleet {
namespace {
constexpr int kDrainsPerTick = 4;
constexpr double kRicher = 4;  // so many times the work in hand of another share
constexpr std::int64_t kFewTasks = 2;
constexpr std::size_t kLevelPart = 100;    // of all machines, at once
constexpr Micros kDrainOn = 10 * kSecond;  // before a drain is over
}  // namespace

// ---------------------------------------------------------------- moving

bool Provisioner::movable(const Room& r, const Want& w) const {
  return !r.booting && !r.touched && r.empty && r.share != w.share &&
         r.idle_ms * kMillisecond >= settings_.move_idle;
}

/// On it runs only what makes way for GPU work.
bool Provisioner::drainable_for_gpu(const Room& r, const Want& w) const {
  return w.demand.need.gpus > 0 && !r.booting && !r.empty && !r.gpu_touched && r.share != w.share &&
         r.top_rank == wire::Rank::low && r.free.gpus == types_[r.type].total.gpus &&
         !draining_.contains(r.id);
}

void Provisioner::take_booting(Plan& plan, Want& w) {
  // A share's earlier claims first: a claim that wandered would send machines where they are not needed.
  for (const bool own : {true, false})
    for (auto& r : plan.rooms) {
      if (w.left == 0) return;
      if (!r.booting || (r.share != -1 && r.share != w.share)) continue;
      auto b = booting_.find(r.id);
      if (own && (b == booting_.end() || b->second.claimed_by != w.share)) continue;
      if (fill(w, r) == 0) continue;
      r.share = w.share;
      if (b != booting_.end()) b->second.claimed_by = w.share;
    }
}

void Provisioner::take_empty(Plan& plan, Want& w) {
  for (auto& r : plan.rooms) {
    if (w.left == 0) return;
    const int from = r.share;
    const bool drain = drainable_for_gpu(r, w);
    if ((!drain && !movable(r, w)) || fill(w, r) == 0) continue;
    if (drain) draining_[r.id] = {w.share, plan.now + kDrainTime};
    plan.actions.emplace_back(Move{r.id, from, w.share, drain, w.demand.rank});
    r.share = w.share;
  }
}

/// A share whose high ranks wait gets machines on which only lower ranks run.
void Provisioner::take_from_lower(Plan& plan, Want& w) {
  if (w.demand.rank < wire::Rank::high || plan.now < next_drain_) return;
  for (int n = 0; n < kDrainsPerTick && w.left > 0; ++n) {
    Room* least = nullptr;
    double least_loss = 0;
    for (auto& r : plan.rooms) {
      if (r.booting || r.share == w.share || r.top_rank >= w.demand.rank || r.empty) continue;
      if (draining_.contains(r.id) || (w.demand.need.gpus == 0 && types_[r.type].total.gpus > 0)) continue;
      if (!suits(w, r.type, r.zone, r.spot) || !w.demand.need.fits_in(types_[r.type].total)) continue;
      // What is stopped for each task that gets room.
      const auto& total = types_[r.type].total;
      const double loss = static_cast<double>(total.cpus - r.free.cpus) /
                          static_cast<double>(std::max(1U, std::min(w.left, rooms_in(w.demand, total))));
      if (!least || loss < least_loss) least = &r, least_loss = loss;
    }
    if (!least) return;
    next_drain_ = plan.now + settings_.drain_every;
    draining_[least->id] = {w.share, plan.now + kDrainTime};
    plan.actions.emplace_back(Move{least->id, least->share, w.share, true, w.demand.rank});
    least->share = w.share;
    least->free = types_[least->type].total;
    fill(w, *least);
    least->touched = true;
  }
}

// ---------------------------------------------------------------- room in other shares

/// Its share leaves room there that it has no use for, and has for a while: between two tasks there is always
/// some. Not beside production, which mostly stays for good: such a machine would take nothing more in vain.
/// (Without these two, compact work on the largest fleet kept fewer deadlines; which of them it was isn't
/// known.) GPUs that are in use would stand idle for a few CPUs beside them.
bool Provisioner::roomy(const Room& r, const Want& w) const {
  if (w.demand.need.gpus == 0 && r.free.gpus < types_[r.type].total.gpus && !only_beside_gpu_work(w))
    return false;
  return w.demand.starved && !r.booting && !r.empty && r.share != w.share && !draining_.contains(r.id) &&
         r.top_rank < wire::Rank::production && r.left_alone && usable(w, r) &&
         w.demand.need.fits_in(r.free) && w.demand.need.fits_in(r.unused);
}

/// Lower ranks make way at once; the same or higher ones may end, and nothing more is placed there.
void Provisioner::drain_roomy(Plan& plan, Room& r, const Want& w) {
  const bool lower = r.top_rank < w.demand.rank;
  draining_[r.id] = {w.share, plan.now + (lower ? kDrainTime : kRunEmpty)};
  plan.actions.emplace_back(Move{r.id, r.share, w.share, true, lower ? w.demand.rank : wire::Rank::low});
  r.share = w.share;
  r.free = types_[r.type].total;
  r.touched = true;
}

/// A job that was passed over for long while another share has room beside what runs on its machines: the one
/// with the least on it makes way. Else it would wait as long as that share has anything to do.
void Provisioner::take_roomy(Plan& plan, Want& w) {
  if (!w.demand.starved) return;
  while (w.left > 0) {
    Room* best = nullptr;
    const auto key = [&](const Room& r) {
      return std::pair{r.top_rank, types_[r.type].total.cpus - r.free.cpus};
    };
    for (auto& r : plan.rooms)
      if (roomy(r, w) && (!best || key(r) < key(*best))) best = &r;
    if (!best) return;
    w.beside_room = true;
    const auto left = w.left;
    drain_roomy(plan, *best, w);
    if (fill(w, *best) == 0) return;
    // What runs there may take long: one new machine, if the cloud has one, may be there sooner.
    if (w.left == 0) w.left = std::min(left, 1U);
    if (w.left <= 1) return;
  }
}

/// What runs there may take longer than a drain lasts.
void Provisioner::keep_draining(Plan& plan, const Want& w) {
  if (!w.demand.starved) return;
  for (auto& [id, d] : draining_) {
    if (d.first != w.share || d.second - plan.now > kDrainOn) continue;
    const auto r =
        std::find_if(plan.rooms.begin(), plan.rooms.end(), [&m = id](const Room& o) { return o.id == m; });
    if (r == plan.rooms.end() || r->home < 0 || r->home == w.share || !suits(w, r->type, r->zone, r->spot))
      continue;
    d.second = plan.now + kRunEmpty;
    plan.actions.emplace_back(Move{id, r->home, w.share, true, wire::Rank::low});
  }
}

/// No other machine could ever hold it.
bool Provisioner::only_beside_gpu_work(const Want& w) const {
  for (std::size_t t = 0; t < types_.size(); ++t)
    if (!gpu_wanted_[t] && rooms_in(w.demand, types_[t].total) > 0 &&
        (t >= 64 || w.demand.type_mask >> t & 1))
      return false;
  return true;
}

// ---------------------------------------------------------------- levelling

/// Work that can wait waits in one share while another's is done as soon as it comes: machines that run only
/// such work there take no more of it, and when they are empty they move. Without this a share that was first
/// keeps its machines, since they are hardly ever empty.
void Provisioner::level(Plan& plan) {
  if (settings_.level_above == 0 || plan.now < next_level_) return;
  next_level_ = plan.now + kSecond;
  struct Side {
    double waiting = 0, work = 0, slots = 0;  // task seconds, and tasks that run
    double in_hand() const { return waiting / std::max(1.0, slots); }
    const Want* most = nullptr;
  };
  std::map<int, Side> sides;
  for (const Want& w : plan.wants) {
    if (!can_wait(w.demand) || w.demand.need.gpus > 0) continue;
    Side& s = sides[w.share];
    s.waiting += w.demand.waiting * run_time(w.demand);
    s.work += work_in_hand(w.demand);
    s.slots += w.demand.running;
    if (w.demand.waiting > 0 && (!s.most || w.demand.waiting > s.most->demand.waiting)) s.most = &w;
  }
  const auto poorest = std::max_element(sides.begin(), sides.end(), [](const auto& a, const auto& b) {
    return a.second.in_hand() < b.second.in_hand();
  });
  if (poorest == sides.end() || !poorest->second.most ||
      poorest->second.in_hand() < to_seconds(settings_.level_above))
    return;
  const auto& [to, poor] = *poorest;
  const Side* rich = nullptr;
  int from = -1;
  for (const auto& [share, side] : sides)
    if (share != to && side.in_hand() * kRicher < poor.in_hand() && (!rich || side.slots > rich->slots))
      rich = &side, from = share;
  if (!rich) return;
  // As many as would make the work in hand the same, but never more than half of what it has.
  const Want& w = *poor.most;
  double tasks = std::min((poor.work * rich->slots - rich->work * poor.slots) / (poor.work + rich->work),
                          rich->slots / 2);
  const auto used = [&](const Room& r) { return types_[r.type].total.cpus - r.free.cpus; };
  std::vector<Room*> rooms;
  for (Room& r : plan.rooms) {
    const auto n = rooms_in(w.demand, types_[r.type].total);
    if (draining_.contains(r.id) && r.share == to) tasks -= n;
    if (r.share != from || r.booting || r.empty || draining_.contains(r.id) || n == 0 ||
        r.top_rank != wire::Rank::low || types_[r.type].total.gpus > 0 || !suits(w, r.type, r.zone, r.spot))
      continue;
    // With many tasks on it the last would end too late, and its room is idle until then.
    if (used(r) > std::max(types_[r.type].total.cpus / 3, kFewTasks * w.demand.need.cpus)) continue;
    rooms.push_back(&r);
  }
  std::stable_sort(rooms.begin(), rooms.end(),
                   [&](const Room* a, const Room* b) { return used(*a) < used(*b); });
  std::size_t most = 1 + plan.rooms.size() / kLevelPart;
  for (Room* r : rooms) {
    const auto n = rooms_in(w.demand, types_[r->type].total);
    if (tasks < n || most-- == 0) return;
    tasks -= n;
    draining_[r->id] = {to, plan.now + kRunEmpty};
    plan.actions.emplace_back(Move{r->id, from, to, true, wire::Rank::low});
    r->share = to, r->touched = true;
  }
}

}  // namespace aspenwick::fleet
