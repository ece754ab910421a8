// The leader's errands at the cloud: machine types and prices, the list of machines, rentals and deletions,
// as its plan (fleet::Provisioner) wants them and the cloud's rate allows. Reaches the world through what it
// is given.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/provisioner.h"
#include "net/exchange.h"
#include "share/peer_frame.h"

namespace aspenwick::app {

class Leader {
 public:
  struct Dependencies {
    std::function<Micros()> now;  // steady clock
    net::Requester& http;
    /// All shares' waiting work and machines, as fresh as is known.
    std::function<std::vector<share::ShareSaid>()> share_states;
    /// The types were read for the first time and are to be recorded.
    std::function<void(const std::vector<wire::MachineType>&)> types_fetched;
    std::function<void(const fleet::Move&)> move_machine;
    /// The cloud has deleted them: their records can go.
    std::function<void(const std::vector<std::string>&)> machines_deleted;
  };
  Leader(const wire::PlatformSettings& platform, const fleet::RenterSettings& settings,
         const std::vector<wire::MachineType>& types,
         const std::map<std::string, share::MachineRecord>& machines, Dependencies dependencies)
      : platform_(platform),
        settings_(settings),
        types_(types),
        machines_(machines),
        deps_(std::move(dependencies)) {}

  /// Every half second while this node leads with `epoch`.
  void run(std::uint64_t epoch);
  /// This node does not lead, or not any more: what it had planned is forgotten.
  void step_down() { provisioner_.reset(); }

  /// The share that a machine which reports without a record should join.
  int share_for(const std::string& machine, const std::string& type, int shares);
  void machine_registered(const std::string& machine);

 private:
  void fetch_types();
  void list_machines(const std::string& after, std::shared_ptr<std::vector<wire::CloudMachine>> machines);
  void rent_machines(const fleet::Rent& rent);
  void delete_machines(const fleet::Delete& deletion);

  const wire::PlatformSettings& platform_;
  fleet::RenterSettings settings_;
  const std::vector<wire::MachineType>& types_;
  const std::map<std::string, share::MachineRecord>& machines_;
  Dependencies deps_;
  std::unique_ptr<fleet::Provisioner> provisioner_;
  std::uint64_t epoch_ = 0;
  fleet::RequestNames request_names_;
  bool fetching_types_ = false, listing_ = false;
  Micros next_list_ = 0, next_price_fetch_ = 0, last_refill_ = 0;
  double call_budget_ = 1;
};

}  // namespace aspenwick::app
