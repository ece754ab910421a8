#include "fleet/provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace aspenwick::fleet {
namespace {
constexpr Micros kDeleteAgain = 4 * kSecond;
constexpr int kRentsPerTick = 3;
constexpr int kMostAtOnce = 50;  // the cloud's bound on one request
constexpr std::size_t kAskedAtOnce = 6;
constexpr int kDrainsPerTick = 4;
constexpr Micros kBootsIn = 20 * kSecond;  // a machine that boots is seldom up sooner
constexpr std::size_t kManyBooting = 40;
constexpr double kLargerWorth = 0.02;  // for each doubling
constexpr Micros kOfferAfter = 6 * kSecond;
constexpr Micros kDrainTime = 15 * kSecond;
constexpr std::int64_t kMostRooms = 1'000'000;
constexpr double kUnknownRun = 30;          // seconds
constexpr Micros kRunEmpty = 40 * kSecond;  // as long as the owner keeps it from taking more
constexpr double kRicher = 4;               // so many times the work in hand of another share
constexpr std::int64_t kFewTasks = 2;
constexpr std::size_t kLevelPart = 100;    // of all machines, at once
constexpr Micros kDrainOn = 10 * kSecond;  // before a drain is over
constexpr Micros kLeftAlone = 4 * kSecond;

std::string offer(const std::string& type, const std::string& zone, bool spot) {
  return type + " " + zone + (spot ? " spot" : "");
}

/// Of one task, in seconds.
double run_time(const share::Demand& d) { return d.guess_ms > 0 ? d.guess_ms / 1e3 : kUnknownRun; }

/// Task seconds still to come, with half of what runs.
double work_in_hand(const share::Demand& d) { return (d.waiting + 0.5 * d.running) * run_time(d); }
}  // namespace

std::size_t Provisioner::type_index(const std::string& name) const {
  std::size_t i = 0;
  while (i < types_.size() && types_[i].name != name) ++i;
  return i;
}

void Provisioner::prices(const std::vector<wire::MachineType>& current) {
  for (const auto& t : current) spot_price_[t.name] = t.spot_price;
}

void Provisioner::listed(const std::vector<wire::CloudMachine>& machines,
                         const std::map<std::string, MachineRecord>& records, Micros now) {
  std::set<std::string> seen;
  for (const auto& c : machines) {
    seen.insert(c.id);
    if (c.state == "failed") failed_.try_emplace(c.id, now);
    if (records.contains(c.id) || deleting_.contains(c.id)) continue;
    auto [it, added] = booting_.try_emplace(c.id);
    Booting& b = it->second;
    if (added) {
      b.type = type_index(c.type), b.zone = c.zone, b.spot = c.spot;
      b.rented = now - c.age;
    }
    b.was_listed = true;
    b.last_listed = now;
  }
  // Listed once, it stays listed until it is gone; a list may be older than the one before.
  std::erase_if(booting_, [&](const auto& e) {
    if (seen.contains(e.first)) return false;
    const Micros quiet = now - (e.second.was_listed ? e.second.last_listed : e.second.rented);
    return quiet > 4 * platform_.list_lag;
  });
  std::erase_if(failed_, [&](const auto& e) { return !seen.contains(e.first); });
  std::erase_if(deleting_, [&](const auto& e) {
    return now - e.second > 6 * platform_.list_lag && !seen.contains(e.first);
  });
}

void Provisioner::rented(const Rent& rent, int status, const std::vector<std::string>& ids, Micros now) {
  if (auto it = std::find(asked_.begin(), asked_.end(), rent); it != asked_.end()) asked_.erase(it);
  const auto key = offer(types_[rent.type].name, rent.zone, rent.spot);
  if (status != 200 || static_cast<int>(ids.size()) < rent.count)
    refused_until_[key] = now + settings_.refused_for;
  for (const auto& id : ids) {
    Booting b;
    b.type = rent.type, b.zone = rent.zone, b.spot = rent.spot, b.rented = now, b.claimed_by = rent.share;
    booting_.emplace(id, std::move(b));
  }
  spdlog::info("rent {} x{}: {} ({} machines)", key, rent.count, status, ids.size());
}

