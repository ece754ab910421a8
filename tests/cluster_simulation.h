// A simulated cluster in one process and in simulated time: real controllers on a fake state service, cloud,
// workers and network that speak the protocol without sockets. Faults can be injected into each of them, and
// the simulation records violations of the scheduler's invariants.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "app/controller.h"
#include "engine.h"
#include "fake_state_service.h"
#include "fixtures.h"
#include "net/exchange.h"
#include "net/loop.h"

namespace aspenwick::testing {

/// What a node answered to an HTTP request; status 0: no response yet.
struct Response {
  int status = 0;
  Json body;
};

/// Nodes a, b and c with the fixtures' settings, and workers that report to the node that owns their machine.
/// All randomness comes from `random`: the same seed gives the same run as long as the draws keep their
/// order.
class ClusterSimulation {
 public:
  /// `value_kb`: the size limit of a value in the state service, in kB.
  explicit ClusterSimulation(const app::OperatorSettings& settings = {}, double value_kb = 16);
  ~ClusterSimulation();
  /// Starts a new process of the node. It must not be running.
  void start(const std::string& node);
  /// Ends the node's process at once, with all of its pending events. It must be running.
  void crash(const std::string& node);
  /// Suspends the node's process for `span`; it then works through all that was due in the meantime.
  void freeze(const std::string& node, Micros span);
  /// Whether no node is suspended by `freeze` now.
  bool no_node_frozen() const;
  /// For `span`, the state service is down for 0.7 s of every 1.3 s. Each outage renews all leases in full.
  void flap_state_service(Micros span);
  bool is_running(const std::string& node) const { return nodes_.contains(node); }
  /// For `span`, a random machine neither reports nor receives anything; then it goes on from where it was,
  /// unless its lease has run out.
  void hang_random_machine(Micros span);
  /// For `span`, a random machine's reports arrive, but responses and pushes don't reach it.
  void block_messages_to_random_machine(Micros span);
  /// The ids of all machines that the cloud lists.
  std::vector<std::string> machines() const;
  /// A random machine loses all tasks and results and hangs for an hour; the cloud still lists it as running.
  void lose_random_machine();
  /// The machines that have a task of the job which has not ended.
  std::vector<std::string> machines_running(const std::string& job) const;
  /// As `hang_random_machine`, for the given machine.
  void hang(const std::string& machine, Micros span);
  /// As `block_reports_of_random_machine`, for the given machine.
  void block_reports_of(const std::string& machine, Micros span);
  /// For `span`, a random machine's reports reach no node; pushes still reach it.
  void block_reports_of_random_machine(Micros span);
  /// Partitions the network until `reconnect_zone`: the zone's machines and `node` reach each other, but
  /// neither the other nodes and machines nor the state service.
  void isolate_zone(const std::string& zone, const std::string& node);
  void reconnect_zone();
  /// Sends a request to a running node and advances the simulation until it responds, for at most 5 s;
  /// status 0: it didn't.
  Response call(const std::string& node, net::Method method, const std::string& path, const Json& body = {});
  Response call_text(const std::string& node, net::Method method, const std::string& path,
                     const std::string& body);
  /// The same without waiting. `on_response` is called once, or never if the node crashes first.
  void send(const std::string& node, net::Method method, const std::string& path, const Json& body,
            std::function<void(const Response&)> on_response);
  void send_text(const std::string& node, net::Method method, const std::string& path,
                 const std::string& body, std::function<void(const Response&)> on_response);

  SimulationEngine engine;
  FakeStateService store{engine};
  Micros run_time = 3 * kSecond;

  // ---- faults; all off at first, except that no push arrives
  std::mt19937 random{1};
  double push_loss_rate = 1, push_delay_rate = 0;  // delayed: by up to 2 min, without a response
  double state_response_loss_rate = 0;             // after the state service has executed the request
  double report_loss_rate = 0;                     // half of them are processed and only the response is lost
  Micros report_latency = 0;                       // to a node; what is sent later may overtake a report
  std::set<std::string>
      nodes_with_stalled_watches;  // neither long polls nor immediate reads of changes are answered
  std::set<std::string> nodes_with_stalled_long_polls;   // only long polls stall; other reads are answered
  std::set<std::string> nodes_without_commit_responses;  // their commits are executed
  bool& state_service_down = store.unavailable;
  std::set<std::string> nodes_refused_by_state_service;  // with status 503
  std::set<std::string> nodes_cut_off_from_peers;        // frames to and from them are lost
  double commit_delay_rate = 0;  // executed later, within the range below, without a response
  std::pair<Micros, Micros> commit_delay_range{0, 120 * kSecond};
  /// Whether a commit, given its body, never arrives.
  std::function<bool(const std::string& body)> drop_commit = [](const std::string&) { return false; };
  /// Whether a commit, given its body, is executed but its response lost.
  std::function<bool(const std::string& body)> drop_commit_response = [](const std::string&) {
    return false;
  };
  std::vector<std::string> sent_commits;  // the bodies, including those of dropped commits
  Micros state_service_latency = 0;       // maximum; the minimum is half of it
  // Fractions that are delivered a second time, their responses ignored: reports to any node within three
  // worker leases; pushes and writes to the state service within 2 min.
  double report_duplicate_rate = 0, push_duplicate_rate = 0, commit_duplicate_rate = 0;
  bool duplicate_record_commits = false;  // executed twice; the response is the second one's
  double task_failure_rate = 0;           // of runs of tasks outside gangs, after half of run_time
  double report_replay_rate = 0;    // of reports, copies of which reach all nodes when a new leader begins
  Micros boot_time = 5 * kSecond;   // from a machine's creation to its first report
  std::size_t max_machines = 1000;  // capacity of the cloud
  std::map<std::string, std::string>
      only_reachable_node;  // by machine: the only node that its reports reach; no push reaches it
  /// Frames from and to these nodes are held until `release_frames` delivers them to the processes that run
  /// then.
  std::set<std::string> nodes_with_held_frames;
  void release_frames();

