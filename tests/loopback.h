// Ports and connections on the loopback interface.
#pragma once
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace aspenwick::testing {

inline sockaddr_in loopback_address(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

/// A port that was free when the function returned; another process may take it.
inline std::uint16_t free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = loopback_address(0);
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return ntohs(address.sin_port);
}

/// A connected socket, which the caller closes.
inline int connect_to_port(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = loopback_address(port);
  EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  return fd;
}

}  // namespace aspenwick::testing
