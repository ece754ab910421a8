#include "app/worker_api.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"

namespace aspenwick::app {

using net::ExchangePtr;
using share::OwnerKey;
using wire::WorkerReport;

namespace {
constexpr Micros kPushDeadline = 3 * kSecond;
}

void WorkerApi::report(const ExchangePtr& x) {
  ++reports_;
  WorkerReport r;
  try {
    r = wire::parse_report(x->body());
  } catch (const std::exception& e) {
    return x->answer(400, wire::error_body(e.what()));
  }
  answer(x, r, true);
}

void WorkerApi::answer(const ExchangePtr& x, const WorkerReport& r, bool may_adopt) {
  if (!needs_.records.synced()) return x->answer(503, wire::error_body("starting"));
  const auto& own = needs_.owned_shares.ownership();
  const auto* machine = needs_.records.machine(r.machine);
  if (!machine) {
    if (needs_.owned_shares.leading() && may_adopt) return adopt(x, r);
    const OwnerKey* leader = own.leader();
    if (leader && leader->node != platform_.name) return x->answer(421, wire::redirect_body(leader->node));
    return x->answer(503, wire::error_body("no leader"));
  }
  const int share = machine->share;
  const OwnerKey* key = own.owner(share);
  if (share < 0 || !key) return refuse(x, share, "", "no owner");
  if (!own.is_ours(key)) return refuse(x, share, key->node, "not yet");
  OwnedShares::OwnedShare* owned = needs_.owned_shares.find(share);
  if (!owned || owned->handing_back) return x->answer(503, wire::error_body("not yet"));
  const Micros now = needs_.loop.now();
  if (!own.may_renew_worker_leases(share, now)) return refuse(x, share, "", "no right to act");
  const auto told = owned->controller->on_report(r, now, needs_.owned_shares.refusal(*owned));
  if (!told) return x->answer(503, wire::error_body("no right to act"));
  x->answer(200, wire::report_response(told->token, told->orders));
  needs_.poke();
}

/// Names the owner if that is surely known. The keys tell it while our view of them can't be old; else only
/// a peer's own word does. Two nodes that the state service refuses sent workers to each other, by keys long
/// gone, until their leases ran out, while a third held their share.
void WorkerApi::refuse(const ExchangePtr& x, int share, const std::string& by_keys, const char* why) const {
  const auto& own = needs_.owned_shares.ownership();
  std::string owner = own.keys_current(needs_.loop.now()) ? by_keys : needs_.told_owner(share);
  if (owner == platform_.name) owner.clear();
  if (owner.empty()) return x->answer(503, wire::error_body(why));
  x->answer(421, wire::redirect_body(owner));
}

void WorkerApi::adopt(const ExchangePtr& x, const WorkerReport& r) {
  if (!adopting_.insert(r.machine).second) return x->answer(503, wire::error_body("being adopted"));
  share::MachineRecord m;
  m.id = r.machine;
  m.address = r.address;
  m.type = r.type;
  m.zone = r.zone;
  m.spot = r.spot;
  m.share = needs_.share_for(r);
  // If it has obeyed someone, only a newer epoch can give it orders.
  if (r.token > 0)
    m.epoch = std::max(needs_.owned_shares.highest_epoch(), share::epoch_of_token(r.token)) + 1;
  needs_.store.commit({{kMachine + m.id, 0}, {kLeader, needs_.owned_shares.ownership().leader()->version}},
                      {{kMachine + m.id, share::machine_to_json(m), {}, false}}, store::Urgency::user,
                      [this, x, r, m](int code, std::uint64_t revision) mutable {
                        adopting_.erase(r.machine);
                        if (code != 200) return x->answer(503, wire::error_body("state service"));
                        needs_.adopted(r.machine);
                        spdlog::info("machine {} ({}, {}{}) joins share {}", m.id, m.type, m.zone,
                                     m.spot ? ", spot" : "", m.share);
                        if (!needs_.records.machine(m.id)) {
                          m.version = revision;
                          needs_.records.add_machine(m);
                          needs_.owned_shares.sync();
                        }
                        answer(x, r, false);
                      });
}

void WorkerApi::push_orders() {
  for (auto& [share, owned] : needs_.owned_shares.all()) {
    if (!needs_.owned_shares.owns(owned)) continue;
    if (pushing_ >= most_pushes_) return;  // each takes a socket; reports carry orders too
    for (const auto& p : owned.controller->take_pushes(needs_.loop.now(), most_pushes_ - pushing_,
                                                       needs_.owned_shares.refusal(owned)))
      push(share, owned.made, p);
  }
}

void WorkerApi::push(int share, std::uint64_t made, const share::ShareController::OrderPush& p) {
  wire::Endpoint to;
  try {
    to = wire::parse_endpoint(p.address);
  } catch (const wire::Malformed&) {
    return;
  }
  ++pushing_;
  needs_.workers.request(net::Method::post, to, "/do", wire::push_body(p.token, p.session, p.orders),
                         kPushDeadline,
                         [this, share, made, machine = p.machine](int code, const std::string& body) {
                           pushed(share, made, machine, code, body);
                         });
}

void WorkerApi::pushed(int share, std::uint64_t made, const std::string& machine, int code,
                       const std::string& body) {
  --pushing_;
  OwnedShares::OwnedShare* owned = needs_.owned_shares.find(share, made);
  if (!owned) return;
  WorkerReport r;
  const WorkerReport* report = nullptr;
  if (code == 200 || code == 409) try {
      r = wire::parse_report(body);
      report = &r;
    } catch (const std::exception& e) {
      spdlog::error("worker {}: {}", machine, e.what());
    }
  owned->controller->pushed(machine, report ? code : 0, report, needs_.loop.now());
  needs_.poke();
}

}  // namespace aspenwick::app
