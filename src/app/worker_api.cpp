#include "app/worker_api.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"

namespace aspenwick::app {

using net::ExchangePtr;
using share::OwnerKey;
using wire::WorkerReport;

namespace {
constexpr Micros kPushTimeout = 3 * kSecond;
}

void WorkerApi::handle_report(const ExchangePtr& exchange) {
  ++report_count_;
  WorkerReport report;
  try {
    report = wire::parse_report(exchange->body());
  } catch (const std::exception& e) {
    return exchange->answer(400, wire::error_body(e.what()));
  }
  answer_report(exchange, report, true);
}

void WorkerApi::answer_report(const ExchangePtr& exchange, const WorkerReport& report, bool may_register) {
  if (!deps_.records.synced()) return exchange->answer(503, wire::error_body("starting"));
  const auto& ownership = deps_.owned_shares.ownership();
  const auto* machine = deps_.records.machine(report.machine);
  if (!machine) {
    if (deps_.owned_shares.is_leader() && may_register) return register_machine(exchange, report);
    const OwnerKey* leader = ownership.leader();
    if (leader && leader->node != platform_.name)
      return exchange->answer(421, wire::redirect_body(leader->node));
    return exchange->answer(503, wire::error_body("no leader"));
  }
  const int share = machine->share;
  const OwnerKey* key = ownership.owner(share);
  if (share < 0 || !key) return refuse_or_redirect(exchange, share, "", "the share has no owner");
  if (!ownership.is_ours(key))
    return refuse_or_redirect(exchange, share, key->node, "the share belongs to another node");
  OwnedShares::OwnedShare* owned = deps_.owned_shares.find(share);
  if (!owned || owned->handing_back)
    return exchange->answer(503, wire::error_body("the share is being acquired or handed back"));
  const Micros now = deps_.loop.now();
  if (!ownership.may_renew_worker_leases(share, now))
    return refuse_or_redirect(exchange, share, "", "this node may not renew worker leases now");
  const auto reply = owned->controller->on_report(report, now, deps_.owned_shares.start_refusal(*owned));
  if (!reply) return exchange->answer(503, wire::error_body("the lease of the worker must expire first"));
  exchange->answer(200, wire::report_response(reply->token, reply->orders));
  deps_.schedule_tick();
}

/// Redirects the worker to the owner if that is certain, else refuses. The keys name the owner only while
/// this node's view of them cannot be outdated; otherwise only a recent report of a peer does. Two nodes that
/// the state service refused once redirected workers to each other, by keys long removed, until the workers'
/// leases ran out, while a third node owned their share.
void WorkerApi::refuse_or_redirect(const ExchangePtr& exchange, int share, const std::string& key_owner,
                                   const char* reason) const {
  const auto& ownership = deps_.owned_shares.ownership();
  std::string owner = ownership.keys_current(deps_.loop.now()) ? key_owner : deps_.reported_owner(share);
  if (owner == platform_.name) owner.clear();
  if (owner.empty()) return exchange->answer(503, wire::error_body(reason));
  exchange->answer(421, wire::redirect_body(owner));
}

void WorkerApi::register_machine(const ExchangePtr& exchange, const WorkerReport& report) {
  if (!registering_.insert(report.machine).second)
    return exchange->answer(503, wire::error_body("the machine is being registered"));
  share::MachineRecord m;
  m.id = report.machine;
  m.address = report.address;
  m.type = report.type;
  m.zone = report.zone;
  m.spot = report.spot;
  m.share = deps_.share_for_new_machine(report);
  // A worker that has accepted a token executes only orders of a higher epoch.
  if (report.token > 0)
    m.epoch = std::max(deps_.owned_shares.highest_epoch(), share::epoch_of_token(report.token)) + 1;
  deps_.store.commit(
      {{kMachinePrefix + m.id, 0}, {kLeaderKey, deps_.owned_shares.ownership().leader()->version}},
      {{kMachinePrefix + m.id, share::machine_to_json(m), {}, false}}, store::Urgency::user,
      [this, exchange, report, m](int code, std::uint64_t revision) mutable {
        registering_.erase(report.machine);
        if (code != 200) return exchange->answer(503, wire::error_body("the machine could not be recorded"));
        deps_.machine_registered(report.machine);
        spdlog::info("machine {} ({}, {}{}) joins share {}", m.id, m.type, m.zone, m.spot ? ", spot" : "",
                     m.share);
        if (!deps_.records.machine(m.id)) {
          m.version = revision;
          deps_.records.add_machine(m);
          deps_.owned_shares.sync_controllers();
        }
        answer_report(exchange, report, false);
      });
}

void WorkerApi::push_orders() {
  for (auto& [share, owned] : deps_.owned_shares.all()) {
    if (!deps_.owned_shares.may_commit(owned)) continue;
    if (pushes_in_flight_ >= max_pushes_) return;  // each push takes a socket; the rest waits for a report
    for (const auto& p : owned.controller->take_pushes(deps_.loop.now(), max_pushes_ - pushes_in_flight_,
                                                       deps_.owned_shares.start_refusal(owned)))
      push(share, owned.generation, p);
  }
}

void WorkerApi::push(int share, std::uint64_t generation,
                     const share::ShareController::OrderPush& order_push) {
  wire::Endpoint to;
  try {
    to = wire::parse_endpoint(order_push.address);
  } catch (const wire::Malformed&) {
    return;
  }
  ++pushes_in_flight_;
  deps_.workers.request(
      net::Method::post, to, "/do", wire::push_body(order_push.token, order_push.session, order_push.orders),
      kPushTimeout,
      [this, share, generation, machine = order_push.machine](int code, const std::string& body) {
        on_push_done(share, generation, machine, code, body);
      });
}

void WorkerApi::on_push_done(int share, std::uint64_t generation, const std::string& machine, int code,
                             const std::string& body) {
  --pushes_in_flight_;
  OwnedShares::OwnedShare* owned = deps_.owned_shares.find(share, generation);
  if (!owned) return;
  WorkerReport parsed;
  const WorkerReport* report = nullptr;
  if (code == 200 || code == 409) try {
      parsed = wire::parse_report(body);
      report = &parsed;
    } catch (const std::exception& e) {
      spdlog::error("cannot read the answer of worker {}: {}", machine, e.what());
    }
  owned->controller->on_push_result(machine, report ? code : 0, report, deps_.loop.now());
  deps_.schedule_tick();
}

}  // namespace aspenwick::app
