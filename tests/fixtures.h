// Platform settings, a job submission and machine types that several tests share.
#pragma once
#include "wire/settings.h"

namespace aspenwick::testing {

inline wire::Json settings_json() {
  return wire::Json::parse(R"({
    "host_name": "a", "location": "z1", "listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2",
    "siblings": [{"host_name": "b", "location": "z2", "peer_addr": "127.0.0.1:3"},
                 {"host_name": "c", "location": "z3", "peer_addr": "127.0.0.1:4"}],
    "services": {"cloud": "127.0.0.1:5", "state": "127.0.0.1:6"},
    "params": {
      "nodes": 3, "zones": ["z1", "z2", "z3"],
      "teams": [{"name": "red", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0},
                {"name": "tight", "cpus": 4, "cpus_max": 8, "gpus": 0, "gpus_max": 0},
                {"name": "cards", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 4}],
      "objectives": [{"kind": "wait", "class": "batch", "within_s": 30, "share": 0.9},
                     {"kind": "finished", "class": "bulk", "within_s": 100, "share": 0.9}],
      "workers": {"report_s": 1.5, "lease_s": 12, "gang_wait_s": 40, "gang_peer_s": 8, "cancel_s": 37},
      "state": {"rps": 80, "write_rps": 25, "value_kb": 16, "txn_ops": 20},
      "cloud": {"rps": 3, "list_lag_s": 6},
      "limits": {"cpu": 0.04, "ram_mb": 40, "sockets": 500},
      "clock_error_ms": 250
    }, "unknown": 1})");
}

inline wire::Json job_json() {
  return wire::Json::parse(
      R"({"nameId":"j-000412","jobclass":"batch","owner":"red","shape":"array","rank":"low",
    "pieces":4,"vcpus":2.0,"cards":0.0,"ramGb":4.0,"bundle":"img","sizeGb":1.0,"rigtypes":null,"site":null,
    "together":false,"spread":false,"loaner":true,"guessS":30.0,"snapshotEveryS":0.0,"snapshotS":0.0,"dueS":null})");
}

inline std::vector<wire::MachineType> machine_types() {
  return wire::machine_types_from_json(wire::Json::parse(R"({"rigtypes":[
    {"sku":"cpu8","vcpus":8,"cards":0,"ramGb":32,"localGb":20,"price":0.8,"lowPrice":0.3,"startupS":25,"sites":["z1","z2","z3"]},
    {"sku":"gpu4","vcpus":16,"cards":4,"ramGb":64,"localGb":20,"price":8,"lowPrice":3,"startupS":40,"sites":["z1"]}]})"));
}

}  // namespace aspenwick::testing
