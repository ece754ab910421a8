#include "net/http.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <stdexcept>

namespace aspenwick::net {
namespace {

std::string read_all(evbuffer* b) {
  std::string s(b ? evbuffer_get_length(b) : 0, '\0');
  if (!s.empty()) evbuffer_copyout(b, s.data(), s.size());
  return s;
}

timeval to_timeval(Micros t) { return {t / kSecond, static_cast<suseconds_t>(t % kSecond)}; }

constexpr int kIdleClose = 75;  // seconds
// Bodies over the protocol's limit get a 400, so that many bytes are read at most.
constexpr ev_ssize_t kReadLimit = 4 * 1024 * 1024;

evhttp_cmd_type command(Method m) {
  return m == Method::post ? EVHTTP_REQ_POST : m == Method::del ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

class HttpExchange : public Exchange {
 public:
  explicit HttpExchange(evhttp_request* request) : request_(request) {}
  Method method() const override {
    switch (evhttp_request_get_command(request_)) {
      case EVHTTP_REQ_GET:
        return Method::get;
      case EVHTTP_REQ_POST:
        return Method::post;
      case EVHTTP_REQ_DELETE:
        return Method::del;
      default:
        return Method::other;
    }
  }
  std::string path() const override {
    const char* p = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request_));
    return p ? p : "";
  }
  std::string body() const override { return read_all(evhttp_request_get_input_buffer(request_)); }

 protected:
  void send(const Answer& a) override {
    evkeyvalq* headers = evhttp_request_get_output_headers(request_);
    if (!a.allow.empty()) evhttp_add_header(headers, "Allow", a.allow.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    if (a.retry_after_s > 0)
      evhttp_add_header(headers, "Retry-After", std::to_string(a.retry_after_s).c_str());
    evbuffer* out = evhttp_request_get_output_buffer(request_);
    evbuffer_add(out, a.body.data(), a.body.size());
    evhttp_send_reply(request_, a.status, nullptr, nullptr);
  }

 private:
  evhttp_request* request_;
};

}  // namespace

Server::Server(event_base* base, const wire::Endpoint& listen, int, Handler handler)
    : http_(evhttp_new(base)), handler_(std::move(handler)) {
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                              EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                              EVHTTP_REQ_PATCH);
  evhttp_set_max_body_size(http_.get(), kReadLimit);
  evhttp_set_max_headers_size(http_.get(), 16 * 1024);
  evhttp_set_timeout(http_.get(), kIdleClose);
  evhttp_set_gencb(
      http_.get(),
      [](evhttp_request* r, void* self) {
        static_cast<Server*>(self)->handler_(std::make_shared<HttpExchange>(r));
      },
      this);
  if (evhttp_bind_socket(http_.get(), listen.host.c_str(), listen.port) != 0)
    throw std::runtime_error("cannot listen on " + listen.text());
}

struct Client::Call {
  Client* client;
  Pool* pool;
  Method method;
  std::string path, body;
  Answered done;
  evhttp_connection* connection = nullptr;
  event* timer = nullptr;
};

struct Client::Pool {
  wire::Endpoint to;
  std::vector<evhttp_connection*> idle;
  std::size_t open = 0;
  std::deque<Call*> queue;
};

Client::Client(event_base* base, std::size_t per_endpoint) : base_(base), per_endpoint_(per_endpoint) {}

Client::~Client() {
  for (Call* c : calls_) {
    event_free(c->timer);
    if (c->connection) evhttp_connection_free(c->connection);
    delete c;
  }
  for (auto& [k, p] : pools_)
    for (auto* c : p->idle) evhttp_connection_free(c);
}

Client::Pool& Client::pool(const wire::Endpoint& to) {
  auto& p = pools_[to.text()];
  if (!p) p = std::make_unique<Pool>(Pool{to, {}, 0, {}});
  return *p;
}

void Client::request(Method method, const wire::Endpoint& to, const std::string& path,
                     const std::string& body, Micros deadline, Answered done) {
  Pool& p = pool(to);
  auto* call = new Call{this, &p, method, path, body, std::move(done)};
  calls_.insert(call);
  call->timer = evtimer_new(
      base_,
      [](evutil_socket_t, short, void* arg) {
        auto* c = static_cast<Call*>(arg);
        if (c->connection) {
          // The connection may still deliver: it is given up, and its late answer with it.
          evhttp_connection_free(c->connection);
          c->connection = nullptr;
          --c->pool->open;
        } else {
          std::erase(c->pool->queue, c);
        }
        c->client->finish(c, 0, "", false);
      },
      call);
  const timeval tv = to_timeval(deadline);
  evtimer_add(call->timer, &tv);
  if (p.idle.empty() && p.open >= per_endpoint_)
    p.queue.push_back(call);
  else
    start(call);
}

void Client::start(Call* call) {
  Pool& p = *call->pool;
  if (!p.idle.empty()) {
    call->connection = p.idle.back();
    p.idle.pop_back();
  } else {
    call->connection = evhttp_connection_base_new(base_, nullptr, p.to.host.c_str(), p.to.port);
    evhttp_connection_set_timeout(call->connection, 120);
    ++p.open;
  }
  evhttp_request* r = evhttp_request_new(
      [](evhttp_request* req, void* arg) {
        auto* c = static_cast<Call*>(arg);
        const int status = req ? evhttp_request_get_response_code(req) : 0;
        std::string body = status ? read_all(evhttp_request_get_input_buffer(req)) : std::string();
        bool keep = status != 0;
        if (keep) {
          const char* h = evhttp_find_header(evhttp_request_get_input_headers(req), "Connection");
          if (h && evutil_ascii_strcasecmp(h, "close") == 0) keep = false;
        }
        c->client->finish(c, status, body, keep);
      },
      call);
  evkeyvalq* headers = evhttp_request_get_output_headers(r);
  evhttp_add_header(headers, "Host", p.to.text().c_str());
  evhttp_add_header(headers, "Connection", "keep-alive");
  if (!call->body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(r), call->body.data(), call->body.size());
  } else if (call->method == Method::post) {
    evhttp_add_header(headers, "Content-Length", "0");
  }
  if (evhttp_make_request(call->connection, r, command(call->method), call->path.c_str()) != 0) {
    // The request was freed; no callback will come.
    evhttp_connection* c = call->connection;
    call->connection = nullptr;
    --p.open;
    evhttp_connection_free(c);
    const timeval now{0, 0};
    evtimer_add(call->timer, &now);
  }
}

void Client::finish(Call* call, int status, const std::string& body, bool reusable) {
  Pool& p = *call->pool;
  if (call->connection) {
    if (reusable && p.idle.size() < per_endpoint_) {
      p.idle.push_back(call->connection);
    } else {
      --p.open;
      // Freed from the loop: we may be inside one of its callbacks.
      event_base_once(
          base_, -1, EV_TIMEOUT,
          [](evutil_socket_t, short, void* c) { evhttp_connection_free(static_cast<evhttp_connection*>(c)); },
          call->connection, nullptr);
    }
  }
  event_free(call->timer);
  calls_.erase(call);
  Answered done = std::move(call->done);
  delete call;
  if (!p.queue.empty() && (!p.idle.empty() || p.open < per_endpoint_)) {
    Call* next = p.queue.front();
    p.queue.pop_front();
    start(next);
  }
  done(status, body);
}

}  // namespace aspenwick::net