void Provisioner::deleted(const std::vector<std::string>& ids, bool ok, Micros) {
  for (const auto& id : ids) {
    if (!ok) {
      deleting_.erase(id);
      continue;
    }
    booting_.erase(id);
    failed_.erase(id);
  }
}

int Provisioner::share_for(const std::string& machine, const std::string&, int shares) {
  auto it = booting_.find(machine);
  if (it != booting_.end() && it->second.claimed_by >= 0) return it->second.claimed_by;
  // A share without a team has no use for it.
  const int served = std::clamp(static_cast<int>(platform_.teams.size()), 1, std::max(1, shares));
  return turn_++ % served;
}

std::uint32_t Provisioner::rooms_in(const share::Demand& d, const wire::Resources& room) const {
  return static_cast<std::uint32_t>(d.need.times_in(room, kMostRooms));
}

bool Provisioner::suits(const Want& w, std::size_t type, const std::string& zone, bool spot) const {
  const auto& d = w.demand;
  if (type >= types_.size() || (type < 64 && !(d.types >> type & 1))) return false;
  if (spot && !d.spot) return false;
  const auto z = std::find(platform_.zones.begin(), platform_.zones.end(), zone) - platform_.zones.begin();
  if (d.zone != 255 && z != d.zone) return false;
  if (z < 32 && (d.closed_zones >> z & 1)) return false;
  if (d.per_zone > 0) {
    auto it = w.zones.find(zone);
    if (it != w.zones.end() && it->second >= d.per_zone) return false;
  }
  return true;
}

bool Provisioner::usable(const Want& w, const Room& r) const {
  if (!suits(w, r.type, r.zone, r.spot)) return false;
  if (w.demand.plain_only && types_[r.type].total.gpus > 0) return false;  // as its owner does
  // As the owner does: only work that can make way shares a machine with GPU work.
  return w.demand.need.gpus > 0 || r.type >= gpu_wanted_.size() || !gpu_wanted_[r.type] ||
         w.demand.any_room ||
         (w.demand.rank == wire::Rank::low && w.demand.shape == wire::Shape::array && !r.booting);
}

std::uint32_t Provisioner::fill(Want& w, Room& r) const {
  std::uint32_t n = 0;
  while (w.left > 0 && usable(w, r) && w.demand.need.fits_in(r.free)) {
    if (w.demand.need.gpus > 0) r.gpu_touched = true;
    r.free -= w.demand.need;
    r.touched = true;
    --w.left, ++w.fitted, ++n;
    if (w.demand.per_zone > 0) ++w.zones[r.zone];
  }
  return n;
}

// ---------------------------------------------------------------- the view

void Provisioner::condemn_lost(Plan& plan, const std::map<std::string, MachineRecord>& records) {
  Delete gone;
  auto condemn = [&](const std::string& id) {
    auto [it, added] = deleting_.try_emplace(id, plan.now);
    if (!added && plan.now - it->second < kDeleteAgain) return;
    it->second = plan.now;
    if (gone.machines.size() < 50) gone.machines.push_back(id);
  };
  for (const auto& [id, m] : records)
    if (m.share < 0) condemn(id);
  // What has a record is up, whatever an answer of the cloud says: it must not be taken for a straggler.
  std::erase_if(booting_, [&](const auto& b) { return records.contains(b.first); });
  for (const auto& [id, b] : booting_) {
    const Micros boot = b.type < types_.size() ? types_[b.type].boot : 0;
    const auto limit = static_cast<Micros>(settings_.straggler_factor * static_cast<double>(boot)) +
                       settings_.straggler_extra;
    if (plan.now - b.rented > limit || failed_.contains(id)) condemn(id);
  }
  if (!gone.machines.empty()) plan.actions.emplace_back(gone);
}

