// An owner's part in the state service: rows of finished tasks, read after a takeover and written as they
// come.
#include <algorithm>
#include <charconv>
#include <tuple>

#include "share/share_controller.h"

namespace aspenwick::share {

void ShareController::merge_row(Job& j, std::uint32_t row, const std::string& text) {
  if (row >= kUnitRows) {
    j.recorded.merge_unit(row - kUnitRows, text);
  } else {
    j.recorded.merge_chunk(row, text);
    j.recorded_whole.merge_chunk(row, text);
  }
}

void ShareController::load_done(const std::string& job, std::uint32_t row, const std::string& text,
                                std::uint64_t version) {
  auto it = view_.jobs.find(job);
  if (it == view_.jobs.end()) {
    // Its record may be on its way to us, or it waits for others by records that lag: the row is read only
    // now.
    const JobRecord* record = lookup_(job);
    if (!record || !record->final()) rows_before_jobs_[job][row] = {text, version};
    return;
  }
  Job& j = *it->second;
  if (row >= kUnitRows ? row - kUnitRows >= j.done.chunks() * DoneSet::kUnitsInChunk : row >= j.done.chunks())
    return;
  row >= kUnitRows ? j.done.merge_unit(row - kUnitRows, text) : j.done.merge_chunk(row, text);
  merge_row(j, row, text);
  j.row_versions[row] = version;
  gang_done(j);
}

/// Rows that hold up a machine come first: one that is about to be taken takes its results with it, one that
/// is empty is paid for until they are recorded. Then most unrecorded results first: in the order of names
/// some jobs would never have their turn.
std::vector<ShareController::DoneWrite> ShareController::done_writes(std::size_t most, Micros now) {
  std::vector<DoneWrite> out;
  if (most == 0) return out;
  std::vector<std::pair<Job*, Urgency*>> dirty;
  for (auto& [id, j] : view_.jobs)
    if (!j->cancelled && !j->finished && !j->committing && !j->done.all() && !j->dirty_units.empty())
      dirty.emplace_back(j.get(), nullptr);
  if (dirty.empty()) return out;
  auto urgency = urgent_results(now);
  for (auto& [j, urgent] : dirty) {
    urgent = &urgency[j->id];
    urgent->unrecorded = j->done.count() - j->recorded.count();
  }
  std::sort(dirty.begin(), dirty.end(), [](const auto& a, const auto& b) {
    const Urgency &x = *a.second, &y = *b.second;
    return std::tie(x.machines_taken, x.machines_waiting, x.unrecorded) >
           std::tie(y.machines_taken, y.machines_waiting, y.unrecorded);
  });
  for (const auto& [j, urgent] : dirty) {
    if (out.size() >= most) break;
    auto units = std::vector<std::uint32_t>(urgent->units.begin(), urgent->units.end());
    units.insert(units.end(), j->dirty_units.begin(), j->dirty_units.end());
    for (const std::uint32_t unit : units)
      if (out.size() < most && j->dirty_units.contains(unit)) write_row_of(*j, unit, out);
  }
  return out;
}

/// The row that holds the unit, unless a write of it is under way.
void ShareController::write_row_of(Job& j, std::uint32_t unit, std::vector<DoneWrite>& out) {
  // A whole chunk while its text fits a value, as all versions read it; after that unit by unit, and the
  // chunk's row stays as it is: shortened, it would lose what it alone holds.
  const std::uint32_t chunk = unit / DoneSet::kUnitsInChunk;
  std::string text = j.done.chunk_text(chunk);
  const bool whole = text.size() + 2 <= platform_.value_room();
  const std::uint32_t row = whole ? chunk : kUnitRows + unit;
  if (j.rows_in_flight.contains(row)) return;
  if (!whole) text = j.done.unit_text(unit);
  out.push_back({j.id, row, std::move(text), j.row_versions[row]});
  j.rows_in_flight.insert(row);
  const std::uint32_t first = whole ? chunk * DoneSet::kUnitsInChunk : unit;
  const std::uint32_t end = whole ? (chunk + 1) * DoneSet::kUnitsInChunk : unit + 1;
  j.dirty_units.erase(j.dirty_units.lower_bound(first), j.dirty_units.lower_bound(end));
}

bool ShareController::surely_recorded(const Job& j, std::uint32_t index) const {
  return j.recorded_whole.test(index) || (all_read_units_ && j.recorded.test(index));
}

std::string ShareController::row_name(std::uint32_t row) {
  std::string name = row >= kUnitRows ? "u/" : "";
  return name += std::to_string(row >= kUnitRows ? row - kUnitRows : row);
}

std::optional<std::pair<std::string, std::uint32_t>> ShareController::parse_row_name(
    const std::string& name) {
  auto slash = name.rfind('/');
  std::uint32_t n = 0;
  if (slash == std::string::npos) return {};
  const char* end = name.data() + name.size();
  if (auto [p, ec] = std::from_chars(name.data() + slash + 1, end, n);
      ec != std::errc{} || p != end || n >= kUnitRows)
    return {};
  if (!name.substr(0, slash).ends_with("/u")) return std::pair{name.substr(0, slash), n};
  return std::pair{name.substr(0, slash - 2), n + kUnitRows};
}

void ShareController::done_written(const DoneWrite& w, bool ok, std::uint64_t version) {
  auto it = view_.jobs.find(w.job);
  if (it == view_.jobs.end()) return;
  Job& j = *it->second;
  j.rows_in_flight.erase(w.row);
  j.row_versions[w.row] = version;
  if (ok) return merge_row(j, w.row, w.text);
  if (w.row >= kUnitRows) j.dirty_units.insert(w.row - kUnitRows);
  for (std::uint32_t u = 0; w.row < kUnitRows && u < DoneSet::kUnitsInChunk; ++u) {
    const std::uint32_t unit = w.row * DoneSet::kUnitsInChunk + u;
    if (j.done.unit_text(unit) != j.recorded.unit_text(unit)) j.dirty_units.insert(unit);
  }
}

std::vector<std::string> ShareController::complete_jobs() const {
  std::vector<std::string> out;
  for (const auto& [id, j] : view_.jobs)
    if (!j->cancelled && !j->finished && !j->committing && j->done.all() && j->rows_in_flight.empty())
      out.push_back(id);
  return out;
}

std::vector<std::string> ShareController::done_keys(const std::string& job) const {
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
