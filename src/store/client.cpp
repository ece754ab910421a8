#include "store/client.h"

#include <spdlog/spdlog.h>

namespace aspenwick::store {
namespace {
// Of the service's whole write rate, not divided by the number of nodes (see the constructor).
constexpr double kWriteBudgetFraction = 0.6;
// Of the write bucket's capacity; only writes with Urgency::accept may use it.
constexpr double kReservedFraction = 0.25;
// Of this node's part of the request rate. The rest allows for clocks that differ and bursts that overlap.
constexpr double kRequestBudgetFraction = 0.9;
constexpr Micros kRequestTimeout = 2 * kSecond;
constexpr Micros kLeaseRequestTimeout = 1200 * kMillisecond;
// A renewal counts from the time at which it was sent, so a late response is still useful as long as the
// lease lasts. Further renewals are sent in the meantime.
constexpr Micros kRenewalTimeout = 4 * kSecond;
constexpr Micros kDispatchInterval = 20 * kMillisecond;
constexpr Micros kLongPollDuration = 8 * kSecond;
// Lets changes accumulate, since each poll of the watch counts against the request budget.
constexpr Micros kPauseBetweenPolls = 60 * kMillisecond;
constexpr Micros kMaxQueueTime = 3 * kSecond;
constexpr Micros kMinCatchUpInterval = kSecond;
constexpr Micros kCatchUpRetryDelay = 250 * kMillisecond;
}  // namespace

Client::Client(net::Loop& loop, net::Requester& http, const wire::PlatformSettings& s)
    : loop_(loop), http_(http), endpoint_(s.state), max_txn_ops_(s.max_txn_ops) {
  const Micros now = loop_.now();
  const double nodes = static_cast<double>(s.siblings.size() + 1);
  request_bucket_ = {s.state_rps * kRequestBudgetFraction / nodes,
                     s.state_rps * kRequestBudgetFraction / nodes,
                     s.state_rps * kRequestBudgetFraction / nodes, now};
  // Writes come in bursts at one node, so it may use more than its part of the write rate. A 429, which
  // guarantees that nothing was executed, is retried. Background writes wait until the bucket is well filled.
  const double writes = s.state_write_rps * kWriteBudgetFraction;
  write_bucket_ = {writes, std::max(4.0, writes), std::max(4.0, writes), now};
}

bool Client::reachable(Micros now) const {
  return last_success_ >= last_failure_ ? now - last_success_ < 4 * kSecond : false;
}

bool Client::has_spare_writes() const {
  return write_bucket_.tokens > write_bucket_.capacity * 0.4 && queue(Urgency::accept).empty() &&
         queue(Urgency::user).empty();
}

void Client::submit(Urgency urgency, Request request) {
  request.queued_at = loop_.now();
  if (urgency == Urgency::now) {
    request_bucket_.tokens -= 1;
    write_bucket_.tokens -= request.writes;  // may become negative: queued requests wait for the refill
    send(std::move(request));
    return;
  }
  queues_[static_cast<std::size_t>(urgency)].push_back(std::move(request));
  dispatch_queued();
}

void Client::dispatch_queued() {
  const Micros now = loop_.now();
  request_bucket_.refill(now);
  write_bucket_.refill(now);
  bool waiting = false;
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      Request& r = queue.front();
      if (now - r.queued_at > kMaxQueueTime) {
        Request expired = std::move(r);
        queue.pop_front();
        expired.done(429, "");  // not executed: it was never sent, or refused with a 429
        continue;
      }
      // Writes for machines that join or move leave a reserve, so that writes a user waits for find tokens at
      // once.
      const double reserved = &queue == &queues_[static_cast<std::size_t>(Urgency::accept)]
                                  ? 0
                                  : write_bucket_.capacity * kReservedFraction;
      const double writes = std::min(r.writes + reserved, write_bucket_.capacity);
      if (now < throttled_until_ || request_bucket_.tokens < 1 ||
          (r.writes > 0 && write_bucket_.tokens < writes))
        break;
      request_bucket_.tokens -= 1;
      write_bucket_.tokens -= r.writes;
      Request request = std::move(r);
      queue.pop_front();
      // If the service refuses it for its rate limit (429), nothing was executed: it returns to the front of
      // its queue until it has waited for kMaxQueueTime.
      auto retry = std::make_shared<Request>(request);
      request.done = [this, retry, &queue](int status, const std::string& body) {
        if (status != 429 || loop_.now() - retry->queued_at > kMaxQueueTime) return retry->done(status, body);
        queue.push_front(std::move(*retry));
        dispatch_queued();
      };
      send(std::move(request));
    }
    waiting = waiting || !queue.empty();
  }
  if (!waiting || dispatch_scheduled_) return;
  dispatch_scheduled_ = true;
  loop_.call_later(kDispatchInterval, [this] {
    dispatch_scheduled_ = false;
    dispatch_queued();
  });
}

