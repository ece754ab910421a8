#include "app/controller.h"

#include <spdlog/spdlog.h>

#include "app/keys.h"

namespace aspenwick::app {

using net::ExchangePtr;
using net::Method;

namespace {
constexpr Micros kTickInterval = 250 * kMillisecond;
constexpr Micros kScheduledTickDelay = 15 * kMillisecond;
constexpr Micros kGossipInterval = 500 * kMillisecond;
constexpr Micros kHeartbeatInterval = 250 * kMillisecond;
constexpr Micros kLeaderInterval = 500 * kMillisecond;
constexpr Micros kPauseThreshold = 4 * kLeaderInterval;  // longest gap between leader runs without a pause
constexpr Micros kReportsAfterPause = 2;  // per worker: the first may arrive before our lease is renewed
constexpr Micros kWorkerReportTimeout =
    4 * kSecond;  // how long a worker waits for the answer to a report, also during a pause of ours
constexpr Micros kOwnershipInterval = 200 * kMillisecond;
constexpr Micros kSchedulingGoalsInterval = 5 * kSecond;
constexpr Micros kMetricsInterval = 10 * kSecond;

/// Lists the reasons with a count above 0.
template <class Reason, std::size_t kReasonCount>
std::string format_counts(const std::array<std::uint64_t, kReasonCount>& counts) {
  std::string text;
  for (std::size_t i = 0; i < counts.size(); ++i)
    if (counts[i] > 0)
      text += " " + std::string(place::to_string(static_cast<Reason>(i))) + " " + std::to_string(counts[i]);
  return text.empty() ? " none" : text;
}
}  // namespace

Controller::Controller(const wire::PlatformSettings& platform, const OperatorSettings& operator_settings,
                       Dependencies dependencies)
    : loop_(dependencies.loop),
      report_interval_(platform.report_interval),
      store_(loop_, dependencies.http, platform),
      records_(platform, {loop_, store_,
                          [this](const std::string& id, const job::JobRecord& record) {
                            owned_shares_.job_updated(id, record);
                          },
                          [this](const std::string& id, std::uint64_t revision) {
                            peer_service_.on_cancellation_known(id, revision);
                          }}),
      owned_shares_(platform, operator_settings, {loop_, store_, records_, [this] { schedule_tick(); }}),
      result_writer_(platform, {loop_, store_, records_, owned_shares_, [this] { schedule_tick(); }}),
      peer_service_(
          platform, dependencies.incarnation,
          {loop_, dependencies.peers, store_, records_, owned_shares_,
           [this](const std::string& m, int to) { result_writer_.move_machine(m, to); },
           [this](const share::StatusReply& t) { job_api_.on_peer_status(t); }, [this] { schedule_tick(); }}),
      leader_(platform, operator_settings.renting, records_.types(), records_.machines(),
              {[this] { return loop_.now(); }, dependencies.http,
               [this] { return peer_service_.all_share_reports(); },
               [this](const auto& types) { records_.write_types(types); },
               [this](const fleet::MoveMachine& move) { peer_service_.execute_move(move); },
               [this](const auto& ids) { records_.delete_machines(ids); }}),
      job_api_(platform, dependencies.incarnation,
               {loop_, store_, dependencies.peers, records_, owned_shares_,
                [this](const std::string& job) { peer_service_.broadcast_cancellation(job); },
                [this](const std::string& job) { return peer_service_.may_confirm_cancellation(job); },
                [this] { schedule_tick(); }}),
      worker_api_(
          platform,
          {loop_, dependencies.workers, store_, records_, owned_shares_,
           [this](const wire::WorkerReport& r) {
             return leader_.share_for_new_machine(r.machine, r.type, owned_shares_.ownership().share_count());
           },
           [this](const std::string& m) { leader_.machine_registered(m); },
           [this](int share) { return peer_service_.reported_owner(share); }, [this] { schedule_tick(); }}) {
  store_.set_latency_observer([this](Micros took) { state_call_times_.record(took); });
  store_.watch(kSharedPrefix, {[this](const std::vector<wire::Row>& rows, std::uint64_t as_of) {
                                 on_watch_reset(rows, as_of);
                               },
                               [this](const std::vector<wire::Row>& rows) { on_watch_changes(rows); },
                               [this] {
                                 owned_shares_.on_records_refreshed();
                                 schedule_tick();
                               }});
  loop_.call_every(kTickInterval, [this] { tick(); });
  owned_shares_.find_and_revoke_former_lease();
  loop_.call_every(kGossipInterval, [this] { peer_service_.send_gossip(); });
  loop_.call_every(kHeartbeatInterval, [this] { peer_service_.send_heartbeats(); });
  loop_.call_every(kLeaderInterval, [this] { run_leader(); });
  loop_.call_every(kOwnershipInterval, [this] { owned_shares_.tick(); });
  loop_.call_every(kSchedulingGoalsInterval, [this] { update_scheduling_goals(); });
  loop_.call_every(kMetricsInterval, [this] { log_metrics(); });
}

// ---------------------------------------------------------------- requests and frames

void Controller::handle_request(const ExchangePtr& exchange) {
  const std::string path = exchange->path();
  const bool get = exchange->method() == Method::get, post = exchange->method() == Method::post;
  static const std::string kJobsPath = "/v1/jobs";
  if (path == kReportPath)
    return post ? worker_api_.handle_report(exchange) : exchange->respond_method_not_allowed("POST");
  if (path == "/ready") return get ? handle_ready(exchange) : exchange->respond_method_not_allowed("GET");
  if (path == kJobsPath)
    return post ? job_api_.submit(exchange) : exchange->respond_method_not_allowed("POST");
  if (path.starts_with(kJobsPath + "/")) {
    std::string id = path.substr(kJobsPath.size() + 1);
    static const std::string kCancelSuffix = "/withdraw";
    const bool to_cancel = id.ends_with(kCancelSuffix);
    if (to_cancel) id.resize(id.size() - kCancelSuffix.size());
    if (id.find('/') != std::string::npos || id.empty())
      return exchange->answer(404, wire::error_body("no such path"));
    if (to_cancel ? !post : !get) return exchange->respond_method_not_allowed(to_cancel ? "POST" : "GET");
    if (!wire::valid_job_id(id)) return exchange->answer(404, wire::error_body("no such job"));
    return to_cancel ? job_api_.cancel(exchange, id) : job_api_.status(exchange, id);
  }
  exchange->answer(404, wire::error_body("no such path"));
}

void Controller::handle_ready(const ExchangePtr& exchange) {
  // If the state service is down for all nodes, another node is no better, so this one stays ready. A node
  // that alone is refused by the state service, or that is cut off from it and from all peers, reports not
  // ready: users who stayed with such a node got no answers until the cut was over.
  if (!records_.synced()) return exchange->answer(503, wire::error_body("starting"));
  if (owned_shares_.ownership().only_we_lack_state_service(loop_.now()) ||
      owned_shares_.ownership().isolated(loop_.now()))
    return exchange->answer(503, wire::error_body("state service unreachable"));
  exchange->answer(200, R"({"ready":true})");
}

void Controller::handle_frame(const share::Frame& frame, const share::PeerTransport::Reply& reply) {
  peer_service_.handle_frame(frame, reply);
}

// ---------------------------------------------------------------- the watch

void Controller::apply_row(const wire::Row& row) {
  if (!records_.apply(row)) owned_shares_.apply(row);
}

void Controller::on_watch_reset(const std::vector<wire::Row>& rows, std::uint64_t as_of) {
  const bool first = !records_.synced();
  std::set<std::string> seen;
  for (const auto& r : rows) seen.insert(r.key);
  owned_shares_.begin_key_reload();
  // Machines and jobs come before owner keys: a share's controller is created from all records that were
  // there when the share was acquired.
  for (const auto& key : records_.missing_keys(seen, as_of)) apply_row({key, nullptr, as_of, true});
  for (const auto& key : owned_shares_.missing_keys(seen, as_of, first))
    apply_row({key, nullptr, as_of, true});
  for (const auto& r : rows) apply_row(r);
  owned_shares_.finish_key_reload();
  records_.mark_synced();
  records_.publish_graph_changes();
  if (first) {
    spdlog::info("synchronized with the state service: {} jobs, {} machines", records_.jobs().size(),
                 records_.machines().size());
  }
  owned_shares_.sync_controllers();
  owned_shares_.tick();
  peer_service_.on_keys_changed();
}

void Controller::on_watch_changes(const std::vector<wire::Row>& rows) {
  for (const auto& r : rows) apply_row(r);
  records_.publish_graph_changes();
  owned_shares_.sync_controllers();
  peer_service_.on_keys_changed();
  schedule_tick();
}

// ---------------------------------------------------------------- time

void Controller::schedule_tick() {
  if (tick_scheduled_) return;
  tick_scheduled_ = true;
  loop_.call_later(kScheduledTickDelay, [this] { tick(); });
}

void Controller::tick() {
  tick_scheduled_ = false;
  bool more = false;
  for (auto& [share, owned] : owned_shares_.all()) {
    const Micros began = loop_.now();
    more |= owned.controller->tick(began, owned_shares_.start_refusal(owned));
    planning_times_.record(loop_.now() - began);
    for (const Micros wait : owned.controller->take_start_waits()) task_waits_.record(wait);
    for (const Micros wait : owned.controller->take_result_waits()) result_waits_.record(wait);
  }
  for (auto& [share, owned] : owned_shares_.all())
    for (const auto& [machine, to] : owned.controller->drained_machines())
      result_writer_.move_machine(machine, to);
  worker_api_.push_orders();
  result_writer_.tick();
  if (more) schedule_tick();
}

void Controller::run_leader() {
  detect_pause();
  // Shares can be reported only once the machine types are known. Until then the leader rents nothing and has
  // to run without those reports, because it is the one that fetches the types.
  if (!owned_shares_.is_leader() || !(records_.types().empty() || peer_service_.heard_from_all_shares()))
    return leader_.step_down();
  if (owned_shares_.leader_refusal() == place::StartRefusal::none && loop_.now() >= leader_paused_until_)
    leader_.run(owned_shares_.ownership().leader()->epoch);
  else
    ++leader_runs_refused_;
}

/// After a pause of this process (suspended, or starved of CPU), what our machines and the other shares
/// reported is as old as the pause, and the leader would rent machines for everything that waits in its own
/// share. One round of worker reports brings the view up to date.
void Controller::detect_pause() {
  const Micros now = loop_.now();
  const Micros since_last = last_leader_run_ == 0 ? 0 : now - last_leader_run_;
  last_leader_run_ = now;
  if (since_last <= kPauseThreshold) return;
  leader_paused_until_ = now + kWorkerReportTimeout + kReportsAfterPause * report_interval_;
  spdlog::info("process paused for {:.1f} s", to_seconds(since_last - kLeaderInterval));
}

void Controller::update_scheduling_goals() {
  records_.recompute_finish_times();
  records_.publish_graph_changes();
}

void Controller::log_result_metrics(int share, const share::ShareController& controller) const {
  const auto held = controller.held_results(loop_.now());
  spdlog::info("metrics: share {} results not recorded: {} on {} machines, the oldest for {:.1f} s", share,
               held.results, held.machines, to_seconds(held.oldest_age));
  const auto attribution = controller.attribution_counts();
  spdlog::info(
      "metrics: share {} reported before their jobs' records: {} attempts and {} results open, "
      "{} and {} attributed, {} and {} dropped",
      share, attribution.unattributed_attempts, attribution.unattributed_results,
      attribution.attributed_attempts, attribution.attributed_results, attribution.dropped_attempts,
      attribution.dropped_results);
  spdlog::info("metrics: share {} releases refused:{}", share,
               format_counts<place::ReleaseRefusal>(controller.releases_refused()));
}

void Controller::log_metrics() {
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
    const auto& demands = owned.controller->demand_counts();
    spdlog::info("metrics: share {} demands: {} jobs in {} entries, {} groups beyond the first jobs", share,
                 demands.jobs, demands.listed, demands.groups);
    spdlog::info("metrics: share {} attempts freed:{}", share,
                 format_counts<place::FreeReason>(owned.controller->freed_attempts()));
    spdlog::info("metrics: share {} starts refused:{}", share,
                 format_counts<place::StartRefusal>(owned.controller->refused_starts()));
    log_result_metrics(share, *owned.controller);
  }
  for (std::size_t i = 0; i < place::kInvariants; ++i)
    if (const auto count = place::violations().at(i); count > 0)
      spdlog::error("metrics: invariant violated {} times: {}", count,
                    place::to_string(static_cast<place::Invariant>(i)));
  spdlog::info("metrics: waits {}, planning {}, state calls {}, empty machines that waited for results {}",
               task_waits_.summary(), planning_times_.summary(), state_call_times_.summary(),
               result_waits_.summary());
  spdlog::info(
      "metrics: records as of {:.3f} s ago, {} catch-ups, {} old answers of the state service, "
      "{} plans of the leader refused",
      to_seconds(loop_.now() - records_.records_as_of()), store_.catch_up_count(), store_.stale_responses(),
      leader_runs_refused_);
  spdlog::info("metrics: reports {} users {} jobs {} machines {} shares {}{}", worker_api_.report_count(),
               job_api_.request_count(), records_.jobs().size(), records_.machines().size(),
               owned_shares_.all().size(), owned_shares_.is_leader() ? " leader" : "");
}

}  // namespace aspenwick::app
