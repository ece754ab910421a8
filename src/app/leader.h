// The leader's calls to the cloud API: reading machine types and prices, listing machines, renting and
// deleting, as the plan of fleet::Provisioner asks and the cloud's rate limit allows. All I/O goes through
// the Dependencies.
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

/// Runs the provisioner while this node leads, and carries out its actions.
class Leader {
 public:
  struct Dependencies {
    std::function<Micros()> now;  // steady clock
    net::Requester& http;
    /// Waiting work and machines of all shares, as fresh as known here.
    std::function<std::vector<share::ShareReport>()> share_reports;
    /// Called with the machine types when they were read for the first time and are to be recorded.
    std::function<void(const std::vector<wire::MachineType>&)> types_fetched;
    std::function<void(const fleet::MoveMachine&)> move_machine;
    /// Called with machines that the cloud has deleted, so that their records can be deleted.
    std::function<void(const std::vector<std::string>&)> machines_deleted;
  };
  /// The references must outlive the Leader; `types` is empty until the types are recorded.
  Leader(const wire::PlatformSettings& platform, const fleet::ProvisionerSettings& settings,
         const std::vector<wire::MachineType>& types,
         const std::map<std::string, share::MachineRecord>& machines, Dependencies dependencies)
      : platform_(platform),
        settings_(settings),
        types_(types),
        machines_(machines),
        deps_(std::move(dependencies)) {}

  /// Called every half second while this node leads with `epoch`.
  void run(std::uint64_t epoch);
  /// Called while this node does not lead: discards the provisioner and its plan.
  void step_down() { provisioner_.reset(); }

  /// The share that a machine without a record should join.
  int share_for_new_machine(const std::string& machine, const std::string& type, int shares);
  /// The machine has a record now: it no longer counts as booting.
  void machine_registered(const std::string& machine);

 private:
  void fetch_types();
  void list_machines(const std::string& after, std::shared_ptr<std::vector<wire::CloudMachine>> machines);
  void rent_machines(const fleet::RentMachines& rent);
  void delete_machines(const fleet::DeleteMachines& deletion);

  const wire::PlatformSettings& platform_;
  fleet::ProvisionerSettings settings_;
  const std::vector<wire::MachineType>& types_;
  const std::map<std::string, share::MachineRecord>& machines_;
  Dependencies deps_;
  std::unique_ptr<fleet::Provisioner> provisioner_;
  std::uint64_t epoch_ = 0;
  fleet::RentalIdempotencyKeys idempotency_keys_;
  bool fetching_types_ = false, listing_ = false;
  Micros next_list_ = 0, next_price_fetch_ = 0, last_refill_ = 0;
  double call_budget_ = 1;  // calls that the rate limit allows now
};

}  // namespace aspenwick::app
