// What is kept of jobs: one guarded record each, and compact sets of finished tasks.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/settings.h"
#include "wire/wire.h"

namespace aspenwick::job {

using wire::JobSpec;
using wire::JobStatus;

/// A job as the state service holds it. Done ones keep only the status; cancelled ones the spec as well,
/// since their tasks count against the team's limit until they are gone.
struct JobRecord {
  std::shared_ptr<const JobSpec> spec;
  JobStatus status = JobStatus::queued;  // queued, done or cancelled
  Micros submitted = 0;                  // time of day
  Micros finished = 0;                   // time of day; 0: not done, or recorded by a version that kept none
  std::uint64_t version = 0;
  std::string parts_tag;  // the spec's text is in rows of its own: `parts` of them under this tag
  std::uint32_t parts = 0;

  bool final() const { return status != JobStatus::queued; }
};
wire::Json record_to_json(const JobRecord& r);
JobRecord record_from_json(const wire::Json& j,
                           std::uint64_t version);  // throws Malformed or Json::exception

/// The record's value, which fits `limit` bytes, and the rows that hold the spec's text where it doesn't.
struct RecordRows {
  wire::Json value;
  std::vector<std::string> parts;
};
RecordRows record_to_rows(const JobRecord& r, std::size_t limit, const std::string& tag);
std::shared_ptr<const JobSpec> spec_from_parts(const std::vector<std::string>& parts);  // throws as above
/// A cancelled job's value: of the spec only what stopping its tasks and its team's limit need, within
/// `limit`.
wire::Json cancelled_record_json(const JobRecord& r, std::size_t limit);
/// Machine types as one value (`s/types`), or as several that say how many they are.
std::vector<wire::Json> types_to_rows(const std::vector<wire::MachineType>& types, std::size_t limit);
/// Keeps of the allowed machine types those that exist and hold a task: others change nothing and may be
/// many.
void keep_usable_types(JobSpec& spec, const std::vector<wire::MachineType>& types);

/// Which tasks of a job are done, written in chunks small enough for one value.
class DoneSet {
 public:
  static constexpr std::uint32_t kChunkTasks = 16'384;  // 4 KiB of text
  static constexpr std::uint32_t kUnitTasks = 2'048;    // 512 bytes: for a value that holds no whole chunk
  static constexpr std::uint32_t kUnitsPerChunk = kChunkTasks / kUnitTasks;

  explicit DoneSet(std::uint32_t tasks = 0) : bits_(tasks) {}
  bool test(std::uint32_t i) const { return i < bits_.size() && bits_[i]; }
  bool set(std::uint32_t i);  // true if new
  std::uint32_t count() const { return count_; }
  bool all() const { return count_ == bits_.size(); }
  std::uint32_t chunks() const {
    return (static_cast<std::uint32_t>(bits_.size()) + kChunkTasks - 1) / kChunkTasks;
  }
  std::string chunk_text(std::uint32_t chunk) const {
    return text(std::size_t{chunk} * kChunkTasks, kChunkTasks);
  }
  std::string unit_text(std::uint32_t unit) const { return text(std::size_t{unit} * kUnitTasks, kUnitTasks); }
  void merge_chunk(std::uint32_t chunk, const std::string& text) { merge(chunk, kChunkTasks, text); }
  void merge_unit(std::uint32_t unit, const std::string& text) { merge(unit, kUnitTasks, text); }

 private:
  std::string text(std::size_t first, std::size_t tasks) const;
  void merge(std::uint32_t row, std::uint32_t tasks, const std::string& text);

  std::vector<bool> bits_;
  std::uint32_t count_ = 0;
};

/// Why a job can never run, or empty. Machine types must be known.
std::string unschedulable_reason(const JobSpec& spec, const std::vector<wire::MachineType>& types,
                                 const std::vector<wire::Team>& teams);

bool type_allowed(const JobSpec& spec, const wire::MachineType& type);

}  // namespace aspenwick::job
