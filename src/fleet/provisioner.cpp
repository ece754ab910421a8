#include "fleet/provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "fleet/provisioner_terms.h"

namespace aspenwick::fleet {
namespace {
constexpr Micros kDeleteAgain = 4 * kSecond;
constexpr std::int64_t kMostRooms = 1'000'000;
constexpr Micros kLeftAlone = 4 * kSecond;
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
    return quiet > 4 * platform_.cloud_list_lag;
  });
  std::erase_if(failed_, [&](const auto& e) { return !seen.contains(e.first); });
  std::erase_if(deleting_, [&](const auto& e) {
    return now - e.second > 6 * platform_.cloud_list_lag && !seen.contains(e.first);
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
  return static_cast<std::uint32_t>(d.need.copies_that_fit(room, kMostRooms));
}

bool Provisioner::suits(const Want& w, std::size_t type, const std::string& zone, bool spot) const {
  const auto& d = w.demand;
  if (type >= types_.size() || (type < 64 && !(d.type_mask >> type & 1))) return false;
  if (spot && !d.spot) return false;
  const auto z = std::find(platform_.zones.begin(), platform_.zones.end(), zone) - platform_.zones.begin();
  if (d.zone != 255 && z != d.zone) return false;
  if (z < 32 && (d.closed_zone_mask >> z & 1)) return false;
  if (d.max_per_zone > 0) {
    auto it = w.zones.find(zone);
    if (it != w.zones.end() && it->second >= d.max_per_zone) return false;
  }
  return true;
}

bool Provisioner::usable(const Want& w, const Room& r) const {
  if (!suits(w, r.type, r.zone, r.spot)) return false;
  if (w.demand.excludes_gpu_machines && types_[r.type].total.gpus > 0) return false;  // as its owner does
  // As the owner does: only work that can make way shares a machine with GPU work.
  return w.demand.need.gpus > 0 || r.type >= gpu_wanted_.size() || !gpu_wanted_[r.type] ||
         w.demand.accepts_any_machine ||
         (w.demand.rank == wire::Rank::low && w.demand.shape == wire::Shape::array && !r.booting);
}

std::uint32_t Provisioner::fill(Want& w, Room& r) const {
  std::uint32_t n = 0;
  while (w.left > 0 && usable(w, r) && w.demand.need.fits_in(r.free)) {
    if (w.demand.need.gpus > 0) r.gpu_touched = true;
    r.free -= w.demand.need;
    r.touched = true;
    --w.left, ++w.fitted, ++n;
    if (w.demand.max_per_zone > 0) ++w.zones[r.zone];
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
    const Micros boot = b.type < types_.size() ? types_[b.type].boot_time : 0;
    const auto limit = static_cast<Micros>(settings_.straggler_factor * static_cast<double>(boot)) +
                       settings_.straggler_extra;
    if (plan.now - b.rented > limit || failed_.contains(id)) condemn(id);
  }
  if (!gone.machines.empty()) plan.actions.emplace_back(gone);
}

void Provisioner::gather(Plan& plan, const std::vector<ShareReport>& shares,
                         const std::map<std::string, MachineRecord>& records) {
  gpu_wanted_.resize(types_.size());
  for (const auto& s : shares)
    for (const auto& d : s.demands) {
      plan.wants.push_back({s.share, d, d.waiting, 0, false, {}});
      if (can_wait(d)) plan.low_running[s.share] += d.running;
      for (std::size_t t = 0; t < types_.size() && t < 64; ++t)
        if (d.need.gpus > 0 && (d.type_mask >> t & 1)) gpu_wanted_[t] = true;
    }
  std::erase_if(draining_, [&](const auto& d) { return plan.now >= d.second.second; });
  for (const auto& s : shares)
    for (const auto& m : s.machines) {
      auto rec = records.find(m.id);
      if (rec == records.end() || rec->second.share != s.share) continue;
      if (m.empty && ((m.worker_lost && m.idle_ms * kMillisecond >= settings_.lapsed_after) || m.suspect)) {
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

std::vector<Action> Provisioner::tick(Micros now, const std::vector<ShareReport>& shares,
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
                    w.demand.closed_zone_mask);
  }
  level(plan);
  give_back(plan);
  return std::move(plan.actions);
}

}  // namespace aspenwick::fleet
