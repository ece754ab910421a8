// Users of the small world, who submit, ask, repeat and cancel at every node, and the judge of what they are
// told: nothing older than what any node has told before the question was sent, nothing invented, nothing
// accepted that can't run.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node_fixture.h"

namespace aspenwick::testing {

inline const std::vector<std::string> kNodeNames{"a", "b", "c"};

class SimulatedUsers {
 public:
  explicit SimulatedUsers(ClusterSimulation& sim);
  SimulatedUsers(const SimulatedUsers&) = delete;
  SimulatedUsers& operator=(const SimulatedUsers&) = delete;

  /// What they do in a second.
  void act_for_one_second();
  /// So many jobs that have long to go are called off at once; `hang`: some of their machines stand still.
  void cancel_burst(int count, bool hang);
  void submit(Json job);
  void cancel(const std::string& id, const std::string& node = {});
  void poll(const std::string& id, const std::string& node = {});
  /// A submission that no node may accept.
  void submit_invalid();

  /// All troubles are over: whichever node is asked, within 75 s it answers; no job waits beside room; in the
  /// end all are over.
  void expect_all_jobs_end();

  double recheck_rate = 0;               // part of news after which all nodes are asked within milliseconds
  double cancel_on_completion_rate = 0;  // part of jobs called off as their last task completes
  double invalid_request_rate = 0;       // a second
  int max_jobs = 30;

 private:
  struct PendingRequest {
    std::string id;
    bool accepted;                                  // when it was asked
    std::optional<std::string> known_final_status;  // the same
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
  std::map<std::string, std::string> final_statuses_;  // what was told to be over
  std::set<std::pair<std::string, std::string>>
      nodes_that_answered_;  // node and job, since it was last cleared
};

}  // namespace aspenwick::testing
