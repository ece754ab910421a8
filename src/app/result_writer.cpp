#include "app/result_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "app/keys.h"

namespace aspenwick::app {

using wire::JobStatus;

namespace {
constexpr double kProgressPart = 0.3;  // of the changes that the state service takes
constexpr double kMovePart = 0.25;     // the same, for one node's moves
constexpr std::size_t kDoneAtOnce = 4;
constexpr std::size_t kCancelledAtOnce = 8;
constexpr Micros kFinishAgain = 300 * kMillisecond;
constexpr Micros kMoveAgain = 100 * kMillisecond;
constexpr Micros kMoveUnknown = kSecond;
constexpr Micros kReadOthersAgain = 2 * kSecond;

std::string progress_key(int share, const std::string& job, std::uint32_t row) {
  return kProgress + std::to_string(share) + "/" + job + "/" + share::ShareController::row_name(row);
}

std::string owner_key(int share) { return kOwner + std::to_string(share); }
}  // namespace

void ResultWriter::tick() {
  finish_jobs();
  cancel_doomed();
  const bool all_new = needs_.records.all_read_units();
  for (auto& [s, owned] : needs_.owned_shares.all())
    owned.controller->set_all_controllers_read_units(all_new);
  write_done();
  read_chunks_of_others();
}

/// Done-sets are written at a pace that leaves most changes to users and machines; until then the workers
/// keep the results. A finished job's own record says it all.
void ResultWriter::write_done() {
  const Micros t = needs_.loop.now();
  const auto shares = static_cast<double>(needs_.owned_shares.ownership().share_count());
  const double pace = platform_.state_write_rps * kProgressPart / shares *
                      static_cast<double>(needs_.owned_shares.all().size());
  progress_level_ = std::min(std::max(2.0, 2 * pace), progress_level_ + to_seconds(t - last_done_) * pace);
  last_done_ = t;
  if (progress_level_ < 1 || !needs_.store.has_spare_writes()) return;
  for (auto& [s, owned] : needs_.owned_shares.all()) {
    if (!needs_.owned_shares.owns(owned)) continue;
    const auto most = static_cast<std::size_t>(std::max(0.0, progress_level_));
    const auto writes =
        owned.controller->take_done_writes(std::min({needs_.store.max_txn_ops(), kDoneAtOnce, most}), t);
    progress_level_ -= static_cast<double>(writes.size());
    if (writes.empty()) continue;
    std::vector<wire::Guard> guards{{owner_key(s), owned.key_version}};
    std::vector<wire::Write> puts;
    for (const auto& w : writes) {
      guards.push_back({progress_key(s, w.job, w.row), w.version});
      puts.push_back({progress_key(s, w.job, w.row), w.text, {}, false});
    }
    needs_.store.commit(std::move(guards), std::move(puts), store::Urgency::background,
                        [this, s = s, made = owned.made, writes](int code, std::uint64_t revision) {
                          for (const auto& w : writes) {
                            OwnedShares::OwnedShare* h = needs_.owned_shares.find(s, made);
                            if (!h) return;
                            if (code == 200)
                              h->controller->on_done_write_result(w, true, revision);
                            else
                              wrote_done(s, made, w);
                          }
                        });
  }
}

/// A machine that came with results of another share's job, as owners of earlier versions gave it away, is
/// kept until their owner has recorded them: its rows are read one after the other, or the job's end tells.
void ResultWriter::read_chunks_of_others() {
  const Micros now = needs_.loop.now();
  if (now - last_read_of_others_ < kReadOthersAgain) return;
  last_read_of_others_ = now;
  for (auto& [s, owned] : needs_.owned_shares.all()) {
    const auto chunks = owned.controller->needed_chunks_of_other_shares();
    if (chunks.empty()) continue;
    auto next = chunks.upper_bound(last_chunk_of_others_);
    if (next == chunks.end()) next = chunks.begin();
    last_chunk_of_others_ = *next;
    const auto& [job, chunk] = *next;
    const auto* record = needs_.records.job(job);
    if (!record || !record->spec) continue;
    const int share = needs_.owned_shares.ownership().share_of_team(record->spec->team);
    if (share == s) continue;  // ours, and not ready as far as we know
    needs_.store.get(
        progress_key(share, job, chunk), store::Urgency::background,
        [this, s = s, made = owned.made, job = job, chunk = chunk](int code, const wire::Row& row) {
          OwnedShares::OwnedShare* h = needs_.owned_shares.find(s, made);
          if (h && code == 200 && row.value.is_string())
            h->controller->on_chunk_of_other_share(job, chunk, row.value.get<std::string>());
        });
  }
}

/// Perhaps executed: the key's version must be read before the next try.
void ResultWriter::wrote_done(int s, std::uint64_t made, const share::ShareController::DoneWrite& w) {
  needs_.store.get(progress_key(s, w.job, w.row), store::Urgency::read,
                   [this, s, made, w](int code, const wire::Row& row) {
                     OwnedShares::OwnedShare* h = needs_.owned_shares.find(s, made);
                     if (!h) return;
                     const std::uint64_t version = code == 200 ? row.version : code == 404 ? 0 : w.version;
                     h->controller->on_done_write_result(w, false, version);
                   });
}

void ResultWriter::finish_jobs() {
  for (auto& [s, owned] : needs_.owned_shares.all()) {
    if (!needs_.owned_shares.owns(owned)) continue;
    for (const auto& id : owned.controller->jobs_to_commit()) {
      const auto* known = needs_.records.job(id);
      if (!known || known->final()) continue;
      owned.controller->set_committing(id, true);
      finished(s, owned.made, id);
    }
  }
}

void ResultWriter::finished(int s, std::uint64_t made, const std::string& id) {
  const OwnedShares::OwnedShare& owned = *needs_.owned_shares.find(s, made);
  job::JobRecord record = *needs_.records.job(id);
  record.status = JobStatus::done;
  record.finished = needs_.loop.time_of_day();
  std::vector<wire::Write> writes{{kJob + id, job::record_to_json(record), {}, false}};
  std::vector<std::string> rest;
  for (const auto& name : owned.controller->done_row_keys(id)) {
    const std::string key = kProgress + std::to_string(s) + "/" + name;
    if (writes.size() < needs_.store.max_txn_ops())
      writes.push_back({key, nullptr, {}, true});
    else
      rest.push_back(key);
  }
  needs_.store.commit({{owner_key(s), owned.key_version}, {kJob + id, record.version}}, std::move(writes),
                      store::Urgency::accept,
                      [this, s, made, id, record, rest](int code, std::uint64_t revision) mutable {
                        if (code == 200) {
                          needs_.records.delete_keys(std::move(rest));
                          record.version = revision;
                          record.spec.reset();
                          needs_.records.drop_parts(id, record);
                          needs_.records.set_job(id, std::move(record));
                          needs_.records.follow_graph();
                          needs_.poke();  // what waited for it starts at once
                          return;
                        }
                        needs_.loop.call_later(kFinishAgain, [this, s, made, id] {
                          if (auto* h = needs_.owned_shares.find(s, made))
                            h->controller->set_committing(id, false);
                        });
                      });
}

/// The records below a cancelled job follow what users are told already: in batches, by whoever holds the
/// share.
void ResultWriter::cancel_doomed() {
  if (cancelling_ || needs_.records.graph().to_cancel().empty() || !needs_.store.has_spare_writes()) return;
  for (auto& [s, owned] : needs_.owned_shares.all())
    if (needs_.owned_shares.owns(owned) && cancel_doomed(s, owned)) return;
}

bool ResultWriter::cancel_doomed(int s, const OwnedShares::OwnedShare& owned) {
  std::vector<wire::Guard> guards{{owner_key(s), owned.key_version}};
  std::vector<wire::Write> writes;
  std::vector<std::string> ids;
  for (const auto& id : needs_.records.graph().to_cancel()) {
    const auto* j = needs_.records.job(id);
    if (!j || j->final() || !j->spec) continue;
    if (needs_.owned_shares.ownership().share_of_team(j->spec->team) != s) continue;
    guards.push_back({kJob + id, j->version});
    writes.push_back({kJob + id, job::cancelled_value(*j, platform_.value_size_limit()), {}, false});
    ids.push_back(id);
    if (ids.size() >= std::min(needs_.store.max_txn_ops(), cancel_batch_)) break;
  }
  if (ids.empty()) return false;
  cancelling_ = true;
  needs_.store.commit(std::move(guards), std::move(writes), store::Urgency::background,
                      [this, ids](int code, std::uint64_t revision) {
                        cancelling_ = false;
                        // One of them was changed elsewhere: the watch tells which, the rest go on one by
                        // one.
                        cancel_batch_ = code == 409 ? 1 : kCancelledAtOnce;
                        if (code != 200) return;
                        spdlog::info("cancelled with a job that they need: {} jobs, {} ...", ids.size(),
                                     ids[0]);
                        for (const auto& id : ids) {
                          const auto* known = needs_.records.job(id);
                          if (!known || known->final()) continue;
                          job::JobRecord record = *known;
                          record.status = JobStatus::cancelled;
                          record.version = revision;
                          needs_.records.drop_parts(id, record);
                          needs_.records.set_job(id, std::move(record));
                        }
                        needs_.records.follow_graph();
                      });
  return true;
}

void ResultWriter::move_machine(const std::string& machine, int to) {
  const auto* known = needs_.records.machine(machine);
  if (!known || to >= needs_.owned_shares.ownership().share_count() || to == known->share) return;
  OwnedShares::OwnedShare* owned = needs_.owned_shares.find(known->share);
  if (!owned || needs_.owned_shares.refusal(*owned) != place::StartRefusal::none || moving_.contains(machine))
    return;
  // A share that gives many at once must not keep users waiting for their changes.
  const Micros t = needs_.loop.now();
  const double pace = platform_.state_write_rps * kMovePart;
  move_level_ = std::min(std::max(2.0, 2 * pace), move_level_ + to_seconds(t - last_move_) * pace);
  last_move_ = t;
  if (move_level_ < 1 || !owned->controller->release(machine, t)) return;
  move_level_ -= 1;
  moving_.insert(machine);
  share::MachineRecord m = *known;
  const int from = m.share;
  m.share = to;
  // The new share's epoch may be lower than ours, which the worker has seen.
  if (to >= 0) m.epoch = std::max(owned->epoch, m.epoch) + 1;
  spdlog::info("machine {} leaves share {} for {}", machine, from, to);
  commit_move(std::move(m), from, owned->made, owned->key_version, false);
}

/// Until it is known whether the machine has moved: a request that got lost left it to nobody, and paid for.
/// `unsure`: an earlier try may be executed yet; it is guarded by the same rows.
void ResultWriter::commit_move(share::MachineRecord m, int from, std::uint64_t made,
                               std::uint64_t key_version, bool unsure) {
  const std::string id = m.id;
  OwnedShares::OwnedShare* owned = needs_.owned_shares.find(from, made);
  const auto* known = needs_.records.machine(id);
  if (!owned || !known || known->version != m.version) {  // the watch told, or the takeover of the share will
    moving_.erase(id);
    return;
  }
  if (owned->key_version != key_version) return stay_unless_moved(std::move(m), from, made);
  const auto urgency = m.share >= 0 ? store::Urgency::user : store::Urgency::background;
  std::vector<wire::Guard> guards{{kMachine + id, m.version}, {owner_key(from), key_version}};
  std::vector<wire::Write> writes{{kMachine + id, share::machine_to_json(m), {}, false}};
  needs_.store.commit(
      std::move(guards), std::move(writes), urgency,
      [this, m = std::move(m), from, made, key_version, unsure](int code, std::uint64_t) mutable {
        const bool not_known = code == 0 || code == 409 || unsure;
        needs_.loop.call_later(code != 200 && not_known ? kMoveUnknown : kMoveAgain,
                               [this, m = std::move(m), from, made, key_version, code, not_known]() mutable {
                                 if (code == 200)
                                   moving_.erase(m.id);
                                 else if (not_known)
                                   commit_move(std::move(m), from, made, key_version, true);
                                 else
                                   stay(m.id, from);
                               });
      });
}

/// The share's key has changed, so that no try can be executed any more; one may have been before, and the
/// watch not have told it yet. Read from now on, the machine's row says which.
void ResultWriter::stay_unless_moved(share::MachineRecord m, int from, std::uint64_t made) {
  const std::string key = kMachine + m.id;
  needs_.store.get(key, store::Urgency::read,
                   [this, m = std::move(m), from, made](int code, const wire::Row& row) mutable {
                     if (code == 200 && row.version == m.version && needs_.owned_shares.find(from, made))
                       return stay(m.id, from);
                     if (code == 200 || code == 404) {
                       moving_.erase(m.id);  // moved, or gone: the watch tells
                       return;
                     }
                     needs_.loop.call_later(kMoveAgain, [this, m = std::move(m), from, made]() mutable {
                       stay_unless_moved(std::move(m), from, made);
                     });
                   });
}

/// Surely not moved: it is used again.
void ResultWriter::stay(const std::string& machine, int from) {
  moving_.erase(machine);
  if (auto* owned = needs_.owned_shares.find(from)) owned->controller->cancel_release(machine);
}

}  // namespace aspenwick::app
