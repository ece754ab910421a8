// What workers say to a node and what it says to them: reports and their answers, machines that report for
// the first time, orders that don't wait for a report.
#pragma once
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "app/owned_shares.h"
#include "app/records.h"
#include "app/socket_budget.h"
#include "net/exchange.h"
#include "net/loop.h"
#include "store/client.h"

namespace aspenwick::app {

class WorkerApi {
 public:
  struct Dependencies {
    net::Loop& loop;
    net::Requester& workers;
    store::Client& store;
    Records& records;
    OwnedShares& owned_shares;
    /// The share that a machine without a record should join; asked of the leader only.
    std::function<int(const wire::WorkerReport&)> share_for;
    std::function<void(const std::string& machine)> machine_registered;
    /// Who says lately that it holds the share; empty: nobody.
    std::function<std::string(int share)> reported_owner;
    std::function<void()> schedule_tick;
  };
  WorkerApi(const wire::PlatformSettings& platform, Dependencies dependencies)
      : platform_(platform),
        deps_(std::move(dependencies)),
        max_pushes_(socket_budget(platform).max_pushes) {}

  void handle_report(const net::ExchangePtr& exchange);
  void push_orders();
  std::uint64_t report_count() const { return report_count_; }

 private:
  void answer_report(const net::ExchangePtr& exchange, const wire::WorkerReport& report, bool may_register);
  void register_machine(const net::ExchangePtr& exchange, const wire::WorkerReport& report);
  void refuse_or_redirect(const net::ExchangePtr& exchange, int share, const std::string& key_owner,
                          const char* reason) const;
  void push(int share, std::uint64_t generation, const share::ShareController::Push& batch);
  void on_push_done(int share, std::uint64_t generation, const std::string& machine, int code,
                    const std::string& body);

  const wire::PlatformSettings& platform_;
  Dependencies deps_;
  const std::size_t max_pushes_;
  std::set<std::string> registering_;
  std::uint64_t report_count_ = 0;
  std::size_t pushes_in_flight_ = 0;  // pushes that have no answer yet
};

}  // namespace aspenwick::app
