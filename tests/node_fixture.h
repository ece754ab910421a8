// For tests of whole nodes: jobs to submit, and what they write to the log kept quiet.
#pragma once
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <string>

#include "cluster_simulation.h"

namespace aspenwick::testing {

inline Json job(const std::string& id, int tasks) {
  auto j = job_json();
  j["nameId"] = id;
  j["pieces"] = tasks;
  return j;
}

struct NodeTest : ::testing::Test {
  NodeTest() { spdlog::set_level(std::getenv("VERBOSE") ? spdlog::level::debug : spdlog::level::warn); }
  ~NodeTest() override { spdlog::set_level(spdlog::level::info); }
};

}  // namespace aspenwick::testing
