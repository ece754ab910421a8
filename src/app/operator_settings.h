// The operator settings: a YAML file in which every key is optional and checked.
#pragma once
#include <stdexcept>
#include <string>

#include "fleet/provisioner.h"
#include "share/share_controller.h"

namespace aspenwick::app {

/// Operator settings with their defaults.
struct OperatorSettings {
  place::RnnSettings rnn;
  fleet::ProvisionerSettings renting;
  Micros suspect_for = 60 * kSecond;
  Micros error_backoff = 2 * kSecond;
  /// After so many attempts a share continues under a new epoch. Not a YAML key, because only the width of
  /// the attempt numbers (place::kAttemptsPerEpoch) requires it.
  std::uint64_t attempts_per_epoch = place::kAttemptsPerEpoch / 2;
};

/// what() names the key at fault.
struct InvalidSettings : std::runtime_error {
  using std::runtime_error::runtime_error;
};
OperatorSettings parse_operator_settings(const std::string& yaml);  // throws InvalidSettings naming the key
/// Reads and parses a file; throws InvalidSettings, also if the file cannot be read.
OperatorSettings load_operator_settings(const std::string& path);

}  // namespace aspenwick::app
