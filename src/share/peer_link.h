// Frames between our processes over peer_listen. A bad frame drops that connection only.
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
  using Handler = std::function<void(const Frame&, const Reply&)>;

  PeerLink(event_base* base, const wire::PlatformSettings& settings, Handler handler);
  ~PeerLink() override;

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
  std::map<std::string, Connection*> outgoing_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
};

}  // namespace aspenwick::share
