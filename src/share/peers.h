// Frames to our other processes, as the rest of a node sees them: any of them may get lost, none comes twice.
#pragma once
#include <functional>
#include <string>

#include "share/peer_frame.h"

namespace aspenwick::share {

class Peers {
 public:
  /// Sends back to where a frame came from.
  using Reply = std::function<void(const Frame&)>;

  virtual ~Peers() = default;
  Peers() = default;
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  /// false: surely not sent; there is no connection now.
  virtual bool send(const std::string& node, const Frame& frame) = 0;
  /// To all; `frame` as encode() or encode_gossip() made it.
  virtual void broadcast_bytes(const std::string& frame) = 0;
  void broadcast(const Frame& frame) { broadcast_bytes(encode(frame)); }
};

}  // namespace aspenwick::share
