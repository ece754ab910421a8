// An in-memory state service for simulations that implements the protocol: guarded transactions, leases,
// watches and paged lists.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "engine.h"
#include "net/exchange.h"
#include "wire/wire.h"

namespace aspenwick::testing {

using wire::Json;

/// Keys with the revision of their last change, which the protocol calls stamp, and with optional leases.
class FakeStateService {
 public:
  using ResponseCallback = std::function<void(int, const std::string&)>;
  explicit FakeStateService(SimulationEngine& engine) : engine_(engine) { expire_leases(); }
  /// Executes a request. Reads of changes are not answered while `stalled` returns true, for instance because
  /// the service is down or refuses the node. Faults other than this one are the caller's.
  void request(
      net::Method method, const std::string& path, const std::string& body, const ResponseCallback& respond,
      const std::function<bool()>& stalled = [] { return false; });

  /// Drops the change log: watches that begin at an earlier revision get status 410.
  void compact_changes() { log_.clear(), log_revisions_.clear(), oldest_revision_ = revision_; }
  /// Creates a lease, or sets a key, as a request of another client would.
  std::uint64_t grant_lease(Micros ttl) {
    leases_[++next_lease_] = {ttl, engine_.now + ttl};
    return next_lease_;
  }
  void set_key(const std::string& key, const Json& value, std::uint64_t lease) {
    ++revision_;
    apply_change(key, Entry{value, revision_, lease});
  }

  struct Entry {
    Json value;
    std::uint64_t mod_revision = 0, lease = 0;
  };
  std::map<std::string, Entry> keys;
  /// Called after each write of a key, except deletions.
  std::function<void(const std::string& key)> on_key_set = [](const std::string&) {};
  int leased_keys_removed = 0;   // because their lease ended
  bool unavailable = false;      // callers execute nothing; leases have their full TTL again afterwards
  std::size_t page_size = 1000;  // rows in a page of a list, at most
  Micros page_latency = 0;       // the page shows the keys at the end of this time

 private:
  void commit(const Json& transaction, const ResponseCallback& respond);
  void watch_changes(const std::string& prefix, std::uint64_t since, Micros until,
                     const ResponseCallback& respond, const std::function<bool()>& stalled);
  void apply_change(const std::string& key, std::optional<Entry> value);
  void revoke_lease(std::uint64_t lease);
  void expire_leases();
  Json page(const std::string& prefix, const std::string& since) const;

  struct Lease {
    Micros ttl = 0, expires_at = 0;
  };
  SimulationEngine& engine_;
  std::uint64_t revision_ = 1, next_lease_ = 7, oldest_revision_ = 0;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::pair<std::string, std::optional<Entry>>> log_;  // no value: deleted
  std::vector<std::uint64_t> log_revisions_;                       // of each entry of log_
};

/// The value of a query parameter of a request's path; empty if it is missing.
std::string query_parameter(const std::string& path, const std::string& name);

}  // namespace aspenwick::testing
