// HTTP on evhttp: a server, and a client with pooled connections and timeouts.
#pragma once
#include <event2/event.h>
#include <event2/http.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/connection_table.h"
#include "net/exchange.h"

namespace aspenwick::net {

/// Keeps its connections within a limit, see ConnectionTable.
class Server {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;
  struct Limits {
    std::size_t max_connections = 0;  // from all clients
    Micros idle_timeout = 0;          // a connection without requests for this long is closed
    /// Whether requests with this path come from workers.
    std::function<bool(const std::string& path)> is_worker_path;
  };
  /// Throws std::runtime_error if it cannot listen on the address. `base` must outlive the server.
  Server(event_base* base, const wire::Endpoint& listen, Limits limits, Handler handler);
  ~Server();
  const ConnectionTable& connections() const { return connections_; }

 private:
  class IncomingRequest;
  struct Deleter {
    void operator()(evhttp* h) const { evhttp_free(h); }
  };
  void on_request(evhttp_request* r);
  Limits limits_;
  ConnectionTable connections_;
  Handler handler_;
  std::unique_ptr<evhttp, Deleter> http_;
};

/// A request that gets no response within its timeout closes its connection.
class Client : public Requester {
 public:
  static constexpr std::size_t kUnlimited = 1U << 30;
  /// Opens at most `max_per_endpoint` connections to each endpoint and `max_total` to all; further requests
  /// wait. If `max_total` is reached, the connection that has been idle longest is closed for a new one.
  explicit Client(event_base* base, std::size_t max_per_endpoint = 12, std::size_t max_total = kUnlimited);
  ~Client() override;
  void request(Method method, const wire::Endpoint& to, const std::string& path, const std::string& body,
               Micros timeout, ResponseCallback done) override;
  std::size_t open_count() const { return open_count_; }

 private:
  struct Call;
  struct Pool;
  struct Idle {
    Pool* pool;
    evhttp_connection* connection;
  };
  void start(Call* call);
  bool may_start(const Pool& p) const;
  void start_queued(Pool& p);
  void finish(Call* call, int status, const std::string& body, bool reusable);
  void close_connection(evhttp_connection* connection, Pool& p);
  Pool& pool(const wire::Endpoint& to);

  event_base* base_;
  std::size_t max_per_endpoint_, max_total_, open_count_ = 0;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
  std::list<Idle> idle_;                       // the least recently used first
  std::deque<Pool*> pools_awaiting_capacity_;  // have calls that wait because of max_total_
  std::set<Call*> calls_;
};

}  // namespace aspenwick::net
