// A node's view of the job records: into memory, the graph and the holders; rows that belong to them; what
// follows from the graph.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/controller.h"
#include "app/keys.h"

namespace aspenwick::app {

using wire::JobStatus;

namespace {
constexpr int kReads = 3;  // formats: 3 has rows of units, specs in parts, types in rows
}  // namespace

/// Every record that we see, read or committed, goes this way: into memory, the graph and the holders.
void Controller::set_job(const std::string& id, job::JobRecord record) {
  job::JobRecord& kept = jobs_[id];
  // A record in parts is whole once they are all here; one written before keeps its spec.
  if (!record.spec && kept.spec && record.status != JobStatus::done) record.spec = kept.spec;
  kept = std::move(record);
  if (kept.final()) parts_.erase(id);
  if (!kept.final() && !kept.spec) return assemble(id);
  graph_.update(id, kept);
  feed_job(id, kept);
}

void Controller::apply_part(const wire::Row& row) {
  const std::string name = row.key.substr(kPart.size());
  const auto tag = name.find('/'), n = name.rfind('/');
  if (tag == std::string::npos || n == tag) return;
  const std::string id = name.substr(0, tag);
  if (row.removed) {
    if (auto it = parts_.find(id); it != parts_.end()) it->second.erase(name.substr(tag + 1, n - tag - 1));
    return;
  }
  if (auto it = jobs_.find(id); it != jobs_.end() && (it->second.final() || it->second.spec)) return;
  parts_[id][name.substr(tag + 1, n - tag - 1)][static_cast<std::uint32_t>(std::stoul(name.substr(n + 1)))] =
      row.value.get<std::string>();
  assemble(id);
}

void Controller::assemble(const std::string& id) {
  auto j = jobs_.find(id);
  if (j == jobs_.end() || j->second.final() || j->second.spec || j->second.parts == 0) return;
  const auto& parts = parts_[id][j->second.parts_tag];
  if (parts.size() < j->second.parts) return;
  std::vector<std::string> texts;
  for (const auto& [n, text] : parts) texts.push_back(text);
  j->second.spec = job::spec_from_parts(texts);
  parts_.erase(id);
  graph_.update(id, j->second);
  feed_job(id, j->second);
}

/// Rows that a final job has left: nothing reads them any more, so these deletes need no guard.
void Controller::delete_keys(std::vector<std::string> keys) {
  std::vector<wire::Write> writes;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    writes.push_back({std::move(keys[i]), nullptr, {}, true});
    if (writes.size() < store_.txn_ops() && i + 1 < keys.size()) continue;
    store_.commit({}, std::exchange(writes, {}), store::Urgency::background, [](int, std::uint64_t) {});
  }
}

/// The parts of a job that is over say nothing any more. If this fails they only lie there.
void Controller::drop_parts(const std::string& id, const job::JobRecord& record) {
  std::vector<std::string> keys;
  for (std::uint32_t n = 0; n < record.parts; ++n)
    keys.push_back(kPart + id + "/" + record.parts_tag + "/" + std::to_string(n));
  delete_keys(std::move(keys));
}

/// Stages that open, and what those that need a job grant it.
void Controller::follow_graph() {
  for (const auto& id : graph_.take_changed()) {
    auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.final()) continue;
    if (it->second.spec && spdlog::should_log(spdlog::level::debug)) {
      const auto c = graph_.course(id, it->second);
      spdlog::debug("stage {} ({}) {} {:.1f} s ago, rank {}, to finish in {:.1f} s", id,
                    it->second.spec->job_class, graph_.ready(id) ? "open since" : "waits, accepted",
                    to_seconds(time_of_day() - c.ready), static_cast<int>(c.rank),
                    c.finish_by ? to_seconds(*c.finish_by - time_of_day()) : 0.0);
    }
    feed_job(id, it->second);
  }
}

