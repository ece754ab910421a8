// The dependency graph of jobs: readiness, cancellation, priority and deadlines along pipelines. Does no I/O:
// it is fed each job's record as the state service holds it, in any order.
//
// Invariant: a job is ready only once every job that it depends on is recorded as done. An owner's own state
// or a peer's message is not enough. As done and cancelled are both final, a ready job has no dependency left
// that could be cancelled, and a job that depends on a cancelled one can never become ready.
//
// A job is undecided while it is queued and none of its dependencies is cancelled.
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

/// A job's priority and times, with what it inherits from its undecided dependents, direct and indirect.
/// Times are times of day.
struct SchedulingGoals {
  wire::Rank rank = wire::Rank::low;  // the highest of its own and its dependents'
  Micros ready = 0;                   // when the last of its dependencies was done, or it was submitted
  std::optional<Micros> finish_by;    // its latest finish, so that its dependents can meet their deadlines
};

/// Keeps a node for each job that has dependencies or dependents. Not thread-safe.
class DependencyGraph {
 public:
  /// Returns any job's record, or null if it is not known. Only called during update().
  using RecordLookup = std::function<const JobRecord*(const std::string&)>;
  explicit DependencyGraph(RecordLookup lookup) : lookup_(std::move(lookup)) {}

  /// A record was read or committed. Repeated and older records have no effect, since final states are final.
  void update(const std::string& id, const JobRecord& record);

  /// All its dependencies are done. Always true of jobs without any.
  bool is_ready(const std::string& id) const;
  /// A direct or indirect dependency is cancelled. Users are told that the job is cancelled too.
  bool has_cancelled_dependency(const std::string& id) const;
  /// The specs of its undecided dependencies, direct and indirect, were all seen. Until then, the
  /// cancellation of an indirect one may be missed.
  bool dependencies_known(const std::string& id) const;
  /// The highest version of its dependencies' done records; 0 if it has no dependencies.
  std::uint64_t ready_version(const std::string& id) const;
  /// `record` is the job's own.
  SchedulingGoals scheduling_goals(const std::string& id, const JobRecord& record) const;

  /// Undecided jobs whose readiness or scheduling goals have changed since the last call.
  std::vector<std::string> take_changed();
  /// Jobs with a cancelled dependency whose own records still say queued.
  const std::set<std::string>& to_cancel() const { return to_cancel_; }
  /// Recomputes all undecided jobs' latest finishes from the durations measured since.
  void recompute_finish_times();

 private:
  struct Node {
    std::string id, job_class;
    bool known = false;  // its spec was seen
    bool dependency_cancelled = false, in_worklist = false, changed = false;
    JobStatus status = JobStatus::queued;
    std::uint64_t version = 0, ready_version = 0;
    Micros submitted = 0, finished = 0, ready_since = 0, estimate = 0;
    std::optional<Micros> deadline, finish_by;  // times of day
    wire::Rank own_rank = wire::Rank::low, rank = wire::Rank::low;
    std::uint32_t open_dependencies = 0;  // not recorded as done
    std::vector<Node*> dependencies, dependents;

    bool undecided() const { return status == JobStatus::queued && !dependency_cancelled; }
  };
  /// Statistics of a class's finished jobs, used to estimate its other jobs.
  struct ClassHistory {
    double duration_factor = 1.2;  // measured duration relative to the estimate: moving average
    double finish_by_seconds = 0;  // from submission to latest finish: moving average of jobs with dependents
    std::uint32_t jobs = 0, jobs_with_dependents = 0;
  };

  Node& find_or_create_node(const std::string& id);
  void add_spec(Node& n, const JobRecord& record);
  void record_done(Node& n, const JobRecord& record);
  void record_cancelled(Node& n);
  void mark_dependents_cancelled(Node& n);
  void mark_changed(Node& n);
  Micros expected_duration(const Node& n) const;
  bool raise_priority(Node& needed, const Node& by) const;
  void propagate_to_dependencies(Node& n);
  void recompute_priorities(std::vector<Node*> from);

  RecordLookup lookup_;
  std::unordered_map<std::string, Node> nodes_;
  std::unordered_map<std::string, ClassHistory> history_;
  std::vector<Node*> changed_;
  std::set<std::string> to_cancel_;
};

}  // namespace aspenwick::job
