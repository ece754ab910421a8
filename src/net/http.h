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

#include "wire/settings.h"

namespace aspenwick::net {

/// One request being answered. Must be answered exactly once, now or later.
class Exchange {
 public:
  explicit Exchange(evhttp_request* request) : request_(request) {}
  evhttp_cmd_type method() const { return evhttp_request_get_command(request_); }
  std::string path() const;
  std::string body() const;
  void answer(int status, const std::string& body, int retry_after_s = 0);
  void refuse_method(const char* allowed);

 private:
  evhttp_request* request_;
};

class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  Server(event_base* base, const wire::Endpoint& listen, int sockets, Handler handler);

 private:
  struct Free {
    void operator()(evhttp* h) const { evhttp_free(h); }
  };
  std::unique_ptr<evhttp, Free> http_;
  Handler handler_;
};

/// status 0: no answer in time, or no connection: the request may have been executed, now or later.
using Answered = std::function<void(int status, const std::string& body)>;

/// Sends requests somewhere; what needs answers takes this, so that tests can give them.
class Requester {
 public:
  virtual ~Requester() = default;
  virtual void request(evhttp_cmd_type method, const wire::Endpoint& to, const std::string& path,
                       const std::string& body, Micros deadline, Answered done) = 0;
};

class Client : public Requester {
 public:
  explicit Client(event_base* base, std::size_t per_endpoint = 12);
  ~Client() override;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void request(evhttp_cmd_type method, const wire::Endpoint& to, const std::string& path,
               const std::string& body, Micros deadline, Answered done) override;

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
