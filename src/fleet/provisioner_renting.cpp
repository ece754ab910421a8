// What is rented, and for whom: offers, gangs, and what may wait instead.
#include <algorithm>
#include <cmath>

#include "fleet/provisioner.h"
#include "fleet/provisioner_terms.h"

namespace aspenwick::fleet {
namespace {
constexpr int kRentsPerTick = 3;
constexpr int kMostAtOnce = 50;  // the cloud's bound on one request
constexpr std::size_t kAskedAtOnce = 6;
constexpr Micros kBootsIn = 20 * kSecond;  // a machine that boots is seldom up sooner
constexpr std::size_t kManyBooting = 40;
constexpr double kLargerWorth = 0.02;  // for each doubling
}  // namespace

// ---------------------------------------------------------------- renting

/// Offers that may be asked now, the cheapest per task first.
std::vector<Provisioner::Offer> Provisioner::offers(const Want& w, Micros now,
                                                    const std::string& only_zone) const {
  std::vector<Offer> all;
  for (std::size_t t = 0; t < types_.size(); ++t) {
    const auto fits = rooms_in(w.demand, types_[t].total);
    if (fits == 0) continue;
    if (w.demand.need.gpus == 0 && types_[t].total.gpus > 0 && gpu_wanted_[t] && !only_beside_gpu_work(w))
      continue;
    auto sp = spot_price_.find(types_[t].name);
    const double spot_price = sp == spot_price_.end() ? types_[t].spot_price : sp->second;
    for (const auto& zone : types_[t].zones)
      for (const bool spot : {true, false}) {
        if (!suits(w, t, zone, spot) || (!only_zone.empty() && zone != only_zone)) continue;
        std::uint32_t use = std::min(w.left, fits);
        if (w.demand.max_per_zone > 0) use = std::min(use, w.demand.max_per_zone);
        double cost = (spot ? spot_price : types_[t].price) / std::max(1U, use);
        // Each machine that joins takes a change: while many are on their way, larger ones are sooner of use.
        if (booting_.size() > kManyBooting) cost /= 1 + kLargerWorth * std::log2(std::max(1U, use));
        all.push_back({t, zone, spot, cost, fits});
      }
  }
  std::stable_sort(all.begin(), all.end(), [](const Offer& a, const Offer& b) { return a.cost < b.cost; });
  std::erase_if(all, [&](const Offer& o) {
    auto refused = refused_until_.find(offer(types_[o.type].name, o.zone, o.spot));
    return refused != refused_until_.end() && now < refused->second;
  });
  return all;
}

bool Provisioner::can_wait(const share::Demand& d) {
  return d.shape == wire::Shape::array && d.rank < wire::Rank::high;
}

/// How many more tasks should find room. Work that can wait runs in several rounds on fewer machines; dear
/// ones are for what the others, earliest first, would not do in time. (Each job by itself would want several
/// times as much: those that must be done later use the machines of those before them.)
std::uint32_t Provisioner::wanted(const Plan& plan, const Want& w, bool dear) const {
  if (!can_wait(w.demand)) return w.left;
  auto b = plan.backlogs.find(w.share);
  if (b == plan.backlogs.end()) return 0;
  const double slack = w.demand.slack_ms / 1e3;
  const double drain = dear ? std::max(15.0, slack * settings_.slack_part)
                            : std::clamp(slack * 0.5, 15.0, to_seconds(settings_.patience));
  double slots = std::ceil(b->second.work / drain) - b->second.slots;
  if (w.beside_room) slots = std::max(slots, 1.0);
  return static_cast<std::uint32_t>(std::clamp(slots, 0.0, static_cast<double>(w.left)));
}

void Provisioner::rent(Plan& plan, const Offer& o, int count, Want& w) {
  const Rent rent{o.type, o.zone, o.spot, count, w.share};
  asked_.push_back(rent);
  ++plan.rents;
  plan.actions.emplace_back(rent);
  for (int i = 0; i < count; ++i) {
    Room r;
    r.type = o.type, r.zone = o.zone, r.spot = o.spot, r.booting = true, r.share = w.share;
    r.free = types_[o.type].total;
    fill(w, r);
    plan.rooms.push_back(std::move(r));
  }
}

void Provisioner::rent_for(Plan& plan, Want& w) {
  // The cheapest known price is the measure, whether or not it can be had just now.
  double cheapest = 1e18;
  for (std::size_t t = 0; t < types_.size(); ++t)
    if (const auto fits = rooms_in(w.demand, types_[t].total);
        fits > 0 && (t >= 64 || w.demand.type_mask >> t & 1))
      cheapest = std::min(cheapest, (w.demand.spot ? types_[t].spot_price : types_[t].price) /
                                        std::min(std::max(1U, w.left), fits));
  double low = 0;
  for (const auto& [share, running] : plan.low_running) low += running;
  for (const auto& o : offers(w, plan.now, "")) {
    if (w.left == 0 || plan.rents >= kRentsPerTick || asked_.size() >= kAskedAtOnce) return;
    if (!suits(w, o.type, o.zone, o.spot)) continue;  // its zone may be full by now
    const bool dear = o.cost > cheapest * settings_.dear_factor;
    // Production may have dear machines once it has waited longer than it should: drained machines come
    // sooner than new ones.
    const bool urgent = w.demand.rank >= wire::Rank::production
                            ? w.demand.slack_ms == 0
                            : w.demand.slack_ms < to_seconds(types_[o.type].boot_time) * 1000;
    if (dear && !urgent && !can_wait(w.demand)) continue;
    // It displaces work that can wait long before a dear machine has booted; that work has its own measure.
    if (dear && w.demand.rank == wire::Rank::high && w.demand.shape == wire::Shape::array &&
        low >= 2.0 * w.left)
      continue;
    std::uint32_t tasks = wanted(plan, w, dear);
    if (w.demand.max_per_zone > 0) {
      auto z = w.zones.find(o.zone);
      tasks = std::min(tasks, w.demand.max_per_zone - (z == w.zones.end() ? 0 : z->second));
    }
    if (tasks == 0) continue;
    const std::uint32_t before = w.fitted;
    rent(plan, o, std::min(kMostAtOnce, static_cast<int>((tasks + o.fits - 1) / o.fits)), w);
    if (can_wait(w.demand)) plan.backlogs[w.share].slots += w.fitted - before;
  }
}

// ---------------------------------------------------------------- gangs

/// A gang runs whole or not at all, and mostly in one zone: machines are moved or rented for it only where
/// all of it will fit, or shares would pass machines back and forth that help neither.
void Provisioner::serve_gang(Plan& plan, Want& w) {
  struct Choice {
    std::string zone;
    std::uint32_t own = 0, coming = 0, move = 0;
  };
  std::vector<Choice> choices;
  if (!w.demand.one_zone) choices.push_back({});
  for (std::size_t z = 0; w.demand.one_zone && z < platform_.zones.size(); ++z)
    choices.push_back({platform_.zones[z]});
  for (auto& c : choices) {
    // What runs there may take long: only where the cloud has no more machines.
    const bool roomy_too = w.demand.starved && offers(w, plan.now, c.zone).empty();
    for (const auto& r : plan.rooms) {
      if ((!c.zone.empty() && r.zone != c.zone) || !usable(w, r)) continue;
      const auto n = rooms_in(w.demand, r.free);
      if (r.booting)
        c.coming += r.share == -1 || r.share == w.share ? n : 0;
      else if (r.share == w.share)
        c.own += n;
      else if (movable(r, w) || drainable_for_gpu(r, w))
        c.move += n;
      else if (roomy_too && roomy(r, w))
        c.move += rooms_in(w.demand, types_[r.type].total);
    }
  }
  const std::uint32_t need = w.left;
  auto missing = [need](std::uint32_t have) { return have >= need ? 0 : need - have; };
  const Choice* best = nullptr;
  std::vector<Offer> best_offers;
  std::tuple<std::uint32_t, std::uint32_t, std::uint32_t> best_rank{};
  for (const auto& c : choices) {
    const auto to_rent = missing(c.own + c.move + c.coming);
    auto can = offers(w, plan.now, c.zone);
    if (to_rent > 0 && can.empty()) continue;
    const std::tuple rank{to_rent, missing(c.own + c.move), missing(c.own)};
    if (best && rank >= best_rank) continue;
    best = &c, best_rank = rank, best_offers = std::move(can);
  }
  if (!best) return;
  const std::string zone = best->zone;
  const auto to_rent = std::get<0>(best_rank);
  const bool move_now = std::get<1>(best_rank) == 0;
  for (auto& r : plan.rooms)
    if ((zone.empty() || r.zone == zone) && r.share == w.share && !r.booting) fill(w, r);
  for (auto& r : plan.rooms) {
    if (w.left == 0) return;
    if (!zone.empty() && r.zone != zone) continue;
    const int from = r.share;
    if (move_now && best_offers.empty() && roomy(r, w) && !drainable_for_gpu(r, w)) {
      drain_roomy(plan, r, w);
      fill(w, r);
      continue;
    }
    const bool drain = drainable_for_gpu(r, w);
    if ((!drain && !movable(r, w)) || fill(w, r) == 0) continue;
    if (!move_now) continue;  // kept for it, and moved when the rest has come
    if (drain) draining_[r.id] = {w.share, plan.now + kDrainTime};
    plan.actions.emplace_back(Move{r.id, from, w.share, drain, w.demand.rank});
    r.share = w.share;
  }
  for (auto& r : plan.rooms) {
    if (!r.booting || (!zone.empty() && r.zone != zone) || (r.share != -1 && r.share != w.share)) continue;
    if (fill(w, r) == 0) continue;
    r.share = w.share;
    if (auto b = booting_.find(r.id); b != booting_.end()) b->second.claimed_by = w.share;
  }
  if (to_rent == 0 || best_offers.empty() || plan.rents >= kRentsPerTick || asked_.size() >= kAskedAtOnce)
    return;
  const Offer& o = best_offers.front();
  rent(plan, o, std::min(kMostAtOnce, static_cast<int>((w.left + o.fits - 1) / o.fits)), w);
}

void Provisioner::serve(Plan& plan, Want& w) {
  if (w.demand.shape == wire::Shape::gang) {
    keep_draining(plan, w);
    return w.left > 0 ? serve_gang(plan, w) : void();
  }
  // For what is urgent a machine that boots comes too late: machines on which lower ranks run make way, and
  // the new ones are for those.
  const bool urgent = w.demand.rank >= wire::Rank::high && w.demand.slack_ms < kBootsIn / kMillisecond;
  if (!urgent) take_booting(plan, w);
  take_empty(plan, w);
  take_from_lower(plan, w);
  keep_draining(plan, w);
  take_roomy(plan, w);
  if (urgent) take_booting(plan, w);
  if (can_wait(w.demand)) {
    // What runs of work that can wait makes room soon, and the earliest takes it first, whichever job it was.
    auto [it, first] = plan.backlogs.try_emplace(w.share);
    if (first) it->second.slots = plan.low_running[w.share];
    it->second.work += work_in_hand(w.demand);
    it->second.slots += w.fitted;
  }
  rent_for(plan, w);
}

}  // namespace aspenwick::fleet
