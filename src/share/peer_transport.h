// Frames to our other processes, as the rest of a node sees them: any of them may get lost, none comes twice.
#pragma once
#include <functional>
#include <string>

#include "share/peer_frame.h"

namespace aspenwick::share {

class PeerTransport {
 public:
  /// Sends back to where a frame came from.
  using Reply = std::function<void(const Frame&)>;

  virtual ~PeerTransport() = default;
  PeerTransport() = default;
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// `frame` as encode() or encode_gossip() made it. false: surely not sent; there is no connection now.
  virtual bool send_bytes(const std::string& node, const std::string& frame) = 0;
  bool send(const std::string& node, const Frame& frame) { return send_bytes(node, encode(frame)); }
};

}  // namespace aspenwick::share
