#include "job/graph.h"

#include <algorithm>

namespace aspenwick::job {
namespace {
constexpr Micros kStageOverhead = 5 * kSecond;  // per job, beside its run time: image fetch, reports, records
constexpr double kHistoryWeight = 0.2;          // of the newest job in a class's moving averages
constexpr std::uint32_t kMinHistoryJobs = 4;    // before a class's history is used for its other jobs
}  // namespace

DependencyGraph::Node& DependencyGraph::find_or_create_node(const std::string& id) {
  auto [it, added] = nodes_.try_emplace(id);
  if (added) it->second.id = id;
  return it->second;
}

bool DependencyGraph::is_ready(const std::string& id) const {
  auto it = nodes_.find(id);
  return it == nodes_.end() || (it->second.open_dependencies == 0 && !it->second.dependency_cancelled);
}
bool DependencyGraph::has_cancelled_dependency(const std::string& id) const {
  auto it = nodes_.find(id);
  return it != nodes_.end() && it->second.dependency_cancelled;
}
bool DependencyGraph::dependencies_known(const std::string& id) const {
  auto it = nodes_.find(id);
  if (it == nodes_.end()) return true;
  std::vector<const Node*> worklist{&it->second};
  std::set<const Node*> seen{&it->second};
  while (!worklist.empty()) {
    const Node& n = *worklist.back();
    worklist.pop_back();
    if (!n.known && n.status == JobStatus::queued) return false;
    for (const Node* needed : n.dependencies)
      if (needed->status == JobStatus::queued && seen.insert(needed).second) worklist.push_back(needed);
  }
  return true;
}
std::uint64_t DependencyGraph::ready_version(const std::string& id) const {
  auto it = nodes_.find(id);
  return it == nodes_.end() ? 0 : it->second.ready_version;
}

void DependencyGraph::update(const std::string& id, const JobRecord& record) {
  auto it = nodes_.find(id);
  if (it == nodes_.end() && record.spec && record.status == JobStatus::queued)
    ++history_[record.spec->job_class].jobs;
  if (it == nodes_.end() && (!record.spec || record.spec->dependencies.empty())) return;
  Node& n = it == nodes_.end() ? find_or_create_node(id) : it->second;
  if (!n.known && record.spec) add_spec(n, record);
  if (record.status == JobStatus::done && n.status != JobStatus::done) record_done(n, record);
  if (record.status == JobStatus::cancelled && n.status != JobStatus::cancelled) record_cancelled(n);
}

void DependencyGraph::add_spec(Node& n, const JobRecord& record) {
  const JobSpec& spec = *record.spec;
  n.known = true;
  n.job_class = spec.job_class;
  n.version = record.version;
  n.submitted = n.ready_since = record.submitted;
  n.estimate = spec.estimate;
  if (spec.deadline) n.deadline = n.finish_by = record.submitted + *spec.deadline;
  n.own_rank = n.rank = spec.rank;
  if (!n.dependents.empty()) ++history_[n.job_class].jobs_with_dependents;
  for (const Node* dependent : n.dependents)
    if (dependent->undecided()) raise_priority(n, *dependent);
  for (const auto& id : spec.dependencies) {
    Node& needed = find_or_create_node(id);
    if (&needed == &n) continue;
    if (const JobRecord* r = needed.known || needed.status != JobStatus::queued ? nullptr : lookup_(id)) {
      // A job with dependencies of its own already has a node whose spec is known.
      if (r->spec && r->spec->dependencies.empty()) add_spec(needed, *r);
      if (r->status == JobStatus::done) record_done(needed, *r);
      if (r->status == JobStatus::cancelled) record_cancelled(needed);
    }
    n.dependencies.push_back(&needed);
    needed.dependents.push_back(&n);
    if (needed.known && needed.dependents.size() == 1) ++history_[needed.job_class].jobs_with_dependents;
    if (needed.status == JobStatus::done) {
      n.ready_version = std::max(n.ready_version, needed.version);
      n.ready_since = std::max(n.ready_since, needed.finished);
    } else {
      ++n.open_dependencies;
    }
    if (needed.dependency_cancelled || needed.status == JobStatus::cancelled) n.dependency_cancelled = true;
  }
  if (n.dependency_cancelled && record.status == JobStatus::queued) {
    to_cancel_.insert(n.id);
    mark_dependents_cancelled(n);
  }
  mark_changed(n);
  if (n.undecided()) propagate_to_dependencies(n);
}

void DependencyGraph::record_done(Node& n, const JobRecord& record) {
  n.status = JobStatus::done;
  n.version = record.version;
  // 0 in a record of a version that kept no time: its dependents then count from their own submission.
  n.finished = record.finished;
  if (n.known) {
    ClassHistory& h = history_[n.job_class];
    if (n.finished > n.ready_since && n.ready_since > 0) {
      const double measured_factor =
          to_seconds(n.finished - n.ready_since) / to_seconds(n.estimate + kStageOverhead);
      h.duration_factor += kHistoryWeight * (std::clamp(measured_factor, 0.5, 4.0) - h.duration_factor);
    }
    if (!n.dependents.empty() && n.finish_by) {
      const double newest = to_seconds(*n.finish_by - n.submitted);
      h.finish_by_seconds = h.finish_by_seconds == 0
                                ? newest
                                : h.finish_by_seconds + kHistoryWeight * (newest - h.finish_by_seconds);
    }
  }
  for (Node* dependent : n.dependents) {
    dependent->ready_version = std::max(dependent->ready_version, n.version);
    dependent->ready_since = std::max(dependent->ready_since, n.finished);
    if (--dependent->open_dependencies == 0) mark_changed(*dependent);
  }
}

void DependencyGraph::record_cancelled(Node& n) {
  n.status = JobStatus::cancelled;
  to_cancel_.erase(n.id);
  mark_dependents_cancelled(n);
  recompute_priorities(n.dependencies);
}

/// Marks all direct and indirect dependents. Iterative, as long chains would overflow the stack.
void DependencyGraph::mark_dependents_cancelled(Node& n) {
  std::deque<Node*> worklist{&n};
  std::vector<Node*> affected;
  while (!worklist.empty()) {
    Node& from = *worklist.front();
    worklist.pop_front();
    for (Node* dependent : from.dependents) {
      if (dependent->dependency_cancelled) continue;
      dependent->dependency_cancelled = true;
      if (dependent->status == JobStatus::queued) to_cancel_.insert(dependent->id);
      mark_changed(*dependent);
      worklist.push_back(dependent);
      affected.insert(affected.end(), dependent->dependencies.begin(), dependent->dependencies.end());
    }
  }
  recompute_priorities(std::move(affected));
}

void DependencyGraph::mark_changed(Node& n) {
  if (n.changed) return;
  n.changed = true;
  changed_.push_back(&n);
}

std::vector<std::string> DependencyGraph::take_changed() {
  std::vector<std::string> out;
  out.reserve(changed_.size());
  for (Node* n : changed_) {
    n->changed = false;
    if (n->known && n->undecided()) out.push_back(n->id);
  }
  changed_.clear();
  return out;
}

// ---------------------------------------------------------------- priority and deadlines

Micros DependencyGraph::expected_duration(const Node& n) const {
  auto h = history_.find(n.job_class);
  return static_cast<Micros>(
      static_cast<double>(n.estimate + kStageOverhead) *
      (h == history_.end() ? ClassHistory{}.duration_factor : h->second.duration_factor));
}

/// Raises a dependency's rank and latest finish to what its dependent `by` requires; true if that changed
/// any.
bool DependencyGraph::raise_priority(Node& needed, const Node& by) const {
  bool raised = false;
  if (by.rank > needed.rank) needed.rank = by.rank, raised = true;
  if (by.finish_by) {
    const Micros before = *by.finish_by - expected_duration(by);
    if (!needed.finish_by || before < *needed.finish_by) needed.finish_by = before, raised = true;
  }
  return raised;
}

/// Passes a node's rank and latest finish on to its direct and indirect dependencies. A node is visited again
/// only if it is raised again.
void DependencyGraph::propagate_to_dependencies(Node& n) {
  std::deque<Node*> worklist{&n};
  while (!worklist.empty()) {
    Node& from = *worklist.front();
    worklist.pop_front();
    from.in_worklist = false;
    for (Node* needed : from.dependencies) {
      if (!needed->undecided() || !raise_priority(*needed, from)) continue;
      mark_changed(*needed);
      if (!needed->in_worklist) needed->in_worklist = true, worklist.push_back(needed);
    }
  }
}

/// After a dependent of these nodes was cancelled: removes the rank and latest finish that it passed on,
/// also from their own dependencies, as far as that changes anything.
void DependencyGraph::recompute_priorities(std::vector<Node*> from) {
  std::deque<Node*> worklist;
  for (Node* n : from)
    if (!n->in_worklist && n->undecided()) n->in_worklist = true, worklist.push_back(n);
  while (!worklist.empty()) {
    Node& n = *worklist.front();
    worklist.pop_front();
    n.in_worklist = false;
    const auto before = std::pair{n.rank, n.finish_by};
    n.rank = n.own_rank, n.finish_by = n.deadline;
    for (const Node* dependent : n.dependents)
      if (dependent->undecided()) raise_priority(n, *dependent);
    if (before == std::pair{n.rank, n.finish_by}) continue;
    mark_changed(n);
    for (Node* needed : n.dependencies)
      if (!needed->in_worklist && needed->undecided()) needed->in_worklist = true, worklist.push_back(needed);
  }
}

void DependencyGraph::recompute_finish_times() {
  // In reverse topological order: each node once, after all its dependents.
  std::unordered_map<Node*, std::size_t> unvisited_dependents;
  std::deque<Node*> worklist;
  for (auto& [id, n] : nodes_) {
    if (!n.known || !n.undecided()) continue;
    const auto undecided_dependents =
        std::count_if(n.dependents.begin(), n.dependents.end(),
                      [](const Node* dependent) { return dependent->known && dependent->undecided(); });
    if (undecided_dependents == 0) worklist.push_back(&n);
    unvisited_dependents[&n] = static_cast<std::size_t>(undecided_dependents);
  }
  while (!worklist.empty()) {
    Node& n = *worklist.front();
    worklist.pop_front();
    const auto before = n.finish_by;
    n.finish_by = n.deadline;
    for (const Node* dependent : n.dependents)
      if (dependent->undecided()) raise_priority(n, *dependent);
    if (before != n.finish_by) mark_changed(n);
    for (Node* needed : n.dependencies)
      if (auto left = unvisited_dependents.find(needed);
          left != unvisited_dependents.end() && --left->second == 0)
        worklist.push_back(needed);
  }
}

SchedulingGoals DependencyGraph::scheduling_goals(const std::string& id, const JobRecord& record) const {
  SchedulingGoals goals;
  goals.ready = record.submitted;
  if (!record.spec) return goals;
  goals.rank = record.spec->rank;
  if (record.spec->deadline) goals.finish_by = record.submitted + *record.spec->deadline;
  if (auto it = nodes_.find(id); it != nodes_.end()) {
    const Node& n = it->second;
    goals.rank = std::max(goals.rank, n.rank);
    goals.ready = std::max(goals.ready, n.ready_since);
    if (n.finish_by) goals.finish_by = n.finish_by;
  }
  if (goals.finish_by) return goals;
  // The pipeline's last job, with the deadline, may not be submitted yet. The class's history may set a
  // finish time, but never raises the rank.
  auto h = history_.find(record.spec->job_class);
  if (h != history_.end() && h->second.jobs >= kMinHistoryJobs &&
      h->second.jobs_with_dependents * 4 >= h->second.jobs * 3 && h->second.finish_by_seconds > 0)
    goals.finish_by = record.submitted + from_seconds(h->second.finish_by_seconds);
  return goals;
}

}  // namespace aspenwick::job
