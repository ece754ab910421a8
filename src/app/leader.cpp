#include "app/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::app {
namespace {
constexpr Micros kCloudDeadline = 5 * kSecond;
constexpr Micros kListEvery = 4 * kSecond;
constexpr Micros kPricesEvery = 60 * kSecond;
constexpr double kCallPart = 0.8;  // of the cloud's rate
}  // namespace

void Leader::lead(std::uint64_t epoch) {
  const Micros t = needs_.now();
  calls_left_ = std::min(platform_.cloud_rps,
                         calls_left_ + to_seconds(t - refilled_) * platform_.cloud_rps * kCallPart);
  refilled_ = t;
  if (types_.empty()) {
    provisioner_.reset();
    if (calls_left_ >= 1) calls_left_ -= 1, fetch_types();
    return;
  }
  if (!provisioner_ || epoch_ != epoch) {
    provisioner_ = std::make_unique<fleet::Provisioner>(platform_, types_, settings_);
    epoch_ = epoch;
    next_list_ = 0;
    spdlog::info("leading with epoch {}", epoch_);
  }
  if (t >= next_prices_ && calls_left_ >= 1) {
    next_prices_ = t + kPricesEvery;
    calls_left_ -= 1;
    fetch_types();
  }
  if (t >= next_list_ && !listing_ && calls_left_ >= 1) {
    next_list_ = t + kListEvery;
    list_machines("", std::make_shared<std::vector<wire::CloudMachine>>());
  }
  for (const auto& action : provisioner_->tick(t, needs_.shares(), machines_)) {
    if (const auto* r = std::get_if<fleet::Rent>(&action))
      rent(*r);
    else if (const auto* d = std::get_if<fleet::Delete>(&action))
      remove(*d);
    else
      needs_.move(std::get<fleet::Move>(action));
  }
}

int Leader::share_for(const std::string& machine, const std::string& type, int shares) {
  return provisioner_ ? provisioner_->share_for(machine, type, shares) : 0;
}

void Leader::adopted(const std::string& machine) {
  if (provisioner_) provisioner_->adopted(machine);
}

void Leader::fetch_types() {
  if (fetching_types_) return;
  fetching_types_ = true;
  needs_.http.request(net::Method::get, platform_.cloud, "/flavors", "", kCloudDeadline,
                      [this](int code, const std::string& body) {
                        fetching_types_ = false;
                        if (code != 200) return;
                        try {
                          const auto types = wire::parse_machine_types(body);
                          if (provisioner_) provisioner_->prices(types);
                          if (types_.empty() && !types.empty()) needs_.found_types(types);
                        } catch (const std::exception& e) {
                          spdlog::error("cloud: {}", e.what());
                        }
                      });
}

void Leader::list_machines(const std::string& after, std::shared_ptr<std::vector<wire::CloudMachine>> sofar) {
  listing_ = true;
  calls_left_ -= 1;
  std::string path = "/rentals?page=500";
  if (!after.empty()) path += "&since=" + after;
  needs_.http.request(net::Method::get, platform_.cloud, path, "", kCloudDeadline,
                      [this, sofar](int code, const std::string& body) {
                        listing_ = false;
                        if (code != 200 || !provisioner_) return;
                        try {
                          auto page = wire::parse_cloud_machine_page(body);
                          sofar->insert(sofar->end(), page.machines.begin(), page.machines.end());
                          if (page.has_more && !page.machines.empty())
                            return list_machines(sofar->back().id, sofar);
                          provisioner_->listed(*sofar, machines_, needs_.now());
                        } catch (const std::exception& e) {
                          spdlog::error("cloud: {}", e.what());
                        }
                      });
}

void Leader::rent(const fleet::Rent& rent) {
  if (calls_left_ < 1) return provisioner_->rented(rent, 429, {}, needs_.now() - 3600 * kSecond);
  calls_left_ -= 1;
  const std::string request = request_names_.next(epoch_);
  needs_.http.request(
      net::Method::post, platform_.cloud, "/rentals",
      wire::rental_request_body(request, types_[rent.type].name, rent.zone, rent.spot, rent.count),
      kCloudDeadline, [this, epoch = epoch_, rent](int code, const std::string& body) {
        if (!provisioner_ || epoch_ != epoch) return;
        std::vector<std::string> ids;
        if (code == 200) try {
            ids = wire::parse_rented_ids(body);
          } catch (const std::exception& e) {
            spdlog::error("cloud: {}", e.what());
          }
        provisioner_->rented(rent, code, ids, needs_.now());
      });
}

void Leader::remove(const fleet::Delete& gone) {
  if (calls_left_ < 1) return provisioner_->deleted(gone.machines, false, needs_.now());
  calls_left_ -= 1;
  needs_.http.request(net::Method::post, platform_.cloud, "/rentals/delete",
                      wire::rental_delete_request_body(gone.machines), kCloudDeadline,
                      [this, epoch = epoch_, ids = gone.machines](int code, const std::string&) {
                        if (!provisioner_ || epoch_ != epoch || code != 200) return;
                        provisioner_->deleted(ids, true, needs_.now());
                        spdlog::info("deleted {} machines: {} ...", ids.size(), ids.front());
                        needs_.deleted(ids);
                      });
}

}  // namespace aspenwick::app