void Client::send(Request r) {
  http_.request(r.method, endpoint_, r.path, r.body, r.timeout,
                [this, sent = loop_.now(), done = std::move(r.done)](int status, const std::string& body) {
                  const Micros now = loop_.now();
                  if (status != 0 && latency_observer_) latency_observer_(now - sent);
                  if (status == 0 || status == 503)
                    last_failure_ = now;
                  else if (status != 429)
                    last_success_ = now;
                  if (status == 429) throttled_until_ = now + 150 * kMillisecond;
                  done(status, body);
                });
}

void Client::commit(std::vector<wire::Guard> guards, std::vector<wire::Write> writes, Urgency urgency,
                    CommitCallback done) {
  submit(urgency,
         {net::Method::post, "/commit", wire::commit_body(guards, writes), static_cast<int>(writes.size()),
          kRequestTimeout, 0, [done = std::move(done)](int status, const std::string& body) {
            std::uint64_t revision = 0;
            if (status == 200) {
              const auto j = wire::Json::parse(body, nullptr, false);
              if (!j.is_discarded()) revision = j.value("ledgerRev", std::uint64_t{0});
            }
            done(status, revision);
          }});
}

void Client::get(const std::string& key, Urgency urgency, GetCallback done) {
  submit(urgency, {net::Method::get, "/kv/" + key, "", 0, kRequestTimeout, 0,
                   [done = std::move(done)](int status, const std::string& body) {
                     wire::Row row;
                     if (status == 200) {
                       try {
                         row = wire::parse_row(body);
                       } catch (const std::exception&) {
                         status = 0;
                       }
                     }
                     done(status, row);
                   }});
}

void Client::list(const std::string& prefix, ListCallback done) {
  list_page(prefix, "", {}, 0, std::move(done));
}

void Client::list_page(const std::string& prefix, const std::string& after,
                       std::vector<wire::Row> rows_so_far, std::uint64_t revision, ListCallback done) {
  std::string path = "/kv?under=" + prefix + "&page=500";
  if (!after.empty()) path += "&since=" + after;
  submit(Urgency::user, {net::Method::get, path, "", 0, 3 * kSecond, 0,
                         [this, prefix, rows_so_far = std::move(rows_so_far), revision,
                          done = std::move(done)](int status, const std::string& body) mutable {
                           if (status != 200) return done(false, {}, 0);
                           wire::RowPage page;
                           try {
                             page = wire::parse_row_page(body);
                           } catch (const std::exception& e) {
                             spdlog::error("state service: malformed list response: {}", e.what());
                             return done(false, {}, 0);
                           }
                           // The revision of the first page is the start for following changes. Later pages
                           // may be newer; replaying the changes since the first page corrects that.
                           if (revision == 0) revision = page.revision;
                           for (auto& r : page.rows) rows_so_far.push_back(std::move(r));
                           if (!page.has_more || page.rows.empty())
                             return done(true, std::move(rows_so_far), revision);
                           const std::string last_key = rows_so_far.back().key;
                           list_page(prefix, last_key, std::move(rows_so_far), revision, std::move(done));
                         }});
}

void Client::changes(const std::string& prefix, std::uint64_t since, ListCallback done) {
  submit(Urgency::read,
         {net::Method::get, "/changes?under=" + prefix + "&since=" + std::to_string(since) + "&holdMs=0", "",
          0, kRequestTimeout, 0, [this, since, done = std::move(done)](int status, const std::string& body) {
            if (status != 200) return done(false, {}, 0);
            wire::RowPage page;
            try {
              page = wire::parse_changes(body);
            } catch (const std::exception& e) {
              spdlog::error("state service: malformed response to a read of changes: {}", e.what());
              return done(false, {}, 0);
            }
            if (is_stale(page, since)) return done(false, {}, 0);
            done(true, std::move(page.rows), page.revision);
          }});
}

void Client::grant(Micros duration, std::function<void(int, std::uint64_t)> done) {
  submit(Urgency::now,
         {net::Method::post, "/grants", wire::lease_request_body(duration), 0, kLeaseRequestTimeout, 0,
          [done = std::move(done)](int status, const std::string& body) {
            std::uint64_t lease = 0;
            if (status == 200) try {
                lease = wire::parse_lease(body);
              } catch (const std::exception&) {
                status = 0;
              }
            done(status, lease);
          }});
}

void Client::renew(std::uint64_t lease, std::function<void(int)> done) {
  submit(Urgency::now,
         {net::Method::post, "/grants/" + std::to_string(lease) + "/extend", "{}", 0, kRenewalTimeout, 0,
          [done = std::move(done)](int status, const std::string&) { done(status); }});
}

