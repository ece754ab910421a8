// The connections that others have open to us, by who has them, within a bound: which to ask to close, and
// which to close, before new ones would be refused. Socket-free.
#pragma once
#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "wire/time.h"

namespace aspenwick::net {

class Connections {
 public:
  /// What tells a connection from the others while it is open.
  using Id = const void*;
  enum class Owner { machine, other };

  /// `room` (over 0): as many may be open; beyond it nobody is sure to reach us, the load balancer's probes
  /// included.
  explicit Connections(std::size_t room) : room_(room) {}

  /// A request came on it.
  void used(Id id, Owner owner);
  /// The request was answered.
  void answered(Id id);
  void closed(Id id);

  /// With its next answer: over three quarters of the room are taken, and it is not a machine's. Machines
  /// report on theirs for good, users come back on another node.
  bool ask_to_close(Id id) const;
  /// Beyond nine tenths of the room: those of others on which nothing is asked, the longest idle first.
  std::vector<Id> to_close() const;

  std::size_t open() const { return all_.size(); }
  std::size_t machines() const { return machines_; }
  std::size_t room() const { return room_; }

 private:
  struct Open {
    Owner owner;
    int asked = 0;  // requests not answered yet
    std::list<Id>::iterator at;
  };
  std::size_t room_, machines_ = 0;
  std::unordered_map<Id, Open> all_;
  std::list<Id> order_;  // the longest unused first
};

}  // namespace aspenwick::net
