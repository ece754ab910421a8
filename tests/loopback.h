// Ports and connections on loopback.
#pragma once
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace aspenwick::testing {

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(port);
  return a;
}

/// A port that was free a moment ago.
inline std::uint16_t free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a = loopback(0);
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
  socklen_t length = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &length);
  close(fd);
  return ntohs(a.sin_port);
}

inline int connect_to(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in a = loopback(port);
  EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
  return fd;
}

}  // namespace aspenwick::testing
