#include "app/records.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"

namespace aspenwick::app {

using wire::JobStatus;

namespace {
constexpr int kReads = 3;  // formats: 3 has rows of units, specs in parts, types in rows
constexpr std::size_t kForgetAtOnce = 4;
constexpr Micros kGatherAsking = 15 * kMillisecond;
}  // namespace

Records::Records(const wire::PlatformSettings& platform, Needs needs)
    : platform_(platform),
      needs_(std::move(needs)),
      graph_([this](const std::string& id) { return job(id); }) {}

const job::JobRecord* Records::job(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const job::JobRecord* Records::entry(const std::string& id) const {
  static const job::JobRecord unreadable;
  const auto* known = job(id);
  return known || !unreadable_.contains(id) ? known : &unreadable;
}

const share::MachineRecord* Records::machine(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

bool Records::all_read_units() const {
  return std::all_of(platform_.siblings.begin(), platform_.siblings.end(),
                     [&](const auto& n) { return readers_.contains(n.name); });
}

bool Records::apply(const wire::Row& row) {
  const std::string& key = row.key;
  if (!key.starts_with(kJob) && !key.starts_with(kPart) && !key.starts_with(kNode) &&
      !key.starts_with(kMachine) && !key.starts_with(kTypes))
    return false;
  try {
    read(row);
  } catch (const std::exception& e) {
    spdlog::error("state service: {}: {}", key, e.what());
    if (key.starts_with(kJob)) unreadable_.insert(key.substr(kJob.size()));
  }
  return true;
}

void Records::read(const wire::Row& row) {
  const std::string& key = row.key;
  if (key.starts_with(kJob)) {
    const std::string id = key.substr(kJob.size());
    if (row.removed) return;
    set_job(id, job::record_from_json(row.value, row.version));
    unreadable_.erase(id);
  } else if (key.starts_with(kPart)) {
    read_part(row);
  } else if (key.starts_with(kNode)) {
    const std::string node = key.substr(kNode.size());
    if (row.removed)
      readers_.erase(node);
    else
      readers_[node] = {row.value.at("lease").get<std::uint64_t>(), row.version};
  } else if (key.starts_with(kMachine)) {
    const std::string id = key.substr(kMachine.size());
    machines_changed_.insert(id);
    const auto* known = machine(id);
    if (row.removed) {
      if (known && known->version <= row.version) machines_.erase(id);
    } else {
      if (known && known->version >= row.version) return;
      machines_[id] = share::machine_from_json(id, row.value, row.version);
    }
  } else if (!row.removed) {
    read_types(row);
  }
}

std::vector<std::string> Records::missing(const std::set<std::string>& seen, std::uint64_t as_of) const {
  std::vector<std::string> out;
  for (const auto& [id, m] : machines_)
    if (m.version <= as_of && !seen.contains(kMachine + id)) out.push_back(kMachine + id);
  return out;
}

void Records::add_machine(const share::MachineRecord& machine) {
  if (!machines_.emplace(machine.id, machine).second) return;
  machines_changed_.insert(machine.id);
}

void Records::cancelled_elsewhere(const std::string& id, std::uint64_t revision) {
  const auto* known = job(id);
  if (!known) {
    // The watch may bring the record alone, and an outage keep its cancellation from us: we said that we had
    // it.
    cancelled_early_[id] = revision;
    return;
  }
  if (known->final()) return;
  job::JobRecord record = *known;
  record.status = JobStatus::cancelled;
  record.version = std::max(record.version, revision);
  set_job(id, std::move(record));
}

void Records::set_job(const std::string& id, job::JobRecord record) {
  if (const auto* known = job(id)) {
    if (known->final() && record.status != known->status) return;
    const bool adds_spec = known->version == record.version && !known->spec && record.spec;
    if (known->version >= record.version && !adds_spec) {
      // A cancellation that a peer told ahead of its record may be of no known revision.
      if (known->final() || !record.final()) return;
      record.version = known->version;
    }
  }
  take_job(id, std::move(record));
  if (const auto early = cancelled_early_.extract(id)) cancelled_elsewhere(id, early.mapped());
}

void Records::take_job(const std::string& id, job::JobRecord record) {
  job::JobRecord& kept = jobs_[id];
  const bool news = record.status == JobStatus::cancelled &&
                    (kept.status != JobStatus::cancelled || kept.version < record.version);
  // Told by a peer that doesn't know the revision, it goes by the one that the open record had.
  const bool of_known_revision = record.version > kept.version;
  if (news) needs_.cancelled(id, of_known_revision ? record.version : 0);
  // A record in parts is whole once they are all here; one written before keeps its spec.
  if (!record.spec && kept.spec && record.status != JobStatus::done) record.spec = kept.spec;
  kept = std::move(record);
  if (kept.final()) parts_.erase(id);
  if (!kept.final() && !kept.spec) return assemble(id);
  graph_.update(id, kept);
  needs_.job_seen(id, kept);
}

void Records::read_part(const wire::Row& row) {
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

void Records::assemble(const std::string& id) {
  auto j = jobs_.find(id);
  if (j == jobs_.end() || j->second.final() || j->second.spec || j->second.parts == 0) return;
  const auto& parts = parts_[id][j->second.parts_tag];
  if (parts.size() < j->second.parts) return;
  std::vector<std::string> texts;
  for (const auto& [n, text] : parts) texts.push_back(text);
  j->second.spec = job::spec_from_parts(texts);
  parts_.erase(id);
  graph_.update(id, j->second);
  needs_.job_seen(id, j->second);
}

/// Rows that a final job has left: nothing reads them any more, so these deletes need no guard.
void Records::delete_keys(std::vector<std::string> keys) {
  std::vector<wire::Write> writes;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    writes.push_back({std::move(keys[i]), nullptr, {}, true});
    if (writes.size() < needs_.store.max_txn_ops() && i + 1 < keys.size()) continue;
    needs_.store.commit({}, std::exchange(writes, {}), store::Urgency::background, [](int, std::uint64_t) {});
  }
}

/// The parts of a job that is over say nothing any more. If this fails they only lie there.
void Records::drop_parts(const std::string& id, const job::JobRecord& record) {
  std::vector<std::string> keys;
  for (std::uint32_t n = 0; n < record.parts; ++n)
    keys.push_back(kPart + id + "/" + record.parts_tag + "/" + std::to_string(n));
  delete_keys(std::move(keys));
}

void Records::follow_graph() {
  for (const auto& id : graph_.take_changed()) {
    auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.final()) continue;
    if (it->second.spec && spdlog::should_log(spdlog::level::debug)) {
      const auto c = graph_.course(id, it->second);
      spdlog::debug("stage {} ({}) {} {:.1f} s ago, rank {}, to finish in {:.1f} s", id,
                    it->second.spec->job_class, graph_.ready(id) ? "open since" : "waits, accepted",
                    to_seconds(needs_.loop.time_of_day() - c.ready), static_cast<int>(c.rank),
                    c.finish_by ? to_seconds(*c.finish_by - needs_.loop.time_of_day()) : 0.0);
    }
    needs_.job_seen(id, it->second);
  }
}

void Records::fresh_jobs(std::function<void(bool)> then) {
  want_fresh_.push_back(std::move(then));
  if (freshening_) return;
  freshening_ = true;
  // Those who ask within a moment share a read; at most so many reads a second, however many ask.
  needs_.loop.call_later(kGatherAsking, [this] { read_fresh(); });
}

void Records::read_fresh() {
  auto asked = std::make_shared<std::vector<std::function<void(bool)>>>(std::exchange(want_fresh_, {}));
  const std::uint64_t since = std::max(fresh_to_, needs_.store.watched_revision());
  const Micros sent = needs_.loop.now();
  needs_.store.changes(
      kJob, since, [this, asked, sent](bool ok, const std::vector<wire::Row>& rows, std::uint64_t revision) {
        if (ok) {
          for (const auto& r : rows) apply(r);
          fresh_to_ = std::max(fresh_to_, revision);
          fresh_as_of_ = sent;
          follow_graph();
        } else {
          fresh_to_ = 0;  // perhaps too old
        }
        for (const auto& f : *asked) f(ok);
        freshening_ = !want_fresh_.empty();
        if (freshening_) needs_.loop.call_later(kGatherAsking, [this] { read_fresh(); });
      });
}

/// A row on our lease that says which formats we read. The first version wrote none, so a node without one
/// gets only what that version reads.
void Records::announce(std::uint64_t lease) {
  auto it = readers_.find(platform_.name);
  if (announcing_ || (it != readers_.end() && it->second.first == lease)) return;
  announcing_ = true;
  needs_.store.commit({{kNode + platform_.name, it == readers_.end() ? 0 : it->second.second}},
                      {{kNode + platform_.name, {{"lease", lease}, {"reads", kReads}}, lease, false}},
                      store::Urgency::background, [this](int, std::uint64_t) {
                        needs_.loop.call_later(kSecond, [this] { announcing_ = false; });
                      });
}

/// Machine types that one value doesn't hold are spread over several; indices mean the same to all nodes, so
/// none are known until all are.
void Records::read_types(const wire::Row& row) {
  if (!types_.empty()) return;
  if (row.key == kTypes) {
    types_ = wire::machine_types_from_json(row.value);
    return;
  }
  type_parts_[std::stoul(row.key.substr(kTypes.size() + 1))] = wire::machine_types_from_json(row.value);
  if (type_parts_.size() < row.value.at("rows").get<std::size_t>()) return;
  for (const auto& [n, types] : type_parts_) types_.insert(types_.end(), types.begin(), types.end());
}

void Records::write_types(const std::vector<wire::MachineType>& types) {
  const auto rows = job::types_rows(types, platform_.value_size_limit());
  if (rows.size() == 1)
    return needs_.store.commit({{kTypes, 0}}, {{kTypes, rows[0], {}, false}}, store::Urgency::user,
                               [](int, std::uint64_t) {});
  for (std::size_t n = 0; n < rows.size(); ++n) {
    const std::string key = kTypes + "/" + std::to_string(n);
    needs_.store.commit({{key, 0}}, {{key, rows[n], {}, false}}, store::Urgency::user,
                        [](int, std::uint64_t) {});
  }
}

void Records::forget_machines(const std::vector<std::string>& ids) {
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  auto flush = [&] {
    if (!writes.empty())
      needs_.store.commit(std::move(guards), std::move(writes), store::Urgency::background,
                          [](int, std::uint64_t) {});
    guards.clear(), writes.clear();
  };
  for (const auto& id : ids) {
    auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    guards.push_back({kMachine + id, it->second.version});
    writes.push_back({kMachine + id, nullptr, {}, true});
    if (writes.size() >= std::min(kForgetAtOnce, needs_.store.max_txn_ops())) flush();
  }
  flush();
}

}  // namespace aspenwick::app