void Client::revoke(std::uint64_t lease, std::function<void(int)> done) {
  submit(Urgency::now, {net::Method::del, "/grants/" + std::to_string(lease), "", 0, kLeaseRequestTimeout, 0,
                        [done = std::move(done)](int status, const std::string&) { done(status); }});
}

void Client::watch(const std::string& prefix, Watcher watcher) {
  watch_prefix_ = prefix;
  watcher_ = std::move(watcher);
  reload_all();
}

void Client::reload_all() {
  reloading_ = true;
  list(watch_prefix_,
       [this, sent = loop_.now()](bool ok, std::vector<wire::Row> rows, std::uint64_t revision) {
         if (!ok) return loop_.call_later(300 * kMillisecond, [this] { reload_all(); });
         reloading_ = false;
         watch_revision_ = revision;
         watched_as_of_ = sent;
         spdlog::info("state service: read all {} keys under {} in {:.2f} s, as of revision {} or later",
                      rows.size(), watch_prefix_, to_seconds(loop_.now() - sent), revision);
         watcher_.on_reload(std::move(rows), revision);
         poll_changes();
       });
}

bool Client::is_stale(const wire::RowPage& page, std::uint64_t since) {
  if (page.revision >= since) return false;
  ++stale_responses_;
  spdlog::error("state service: response as of revision {} is older than the requested revision {}",
                page.revision, since);
  return true;
}

/// Passes on each row once, in the order of revisions, although the responses to polls and to catch_up()
/// overlap. Returns false if the response is older than the revision `since` that was asked for.
bool Client::apply_changes(wire::RowPage page, std::uint64_t since, Micros sent) {
  if (is_stale(page, since)) return false;
  std::erase_if(page.rows, [this](const wire::Row& row) { return row.version <= watch_revision_; });
  watch_revision_ = std::max(watch_revision_, page.revision);
  watched_as_of_ = std::max(watched_as_of_, sent);
  spdlog::debug("state service: {} changes up to revision {}, requested {:.2f} s ago", page.rows.size(),
                watch_revision_, to_seconds(loop_.now() - sent));
  if (!page.rows.empty()) watcher_.on_changes(std::move(page.rows));
  return true;
}

void Client::catch_up() {
  const Micros sent = loop_.now();
  if (reloading_ || sent < next_catch_up_at_) return;
  next_catch_up_at_ = sent + kMinCatchUpInterval;
  ++catch_up_count_;
  const std::uint64_t since = watch_revision_;
  const std::string path =
      "/changes?under=" + watch_prefix_ + "&since=" + std::to_string(since) + "&holdMs=0";
  // The result holds as of the time of sending, so like a lease renewal it is useful even if it comes seconds
  // later.
  submit(Urgency::now, {net::Method::get, path, "", 0, kRenewalTimeout, 0,
                        [this, since, sent](int status, const std::string& body) {
                          // After a 410 (changes lost) the watch itself reads all keys again.
                          if (status != 200) {
                            next_catch_up_at_ = std::min(next_catch_up_at_, loop_.now() + kCatchUpRetryDelay);
                            return;
                          }
                          // The pages of the list being read may be older than these changes, and would be
                          // passed on after them.
                          if (reloading_) return;
                          try {
                            if (apply_changes(wire::parse_changes(body), since, sent))
                              watcher_.on_caught_up();
                          } catch (const std::exception& e) {
                            spdlog::error("state service: cannot process the catch-up response: {}",
                                          e.what());
                          }
                        }});
}

void Client::poll_changes() {
  const std::uint64_t since = watch_revision_;
  const std::string path = "/changes?under=" + watch_prefix_ + "&since=" + std::to_string(since) +
                           "&holdMs=" + std::to_string(kLongPollDuration / kMillisecond);
  request_bucket_.tokens -= 1;
  // Not through send(): a long poll that is held open says nothing about the health of the service.
  http_.request(
      net::Method::get, endpoint_, path, "", kLongPollDuration + 2 * kSecond,
      [this, since, sent = loop_.now()](int status, const std::string& body) {
        if (status == 410) {
          spdlog::info(
              "state service: changes after revision {} are no longer available, reading all keys again",
              watch_revision_);
          return reload_all();
        }
        if (status != 200) return loop_.call_later(250 * kMillisecond, [this] { poll_changes(); });
        try {
          apply_changes(wire::parse_changes(body), since, sent);
        } catch (const std::exception& e) {
          spdlog::error("state service: cannot process the watch response: {}", e.what());
          return loop_.call_later(kSecond, [this] { reload_all(); });
        }
        loop_.call_later(kPauseBetweenPolls, [this] { poll_changes(); });
      });
}

}  // namespace aspenwick::store