void Provisioner::gather(Plan& plan, const std::vector<ShareSaid>& shares,
                         const std::map<std::string, MachineRecord>& records) {
  gpu_wanted_.resize(types_.size());
  for (const auto& s : shares)
    for (const auto& d : s.demands) {
      plan.wants.push_back({s.share, d, d.waiting, 0, false, {}});
      if (can_wait(d)) plan.low_running[s.share] += d.running;
      for (std::size_t t = 0; t < types_.size() && t < 64; ++t)
        if (d.need.gpus > 0 && (d.types >> t & 1)) gpu_wanted_[t] = true;
    }
  std::erase_if(draining_, [&](const auto& d) { return plan.now >= d.second.second; });
  for (const auto& s : shares)
    for (const auto& m : s.machines) {
      auto rec = records.find(m.id);
      if (rec == records.end() || rec->second.share != s.share) continue;
      if (m.empty && ((m.lapsed && m.idle_ms * kMillisecond >= settings_.lapsed_after) || m.suspect)) {
        plan.actions.emplace_back(Move{m.id, s.share, -1});
        continue;
      }
      auto given = draining_.find(m.id);
      if (given != draining_.end() && given->second.first == s.share)
        draining_.erase(given), given = draining_.end();
      if (!m.usable && given == draining_.end()) continue;
      Room r;
      r.id = m.id, r.share = s.share, r.type = type_index(rec->second.type), r.zone = rec->second.zone;
      r.spot = rec->second.spot, r.empty = m.empty, r.free = m.free, r.idle_ms = m.idle_ms;
      r.top_rank = m.top_rank;
      if (r.type >= types_.size()) continue;
      const auto& total = types_[r.type].total;
      // What runs there makes way for GPU work: its room is the GPUs' part of the machine.
      if (gpu_wanted_[r.type] && r.top_rank == wire::Rank::low && !r.empty && r.free.gpus == total.gpus)
        r.free = total;
      r.home = s.share;
      // Whatever starts there, it is counted anew.
      auto& left = left_[m.id];
      if (left.seen == 0 || !left.room.fits_in(m.free)) left = {m.free, plan.now, 0};
      left.seen = plan.now;
      r.unused = left.room;
      r.left_alone = plan.now - left.since >= kLeftAlone;
      if (given != draining_.end())  // on its way to another share
        r.share = given->second.first, r.free = total, r.touched = true;
      plan.rooms.push_back(std::move(r));
    }
  std::erase_if(left_, [&](const auto& l) { return l.second.seen != plan.now; });
  for (auto& [id, b] : booting_) {
    if (deleting_.contains(id) || b.type >= types_.size()) continue;
    Room r;
    r.id = id, r.type = b.type, r.zone = b.zone, r.spot = b.spot, r.booting = true;
    r.free = types_[b.type].total;
    plan.rooms.push_back(std::move(r));
  }
  for (const auto& a : asked_)
    for (int i = 0; i < a.count; ++i) {
      Room r;
      r.type = a.type, r.zone = a.zone, r.spot = a.spot, r.booting = true;
      r.free = types_[a.type].total;
      plan.rooms.push_back(std::move(r));
    }
  std::stable_sort(plan.wants.begin(), plan.wants.end(), [](const Want& a, const Want& b) {
    return a.demand.rank != b.demand.rank ? a.demand.rank > b.demand.rank
                                          : a.demand.slack_ms < b.demand.slack_ms;
  });
  std::stable_sort(plan.rooms.begin(), plan.rooms.end(), [](const Room& a, const Room& b) {
    return a.spot != b.spot ? a.spot : a.free.cpus < b.free.cpus;
  });
}

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
  return w.demand.passed_over && !r.booting && !r.empty && r.share != w.share && !draining_.contains(r.id) &&
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
  if (!w.demand.passed_over) return;
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
  if (!w.demand.passed_over) return;
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
    if (!gpu_wanted_[t] && rooms_in(w.demand, types_[t].total) > 0 && (t >= 64 || w.demand.types >> t & 1))
      return false;
  return true;
}

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
        if (w.demand.per_zone > 0) use = std::min(use, w.demand.per_zone);
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
        fits > 0 && (t >= 64 || w.demand.types >> t & 1))
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
                            : w.demand.slack_ms < to_seconds(types_[o.type].boot) * 1000;
    if (dear && !urgent && !can_wait(w.demand)) continue;
    // It displaces work that can wait long before a dear machine has booted; that work has its own measure.
    if (dear && w.demand.rank == wire::Rank::high && w.demand.shape == wire::Shape::array &&
        low >= 2.0 * w.left)
      continue;
    std::uint32_t tasks = wanted(plan, w, dear);
    if (w.demand.per_zone > 0) {
      auto z = w.zones.find(o.zone);
      tasks = std::min(tasks, w.demand.per_zone - (z == w.zones.end() ? 0 : z->second));
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
    const bool roomy_too = w.demand.passed_over && offers(w, plan.now, c.zone).empty();
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

// ---------------------------------------------------------------- giving back

void Provisioner::give_back(Plan& plan) {
  // A dear machine whose share has room enough elsewhere takes no more tasks, and goes back when it is empty.
  for (const auto& r : plan.rooms) {
    if (plan.now < next_gentle_ || r.booting || r.empty || plan.wanting.contains(r.share) ||
        draining_.contains(r.id))
      continue;
    const auto& total = types_[r.type].total;
    if (total.gpus == 0 || gpu_wanted_[r.type] || r.spot || r.top_rank >= wire::Rank::production) continue;
    std::int64_t elsewhere = 0;
    for (const auto& o : plan.rooms)
      if (o.share == r.share && o.id != r.id && !o.booting && !draining_.contains(o.id))
        elsewhere += o.free.cpus;
    if (elsewhere < 2 * (total.cpus - r.free.cpus)) continue;
    next_gentle_ = plan.now + settings_.drain_every;
    draining_[r.id] = {-1, plan.now + kRunEmpty};
    plan.actions.emplace_back(Move{r.id, r.share, -1, true, wire::Rank::low});
  }
  // While ordinary machines of a type are rented, a spot one that is idle for a moment would be missed.
  // Gangs that run on ordinary ones move to it, if their share has it.
  std::map<std::size_t, std::set<int>> ordinary;  // type -> shares that use some
  for (const auto& r : plan.rooms)
    if (!r.spot && !draining_.contains(r.id)) ordinary[r.type].insert(r.booting || r.empty ? -1 : r.share);
  for (const auto& r : plan.rooms) {
    if (r.booting || draining_.contains(r.id)) continue;
    const Micros idle = r.idle_ms * kMillisecond;
    if (gpu_wanted_[r.type]) {
      if (auto o = ordinary.find(r.type);
          r.spot && o != ordinary.end() && idle < 2 * settings_.idle_spot_gpu_after) {
        const int user = *o->second.rbegin();
        if (r.empty && !r.gpu_touched && user >= 0 && !o->second.contains(r.share) && idle >= kOfferAfter)
          plan.actions.emplace_back(Move{r.id, r.share, user});
        continue;
      }
      if (r.gpu_touched || idle < (r.spot ? settings_.idle_spot_gpu_after : settings_.idle_gpu_after) ||
          r.top_rank > wire::Rank::low)
        continue;
      if (!r.empty) draining_[r.id] = {-1, plan.now + kDrainTime};
      plan.actions.emplace_back(Move{r.id, r.share, -1, !r.empty, wire::Rank::normal});
    } else if (!r.touched && r.empty &&
               idle >= (types_[r.type].total.gpus > 0 ? settings_.idle_gpu_after : settings_.idle_after)) {
      plan.actions.emplace_back(Move{r.id, r.share, -1});
    }
  }
}

std::vector<Action> Provisioner::tick(Micros now, const std::vector<ShareSaid>& shares,
                                      const std::map<std::string, MachineRecord>& records) {
  Plan plan;
  plan.now = now;
  condemn_lost(plan, records);
  gather(plan, shares, records);
  // First every share's own room, then machines that come or can be moved, then renting.
  for (auto& w : plan.wants) {
    if (w.demand.shape == wire::Shape::gang) continue;
    for (auto& r : plan.rooms)
      if (r.share == w.share && !r.booting && w.left > 0) fill(w, r);
    if (w.left > 0) plan.wanting.insert(w.share);
  }
  for (auto& w : plan.wants) {
    serve(plan, w);
    if (w.left > 0 && w.demand.rank >= wire::Rank::high)
      spdlog::debug("share {}: no room for {} of {} tasks of rank {}, slack {} ms, closed zones {:b}",
                    w.share, w.left, w.demand.waiting, static_cast<int>(w.demand.rank), w.demand.slack_ms,
                    w.demand.closed_zones);
  }
  level(plan);
  give_back(plan);
  return std::move(plan.actions);
}

}  // namespace aspenwick::fleet
