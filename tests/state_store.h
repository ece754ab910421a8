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
class StateStore {
 public:
  using Done = std::function<void(int, const std::string&)>;
  explicit StateStore(Engine& engine) : engine_(engine) { expire(); }
  /// `waits`: an open watch is told nothing while it says so, as when the service is down or refuses a node.
  void request(
      net::Method method, const std::string& path, const std::string& body, const Done& done,
      const std::function<bool()>& waits = [] { return false; });

  /// Whoever follows from before now gets 410.
  void forget_changes() { log_.clear(), log_stamps_.clear(), oldest_ = revision_; }
  /// As somebody else's requests would.
  std::uint64_t grant(Micros life) {
    leases_[++next_lease_] = {life, engine_.now + life};
    return next_lease_;
  }
  void set(const std::string& key, const Json& value, std::uint64_t lease) {
    ++revision_;
    put(key, Kept{value, revision_, lease});
  }

  struct Kept {
    Json value;
    std::uint64_t stamp = 0, lease = 0;
  };
  std::map<std::string, Kept> keys;
  std::function<void(const std::string& key)> on_set = [](const std::string&) {};
  int held_keys_removed = 0;
  bool down = false;                // nothing is executed, and leases have their full time again afterwards
  std::size_t rows_in_page = 1000;  // at most, of a list of keys
  Micros page_takes = 0;            // until a page is answered, as it is by then

 private:
  void commit(const Json& asked, const Done& done);
  void changes(const std::string& under, std::uint64_t since, Micros until, const Done& done,
               const std::function<bool()>& waits);
  void put(const std::string& key, std::optional<Kept> value);
  void end_lease(std::uint64_t lease);
  void expire();
  Json page(const std::string& under, const std::string& since) const;

  struct Lease {
    Micros life = 0, ends = 0;
  };
  Engine& engine_;
  std::uint64_t revision_ = 1, next_lease_ = 7, oldest_ = 0;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::pair<std::string, std::optional<Kept>>> log_;  // with the stamp of each change
  std::vector<std::uint64_t> log_stamps_;
};

/// The value of a parameter of a request's path; empty: it isn't there.
std::string query_parameter(const std::string& path, const std::string& name);

}  // namespace aspenwick::testing
