// Traffic with workers: their reports and the answers, registration of machines that report for the first
// time, and orders that are pushed without waiting for a report.
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

/// Answers worker reports and pushes orders to workers.
class WorkerApi {
 public:
  struct Dependencies {
    net::Loop& loop;
    net::Requester& workers;
    store::Client& store;
    Records& records;
    OwnedShares& owned_shares;
    /// The share that a machine without a record should join. Called on the leader only.
    std::function<int(const wire::WorkerReport&)> share_for_new_machine;
    std::function<void(const std::string& machine)> machine_registered;
    /// The node that recently reported to own the share; empty: none.
    std::function<std::string(int share)> reported_owner;
    std::function<void()> schedule_tick;
  };
  WorkerApi(const wire::PlatformSettings& platform, Dependencies dependencies)
      : platform_(platform),
        deps_(std::move(dependencies)),
        max_pushes_(socket_budget(platform).max_pushes) {}

  /// Handles a report of a worker: answers with orders, registers a new machine, or redirects.
  void handle_report(const net::ExchangePtr& exchange);
  /// Sends pending orders to workers, within the limit of pushes in flight.
  void push_orders();
  std::uint64_t report_count() const { return report_count_; }

 private:
  void answer_report(const net::ExchangePtr& exchange, const wire::WorkerReport& report, bool may_register);
  void register_machine(const net::ExchangePtr& exchange, const wire::WorkerReport& report);
  void refuse_or_redirect(const net::ExchangePtr& exchange, int share, const std::string& key_owner,
                          const char* reason) const;
  void push(int share, std::uint64_t generation, const share::ShareController::OrderPush& order_push);
  void on_push_done(int share, std::uint64_t generation, const std::string& machine, int code,
                    const std::string& body);

  const wire::PlatformSettings& platform_;
  Dependencies deps_;
  const std::size_t max_pushes_;
  std::set<std::string> registering_;
  std::uint64_t report_count_ = 0;
  std::size_t pushes_in_flight_ = 0;  // pushes without an answer yet
};

}  // namespace aspenwick::app
