// Sockets: who has connections to us, what is closed when room runs short, pushes within their bound, a port
// that is still in use.
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

using testing::connect_to;
using testing::free_port;

TEST(ConnectionsTest, TheLongestIdleOfOthersMakesWay) {
  int ids[20];
  ConnectionTable c(20);
  for (int i = 0; i < 10; ++i) c.on_request(&ids[i], ConnectionTable::ClientKind::worker);
  for (int i = 10; i < 16; ++i) c.on_request(&ids[i], ConnectionTable::ClientKind::other);
  for (int i = 0; i < 16; ++i) c.on_response(&ids[i]);
  EXPECT_TRUE(c.should_close_on_response(&ids[12]));  // 16 of 20
  EXPECT_FALSE(c.should_close_on_response(&ids[3]));  // machines report for good
  EXPECT_TRUE(c.idle_to_close().empty());
  c.on_request(&ids[10], ConnectionTable::ClientKind::other);  // asks, and has no answer yet
  for (int i = 16; i < 20; ++i) c.on_request(&ids[i], ConnectionTable::ClientKind::worker);
  EXPECT_EQ(c.idle_to_close(), (std::vector<ConnectionTable::Id>{&ids[11], &ids[12]}));
  c.on_close(&ids[11]);
  c.on_close(&ids[11]);
  EXPECT_EQ(c.idle_to_close(), (std::vector<ConnectionTable::Id>{&ids[12]}));
  EXPECT_EQ(c.open_count(), 19U);
  EXPECT_EQ(c.worker_count(), 14U);
}

TEST(SocketBudgetTest, ThePartsStayWithinTheWhole) {
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
  std::unique_ptr<Server> serve(std::uint16_t port, std::size_t room) {
    return std::make_unique<Server>(
        loop.base(), wire::Endpoint{"127.0.0.1", port},
        Server::Limits{room, 30 * kSecond, [](const std::string& path) { return path == "/machine"; }},
        [this](const ExchangePtr& x) {
          ++asked;
          x->answer(200, "{}");
        });
  }
  void turn_until(const std::function<bool()>& over) {
    for (int i = 0; i < 20'000 && !over(); ++i) event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    EXPECT_TRUE(over());
  }
  EventLoop loop;
  int asked = 0;
};

TEST_F(HttpTest, UsersThatIdleMakeWayForMachines) {
  const auto port = free_port();
  const auto server = serve(port, 20);
  std::vector<int> users, machines;
  auto ask = [&](int fd, const char* path) {
    const std::string text = std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    ASSERT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    const int before = asked;
    turn_until([&] { return asked > before; });
  };
  for (int i = 0; i < 10; ++i) ask(users.emplace_back(connect_to(port)), "/user");
  for (int i = 0; i < 16; ++i) ask(machines.emplace_back(connect_to(port)), "/machine");
  EXPECT_EQ(server->connections().worker_count(), 16U);
  EXPECT_LE(server->connections().open_count(), 19U);
  char c = 0;
  turn_until([&] {  // the first user's connection is closed: an end, or an error, after the answer
    ssize_t n = 0;
    while ((n = recv(users[0], &c, 1, MSG_DONTWAIT)) == 1) {
    }
    return n == 0 || errno != EAGAIN;
  });
  for (const int fd : users) close(fd);
  for (const int fd : machines) close(fd);
  turn_until([&] { return server->connections().open_count() == 0; });
}

TEST_F(HttpTest, PushesKeepWithinTheirConnections) {
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<wire::Endpoint> to;
  for (int i = 0; i < 12; ++i) {
    to.push_back({"127.0.0.1", free_port()});
    servers.push_back(serve(to.back().port, 100));
  }
  Client client(loop.base(), 2, 4);
  int answered = 0;
  std::size_t most = 0;
  for (int round = 0; round < 5; ++round)
    for (const auto& e : to)
      client.request(Method::post, e, "/do", "{}", 5 * kSecond, [&](int status, const std::string&) {
        EXPECT_EQ(status, 200);
        ++answered;
        most = std::max(most, client.open_count());
      });
  turn_until([&] { return answered == 60; });
  EXPECT_LE(most, 4U);
  EXPECT_GE(most, 1U);
}

TEST_F(HttpTest, APortStillInUseIsTriedAgain) {
  const auto port = free_port();
  auto former = serve(port, 10);
  EXPECT_THROW(retry_on_error([&] { return serve(port, 10); }, 3, kMillisecond), std::runtime_error);
  std::thread end([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    former.reset();
  });
  EXPECT_NO_THROW(retry_on_error([&] { return serve(port, 10); }, 10'000, kMillisecond));
  end.join();
}

}  // namespace
}  // namespace aspenwick::net
