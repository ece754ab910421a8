// TCP connections between the nodes, which carry frames. A node accepts them on the address `peer_listen` and
// opens one to each peer that it sends to. An invalid frame closes only the connection on which it arrived.
#pragma once
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "share/peer_transport.h"
#include "wire/settings.h"

namespace aspenwick::share {

class PeerLink : public PeerTransport {
 public:
  /// Called with each frame that arrives and a function that replies to it.
  using Handler = std::function<void(const Frame&, const Reply&)>;

  /// Listens at once; throws std::runtime_error if the address is invalid or cannot be bound. `base` must
  /// outlive the link.
  PeerLink(event_base* base, const wire::PlatformSettings& settings, Handler handler);
  ~PeerLink() override;

  /// Without a connection to the peer this starts one and returns false.
  bool send_bytes(const std::string& node, const std::string& frame) override;

 private:
  struct Connection;
  void connect(const std::string& node);
  void drop_connection(Connection* c);
  void read_frames(Connection& c);
  static void on_accept(evconnlistener*, int fd, sockaddr*, int, void* self);
  Connection* add_connection(bufferevent* bev, std::string node);

  event_base* base_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
  std::map<std::string, wire::Endpoint> peer_endpoints_;
  std::map<std::string, Connection*> outgoing_;                     // by peer
  std::map<Connection*, std::unique_ptr<Connection>> connections_;  // incoming and outgoing
};

}  // namespace aspenwick::share
