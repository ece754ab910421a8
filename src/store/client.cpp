#include "store/client.h"

#include <spdlog/spdlog.h>

namespace aspenwick::store {
namespace {
constexpr double kWritePart = 0.6;
constexpr double kKept = 0.25;  // of a full bucket of changes, for users
constexpr double kPart = 0.9;   // of the budget; the rest is for clocks and bursts that overlap
constexpr Micros kDeadline = 2 * kSecond;
constexpr Micros kLeaseDeadline = 1200 * kMillisecond;
// Counted from sending, a renewal is worth something as long as its lease: others are sent meanwhile.
constexpr Micros kRenewalDeadline = 4 * kSecond;
constexpr Micros kPump = 20 * kMillisecond;
constexpr Micros kHold = 8 * kSecond;
constexpr Micros kWatchPause = 60 * kMillisecond;  // gathers changes: the watch costs requests
constexpr Micros kWaitInQueue = 3 * kSecond;
constexpr Micros kCatchUpAgain = kSecond;
constexpr Micros kCatchUpRefused = 250 * kMillisecond;
}  // namespace

Client::Client(net::Loop& loop, net::Requester& http, const wire::PlatformSettings& s)
    : loop_(loop), http_(http), state_(s.state), txn_ops_(s.txn_ops) {
  const Micros now = loop_.now();
  const double nodes = static_cast<double>(s.siblings.size() + 1);
  requests_ = {s.state_rps * kPart / nodes, s.state_rps * kPart / nodes, s.state_rps * kPart / nodes, now};
  // Changes come in bursts at one node: it may use more than its part, and a 429, which surely executed
  // nothing, is tried again. Background writes wait until the bucket is well filled.
  const double writes = s.state_write_rps * kWritePart;
  writes_ = {writes, std::max(4.0, writes), std::max(4.0, writes), now};
}

bool Client::ok(Micros now) const { return last_ok_ >= last_bad_ ? now - last_ok_ < 4 * kSecond : false; }

bool Client::writes_spare() const {
  return writes_.level > writes_.burst * 0.4 && queue(Urgency::accept).empty() &&
         queue(Urgency::user).empty();
}

void Client::submit(Urgency urgency, Request request) {
  request.queued = loop_.now();
  if (urgency == Urgency::now) {
    requests_.level -= 1;
    writes_.level -= request.writes;  // what follows waits for it
    send(std::move(request));
    return;
  }
  queues_[static_cast<std::size_t>(urgency)].push_back(std::move(request));
  pump();
}

void Client::pump() {
  const Micros now = loop_.now();
  requests_.refill(now);
  writes_.refill(now);
  bool waiting = false;
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      Request& r = queue.front();
      if (now - r.queued > kWaitInQueue) {
        Request late = std::move(r);
        queue.pop_front();
        late.done(429, "");  // surely not executed
        continue;
      }
      // Machines that come and move leave users' changes a part that is there at once.
      const double kept =
          &queue == &queues_[static_cast<std::size_t>(Urgency::accept)] ? 0 : writes_.burst * kKept;
      const double writes = std::min(r.writes + kept, writes_.burst);
      if (now < slow_until_ || requests_.level < 1 || (r.writes > 0 && writes_.level < writes)) break;
      requests_.level -= 1;
      writes_.level -= r.writes;
      Request go = std::move(r);
      queue.pop_front();
      // Once more if refused for the budget: nothing was executed.
      auto again = std::make_shared<Request>(go);
      go.done = [this, again, &queue](int status, const std::string& body) {
        if (status != 429 || loop_.now() - again->queued > kWaitInQueue) return again->done(status, body);
        queue.push_front(std::move(*again));
        pump();
      };
      send(std::move(go));
    }
    waiting = waiting || !queue.empty();
  }
  if (!waiting || pump_soon_) return;
  pump_soon_ = true;
  loop_.later(kPump, [this] {
    pump_soon_ = false;
    pump();
  });
}

