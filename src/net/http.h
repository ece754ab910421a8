// HTTP over evhttp: a server, and a client with pooled connections and deadlines.
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

#include "net/connections.h"
#include "net/exchange.h"

namespace aspenwick::net {

class Server {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;
  struct Limits {
    std::size_t connections = 0;  // that others may have open to us
    Micros idle = 0;              // one on which nothing is asked for so long is closed
    /// By a request's path: it comes from a machine.
    std::function<bool(const std::string& path)> from_machine;
  };
  /// Throws std::runtime_error if the address can't be listened on.
  Server(event_base* base, const wire::Endpoint& listen, Limits limits, Handler handler);
  ~Server();
  const Connections& connections() const { return open_; }

 private:
  class Asked;
  struct Free {
    void operator()(evhttp* h) const { evhttp_free(h); }
  };
  void asked(evhttp_request* r);
  Limits limits_;
  Connections open_;
  Handler handler_;
  std::unique_ptr<evhttp, Free> http_;
};

class Client : public Requester {
 public:
  static constexpr std::size_t kAny = 1U << 30;
  /// At most `per_endpoint` connections to each endpoint and `in_all` to all; what is asked beyond waits. Of
  /// those that are idle the one that has idled longest makes way.
  explicit Client(event_base* base, std::size_t per_endpoint = 12, std::size_t in_all = kAny);
  ~Client() override;
  void request(Method method, const wire::Endpoint& to, const std::string& path, const std::string& body,
               Micros deadline, Answered done) override;
  std::size_t open() const { return open_; }

 private:
  struct Call;
  struct Pool;
  struct Idle {
    Pool* pool;
    evhttp_connection* connection;
  };
  void start(Call* call);
  bool may_start(const Pool& p) const;
  void start_waiting(Pool& p);
  void finish(Call* call, int status, const std::string& body, bool reusable);
  void close(evhttp_connection* connection, Pool& p);
  Pool& pool(const wire::Endpoint& to);

  event_base* base_;
  std::size_t per_endpoint_, in_all_, open_ = 0;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
  std::list<Idle> idle_;       // the longest idle first
  std::deque<Pool*> starved_;  // have calls that wait for room in all
  std::set<Call*> calls_;
};

}  // namespace aspenwick::net
