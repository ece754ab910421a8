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

inline const std::vector<std::string> kNodes{"a", "b", "c"};

class Users {
 public:
  explicit Users(SmallWorld& world);
  Users(const Users&) = delete;
  Users& operator=(const Users&) = delete;

  /// What they do in a second.
  void act();
  /// So many jobs that have long to go are called off at once; `hang`: some of their machines stand still.
  void cancel_now(int count, bool hang);
  void submit(Json job);
  void cancel(const std::string& id, const std::string& node = {});
  void poll(const std::string& id, const std::string& node = {});
  /// A submission that no node may accept.
  void submit_odd();

  /// All troubles are over: whichever node is asked, within 75 s it answers; no job waits beside room; in the
  /// end all are over.
  void expect_the_end();

  double close_looks = 0;    // part of news after which all nodes are asked within milliseconds
  double cancel_at_end = 0;  // part of jobs called off as their last task completes
  double odd_requests = 0;   // a second
  int most_jobs = 30;

 private:
  struct Question {
    std::string id;
    bool accepted;                     // when it was asked
    std::optional<std::string> final;  // the same
    bool submission;
  };
  bool chance(double part) { return std::uniform_real_distribution<>(0, 1)(w_.random) < part; }
  std::string up();
  std::string some_job();
  Json some_new_job();
  void submit_again(const std::string& id, int tries);
  void ask(const std::string& node, const std::string& id, net::Method method, const std::string& path,
           const Json& body, const std::function<void(const Answer&)>& then = {});
  void heard(const Question& q, const Answer& answer);
  void news(const std::string& id);
  void look_closely(const std::string& id);
  bool may_be_cancelled(const std::string& id) const;
  bool all_completed(const std::string& id) const;

  SmallWorld& w_;
  int submitted_ = 0, odd_ = 0;
  std::set<std::string> accepted_, asked_;
  std::map<std::string, std::string> told_;                 // what was told to be over
  std::set<std::pair<std::string, std::string>> answered_;  // node and job, since it was last cleared
};

}  // namespace aspenwick::testing
