#include "job/graph.h"

#include <algorithm>

namespace aspenwick::job {
namespace {
constexpr Micros kBetween = 5 * kSecond;  // of a stage, whatever it runs: image, reports, records
constexpr double kNewPart = 0.2;          // of the newest stage in what its class's history tells
constexpr std::uint32_t kEnough = 4;      // jobs of a class before its history tells of others
}  // namespace

Graph::Node& Graph::node(const std::string& id) {
  auto [it, added] = nodes_.try_emplace(id);
  if (added) it->second.id = id;
  return it->second;
}

bool Graph::ready(const std::string& id) const {
  auto it = nodes_.find(id);
  return it == nodes_.end() || (it->second.open == 0 && !it->second.doomed);
}
bool Graph::doomed(const std::string& id) const {
  auto it = nodes_.find(id);
  return it != nodes_.end() && it->second.doomed;
}
bool Graph::whole(const std::string& id) const {
  auto it = nodes_.find(id);
  if (it == nodes_.end()) return true;
  std::vector<const Node*> next{&it->second};
  std::set<const Node*> seen{&it->second};
  while (!next.empty()) {
    const Node& n = *next.back();
    next.pop_back();
    if (!n.known && n.status == JobStatus::queued) return false;
    for (const Node* m : n.dependencies)
      if (m->status == JobStatus::queued && seen.insert(m).second) next.push_back(m);
  }
  return true;
}
std::uint64_t Graph::ready_version(const std::string& id) const {
  auto it = nodes_.find(id);
  return it == nodes_.end() ? 0 : it->second.ready_version;
}

void Graph::update(const std::string& id, const JobRecord& record) {
  auto it = nodes_.find(id);
  if (it == nodes_.end() && record.spec && record.status == JobStatus::queued)
    ++history_[record.spec->job_class].jobs;
  if (it == nodes_.end() && (!record.spec || record.spec->dependencies.empty())) return;
  Node& n = it == nodes_.end() ? node(id) : it->second;
  if (!n.known && record.spec) learn(n, record);
  if (record.status == JobStatus::done && n.status != JobStatus::done) record_done(n, record);
  if (record.status == JobStatus::cancelled && n.status != JobStatus::cancelled) record_cancelled(n);
}

void Graph::learn(Node& n, const JobRecord& record) {
  const JobSpec& spec = *record.spec;
  n.known = true;
  n.job_class = spec.job_class;
  n.version = record.version;
  n.submitted = n.ready = record.submitted;
  n.estimate = spec.estimate;
  if (spec.deadline) n.deadline = n.finish_by = record.submitted + *spec.deadline;
  n.own = n.rank = spec.rank;
  if (!n.dependents.empty()) ++history_[n.job_class].followed;
  for (const Node* d : n.dependents)
    if (d->undecided()) raise(n, *d);
  for (const auto& id : spec.dependencies) {
    Node& m = node(id);
    if (&m == &n) continue;
    if (const JobRecord* r = m.known || m.status != JobStatus::queued ? nullptr : lookup_(id)) {
      // It needs nothing itself, or it would have a node of its own by now.
      if (r->spec && r->spec->dependencies.empty()) learn(m, *r);
      if (r->status == JobStatus::done) record_done(m, *r);
      if (r->status == JobStatus::cancelled) record_cancelled(m);
    }
    n.dependencies.push_back(&m);
    m.dependents.push_back(&n);
    if (m.known && m.dependents.size() == 1) ++history_[m.job_class].followed;
    if (m.status == JobStatus::done) {
      n.ready_version = std::max(n.ready_version, m.version);
      n.ready = std::max(n.ready, m.finished);
    } else {
      ++n.open;
    }
    if (m.doomed || m.status == JobStatus::cancelled) n.doomed = true;
  }
  if (n.doomed && record.status == JobStatus::queued) {
    to_cancel_.insert(n.id);
    doom_below(n);
  }
  mark(n);
  if (n.undecided()) raise_above(n);
}

void Graph::record_done(Node& n, const JobRecord& record) {
  n.status = JobStatus::done;
  n.version = record.version;
  // A record by a version that kept no time: what waits counts from its own submission.
  n.finished = record.finished;
  if (n.known) {
    ClassHistory& h = history_[n.job_class];
    if (n.finished > n.ready && n.ready > 0) {
      const double seen = to_seconds(n.finished - n.ready) / to_seconds(n.estimate + kBetween);
      h.length += kNewPart * (std::clamp(seen, 0.5, 4.0) - h.length);
    }
    if (!n.dependents.empty() && n.finish_by) {
      const double tail = to_seconds(*n.finish_by - n.submitted);
      h.tail = h.tail == 0 ? tail : h.tail + kNewPart * (tail - h.tail);
    }
  }
  for (Node* d : n.dependents) {
    d->ready_version = std::max(d->ready_version, n.version);
    d->ready = std::max(d->ready, n.finished);
    if (--d->open == 0) mark(*d);
  }
}

void Graph::record_cancelled(Node& n) {
  n.status = JobStatus::cancelled;
  to_cancel_.erase(n.id);
  doom_below(n);
  reconsider(n.dependencies);
}

/// All that needs it, directly or through others; step by step, as chains may be long.
void Graph::doom_below(Node& n) {
  std::deque<Node*> next{&n};
  std::vector<Node*> granted;
  while (!next.empty()) {
    Node& from = *next.front();
    next.pop_front();
    for (Node* d : from.dependents) {
      if (d->doomed) continue;
      d->doomed = true;
      if (d->status == JobStatus::queued) to_cancel_.insert(d->id);
      mark(*d);
      next.push_back(d);
      granted.insert(granted.end(), d->dependencies.begin(), d->dependencies.end());
    }
  }
  reconsider(std::move(granted));
}

void Graph::mark(Node& n) {
  if (n.changed) return;
  n.changed = true;
  changed_.push_back(&n);
}

std::vector<std::string> Graph::take_changed() {
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

Micros Graph::length(const Node& n) const {
  auto h = history_.find(n.job_class);
  return static_cast<Micros>(static_cast<double>(n.estimate + kBetween) *
                             (h == history_.end() ? ClassHistory{}.length : h->second.length));
}

bool Graph::raise(Node& m, const Node& by) const {
  bool raised = false;
  if (by.rank > m.rank) m.rank = by.rank, raised = true;
  if (by.finish_by) {
    const Micros before = *by.finish_by - length(by);
    if (!m.finish_by || before < *m.finish_by) m.finish_by = before, raised = true;
  }
  return raised;
}

/// What it grants reaches all that it needs. Nothing is looked at twice but what is raised again.
void Graph::raise_above(Node& n) {
  std::deque<Node*> next{&n};
  while (!next.empty()) {
    Node& from = *next.front();
    next.pop_front();
    from.queued = false;
    for (Node* m : from.dependencies) {
      if (!m->undecided() || !raise(*m, from)) continue;
      mark(*m);
      if (!m->queued) m->queued = true, next.push_back(m);
    }
  }
}

/// After a dependent has ended: what it granted is taken back, as far up as it had gone.
void Graph::reconsider(std::vector<Node*> from) {
  std::deque<Node*> next;
  for (Node* n : from)
    if (!n->queued && n->undecided()) n->queued = true, next.push_back(n);
  while (!next.empty()) {
    Node& n = *next.front();
    next.pop_front();
    n.queued = false;
    const auto before = std::pair{n.rank, n.finish_by};
    n.rank = n.own, n.finish_by = n.deadline;
    for (const Node* d : n.dependents)
      if (d->undecided()) raise(n, *d);
    if (before == std::pair{n.rank, n.finish_by}) continue;
    mark(n);
    for (Node* m : n.dependencies)
      if (!m->queued && m->undecided()) m->queued = true, next.push_back(m);
  }
}

void Graph::replan() {
  // From the last jobs up: each once, after all that need it.
  std::unordered_map<Node*, std::size_t> waiting;
  std::deque<Node*> next;
  for (auto& [id, n] : nodes_) {
    if (!n.known || !n.undecided()) continue;
    const auto after = std::count_if(n.dependents.begin(), n.dependents.end(),
                                     [](const Node* d) { return d->known && d->undecided(); });
    if (after == 0) next.push_back(&n);
    waiting[&n] = static_cast<std::size_t>(after);
  }
  while (!next.empty()) {
    Node& n = *next.front();
    next.pop_front();
    const auto before = n.finish_by;
    n.finish_by = n.deadline;
    for (const Node* d : n.dependents)
      if (d->undecided()) raise(n, *d);
    if (before != n.finish_by) mark(n);
    for (Node* m : n.dependencies)
      if (auto w = waiting.find(m); w != waiting.end() && --w->second == 0) next.push_back(m);
  }
}

Course Graph::course(const std::string& id, const JobRecord& record) const {
  Course c;
  c.ready = record.submitted;
  if (!record.spec) return c;
  c.rank = record.spec->rank;
  if (record.spec->deadline) c.finish_by = record.submitted + *record.spec->deadline;
  if (auto it = nodes_.find(id); it != nodes_.end()) {
    const Node& n = it->second;
    c.rank = std::max(c.rank, n.rank);
    c.ready = std::max(c.ready, n.ready);
    if (n.finish_by) c.finish_by = n.finish_by;
  }
  if (c.finish_by) return c;
  // Its last job may still be to come. The class's history may hurry it, but grants no priority.
  auto h = history_.find(record.spec->job_class);
  if (h != history_.end() && h->second.jobs >= kEnough && h->second.followed * 4 >= h->second.jobs * 3 &&
      h->second.tail > 0)
    c.finish_by = record.submitted + from_seconds(h->second.tail);
  return c;
}

}  // namespace aspenwick::job