  // ---- what ran, and violations of invariants

  /// Number of starts by task. `concurrent_runs` counts starts while another attempt of the task was running.
  std::map<std::string, int> starts;
  int concurrent_runs = 0;
  std::string first_concurrent_run;  // description of the first
  std::set<std::uint64_t> attempts;  // attempt numbers of all starts
  /// When a user was first told that the job is cancelled, by job; set by the test. `ran_after_cancellation`
  /// describes the first task still running longer than `cancel_time()` after that.
  std::map<std::string, Micros> cancelled;
  std::string ran_after_cancellation;
  /// Submissions by job, set by the test. Placement is checked for these only: the team's limits, the zone,
  /// and whether spot machines are allowed.
  std::map<std::string, Json> submitted;
  std::string placement_violation;  // the first violation
  std::set<std::string> completed;  // tasks
  /// Starts of completed tasks whose result stayed at the worker until a node ordered it to forget the result
  /// or deleted the machine. A result that was lost with its worker's session justifies another start.
  int needless_reruns = 0;
  std::string first_needless_rerun;
  Micros run_time_spread = 0;  // up to so much is added to run_time, by a hash of the task's name
  /// Called for each task when it completes for the first time.
  std::function<void(const std::string& task)> on_completed = [](const std::string&) {};
  /// Longest time from when a user was told of a cancellation to a start of the job's tasks.
  Micros latest_start_after_cancellation = 0;
  std::string latest_cancelled_start;
  /// The same, up to when the order to start left the node: excludes the order's time in transit.
  Micros latest_order_after_cancellation = 0;
  std::string latest_cancelled_order;
  /// Accepted jobs that nobody has asked to cancel, set by the test. While waits are tracked, none of them
  /// may wait longer than `max_wait` while machines have free capacity for it and its team is under its
  /// limits; `starved_job` describes the first that did.
  std::set<std::string> open_jobs;
  std::map<std::string, std::string>
      dependency_of;  // by job: the job that must be done first; set by the test
  /// To be on only while no fault is active.
  void track_waits(bool on) { tracking_waits_ = on, waiting_since_.clear(); }
  Micros max_wait = 90 * kSecond, longest_wait = 0;
  std::string starved_job;
  Micros cancel_time() const { return cancel_time_; }
  Micros worker_lease() const { return worker_lease_; }

 private:
  struct Node;
  struct Worker;
  class NodeTransport;
  class InProcessExchange;
  void handle_cloud_request(net::Method method, const std::string& path, const std::string& body,
                            const FakeStateService::ResponseCallback& done);
  bool with_probability(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random) < probability;
  }
  void push(const std::string& node, const std::string& path, const wire::Endpoint& to,
            const std::string& body, const FakeStateService::ResponseCallback& done);
  void deliver_push(const wire::Endpoint& to, const std::string& body, Micros sent,
                    const FakeStateService::ResponseCallback& done);
  Worker* random_machine();
  void check_lease(Worker& w);
  void lose_tasks(Worker& w);
  void check_rerun(const Worker& w, const std::string& task);
  void check_cancelled(const Worker& w, const std::string& task);
  void check_placement(const Worker& w, const std::string& task);
  void check_order_time(const Worker& w, const std::string& task, Micros ordered_at);
  void check_waiting_jobs();
  bool has_capacity(const Json& job, int tasks);
  bool has_lasted(const std::string& condition, bool holds);
  bool partitioned(const Worker& w, const std::string& node) const {
    return !isolated_zone_.empty() && (zone_of(w) == isolated_zone_) != (node == node_in_isolated_zone_);
  }
  static const std::string& zone_of(const Worker& w);
  bool is_gang(const std::string& task) const;
  void run_gang_if_complete(const std::string& job, std::uint64_t attempt);
  void monitor_gang(const std::string& job, std::uint64_t attempt, Micros ends);
  std::vector<std::pair<Worker*, std::string>> gang_members(const std::string& job, std::uint64_t attempt);
  void complete_task(Worker& w, const std::pair<std::string, std::uint64_t>& key);
  void try_next_node(Worker& w);
  void report(Worker& w);
  void execute_order(Worker& w, const Json& order, Micros ordered_at);
  Json report_body(Worker& w) const;

  app::OperatorSettings settings_;
  double value_kb_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> crashed_;
  std::map<std::string, Worker> workers_;
  int machines_created_ = 0;
  std::uint64_t processes_started_ = 0;
  std::vector<std::pair<std::string, std::string>> held_frames_;  // receiving node, bytes
  Micros report_period_ = 0, worker_lease_ = 0,
         cancel_time_ = 0;  // see the settings report_s, lease_s, cancel_s
  Micros gang_start_timeout_ = 0, gang_peer_timeout_ = 0;
  std::string isolated_zone_, node_in_isolated_zone_;
  std::vector<std::string> replayed_reports_;        // sent to all nodes when the next leader begins
  std::map<std::string, std::string> completed_on_;  // task -> machine
  std::set<std::string> lost_results_;               // tasks
  bool tracking_waits_ = false;
  std::map<std::string, Micros> condition_since_;  // see has_lasted
  std::map<std::string, std::pair<Micros, int>>
      waiting_since_;  // by job: since when, and its number of starts then
};

}  // namespace aspenwick::testing
