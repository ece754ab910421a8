#include "net/connection_table.h"

namespace aspenwick::net {

void ConnectionTable::on_request(Id id, ClientKind kind) {
  auto [it, added] = connections_.try_emplace(id, Connection{kind, 0, {}});
  Connection& connection = it->second;
  if (added)
    connection.position = by_last_request_.insert(by_last_request_.end(), id);
  else
    by_last_request_.splice(by_last_request_.end(), by_last_request_, connection.position);
  if (!added && connection.kind == ClientKind::worker) --worker_count_;
  connection.kind = kind;
  if (kind == ClientKind::worker) ++worker_count_;
  ++connection.pending;
}

void ConnectionTable::on_response(Id id) {
  if (auto it = connections_.find(id); it != connections_.end() && it->second.pending > 0)
    --it->second.pending;
}

void ConnectionTable::on_close(Id id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if (it->second.kind == ClientKind::worker) --worker_count_;
  by_last_request_.erase(it->second.position);
  connections_.erase(it);
}

bool ConnectionTable::should_close_on_response(Id id) const {
  if (connections_.size() <= capacity_ / 4 * 3) return false;
  auto it = connections_.find(id);
  return it != connections_.end() && it->second.kind == ClientKind::other;
}

std::vector<ConnectionTable::Id> ConnectionTable::idle_to_close() const {
  std::vector<Id> out;
  const std::size_t max_open = capacity_ - capacity_ / 10;
  for (auto it = by_last_request_.begin();
       it != by_last_request_.end() && connections_.size() - out.size() > max_open; ++it) {
    const Connection& connection = connections_.at(*it);
    if (connection.kind == ClientKind::other && connection.pending == 0) out.push_back(*it);
  }
  return out;
}

}  // namespace aspenwick::net
