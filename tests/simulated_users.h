// Simulated users who submit, poll, resubmit and cancel jobs at every node, and check the responses: none may
// contradict a final status that any node returned before the request was sent, no job may exist that nobody
// submitted, and no job may be accepted that can't run.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node_fixture.h"

namespace aspenwick::testing {

inline const std::vector<std::string> kNodeNames{"a", "b", "c"};

/// Draws from the simulation's random generator. Reports failures through GoogleTest.
class SimulatedUsers {
 public:
  explicit SimulatedUsers(ClusterSimulation& sim);
  SimulatedUsers(const SimulatedUsers&) = delete;
  SimulatedUsers& operator=(const SimulatedUsers&) = delete;

  /// Sends the requests of one second; the caller advances the simulation.
  void act_for_one_second();
  /// Cancels up to `count` random unfinished jobs within 200 ms; `hang`: and hangs a random machine for each.
  void cancel_burst(int count, bool hang);
  /// Sent up to 8 times, at random nodes, while no node runs or the response is 429 or above.
  void submit(Json job);
  /// Repeated every second while the response is an error that permits a retry (429 or above). No node given:
  /// a random running one.
  void cancel(const std::string& id, const std::string& node = {});
  void poll(const std::string& id, const std::string& node = {});
  /// Sends a random submission that no node may accept.
  void submit_invalid();

  /// To be called once all faults have ended. Expects that every node answers for every accepted job within
  /// 75 s, that no job waits too long beside free capacity, and that all jobs end within 20 min.
  void expect_all_jobs_end();

  double recheck_rate = 0;               // of new statuses, after which all nodes are asked within 8 ms
  double cancel_on_completion_rate = 0;  // of jobs, cancelled as their last task completes
  double invalid_request_rate = 0;       // per second
  int max_jobs = 30;

 private:
  struct PendingRequest {
    std::string id;
    bool accepted;                                  // when the request was sent
    std::optional<std::string> known_final_status;  // when the request was sent; empty: none
    bool submission;
  };
  bool with_probability(double probability) {
    return std::uniform_real_distribution<>(0, 1)(sim_.random) < probability;
  }
  std::string random_running_node();
  std::string random_job();
  Json random_new_job();
  void submit_with_retries(const std::string& id, int attempts_left);
  void send_request(const std::string& node, const std::string& id, net::Method method,
                    const std::string& path, const Json& body,
                    const std::function<void(const Response&)>& on_response = {});
  void check_response(const PendingRequest& request, const Response& response);
  void on_status_learned(const std::string& id);
  void recheck_on_all_nodes(const std::string& id);
  bool may_be_cancelled(const std::string& id) const;
  bool all_completed(const std::string& id) const;

  ClusterSimulation& sim_;
  int submitted_ = 0, invalid_submitted_ = 0;
  std::set<std::string> accepted_, cancel_requested_;
  std::map<std::string, std::string>
      final_statuses_;  // by job: done or withdrawn, as a node first returned it
  std::set<std::pair<std::string, std::string>> nodes_that_answered_;  // (node, job), since the last clear()
};

}  // namespace aspenwick::testing
