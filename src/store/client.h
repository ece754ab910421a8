// The client of the state service: request and write budgets (this node's part of them), guarded commits,
// leases, and a watch that reads the keys again after a 410.
#pragma once
#include <array>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "net/exchange.h"
#include "net/loop.h"
#include "wire/wire.h"

namespace aspenwick::store {

/// Lease renewals go at once; the rest waits for the budget, in this order. `accept`: a user waits for it, or
/// the next stage of a pipeline.
enum class Urgency : std::uint8_t { now, accept, user, read, background };

struct TokenBucket {
  double rate = 1, capacity = 1, tokens = 1;
  Micros last_refill = 0;
  void refill(Micros now) {
    tokens = std::min(capacity, tokens + rate * to_seconds(now - last_refill));
    last_refill = now;
  }
};

class Client {
 public:
  Client(net::Loop& loop, net::Requester& http, const wire::PlatformSettings& settings);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// status as HTTP; 0: unknown whether executed. `revision`: of the commit, if 200.
  using CommitCallback = std::function<void(int status, std::uint64_t revision)>;
  void commit(std::vector<wire::Guard> guards, std::vector<wire::Write> writes, Urgency urgency,
              CommitCallback done);
  using GetCallback = std::function<void(int status, const wire::Row& row)>;
  void get(const std::string& key, Urgency urgency, GetCallback done);
  using ListCallback = std::function<void(bool ok, std::vector<wire::Row> rows, std::uint64_t revision)>;
  void list(const std::string& prefix, ListCallback done);
  /// All that changed under the prefix since a revision, up to a moment after the call: a fresh read of it.
  void changes(const std::string& prefix, std::uint64_t since, ListCallback done);
  /// All changes up to here were told by the watch.
  std::uint64_t watched_revision() const { return watch_revision_; }
  /// All that was changed before this moment was told by the watch.
  Micros watched_as_of() const { return watched_as_of_; }

  void grant(Micros duration, std::function<void(int status, std::uint64_t lease)> done);
  void renew(std::uint64_t lease, std::function<void(int status)> done);
  void revoke(std::uint64_t lease, std::function<void(int status)> done);

  /// Reads all keys under the prefix, then follows their changes. After a 410 all is read again.
  struct Watcher {
    /// A list of many pages is no snapshot: it has all that was there at revision `as_of`, of its first page,
    /// and is there still; of what came later, only some.
    std::function<void(std::vector<wire::Row> all, std::uint64_t as_of)> on_reload;
    std::function<void(std::vector<wire::Row> changes)> on_changes;
    /// What is known is as of a moment ago, whether or not there were changes.
    std::function<void()> on_caught_up;
  };
  void watch(const std::string& prefix, Watcher watcher);

  /// Told how long each answered call took.
  void set_latency_observer(std::function<void(Micros)> observer) { latency_observer_ = std::move(observer); }

  /// Asks now for what the watch has yet to tell, beside it: told as the watch's changes are. At most once a
  /// second, and not while all keys are read again.
  void catch_up();
  std::uint64_t catch_up_count() const { return catch_up_count_; }
  /// Answers that were older than what was known when they were asked for; left out.
  std::uint64_t stale_responses() const { return stale_responses_; }

  /// The service answered lately.
  bool reachable(Micros now) const;
  /// So much waits already that one more would be late.
  bool overloaded() const { return queue(Urgency::accept).size() > 30; }
  std::size_t max_txn_ops() const { return max_txn_ops_; }
  bool has_spare_writes() const;

 private:
  struct Request {
    net::Method method;
    std::string path, body;
    int writes;
    Micros deadline, queued_at;
    net::ResponseCallback done;
  };
  void submit(Urgency urgency, Request request);
  void send(Request request);
  void dispatch_queued();
  void poll_changes();
  bool is_stale(const wire::RowPage& page, std::uint64_t since);
  bool apply_changes(wire::RowPage page, std::uint64_t since, Micros sent);
  void reload_all();
  void list_page(const std::string& prefix, const std::string& after, std::vector<wire::Row> rows_so_far,
                 std::uint64_t revision, ListCallback done);

  net::Loop& loop_;
  net::Requester& http_;
  wire::Endpoint endpoint_;
  TokenBucket request_bucket_, write_bucket_;
  std::size_t max_txn_ops_;
  const std::deque<Request>& queue(Urgency u) const { return queues_[static_cast<std::size_t>(u)]; }
  std::array<std::deque<Request>, 5> queues_;
  bool dispatch_scheduled_ = false;
  Micros last_success_ = 0, last_failure_ = 0, throttled_until_ = 0;
  std::function<void(Micros)> latency_observer_;
  std::string watch_prefix_;
  Watcher watcher_;
  std::uint64_t watch_revision_ = 0;
  Micros watched_as_of_ = 0;
  bool reloading_ = false;
  Micros next_catch_up_at_ = 0;
  std::uint64_t catch_up_count_ = 0, stale_responses_ = 0;
};

}  // namespace aspenwick::store
