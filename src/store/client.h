// Client of the state service: keeps this node's requests and writes within the service's rate limits, and
// offers guarded commits, reads, leases and a watch that reads all keys again after a 410.
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

/// Order in which requests are sent. `now` (leases and catch-ups) is sent at once, whatever the budget; the
/// others wait in queues for the budget, served in this order. `accept`: a user, or the next stage of a
/// pipeline, waits for the result.
enum class Urgency : std::uint8_t { now, accept, user, read, background };

/// Rates and amounts in requests, or in writes.
struct TokenBucket {
  /// `rate`: tokens per second. `tokens` is negative after requests that were sent without waiting.
  double rate = 1, capacity = 1, tokens = 1;
  Micros last_refill = 0;
  void refill(Micros now) {
    tokens = std::min(capacity, tokens + rate * to_seconds(now - last_refill));
    last_refill = now;
  }
};

/// `loop` and `http` must outlive the client.
class Client {
 public:
  Client(net::Loop& loop, net::Requester& http, const wire::PlatformSettings& settings);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // All callbacks get an HTTP status, or 0 if it is unknown whether the request was executed. 429: it was not
  // executed, because the service refused it or it waited too long for the budget.

  /// `revision`: the revision of the commit, if the status is 200; otherwise 0.
  using CommitCallback = std::function<void(int status, std::uint64_t revision)>;
  void commit(std::vector<wire::Guard> guards, std::vector<wire::Write> writes, Urgency urgency,
              CommitCallback done);
  /// `row` is set if the status is 200.
  using GetCallback = std::function<void(int status, const wire::Row& row)>;
  void get(const std::string& key, Urgency urgency, GetCallback done);
  /// `revision`: all changes up to it are contained in `rows`.
  using ListCallback = std::function<void(bool ok, std::vector<wire::Row> rows, std::uint64_t revision)>;
  void list(const std::string& prefix, ListCallback done);
  /// Reads what changed under the prefix after revision `since`, up to some moment after the call. Fails if
  /// the response is older than `since`.
  void changes(const std::string& prefix, std::uint64_t since, ListCallback done);
  /// The watch has passed on all changes up to this revision.
  std::uint64_t watched_revision() const { return watch_revision_; }
  /// The watch has passed on all changes made before this time of the loop's clock.
  Micros watched_as_of() const { return watched_as_of_; }

  /// Leases. Their requests are sent at once. `grant` passes the new lease's id.
  void grant(Micros duration, std::function<void(int status, std::uint64_t lease)> done);
  void renew(std::uint64_t lease, std::function<void(int status)> done);
  void revoke(std::uint64_t lease, std::function<void(int status)> done);

  /// Callbacks of a watch.
  struct Watcher {
    /// All keys were read, at first or after a 410. A list of several pages is no snapshot: it contains every
    /// row that existed at revision `as_of` (that of its first page) and still exists, and some of the later
    /// changes.
    std::function<void(std::vector<wire::Row> all, std::uint64_t as_of)> on_reload;
    /// Changed rows in the order of their revisions.
    std::function<void(std::vector<wire::Row> changes)> on_changes;
    /// A catch-up succeeded: what is known is current as of its sending, whether or not there were changes.
    std::function<void()> on_caught_up;
  };
  /// Reads all keys under the prefix, then follows their changes. Reads all again after a 410. At most one
  /// watch per client.
  void watch(const std::string& prefix, Watcher watcher);

  /// Called with the time that each answered request took, except for the watch's long polls.
  void set_latency_observer(std::function<void(Micros)> observer) { latency_observer_ = std::move(observer); }

  /// Requests, beside the watch's long poll, the changes that the watch has not passed on yet; they reach the
  /// watcher as usual. Sent at most once a second, and not while all keys are being read.
  void catch_up();
  std::uint64_t catch_up_count() const { return catch_up_count_; }
  /// Responses that were discarded because they were older than the revision that was asked for.
  std::uint64_t stale_responses() const { return stale_responses_; }

  /// The last request succeeded, or was refused for another reason than an outage, within the last 4 s.
  bool reachable(Micros now) const;
  /// So many requests wait in the `accept` queue that a further one would be late.
  bool overloaded() const { return queue(Urgency::accept).size() > 30; }
  std::size_t max_txn_ops() const { return max_txn_ops_; }
  /// The write budget allows background writes: the bucket is well filled and no user's request waits.
  bool has_spare_writes() const;

 private:
  struct Request {
    net::Method method;
    std::string path, body;
    int writes;  // number of writes, for the write budget
    Micros timeout, queued_at;
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
