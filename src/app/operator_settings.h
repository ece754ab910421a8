// The operators' own settings: YAML, every key optional, checked.
#pragma once
#include <stdexcept>
#include <string>

#include "fleet/provisioner.h"
#include "share/share_controller.h"

namespace aspenwick::app {

struct OperatorSettings {
  place::RnnSettings rnn;
  fleet::RenterSettings renting;
  Micros suspect_for = 60 * kSecond;
  Micros error_backoff = 2 * kSecond;
  /// A share goes on under a new epoch after so many attempts; not in the YAML, since only the numbers' width
  /// (place::kAttemptsPerEpoch) asks for it.
  std::uint64_t attempts_per_epoch = place::kAttemptsPerEpoch / 2;
};

struct InvalidSettings : std::runtime_error {
  using std::runtime_error::runtime_error;
};
OperatorSettings parse_operator_settings(const std::string& yaml);  // throws InvalidSettings naming the key
OperatorSettings load_operator_settings(const std::string& path);

}  // namespace aspenwick::app
