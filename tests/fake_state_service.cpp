#include "fake_state_service.h"

namespace aspenwick::testing {

std::string query_parameter(const std::string& path, const std::string& name) {
  const auto at = path.find(name + "=");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 1;
  return path.substr(from, path.find('&', from) - from);
}

void FakeStateService::apply_change(const std::string& key, std::optional<Entry> value) {
  log_.emplace_back(key, value);
  log_revisions_.push_back(revision_);
  if (!value) {
    keys.erase(key);
    return;
  }
  keys[key] = std::move(*value);
  on_key_set(key);
}

void FakeStateService::revoke_lease(std::uint64_t lease) {
  if (leases_.erase(lease) == 0) return;
  ++revision_;
  std::vector<std::string> removed_keys;
  for (const auto& [key, k] : keys)
    if (k.lease == lease) removed_keys.push_back(key);
  for (const auto& key : removed_keys) apply_change(key, {}), ++leased_keys_removed;
}

void FakeStateService::expire_leases() {
  std::vector<std::uint64_t> expired;
  for (auto& [id, l] : leases_) {
    if (unavailable) l.expires_at = engine_.now + l.ttl;
    if (engine_.now > l.expires_at) expired.push_back(id);
  }
  for (const auto id : expired) revoke_lease(id);
  engine_.at(50 * kMillisecond, [this] { expire_leases(); });
}

void FakeStateService::commit(const Json& transaction, const ResponseCallback& respond) {
  Json failed = Json::array();
  for (const auto& g : transaction.at("guards")) {
    const auto it = keys.find(g.at("path").get<std::string>());
    if ((it == keys.end() ? 0 : it->second.mod_revision) != g.at("stamp").get<std::uint64_t>())
      failed.push_back(g.at("path"));
  }
  if (!failed.empty()) return respond(409, Json{{"failed", failed}, {"ledgerRev", revision_}}.dump());
  for (const auto& w : transaction.at("writes"))
    if (w.contains("hold") && !leases_.contains(w.at("hold").get<std::uint64_t>()))
      return respond(400, R"({"error":"no such lease"})");
  ++revision_;
  for (const auto& w : transaction.at("writes"))
    if (w.contains("delete"))
      apply_change(w.at("delete").get<std::string>(), {});
    else
      apply_change(w.at("set").get<std::string>(),
                   Entry{w.at("value"), revision_, w.value("hold", std::uint64_t{0})});
  respond(200, Json{{"ledgerRev", revision_}}.dump());
}

void FakeStateService::watch_changes(const std::string& prefix, std::uint64_t since, Micros until,
                                     const ResponseCallback& respond, const std::function<bool()>& stalled) {
  auto poll_again = [this, prefix, since, until, respond, stalled] {
    watch_changes(prefix, since, until, respond, stalled);
  };
  if (stalled()) return engine_.at(10 * kMillisecond, poll_again);
  if (since < oldest_revision_) return respond(410, "{}");
  Json events = Json::array();
  for (std::size_t i = 0; i < log_.size(); ++i) {
    const auto& [key, value] = log_[i];
    if (log_revisions_[i] <= since || !key.starts_with(prefix)) continue;
    events.push_back(value ? Json{{"set", key}, {"value", value->value}, {"stamp", log_revisions_[i]}}
                           : Json{{"delete", key}, {"stamp", log_revisions_[i]}});
  }
  if (!events.empty() || engine_.now >= until)
    return respond(200, Json{{"ledgerRev", revision_}, {"news", events}}.dump());
  engine_.at(10 * kMillisecond, poll_again);
}

Json FakeStateService::page(const std::string& prefix, const std::string& since) const {
  Json rows = Json::array();
  bool more = false;
  for (auto it = keys.upper_bound(since); it != keys.end(); ++it) {
    const auto& [key, entry] = *it;
    if (!key.starts_with(prefix)) continue;
    more = rows.size() >= page_size;
    if (more) break;
    rows.push_back({{"path", key}, {"value", entry.value}, {"stamp", entry.mod_revision}});
  }
  return {{"rows", rows}, {"hasNext", more}, {"ledgerRev", revision_}};
}

void FakeStateService::request(net::Method method, const std::string& path, const std::string& body,
                               const ResponseCallback& respond, const std::function<bool()>& stalled) {
  if (path == "/commit") return commit(Json::parse(body), respond);
  if (path.starts_with("/changes"))
    return watch_changes(query_parameter(path, "under"), std::stoull(query_parameter(path, "since")),
                         engine_.now + std::stoll(query_parameter(path, "holdMs")) * kMillisecond, respond,
                         stalled);
  if (path.starts_with("/kv/")) {
    const auto it = keys.find(path.substr(4));
    if (it == keys.end()) return respond(404, "{}");
    return respond(
        200,
        Json{{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.mod_revision}}.dump());
  }
  if (path.starts_with("/kv?")) {
    auto send_page = [this, path, respond] {
      respond(200, page(query_parameter(path, "under"), query_parameter(path, "since")).dump());
    };
    if (page_latency == 0) return send_page();
    return engine_.at(page_latency, send_page);
  }
  if (path == "/grants") {
    const Micros ttl = Json::parse(body).at("lifeMs").get<Micros>() * kMillisecond;
    leases_[++next_lease_] = {ttl, engine_.now + ttl};
    return respond(200, Json{{"hold", next_lease_}}.dump());
  }
  const std::uint64_t lease = std::stoull(path.substr(std::string("/grants/").size()));
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return respond(404, "{}");
  if (method == net::Method::del)
    revoke_lease(lease);
  else
    it->second.expires_at = engine_.now + it->second.ttl;
  respond(200, "{}");
}

}  // namespace aspenwick::testing
