// The interface by which a node sends frames to its peers. A frame may be lost; none is delivered twice.
#pragma once
#include <functional>
#include <string>

#include "share/peer_frame.h"

namespace aspenwick::share {

/// Sends frames to the peers by node name. PeerLink implements it over TCP.
class PeerTransport {
 public:
  /// Sends a frame back over the connection on which another frame arrived.
  using Reply = std::function<void(const Frame&)>;

  virtual ~PeerTransport() = default;
  PeerTransport() = default;
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Sends the bytes of a frame as encode() or encode_gossip() returned them. Returns false if the frame was
  /// certainly not sent because there is no usable connection now.
  virtual bool send_bytes(const std::string& node, const std::string& frame) = 0;
  bool send(const std::string& node, const Frame& frame) { return send_bytes(node, encode(frame)); }
};

}  // namespace aspenwick::share
