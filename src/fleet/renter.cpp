#include "fleet/renter.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace aspenwick::fleet {
namespace {
constexpr Micros kDeleteAgain = 4 * kSecond;
constexpr int kRentsPerTick = 2;
std::string offer(const std::string& type, const std::string& zone, bool spot) {
  return type + " " + zone + (spot ? " spot" : "");
}
}  // namespace

std::size_t Renter::type_index(const std::string& name) const {
  std::size_t i = 0;
  while (i < types_.size() && types_[i].name != name) ++i;
  return i;
}

void Renter::prices(const std::vector<wire::MachineType>& current) {
  for (const auto& t : current) spot_price_[t.name] = t.spot_price;
}

void Renter::listed(const std::vector<wire::CloudMachine>& machines,
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

void Renter::rented(const Rent& rent, int status, const std::vector<std::string>& ids, Micros now) {
  --renting_;
  const auto key = offer(types_[rent.type].name, rent.zone, rent.spot);
  if (status != 200 || static_cast<int>(ids.size()) < rent.count)
    refused_until_[key] = now + settings_.refused_for;
  for (const auto& id : ids) {
    Booting b;
    b.type = rent.type, b.zone = rent.zone, b.spot = rent.spot, b.rented = now;
    booting_.emplace(id, std::move(b));
  }
  spdlog::info("rent {} x{}: {} ({} machines)", key, rent.count, status, ids.size());
}

void Renter::deleted(const std::vector<std::string>& ids, bool ok, Micros) {
  for (const auto& id : ids) {
    if (!ok) {
      deleting_.erase(id);
      continue;
    }
    booting_.erase(id);
    failed_.erase(id);
  }
}

int Renter::share_for(const std::string& machine, const std::string&, int shares) {
  auto it = booting_.find(machine);
  if (it != booting_.end() && it->second.claimed_by >= 0) return it->second.claimed_by;
  return turn_++ % shares;
}

int Renter::rooms_in(const share::Demand& d, const wire::MachineType& type) const {
  std::int64_t n = 1'000'000;
  if (d.need.cpus > 0) n = std::min(n, type.total.cpus / d.need.cpus);
  if (d.need.gpus > 0) n = std::min(n, type.total.gpus / d.need.gpus);
  if (d.need.memory > 0) n = std::min(n, type.total.memory / d.need.memory);
  return static_cast<int>(std::max<std::int64_t>(0, n));
}

bool Renter::suits(const Want& w, std::size_t type, const std::string& zone, bool spot) const {
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

std::uint32_t Renter::fill(Want& w, Room& r) const {
  std::uint32_t n = 0;
  while (w.left > 0 && suits(w, r.type, r.zone, r.spot)) {
    const bool gpu_type = r.type < gpu_wanted_.size() && gpu_wanted_[r.type];
    // As the holder does: only work that can make way shares a machine with GPU work.
    if (w.demand.need.gpus == 0 && gpu_type &&
        (w.demand.rank > wire::Rank::low || w.demand.shape != wire::Shape::array || r.booting))
      break;
    if (!w.demand.need.fits_in(r.free)) break;
    if (w.demand.need.gpus > 0) r.gpu_touched = true;
    r.free -= w.demand.need;
    r.touched = true;
    --w.left, ++w.fitted, ++n;
    if (w.demand.per_zone > 0) ++w.zones[r.zone];
  }
  return n;
}

std::vector<Action> Renter::tick(Micros now, const std::vector<ShareSaid>& shares,
                                 const std::map<std::string, MachineRecord>& records) {
  std::vector<Action> out;
  // Machines that nobody may use any more.
  Delete gone;
  auto condemn = [&](const std::string& id) {
    auto [it, added] = deleting_.try_emplace(id, now);
    if (!added && now - it->second < kDeleteAgain) return;
    it->second = now;
    if (gone.machines.size() < 50) gone.machines.push_back(id);
  };
  for (const auto& [id, m] : records)
    if (m.share < 0) condemn(id);
  for (const auto& [id, b] : booting_) {
    const Micros boot = b.type < types_.size() ? types_[b.type].boot : 0;
    const auto limit = static_cast<Micros>(settings_.straggler_factor * static_cast<double>(boot)) +
                       settings_.straggler_extra;
    if (now - b.rented > limit || failed_.contains(id)) condemn(id);
  }
  if (!gone.machines.empty()) out.emplace_back(gone);

  gpu_wanted_.resize(types_.size());
  std::erase_if(draining_, [&](const auto& d) { return now >= d.second.second; });
  std::vector<Room> rooms;
  std::vector<Want> wants;
  for (const auto& s : shares) {
    for (const auto& m : s.machines) {
      auto rec = records.find(m.id);
      if (rec == records.end() || rec->second.share != s.share) continue;
      if (m.empty && ((m.lapsed && m.idle_ms * kMillisecond >= settings_.lapsed_after) || m.suspect)) {
        out.emplace_back(Move{m.id, s.share, -1});
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
      if (r.type < types_.size() && gpu_wanted_[r.type] && r.top_rank == wire::Rank::low && !r.empty) {
        // What runs there makes way for GPU work: its room is the GPUs' part of the machine.
        const auto& total = types_[r.type].total;
        if (r.free.gpus == total.gpus) r.free = total;
      }
      if (given != draining_.end() && r.type < types_.size()) {  // on its way to another share
        r.share = given->second.first, r.free = types_[r.type].total, r.touched = true;
      }
      if (r.type < types_.size()) rooms.push_back(std::move(r));
    }
    for (const auto& d : s.demands) {
      wants.push_back({s.share, d, d.waiting, 0, {}});
      for (std::size_t t = 0; t < types_.size() && t < 64; ++t)
        if (d.need.gpus > 0 && (d.types >> t & 1)) gpu_wanted_[t] = true;
    }
  }
  for (auto& [id, b] : booting_) {
    b.claimed_by = -1;
    if (deleting_.contains(id) || b.type >= types_.size()) continue;
    Room r;
    r.id = id, r.type = b.type, r.zone = b.zone, r.spot = b.spot, r.booting = true;
    r.free = types_[b.type].total;
    rooms.push_back(std::move(r));
  }
  std::stable_sort(wants.begin(), wants.end(), [](const Want& a, const Want& b) {
    return a.demand.rank != b.demand.rank ? a.demand.rank > b.demand.rank
                                          : a.demand.slack_ms < b.demand.slack_ms;
  });
  std::stable_sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) {
    return a.spot != b.spot ? a.spot : a.free.cpus < b.free.cpus;
  });

  // First every share's own room, then machines that come or can be moved, then renting.
  for (auto& w : wants)
    for (auto& r : rooms)
      if (r.share == w.share && w.left > 0) fill(w, r);
  std::set<int> wanting;
  for (const auto& w : wants)
    if (w.left > 0) wanting.insert(w.share);
  int rents = 0;
  for (auto& w : wants) {
    if (w.left > 0) {  // room in machines that this share has claimed, or nobody yet
      for (auto& r : rooms) {
        if (w.left == 0) break;
        if (!r.booting || (r.share != -1 && r.share != w.share)) continue;
        if (fill(w, r) > 0) {
          r.share = w.share;
          if (auto b = booting_.find(r.id); b != booting_.end()) b->second.claimed_by = w.share;
        }
      }
    }
    for (auto& r : rooms) {
      if (w.left == 0) break;
      if (r.booting || r.touched || !r.empty || r.share == w.share ||
          r.idle_ms * kMillisecond < settings_.move_idle)
        continue;
      const int from = r.share;
      if (fill(w, r) > 0) {
        out.emplace_back(Move{r.id, from, w.share});
        r.share = w.share;
      }
    }
    // GPU work may get a machine of another share on which only what makes way runs.
    for (auto& r : rooms) {
      if (w.left == 0 || w.demand.need.gpus == 0) break;
      if (r.booting || r.empty || r.gpu_touched || r.share == w.share || r.top_rank > wire::Rank::low)
        continue;
      if (r.free.gpus != types_[r.type].total.gpus || draining_.contains(r.id)) continue;
      const int from = r.share;
      if (fill(w, r) == 0) continue;
      draining_[r.id] = {w.share, now + 15 * kSecond};
      out.emplace_back(Move{r.id, from, w.share, true, w.demand.rank});
      r.share = w.share;
    }
    // A share whose production waits may get a machine on which only lower ranks run.
    if (w.left > 0 && w.demand.rank >= wire::Rank::high && now >= next_drain_) {
      Room* least = nullptr;
      for (auto& r : rooms) {
        if (r.booting || r.share == w.share || r.top_rank >= w.demand.rank || r.type >= types_.size())
          continue;
        if (draining_.contains(r.id) || r.empty) continue;
        if (w.demand.need.gpus == 0 && types_[r.type].total.gpus > 0) continue;
        if (!suits(w, r.type, r.zone, r.spot) || !w.demand.need.fits_in(types_[r.type].total)) continue;
        if (!least || r.free.cpus > least->free.cpus) least = &r;
      }
      if (least) {
        next_drain_ = now + settings_.drain_every;
        draining_[least->id] = {w.share, now + 15 * kSecond};
        out.emplace_back(Move{least->id, least->share, w.share, true, w.demand.rank});
        least->share = w.share;
        least->free = types_[least->type].total;
        fill(w, *least);
        least->touched = true;
      }
    }
    if (w.left == 0 || renting_ + rents > 2 || rents >= kRentsPerTick) continue;
    std::uint32_t wanted = w.left;
    if (w.demand.shape == wire::Shape::array && w.demand.rank < wire::Rank::high) {
      // Work that can wait runs in several rounds on fewer machines.
      const double guess = w.demand.guess_ms > 0 ? w.demand.guess_ms / 1e3 : 30.0;
      const double drain = std::clamp(w.demand.slack_ms / 1e3 * 0.5, 15.0, to_seconds(settings_.patience));
      const double slots = std::ceil((w.demand.waiting + w.demand.running) * guess / drain);
      const double have = w.demand.running + w.fitted;
      wanted = static_cast<std::uint32_t>(std::clamp(slots - have, 0.0, static_cast<double>(w.left)));
    }
    if (wanted == 0) continue;
    std::optional<Rent> best;
    double cheapest = 1e18;
    double best_cost = 0;
    for (std::size_t t = 0; t < types_.size(); ++t) {
      const int fits = rooms_in(w.demand, types_[t]);
      if (fits == 0) continue;
      if (w.demand.need.gpus == 0 && types_[t].total.gpus > 0 && gpu_wanted_[t]) continue;
      for (const auto& zone : types_[t].zones)
        for (const bool spot : {true, false}) {
          if (!suits(w, t, zone, spot)) continue;
          auto refused = refused_until_.find(offer(types_[t].name, zone, spot));
          if (refused != refused_until_.end() && now < refused->second) continue;
          std::uint32_t usable = std::min<std::uint32_t>(wanted, static_cast<std::uint32_t>(fits));
          if (w.demand.per_zone > 0) usable = std::min(usable, w.demand.per_zone);
          auto sp = spot_price_.find(types_[t].name);
          const double price =
              spot ? (sp == spot_price_.end() ? types_[t].spot_price : sp->second) : types_[t].price;
          const double cost = price / usable;
          // Dear machines for cheap work only when it cannot wait for others to become free.
          cheapest = std::min(cheapest, types_[t].spot_price / usable);
          // Production may: once it has waited longer than it should, since drained machines come sooner than
          // new ones.
          const bool urgent = w.demand.rank >= wire::Rank::production
                                  ? w.demand.slack_ms == 0
                                  : w.demand.slack_ms < to_seconds(types_[t].boot) * 1000;
          if (!urgent && cost > cheapest * settings_.dear_factor * (spot ? 1 : 3)) continue;
          if (!best || cost < best_cost) best = Rent{t, zone, spot, 1}, best_cost = cost;
        }
    }
    if (!best) {
      // CPU work may use GPU machines when nothing else can be had, if it matters.
      continue;
    }
    const int fits = rooms_in(w.demand, types_[best->type]);
    best->count = std::clamp(
        static_cast<int>((wanted + static_cast<std::uint32_t>(fits) - 1) / static_cast<std::uint32_t>(fits)),
        1, 4);
    if (w.demand.per_zone > 0) best->count = 1;
    for (int i = 0; i < best->count; ++i) {
      Room r;
      r.type = best->type, r.zone = best->zone, r.spot = best->spot, r.booting = true, r.share = w.share;
      r.free = types_[best->type].total;
      fill(w, r);
      rooms.push_back(std::move(r));
    }
    out.emplace_back(*best);
    ++rents;
  }
  renting_ += rents;
  // A dear machine whose share has room enough elsewhere takes no more tasks, and goes back when it is empty.
  for (const auto& r : rooms) {
    if (now < next_gentle_ || r.booting || r.empty || wanting.contains(r.share) || draining_.contains(r.id))
      continue;
    const auto& total = types_[r.type].total;
    if (total.gpus == 0 || gpu_wanted_[r.type] || r.spot || r.top_rank >= wire::Rank::production) continue;
    std::int64_t elsewhere = 0;
    for (const auto& o : rooms)
      if (o.share == r.share && o.id != r.id && !o.booting && !draining_.contains(o.id))
        elsewhere += o.free.cpus;
    if (elsewhere < 2 * (total.cpus - r.free.cpus)) continue;
    next_gentle_ = now + settings_.drain_every;
    draining_[r.id] = {-1, now + 40 * kSecond};
    out.emplace_back(Move{r.id, r.share, -1, true, wire::Rank::low});
  }
  for (const auto& r : rooms) {
    if (r.booting || draining_.contains(r.id)) continue;
    const Micros idle = r.idle_ms * kMillisecond;
    if (gpu_wanted_[r.type]) {
      if (r.gpu_touched || idle < (r.spot ? settings_.idle_spot_gpu_after : settings_.idle_gpu_after) ||
          r.top_rank > wire::Rank::low)
        continue;
      if (!r.empty) draining_[r.id] = {-1, now + 15 * kSecond};
      out.emplace_back(Move{r.id, r.share, -1, !r.empty, wire::Rank::normal});
    } else if (!r.touched && r.empty &&
               idle >= (types_[r.type].total.gpus > 0 ? settings_.idle_gpu_after : settings_.idle_after)) {
      out.emplace_back(Move{r.id, r.share, -1});
    }
  }
  return out;
}

}  // namespace aspenwick::fleet
