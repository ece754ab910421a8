// Whole nodes in one process and in simulated time: a state service, a cloud, workers and a network just
// large enough to drive them by the protocol, without sockets.
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

struct Response {
  int status = 0;
  Json body;
};

/// Nodes a, b, c of the fixtures' settings, with workers that report to whoever holds them.
class ClusterSimulation {
 public:
  /// `value_kb`: the most that a value in the state service may have.
  explicit ClusterSimulation(const app::OperatorSettings& settings = {}, double value_kb = 16);
  ~ClusterSimulation();
  void start(const std::string& node);
  void crash(const std::string& node);
  void freeze(const std::string& node, Micros span);
  /// No node stands still any more.
  bool no_node_frozen() const;
  /// For so long the state service is down for 0.7 s of each 1.3 s: each outage restores all leases.
  void flap_state_service(Micros span);
  bool is_running(const std::string& node) const { return nodes_.contains(node); }
  /// A machine stands still, and then goes on where it was.
  void hang_random_machine(Micros span);
  /// Its reports arrive; answers and pushes don't reach it.
  void block_messages_to_random_machine(Micros span);
  std::vector<std::string> machines() const;
  /// It stops with all that is on it; the cloud goes on listing it as running.
  void lose_random_machine();
  /// Machines on which a task of the job is.
  std::vector<std::string> machines_running(const std::string& job) const;
  void hang(const std::string& machine, Micros span);
  void block_reports_of(const std::string& machine, Micros span);
  /// Its reports reach no controller; pushes do.
  void block_reports_of_random_machine(Micros span);
  /// A zone is cut off with a node inside: they reach each other and nothing else, until `reconnect_zone`.
  void isolate_zone(const std::string& zone, const std::string& node);
  void reconnect_zone();
  Response call(const std::string& node, net::Method method, const std::string& path, const Json& body = {});
  Response call_text(const std::string& node, net::Method method, const std::string& path,
                     const std::string& body);
  /// The same without waiting; `told` is called once, or never.
  void send(const std::string& node, net::Method method, const std::string& path, const Json& body,
            std::function<void(const Response&)> on_response);
  void send_text(const std::string& node, net::Method method, const std::string& path,
                 const std::string& body, std::function<void(const Response&)> on_response);

  SimulationEngine engine;
  FakeStateService store{engine};
  Micros run_time = 3 * kSecond;

  // ---- troubles; all off at first but that pushes never arrive
  std::mt19937 random{1};
  double push_loss_rate = 1, push_delay_rate = 0;  // parts of all; late: up to two minutes
  double state_response_loss_rate = 0;             // of the state service's, which has executed the request
  double report_loss_rate = 0;                     // of reports, half of them answered in vain
  Micros report_latency = 0;                       // on its way to a node, what is sent later may overtake it
  std::set<std::string> nodes_with_stalled_watches;  // nodes that are told of no changes, however they ask
  std::set<std::string>
      nodes_with_stalled_long_polls;  // nodes whose open watches are told nothing; other reads are answered
  std::set<std::string> nodes_without_commit_responses;  // nodes whose commits are executed without an answer
  bool& state_service_down = store.unavailable;
  std::set<std::string> nodes_refused_by_state_service;  // nodes
  std::set<std::string> nodes_cut_off_from_peers;  // nodes that no peer's frame reaches, nor theirs any peer
  double commit_delay_rate = 0;  // part of commits that are executed some time later, unanswered
  std::pair<Micros, Micros> commit_delay_range{0, 120 * kSecond};
  /// Commits that never arrive, by their text.
  std::function<bool(const std::string& body)> drop_commit = [](const std::string&) { return false; };
  /// Commits that are executed at once, their answers lost.
  std::function<bool(const std::string& body)> drop_commit_response = [](const std::string&) {
    return false;
  };
  std::vector<std::string> sent_commits;  // the texts of all that were sent
  Micros state_service_latency = 0;       // its answers take up to so long, and at least half of it
  // Copies of what was sent or carried out, later: of reports to any node, within three worker leases; of
  // pushes and of changes in the state service within two minutes, their answers lost.
  double report_duplicate_rate = 0, push_duplicate_rate = 0, commit_duplicate_rate = 0;
  bool duplicate_record_commits = false;  // commits of job records: executed twice, the second's answer comes
  double task_failure_rate = 0;           // half way; part of all runs
  double report_replay_rate = 0;    // part of reports whose copies reach all nodes as a new leader begins
  Micros boot_time = 5 * kSecond;   // of a machine
  std::size_t max_machines = 1000;  // that the cloud has
  std::map<std::string, std::string>
      only_reachable_node;  // by machine: the one node that its reports reach; no push does
  /// Frames from and to these nodes are held, to be delivered later to whichever process is there then.
  std::set<std::string> nodes_with_held_frames;
  void release_frames();

  /// Starts of each task; a task never runs at two places at a time.
  std::map<std::string, int> starts;
  int concurrent_runs = 0;
  std::string first_concurrent_run;  // the first such start
  std::set<std::uint64_t> attempts;  // of all starts
  /// Jobs whose users were told that they are cancelled, and tasks that were there too long after that.
  std::map<std::string, Micros> cancelled;
  std::string ran_after_cancellation;
  /// What was asked to be run, by job; more rules are judged of these: the team's limit, zone and kind of
  /// machine.
  std::map<std::string, Json> submitted;
  std::string placement_violation;  // the first such rule
  std::set<std::string> completed;  // tasks
  /// Starts of completed tasks whose result was at its worker until a node had it forgotten or its machine
  /// deleted; the first of them. A result that went with its worker's session is lost to everybody.
  int needless_reruns = 0;
  std::string first_needless_rerun;
  Micros run_time_spread = 0;  // added to run_time, by task
  /// Told of each task that has completed.
  std::function<void(const std::string& task)> on_completed = [](const std::string&) {};
  /// The latest start after its job's user was told that it is cancelled.
  Micros latest_start_after_cancellation = 0;
  std::string latest_cancelled_start;
  /// The same by when its order left the node, however long it was on its way.
  Micros latest_order_after_cancellation = 0;
  std::string latest_cancelled_order;
  /// Accepted jobs that nobody has asked to cancel. While all is calm, none of them waits for longer than
  /// this beside a machine with room that fits, its team under its limit; the first that did.
  std::set<std::string> open_jobs;
  std::map<std::string, std::string> dependency_of;  // of a job: the one that must be done first
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
  std::vector<std::pair<std::string, std::string>> held_frames_;  // to whom, bytes
  Micros report_period_ = 0, worker_lease_ = 0,
         cancel_time_ = 0;  // between reports; of a worker; of a cancellation
  Micros gang_start_timeout_ = 0, gang_peer_timeout_ = 0;
  std::string isolated_zone_, node_in_isolated_zone_;
  std::vector<std::string> replayed_reports_;        // for the next leader
  std::map<std::string, std::string> completed_on_;  // task -> machine
  std::set<std::string> lost_results_;               // tasks
  bool tracking_waits_ = false;
  std::map<std::string, Micros> condition_since_;  // room of a machine for a job, or of its team
  std::map<std::string, std::pair<Micros, int>> waiting_since_;  // by job: since when, and its starts by then
};

}  // namespace aspenwick::testing