/// The records below a withdrawn job follow what users are told already: in batches, by whoever holds the
/// share.
void Controller::withdraw_doomed() {
  if (withdrawing_ || graph_.to_withdraw().empty() || !store_.writes_spare()) return;
  for (auto& [s, held] : held_) {
    if (!may_start(held)) continue;
    std::vector<wire::Guard> guards{{kHolder + std::to_string(s), held.key_version}};
    std::vector<wire::Write> writes;
    std::vector<std::string> ids;
    for (const auto& id : graph_.to_withdraw()) {
      auto it = jobs_.find(id);
      if (it == jobs_.end() || it->second.final() || !it->second.spec) continue;
      if (own_.share_of_team(it->second.spec->team) != s) continue;
      guards.push_back({kJob + id, it->second.version});
      writes.push_back({kJob + id, job::withdrawn_value(it->second, platform_.value_room()), {}, false});
      ids.push_back(id);
      if (ids.size() >= std::min(store_.txn_ops(), withdraw_batch_)) break;
    }
    if (ids.empty()) continue;
    withdrawing_ = true;
    store_.commit(std::move(guards), std::move(writes), store::Urgency::background,
                  [this, ids](int code, std::uint64_t revision) {
                    withdrawing_ = false;
                    // One of them was changed elsewhere: the watch tells which, the rest go on one by one.
                    withdraw_batch_ = code == 409 ? 1 : 8;
                    if (code != 200) return;
                    spdlog::info("withdrawn with a job that they need: {} jobs, {} ...", ids.size(), ids[0]);
                    for (const auto& id : ids) {
                      auto it = jobs_.find(id);
                      if (it == jobs_.end() || it->second.final()) continue;
                      job::JobRecord record = it->second;
                      record.status = JobStatus::withdrawn;
                      record.version = revision;
                      drop_parts(id, record);
                      set_job(id, std::move(record));
                    }
                    follow_graph();
                  });
    return;
  }
}

/// Tells `then` once all job records are as fresh as a read made after this call; false if the service can't
/// be asked. Several askers share a read.
void Controller::fresh_jobs(std::function<void(bool)> then) {
  want_fresh_.push_back(std::move(then));
  if (freshening_) return;
  freshening_ = true;
  auto asked = std::make_shared<std::vector<std::function<void(bool)>>>(std::exchange(want_fresh_, {}));
  const std::uint64_t since = std::max(jobs_revision_, store_.watched());
  store_.changes(kJob, since,
                 [this, asked](bool ok, const std::vector<wire::Row>& rows, std::uint64_t revision) {
                   if (ok) {
                     for (const auto& r : rows) apply_row(r);
                     jobs_revision_ = std::max(jobs_revision_, revision);
                     follow_graph();
                   } else {
                     jobs_revision_ = 0;  // perhaps too old
                   }
                   freshening_ = false;
                   for (const auto& f : *asked) f(ok);
                   if (!want_fresh_.empty() && !freshening_) {
                     auto first = std::move(want_fresh_.back());
                     want_fresh_.pop_back();
                     fresh_jobs(std::move(first));
                   }
                 });
}

/// A row on our lease that says which formats we read. The first version wrote none, so a node without one
/// gets only what that version reads.
void Controller::announce() {
  auto it = readers_.find(platform_.name);
  if (announcing_ || !own_.lease() || (it != readers_.end() && it->second.first == *own_.lease())) return;
  announcing_ = true;
  const std::uint64_t lease = *own_.lease();
  store_.commit({{kNode + platform_.name, it == readers_.end() ? 0 : it->second.second}},
                {{kNode + platform_.name, {{"lease", lease}, {"reads", kReads}}, lease, false}},
                store::Urgency::background,
                [this](int, std::uint64_t) { later(kSecond, [this] { announcing_ = false; }); });
}

/// Machine types that one value doesn't hold are spread over several; indices mean the same to all nodes, so
/// none are known until all are.
void Controller::apply_types(const wire::Row& row) {
  if (!types_.empty()) return;
  if (row.key == kTypes) {
    types_ = wire::types_from_json(row.value);
    return;
  }
  type_parts_[std::stoul(row.key.substr(kTypes.size() + 1))] = wire::types_from_json(row.value);
  if (type_parts_.size() < row.value.at("rows").get<std::size_t>()) return;
  for (const auto& [n, types] : type_parts_) types_.insert(types_.end(), types.begin(), types.end());
}

void Controller::write_types(const std::vector<wire::MachineType>& types) {
  const auto rows = job::types_rows(types, platform_.value_room());
  if (rows.size() == 1)
    return store_.commit({{kTypes, 0}}, {{kTypes, rows[0], {}, false}}, store::Urgency::user,
                         [](int, std::uint64_t) {});
  for (std::size_t n = 0; n < rows.size(); ++n) {
    const std::string key = kTypes + "/" + std::to_string(n);
    store_.commit({{key, 0}}, {{key, rows[n], {}, false}}, store::Urgency::user, [](int, std::uint64_t) {});
  }
}

}  // namespace aspenwick::app
