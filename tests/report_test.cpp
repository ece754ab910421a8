// Workers' reports are parsed with simdjson. The reference here is a simple parser over a JSON tree: on any
// input, both must give the same report or both reject it.
#include <gtest/gtest.h>

#include <array>
#include <charconv>
#include <cmath>
#include <random>

#include "wire/wire.h"

namespace aspenwick::wire {
namespace {

constexpr std::array kTaskStates{"fetching", "waiting", "running", "flushing", "ended"};
constexpr std::array kExitCauses{"",      "done",    "stopped", "mates_gone", "incomplete",
                                 "error", "no_room", "in_use",  "no_such"};
constexpr std::size_t kMaxNameLength = 200;

const Json& field(const Json& j, const char* name) {
  auto it = j.find(name);
  if (it == j.end()) throw Malformed(std::string("missing field ") + name);
  return *it;
}

std::string string_field(const Json& j, const char* name, bool may_be_empty = false) {
  const Json& v = field(j, name);
  if (!v.is_string()) throw Malformed(std::string("not a string: ") + name);
  auto s = v.get<std::string>();
  if ((s.empty() && !may_be_empty) || s.size() > kMaxNameLength)
    throw Malformed(std::string("invalid length: ") + name);
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
  if (!v.is_boolean()) throw Malformed(std::string("not a boolean: ") + name);
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
Enum enum_field(const Json& j, const char* field_name, const std::array<const char*, N>& names) {
  const std::string s = string_field(j, field_name);
  auto it = std::find(names.begin(), names.end(), s);
  if (it == names.end()) throw Malformed(std::string("unknown value of ") + field_name);
  return static_cast<Enum>(it - names.begin());
}

/// Splits a task name such as "j-000412/3" into job id and index.
std::pair<std::string, std::uint32_t> parse_task(const std::string& s) {
  const auto slash = s.rfind('/');
  std::uint32_t index = 0;
  if (slash == std::string::npos || slash == 0 || slash + 1 == s.size()) throw Malformed("invalid task name");
  const char* end = s.data() + s.size();
  auto [p, ec] = std::from_chars(s.data() + slash + 1, end, index);
  if (ec != std::errc{} || p != end || index >= kMaxTasks) throw Malformed("invalid task name");
  return {s.substr(0, slash), index};
}

WorkerReport reference_parse_report(const std::string& body) {
  const Json j = Json::parse(body, nullptr, false);
  if (!j.is_object()) throw Malformed("not an object");
  WorkerReport r;
  r.machine = string_field(j, "rig");
  r.address = string_field(j, "endpoint");
  r.type = string_field(j, "rigtype");
  r.zone = string_field(j, "site");
  r.spot = bool_field(j, "loaner");
  r.session = count_field(j, "stint");
  r.seq = count_field(j, "tally");
  r.token = optional_field(j, "baton") ? count_field(j, "baton") : 0;
  if (optional_field(j, "warningS")) r.reclaim_notice = from_seconds(number_field(j, "warningS"));
  if (const Json* pieces = optional_field(j, "pieces")) {
    if (!pieces->is_array()) throw Malformed("not a list: pieces");
    for (const Json& p : *pieces) {
      if (!p.is_object()) throw Malformed("not an object: entry of pieces");
      TaskReport t;
      std::tie(t.job, t.index) = parse_task(string_field(p, "piece"));
      t.attempt = count_field(p, "try");
      t.state = enum_field<TaskState>(p, "status", kTaskStates);
      if (optional_field(p, "cause")) t.cause = enum_field<ExitCause>(p, "cause", kExitCauses);
      if (const Json* saved = optional_field(p, "stored"))
        t.checkpoint_saved = saved->is_boolean() && saved->get<bool>();
      r.tasks.push_back(std::move(t));
    }
  }
  return r;
}

std::string to_text(const WorkerReport& r) {
  std::string s = r.machine + "|" + r.address + "|" + r.type + "|" + r.zone + "|" + std::to_string(r.spot) +
                  std::to_string(r.session) + "," + std::to_string(r.seq) + "," + std::to_string(r.token) +
                  (r.reclaim_notice ? " notice " + std::to_string(*r.reclaim_notice) : "");
  for (const auto& t : r.tasks)
    s += ";" + t.job + "/" + std::to_string(t.index) + "@" + std::to_string(t.attempt) + ":" +
         std::to_string(static_cast<int>(t.state)) + std::to_string(static_cast<int>(t.cause)) +
         std::to_string(t.checkpoint_saved);
  return s;
}

/// The report as text, or "rejected".
std::string parse_to_text(WorkerReport (*parse)(const std::string&), const std::string& body) {
  try {
    return to_text(parse(body));
  } catch (const Malformed&) {
    return "rejected";
  }
}

const std::string kReport =
    R"({"rig":"i-000231","endpoint":"10.1.0.232:9000","rigtype":"g8","site":"a","loaner":true,"stint":1,)"
    R"("tally":88,"baton":41,"warningS":7.5,"new":[{"x":null}],"pieces":[)"
    R"({"piece":"j-000412/3","try":2,"status":"flushing"},)"
    R"({"piece":"j-000398/0","try":18446744073709551615,"status":"ended","cause":"stopped","stored":true},)"
    R"({"piece":"j-7/12","try":3,"status":"waiting","cause":null,"stored":1}]})";

TEST(Report, ReplacedValuesAreParsedLikeTheReference) {
  const auto flat = Json::parse(kReport).flatten();
  const std::vector<Json> odd_values{nullptr,
                                     -1,
                                     0,
                                     1e300,
                                     1e7,
                                     10000001,
                                     "x",
                                     "",
                                     "j-1/4294967296",
                                     "j-1/",
                                     "/1",
                                     "é",
                                     true,
                                     0.5,
                                     18446744073709551615ULL,
                                     std::string(200, 'a'),
                                     std::string(201, 'a'),
                                     "running",
                                     "done",
                                     "no such"};
  int rejected = 0, accepted = 0;
  for (auto it = flat.begin(); it != flat.end(); ++it)
    for (const auto& value : odd_values) {
      auto changed = flat;
      changed[it.key()] = value;
      const std::string body = changed.unflatten().dump();
      const std::string expected = parse_to_text(reference_parse_report, body);
      EXPECT_EQ(parse_to_text(parse_report, body), expected) << body;
      ++(expected == "rejected" ? rejected : accepted);
    }
  EXPECT_GT(rejected, 100);
  EXPECT_GT(accepted, 100);
}

TEST(Report, MissingFieldsAndTruncationAreHandledLikeTheReference) {
  const auto complete = Json::parse(kReport);
  for (auto it = complete.begin(); it != complete.end(); ++it) {
    auto without_field = complete;
    without_field.erase(it.key());
    EXPECT_EQ(parse_to_text(parse_report, without_field.dump()),
              parse_to_text(reference_parse_report, without_field.dump()))
        << it.key();
  }
  for (std::size_t n = 0; n < kReport.size(); ++n) {
    const std::string truncated = kReport.substr(0, n);
    EXPECT_EQ(parse_to_text(parse_report, truncated), "rejected") << truncated;
  }
}

TEST(Report, RandomDamageIsHandledLikeTheReference) {
  std::mt19937 random(5);
  int accepted = 0;
  for (int i = 0; i < 5'000; ++i) {
    std::string body = kReport;
    for (auto n = 1 + random() % 3; n > 0; --n)
      body[random() % body.size()] = static_cast<char>(random() % 128);
    const std::string expected = parse_to_text(reference_parse_report, body);
    EXPECT_EQ(parse_to_text(parse_report, body), expected) << body;
    accepted += expected != "rejected";
  }
  EXPECT_GT(accepted, 250);
}

}  // namespace
}  // namespace aspenwick::wire
