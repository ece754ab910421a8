// The link between controllers over real sockets on loopback: invalid frames close only their own connection.
#include "share/peer_link.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fixtures.h"
#include "loopback.h"

namespace aspenwick::share {
namespace {

using testing::free_port;

class PeerLinkTest : public ::testing::Test {
 protected:
  PeerLinkTest() : base_(event_base_new()) {
    settings_ = wire::parse_settings(testing::settings_json().dump());
    settings_.peer_listen = {"127.0.0.1", free_port()};
    settings_.siblings.clear();
    link_ =
        std::make_unique<PeerLink>(base_, settings_, [this](const Frame& f, const PeerLink::Reply& reply) {
          ++frames_;
          if (const auto* q = std::get_if<StatusRequest>(&f)) reply(StatusReply{q->request, true, 3, 1});
        });
  }
  ~PeerLinkTest() override {
    for (const int fd : open_fds_) close(fd);
    link_.reset();
    event_base_free(base_);
  }
  PeerLinkTest(const PeerLinkTest&) = delete;
  PeerLinkTest& operator=(const PeerLinkTest&) = delete;

  int open_connection() {
    return open_fds_.emplace_back(testing::connect_to_port(settings_.peer_listen.port));
  }
  static void send_all(int fd, const std::string& bytes) {
    ASSERT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  /// Runs the event loop until bytes arrive or the connection is closed. Returns the bytes, or "closed";
  /// empty after about 2 s.
  std::string receive(int fd) {
    for (int turn = 0; turn < 2000; ++turn) {
      event_base_loop(base_, EVLOOP_NONBLOCK);
      char buffer[256];
      const auto n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno == ECONNRESET)) return "closed";
      if (n > 0) return {buffer, static_cast<std::size_t>(n)};
      usleep(1000);
    }
    return "";
  }
  void expect_served(int fd) {
    send_all(fd, encode(StatusRequest{7, "j-000001"}));
    EXPECT_EQ(std::get<StatusReply>(decode(receive(fd))).done, 3U);
  }

  event_base* base_;
  wire::PlatformSettings settings_;
  std::unique_ptr<PeerLink> link_;
  std::vector<int> open_fds_;
  int frames_ = 0;
};

TEST_F(PeerLinkTest, AnInvalidFrameClosesOnlyItsConnection) {
  const int good = open_connection();
  expect_served(good);
  std::string bad_magic = encode(StatusRequest{1, "j"}), bad_version = bad_magic, bad_length = bad_magic;
  bad_magic[0] = 'G', bad_version[2] = 99, bad_length[4] = 0x7f;
  // A body that is shorter than its fields: the header announces 1 byte.
  std::string bad_fields =
      bad_magic.substr(0, 3) + encode(StatusRequest{1, "j"}).substr(3, 4) + std::string("\x01", 1) + "x";
  bad_fields[0] = '\xA5';
  for (const auto& bad : {bad_magic, bad_version, bad_length, bad_fields}) {
    const int fd = open_connection();
    send_all(fd, bad);
    EXPECT_EQ(receive(fd), "closed");
    expect_served(good);
  }
}

TEST_F(PeerLinkTest, AFrameMayArriveInPieces) {
  const int fd = open_connection(), other = open_connection();
  const std::string frame = encode(StatusRequest{9, "j-000002"});
  for (const char byte : frame.substr(0, frame.size() - 1)) {
    send_all(fd, std::string(1, byte));
    event_base_loop(base_, EVLOOP_NONBLOCK);
  }
  expect_served(other);  // while the first connection has sent only part of a frame
  EXPECT_EQ(frames_, 1);
  send_all(fd, frame.substr(frame.size() - 1));
  EXPECT_EQ(std::get<StatusReply>(decode(receive(fd))).request, 9U);
}

}  // namespace
}  // namespace aspenwick::share
