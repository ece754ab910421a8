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

/// The value of `key` as a number from `min` to `max`; throws InvalidSettings.
double parse_number(const std::string& key, const YAML::Node& node, double min, double max) {
  double value = 0;
  try {
    value = node.as<double>();
  } catch (const YAML::Exception&) {
    throw InvalidSettings("operator settings: not a number: " + key);
  }
  if (!(value >= min && value <= max)) {
    std::ostringstream range;
    range << "operator settings: out of range: " << key << " (" << min << " to " << max << ")";
    throw InvalidSettings(range.str());
  }
  return value;
}

}  // namespace

OperatorSettings parse_operator_settings(const std::string& yaml) {
  OperatorSettings settings;
  std::map<std::string, Setter> setters;
  auto add_number = [&](const std::string& key, double& to, double min, double max) {
    setters[key] = [=, &to](const YAML::Node& node) { to = parse_number(key, node, min, max); };
  };
  auto add_seconds = [&](const std::string& key, Micros& to, double min, double max) {
    setters[key] = [=, &to](const YAML::Node& node) { to = from_seconds(parse_number(key, node, min, max)); };
  };
  add_number("learner.memory", settings.rnn.past_weight, 0.01, 0.99);
  add_number("learner.round_robin", settings.rnn.round_robin_fraction, 0, 1);
  setters["learner.sweeps"] = [&settings](const YAML::Node& node) {
    settings.rnn.max_sweeps = static_cast<int>(parse_number("learner.sweeps", node, 1, 100));
  };
  setters["learner.goal"] = [&settings](const YAML::Node& node) {
    const auto goal = node.IsScalar() ? node.Scalar() : "";
    if (goal != "relative" && goal != "seconds")
      throw InvalidSettings("operator settings: invalid value: learner.goal (relative or seconds)");
    settings.rnn.relative_goals = goal == "relative";
  };
  add_seconds("renting.idle_after_s", settings.renting.idle_after, 0, 3600);
  add_seconds("renting.idle_gpu_after_s", settings.renting.idle_gpu_after, 0, 3600);
  add_seconds("renting.idle_spot_gpu_after_s", settings.renting.idle_spot_gpu_after, 0, 3600);
  add_seconds("renting.lapsed_after_s", settings.renting.lapsed_after, 0, 3600);
  add_seconds("renting.refused_for_s", settings.renting.refused_for, 1, 600);
  add_number("renting.straggler_factor", settings.renting.straggler_factor, 1, 20);
  add_seconds("renting.straggler_extra_s", settings.renting.straggler_extra, 0, 600);
  add_seconds("renting.level_above_s", settings.renting.level_above, 0, 3600);
  add_seconds("renting.patience_s", settings.renting.patience, 5, 3600);
  add_seconds("machines.suspect_for_s", settings.suspect_for, 0, 3600);
  add_seconds("jobs.error_backoff_s", settings.error_backoff, 0, 60);

  YAML::Node root;
  try {
    root = YAML::Load(yaml);
  } catch (const YAML::Exception& e) {
    throw InvalidSettings(std::string("operator settings: invalid YAML: ") + e.what());
  }
  if (root.IsNull()) return settings;
  if (!root.IsMap()) throw InvalidSettings("operator settings: the top level is not a map");
  for (const auto& section : root) {
    const auto name = section.first.as<std::string>();
    const bool is_section = std::any_of(setters.begin(), setters.end(),
                                        [&](const auto& k) { return k.first.starts_with(name + "."); });
    if (!is_section || !section.second.IsMap())
      throw InvalidSettings("operator settings: unknown key: " + name);
    for (const auto& entry : section.second) {
      const auto key = name + "." + entry.first.as<std::string>();
      auto it = setters.find(key);
      if (it == setters.end()) throw InvalidSettings("operator settings: unknown key: " + key);
      it->second(entry.second);
    }
  }
  return settings;
}

OperatorSettings load_operator_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw InvalidSettings("operator settings: cannot read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return parse_operator_settings(text.str());
}

}  // namespace aspenwick::app
