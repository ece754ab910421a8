#include "share/peer_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <spdlog/spdlog.h>

#include <cstring>

namespace aspenwick::share {
namespace {
constexpr std::size_t kMaxSendBacklog = 256 * 1024;  // unsent bytes after which a connection is closed
constexpr int kMaxConnections = 32;  // incoming and outgoing; beyond it, incoming ones are closed

sockaddr_in to_sockaddr(const wire::Endpoint& e) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(e.port);
  if (inet_pton(AF_INET, e.host.c_str(), &a.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address: " + e.host);
  return a;
}
}  // namespace

struct PeerLink::Connection {
  PeerLink* link;
  bufferevent* bev;
  std::string node;  // the peer it was opened to; empty for an incoming connection
  bool connected = false;
  ~Connection() { bufferevent_free(bev); }
  explicit Connection(PeerLink* l, bufferevent* b, std::string n) : link(l), bev(b), node(std::move(n)) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
};

PeerLink::PeerLink(event_base* base, const wire::PlatformSettings& settings, Handler handler)
    : base_(base), handler_(std::move(handler)) {
  const sockaddr_in a = to_sockaddr(settings.peer_listen);
  listener_ =
      evconnlistener_new_bind(base, &PeerLink::on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
                              reinterpret_cast<const sockaddr*>(&a), sizeof a);
  if (!listener_) throw std::runtime_error("cannot listen on " + settings.peer_listen.to_string());
  for (const auto& s : settings.siblings) peer_endpoints_[s.name] = s.peer_endpoint;
}

PeerLink::~PeerLink() { evconnlistener_free(listener_); }

PeerLink::Connection* PeerLink::add_connection(bufferevent* bev, std::string node) {
  auto owned = std::make_unique<Connection>(this, bev, std::move(node));
  Connection* c = owned.get();
  connections_.emplace(c, std::move(owned));
  bufferevent_setcb(
      bev,
      [](bufferevent*, void* arg) {
        auto* k = static_cast<Connection*>(arg);
        k->link->read_frames(*k);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto* k = static_cast<Connection*>(arg);
        if (what & BEV_EVENT_CONNECTED)
          k->connected = true;
        else
          k->link->drop_connection(k);
      },
      c);
  // Close incoming connections on which nothing arrives, and any on which nothing can be sent: a network
  // partition probably cut them off, and a new connection is opened afterwards.
  const timeval idle_timeout{4, 0};
  bufferevent_set_timeouts(bev, c->node.empty() ? &idle_timeout : nullptr, &idle_timeout);
  bufferevent_enable(bev, EV_READ | EV_WRITE);
  return c;
}

void PeerLink::on_accept(evconnlistener*, int fd, sockaddr*, int, void* arg) {
  auto* self = static_cast<PeerLink*>(arg);
  if (self->connections_.size() > kMaxConnections) {
    evutil_closesocket(fd);
    return;
  }
  self->add_connection(bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE), "")->connected = true;
}

void PeerLink::connect(const std::string& node) {
  const sockaddr_in a = to_sockaddr(peer_endpoints_.at(node));
  bufferevent* bev = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  Connection* c = add_connection(bev, node);
  outgoing_[node] = c;
  if (bufferevent_socket_connect(bev, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 &&
      connections_.contains(c))
    drop_connection(c);
}

void PeerLink::drop_connection(Connection* c) {
  if (auto it = outgoing_.find(c->node); it != outgoing_.end() && it->second == c) outgoing_.erase(it);
  connections_.erase(c);
}

void PeerLink::read_frames(Connection& c) {
  Connection* self = &c;
  evbuffer* in = bufferevent_get_input(c.bev);
  while (evbuffer_get_length(in) >= kFrameHeaderSize) {
    try {
      std::string frame(kFrameHeaderSize, '\0');
      evbuffer_copyout(in, frame.data(), kFrameHeaderSize);
      const std::size_t length = frame_length(frame);
      if (evbuffer_get_length(in) < length) return;
      frame.resize(length);
      evbuffer_remove(in, frame.data(), length);
      handler_(decode(frame), [this, self](const Frame& f) {
        if (!connections_.contains(self)) return;
        const std::string bytes = encode(f);
        bufferevent_write(self->bev, bytes.data(), bytes.size());
      });
      if (!connections_.contains(self)) return;
    } catch (const BadFrame& e) {
      spdlog::error("peer link: invalid frame: {}; connection closed", e.what());
      drop_connection(self);
      return;
    }
  }
}

bool PeerLink::send_bytes(const std::string& node, const std::string& bytes) {
  auto it = outgoing_.find(node);
  if (it == outgoing_.end()) {
    if (peer_endpoints_.contains(node)) connect(node);
    return false;
  }
  Connection* c = it->second;
  if (!c->connected) return false;
  if (evbuffer_get_length(bufferevent_get_output(c->bev)) > kMaxSendBacklog) {
    drop_connection(c);
    return false;
  }
  bufferevent_write(c->bev, bytes.data(), bytes.size());
  return true;
}

}  // namespace aspenwick::share
