#include "net/http.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <stdexcept>

namespace aspenwick::net {
namespace {

std::string read_buffer(evbuffer* b) {
  std::string s(b ? evbuffer_get_length(b) : 0, '\0');
  if (!s.empty()) evbuffer_copyout(b, s.data(), s.size());
  return s;
}

timeval to_timeval(Micros t) { return {t / kSecond, static_cast<suseconds_t>(t % kSecond)}; }

// More than the protocol allows, so that a body that is too large can be read and answered with a 400. evhttp
// reads at most this many bytes.
constexpr ev_ssize_t kMaxReadBytes = 4 * 1024 * 1024;

evhttp_cmd_type to_evhttp_command(Method m) {
  return m == Method::post ? EVHTTP_REQ_POST : m == Method::del ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

}  // namespace

/// A request received by the server. Reports its response to the connection table.
class Server::IncomingRequest : public Exchange {
 public:
  IncomingRequest(evhttp_request* request, Server* server) : request_(request), server_(server) {}
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
  std::string body() const override { return read_buffer(evhttp_request_get_input_buffer(request_)); }

 protected:
  void send(const Answer& a) override {
    evkeyvalq* headers = evhttp_request_get_output_headers(request_);
    if (!a.allow.empty()) evhttp_add_header(headers, "Allow", a.allow.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    if (a.retry_after_s > 0)
      evhttp_add_header(headers, "Retry-After", std::to_string(a.retry_after_s).c_str());
    // Null if the connection is closed already.
    if (const auto* connection = evhttp_request_get_connection(request_)) {
      if (server_->connections_.should_close_on_response(connection))
        evhttp_add_header(headers, "Connection", "close");
      server_->connections_.on_response(connection);
    }
    evbuffer* out = evhttp_request_get_output_buffer(request_);
    evbuffer_add(out, a.body.data(), a.body.size());
    evhttp_send_reply(request_, a.status, nullptr, nullptr);
  }

 private:
  evhttp_request* request_;
  Server* server_;
};

Server::Server(event_base* base, const wire::Endpoint& listen, Limits limits, Handler handler)
    : limits_(std::move(limits)),
      connections_(limits_.max_connections),
      handler_(std::move(handler)),
      http_(evhttp_new(base)) {
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                              EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                              EVHTTP_REQ_PATCH);
  evhttp_set_max_body_size(http_.get(), kMaxReadBytes);
  evhttp_set_max_headers_size(http_.get(), 16 * 1024);
  evhttp_set_timeout(http_.get(), static_cast<int>(limits_.idle_timeout / kSecond));
  evhttp_set_gencb(
      http_.get(), [](evhttp_request* r, void* self) { static_cast<Server*>(self)->on_request(r); }, this);
  if (evhttp_bind_socket(http_.get(), listen.host.c_str(), listen.port) != 0)
    throw std::runtime_error("cannot listen on " + listen.to_string());
}

Server::~Server() = default;

void Server::on_request(evhttp_request* r) {
  auto exchange = std::make_shared<IncomingRequest>(r, this);
  evhttp_connection* connection = evhttp_request_get_connection(r);
  connections_.on_request(connection, limits_.is_worker_path(exchange->path())
                                          ? ConnectionTable::ClientKind::worker
                                          : ConnectionTable::ClientKind::other);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* c, void* self) { static_cast<Server*>(self)->connections_.on_close(c); }, this);
  for (const void* idle : connections_.idle_to_close())
    evhttp_connection_free(static_cast<evhttp_connection*>(const_cast<void*>(idle)));
  handler_(exchange);
}

/// A request that waits or is being sent. Owned by calls_ and deleted by finish().
struct Client::Call {
  Client* client;
  Pool* pool;
  Method method;
  std::string path, body;
  ResponseCallback done;
  evhttp_connection* connection = nullptr;
  event* timer = nullptr;
};

/// The idle connections and the waiting requests of one endpoint. `open_count` includes busy connections.
struct Client::Pool {
  wire::Endpoint to;
  std::vector<std::list<Idle>::iterator> idle;
  std::size_t open_count = 0;
  std::deque<Call*> queue;
};

Client::Client(event_base* base, std::size_t max_per_endpoint, std::size_t max_total)
    : base_(base), max_per_endpoint_(max_per_endpoint), max_total_(max_total) {}

Client::~Client() {
  for (Call* c : calls_) {
    event_free(c->timer);
    if (c->connection) evhttp_connection_free(c->connection);
    delete c;
  }
  for (const Idle& i : idle_) evhttp_connection_free(i.connection);
}

Client::Pool& Client::pool(const wire::Endpoint& to) {
  auto& p = pools_[to.to_string()];
  if (!p) p = std::make_unique<Pool>(Pool{to, {}, 0, {}});
  return *p;
}

