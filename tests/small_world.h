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
#include "fixtures.h"
#include "net/exchange.h"
#include "net/loop.h"
#include "state_store.h"

namespace aspenwick::testing {

struct Answer {
  int status = 0;
  Json body;
};

/// Nodes a, b, c of the fixtures' settings, with workers that report to whoever holds them.
class SmallWorld {
 public:
  /// `value_kb`: the most that a value in the state service may have.
  explicit SmallWorld(const app::OperatorSettings& settings = {}, double value_kb = 16);
  ~SmallWorld();
  void start(const std::string& node);
  void crash(const std::string& node);
  void freeze(const std::string& node, Micros span);
  /// No node stands still any more.
  bool all_awake() const;
  /// For so long the state service is down for 0.7 s of each 1.3 s: each outage restores all leases.
  void interrupt_state_service(Micros span);
  bool up(const std::string& node) const { return nodes_.contains(node); }
  /// A machine stands still, and then goes on where it was.
  void hang_some_machine(Micros span);
  /// Its reports arrive; answers and pushes don't reach it.
  void deafen_some_machine(Micros span);
  std::vector<std::string> machines() const;
  /// It stops with all that is on it; the cloud goes on listing it as running.
  void lose_some_machine();
  /// Machines on which a task of the job is.
  std::vector<std::string> machines_of(const std::string& job) const;
  void hang(const std::string& machine, Micros span);
  void mute(const std::string& machine, Micros span);
  /// Its reports reach no controller; pushes do.
  void mute_some_machine(Micros span);
  /// A zone is cut off with a node inside: they reach each other and nothing else, until `mend_zone`.
  void cut_zone(const std::string& zone, const std::string& node);
  void mend_zone();
  Answer ask(const std::string& node, net::Method method, const std::string& path, const Json& body = {});
  Answer ask_text(const std::string& node, net::Method method, const std::string& path,
                  const std::string& body);
  /// The same without waiting; `told` is called once, or never.
  void send(const std::string& node, net::Method method, const std::string& path, const Json& body,
            std::function<void(const Answer&)> told);
  void send_text(const std::string& node, net::Method method, const std::string& path,
                 const std::string& body, std::function<void(const Answer&)> told);

  Engine engine;
  StateStore store{engine};
  Micros run_time = 3 * kSecond;

  // ---- troubles; all off at first but that pushes never arrive
  std::mt19937 random{1};
  double push_lost = 1, push_late = 0;  // parts of all; late: up to two minutes
  double answer_lost = 0;               // of the state service's, which has executed the request
  double report_lost = 0;               // of reports, half of them answered in vain
  Micros report_takes = 0;              // on its way to a node, what is sent later may overtake it
  std::set<std::string> watch_stalls;   // nodes that are told of no changes, however they ask
  std::set<std::string>
      open_watches_held;             // nodes whose open watches are told nothing; other reads are answered
  std::set<std::string> unanswered;  // nodes whose commits are executed without an answer
  bool& state_down = store.down;
  std::set<std::string> state_refuses;  // nodes
  std::set<std::string> cut_off;        // nodes that no peer's frame reaches, nor theirs any peer
  double commit_late = 0;               // part of commits that are executed some time later, unanswered
  std::pair<Micros, Micros> commit_late_by{0, 120 * kSecond};
  /// Commits that never arrive, by their text.
  std::function<bool(const std::string& body)> commit_lost = [](const std::string&) { return false; };
  /// Commits that are executed at once, their answers lost.
  std::function<bool(const std::string& body)> commit_unanswered = [](const std::string&) { return false; };
  std::vector<std::string> commits;  // the texts of all that were sent
  Micros state_slow = 0;             // its answers take up to so long, and at least half of it
  // Copies of what was sent or carried out, later: of reports to any node, within three worker leases; of
  // pushes and of changes in the state service within two minutes, their answers lost.
  double report_copied = 0, push_copied = 0, commit_copied = 0;
  bool record_copied_at_once = false;  // commits of job records: executed twice, the second's answer comes
  double task_fails = 0;               // half way; part of all runs
  double report_kept = 0;              // part of reports whose copies reach all nodes as a new leader begins
  Micros boot = 5 * kSecond;           // of a machine
  std::size_t most_machines = 1000;    // that the cloud has
  std::map<std::string, std::string>
      only_reaches;  // by machine: the one node that its reports reach; no push does
  /// Frames from and to these nodes are held, to be delivered later to whichever process is there then.
  std::set<std::string> hold_frames;
  void release_frames();

