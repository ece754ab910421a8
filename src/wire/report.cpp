// Workers' reports. They are most of what a node reads, so they go through simdjson's tape, which is used
// again from report to report, and straight into the fields.
#include <simdjson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

#include "wire/wire.h"

namespace aspenwick::wire {
namespace {

namespace dom = simdjson::dom;

constexpr std::array<std::string_view, 5> kStates{"fetching", "waiting", "running", "flushing", "ended"};
constexpr std::array<std::string_view, 9> kCauses{"",      "done",    "stopped", "mates_gone", "incomplete",
                                                  "error", "no_room", "in_use",  "no_such"};
constexpr std::size_t kMaxText = 200;
constexpr double kMaxAmount = 1e7;

[[noreturn]] void bad(const char* why, const char* field) { throw Malformed(std::string(why) + field); }

std::string_view text(dom::element v, const char* field) {
  std::string_view s;
  if (v.get(s) != simdjson::SUCCESS) bad("not a string: ", field);
  if (s.empty() || s.size() > kMaxText) bad("bad length: ", field);
  return s;
}

std::uint64_t count(dom::element v, const char* field) {
  std::uint64_t n = 0;
  if (v.get(n) != simdjson::SUCCESS) bad("not a count: ", field);
  return n;
}

bool flag(dom::element v, const char* field) {
  bool b = false;
  if (v.get(b) != simdjson::SUCCESS) bad("not true or false: ", field);
  return b;
}

Micros seconds(dom::element v, const char* field) {
  double s = 0;
  if (v.get(s) != simdjson::SUCCESS) bad("not a number: ", field);
  if (!std::isfinite(s) || s < 0 || s > kMaxAmount) bad("out of range: ", field);
  return from_seconds(s);
}

template <typename Enum, std::size_t N>
Enum name_of(dom::element v, const char* field, const std::array<std::string_view, N>& names) {
  const auto it = std::find(names.begin(), names.end(), text(v, field));
  if (it == names.end()) bad("unknown value of ", field);
  return static_cast<Enum>(it - names.begin());
}

/// "j-000412/3" -> job and index.
void read_task(std::string_view s, TaskReport& t) {
  const auto slash = s.rfind('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == s.size())
    throw Malformed("bad task name");
  const char* end = s.data() + s.size();
  const auto [p, ec] = std::from_chars(s.data() + slash + 1, end, t.index);
  if (ec != std::errc{} || p != end || t.index >= kMaxTasks) throw Malformed("bad task name");
  t.job = s.substr(0, slash);
}

/// Of the fields that must be there, which were: bit by bit.
struct Seen {
  unsigned bits = 0;
  void note(unsigned n) { bits |= 1U << n; }
  template <std::size_t N>
  void check(const std::array<const char*, N>& names) const {
    for (std::size_t i = 0; i < N; ++i)
      if (!(bits & 1U << i)) bad("missing field ", names.at(i));
  }
};

TaskReport read_task_report(dom::object object) {
  static constexpr std::array kMust{"piece", "try", "status"};
  TaskReport t;
  Seen seen;
  for (const auto [key, value] : object) {
    if (key == "piece")
      read_task(text(value, "piece"), t), seen.note(0);
    else if (key == "try")
      t.attempt = count(value, "try"), seen.note(1);
    else if (key == "status")
      t.state = name_of<TaskState>(value, "status", kStates), seen.note(2);
    else if (key == "cause" && !value.is_null())
      t.cause = name_of<Cause>(value, "cause", kCauses);
    else if (key == "stored")
      t.saved = value.is_bool() && flag(value, "stored");
  }
  seen.check(kMust);
  return t;
}

}  // namespace

WorkerReport parse_report(const std::string& body) {
  static constexpr std::array kMust{"rig", "endpoint", "rigtype", "site", "loaner", "stint", "tally"};
  thread_local dom::parser parser;
  dom::element top;
  if (parser.parse(body).get(top) != simdjson::SUCCESS) throw Malformed("not JSON");
  dom::object object;
  if (top.get(object) != simdjson::SUCCESS) throw Malformed("not an object");
  WorkerReport r;
  Seen seen;
  for (const auto [key, value] : object) {
    if (key == "rig") {
      r.machine = text(value, "rig"), seen.note(0);
    } else if (key == "endpoint") {
      r.address = text(value, "endpoint"), seen.note(1);
    } else if (key == "rigtype") {
      r.type = text(value, "rigtype"), seen.note(2);
    } else if (key == "site") {
      r.zone = text(value, "site"), seen.note(3);
    } else if (key == "loaner") {
      r.spot = flag(value, "loaner"), seen.note(4);
    } else if (key == "stint") {
      r.session = count(value, "stint"), seen.note(5);
    } else if (key == "tally") {
      r.seq = count(value, "tally"), seen.note(6);
    } else if (value.is_null()) {
      continue;
    } else if (key == "baton") {
      r.token = count(value, "baton");
    } else if (key == "warningS") {
      r.notice = seconds(value, "warningS");
    } else if (key == "pieces") {
      dom::array pieces;
      if (value.get(pieces) != simdjson::SUCCESS) bad("not a list: ", "pieces");
      r.tasks.clear();
      for (const dom::element p : pieces) {
        dom::object one;
        if (p.get(one) != simdjson::SUCCESS) bad("bad entry: ", "pieces");
        r.tasks.push_back(read_task_report(one));
      }
    }
  }
  seen.check(kMust);
  return r;
}

}  // namespace aspenwick::wire
