// What workers say to a node and what it says to them: reports and their answers, machines that report for
// the first time, orders that don't wait for a report.
#pragma once
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "app/owned_shares.h"
#include "app/records.h"
#include "app/sockets.h"
#include "net/exchange.h"
#include "net/loop.h"
#include "store/client.h"

namespace aspenwick::app {

class WorkerApi {
 public:
  struct Needs {
    net::Loop& loop;
    net::Requester& workers;
    store::Client& store;
    Records& records;
    OwnedShares& owned_shares;
    /// The share that a machine without a record should join; asked of the leader only.
    std::function<int(const wire::WorkerReport&)> share_for;
    std::function<void(const std::string& machine)> adopted;
    /// Who says lately that it holds the share; empty: nobody.
    std::function<std::string(int share)> told_owner;
    std::function<void()> poke;
  };
  WorkerApi(const wire::PlatformSettings& platform, Needs needs)
      : platform_(platform), needs_(std::move(needs)), most_pushes_(socket_budget(platform).pushes) {}

  void report(const net::ExchangePtr& x);
  void push_orders();
  std::uint64_t reports() const { return reports_; }

 private:
  void answer(const net::ExchangePtr& x, const wire::WorkerReport& r, bool may_adopt);
  void adopt(const net::ExchangePtr& x, const wire::WorkerReport& r);
  void refuse(const net::ExchangePtr& x, int share, const std::string& by_keys, const char* why) const;
  void push(int share, std::uint64_t made, const share::ShareController::OrderPush& push);
  void pushed(int share, std::uint64_t made, const std::string& machine, int code, const std::string& body);

  const wire::PlatformSettings& platform_;
  Needs needs_;
  const std::size_t most_pushes_;
  std::set<std::string> adopting_;
  std::uint64_t reports_ = 0;
  std::size_t pushing_ = 0;  // pushes that have no answer yet
};

}  // namespace aspenwick::app
