// Which jobs wait for which: readiness, cancellation, priority and deadlines along a pipeline. Socket-free:
// fed each job's record as the state service holds it, in whatever order the records come.
//
// Invariant: a job is ready only once every job that it needs is recorded as done; an owner's belief or a
// peer's message isn't enough. As done and cancelled are both final, a ready job has no needed job left to
// cancel, and what stands below a cancelled job can never become ready.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "job/record.h"

namespace aspenwick::job {

/// What a job is worth to those that need it. Times are times of day.
struct Course {
  wire::Rank rank = wire::Rank::low;  // the highest of any undecided job that needs it
  Micros ready = 0;                   // since when nothing that it needs is missing
  std::optional<Micros> finish_by;    // so that what follows can be done by its deadline
};

class Graph {
 public:
  /// Finds any job's record, or null.
  using Lookup = std::function<const JobRecord*(const std::string&)>;
  explicit Graph(Lookup lookup) : lookup_(std::move(lookup)) {}

  /// A record was read or committed. Repeated and older ones do no harm: final states are final.
  void update(const std::string& id, const JobRecord& record);

  /// Nothing that it needs is missing. Jobs that need nothing always are.
  bool ready(const std::string& id) const;
  /// A job that it needs, directly or through others, is cancelled: users are told that it is cancelled too.
  bool doomed(const std::string& id) const;
  /// All undecided jobs above it are known here; else a cancellation far above might be missed.
  bool whole(const std::string& id) const;
  /// The version of the last record that made it ready; 0 if it needs nothing.
  std::uint64_t ready_version(const std::string& id) const;
  Course course(const std::string& id, const JobRecord& record) const;

  /// Undecided jobs whose readiness or course has changed since last asked.
  std::vector<std::string> take_changed();
  /// Below a cancelled job, while their own records still say queued.
  const std::set<std::string>& to_cancel() const { return to_cancel_; }
  /// Latest finishes with the stage lengths seen by now.
  void replan();

 private:
  struct Node {
    std::string id, job_class;
    bool known = false;  // its spec was seen
    bool doomed = false, queued = false, changed = false;
    JobStatus status = JobStatus::queued;
    std::uint64_t version = 0, ready_version = 0;
    Micros submitted = 0, finished = 0, ready = 0, estimate = 0;
    std::optional<Micros> deadline, finish_by;  // times of day
    wire::Rank own = wire::Rank::low, rank = wire::Rank::low;
    std::uint32_t open = 0;  // needed jobs not recorded as done
    std::vector<Node*> dependencies, dependents;

    bool undecided() const { return status == JobStatus::queued && !doomed; }
  };
  struct ClassHistory {
    double length = 1.2;  // of a stage, to its owner's guess
    double tail = 0;      // seconds from submission to the latest finish, where jobs follow
    std::uint32_t jobs = 0, followed = 0;
  };

  Node& node(const std::string& id);
  void learn(Node& n, const JobRecord& record);
  void record_done(Node& n, const JobRecord& record);
  void record_cancelled(Node& n);
  void doom_below(Node& n);
  void mark(Node& n);
  Micros length(const Node& n) const;
  bool raise(Node& m, const Node& by) const;
  void raise_above(Node& n);
  void reconsider(std::vector<Node*> from);

  Lookup lookup_;
  std::unordered_map<std::string, Node> nodes_;
  std::unordered_map<std::string, ClassHistory> history_;
  std::vector<Node*> changed_;
  std::set<std::string> to_cancel_;
};

}  // namespace aspenwick::job
