// The connections that others have open to us, by who has them, within a bound: which to ask to close, and
// which to close, before new ones would be refused. Socket-free.
#pragma once
#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "wire/time.h"

namespace aspenwick::net {

class ConnectionTable {
 public:
  /// What tells a connection from the others while it is open.
  using Id = const void*;
  enum class ClientKind { worker, other };

  /// `room` (over 0): as many may be open; beyond it nobody is sure to reach us, the load balancer's probes
  /// included.
  explicit ConnectionTable(std::size_t capacity) : capacity_(capacity) {}

  /// A request came on it.
  void on_request(Id id, ClientKind kind);
  /// The request was answered.
  void on_response(Id id);
  void on_close(Id id);

  /// With its next answer: over three quarters of the room are taken, and it is not a machine's. Machines
  /// report on theirs for good, users come back on another node.
  bool should_close_on_response(Id id) const;
  /// Beyond nine tenths of the room: those of others on which nothing is asked, the longest idle first.
  std::vector<Id> idle_to_close() const;

  std::size_t open_count() const { return connections_.size(); }
  std::size_t worker_count() const { return worker_count_; }
  std::size_t capacity() const { return capacity_; }

 private:
  struct Connection {
    ClientKind kind;
    int pending = 0;  // requests not answered yet
    std::list<Id>::iterator position;
  };
  std::size_t capacity_, worker_count_ = 0;
  std::unordered_map<Id, Connection> connections_;
  std::list<Id> by_last_request_;  // the longest unused first
};

}  // namespace aspenwick::net
