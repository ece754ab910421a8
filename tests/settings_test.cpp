// Settings of the platform and of the operator: defaults, limits and error messages.
#include "wire/settings.h"

#include <gtest/gtest.h>

#include "app/operator_settings.h"
#include "fixtures.h"
#include "share/ownership.h"

namespace aspenwick {
namespace {

TEST(PlatformSettings, AreParsedAndUnknownFieldsIgnored) {
  const auto s = wire::parse_settings(testing::settings_json().dump());
  EXPECT_EQ(s.node_names(), (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(s.worker_lease, 12 * kSecond);
  EXPECT_EQ(s.max_value_bytes, 16384U);
}

TEST(PlatformSettings, ErrorsNameTheMissingOrInvalidField) {
  const auto error_of = [](const char* pointer, const wire::Json& value) {
    auto j = testing::settings_json();
    const wire::Json::json_pointer p(pointer);
    if (value.is_null())
      j.at(p.parent_pointer()).erase(p.back());
    else
      j[p] = value;
    try {
      wire::parse_settings(j.dump());
    } catch (const wire::Malformed& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_EQ(error_of("/params/workers/lease_s", nullptr), "settings: missing field: params.workers.lease_s");
  EXPECT_EQ(error_of("/listen", "nonsense"), "settings: not an address: listen");
  EXPECT_EQ(error_of("/params/state/rps", -1), "settings: out of range: params.state.rps");
  EXPECT_EQ(error_of("/siblings", 3), "settings: not a list: siblings");
}

TEST(PlatformSettings, UpcomingLimitsApplyFromTheStart) {
  auto j = testing::settings_json();
  auto& state = j["params"]["state"];
  for (const auto& next : {wire::Json(), wire::Json::object()}) {
    state["next"] = next;  // absent or empty: the current limits apply
    EXPECT_EQ(wire::parse_settings(j.dump()).max_txn_ops, 20U);
    EXPECT_EQ(wire::parse_settings(j.dump()).max_value_bytes, 16U * 1024);
  }
  state["next"] = {{"value_kb", 2.0}, {"txn_ops", 6}, {"write_rps", 30}};
  const auto s = wire::parse_settings(j.dump());
  EXPECT_EQ(s.max_value_bytes, 2U * 1024);
  EXPECT_EQ(s.max_txn_ops, 6U);
  EXPECT_DOUBLE_EQ(s.state_write_rps, 25);  // the lower one: 25 now, 30 upcoming
  EXPECT_DOUBLE_EQ(s.state_rps, 80);
}

// An unreachable owner continues until its lease in the state service expires, and its workers for one worker
// lease more. If the settings allow less time for a cancellation, startup fails with the name of the field.
TEST(PlatformSettings, CancelDeadlineMustExceedTheLeases) {
  auto j = testing::settings_json();  // worker lease 12 s; the owner lease is 5 s
  auto longest_run_after_cancel = [&](double cancel_s) {
    j["params"]["workers"]["cancel_s"] = cancel_s;
    const auto s = wire::parse_settings(j.dump());
    share::check_cancel_deadline(s);
    const share::Ownership ownership(s);
    return share::kOwnerLeaseDuration + ownership.max_unconfirmed_renewal() + s.worker_lease;
  };
  for (const double cancel_s : {20.0, 21.5, 28.0, 37.0, 300.0})
    EXPECT_LT(longest_run_after_cancel(cancel_s), from_seconds(cancel_s));
  try {
    longest_run_after_cancel(19.9);
    FAIL();
  } catch (const wire::Malformed& e) {
    EXPECT_NE(std::string(e.what()).find("params.workers.cancel_s"), std::string::npos) << e.what();
  }
}

TEST(OperatorSettings, UnsetKeysKeepDefaultsAndInvalidOnesAreRejected) {
  EXPECT_DOUBLE_EQ(app::parse_operator_settings("").rnn.past_weight, 0.8);
  const auto s =
      app::parse_operator_settings("learner: {memory: 0.5, goal: seconds}\nrenting: {idle_after_s: 3}");
  EXPECT_DOUBLE_EQ(s.rnn.past_weight, 0.5);
  EXPECT_FALSE(s.rnn.relative_goals);
  EXPECT_EQ(s.renting.idle_after, 3 * kSecond);
  for (const char* bad : {"learner: {memory: 2}", "learner: {memorry: 0.5}", "lerner: {}",
                          "learner: {memory: x}", "learner: {goal: fast}", "learner: [", "- 1"})
    EXPECT_THROW(app::parse_operator_settings(bad), app::InvalidSettings) << bad;
}

}  // namespace
}  // namespace aspenwick