void Client::send(Request r) {
  http_.request(r.method, state_, r.path, r.body, r.deadline,
                [this, sent = loop_.now(), done = std::move(r.done)](int status, const std::string& body) {
                  const Micros now = loop_.now();
                  if (status != 0 && observer_) observer_(now - sent);
                  if (status == 0 || status == 503)
                    last_bad_ = now;
                  else if (status != 429)
                    last_ok_ = now;
                  if (status == 429) slow_until_ = now + 150 * kMillisecond;
                  done(status, body);
                });
}

void Client::commit(std::vector<wire::Guard> guards, std::vector<wire::Write> writes, Urgency urgency,
                    Committed done) {
  submit(urgency,
         {net::Method::post, "/commit", wire::commit_body(guards, writes), static_cast<int>(writes.size()),
          kDeadline, 0, [done = std::move(done)](int status, const std::string& body) {
            std::uint64_t revision = 0;
            if (status == 200) {
              const auto j = wire::Json::parse(body, nullptr, false);
              if (!j.is_discarded()) revision = j.value("ledgerRev", std::uint64_t{0});
            }
            done(status, revision);
          }});
}

void Client::get(const std::string& key, Urgency urgency, Got done) {
  submit(urgency, {net::Method::get, "/kv/" + key, "", 0, kDeadline, 0,
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

void Client::list(const std::string& prefix, Listed done) { list_page(prefix, "", {}, 0, std::move(done)); }

void Client::list_page(const std::string& prefix, const std::string& after, std::vector<wire::Row> sofar,
                       std::uint64_t revision, Listed done) {
  std::string path = "/kv?under=" + prefix + "&page=500";
  if (!after.empty()) path += "&since=" + after;
  submit(Urgency::user, {net::Method::get, path, "", 0, 3 * kSecond, 0,
                         [this, prefix, sofar = std::move(sofar), revision, done = std::move(done)](
                             int status, const std::string& body) mutable {
                           if (status != 200) return done(false, {}, 0);
                           wire::Page page;
                           try {
                             page = wire::parse_page(body);
                           } catch (const std::exception& e) {
                             spdlog::error("state service: {}", e.what());
                             return done(false, {}, 0);
                           }
                           // Changes are followed from the first page on: later pages may be newer, which
                           // replaying them mends.
                           if (revision == 0) revision = page.revision;
                           for (auto& r : page.rows) sofar.push_back(std::move(r));
                           if (!page.more || page.rows.empty()) return done(true, std::move(sofar), revision);
                           const std::string last = sofar.back().key;
                           list_page(prefix, last, std::move(sofar), revision, std::move(done));
                         }});
}

void Client::changes(const std::string& prefix, std::uint64_t since, Listed done) {
  submit(Urgency::read,
         {net::Method::get, "/changes?under=" + prefix + "&since=" + std::to_string(since) + "&holdMs=0", "",
          0, kDeadline, 0, [this, since, done = std::move(done)](int status, const std::string& body) {
            if (status != 200) return done(false, {}, 0);
            wire::Page page;
            try {
              page = wire::parse_changes(body);
            } catch (const std::exception& e) {
              spdlog::error("state service: {}", e.what());
              return done(false, {}, 0);
            }
            if (older_than_asked(page, since)) return done(false, {}, 0);
            done(true, std::move(page.rows), page.revision);
          }});
}

void Client::grant(Micros life, std::function<void(int, std::uint64_t)> done) {
  submit(Urgency::now, {net::Method::post, "/grants", wire::lease_body(life), 0, kLeaseDeadline, 0,
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
         {net::Method::post, "/grants/" + std::to_string(lease) + "/extend", "{}", 0, kRenewalDeadline, 0,
          [done = std::move(done)](int status, const std::string&) { done(status); }});
}

void Client::revoke(std::uint64_t lease, std::function<void(int)> done) {
  submit(Urgency::now, {net::Method::del, "/grants/" + std::to_string(lease), "", 0, kLeaseDeadline, 0,
                        [done = std::move(done)](int status, const std::string&) { done(status); }});
}

void Client::watch(const std::string& prefix, Watcher watcher) {
  watch_prefix_ = prefix;
  watcher_ = std::move(watcher);
  read_all();
}

void Client::read_all() {
  reading_all_ = true;
  list(watch_prefix_,
       [this, sent = loop_.now()](bool ok, std::vector<wire::Row> rows, std::uint64_t revision) {
         if (!ok) return loop_.later(300 * kMillisecond, [this] { read_all(); });
         reading_all_ = false;
         watch_revision_ = revision;
         watched_as_of_ = sent;
         spdlog::info("state service: all {} keys under {} read in {:.2f} s, as of revision {} or later",
                      rows.size(), watch_prefix_, to_seconds(loop_.now() - sent), revision);
         watcher_.reset(std::move(rows), revision);
         follow();
       });
}

bool Client::older_than_asked(const wire::Page& page, std::uint64_t since) {
  if (page.revision >= since) return false;
  ++old_answers_;
  spdlog::error("state service: answered as of revision {}, asked for changes after {}", page.revision,
                since);
  return true;
}

/// Rows in the order of their revisions, each once, whichever answer brought them. false: the answer is older
/// than its question.
bool Client::tell_changes(wire::Page page, std::uint64_t since, Micros sent) {
  if (older_than_asked(page, since)) return false;
  std::erase_if(page.rows, [this](const wire::Row& row) { return row.version <= watch_revision_; });
  watch_revision_ = std::max(watch_revision_, page.revision);
  watched_as_of_ = std::max(watched_as_of_, sent);
  spdlog::debug("state service: {} changes up to revision {}, asked {:.2f} s ago", page.rows.size(),
                watch_revision_, to_seconds(loop_.now() - sent));
  if (!page.rows.empty()) watcher_.changed(std::move(page.rows));
  return true;
}

void Client::catch_up() {
  const Micros sent = loop_.now();
  if (reading_all_ || sent < next_catch_up_) return;
  next_catch_up_ = sent + kCatchUpAgain;
  ++catch_ups_;
  const std::uint64_t since = watch_revision_;
  const std::string path =
      "/changes?under=" + watch_prefix_ + "&since=" + std::to_string(since) + "&holdMs=0";
  // Counted from sending, as a lease's renewal, it is worth something for seconds.
  submit(Urgency::now, {net::Method::get, path, "", 0, kRenewalDeadline, 0,
                        [this, since, sent](int status, const std::string& body) {
                          // Changes that are lost (410) make the watch read all keys.
                          if (status != 200) {
                            next_catch_up_ = std::min(next_catch_up_, loop_.now() + kCatchUpRefused);
                            return;
                          }
                          // Among the pages of a list, what is newer than the first would look older than it.
                          if (reading_all_) return;
                          try {
                            if (tell_changes(wire::parse_changes(body), since, sent)) watcher_.caught_up();
                          } catch (const std::exception& e) {
                            spdlog::error("state service: {}", e.what());
                          }
                        }});
}

void Client::follow() {
  const std::uint64_t since = watch_revision_;
  const std::string path = "/changes?under=" + watch_prefix_ + "&since=" + std::to_string(since) +
                           "&holdMs=" + std::to_string(kHold / kMillisecond);
  requests_.level -= 1;
  // Not through send(): an open watch that waits says nothing of the service's health.
  http_.request(net::Method::get, state_, path, "", kHold + 2 * kSecond,
                [this, since, sent = loop_.now()](int status, const std::string& body) {
                  if (status == 410) {
                    spdlog::info("state service: changes after revision {} are lost, all keys are read again",
                                 watch_revision_);
                    return read_all();
                  }
                  if (status != 200) return loop_.later(250 * kMillisecond, [this] { follow(); });
                  try {
                    tell_changes(wire::parse_changes(body), since, sent);
                  } catch (const std::exception& e) {
                    spdlog::error("state service: watch: {}", e.what());
                    return loop_.later(kSecond, [this] { read_all(); });
                  }
                  loop_.later(kWatchPause, [this] { follow(); });
                });
}

}  // namespace aspenwick::store