bool Client::may_start(const Pool& p) const {
  return !p.idle.empty() ||
         (p.open_count < max_per_endpoint_ && (open_count_ < max_total_ || !idle_.empty()));
}

void Client::request(Method method, const wire::Endpoint& to, const std::string& path,
                     const std::string& body, Micros timeout, ResponseCallback done) {
  Pool& p = pool(to);
  auto* call = new Call{this, &p, method, path, body, std::move(done)};
  calls_.insert(call);
  call->timer = evtimer_new(
      base_,
      [](evutil_socket_t, short, void* arg) {
        auto* c = static_cast<Call*>(arg);
        if (c->connection) {
          // A late response could still arrive on this connection, so it is closed instead of reused.
          evhttp_connection_free(c->connection);
          c->connection = nullptr;
          --c->pool->open_count;
          --c->client->open_count_;
        } else {
          std::erase(c->pool->queue, c);
        }
        c->client->finish(c, 0, "", false);
      },
      call);
  const timeval tv = to_timeval(timeout);
  evtimer_add(call->timer, &tv);
  if (may_start(p)) return start(call);
  p.queue.push_back(call);
  if (p.open_count < max_per_endpoint_) pools_awaiting_capacity_.push_back(&p);
}

void Client::start(Call* call) {
  Pool& p = *call->pool;
  if (!p.idle.empty()) {
    call->connection = p.idle.back()->connection;
    idle_.erase(p.idle.back());
    p.idle.pop_back();
  } else {
    if (open_count_ >= max_total_) {  // then may_start() has found an idle connection, which is closed
      const Idle longest_idle = idle_.front();
      std::erase(longest_idle.pool->idle, idle_.begin());
      idle_.pop_front();
      close_connection(longest_idle.connection, *longest_idle.pool);
    }
    call->connection = evhttp_connection_base_new(base_, nullptr, p.to.host.c_str(), p.to.port);
    evhttp_connection_set_timeout(call->connection, 120);
    ++p.open_count, ++open_count_;
  }
  evhttp_request* r = evhttp_request_new(
      [](evhttp_request* req, void* arg) {
        auto* c = static_cast<Call*>(arg);
        const int status = req ? evhttp_request_get_response_code(req) : 0;
        std::string body = status ? read_buffer(evhttp_request_get_input_buffer(req)) : std::string();
        bool reusable = status != 0;
        if (reusable) {
          const char* header = evhttp_find_header(evhttp_request_get_input_headers(req), "Connection");
          if (header && evutil_ascii_strcasecmp(header, "close") == 0) reusable = false;
        }
        c->client->finish(c, status, body, reusable);
      },
      call);
  evkeyvalq* headers = evhttp_request_get_output_headers(r);
  evhttp_add_header(headers, "Host", p.to.to_string().c_str());
  evhttp_add_header(headers, "Connection", "keep-alive");
  if (!call->body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(r), call->body.data(), call->body.size());
  } else if (call->method == Method::post) {
    evhttp_add_header(headers, "Content-Length", "0");
  }
  if (evhttp_make_request(call->connection, r, to_evhttp_command(call->method), call->path.c_str()) != 0) {
    // evhttp has freed the request and will not call back. The timer, now due, ends the call.
    evhttp_connection* c = call->connection;
    call->connection = nullptr;
    --p.open_count, --open_count_;
    evhttp_connection_free(c);
    const timeval now{0, 0};
    evtimer_add(call->timer, &now);
  }
}

/// Frees the connection from the event loop, since this may run inside one of its callbacks.
void Client::close_connection(evhttp_connection* connection, Pool& p) {
  --p.open_count, --open_count_;
  event_base_once(
      base_, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* c) { evhttp_connection_free(static_cast<evhttp_connection*>(c)); },
      connection, nullptr);
}

void Client::start_queued(Pool& p) {
  if (p.queue.empty() || !may_start(p)) return;
  Call* next = p.queue.front();
  p.queue.pop_front();
  start(next);
}

void Client::finish(Call* call, int status, const std::string& body, bool reusable) {
  Pool& p = *call->pool;
  if (call->connection) {
    if (reusable && p.idle.size() < max_per_endpoint_)
      p.idle.push_back(idle_.insert(idle_.end(), {&p, call->connection}));
    else
      close_connection(call->connection, p);
  }
  event_free(call->timer);
  calls_.erase(call);
  ResponseCallback done = std::move(call->done);
  delete call;
  start_queued(p);
  while (!pools_awaiting_capacity_.empty() && (open_count_ < max_total_ || !idle_.empty())) {
    Pool* next = pools_awaiting_capacity_.front();
    pools_awaiting_capacity_.pop_front();
    start_queued(*next);
  }
  done(status, body);
}

}  // namespace aspenwick::net
