// The state service of the small world, by the protocol: guarded transactions, leases, watches, lists in
// pages.
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

/// The state service: keys with stamps, leases, watches.
class FakeStateService {
 public:
  using ResponseCallback = std::function<void(int, const std::string&)>;
  explicit FakeStateService(SimulationEngine& engine) : engine_(engine) { expire_leases(); }
  /// `waits`: an open watch is told nothing while it says so, as when the service is down or refuses a node.
  void request(
      net::Method method, const std::string& path, const std::string& body, const ResponseCallback& respond,
      const std::function<bool()>& stalled = [] { return false; });

  /// Whoever follows from before now gets 410.
  void compact_changes() { log_.clear(), log_revisions_.clear(), oldest_revision_ = revision_; }
  /// As somebody else's requests would.
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
  std::function<void(const std::string& key)> on_key_set = [](const std::string&) {};
  int leased_keys_removed = 0;
  bool unavailable = false;      // nothing is executed, and leases have their full time again afterwards
  std::size_t page_size = 1000;  // at most, of a list of keys
  Micros page_latency = 0;       // until a page is answered, as it is by then

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
  std::vector<std::pair<std::string, std::optional<Entry>>> log_;  // with the stamp of each change
  std::vector<std::uint64_t> log_revisions_;
};

/// The value of a parameter of a request's path; empty: it isn't there.
std::string query_parameter(const std::string& path, const std::string& name);

}  // namespace aspenwick::testing
