#include "app/result_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"

namespace aspenwick::app {

using wire::JobStatus;

namespace {
constexpr double kProgressRateFraction =
    0.3;  // of the writes a second that the state service allows, for all shares together
constexpr double kMoveRateFraction = 0.25;  // the same, for the moves of one node
constexpr std::size_t kMaxProgressRowsPerCommit = 4;
constexpr std::size_t kCancelBatch = 8;
constexpr Micros kFinishRetryDelay = 300 * kMillisecond;
constexpr Micros kMoveRetryDelay = 100 * kMillisecond;
constexpr Micros kUnknownOutcomeRetryDelay = kSecond;
constexpr Micros kChunkReadInterval = 2 * kSecond;

std::string progress_key(int share, const std::string& job, std::uint32_t row) {
  return kProgressPrefix + std::to_string(share) + "/" + job + "/" + share::ShareController::row_name(row);
}

std::string owner_key(int share) { return kOwnerPrefix + std::to_string(share); }
}  // namespace

void ResultWriter::tick() {
  commit_finished_jobs();
  cancel_dependents();
  const bool all_nodes_read_units = deps_.records.all_nodes_read_units();
  for (auto& [share, owned] : deps_.owned_shares.all())
    owned.controller->set_all_controllers_read_units(all_nodes_read_units);
  write_progress();
  read_chunks_of_other_shares();
}

/// Progress rows are written at a limited rate that leaves most writes to users and machines; until they are
/// written, the workers keep the results. A finished job needs none: its record says that all tasks are done.
void ResultWriter::write_progress() {
  const Micros now = deps_.loop.now();
  const auto shares = static_cast<double>(deps_.owned_shares.ownership().share_count());
  const double rate = platform_.state_write_rps * kProgressRateFraction / shares *
                      static_cast<double>(deps_.owned_shares.all().size());
  progress_budget_ =
      std::min(std::max(2.0, 2 * rate), progress_budget_ + to_seconds(now - last_progress_write_) * rate);
  last_progress_write_ = now;
  if (progress_budget_ < 1 || !deps_.store.has_spare_writes()) return;
  for (auto& [share, owned] : deps_.owned_shares.all()) {
    if (!deps_.owned_shares.may_commit(owned)) continue;
    const auto max_rows = static_cast<std::size_t>(std::max(0.0, progress_budget_));
    const auto writes = owned.controller->take_progress_writes(
        std::min({deps_.store.max_txn_ops(), kMaxProgressRowsPerCommit, max_rows}), now);
    progress_budget_ -= static_cast<double>(writes.size());
    if (writes.empty()) continue;
    std::vector<wire::Guard> guards{{owner_key(share), owned.key_version}};
    std::vector<wire::Write> puts;
    for (const auto& write : writes) {
      guards.push_back({progress_key(share, write.job, write.row), write.version});
      puts.push_back({progress_key(share, write.job, write.row), write.text, {}, false});
    }
    deps_.store.commit(
        std::move(guards), std::move(puts), store::Urgency::background,
        [this, share = share, generation = owned.generation, writes](int code, std::uint64_t revision) {
          for (const auto& write : writes) {
            OwnedShares::OwnedShare* current = deps_.owned_shares.find(share, generation);
            if (!current) return;
            if (code == 200)
              current->controller->on_progress_write_result(write, true, revision);
            else
              reread_progress_version(share, generation, write);
          }
        });
  }
}

/// A machine that joined with results of another share's job, as owners of earlier versions handed it over,
/// is not released until the owner of that share has recorded them. The progress rows are read here one after
/// the other; the end of the job settles it as well.
void ResultWriter::read_chunks_of_other_shares() {
  const Micros now = deps_.loop.now();
  if (now - last_chunk_read_at_ < kChunkReadInterval) return;
  last_chunk_read_at_ = now;
  for (auto& [share, owned] : deps_.owned_shares.all()) {
    const auto chunks = owned.controller->needed_chunks_of_other_shares();
    if (chunks.empty()) continue;
    auto next = chunks.upper_bound(last_chunk_read_);
    if (next == chunks.end()) next = chunks.begin();
    last_chunk_read_ = *next;
    const auto& [job, chunk] = *next;
    const auto* record = deps_.records.job(job);
    if (!record || !record->spec) continue;
    const int owner_share = deps_.owned_shares.ownership().share_of_team(record->spec->team);
    if (owner_share == share) continue;  // a job of this share that is not ready as far as known
    deps_.store.get(progress_key(owner_share, job, chunk), store::Urgency::background,
                    [this, share = share, generation = owned.generation, job = job, chunk = chunk](
                        int code, const wire::Row& row) {
                      OwnedShares::OwnedShare* current = deps_.owned_shares.find(share, generation);
                      if (current && code == 200 && row.value.is_string())
                        current->controller->on_chunk_of_other_share(job, chunk,
                                                                     row.value.get<std::string>());
                    });
  }
}

/// The commit may have been executed: the version of the row must be read before the next attempt.
void ResultWriter::reread_progress_version(int share, std::uint64_t generation,
                                           const share::ShareController::ProgressWrite& write) {
  deps_.store.get(progress_key(share, write.job, write.row), store::Urgency::read,
                  [this, share, generation, write](int code, const wire::Row& row) {
                    OwnedShares::OwnedShare* current = deps_.owned_shares.find(share, generation);
                    if (!current) return;
                    const std::uint64_t version = code == 200 ? row.version : code == 404 ? 0 : write.version;
                    current->controller->on_progress_write_result(write, false, version);
                  });
}

void ResultWriter::commit_finished_jobs() {
  for (auto& [share, owned] : deps_.owned_shares.all()) {
    if (!deps_.owned_shares.may_commit(owned)) continue;
    for (const auto& id : owned.controller->jobs_to_commit()) {
      const auto* known = deps_.records.job(id);
      if (!known || known->final()) continue;
      owned.controller->set_committing(id, true);
      commit_finished_job(share, owned.generation, id);
    }
  }
}

void ResultWriter::commit_finished_job(int share, std::uint64_t generation, const std::string& id) {
  const OwnedShares::OwnedShare& owned = *deps_.owned_shares.find(share, generation);
  job::JobRecord record = *deps_.records.job(id);
  record.status = JobStatus::done;
  record.finished = deps_.loop.time_of_day();
  std::vector<wire::Write> writes{{kJobPrefix + id, job::record_to_json(record), {}, false}};
  std::vector<std::string> remaining_keys;
  for (const auto& name : owned.controller->progress_row_names(id)) {
    const std::string key = kProgressPrefix + std::to_string(share) + "/" + name;
    if (writes.size() < deps_.store.max_txn_ops())
      writes.push_back({key, nullptr, {}, true});
    else
      remaining_keys.push_back(key);
  }
  deps_.store.commit(
      {{owner_key(share), owned.key_version}, {kJobPrefix + id, record.version}}, std::move(writes),
      store::Urgency::accept,
      [this, share, generation, id, record, remaining_keys](int code, std::uint64_t revision) mutable {
        if (code == 200) {
          deps_.records.delete_keys(std::move(remaining_keys));
          record.version = revision;
          record.spec.reset();
          deps_.records.delete_parts(id, record);
          deps_.records.update_job(id, std::move(record));
          deps_.records.publish_graph_changes();
          deps_.schedule_tick();  // its dependents can start at once
          return;
        }
        deps_.loop.call_later(kFinishRetryDelay, [this, share, generation, id] {
          if (auto* current = deps_.owned_shares.find(share, generation))
            current->controller->set_committing(id, false);
        });
      });
}

/// Users are told at once that jobs which depend on a cancelled job are cancelled too. Their records follow
/// here, in batches, written by the owner of their share.
void ResultWriter::cancel_dependents() {
  if (cancelling_ || deps_.records.graph().to_cancel().empty() || !deps_.store.has_spare_writes()) return;
  for (auto& [share, owned] : deps_.owned_shares.all())
    if (deps_.owned_shares.may_commit(owned) && cancel_dependents(share, owned)) return;
}

bool ResultWriter::cancel_dependents(int share, const OwnedShares::OwnedShare& owned) {
  std::vector<wire::Guard> guards{{owner_key(share), owned.key_version}};
  std::vector<wire::Write> writes;
  std::vector<std::string> ids;
  for (const auto& id : deps_.records.graph().to_cancel()) {
    const auto* j = deps_.records.job(id);
    if (!j || j->final() || !j->spec) continue;
    if (deps_.owned_shares.ownership().share_of_team(j->spec->team) != share) continue;
    guards.push_back({kJobPrefix + id, j->version});
    writes.push_back(
        {kJobPrefix + id, job::cancelled_record_json(*j, platform_.value_size_limit()), {}, false});
    ids.push_back(id);
    if (ids.size() >= std::min(deps_.store.max_txn_ops(), cancel_batch_)) break;
  }
  if (ids.empty()) return false;
  cancelling_ = true;
  deps_.store.commit(std::move(guards), std::move(writes), store::Urgency::background,
                     [this, ids](int code, std::uint64_t revision) {
                       cancelling_ = false;
                       // After a conflict one of them was changed elsewhere: the watch will show which; until
                       // then they are committed one by one.
                       cancel_batch_ = code == 409 ? 1 : kCancelBatch;
                       if (code != 200) return;
                       spdlog::info("cancelled {} jobs that depend on a cancelled job: {} ...", ids.size(),
                                    ids[0]);
                       for (const auto& id : ids) {
                         const auto* known = deps_.records.job(id);
                         if (!known || known->final()) continue;
                         job::JobRecord record = *known;
                         record.status = JobStatus::cancelled;
                         record.version = revision;
                         deps_.records.delete_parts(id, record);
                         deps_.records.update_job(id, std::move(record));
                       }
                       deps_.records.publish_graph_changes();
                     });
  return true;
}

void ResultWriter::move_machine(const std::string& machine, int to) {
  const auto* known = deps_.records.machine(machine);
  if (!known || to >= deps_.owned_shares.ownership().share_count() || to == known->share) return;
  OwnedShares::OwnedShare* owned = deps_.owned_shares.find(known->share);
  if (!owned || deps_.owned_shares.start_refusal(*owned) != place::StartRefusal::none ||
      moving_.contains(machine))
    return;
  // A share that gives away many machines at once must not delay the commits of users.
  const Micros now = deps_.loop.now();
  const double rate = platform_.state_write_rps * kMoveRateFraction;
  move_budget_ = std::min(std::max(2.0, 2 * rate), move_budget_ + to_seconds(now - last_move_) * rate);
  last_move_ = now;
  if (move_budget_ < 1 || !owned->controller->release(machine, now)) return;
  move_budget_ -= 1;
  moving_.insert(machine);
  share::MachineRecord m = *known;
  const int from = m.share;
  m.share = to;
  // The epoch of the new share may be lower than ours, which the worker has seen: the record demands a higher
  // one.
  if (to >= 0) m.epoch = std::max(owned->epoch, m.epoch) + 1;
  spdlog::info("machine {} leaves share {} for {}", machine, from, to);
  commit_move(std::move(m), from, owned->generation, owned->key_version, false);
}

/// Retries until it is known whether the machine has moved. When a lost request was not retried, the machine
/// belonged to no share and was still paid for. `maybe_executed`: an earlier attempt may still be executed;
/// it is guarded by the same rows.
void ResultWriter::commit_move(share::MachineRecord m, int from, std::uint64_t generation,
                               std::uint64_t key_version, bool maybe_executed) {
  const std::string id = m.id;
  OwnedShares::OwnedShare* owned = deps_.owned_shares.find(from, generation);
  const auto* known = deps_.records.machine(id);
  if (!owned || !known ||
      known->version != m.version) {  // known from the watch, or will be from the takeover
    moving_.erase(id);
    return;
  }
  if (owned->key_version != key_version) return cancel_move_unless_committed(std::move(m), from, generation);
  const auto urgency = m.share >= 0 ? store::Urgency::user : store::Urgency::background;
  std::vector<wire::Guard> guards{{kMachinePrefix + id, m.version}, {owner_key(from), key_version}};
  std::vector<wire::Write> writes{{kMachinePrefix + id, share::machine_to_json(m), {}, false}};
  deps_.store.commit(
      std::move(guards), std::move(writes), urgency,
      [this, m = std::move(m), from, generation, key_version, maybe_executed](int code,
                                                                              std::uint64_t) mutable {
        const bool maybe_moved = code == 0 || code == 409 || maybe_executed;
        deps_.loop.call_later(
            code != 200 && maybe_moved ? kUnknownOutcomeRetryDelay : kMoveRetryDelay,
            [this, m = std::move(m), from, generation, key_version, code, maybe_moved]() mutable {
              if (code == 200)
                moving_.erase(m.id);
              else if (maybe_moved)
                commit_move(std::move(m), from, generation, key_version, true);
              else
                cancel_move(m.id, from);
            });
      });
}

/// The owner key has changed, so no attempt can be executed any more. One may have been before without the
/// watch having reported it, which a read of the machine's row from now on shows.
void ResultWriter::cancel_move_unless_committed(share::MachineRecord m, int from, std::uint64_t generation) {
  const std::string key = kMachinePrefix + m.id;
  deps_.store.get(key, store::Urgency::read,
                  [this, m = std::move(m), from, generation](int code, const wire::Row& row) mutable {
                    if (code == 200 && row.version == m.version && deps_.owned_shares.find(from, generation))
                      return cancel_move(m.id, from);
                    if (code == 200 || code == 404) {
                      moving_.erase(m.id);  // moved or deleted: the watch will report it
                      return;
                    }
                    deps_.loop.call_later(kMoveRetryDelay,
                                          [this, m = std::move(m), from, generation]() mutable {
                                            cancel_move_unless_committed(std::move(m), from, generation);
                                          });
                  });
}

/// The machine certainly was not moved: its share may use it again.
void ResultWriter::cancel_move(const std::string& machine, int from) {
  moving_.erase(machine);
  if (auto* owned = deps_.owned_shares.find(from)) owned->controller->cancel_release(machine);
}

}  // namespace aspenwick::app
