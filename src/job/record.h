// How jobs are stored in the state service: one record per job, written with a version guard, and compact
// sets of finished tasks.
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

/// A job as the state service holds it. Records of done jobs keep only the status. Cancelled ones also keep
/// the spec, since their tasks count against the team's limit until they are gone.
struct JobRecord {
  std::shared_ptr<const JobSpec> spec;
  JobStatus status = JobStatus::queued;  // queued, done or cancelled
  Micros submitted = 0;                  // time of day
  Micros finished = 0;  // time of day; 0: not done, or recorded by a version that kept no time
  std::uint64_t version = 0;
  std::string parts_tag;  // if the spec's text is in rows of its own: `parts` of them under this tag
  std::uint32_t parts = 0;

  bool final() const { return status != JobStatus::queued; }
};
wire::Json record_to_json(const JobRecord& r);
JobRecord record_from_json(const wire::Json& j,
                           std::uint64_t version);  // throws Malformed or Json::exception

/// A record's value, and the values of the rows that hold the spec's text if it does not fit there.
struct RecordRows {
  wire::Json value;
  std::vector<std::string> parts;
};
/// Splits a record into values of at most `limit` bytes each. `tag` names the spec's rows, if there are any.
RecordRows record_to_rows(const JobRecord& r, std::size_t limit, const std::string& tag);
std::shared_ptr<const JobSpec> spec_from_parts(
    const std::vector<std::string>& parts);  // throws Malformed or Json::exception
/// The value of a job's record once it is cancelled, of at most `limit` bytes. Keeps of the spec what is
/// needed to stop the tasks and to count them against the team's limit.
wire::Json cancelled_record_json(const JobRecord& r, std::size_t limit);
/// Machine types as one value of at most `limit` bytes (`s/types`), or as several that each give their
/// number.
std::vector<wire::Json> types_to_rows(const std::vector<wire::MachineType>& types, std::size_t limit);
/// Drops allowed machine types that do not exist or cannot hold a task. They have no effect, and a submission
/// may name many of them.
void keep_usable_types(JobSpec& spec, const std::vector<wire::MachineType>& types);

/// The set of a job's finished tasks, stored in rows small enough for one value each: chunks, or units where
/// the value limit is too small for a chunk. A row's text is hexadecimal, 4 tasks a digit, without trailing
/// zeros.
class DoneSet {
 public:
  static constexpr std::uint32_t kChunkTasks = 16'384;  // 4 KiB of text at most
  static constexpr std::uint32_t kUnitTasks = 2'048;    // 512 bytes at most
  static constexpr std::uint32_t kUnitsPerChunk = kChunkTasks / kUnitTasks;

  explicit DoneSet(std::uint32_t tasks = 0) : bits_(tasks) {}
  bool test(std::uint32_t i) const { return i < bits_.size() && bits_[i]; }
  bool set(std::uint32_t i);  // true if it was not in the set yet
  std::uint32_t count() const { return count_; }
  bool all() const { return count_ == bits_.size(); }
  std::uint32_t chunks() const {
    return (static_cast<std::uint32_t>(bits_.size()) + kChunkTasks - 1) / kChunkTasks;
  }
  std::string chunk_text(std::uint32_t chunk) const {
    return text(std::size_t{chunk} * kChunkTasks, kChunkTasks);
  }
  std::string unit_text(std::uint32_t unit) const { return text(std::size_t{unit} * kUnitTasks, kUnitTasks); }
  /// Adds a stored row's tasks. Digits beyond the row or the job are ignored.
  void merge_chunk(std::uint32_t chunk, const std::string& text) { merge(chunk, kChunkTasks, text); }
  void merge_unit(std::uint32_t unit, const std::string& text) { merge(unit, kUnitTasks, text); }

 private:
  std::string text(std::size_t first, std::size_t tasks) const;
  void merge(std::uint32_t row, std::uint32_t tasks, const std::string& text);

  std::vector<bool> bits_;
  std::uint32_t count_ = 0;
};

/// Why a job can never run, fit to be shown to its user; empty if it can. `types` must be known, not empty.
std::string unschedulable_reason(const JobSpec& spec, const std::vector<wire::MachineType>& types,
                                 const std::vector<wire::Team>& teams);

/// The job may use the machine type, which can hold a task of it and is offered in the job's zone, if it has
/// one.
bool type_allowed(const JobSpec& spec, const wire::MachineType& type);

}  // namespace aspenwick::job
