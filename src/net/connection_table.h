// The open connections to the HTTP server, by kind of client. Decides which clients to ask to close theirs
// and which connections to close, before the limit is reached and new ones are refused. Does not use sockets
// itself.
#pragma once
#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "wire/time.h"

namespace aspenwick::net {

class ConnectionTable {
 public:
  /// Identifies a connection while it is open.
  using Id = const void*;
  enum class ClientKind { worker, other };

  /// `capacity` (over 0): how many may be open. Beyond it new connections may fail for every client,
  /// including the load balancer's health probes.
  explicit ConnectionTable(std::size_t capacity) : capacity_(capacity) {}

  /// A request arrived on the connection, from a client of this kind.
  void on_request(Id id, ClientKind kind);
  /// A response to one of its requests is being sent.
  void on_response(Id id);
  void on_close(Id id);

  /// Whether the next response should ask the client to close the connection: more than three quarters of the
  /// capacity are in use and the client is not a worker. Workers report on their connection all the time;
  /// other clients can connect again, to another node.
  bool should_close_on_response(Id id) const;
  /// The connections to close so that at most nine tenths of the capacity are in use: those of clients other
  /// than workers that have no pending request, the longest idle first.
  std::vector<Id> idle_to_close() const;

  std::size_t open_count() const { return connections_.size(); }
  std::size_t worker_count() const { return worker_count_; }
  std::size_t capacity() const { return capacity_; }

 private:
  struct Connection {
    ClientKind kind;
    int pending = 0;  // requests without a response
    std::list<Id>::iterator position;
  };
  std::size_t capacity_, worker_count_ = 0;
  std::unordered_map<Id, Connection> connections_;
  std::list<Id> by_last_request_;  // the least recent first
};

}  // namespace aspenwick::net
