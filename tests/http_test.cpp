// Limits on sockets: which accepted connections are closed under pressure, how many the client opens, and
// retries on a port that is still in use.
#include "net/http.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "app/socket_budget.h"
#include "fixtures.h"
#include "loopback.h"
#include "net/connection_table.h"
#include "net/event_loop.h"
#include "net/retry.h"

namespace aspenwick::net {
namespace {

using testing::connect_to_port;
using testing::free_port;

TEST(ConnectionsTest, TheLongestIdleClientsAreClosedFirst) {
  int ids[20];
  ConnectionTable c(20);
  for (int i = 0; i < 10; ++i) c.on_request(&ids[i], ConnectionTable::ClientKind::worker);
  for (int i = 10; i < 16; ++i) c.on_request(&ids[i], ConnectionTable::ClientKind::other);
  for (int i = 0; i < 16; ++i) c.on_response(&ids[i]);
  EXPECT_TRUE(c.should_close_on_response(&ids[12]));  // 16 of 20 are open
  EXPECT_FALSE(c.should_close_on_response(&ids[3]));  // machines keep their connections
  EXPECT_TRUE(c.idle_to_close().empty());
  c.on_request(&ids[10], ConnectionTable::ClientKind::other);  // has a request without a response
  for (int i = 16; i < 20; ++i) c.on_request(&ids[i], ConnectionTable::ClientKind::worker);
  EXPECT_EQ(c.idle_to_close(), (std::vector<ConnectionTable::Id>{&ids[11], &ids[12]}));
  c.on_close(&ids[11]);
  c.on_close(&ids[11]);
  EXPECT_EQ(c.idle_to_close(), (std::vector<ConnectionTable::Id>{&ids[12]}));
  EXPECT_EQ(c.open_count(), 19U);
  EXPECT_EQ(c.worker_count(), 14U);
}

TEST(SocketBudgetTest, PartsAddUpToAtMostTheTotal) {
  auto p = wire::parse_settings(testing::settings_json().dump());
  for (const int sockets : {150, 500, 1200, 1854, 4302, 100'000}) {
    p.max_sockets = sockets;
    const auto b = app::socket_budget(p);
    EXPECT_GE(b.max_pushes, 1U);
    EXPECT_LE(b.max_pushes + b.max_callers + b.reserved + 2 * app::SocketBudget::kMaxServiceConnections +
                  app::SocketBudget::kMaxPeerConnections + p.siblings.size(),
              static_cast<std::size_t>(sockets));
  }
}

struct HttpTest : ::testing::Test {
  std::unique_ptr<Server> start_server(std::uint16_t port, std::size_t capacity) {
    return std::make_unique<Server>(
        loop.base(), wire::Endpoint{"127.0.0.1", port},
        Server::Limits{capacity, 30 * kSecond, [](const std::string& path) { return path == "/machine"; }},
        [this](const ExchangePtr& exchange) {
          ++request_count;
          exchange->answer(200, "{}");
        });
  }
  void run_until(const std::function<bool()>& condition) {
    for (int i = 0; i < 20'000 && !condition(); ++i) event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    EXPECT_TRUE(condition());
  }
  EventLoop loop;
  int request_count = 0;
};

TEST_F(HttpTest, IdleUsersAreClosedWhenMachinesConnect) {
  const auto port = free_port();
  const auto server = start_server(port, 20);
  std::vector<int> user_fds, machine_fds;
  auto send_request = [&](int fd, const char* path) {
    const std::string text = std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    ASSERT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    const int before = request_count;
    run_until([&] { return request_count > before; });
  };
  for (int i = 0; i < 10; ++i) send_request(user_fds.emplace_back(connect_to_port(port)), "/user");
  for (int i = 0; i < 16; ++i) send_request(machine_fds.emplace_back(connect_to_port(port)), "/machine");
  EXPECT_EQ(server->connections().worker_count(), 16U);
  EXPECT_LE(server->connections().open_count(), 19U);
  char c = 0;
  run_until([&] {  // the first user's connection is closed: end of stream, or an error, after the response
    ssize_t n = 0;
    while ((n = recv(user_fds[0], &c, 1, MSG_DONTWAIT)) == 1) {
    }
    return n == 0 || errno != EAGAIN;
  });
  for (const int fd : user_fds) close(fd);
  for (const int fd : machine_fds) close(fd);
  run_until([&] { return server->connections().open_count() == 0; });
}

TEST_F(HttpTest, ConcurrentRequestsStayWithinTheConnectionLimit) {
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<wire::Endpoint> endpoints;
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back({"127.0.0.1", free_port()});
    servers.push_back(start_server(endpoints.back().port, 100));
  }
  Client client(loop.base(), 2, 4);
  int answered = 0;
  std::size_t max_open = 0;
  for (int round = 0; round < 5; ++round)
    for (const auto& e : endpoints)
      client.request(Method::post, e, "/do", "{}", 5 * kSecond, [&](int status, const std::string&) {
        EXPECT_EQ(status, 200);
        ++answered;
        max_open = std::max(max_open, client.open_count());
      });
  run_until([&] { return answered == 60; });
  EXPECT_LE(max_open, 4U);
  EXPECT_GE(max_open, 1U);
}

TEST_F(HttpTest, APortInUseIsRetried) {
  const auto port = free_port();
  auto first_server = start_server(port, 10);
  EXPECT_THROW(retry_on_error([&] { return start_server(port, 10); }, 3, kMillisecond), std::runtime_error);
  std::thread stopper([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    first_server.reset();
  });
  EXPECT_NO_THROW(retry_on_error([&] { return start_server(port, 10); }, 10'000, kMillisecond));
  stopper.join();
}

}  // namespace
}  // namespace aspenwick::net
