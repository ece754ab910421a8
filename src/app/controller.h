// A controller node: creates its components and connects them to each other. Everything runs on the thread of
// the event loop. The caller provides the loop, the HTTP requesters and the peer transport.
#pragma once
#include <string>
#include <vector>

#include "app/job_api.h"
#include "app/latency_histogram.h"
#include "app/leader.h"
#include "app/operator_settings.h"
#include "app/owned_shares.h"
#include "app/peer_service.h"
#include "app/records.h"
#include "app/result_writer.h"
#include "app/worker_api.h"
#include "net/exchange.h"
#include "net/loop.h"
#include "share/peer_transport.h"
#include "store/client.h"

namespace aspenwick::app {

/// Path of worker reports. Every other path serves users or the load balancer.
inline const std::string kReportPath = "/hello";

/// Routes requests, frames and watch events to the components of a node, and runs their timers.
class Controller {
 public:
  /// What the node uses; all referenced objects must outlive the Controller.
  struct Dependencies {
    net::Loop& loop;
    net::Requester& http;     // to the state service and the cloud API
    net::Requester& workers;  // pushes orders to workers
    share::PeerTransport& peers;
    std::uint64_t incarnation;  // identifies this process; random and not 0
  };
  /// `platform` and all dependencies must outlive the Controller. The loop must not run after the Controller
  /// is destroyed, because its timers refer to it.
  Controller(const wire::PlatformSettings& platform, const OperatorSettings& operator_settings,
             Dependencies dependencies);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Handles a request of a user, a worker or the load balancer; answers it now or later.
  void handle_request(const net::ExchangePtr& exchange);
  /// Handles a frame of a peer; `reply` sends a frame back to it.
  void handle_frame(const share::Frame& frame, const share::PeerTransport::Reply& reply);

 private:
  void handle_ready(const net::ExchangePtr& exchange);
  void apply_row(const wire::Row& row);
  void on_watch_reset(const std::vector<wire::Row>& rows, std::uint64_t as_of);
  void on_watch_changes(const std::vector<wire::Row>& rows);
  void schedule_tick();
  void tick();
  void run_leader();
  void detect_pause();
  void update_scheduling_goals();
  void log_metrics();
  void log_result_metrics(int share, const share::ShareController& controller) const;

  net::Loop& loop_;
  const Micros report_interval_;
  store::Client store_;
  Records records_;
  OwnedShares owned_shares_;
  ResultWriter result_writer_;
  PeerService peer_service_;
  Leader leader_;
  JobApi job_api_;
  WorkerApi worker_api_;
  bool tick_scheduled_ = false;
  Micros last_leader_run_ = 0, leader_paused_until_ = 0;
  std::uint64_t leader_runs_refused_ = 0;  // leader runs skipped because the view of the cluster was too old
  LatencyHistogram task_waits_, planning_times_, state_call_times_, result_waits_;
};

}  // namespace aspenwick::app
