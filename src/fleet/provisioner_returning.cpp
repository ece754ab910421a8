// Machines that are no longer needed: drained where dear, and given back.
#include "fleet/provisioner.h"
#include "fleet/provisioner_terms.h"

namespace aspenwick::fleet {
namespace {
constexpr Micros kOfferAfter = 6 * kSecond;
}  // namespace

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

}  // namespace aspenwick::fleet
