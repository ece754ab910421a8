// HTTP over evhttp: a server, and a client with pooled connections and deadlines.
#pragma once
#include <event2/event.h>
#include <event2/http.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/exchange.h"

namespace aspenwick::net {

class Server {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;
  /// Throws std::runtime_error if the address can't be listened on.
  Server(event_base* base, const wire::Endpoint& listen, int sockets, Handler handler);

 private:
  struct Free {
    void operator()(evhttp* h) const { evhttp_free(h); }
  };
  std::unique_ptr<evhttp, Free> http_;
  Handler handler_;
};

class Client : public Requester {
 public:
  explicit Client(event_base* base, std::size_t per_endpoint = 12);
  ~Client() override;
  void request(Method method, const wire::Endpoint& to, const std::string& path, const std::string& body,
               Micros deadline, Answered done) override;

 private:
  struct Call;
  struct Pool;
  void start(Call* call);
  void finish(Call* call, int status, const std::string& body, bool reusable);
  Pool& pool(const wire::Endpoint& to);

  event_base* base_;
  std::size_t per_endpoint_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
  std::set<Call*> calls_;
};

}  // namespace aspenwick::net
