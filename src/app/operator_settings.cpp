#include "app/operator_settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace aspenwick::app {
namespace {

using Setter = std::function<void(const YAML::Node&)>;

double number(const std::string& key, const YAML::Node& v, double least, double most) {
  double d = 0;
  try {
    d = v.as<double>();
  } catch (const YAML::Exception&) {
    throw BadSettings("operator settings: not a number: " + key);
  }
  if (!(d >= least && d <= most)) {
    std::ostringstream range;
    range << "operator settings: out of range: " << key << " (" << least << " to " << most << ")";
    throw BadSettings(range.str());
  }
  return d;
}

}  // namespace

OperatorSettings parse_operator_settings(const std::string& yaml) {
  OperatorSettings s;
  std::map<std::string, Setter> known;
  auto real = [&](const std::string& key, double& to, double least, double most) {
    known[key] = [=, &to](const YAML::Node& v) { to = number(key, v, least, most); };
  };
  auto seconds = [&](const std::string& key, Micros& to, double least, double most) {
    known[key] = [=, &to](const YAML::Node& v) { to = from_seconds(number(key, v, least, most)); };
  };
  real("learner.memory", s.rnn.past_weight, 0.01, 0.99);
  real("learner.round_robin", s.rnn.round_robin_fraction, 0, 1);
  known["learner.sweeps"] = [&s](const YAML::Node& v) {
    s.rnn.max_sweeps = static_cast<int>(number("learner.sweeps", v, 1, 100));
  };
  known["learner.goal"] = [&s](const YAML::Node& v) {
    const auto goal = v.IsScalar() ? v.Scalar() : "";
    if (goal != "relative" && goal != "seconds")
      throw BadSettings("operator settings: out of range: learner.goal (relative or seconds)");
    s.rnn.relative_goals = goal == "relative";
  };
  seconds("renting.idle_after_s", s.renting.idle_after, 0, 3600);
  seconds("renting.idle_gpu_after_s", s.renting.idle_gpu_after, 0, 3600);
  seconds("renting.idle_spot_gpu_after_s", s.renting.idle_spot_gpu_after, 0, 3600);
  seconds("renting.lapsed_after_s", s.renting.lapsed_after, 0, 3600);
  seconds("renting.refused_for_s", s.renting.refused_for, 1, 600);
  real("renting.straggler_factor", s.renting.straggler_factor, 1, 20);
  seconds("renting.straggler_extra_s", s.renting.straggler_extra, 0, 600);
  seconds("renting.level_above_s", s.renting.level_above, 0, 3600);
  seconds("renting.patience_s", s.renting.patience, 5, 3600);
  seconds("machines.suspect_for_s", s.suspect_for, 0, 3600);
  seconds("jobs.error_backoff_s", s.error_backoff, 0, 60);

  YAML::Node top;
  try {
    top = YAML::Load(yaml);
  } catch (const YAML::Exception& e) {
    throw BadSettings(std::string("operator settings: not YAML: ") + e.what());
  }
  if (top.IsNull()) return s;
  if (!top.IsMap()) throw BadSettings("operator settings: not a map");
  for (const auto& section : top) {
    const auto name = section.first.as<std::string>();
    const bool is_section = std::any_of(known.begin(), known.end(),
                                        [&](const auto& k) { return k.first.starts_with(name + "."); });
    if (!is_section || !section.second.IsMap()) throw BadSettings("operator settings: unknown key: " + name);
    for (const auto& entry : section.second) {
      const auto key = name + "." + entry.first.as<std::string>();
      auto it = known.find(key);
      if (it == known.end()) throw BadSettings("operator settings: unknown key: " + key);
      it->second(entry.second);
    }
  }
  return s;
}

OperatorSettings read_operator_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw BadSettings("operator settings: cannot read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return parse_operator_settings(text.str());
}

}  // namespace aspenwick::app
