#include "app/controller.h"

#include <spdlog/spdlog.h>

#include "app/keys.h"

namespace aspenwick::app {

using net::ExchangePtr;
using net::Method;

namespace {
constexpr Micros kTick = 250 * kMillisecond;
constexpr Micros kSoon = 15 * kMillisecond;
constexpr Micros kGossip = 500 * kMillisecond;
constexpr Micros kHeartbeat = 250 * kMillisecond;
constexpr Micros kLead = 500 * kMillisecond;
constexpr Micros kStoodStill = 4 * kLead;  // between two calls that are due every kLead
constexpr Micros kReports = 2;             // of a worker: the first may find us before our lease is renewed
constexpr Micros kWorkerGivesUp = 4 * kSecond;  // on an answer to a report that found us standing still
constexpr Micros kKeep = 200 * kMillisecond;
constexpr Micros kReplan = 5 * kSecond;
constexpr Micros kMetrics = 10 * kSecond;

/// Only the reasons that occurred.
template <class Reason, std::size_t kReasons>
std::string counts_text(const std::array<std::uint64_t, kReasons>& counts) {
  std::string text;
  for (std::size_t i = 0; i < counts.size(); ++i)
    if (counts[i] > 0)
      text += " " + std::string(place::to_string(static_cast<Reason>(i))) + " " + std::to_string(counts[i]);
  return text.empty() ? " none" : text;
}
}  // namespace

Controller::Controller(const wire::PlatformSettings& platform, const OperatorSettings& ops, Needs needs)
    : loop_(needs.loop),
      reports_every_(platform.report_interval),
      store_(loop_, needs.http, platform),
      records_(platform, {loop_, store_,
                          [this](const std::string& id, const job::JobRecord& record) {
                            owned_shares_.job_seen(id, record);
                          },
                          [this](const std::string& id, std::uint64_t revision) {
                            peer_service_.cancellation_known(id, revision);
                          }}),
      owned_shares_(platform, ops, {loop_, store_, records_, [this] { poke(); }}),
      result_writer_(platform, {loop_, store_, records_, owned_shares_, [this] { poke(); }}),
      peer_service_(platform, needs.incarnation,
                    {loop_, needs.peers, store_, records_, owned_shares_,
                     [this](const std::string& m, int to) { result_writer_.move_machine(m, to); },
                     [this](const share::StatusReply& t) { job_api_.told(t); }, [this] { poke(); }}),
      leader_(platform, ops.renting, records_.types(), records_.machines(),
              {[this] { return loop_.now(); }, needs.http, [this] { return peer_service_.all_shares(); },
               [this](const auto& types) { records_.write_types(types); },
               [this](const fleet::Move& move) { peer_service_.give(move); },
               [this](const auto& ids) { records_.forget_machines(ids); }}),
      job_api_(
          platform, needs.incarnation,
          {loop_, store_, needs.peers, records_, owned_shares_,
           [this](const std::string& job) { peer_service_.cancelled(job); },
           [this](const std::string& job) { return peer_service_.may_confirm(job); }, [this] { poke(); }}),
      worker_api_(platform,
                  {loop_, needs.workers, store_, records_, owned_shares_,
                   [this](const wire::WorkerReport& r) {
                     return leader_.share_for(r.machine, r.type, owned_shares_.ownership().share_count());
                   },
                   [this](const std::string& m) { leader_.adopted(m); },
                   [this](int share) { return peer_service_.told_owner(share); }, [this] { poke(); }}) {
  store_.set_latency_observer([this](Micros took) { state_calls_.add(took); });
  store_.watch(kShared,
               {[this](const std::vector<wire::Row>& rows, std::uint64_t as_of) { reset(rows, as_of); },
                [this](const std::vector<wire::Row>& rows) { changed(rows); },
                [this] {
                  owned_shares_.records_read();
                  poke();
                }});
  loop_.call_every(kTick, [this] { tick(); });
  owned_shares_.find_former();
  loop_.call_every(kGossip, [this] { peer_service_.gossip(); });
  loop_.call_every(kHeartbeat, [this] { peer_service_.heartbeat(); });
  loop_.call_every(kLead, [this] { lead(); });
  loop_.call_every(kKeep, [this] { owned_shares_.tick(); });
  loop_.call_every(kReplan, [this] { replan(); });
  loop_.call_every(kMetrics, [this] { metrics(); });
}

// ---------------------------------------------------------------- requests and frames

void Controller::asked(const ExchangePtr& x) {
  const std::string path = x->path();
  const bool get = x->method() == Method::get, post = x->method() == Method::post;
  static const std::string kJobs = "/v1/jobs";
  if (path == kReportPath) return post ? worker_api_.report(x) : x->respond_method_not_allowed("POST");
  if (path == "/ready") return get ? ready(x) : x->respond_method_not_allowed("GET");
  if (path == kJobs) return post ? job_api_.submit(x) : x->respond_method_not_allowed("POST");
  if (path.starts_with(kJobs + "/")) {
    std::string id = path.substr(kJobs.size() + 1);
    static const std::string kWithdraw = "/withdraw";
    const bool to_cancel = id.ends_with(kWithdraw);
    if (to_cancel) id.resize(id.size() - kWithdraw.size());
    if (id.find('/') != std::string::npos || id.empty())
      return x->answer(404, wire::error_body("no such path"));
    if (to_cancel ? !post : !get) return x->respond_method_not_allowed(to_cancel ? "POST" : "GET");
    if (!wire::valid_job_id(id)) return x->answer(404, wire::error_body("no such job"));
    return to_cancel ? job_api_.cancel(x, id) : job_api_.status(x, id);
  }
  x->answer(404, wire::error_body("no such path"));
}

void Controller::ready(const ExchangePtr& x) {
  // A common outage leaves nothing better to send users to; a node refused alone, or cut off from the state
  // service and all peers, steps aside: users who stayed with it were told nothing until the cut was over.
  if (!records_.synced()) return x->answer(503, wire::error_body("starting"));
  if (owned_shares_.ownership().only_we_lack_state_service(loop_.now()) ||
      owned_shares_.ownership().isolated(loop_.now()))
    return x->answer(503, wire::error_body("no state service"));
  x->answer(200, R"({"ready":true})");
}

void Controller::heard(const share::Frame& frame, const share::PeerTransport::Reply& reply) {
  peer_service_.heard(frame, reply);
}

// ---------------------------------------------------------------- the watch

void Controller::apply(const wire::Row& row) {
  if (!records_.apply(row)) owned_shares_.apply(row);
}

void Controller::reset(const std::vector<wire::Row>& rows, std::uint64_t as_of) {
  const bool first = !records_.synced();
  std::set<std::string> seen;
  for (const auto& r : rows) seen.insert(r.key);
  owned_shares_.reading_keys();
  // Machines and jobs before keys: a share's controller is made from all that was there when it was taken.
  for (const auto& key : records_.missing(seen, as_of)) apply({key, nullptr, as_of, true});
  for (const auto& key : owned_shares_.missing(seen, as_of, first)) apply({key, nullptr, as_of, true});
  for (const auto& r : rows) apply(r);
  owned_shares_.keys_read();
  records_.in_step();
  records_.follow_graph();
  if (first) {
    spdlog::info("in step with the state service: {} jobs, {} machines", records_.jobs().size(),
                 records_.machines().size());
  }
  owned_shares_.sync();
  owned_shares_.tick();
  peer_service_.keys_seen();
}

void Controller::changed(const std::vector<wire::Row>& rows) {
  for (const auto& r : rows) apply(r);
  records_.follow_graph();
  owned_shares_.sync();
  peer_service_.keys_seen();
  poke();
}

// ---------------------------------------------------------------- time

void Controller::poke() {
  if (tick_soon_) return;
  tick_soon_ = true;
  loop_.call_later(kSoon, [this] { tick(); });
}

void Controller::tick() {
  tick_soon_ = false;
  bool more = false;
  for (auto& [s, owned] : owned_shares_.all()) {
    const Micros began = loop_.now();
    more |= owned.controller->tick(began, owned_shares_.refusal(owned));
    planning_.add(loop_.now() - began);
    for (const Micros w : owned.controller->take_start_waits()) waits_.add(w);
    for (const Micros w : owned.controller->take_result_waits()) result_waits_.add(w);
  }
  for (auto& [s, owned] : owned_shares_.all())
    for (const auto& [machine, to] : owned.controller->drained_machines())
      result_writer_.move_machine(machine, to);
  worker_api_.push_orders();
  result_writer_.tick();
  if (more) poke();
}

void Controller::lead() {
  notice_pause();
  // Until machine types are known no share can be told: nothing is rented before, and the leader asks for
  // them.
  if (!owned_shares_.leading() || !(records_.types().empty() || peer_service_.heard_all()))
    return leader_.rest();
  if (owned_shares_.leading_refusal() == place::StartRefusal::none && loop_.now() >= plans_after_)
    leader_.lead(owned_shares_.ownership().leader()->epoch);
  else
    ++lead_refused_;
}

/// We stood still: what our machines and the other shares say is as old as the pause, and a leader would rent
/// for all that waits in its own share. One round of reports tells more.
void Controller::notice_pause() {
  const Micros now = loop_.now();
  const Micros since_last = last_lead_ == 0 ? 0 : now - last_lead_;
  last_lead_ = now;
  if (since_last <= kStoodStill) return;
  plans_after_ = now + kWorkerGivesUp + kReports * reports_every_;
  spdlog::info("this process stood still for {:.1f} s", to_seconds(since_last - kLead));
}

void Controller::replan() {
  records_.replan();
  records_.follow_graph();
}

void Controller::result_metrics(int share, const share::ShareController& controller) const {
  const auto held = controller.held_results(loop_.now());
  spdlog::info("metrics: share {} results not recorded: {} on {} machines, the oldest for {:.1f} s", share,
               held.results, held.machines, to_seconds(held.oldest_age));
  const auto a = controller.attribution_counts();
  spdlog::info(
      "metrics: share {} reported before their jobs' records: {} attempts and {} results open, "
      "{} and {} attributed, {} and {} dropped",
      share, a.unattributed_attempts, a.unattributed_results, a.attributed_attempts, a.attributed_results,
      a.dropped_attempts, a.dropped_results);
  spdlog::info("metrics: share {} releases refused:{}", share,
               counts_text<place::ReleaseRefusal>(controller.releases_refused()));
}

void Controller::metrics() {
  for (const auto& [share, owned] : owned_shares_.all()) {
    struct Sum {
      std::size_t machines = 0;
      wire::Resources total, free;
    };
    std::map<std::string, Sum> sums;
    for (const auto& m : owned.controller->machine_states(loop_.now())) {
      const auto* rec = records_.machine(m.id);
      if (!m.usable || !rec) continue;
      Sum& sum = sums[rec->type + (rec->spot ? " spot" : "")];
      ++sum.machines;
      sum.free += m.free;
      for (const auto& t : records_.types())
        if (t.name == rec->type) sum.total += t.total;
    }
    for (const auto& [type, sum] : sums)
      spdlog::info("metrics: share {} {}: {} machines, cpus {} of {} free, gpus {} of {} free", share, type,
                   sum.machines, sum.free.cpus / 1'000'000, sum.total.cpus / 1'000'000,
                   sum.free.gpus / 1'000'000, sum.total.gpus / 1'000'000);
    spdlog::info("metrics: share {} waiting tasks {}", share, owned.controller->waiting_tasks());
    spdlog::info("metrics: share {} attempts freed:{}", share,
                 counts_text<place::Freed>(owned.controller->freed_attempts()));
    spdlog::info("metrics: share {} starts refused:{}", share,
                 counts_text<place::StartRefusal>(owned.controller->refused_starts()));
    result_metrics(share, *owned.controller);
  }
  for (std::size_t i = 0; i < place::kInvariants; ++i)
    if (const auto count = place::violations().at(i); count > 0)
      spdlog::error("metrics: invariant violated {} times: {}", count,
                    place::to_string(static_cast<place::Invariant>(i)));
  spdlog::info("metrics: waits {}, planning {}, state calls {}, empty machines that waited for results {}",
               waits_.text(), planning_.text(), state_calls_.text(), result_waits_.text());
  spdlog::info(
      "metrics: records as of {:.3f} s ago, {} catch-ups, {} old answers of the state service, "
      "{} plans of the leader refused",
      to_seconds(loop_.now() - records_.read_as_of()), store_.catch_up_count(), store_.stale_responses(),
      lead_refused_);
  spdlog::info("metrics: reports {} users {} jobs {} machines {} shares {}{}", worker_api_.reports(),
               job_api_.requests(), records_.jobs().size(), records_.machines().size(),
               owned_shares_.all().size(), owned_shares_.leading() ? " leader" : "");
}

}  // namespace aspenwick::app
