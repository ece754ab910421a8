// Whole nodes in one process and in simulated time: a state service, a cloud, workers and a network just
// large enough to drive them by the protocol, without sockets.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "app/controller.h"
#include "fixtures.h"
#include "net/exchange.h"
#include "net/loop.h"

namespace aspenwick::testing {

using wire::Json;

/// Events in the order of their times; those of a node that has crashed are left out.
class Engine {
 public:
  Micros now = 1000 * kSecond;
  void at(Micros delay, std::function<void()> what) {
    events_.emplace(std::pair{now + std::max<Micros>(0, delay), ++count_}, std::move(what));
  }
  void run_for(Micros span) {
    const Micros until = now + span;
    while (!events_.empty() && events_.begin()->first.first <= until) {
      now = events_.begin()->first.first;
      const auto what = std::move(events_.extract(events_.begin()).mapped());
      what();
    }
    now = until;
  }

 private:
  std::map<std::pair<Micros, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t count_ = 0;
};

class NodeLoop : public net::Loop {
 public:
  explicit NodeLoop(Engine& engine) : engine_(engine) {}
  Micros now() const override { return engine_.now; }
  Micros time_of_day() const override { return engine_.now + 1'700'000'000 * kSecond; }
  void later(Micros delay, std::function<void()> what) override {
    engine_.at(delay, [alive = alive_, what = std::move(what)] {
      if (*alive) what();
    });
  }
  void every(Micros period, std::function<void()> what) override {
    later(period, [this, period, what] {
      every(period, what);
      what();
    });
  }
  void crash() { *alive_ = false; }

 private:
  Engine& engine_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// The state service: keys with stamps, leases, watches.
class StateStore {
 public:
  using Done = std::function<void(int, const std::string&)>;
  explicit StateStore(Engine& engine) : engine_(engine) { expire(); }
  void request(net::Method method, const std::string& path, const std::string& body, const Done& done);

  struct Kept {
    Json value;
    std::uint64_t stamp = 0, lease = 0;
  };
  std::map<std::string, Kept> keys;
  int held_keys_removed = 0;

 private:
  void commit(const Json& asked, const Done& done);
  void changes(const std::string& under, std::uint64_t since, Micros until, const Done& done);
  void put(const std::string& key, std::optional<Kept> value);
  void end_lease(std::uint64_t lease);
  void expire();

  struct Lease {
    Micros life = 0, ends = 0;
  };
  Engine& engine_;
  std::uint64_t revision_ = 1, next_lease_ = 7;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::pair<std::string, std::optional<Kept>>> log_;  // with the stamp of each change
  std::vector<std::uint64_t> log_stamps_;
};

struct Answer {
  int status = 0;
  Json body;
};

/// Nodes a, b, c of the fixtures' settings, with workers that report to whoever holds them.
class SmallWorld {
 public:
  explicit SmallWorld(const app::OperatorSettings& settings = {});
  ~SmallWorld();
  void start(const std::string& node);
  void crash(const std::string& node);
  Answer ask(const std::string& node, net::Method method, const std::string& path, const Json& body = {});

  Engine engine;
  StateStore store{engine};
  Micros run_time = 3 * kSecond;
  /// Starts of each task; a task never runs at two places at a time.
  std::map<std::string, int> starts;
  int ran_twice = 0;
  std::set<std::uint64_t> attempts;  // of all starts

 private:
  struct Node;
  struct Worker;
  class Wire;
  class Post;
  void cloud(net::Method method, const std::string& path, const std::string& body,
             const StateStore::Done& done);
  void report(Worker& w);
  void obey(Worker& w, const Json& order);
  Json say(Worker& w) const;

  app::OperatorSettings settings_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> crashed_;
  std::map<std::string, Worker> workers_;
  int rented_ = 0;
};

}  // namespace aspenwick::testing
