// Frames between our processes over peer_listen. A bad frame drops that connection only.
#pragma once
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "share/peers.h"
#include "wire/settings.h"

namespace aspenwick::share {

class PeerLink : public Peers {
 public:
  using Handler = std::function<void(const Frame&, const Reply&)>;

  PeerLink(event_base* base, const wire::PlatformSettings& settings, Handler handler);
  ~PeerLink() override;

  bool send_bytes(const std::string& node, const std::string& frame) override;

 private:
  struct Connection;
  void connect(const std::string& node);
  void drop(Connection* c);
  void read(Connection& c);
  static void on_accept(evconnlistener*, int fd, sockaddr*, int, void* self);
  Connection* add(bufferevent* bev, std::string node);

  event_base* base_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
  std::map<std::string, wire::Endpoint> peers_;
  std::map<std::string, Connection*> out_;
  std::map<Connection*, std::unique_ptr<Connection>> all_;
};

}  // namespace aspenwick::share
