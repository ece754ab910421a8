// ShareController: the share's progress rows in the state service, which list finished tasks. They are read
// after a takeover and written as tasks finish.
#include <algorithm>
#include <charconv>
#include <tuple>

#include "share/share_controller.h"

namespace aspenwick::share {

void ShareController::merge_recorded_row(Job& j, std::uint32_t row, const std::string& text) {
  if (row >= kFirstUnitRow) {
    j.recorded.merge_unit(row - kFirstUnitRow, text);
  } else {
    j.recorded.merge_chunk(row, text);
    j.recorded_in_chunks.merge_chunk(row, text);
  }
}

void ShareController::load_progress_row(const std::string& job, std::uint32_t row, const std::string& text,
                                        std::uint64_t version) {
  auto it = view_.jobs.find(job);
  if (it == view_.jobs.end()) {
    // The job's record may not have arrived yet, or the job seems to have open dependencies because the
    // known records are out of date. The row is kept because it is not read again.
    const JobRecord* record = lookup_job_(job);
    if (!record || !record->final()) rows_of_unplanned_jobs_[job][row] = {text, version};
    return;
  }
  Job& j = *it->second;
  if (row >= kFirstUnitRow ? row - kFirstUnitRow >= j.done.chunks() * DoneSet::kUnitsPerChunk
                           : row >= j.done.chunks())
    return;
  row >= kFirstUnitRow ? j.done.merge_unit(row - kFirstUnitRow, text) : j.done.merge_chunk(row, text);
  merge_recorded_row(j, row, text);
  j.row_versions[row] = version;
  complete_gang(j);
}

/// Rows that keep a machine from leaving come first. When the cloud takes back a machine, its unrecorded
/// results are lost with it; an empty machine has to be paid for until its results are recorded. After that,
/// jobs with the most unrecorded results come first; in the order of their names, some jobs would never get a
/// turn.
std::vector<ShareController::ProgressWrite> ShareController::take_progress_writes(std::size_t max_writes,
                                                                                  Micros now) {
  std::vector<ProgressWrite> out;
  if (max_writes == 0) return out;
  std::vector<std::pair<Job*, WriteUrgency*>> dirty;
  for (auto& [id, j] : view_.jobs)
    if (!j->cancelled && !j->finished && !j->committing && !j->done.all() && !j->dirty_units.empty())
      dirty.emplace_back(j.get(), nullptr);
  if (dirty.empty()) return out;
  auto urgency = write_urgency_by_job(now);
  for (auto& [j, urgent] : dirty) {
    urgent = &urgency[j->id];
    urgent->unrecorded_results = j->done.count() - j->recorded.count();
  }
  std::sort(dirty.begin(), dirty.end(), [](const auto& a, const auto& b) {
    const WriteUrgency &x = *a.second, &y = *b.second;
    return std::tie(x.machines_being_reclaimed, x.machines_to_release, x.unrecorded_results) >
           std::tie(y.machines_being_reclaimed, y.machines_to_release, y.unrecorded_results);
  });
  for (const auto& [j, urgent] : dirty) {
    if (out.size() >= max_writes) break;
    auto units = std::vector<std::uint32_t>(urgent->units.begin(), urgent->units.end());
    units.insert(units.end(), j->dirty_units.begin(), j->dirty_units.end());
    for (const std::uint32_t unit : units)
      if (out.size() < max_writes && j->dirty_units.contains(unit)) append_row_write(*j, unit, out);
  }
  return out;
}

/// Appends a write of the row that holds the unit, unless a write of that row is in flight.
void ShareController::append_row_write(Job& j, std::uint32_t unit, std::vector<ProgressWrite>& out) {
  // A whole chunk is written as long as its text fits into one value, because all versions read chunk rows.
  // After that, each unit gets its own row and the chunk's row is left as it is: shortening it would lose the
  // results that only it records.
  const std::uint32_t chunk = unit / DoneSet::kUnitsPerChunk;
  std::string text = j.done.chunk_text(chunk);
  const bool as_chunk = text.size() + 2 <= platform_.value_size_limit();
  const std::uint32_t row = as_chunk ? chunk : kFirstUnitRow + unit;
  if (j.rows_in_flight.contains(row)) return;
  if (!as_chunk) text = j.done.unit_text(unit);
  out.push_back({j.id, row, std::move(text), j.row_versions[row]});
  j.rows_in_flight.insert(row);
  const std::uint32_t first = as_chunk ? chunk * DoneSet::kUnitsPerChunk : unit;
  const std::uint32_t end = as_chunk ? (chunk + 1) * DoneSet::kUnitsPerChunk : unit + 1;
  j.dirty_units.erase(j.dirty_units.lower_bound(first), j.dirty_units.lower_bound(end));
}

/// Returns whether every controller that may take over the share would read that the task is done.
bool ShareController::durably_recorded(const Job& j, std::uint32_t index) const {
  return j.recorded_in_chunks.test(index) || (all_controllers_read_units_ && j.recorded.test(index));
}

std::string ShareController::row_name(std::uint32_t row) {
  std::string name = row >= kFirstUnitRow ? "u/" : "";
  return name += std::to_string(row >= kFirstUnitRow ? row - kFirstUnitRow : row);
}

std::optional<std::pair<std::string, std::uint32_t>> ShareController::parse_row_name(
    const std::string& name) {
  auto slash = name.rfind('/');
  std::uint32_t n = 0;
  if (slash == std::string::npos) return {};
  const char* end = name.data() + name.size();
  if (auto [p, ec] = std::from_chars(name.data() + slash + 1, end, n);
      ec != std::errc{} || p != end || n >= kFirstUnitRow)
    return {};
  if (!name.substr(0, slash).ends_with("/u")) return std::pair{name.substr(0, slash), n};
  return std::pair{name.substr(0, slash - 2), n + kFirstUnitRow};
}

void ShareController::on_progress_write_result(const ProgressWrite& w, bool ok, std::uint64_t version) {
  auto it = view_.jobs.find(w.job);
  if (it == view_.jobs.end()) return;
  Job& j = *it->second;
  j.rows_in_flight.erase(w.row);
  j.row_versions[w.row] = version;
  if (ok) return merge_recorded_row(j, w.row, w.text);
  if (w.row >= kFirstUnitRow) j.dirty_units.insert(w.row - kFirstUnitRow);
  for (std::uint32_t u = 0; w.row < kFirstUnitRow && u < DoneSet::kUnitsPerChunk; ++u) {
    const std::uint32_t unit = w.row * DoneSet::kUnitsPerChunk + u;
    if (j.done.unit_text(unit) != j.recorded.unit_text(unit)) j.dirty_units.insert(unit);
  }
}

std::vector<std::string> ShareController::jobs_to_commit() const {
  std::vector<std::string> out;
  for (const auto& [id, j] : view_.jobs)
    if (!j->cancelled && !j->finished && !j->committing && j->done.all() && j->rows_in_flight.empty())
      out.push_back(id);
  return out;
}

std::vector<std::string> ShareController::progress_row_names(const std::string& job) const {
  std::vector<std::string> out;
  auto it = view_.jobs.find(job);
  if (it == view_.jobs.end()) return out;
  for (const auto& [row, version] : it->second->row_versions)
    if (version != 0) out.push_back(job + "/" + row_name(row));
  return out;
}

void ShareController::set_committing(const std::string& job, bool on) {
  if (auto it = view_.jobs.find(job); it != view_.jobs.end()) it->second->committing = on;
}

}  // namespace aspenwick::share
