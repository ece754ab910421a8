// The settings that the platform gives to every node (JSON).
#pragma once
#include <string>
#include <vector>

#include "wire/wire.h"

namespace aspenwick::wire {

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  std::string to_string() const { return host + ":" + std::to_string(port); }
  bool operator==(const Endpoint&) const = default;
};
/// Parses "host:port". Throws Malformed.
Endpoint parse_endpoint(const std::string& s);

struct Team {
  std::string name;
  Resources guaranteed;  // CPUs and GPUs only
  Resources limit;       // CPUs and GPUs only; 0: no limit
};
/// A service level that the platform measures. Which fields are set depends on `kind`.
struct Objective {
  std::string kind, job_class;
  Micros time_limit = 0;
  double fraction = 0, factor = 1;
};
/// Another node of the cluster. `peer_endpoint` is for connections between nodes.
struct Sibling {
  std::string name, zone;
  Endpoint peer_endpoint;
};
/// Times are durations. Fields that are not listed here are ignored.
struct PlatformSettings {
  std::string name, zone;
  Endpoint listen, peer_listen, cloud, state;
  std::vector<Sibling> siblings;
  std::vector<std::string> zones;
  std::vector<Team> teams;  // sorted by name
  std::vector<Objective> objectives;
  Micros report_interval = 0, worker_lease = 0, gang_wait_timeout = 0, gang_peer_timeout = 0,
         cancel_deadline = 0;
  double state_rps = 0, state_write_rps = 0,
         cloud_rps = 0;  // the state service's: the smaller of the present and the announced limit
  std::size_t max_value_bytes = 0, max_txn_ops = 0;
  /// The size up to which we write values, an eighth below the limit: the service may serialize JSON with
  /// more spaces and escapes than we do.
  std::size_t value_size_limit() const { return max_value_bytes - max_value_bytes / 8; }
  Micros cloud_list_lag = 0;
  int max_sockets = 0;
  Micros max_clock_error = 0;

  /// All nodes sorted by name. The n-th is the home node of share n.
  std::vector<std::string> node_names() const;
};
/// Throws Malformed with the full path of the field.
PlatformSettings parse_settings(const std::string& body);

}  // namespace aspenwick::wire
