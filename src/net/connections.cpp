#include "net/connections.h"

namespace aspenwick::net {

void Connections::used(Id id, Owner owner) {
  auto [it, added] = all_.try_emplace(id, Open{owner, 0, {}});
  Open& o = it->second;
  if (added)
    o.at = order_.insert(order_.end(), id);
  else
    order_.splice(order_.end(), order_, o.at);
  if (!added && o.owner == Owner::machine) --machines_;
  o.owner = owner;
  if (owner == Owner::machine) ++machines_;
  ++o.asked;
}

void Connections::answered(Id id) {
  if (auto it = all_.find(id); it != all_.end() && it->second.asked > 0) --it->second.asked;
}

void Connections::closed(Id id) {
  auto it = all_.find(id);
  if (it == all_.end()) return;
  if (it->second.owner == Owner::machine) --machines_;
  order_.erase(it->second.at);
  all_.erase(it);
}

bool Connections::ask_to_close(Id id) const {
  if (all_.size() <= room_ / 4 * 3) return false;
  auto it = all_.find(id);
  return it != all_.end() && it->second.owner == Owner::other;
}

std::vector<Connections::Id> Connections::to_close() const {
  std::vector<Id> out;
  const std::size_t most = room_ - room_ / 10;
  for (auto it = order_.begin(); it != order_.end() && all_.size() - out.size() > most; ++it) {
    const Open& o = all_.at(*it);
    if (o.owner == Owner::other && o.asked == 0) out.push_back(*it);
  }
  return out;
}

}  // namespace aspenwick::net