  /// Starts of each task; a task never runs at two places at a time.
  std::map<std::string, int> starts;
  int ran_twice = 0;
  std::string first_twice;           // the first such start
  std::set<std::uint64_t> attempts;  // of all starts
  /// Jobs whose users were told that they are cancelled, and tasks that were there too long after that.
  std::map<std::string, Micros> cancelled;
  std::string ran_cancelled;
  /// What was asked to be run, by job; more rules are judged of these: the team's limit, zone and kind of
  /// machine.
  std::map<std::string, Json> submitted;
  std::string broken;               // the first such rule
  std::set<std::string> completed;  // tasks
  /// Starts of completed tasks whose result was at its worker until a node had it forgotten or its machine
  /// deleted; the first of them. A result that went with its worker's session is lost to everybody.
  int ran_again = 0;
  std::string first_again;
  Micros run_spread = 0;  // added to run_time, by task
  /// Told of each task that has completed.
  std::function<void(const std::string& task)> on_completed = [](const std::string&) {};
  /// The latest start after its job's user was told that it is cancelled.
  Micros start_after_cancellation = 0;
  std::string started_cancelled;
  /// The same by when its order left the node, however long it was on its way.
  Micros ordered_after_cancellation = 0;
  std::string ordered_cancelled;
  /// Accepted jobs that nobody has asked to cancel. While all is calm, none of them waits for longer than
  /// this beside a machine with room that fits, its team under its limit; the first that did.
  std::set<std::string> wanted;
  std::map<std::string, std::string> needs;  // of a job: the one that must be done first
  void calm(bool on) { calm_ = on, waits_since_.clear(); }
  Micros most_wait = 90 * kSecond, longest_wait = 0;
  std::string waited;
  Micros cancel_time() const { return cancel_; }
  Micros worker_lease() const { return lease_; }

 private:
  struct Node;
  struct Worker;
  class Wire;
  class Post;
  void cloud(net::Method method, const std::string& path, const std::string& body,
             const StateStore::Done& done);
  bool by_chance(double part) { return std::uniform_real_distribution<>(0, 1)(random) < part; }
  void push(const std::string& node, const std::string& path, const wire::Endpoint& to,
            const std::string& body, const StateStore::Done& done);
  void carry_out(const wire::Endpoint& to, const std::string& body, Micros sent,
                 const StateStore::Done& done);
  Worker* some_machine();
  void check_lease(Worker& w);
  void lose_tasks(Worker& w);
  void check_again(const Worker& w, const std::string& task);
  void check_cancelled(const Worker& w, const std::string& task);
  void check_place(const Worker& w, const std::string& task);
  void check_ordered(const Worker& w, const std::string& task, Micros ordered_at);
  void check_waits();
  bool has_room(const Json& job, int tasks);
  bool lasts(const std::string& what, bool holds);
  bool cut_apart(const Worker& w, const std::string& node) const {
    return !cut_zone_.empty() && (w_zone(w) == cut_zone_) != (node == zone_node_);
  }
  static const std::string& w_zone(const Worker& w);
  bool is_gang(const std::string& task) const;
  void gather(const std::string& job, std::uint64_t attempt);
  void watch_gang(const std::string& job, std::uint64_t attempt, Micros ends);
  std::vector<std::pair<Worker*, std::string>> mates(const std::string& job, std::uint64_t attempt);
  void complete(Worker& w, const std::pair<std::string, std::uint64_t>& key);
  void try_next_node(Worker& w);
  void report(Worker& w);
  void obey(Worker& w, const Json& order, Micros ordered_at);
  Json say(Worker& w) const;

  app::OperatorSettings settings_;
  double value_kb_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> crashed_;
  std::map<std::string, Worker> workers_;
  int rented_ = 0;
  std::uint64_t processes_ = 0;
  std::vector<std::pair<std::string, std::string>> held_frames_;  // to whom, bytes
  Micros every_ = 0, lease_ = 0, cancel_ = 0;  // between reports; of a worker; of a cancellation
  Micros gang_wait_ = 0, gang_peer_ = 0;
  std::string cut_zone_, zone_node_;
  std::vector<std::string> kept_reports_;            // for the next leader
  std::map<std::string, std::string> completed_on_;  // task -> machine
  std::set<std::string> lost_results_;               // tasks
  bool calm_ = false;
  std::map<std::string, Micros> lasting_;                      // room of a machine for a job, or of its team
  std::map<std::string, std::pair<Micros, int>> waits_since_;  // by job: since when, and its starts by then
};

}  // namespace aspenwick::testing
