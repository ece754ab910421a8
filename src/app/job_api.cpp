#include "app/job_api.h"

#include <spdlog/spdlog.h>

#include "app/keys.h"

namespace aspenwick::app {

using net::ExchangePtr;
using share::OwnerKey;
using wire::JobStatus;

namespace {
constexpr Micros kPeerAnswerTimeout = 300 * kMillisecond;
constexpr Micros kConfirmPollInterval = 10 * kMillisecond;
constexpr int kMaxLookups = 32;                       // of needed jobs that we don't know, for one submission
constexpr std::size_t kMaxCachedTaskCounts = 4096;    // kept of what owners told last
constexpr int kMaxCancelTries = 3;                    // against changes made elsewhere meanwhile
constexpr std::size_t kMaxTransactionBytes = 40'000;  // of the 64 KiB that a transaction may take
}  // namespace

void JobApi::answer_retry(const ExchangePtr& exchange, const std::string& reason) {
  spdlog::debug("user told to come again: {}", reason);
  exchange->answer(503, wire::error_body(reason), 1);
}

void JobApi::status(const ExchangePtr& exchange, const std::string& id) {
  ++request_count_;
  report_status(exchange, id);
}

void JobApi::cancel(const ExchangePtr& exchange, const std::string& id) {
  ++request_count_;
  cancel(exchange, id, kMaxCancelTries);
}

void JobApi::on_peer_status(const share::StatusTell& tell) {
  auto it = pending_status_.find(tell.request);
  if (it == pending_status_.end()) return;
  const PendingStatus wait = std::move(it->second);
  pending_status_.erase(it);
  // An owner that doesn't know the job yet (a share changes hands) has nothing to say of it.
  if (tell.known) cache_task_counts(wait.job, {tell.done, tell.running});
  answer_with_status(wait.exchange, 200, wait.job);
}

void JobApi::cache_task_counts(const std::string& id, TaskCounts counts) {
  if (task_counts_.size() >= kMaxCachedTaskCounts && !task_counts_.contains(id)) task_counts_.clear();
  task_counts_[id] = counts;
}

/// Each answer that says how a job stands ends here: with the newest that this node knows at the moment at
/// which it is given, however long what it waited for has taken.
void JobApi::answer_with_status(const ExchangePtr& exchange, int code, const std::string& id) {
  if (answer_if_final(exchange, id)) return;
  const auto it = task_counts_.find(id);
  const TaskCounts counts = it == task_counts_.end() ? TaskCounts{0, 0} : it->second;
  exchange->answer(code, wire::status_body(id, counts.second > 0 ? JobStatus::running : JobStatus::queued,
                                           code == 201 ? std::nullopt : std::optional(counts)));
}

/// true: it is over, and its user is told so now or soon.
bool JobApi::answer_if_final(const ExchangePtr& exchange, const std::string& id) {
  const auto* known = deps_.records.job(id);
  // Told from the graph as soon as the cancellation above it is known; its own record follows.
  const bool doomed = deps_.records.graph().doomed(id);
  if (!doomed && !(known && known->final())) return false;
  task_counts_.erase(id);
  const JobStatus status = known && known->final() ? known->status : JobStatus::cancelled;
  // What needs a cancelled job never had tasks. Of any other the owner may start tasks until it knows.
  if (status == JobStatus::cancelled && !doomed && !deps_.may_confirm_cancellation(id))
    confirm_cancellation(exchange, id, deps_.loop.now() + kPeerAnswerTimeout);
  else
    exchange->answer(200, wire::status_body(id, status));
  return true;
}

/// Waits for the owner's word, as long as for any peer's; a user who comes again may find that it came, or
/// that the owner's time to act has passed.
void JobApi::confirm_cancellation(const ExchangePtr& exchange, const std::string& id, Micros until) {
  if (deps_.may_confirm_cancellation(id))
    return exchange->answer(200, wire::status_body(id, JobStatus::cancelled));
  if (deps_.loop.now() >= until)
    return answer_retry(exchange, "the owner of its share may not know the cancellation yet");
  deps_.loop.later(kConfirmPollInterval,
                   [this, exchange, id, until] { confirm_cancellation(exchange, id, until); });
}

/// No submission is refused for good before the state service has said that its id isn't there: it may be a
/// retry of what another node accepted a moment ago, or a former version, or this one while the limits and
/// the list of machine types were others. That gets the job's state.
void JobApi::reject(const ExchangePtr& exchange, int code, const std::string& id, const std::string& reason) {
  if (!wire::valid_job_id(id)) return exchange->answer(code, wire::error_body(reason));
  if (!deps_.records.synced()) return answer_retry(exchange, "starting");
  if (deps_.records.job(id)) return report_status(exchange, id);
  deps_.store.get(kJobPrefix + id, store::Urgency::accept,
                  [this, exchange, code, id, reason](int lookup_status, const wire::Row&) {
                    if (lookup_status == 200) return report_status(exchange, id);
                    if (lookup_status != 404) return answer_retry(exchange, "state service");
                    exchange->answer(code, wire::error_body(reason));
                  });
}

void JobApi::submit(const ExchangePtr& exchange) {
  ++request_count_;
  auto submission = std::make_shared<Submission>();
  submission->exchange = exchange;
  wire::JobSpec spec;
  try {
    spec = wire::parse_job(exchange->body());
  } catch (const wire::Malformed& e) {
    return reject(exchange, 400, e.job, e.what());
  } catch (const std::exception& e) {
    return exchange->answer(400, wire::error_body(e.what()));
  }
  if (!deps_.records.synced()) return answer_retry(exchange, "starting");
  if (deps_.records.job(spec.id)) return report_status(exchange, spec.id);
  if (deps_.records.types().empty()) return answer_retry(exchange, "machine types not known yet");
  if (const auto reason = job::never_runs(spec, deps_.records.types(), platform_.teams); !reason.empty())
    return reject(exchange, 422, spec.id, reason);
  if (deps_.store.crowded()) return exchange->answer(429, wire::error_body("over budget"), 2);
  job::keep_known_types(spec, deps_.records.types());
  submission->record.spec = std::make_shared<const wire::JobSpec>(std::move(spec));
  submission->record.submitted = deps_.loop.time_of_day();
  check_needed_jobs(submission);
}

/// Each needed job must have been accepted. What we don't know may have been accepted elsewhere just now:
/// only the state service's word counts.
void JobApi::check_needed_jobs(const std::shared_ptr<Submission>& submission) {
  static const std::string kNeedsServiceError = "a service that it needs can never be done";
  const auto& needs = submission->record.spec->needs;
  for (; submission->next_needed_job < needs.size(); ++submission->next_needed_job) {
    const std::string& id = needs[submission->next_needed_job];
    if (const auto* known = deps_.records.job(id)) {
      if (known->spec && known->spec->shape == wire::Shape::service)
        return reject(submission->exchange, 422, submission->record.spec->id, kNeedsServiceError);
      continue;
    }
    if (++submission->asked > kMaxLookups)
      return answer_retry(submission->exchange, "too many jobs to look up at once");
    deps_.store.get(
        kJobPrefix + id, store::Urgency::accept, [this, submission, id](int code, const wire::Row& row) {
          if (code == 404)
            return reject(submission->exchange, 422, submission->record.spec->id,
                          "it needs " + id + ", which was never accepted");
          if (code != 200) return answer_retry(submission->exchange, "state service");
          try {
            const auto needed = job::record_from_json(row.value, row.version);
            if (needed.spec && needed.spec->shape == wire::Shape::service)
              return reject(submission->exchange, 422, submission->record.spec->id, kNeedsServiceError);
          } catch (const std::exception& e) {
            spdlog::error("job record {}: {}", id, e.what());
            return answer_retry(submission->exchange, "state service");
          }
          ++submission->next_needed_job;
          check_needed_jobs(submission);
        });
    return;
  }
  accept(submission);
}

void JobApi::accept(const std::shared_ptr<Submission>& submission) {
  // The tag is new for each try: parts of a try that failed are never taken for this one's.
  // Nor those of our former process: the time of day may step back between the two, a late deletion of parts
  // of one of its tries may still be executed.
  submission->tag = platform_.name + "-" + std::to_string(incarnation_) + "-" + std::to_string(++last_tag_);
  submission->rows = job::rows_of(submission->record, platform_.value_room(), submission->tag);
  submission->record.parts = static_cast<std::uint32_t>(submission->rows.parts.size());
  submission->record.parts_tag = submission->tag;
  write_record(submission);
}

/// The parts first, in as many transactions as they take; the job is accepted with the record.
void JobApi::write_record(const std::shared_ptr<Submission>& submission) {
  const std::string id = submission->record.spec->id;
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  std::size_t bytes = 0;
  for (; submission->next_part < submission->rows.parts.size() && writes.size() < deps_.store.txn_ops();
       ++submission->next_part) {
    const std::string& part = submission->rows.parts[submission->next_part];
    if (!writes.empty() && bytes + part.size() > kMaxTransactionBytes) break;
    bytes += part.size();
    const std::string key =
        kPartPrefix + id + "/" + submission->tag + "/" + std::to_string(submission->next_part);
    guards.push_back({key, 0});
    writes.push_back({key, part, {}, false});
  }
  const bool last = writes.empty();
  if (last) {
    guards.push_back({kJobPrefix + id, 0});
    writes.push_back({kJobPrefix + id, submission->rows.value, {}, false});
  }
  deps_.store.commit(std::move(guards), std::move(writes), store::Urgency::accept,
                     [this, submission, id, last](int code, std::uint64_t revision) {
                       if (code == 200 && !last) return write_record(submission);
                       if (code == 200) {
                         submission->record.version = revision;
                         deps_.records.update_job(id, submission->record);
                         deps_.records.publish_graph_changes();
                         deps_.schedule_tick();
                         // The answer may have come late: by now others may have told its user that it is
                         // over.
                         return answer_with_status(submission->exchange, 201, id);
                       }
                       // Without an answer the record may be there, and needs its parts. So it may when it
                       // is there already: this may be the answer to a copy of our own request.
                       if (code != 0 && !(code == 409 && last))
                         deps_.records.delete_parts(id, submission->record);
                       if (code == 409 && last) return handle_duplicate(submission);
                       answer_retry(submission->exchange, "state service");
                     });
}

/// By another try, whose parts it has, or by this very one: only then are ours of use.
void JobApi::handle_duplicate(const std::shared_ptr<Submission>& submission) {
  const std::string id = submission->record.spec->id;
  if (submission->record.parts > 0)
    deps_.store.get(kJobPrefix + id, store::Urgency::background,
                    [this, submission, id](int code, const wire::Row& row) {
                      if (code != 200) return;  // they only lie there
                      try {
                        if (job::record_from_json(row.value, row.version).parts_tag != submission->tag)
                          deps_.records.delete_parts(id, submission->record);
                      } catch (const std::exception& e) {
                        spdlog::error("job record {}: {}", id, e.what());
                      }
                    });
  report_status(submission->exchange, id);
}

void JobApi::report_status(const ExchangePtr& exchange, const std::string& id) {
  if (answer_if_final(exchange, id)) return;
  if (!deps_.records.synced()) return answer_retry(exchange, "starting");
  // What is not final may have become so elsewhere: only a fresh read may say that it has not. Of all records
  // at once, shared by all who ask meanwhile: a read for each poll took more than a node's part of the
  // requests where one node had all users, and they waited longer than they wait. A job that needs others may
  // be cancelled by a record far above it in any case.
  deps_.records.refresh_jobs([this, exchange, id](bool ok) {
    if (!ok) return answer_retry(exchange, "state service");
    const auto* known = deps_.records.job(id);
    if (!known) return look_up_job(exchange, id);
    if (answer_if_final(exchange, id)) return;
    if (!known->spec || !deps_.records.graph().whole(id)) return answer_retry(exchange, "still being read");
    if (!deps_.records.graph().ready(id)) return answer_with_status(exchange, 200, id);
    answer_with_task_counts(exchange, id);
  });
}

/// Only the state service's own word makes a 404: a record that we could not read is there all the same.
void JobApi::look_up_job(const ExchangePtr& exchange, const std::string& id) {
  deps_.store.get(kJobPrefix + id, store::Urgency::read, [this, exchange, id](int code, const wire::Row&) {
    if (code == 404) return exchange->answer(404, wire::error_body("no such job"));
    answer_retry(exchange, code == 200 ? "still being read" : "state service");
  });
}

void JobApi::answer_with_task_counts(const ExchangePtr& exchange, const std::string& id) {
  const auto& ownership = deps_.owned_shares.ownership();
  const auto* known = deps_.records.job(id);
  const int share = known && known->spec ? ownership.share_of_team(known->spec->team) : -1;
  if (const auto* owned = deps_.owned_shares.find(share)) {
    if (const auto counts = owned->controller->tally(id)) cache_task_counts(id, *counts);
  } else if (const OwnerKey* key = ownership.owner(share); key && key->node != platform_.name) {
    const std::uint32_t request = ++last_status_request_;
    if (deps_.peers.send(key->node, share::StatusAsk{request, id})) {
      pending_status_[request] = {exchange, id};
      deps_.loop.later(kPeerAnswerTimeout, [this, request] {
        auto pending = pending_status_.find(request);
        if (pending == pending_status_.end()) return;
        const PendingStatus wait = std::move(pending->second);
        pending_status_.erase(pending);
        answer_with_status(wait.exchange, 200, wait.job);  // with what was told last
      });
      return;
    }
  }
  answer_with_status(exchange, 200, id);
}

void JobApi::cancel(const ExchangePtr& exchange, const std::string& id, int tries) {
  if (answer_if_final(exchange, id)) return;
  if (!deps_.records.synced() || tries == 0) return answer_retry(exchange, "state service");
  deps_.store.get(kJobPrefix + id, store::Urgency::accept,
                  [this, exchange, id, tries](int code, const wire::Row& row) {
                    if (code == 404) return exchange->answer(404, wire::error_body("no such job"));
                    if (code != 200) return answer_retry(exchange, "state service");
                    job::JobRecord record;
                    try {
                      record = job::record_from_json(row.value, row.version);
                    } catch (const std::exception& e) {
                      spdlog::error("job record {}: {}", id, e.what());
                      return answer_retry(exchange, "state service");
                    }
                    if (record.final()) {
                      // Whoever tells a user of a cancellation knows it from then on, and tells the peers.
                      deps_.records.update_job(id, std::move(record));
                      deps_.records.publish_graph_changes();
                      deps_.schedule_tick();
                      if (!answer_if_final(exchange, id)) answer_retry(exchange, "state service");
                      return;
                    }
                    record.status = JobStatus::cancelled;
                    if (const auto* known = deps_.records.job(id); !record.spec && known)
                      record.spec = known->spec;
                    // `done` and `cancelled` race by the guard: one of them finds the record changed.
                    deps_.store.commit(
                        {{kJobPrefix + id, row.version}},
                        {{kJobPrefix + id, job::cancelled_value(record, platform_.value_room()), {}, false}},
                        store::Urgency::accept,
                        [this, exchange, id, tries, record](int commit, std::uint64_t revision) mutable {
                          if (commit == 409) return cancel(exchange, id, tries - 1);
                          if (commit != 200) return answer_retry(exchange, "state service");
                          record.version = revision;
                          deps_.records.delete_parts(id, record);
                          deps_.records.update_job(id, std::move(record));
                          deps_.records.publish_graph_changes();
                          // Ahead of the watch, which an outage may delay past the time a cancellation has.
                          deps_.announce_cancellation(id);
                          deps_.schedule_tick();
                          if (!answer_if_final(exchange, id)) answer_retry(exchange, "state service");
                        });
                  });
}

}  // namespace aspenwick::app
