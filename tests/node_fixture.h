// For tests of whole nodes: job submissions, and a fixture that limits the log.
#pragma once
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <string>

#include "cluster_simulation.h"

namespace aspenwick::testing {

/// A submission of job_json() with another id and number of tasks.
inline Json submission_json(const std::string& id, int tasks) {
  auto j = job_json();
  j["nameId"] = id;
  j["pieces"] = tasks;
  return j;
}

/// Logs only warnings and errors, unless the environment variable VERBOSE is set.
struct NodeTest : ::testing::Test {
  NodeTest() { spdlog::set_level(std::getenv("VERBOSE") ? spdlog::level::debug : spdlog::level::warn); }
  ~NodeTest() override { spdlog::set_level(spdlog::level::info); }
};

}  // namespace aspenwick::testing
