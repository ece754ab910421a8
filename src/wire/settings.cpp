#include "wire/settings.h"

#include <algorithm>
#include <charconv>

namespace aspenwick::wire {
namespace {

/// Reads an object of the settings. Errors name the full path of a field that is missing or invalid.
class Reader {
 public:
  Reader(const Json& j, std::string path) : j_(j), path_(std::move(path)) {
    if (!j_.is_object()) throw Malformed("settings: not an object: " + (path_.empty() ? "the file" : path_));
  }
  std::string text(const char* key) const {
    const Json& v = at(key);
    if (!v.is_string()) fail("not a string", key);
    return v.get<std::string>();
  }
  double number(const char* key, double minimum = 0) const {
    const Json& v = at(key);
    if (!v.is_number()) fail("not a number", key);
    const double d = v.get<double>();
    if (!std::isfinite(d) || d < minimum || d > 1e9) fail("out of range", key);
    return d;
  }
  Micros seconds(const char* key) const { return from_seconds(number(key)); }
  bool has(const char* key) const { return j_.contains(key) && !j_.at(key).is_null(); }
  Endpoint endpoint(const char* key) const {
    try {
      return parse_endpoint(text(key));
    } catch (const Malformed&) {
      fail("not an address", key);
    }
  }
  Reader object(const char* key) const { return {at(key), full_path(key)}; }
  const Json& list(const char* key) const {
    const Json& v = at(key);
    if (!v.is_array()) fail("not a list", key);
    return v;
  }
  std::string full_path(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

 private:
  [[noreturn]] void fail(const char* what, const char* key) const {
    throw Malformed(std::string("settings: ") + what + ": " + full_path(key));
  }
  const Json& at(const char* key) const {
    auto it = j_.find(key);
    if (it == j_.end()) fail("missing field", key);
    return *it;
  }
  const Json& j_;
  std::string path_;
};

}  // namespace

Endpoint parse_endpoint(const std::string& s) {
  const auto colon = s.rfind(':');
  if (colon == std::string::npos || colon == 0) throw Malformed("not an address: " + s);
  Endpoint e;
  e.host = s.substr(0, colon);
  const char* end = s.data() + s.size();
  auto [p, ec] = std::from_chars(s.data() + colon + 1, end, e.port);
  if (ec != std::errc{} || p != end || e.port == 0) throw Malformed("not an address: " + s);
  return e;
}

std::vector<std::string> PlatformSettings::node_names() const {
  std::vector<std::string> all{name};
  for (const auto& s : siblings) all.push_back(s.name);
  std::sort(all.begin(), all.end());
  return all;
}

PlatformSettings parse_settings(const std::string& body) {
  const Json j = Json::parse(body, nullptr, false);
  if (j.is_discarded()) throw Malformed("settings: not JSON");
  const Reader top(j, "");
  PlatformSettings s;
  s.name = top.text("host_name");
  s.zone = top.text("location");
  s.listen = top.endpoint("listen");
  s.peer_listen = top.endpoint("peer_listen");
  for (const Json& x : top.list("siblings")) {
    const Reader r(x, "siblings[]");
    s.siblings.push_back({r.text("host_name"), r.text("location"), r.endpoint("peer_addr")});
  }
  const Reader services = top.object("services");
  s.cloud = services.endpoint("cloud");
  s.state = services.endpoint("state");
  const Reader params = top.object("params");
  for (const Json& z : params.list("zones"))
    if (z.is_string()) s.zones.push_back(z.get<std::string>());
  for (const Json& x : params.list("teams")) {
    const Reader r(x, "params.teams[]");
    Team t;
    t.name = r.text("name");
    t.guaranteed = {to_millionths(r.number("cpus")), to_millionths(r.number("gpus")), 0};
    t.limit = {to_millionths(r.number("cpus_max")), to_millionths(r.number("gpus_max")), 0};
    s.teams.push_back(std::move(t));
  }
  std::sort(s.teams.begin(), s.teams.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  for (const Json& x : params.list("objectives")) {
    const Reader r(x, "params.objectives[]");
    Objective o;
    o.kind = r.text("kind");
    if (r.has("class")) o.job_class = r.text("class");
    if (r.has("within_s")) o.time_limit = r.seconds("within_s");
    if (r.has("share")) o.fraction = r.number("share");
    if (r.has("times")) o.factor = r.number("times");
    s.objectives.push_back(std::move(o));
  }
  const Reader workers = params.object("workers");
  s.report_interval = workers.seconds("report_s");
  s.worker_lease = workers.seconds("lease_s");
  s.gang_wait_timeout = workers.seconds("gang_wait_s");
  s.gang_peer_timeout = workers.seconds("gang_peer_s");
  s.cancel_deadline = workers.seconds("cancel_s");
  const Reader state = params.object("state");
  s.state_rps = state.number("rps", 1);
  s.state_write_rps = state.number("write_rps", 1);
  s.max_value_bytes = static_cast<std::size_t>(state.number("value_kb", 1) * 1024);
  s.max_txn_ops = static_cast<std::size_t>(state.number("txn_ops", 2));
  if (state.has("next")) {
    // Limits that will apply later, at a time that is not announced: obey the smaller of each pair from now
    // on. A limit that is not listed stays as it is.
    const Reader next = state.object("next");
    if (next.has("rps")) s.state_rps = std::min(s.state_rps, next.number("rps", 1));
    if (next.has("write_rps")) s.state_write_rps = std::min(s.state_write_rps, next.number("write_rps", 1));
    if (next.has("value_kb"))
      s.max_value_bytes =
          std::min(s.max_value_bytes, static_cast<std::size_t>(next.number("value_kb", 1) * 1024));
    if (next.has("txn_ops"))
      s.max_txn_ops = std::min(s.max_txn_ops, static_cast<std::size_t>(next.number("txn_ops", 2)));
  }
  const Reader cloud = params.object("cloud");
  s.cloud_rps = cloud.number("rps", 0.1);
  s.cloud_list_lag = cloud.seconds("list_lag_s");
  const Reader limits = params.object("limits");
  s.max_sockets = static_cast<int>(limits.number("sockets", 16));
  s.max_clock_error = from_seconds(params.number("clock_error_ms") / 1000);
  return s;
}

}  // namespace aspenwick::wire
