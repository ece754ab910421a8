#include "wire/wire.h"

#include <algorithm>
#include <array>
#include <set>

namespace aspenwick::wire {
namespace {

constexpr std::array kShapeNames{"array", "group", "service"};
constexpr std::array kRankNames{"low", "normal", "high", "production"};
constexpr std::array kJobStatusNames{"queued", "running", "done", "withdrawn"};
constexpr std::size_t kMaxStringLength = 200;

Json parse(const std::string& body) {
  Json j = Json::parse(body, nullptr, false);
  if (j.is_discarded()) throw Malformed("not JSON");
  if (!j.is_object()) throw Malformed("not an object");
  return j;
}

const Json& field(const Json& j, const char* name) {
  auto it = j.find(name);
  if (it == j.end()) throw Malformed(std::string("missing field ") + name);
  return *it;
}

std::string string_field(const Json& j, const char* name, bool may_be_empty = false) {
  const Json& v = field(j, name);
  if (!v.is_string()) throw Malformed(std::string("not a string: ") + name);
  auto s = v.get<std::string>();
  if ((s.empty() && !may_be_empty) || s.size() > kMaxStringLength)
    throw Malformed(std::string("bad length: ") + name);
  return s;
}

double number_field(const Json& j, const char* name) {
  const Json& v = field(j, name);
  if (!v.is_number()) throw Malformed(std::string("not a number: ") + name);
  double d = v.get<double>();
  // The upper bound keeps the sums over the largest job within 64 bits.
  if (!std::isfinite(d) || d < 0 || d > 1e7) throw Malformed(std::string("out of range: ") + name);
  return d;
}

bool bool_field(const Json& j, const char* name) {
  const Json& v = field(j, name);
  if (!v.is_boolean()) throw Malformed(std::string("not true or false: ") + name);
  return v.get<bool>();
}

std::uint64_t count_field(const Json& j, const char* name) {
  const Json& v = field(j, name);
  if (!v.is_number_integer() || (!v.is_number_unsigned() && v.get<std::int64_t>() < 0))
    throw Malformed(std::string("not a count: ") + name);
  return v.get<std::uint64_t>();
}

const Json* optional_field(const Json& j, const char* name) {
  auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}

template <typename Enum, std::size_t N>
Enum parse_enum(const Json& j, const char* field_name, const std::array<const char*, N>& names) {
  const std::string s = string_field(j, field_name);
  auto it = std::find(names.begin(), names.end(), s);
  if (it == names.end()) throw Malformed(std::string("unknown value of ") + field_name);
  return static_cast<Enum>(it - names.begin());
}

template <typename Enum, std::size_t N>
const char* enum_name(Enum e, const std::array<const char*, N>& names) {
  return names.at(static_cast<std::size_t>(e));
}

Json order_to_json(const Order& o) {
  static constexpr std::array kVerbNames{"launch", "halt", "forget"};
  Json j{{"verb", enum_name(o.verb, kVerbNames)},
         {"piece", o.job + "/" + std::to_string(o.index)},
         {"try", o.attempt}};
  if (o.verb == Order::Verb::halt) j["windDownS"] = to_seconds(o.grace);
  return j;
}

Json orders_to_json(const std::vector<Order>& orders) {
  Json list = Json::array();
  for (const auto& o : orders) list.push_back(order_to_json(o));
  return list;
}

}  // namespace

std::int64_t to_millionths(double amount) { return std::llround(amount * 1e6); }

std::int64_t to_millionths_rounded_up(double amount) {
  constexpr double kTolerance = 0.01;  // millionths
  return static_cast<std::int64_t>(std::ceil(amount * 1e6 - kTolerance));
}

bool valid_job_id(const std::string& id) {
  return id.size() > 2 && id.size() <= 40 && id.starts_with("j-") &&
         std::all_of(id.begin() + 2, id.end(), [](unsigned char c) { return c >= '0' && c <= '9'; });
}

namespace {
/// Parses an object and refuses duplicate fields: parsers differ in which of two values they take, and
/// workers parse the job again.
Json parse_unique_fields(const std::string& body) {
  std::set<std::string> names;
  std::string duplicate;
  Json j = Json::parse(
      body,
      [&](int depth, Json::parse_event_t event, const Json& name) {
        if (event == Json::parse_event_t::key && depth == 1 && !names.insert(name.get<std::string>()).second)
          duplicate = name.get<std::string>();
        return true;
      },
      false);
  if (j.is_discarded()) throw Malformed("not JSON");
  if (!j.is_object()) throw Malformed("not an object");
  if (!duplicate.empty()) throw Malformed("twice: " + duplicate);
  return j;
}
}  // namespace

JobSpec parse_job(const std::string& body) {
  if (body.size() > kMaxJobBodyBytes) throw Malformed("body over 64 KiB");
  const Json j = parse_unique_fields(body);
  try {
    return job_from_json(j);
  } catch (const Malformed& e) {
    const auto id = j.find("nameId");
    if (id == j.end() || !id->is_string() || !valid_job_id(id->get<std::string>())) throw;
    throw Malformed(e.what(), id->get<std::string>());
  }
}

JobSpec job_from_json(const Json& j) {
  JobSpec s;
  s.id = string_field(j, "nameId");
  if (!valid_job_id(s.id)) throw Malformed("bad nameId");
  s.job_class = string_field(j, "jobclass");
  s.team = string_field(j, "owner");
  s.shape = parse_enum<Shape>(j, "shape", kShapeNames);
  s.rank = parse_enum<Rank>(j, "rank", kRankNames);
  const std::uint64_t tasks = count_field(j, "pieces");
  if (tasks == 0 || tasks > kMaxTasks) throw Malformed("out of range: pieces");
  s.tasks = static_cast<std::uint32_t>(tasks);
  s.need = {to_millionths_rounded_up(number_field(j, "vcpus")),
            to_millionths_rounded_up(number_field(j, "cards")),
            to_millionths_rounded_up(number_field(j, "ramGb"))};
  s.image = string_field(j, "bundle", true);
  s.image_gb = number_field(j, "sizeGb");
  if (const Json* types = optional_field(j, "rigtypes")) {
    if (!types->is_array() || types->size() > 100) throw Malformed("not a list: rigtypes");
    s.types.emplace();
    for (const Json& t : *types) {
      if (!t.is_string() || t.get_ref<const std::string&>().size() > kMaxStringLength)
        throw Malformed("bad entry: rigtypes");
      s.types->push_back(t.get<std::string>());
    }
  }
  if (optional_field(j, "site")) s.zone = string_field(j, "site");
  s.one_zone = bool_field(j, "together");
  s.spread = bool_field(j, "spread");
  s.spot = bool_field(j, "loaner");
  s.estimate = from_seconds(number_field(j, "guessS"));
  s.checkpoint_interval = from_seconds(number_field(j, "snapshotEveryS"));
  s.checkpoint_duration = from_seconds(number_field(j, "snapshotS"));
  if (optional_field(j, "dueS")) s.deadline = from_seconds(number_field(j, "dueS"));
  if (const Json* waits_on = optional_field(j, "waitsOn")) {
    if (!waits_on->is_array()) throw Malformed("not a list: waitsOn");
    std::set<std::string> seen;
    for (const Json& n : *waits_on) {
      if (!n.is_string() || !valid_job_id(n.get_ref<const std::string&>()))
        throw Malformed("bad entry: waitsOn");
      if (seen.insert(n.get<std::string>()).second) s.dependencies.push_back(n.get<std::string>());
    }
  }
  return s;
}

Json job_to_json(const JobSpec& s) {
  auto from_millionths = [](std::int64_t u) { return static_cast<double>(u) / 1e6; };
  Json j{{"nameId", s.id},
         {"jobclass", s.job_class},
         {"owner", s.team},
         {"shape", enum_name(s.shape, kShapeNames)},
         {"rank", enum_name(s.rank, kRankNames)},
         {"pieces", s.tasks},
         {"vcpus", from_millionths(s.need.cpus)},
         {"cards", from_millionths(s.need.gpus)},
         {"ramGb", from_millionths(s.need.memory)},
         {"bundle", s.image},
         {"sizeGb", s.image_gb},
         {"together", s.one_zone},
         {"spread", s.spread},
         {"loaner", s.spot},
         {"guessS", to_seconds(s.estimate)},
         {"snapshotEveryS", to_seconds(s.checkpoint_interval)},
         {"snapshotS", to_seconds(s.checkpoint_duration)}};
  if (s.types) j["rigtypes"] = *s.types;
  if (s.zone) j["site"] = *s.zone;
  if (s.deadline) j["dueS"] = to_seconds(*s.deadline);
  if (!s.dependencies.empty()) j["waitsOn"] = s.dependencies;
  return j;
}

std::string status_body(const std::string& id, JobStatus status,
                        std::optional<std::pair<std::uint32_t, std::uint32_t>> done_and_running) {
  Json j{{"nameId", id}, {"status", enum_name(status, kJobStatusNames)}};
  if (done_and_running) j["done"] = done_and_running->first, j["running"] = done_and_running->second;
  return j.dump();
}

std::string error_body(const std::string& reason) {
  return Json{{"error", reason}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string report_response(std::uint64_t token, const std::vector<Order>& orders) {
  return Json{{"baton", token}, {"orders", orders_to_json(orders)}}.dump();
}

std::string redirect_body(const std::string& node) { return Json{{"foreman", node}}.dump(); }

std::string push_body(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders) {
  return Json{{"baton", token}, {"stint", session}, {"orders", orders_to_json(orders)}}.dump();
}

std::vector<MachineType> parse_machine_types(const std::string& body) {
  return machine_types_from_json(parse(body));
}

std::vector<MachineType> machine_types_from_json(const Json& j) {
  std::vector<MachineType> out;
  for (const Json& t : field(j, "rigtypes")) {
    MachineType m;
    m.name = string_field(t, "sku");
    m.total = {to_millionths(number_field(t, "vcpus")), to_millionths(number_field(t, "cards")),
               to_millionths(number_field(t, "ramGb"))};
    m.price = number_field(t, "price");
    m.spot_price = optional_field(t, "lowPrice") ? number_field(t, "lowPrice") : m.price;
    m.cache_gb = optional_field(t, "localGb") ? number_field(t, "localGb") : 0;
    m.fetch_gb_per_s = optional_field(t, "fetchGbPerS") ? number_field(t, "fetchGbPerS") : 1;
    m.boot_time = from_seconds(number_field(t, "startupS"));
    for (const Json& z : field(t, "sites"))
      if (z.is_string()) m.zones.push_back(z.get<std::string>());
    out.push_back(std::move(m));
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  return out;
}

Json machine_types_to_json(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& m : types)
    list.push_back({{"sku", m.name},
                    {"vcpus", static_cast<double>(m.total.cpus) / 1e6},
                    {"cards", static_cast<double>(m.total.gpus) / 1e6},
                    {"ramGb", static_cast<double>(m.total.memory) / 1e6},
                    {"price", m.price},
                    {"lowPrice", m.spot_price},
                    {"localGb", m.cache_gb},
                    {"fetchGbPerS", m.fetch_gb_per_s},
                    {"startupS", to_seconds(m.boot_time)},
                    {"sites", m.zones}});
  return {{"rigtypes", list}};
}

CloudMachinePage parse_cloud_machine_page(const std::string& body) {
  const Json j = parse(body);
  CloudMachinePage page;
  for (const Json& m : field(j, "rigs")) {
    CloudMachine c;
    c.id = string_field(m, "nameId");
    if (optional_field(m, "endpoint")) c.address = string_field(m, "endpoint", true);
    c.type = string_field(m, "rigtype");
    c.zone = string_field(m, "site");
    c.spot = bool_field(m, "loaner");
    c.state = string_field(m, "status");
    c.age = from_seconds(number_field(m, "ageS"));
    page.machines.push_back(std::move(c));
  }
  if (const Json* more = optional_field(j, "hasNext"))
    page.has_more = more->is_boolean() && more->get<bool>();
  return page;
}

std::string rental_request_body(const std::string& request, const std::string& type, const std::string& zone,
                                bool spot, int count) {
  return Json{{"hire", request}, {"rigtype", type}, {"site", zone}, {"loaner", spot}, {"count", count}}
      .dump();
}

std::vector<std::string> parse_rented_ids(const std::string& body) {
  return field(parse(body), "rigs").get<std::vector<std::string>>();
}

std::string rental_delete_request_body(const std::vector<std::string>& ids) {
  return Json{{"rigs", ids}}.dump();
}

std::string commit_body(const std::vector<Guard>& guards, const std::vector<Write>& writes) {
  Json g = Json::array(), w = Json::array();
  for (const auto& x : guards) g.push_back({{"path", x.key}, {"stamp", x.version}});
  for (const auto& x : writes) {
    if (x.remove) {
      w.push_back({{"delete", x.key}});
      continue;
    }
    Json put{{"set", x.key}, {"value", x.value}};
    if (x.lease) put["hold"] = *x.lease;
    w.push_back(std::move(put));
  }
  return Json{{"guards", std::move(g)}, {"writes", std::move(w)}}.dump();
}

RowPage parse_row_page(const std::string& body) {
  Json j = parse(body);
  RowPage p;
  for (Json& r : j.at("rows"))
    p.rows.push_back(
        {r.at("path").get<std::string>(), std::move(r.at("value")), count_field(r, "stamp"), false});
  if (const Json* more = optional_field(j, "hasNext")) p.has_more = more->is_boolean() && more->get<bool>();
  p.revision = count_field(j, "ledgerRev");
  return p;
}

RowPage parse_changes(const std::string& body) {
  Json j = parse(body);
  RowPage p;
  p.revision = count_field(j, "ledgerRev");
  if (!optional_field(j, "news")) return p;
  for (Json& r : j.at("news")) {
    if (r.contains("delete"))
      p.rows.push_back({r.at("delete").get<std::string>(), nullptr, count_field(r, "stamp"), true});
    else
      p.rows.push_back(
          {r.at("set").get<std::string>(), std::move(r.at("value")), count_field(r, "stamp"), false});
  }
  return p;
}

Row parse_row(const std::string& body) {
  Json j = parse(body);
  return {string_field(j, "path"), j.at("value"), count_field(j, "stamp"), false};
}

std::uint64_t parse_lease(const std::string& body) { return count_field(parse(body), "hold"); }
std::string lease_request_body(Micros duration) { return Json{{"lifeMs", duration / kMillisecond}}.dump(); }

}  // namespace aspenwick::wire
