#include "state_store.h"

namespace aspenwick::testing {

std::string query_parameter(const std::string& path, const std::string& name) {
  const auto at = path.find(name + "=");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 1;
  return path.substr(from, path.find('&', from) - from);
}

void StateStore::put(const std::string& key, std::optional<Kept> value) {
  log_.emplace_back(key, value);
  log_stamps_.push_back(revision_);
  if (!value) {
    keys.erase(key);
    return;
  }
  keys[key] = std::move(*value);
  on_set(key);
}

void StateStore::end_lease(std::uint64_t lease) {
  if (leases_.erase(lease) == 0) return;
  ++revision_;
  std::vector<std::string> gone;
  for (const auto& [key, k] : keys)
    if (k.lease == lease) gone.push_back(key);
  for (const auto& key : gone) put(key, {}), ++held_keys_removed;
}

void StateStore::expire() {
  std::vector<std::uint64_t> over;
  for (auto& [id, l] : leases_) {
    if (down) l.ends = engine_.now + l.life;
    if (engine_.now > l.ends) over.push_back(id);
  }
  for (const auto id : over) end_lease(id);
  engine_.at(50 * kMillisecond, [this] { expire(); });
}

void StateStore::commit(const Json& asked, const Done& done) {
  Json failed = Json::array();
  for (const auto& g : asked.at("guards")) {
    const auto it = keys.find(g.at("path").get<std::string>());
    if ((it == keys.end() ? 0 : it->second.stamp) != g.at("stamp").get<std::uint64_t>())
      failed.push_back(g.at("path"));
  }
  if (!failed.empty()) return done(409, Json{{"failed", failed}, {"ledgerRev", revision_}}.dump());
  for (const auto& w : asked.at("writes"))
    if (w.contains("hold") && !leases_.contains(w.at("hold").get<std::uint64_t>()))
      return done(400, R"({"error":"no such lease"})");
  ++revision_;
  for (const auto& w : asked.at("writes"))
    if (w.contains("delete"))
      put(w.at("delete").get<std::string>(), {});
    else
      put(w.at("set").get<std::string>(), Kept{w.at("value"), revision_, w.value("hold", std::uint64_t{0})});
  done(200, Json{{"ledgerRev", revision_}}.dump());
}

void StateStore::changes(const std::string& under, std::uint64_t since, Micros until, const Done& done,
                         const std::function<bool()>& waits) {
  auto again = [this, under, since, until, done, waits] { changes(under, since, until, done, waits); };
  if (waits()) return engine_.at(10 * kMillisecond, again);
  if (since < oldest_) return done(410, "{}");
  Json news = Json::array();
  for (std::size_t i = 0; i < log_.size(); ++i) {
    const auto& [key, value] = log_[i];
    if (log_stamps_[i] <= since || !key.starts_with(under)) continue;
    news.push_back(value ? Json{{"set", key}, {"value", value->value}, {"stamp", log_stamps_[i]}}
                         : Json{{"delete", key}, {"stamp", log_stamps_[i]}});
  }
  if (!news.empty() || engine_.now >= until)
    return done(200, Json{{"ledgerRev", revision_}, {"news", news}}.dump());
  engine_.at(10 * kMillisecond, again);
}

Json StateStore::page(const std::string& under, const std::string& since) const {
  Json rows = Json::array();
  bool more = false;
  for (auto it = keys.upper_bound(since); it != keys.end(); ++it) {
    const auto& [key, kept] = *it;
    if (!key.starts_with(under)) continue;
    more = rows.size() >= rows_in_page;
    if (more) break;
    rows.push_back({{"path", key}, {"value", kept.value}, {"stamp", kept.stamp}});
  }
  return {{"rows", rows}, {"hasNext", more}, {"ledgerRev", revision_}};
}

void StateStore::request(net::Method method, const std::string& path, const std::string& body,
                         const Done& done, const std::function<bool()>& waits) {
  if (path == "/commit") return commit(Json::parse(body), done);
  if (path.starts_with("/changes"))
    return changes(query_parameter(path, "under"), std::stoull(query_parameter(path, "since")),
                   engine_.now + std::stoll(query_parameter(path, "holdMs")) * kMillisecond, done, waits);
  if (path.starts_with("/kv/")) {
    const auto it = keys.find(path.substr(4));
    if (it == keys.end()) return done(404, "{}");
    return done(200,
                Json{{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}}.dump());
  }
  if (path.starts_with("/kv?")) {
    auto answer = [this, path, done] {
      done(200, page(query_parameter(path, "under"), query_parameter(path, "since")).dump());
    };
    if (page_takes == 0) return answer();
    return engine_.at(page_takes, answer);
  }
  if (path == "/grants") {
    const Micros life = Json::parse(body).at("lifeMs").get<Micros>() * kMillisecond;
    leases_[++next_lease_] = {life, engine_.now + life};
    return done(200, Json{{"hold", next_lease_}}.dump());
  }
  const std::uint64_t lease = std::stoull(path.substr(std::string("/grants/").size()));
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return done(404, "{}");
  if (method == net::Method::del)
    end_lease(lease);
  else
    it->second.ends = engine_.now + it->second.life;
  done(200, "{}");
}

}  // namespace aspenwick::testing
