#include "app/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::app {
namespace {
constexpr Micros kCloudTimeout = 5 * kSecond;
constexpr Micros kListInterval = 4 * kSecond;
constexpr Micros kPriceInterval = 60 * kSecond;
constexpr double kCallRateFraction = 0.8;  // part of the cloud's rate limit that is used
}  // namespace

void Leader::run(std::uint64_t epoch) {
  const Micros now = deps_.now();
  call_budget_ = std::min(platform_.cloud_rps, call_budget_ + to_seconds(now - last_refill_) *
                                                                  platform_.cloud_rps * kCallRateFraction);
  last_refill_ = now;
  if (types_.empty()) {
    provisioner_.reset();
    if (call_budget_ >= 1) call_budget_ -= 1, fetch_types();
    return;
  }
  if (!provisioner_ || epoch_ != epoch) {
    provisioner_ = std::make_unique<fleet::Provisioner>(platform_, types_, settings_);
    epoch_ = epoch;
    next_list_ = 0;
    spdlog::info("leading with epoch {}", epoch_);
  }
  if (now >= next_price_fetch_ && call_budget_ >= 1) {
    next_price_fetch_ = now + kPriceInterval;
    call_budget_ -= 1;
    fetch_types();
  }
  if (now >= next_list_ && !listing_ && call_budget_ >= 1) {
    next_list_ = now + kListInterval;
    list_machines("", std::make_shared<std::vector<wire::CloudMachine>>());
  }
  for (const auto& action : provisioner_->tick(now, deps_.share_reports(), machines_)) {
    if (const auto* r = std::get_if<fleet::RentMachines>(&action))
      rent_machines(*r);
    else if (const auto* d = std::get_if<fleet::DeleteMachines>(&action))
      delete_machines(*d);
    else
      deps_.move_machine(std::get<fleet::MoveMachine>(action));
  }
}

int Leader::share_for_new_machine(const std::string& machine, const std::string& type, int shares) {
  return provisioner_ ? provisioner_->share_for_new_machine(machine, type, shares) : 0;
}

void Leader::machine_registered(const std::string& machine) {
  if (provisioner_) provisioner_->on_machine_registered(machine);
}

void Leader::fetch_types() {
  if (fetching_types_) return;
  fetching_types_ = true;
  deps_.http.request(net::Method::get, platform_.cloud, "/flavors", "", kCloudTimeout,
                     [this](int code, const std::string& body) {
                       fetching_types_ = false;
                       if (code != 200) return;
                       try {
                         const auto types = wire::parse_machine_types(body);
                         if (provisioner_) provisioner_->set_spot_prices(types);
                         if (types_.empty() && !types.empty()) deps_.types_fetched(types);
                       } catch (const std::exception& e) {
                         spdlog::error("cannot read the answer of the cloud: {}", e.what());
                       }
                     });
}

void Leader::list_machines(const std::string& after,
                           std::shared_ptr<std::vector<wire::CloudMachine>> machines) {
  listing_ = true;
  call_budget_ -= 1;
  std::string path = "/rentals?page=500";
  if (!after.empty()) path += "&since=" + after;
  deps_.http.request(net::Method::get, platform_.cloud, path, "", kCloudTimeout,
                     [this, machines](int code, const std::string& body) {
                       listing_ = false;
                       if (code != 200 || !provisioner_) return;
                       try {
                         auto page = wire::parse_cloud_machine_page(body);
                         machines->insert(machines->end(), page.machines.begin(), page.machines.end());
                         if (page.has_more && !page.machines.empty())
                           return list_machines(machines->back().id, machines);
                         provisioner_->on_machines_listed(*machines, machines_, deps_.now());
                       } catch (const std::exception& e) {
                         spdlog::error("cannot read the answer of the cloud: {}", e.what());
                       }
                     });
}

void Leader::rent_machines(const fleet::RentMachines& rent) {
  if (call_budget_ < 1) return provisioner_->on_rent_result(rent, 429, {}, deps_.now() - 3600 * kSecond);
  call_budget_ -= 1;
  const std::string idempotency_key = idempotency_keys_.next(epoch_);
  deps_.http.request(
      net::Method::post, platform_.cloud, "/rentals",
      wire::rental_request_body(idempotency_key, types_[rent.type].name, rent.zone, rent.spot, rent.count),
      kCloudTimeout, [this, epoch = epoch_, rent](int code, const std::string& body) {
        if (!provisioner_ || epoch_ != epoch) return;
        std::vector<std::string> ids;
        if (code == 200) try {
            ids = wire::parse_rented_ids(body);
          } catch (const std::exception& e) {
            spdlog::error("cannot read the answer of the cloud: {}", e.what());
          }
        provisioner_->on_rent_result(rent, code, ids, deps_.now());
      });
}

void Leader::delete_machines(const fleet::DeleteMachines& deletion) {
  if (call_budget_ < 1) return provisioner_->on_delete_result(deletion.machines, false, deps_.now());
  call_budget_ -= 1;
  deps_.http.request(net::Method::post, platform_.cloud, "/rentals/delete",
                     wire::rental_delete_request_body(deletion.machines), kCloudTimeout,
                     [this, epoch = epoch_, ids = deletion.machines](int code, const std::string&) {
                       if (!provisioner_ || epoch_ != epoch || code != 200) return;
                       provisioner_->on_delete_result(ids, true, deps_.now());
                       spdlog::info("deleted {} machines: {} ...", ids.size(), ids.front());
                       deps_.machines_deleted(ids);
                     });
}

}  // namespace aspenwick::app
