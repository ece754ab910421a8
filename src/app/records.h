// A node's copy of the records in the state service: jobs (complete once all their parts were read), the
// dependency graph of the jobs, machines, machine types, and the row formats that each node reads.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "job/graph.h"
#include "job/record.h"
#include "net/loop.h"
#include "share/peer_frame.h"
#include "store/client.h"

namespace aspenwick::app {

/// Keeps the records current from the watch, fresh reads, peers and this node's own commits.
class Records {
 public:
  struct Dependencies {
    net::Loop& loop;
    store::Client& store;
    /// Called for each job record whenever the record, or what the job waits for, has changed.
    std::function<void(const std::string& id, const job::JobRecord& record)> job_updated;
    /// Called for each job that is known to be cancelled, before this node can tell any user so; called again
    /// when the revision of its record arrives, if that was still unknown (0).
    std::function<void(const std::string& id, std::uint64_t revision)> job_cancelled;
  };
  Records(const wire::PlatformSettings& platform, Dependencies dependencies);

  // ---- current records
  /// All keys have been read at least once since the process started.
  bool synced() const { return synced_; }
  /// Returns nullptr if the job is not known here; another node may have accepted it all the same.
  const job::JobRecord* job(const std::string& id) const;
  /// Like job(), but returns an empty record that is not final for a job whose row could not be read: such a
  /// job does exist.
  const job::JobRecord* job_or_unreadable(const std::string& id) const;
  const std::unordered_map<std::string, job::JobRecord>& jobs() const { return jobs_; }
  const job::DependencyGraph& graph() const { return graph_; }
  const std::map<std::string, share::MachineRecord>& machines() const { return machines_; }
  const share::MachineRecord* machine(const std::string& id) const;
  /// Empty until all machine types are known; constant from then on, indices included.
  const std::vector<wire::MachineType>& types() const { return types_; }
  /// Every node of the deployment has announced that it reads unit rows.
  bool all_nodes_read_units() const;
  /// Machines whose records were added, changed or removed since the last call.
  std::set<std::string> take_changed_machines() { return std::exchange(changed_machines_, {}); }

  // ---- from the watch
  /// Applies a row of the watch. Returns false if the key does not belong to this class. A row that cannot be
  /// read is logged and skipped.
  bool apply(const wire::Row& row);
  /// Keys that were known as of revision `as_of` and are not in `seen`, so that they have been removed. Only
  /// of records that are ever removed.
  std::vector<std::string> missing_keys(const std::set<std::string>& seen, std::uint64_t as_of) const;
  /// Called once all rows of a full read were applied.
  void mark_synced() { synced_ = true; }

  // ---- changes outside the watch
  /// Every job record passes through here, whether read, reported or committed, into memory, the graph and
  /// the `job_updated` callback. Records arrive in any order: by the watch, by fresh reads, from peers and in
  /// the answers to our own commits. One rule applies to all: a final state stays as it is; otherwise the
  /// higher revision wins.
  void update_job(const std::string& id, job::JobRecord record);
  /// A peer reported that the job is cancelled, by a record of this revision (0: not known), ahead of the
  /// watch.
  void apply_peer_cancellation(const std::string& id, std::uint64_t revision);
  /// Adds a machine whose record this node has committed, unless the watch has reported it already.
  void add_machine(const share::MachineRecord& machine);
  /// Calls `job_updated` for jobs that became ready and for jobs whose rank or deadline changed through their
  /// dependents.
  void publish_graph_changes();
  /// Recomputes the latest finish times; publish_graph_changes() passes the changes on.
  void recompute_finish_times() { graph_.recompute_finish_times(); }

  // ---- reads and writes in the state service
  /// Deletes rows that nothing reads any more; not retried.
  void delete_keys(std::vector<std::string> keys);
  /// Deletes the rows that hold the parts of the job's spec; not retried.
  void delete_parts(const std::string& id, const job::JobRecord& record);
  /// Calls `then` once all job records are as fresh as a read started after this call; with false if the read
  /// failed. Concurrent calls share a read.
  void refresh_jobs(std::function<void(bool)> then);
  /// The revision up to which all job records are known; 0 before the first full read.
  std::uint64_t read_revision() const {
    return synced_ ? std::max(deps_.store.watched_revision(), refreshed_revision_) : 0;
  }
  /// Time as of which all job records are known, at least.
  Micros records_as_of() const { return std::max(deps_.store.watched_as_of(), refreshed_as_of_); }
  /// Writes a row on `lease`, the lease of this node, that states which formats it reads.
  void announce_formats(std::uint64_t lease);
  /// Records the machine types, in as many rows as they need, unless they are recorded already.
  void write_types(const std::vector<wire::MachineType>& types);
  /// Deletes the records of machines that the cloud has deleted.
  void delete_machines(const std::vector<std::string>& ids);

 private:
  void read_row(const wire::Row& row);
  void store_job(const std::string& id, job::JobRecord record);
  void send_refresh();
  void read_part(const wire::Row& row);
  void read_types(const wire::Row& row);
  void assemble_spec(const std::string& id);

  const wire::PlatformSettings& platform_;
  Dependencies deps_;
  bool synced_ = false;
  std::unordered_map<std::string, job::JobRecord> jobs_;
  std::set<std::string> unreadable_jobs_;
  job::DependencyGraph graph_;
  std::unordered_map<std::string, std::map<std::string, std::map<std::uint32_t, std::string>>> parts_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
      format_rows_;  // node -> lease, version of the row
  std::map<std::string, share::MachineRecord> machines_;
  std::set<std::string> changed_machines_;
  std::vector<wire::MachineType> types_;
  std::map<std::size_t, std::vector<wire::MachineType>> partial_types_;
  std::vector<std::function<void(bool)>> refresh_callbacks_;
  std::uint64_t refreshed_revision_ = 0;  // revision of the last fresh read of the jobs
  std::unordered_map<std::string, std::uint64_t>
      early_cancellations_;     // job -> revision, until its record arrives
  Micros refreshed_as_of_ = 0;  // time at which that read was sent
  bool refreshing_ = false, announcing_ = false;
};

}  // namespace aspenwick::app
