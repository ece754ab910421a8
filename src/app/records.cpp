#include "app/records.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"

namespace aspenwick::app {

using wire::JobStatus;

namespace {
constexpr int kFormatVersion = 3;  // 3: unit rows, specs in parts, machine types in several rows
constexpr std::size_t kMaxDeletesPerCommit = 4;
constexpr Micros kRefreshBatchDelay = 15 * kMillisecond;
}  // namespace

Records::Records(const wire::PlatformSettings& platform, Dependencies dependencies)
    : platform_(platform),
      deps_(std::move(dependencies)),
      graph_([this](const std::string& id) { return job(id); }) {}

const job::JobRecord* Records::job(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const job::JobRecord* Records::job_or_unreadable(const std::string& id) const {
  static const job::JobRecord unreadable;
  const auto* known = job(id);
  return known || !unreadable_jobs_.contains(id) ? known : &unreadable;
}

const share::MachineRecord* Records::machine(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

bool Records::all_nodes_read_units() const {
  return std::all_of(platform_.siblings.begin(), platform_.siblings.end(),
                     [&](const auto& n) { return format_rows_.contains(n.name); });
}

bool Records::apply(const wire::Row& row) {
  const std::string& key = row.key;
  if (!key.starts_with(kJobPrefix) && !key.starts_with(kPartPrefix) && !key.starts_with(kNodePrefix) &&
      !key.starts_with(kMachinePrefix) && !key.starts_with(kTypesKey))
    return false;
  try {
    read_row(row);
  } catch (const std::exception& e) {
    spdlog::error("cannot read state service row {}: {}", key, e.what());
    if (key.starts_with(kJobPrefix)) unreadable_jobs_.insert(key.substr(kJobPrefix.size()));
  }
  return true;
}

void Records::read_row(const wire::Row& row) {
  const std::string& key = row.key;
  if (key.starts_with(kJobPrefix)) {
    const std::string id = key.substr(kJobPrefix.size());
    if (row.removed) return;
    update_job(id, job::record_from_json(row.value, row.version));
    unreadable_jobs_.erase(id);
  } else if (key.starts_with(kPartPrefix)) {
    read_part(row);
  } else if (key.starts_with(kNodePrefix)) {
    const std::string node = key.substr(kNodePrefix.size());
    if (row.removed)
      format_rows_.erase(node);
    else
      format_rows_[node] = {row.value.at("lease").get<std::uint64_t>(), row.version};
  } else if (key.starts_with(kMachinePrefix)) {
    const std::string id = key.substr(kMachinePrefix.size());
    changed_machines_.insert(id);
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

std::vector<std::string> Records::missing_keys(const std::set<std::string>& seen, std::uint64_t as_of) const {
  std::vector<std::string> out;
  for (const auto& [id, m] : machines_)
    if (m.version <= as_of && !seen.contains(kMachinePrefix + id)) out.push_back(kMachinePrefix + id);
  return out;
}

void Records::add_machine(const share::MachineRecord& machine) {
  if (!machines_.emplace(machine.id, machine).second) return;
  changed_machines_.insert(machine.id);
}

void Records::apply_peer_cancellation(const std::string& id, std::uint64_t revision) {
  const auto* known = job(id);
  if (!known) {
    // The watch may deliver the record first and an outage delay its cancellation, although we acknowledged
    // it to the peer. So the cancellation is kept until the record arrives.
    early_cancellations_[id] = revision;
    return;
  }
  if (known->final()) return;
  job::JobRecord record = *known;
  record.status = JobStatus::cancelled;
  record.version = std::max(record.version, revision);
  update_job(id, std::move(record));
}

void Records::update_job(const std::string& id, job::JobRecord record) {
  if (const auto* known = job(id)) {
    if (known->final() && record.status != known->status) return;
    const bool adds_spec = known->version == record.version && !known->spec && record.spec;
    if (known->version >= record.version && !adds_spec) {
      // A cancellation that a peer reported ahead of its record may have no known revision.
      if (known->final() || !record.final()) return;
      record.version = known->version;
    }
  }
  store_job(id, std::move(record));
  if (const auto early = early_cancellations_.extract(id)) apply_peer_cancellation(id, early.mapped());
}

void Records::store_job(const std::string& id, job::JobRecord record) {
  job::JobRecord& stored = jobs_[id];
  const bool newly_cancelled = record.status == JobStatus::cancelled &&
                               (stored.status != JobStatus::cancelled || stored.version < record.version);
  // A cancellation from a peer that does not know its revision carries the revision of the record before it.
  const bool of_known_revision = record.version > stored.version;
  if (newly_cancelled) deps_.job_cancelled(id, of_known_revision ? record.version : 0);
  // A record in parts is complete once all of them are here; an update of a record that had its spec keeps
  // it.
  if (!record.spec && stored.spec && record.status != JobStatus::done) record.spec = stored.spec;
  stored = std::move(record);
  if (stored.final()) parts_.erase(id);
  if (!stored.final() && !stored.spec) return assemble_spec(id);
  graph_.update(id, stored);
  deps_.job_updated(id, stored);
}

void Records::read_part(const wire::Row& row) {
  const std::string name = row.key.substr(kPartPrefix.size());
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
  assemble_spec(id);
}

void Records::assemble_spec(const std::string& id) {
  auto j = jobs_.find(id);
  if (j == jobs_.end() || j->second.final() || j->second.spec || j->second.parts == 0) return;
  const auto& parts = parts_[id][j->second.parts_tag];
  if (parts.size() < j->second.parts) return;
  std::vector<std::string> texts;
  for (const auto& [n, text] : parts) texts.push_back(text);
  j->second.spec = job::spec_from_parts(texts);
  parts_.erase(id);
  graph_.update(id, j->second);
  deps_.job_updated(id, j->second);
}

/// The rows belong to a final job and nothing reads them any more, so these deletes need no guard.
void Records::delete_keys(std::vector<std::string> keys) {
  std::vector<wire::Write> writes;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    writes.push_back({std::move(keys[i]), nullptr, {}, true});
    if (writes.size() < deps_.store.max_txn_ops() && i + 1 < keys.size()) continue;
    deps_.store.commit({}, std::exchange(writes, {}), store::Urgency::background, [](int, std::uint64_t) {});
  }
}

/// The parts of a final job are not read any more. If deleting fails, they only take up space.
void Records::delete_parts(const std::string& id, const job::JobRecord& record) {
  std::vector<std::string> keys;
  for (std::uint32_t n = 0; n < record.parts; ++n)
    keys.push_back(kPartPrefix + id + "/" + record.parts_tag + "/" + std::to_string(n));
  delete_keys(std::move(keys));
}

void Records::publish_graph_changes() {
  for (const auto& id : graph_.take_changed()) {
    auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.final()) continue;
    if (it->second.spec && spdlog::should_log(spdlog::level::debug)) {
      const auto c = graph_.scheduling_goals(id, it->second);
      spdlog::debug("job {} ({}) {} {:.1f} s ago, rank {}, to finish in {:.1f} s", id,
                    it->second.spec->job_class, graph_.is_ready(id) ? "became ready" : "is waiting, accepted",
                    to_seconds(deps_.loop.time_of_day() - c.ready), static_cast<int>(c.rank),
                    c.finish_by ? to_seconds(*c.finish_by - deps_.loop.time_of_day()) : 0.0);
    }
    deps_.job_updated(id, it->second);
  }
}

void Records::refresh_jobs(std::function<void(bool)> then) {
  refresh_callbacks_.push_back(std::move(then));
  if (refreshing_) return;
  refreshing_ = true;
  // Requests within this delay share a read, which bounds the number of reads a second.
  deps_.loop.call_later(kRefreshBatchDelay, [this] { send_refresh(); });
}

void Records::send_refresh() {
  auto callbacks =
      std::make_shared<std::vector<std::function<void(bool)>>>(std::exchange(refresh_callbacks_, {}));
  const std::uint64_t since = std::max(refreshed_revision_, deps_.store.watched_revision());
  const Micros sent = deps_.loop.now();
  deps_.store.changes(
      kJobPrefix, since,
      [this, callbacks, sent](bool ok, const std::vector<wire::Row>& rows, std::uint64_t revision) {
        if (ok) {
          for (const auto& r : rows) apply(r);
          refreshed_revision_ = std::max(refreshed_revision_, revision);
          refreshed_as_of_ = sent;
          publish_graph_changes();
        } else {
          refreshed_revision_ = 0;  // may be too old: the next read starts from the watch
        }
        for (const auto& f : *callbacks) f(ok);
        refreshing_ = !refresh_callbacks_.empty();
        if (refreshing_) deps_.loop.call_later(kRefreshBatchDelay, [this] { send_refresh(); });
      });
}

/// The first version wrote no such row, so a node without one is sent only the formats which that version
/// reads.
void Records::announce_formats(std::uint64_t lease) {
  auto it = format_rows_.find(platform_.name);
  if (announcing_ || (it != format_rows_.end() && it->second.first == lease)) return;
  announcing_ = true;
  deps_.store.commit(
      {{kNodePrefix + platform_.name, it == format_rows_.end() ? 0 : it->second.second}},
      {{kNodePrefix + platform_.name, {{"lease", lease}, {"reads", kFormatVersion}}, lease, false}},
      store::Urgency::background,
      [this](int, std::uint64_t) { deps_.loop.call_later(kSecond, [this] { announcing_ = false; }); });
}

/// Machine types that do not fit into one value are spread over several rows. Indices must mean the same to
/// all nodes, so no type is known until all are.
void Records::read_types(const wire::Row& row) {
  if (!types_.empty()) return;
  if (row.key == kTypesKey) {
    types_ = wire::machine_types_from_json(row.value);
    return;
  }
  partial_types_[std::stoul(row.key.substr(kTypesKey.size() + 1))] = wire::machine_types_from_json(row.value);
  if (partial_types_.size() < row.value.at("rows").get<std::size_t>()) return;
  for (const auto& [n, types] : partial_types_) types_.insert(types_.end(), types.begin(), types.end());
}

void Records::write_types(const std::vector<wire::MachineType>& types) {
  const auto rows = job::types_to_rows(types, platform_.value_size_limit());
  if (rows.size() == 1)
    return deps_.store.commit({{kTypesKey, 0}}, {{kTypesKey, rows[0], {}, false}}, store::Urgency::user,
                              [](int, std::uint64_t) {});
  for (std::size_t n = 0; n < rows.size(); ++n) {
    const std::string key = kTypesKey + "/" + std::to_string(n);
    deps_.store.commit({{key, 0}}, {{key, rows[n], {}, false}}, store::Urgency::user,
                       [](int, std::uint64_t) {});
  }
}

void Records::delete_machines(const std::vector<std::string>& ids) {
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  auto flush = [&] {
    if (!writes.empty())
      deps_.store.commit(std::move(guards), std::move(writes), store::Urgency::background,
                         [](int, std::uint64_t) {});
    guards.clear(), writes.clear();
  };
  for (const auto& id : ids) {
    auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    guards.push_back({kMachinePrefix + id, it->second.version});
    writes.push_back({kMachinePrefix + id, nullptr, {}, true});
    if (writes.size() >= std::min(kMaxDeletesPerCommit, deps_.store.max_txn_ops())) flush();
  }
  flush();
}

}  // namespace aspenwick::app
