// Parser for workers' reports. They are most of a node's input, so they are read from simdjson's tape, whose
// memory is reused from one report to the next, directly into the fields.
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

constexpr std::array<std::string_view, 5> kTaskStateNames{"fetching", "waiting", "running", "flushing",
                                                          "ended"};
constexpr std::array<std::string_view, 9> kExitCauseNames{
    "", "done", "stopped", "mates_gone", "incomplete", "error", "no_room", "in_use", "no_such"};
constexpr std::size_t kMaxStringLength = 200;
constexpr double kMaxSeconds = 1e7;

[[noreturn]] void throw_malformed(const char* why, const char* field) {
  throw Malformed(std::string(why) + field);
}

std::string_view parse_string(dom::element v, const char* field) {
  std::string_view s;
  if (v.get(s) != simdjson::SUCCESS) throw_malformed("not a string: ", field);
  if (s.empty() || s.size() > kMaxStringLength) throw_malformed("bad length: ", field);
  return s;
}

std::uint64_t parse_count(dom::element v, const char* field) {
  std::uint64_t n = 0;
  if (v.get(n) != simdjson::SUCCESS) throw_malformed("not a count: ", field);
  return n;
}

bool parse_bool(dom::element v, const char* field) {
  bool b = false;
  if (v.get(b) != simdjson::SUCCESS) throw_malformed("not true or false: ", field);
  return b;
}

Micros parse_seconds(dom::element v, const char* field) {
  double s = 0;
  if (v.get(s) != simdjson::SUCCESS) throw_malformed("not a number: ", field);
  if (!std::isfinite(s) || s < 0 || s > kMaxSeconds) throw_malformed("out of range: ", field);
  return from_seconds(s);
}

template <typename Enum, std::size_t N>
Enum parse_enum(dom::element v, const char* field, const std::array<std::string_view, N>& names) {
  const auto it = std::find(names.begin(), names.end(), parse_string(v, field));
  if (it == names.end()) throw_malformed("unknown value of ", field);
  return static_cast<Enum>(it - names.begin());
}

/// Splits a task name such as "j-000412/3" into job and index.
void parse_task_name(std::string_view s, TaskReport& t) {
  const auto slash = s.rfind('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == s.size())
    throw Malformed("bad task name");
  const char* end = s.data() + s.size();
  const auto [p, ec] = std::from_chars(s.data() + slash + 1, end, t.index);
  if (ec != std::errc{} || p != end || t.index >= kMaxTasks) throw Malformed("bad task name");
  t.job = s.substr(0, slash);
}

/// Tracks which required fields were present, one bit for each.
struct RequiredFields {
  unsigned bits = 0;
  void mark_present(unsigned n) { bits |= 1U << n; }
  template <std::size_t N>
  void check_all_present(const std::array<const char*, N>& names) const {
    for (std::size_t i = 0; i < N; ++i)
      if (!(bits & 1U << i)) throw_malformed("missing field ", names.at(i));
  }
};

TaskReport parse_task_report(dom::object object) {
  static constexpr std::array kRequired{"piece", "try", "status"};
  TaskReport t;
  RequiredFields required;
  for (const auto [key, value] : object) {
    if (key == "piece")
      parse_task_name(parse_string(value, "piece"), t), required.mark_present(0);
    else if (key == "try")
      t.attempt = parse_count(value, "try"), required.mark_present(1);
    else if (key == "status")
      t.state = parse_enum<TaskState>(value, "status", kTaskStateNames), required.mark_present(2);
    else if (key == "cause" && !value.is_null())
      t.cause = parse_enum<ExitCause>(value, "cause", kExitCauseNames);
    else if (key == "stored")
      t.checkpoint_saved = value.is_bool() && parse_bool(value, "stored");
  }
  required.check_all_present(kRequired);
  return t;
}

}  // namespace

WorkerReport parse_report(const std::string& body) {
  static constexpr std::array kRequired{"rig", "endpoint", "rigtype", "site", "loaner", "stint", "tally"};
  thread_local dom::parser parser;
  dom::element top;
  if (parser.parse(body).get(top) != simdjson::SUCCESS) throw Malformed("not JSON");
  dom::object object;
  if (top.get(object) != simdjson::SUCCESS) throw Malformed("not an object");
  WorkerReport r;
  RequiredFields required;
  for (const auto [key, value] : object) {
    if (key == "rig") {
      r.machine = parse_string(value, "rig"), required.mark_present(0);
    } else if (key == "endpoint") {
      r.address = parse_string(value, "endpoint"), required.mark_present(1);
    } else if (key == "rigtype") {
      r.type = parse_string(value, "rigtype"), required.mark_present(2);
    } else if (key == "site") {
      r.zone = parse_string(value, "site"), required.mark_present(3);
    } else if (key == "loaner") {
      r.spot = parse_bool(value, "loaner"), required.mark_present(4);
    } else if (key == "stint") {
      r.session = parse_count(value, "stint"), required.mark_present(5);
    } else if (key == "tally") {
      r.seq = parse_count(value, "tally"), required.mark_present(6);
    } else if (value.is_null()) {
      continue;
    } else if (key == "baton") {
      r.token = parse_count(value, "baton");
    } else if (key == "warningS") {
      r.reclaim_notice = parse_seconds(value, "warningS");
    } else if (key == "pieces") {
      dom::array pieces;
      if (value.get(pieces) != simdjson::SUCCESS) throw_malformed("not a list: ", "pieces");
      r.tasks.clear();
      for (const dom::element p : pieces) {
        dom::object one;
        if (p.get(one) != simdjson::SUCCESS) throw_malformed("bad entry: ", "pieces");
        r.tasks.push_back(parse_task_report(one));
      }
    }
  }
  required.check_all_present(kRequired);
  return r;
}

}  // namespace aspenwick::wire
