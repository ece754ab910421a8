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
constexpr int kMaxLookups = 32;  // of dependencies that are not known here, for one submission
constexpr std::size_t kMaxCachedTaskCounts = 4096;  // entries; all are dropped when the cache is full
constexpr int kMaxCancelAttempts = 3;               // attempts when the record is changed elsewhere meanwhile
constexpr std::size_t kMaxTransactionBytes = 40'000;  // of parts; a transaction may take 64 KiB in all
}  // namespace

void JobApi::answer_retry(const ExchangePtr& exchange, const std::string& reason) {
  spdlog::debug("client asked to retry: {}", reason);
  exchange->answer(503, wire::error_body(reason), 1);
}

void JobApi::status(const ExchangePtr& exchange, const std::string& id) {
  ++request_count_;
  report_status(exchange, id);
}

void JobApi::cancel(const ExchangePtr& exchange, const std::string& id) {
  ++request_count_;
  cancel(exchange, id, kMaxCancelAttempts);
}

void JobApi::on_peer_status(const share::StatusReply& reply) {
  auto it = pending_status_.find(reply.request);
  if (it == pending_status_.end()) return;
  const PendingStatus pending_status = std::move(it->second);
  pending_status_.erase(it);
  // While a share changes hands, its new owner may not know the job yet and has nothing to report of it.
  if (reply.known) cache_task_counts(pending_status.job, {reply.done, reply.running});
  answer_with_status(pending_status.exchange, 200, pending_status.job);
}

void JobApi::cache_task_counts(const std::string& id, TaskCounts counts) {
  if (task_counts_.size() >= kMaxCachedTaskCounts && !task_counts_.contains(id)) task_counts_.clear();
  task_counts_[id] = counts;
}

/// Every answer with the status of a job ends here, and gives the newest state that this node knows when it
/// is sent, however long the request has waited.
void JobApi::answer_with_status(const ExchangePtr& exchange, int code, const std::string& id) {
  if (answer_if_final(exchange, id)) return;
  const auto it = task_counts_.find(id);
  const TaskCounts counts = it == task_counts_.end() ? TaskCounts{0, 0} : it->second;
  exchange->answer(code, wire::status_body(id, counts.second > 0 ? JobStatus::running : JobStatus::queued,
                                           code == 201 ? std::nullopt : std::optional(counts)));
}

/// If the job is final, answers with that, now or soon, and returns true.
bool JobApi::answer_if_final(const ExchangePtr& exchange, const std::string& id) {
  const auto* known = deps_.records.job(id);
  // A job that depends on a cancelled job is reported as cancelled as soon as that is known here; its
  // own record follows.
  const bool dependency_cancelled = deps_.records.graph().has_cancelled_dependency(id);
  if (!dependency_cancelled && !(known && known->final())) return false;
  task_counts_.erase(id);
  const JobStatus status = known && known->final() ? known->status : JobStatus::cancelled;
  // A job that depends on a cancelled job never had tasks. The owner of any other cancelled job may still
  // start tasks of it until it knows of the cancellation.
  if (status == JobStatus::cancelled && !dependency_cancelled && !deps_.may_confirm_cancellation(id))
    confirm_cancellation(exchange, id, deps_.loop.now() + kPeerAnswerTimeout);
  else
    exchange->answer(200, wire::status_body(id, status));
  return true;
}

/// Waits until the owner knows of the cancellation or cannot act on old records any more, for as long as for
/// any answer of a peer; then the client is asked to retry.
void JobApi::confirm_cancellation(const ExchangePtr& exchange, const std::string& id, Micros until) {
  if (deps_.may_confirm_cancellation(id))
    return exchange->answer(200, wire::status_body(id, JobStatus::cancelled));
  if (deps_.loop.now() >= until)
    return answer_retry(exchange, "the owner of the job's share may not know of the cancellation yet");
  deps_.loop.call_later(kConfirmPollInterval,
                        [this, exchange, id, until] { confirm_cancellation(exchange, id, until); });
}

/// No submission is rejected for good before the state service has confirmed that its id does not exist. It
/// may be a retry of a job that another node accepted a moment ago, or that a former version accepted, or
/// this version under other limits or another list of machine types. Such a retry gets the state of the job.
void JobApi::reject(const ExchangePtr& exchange, int code, const std::string& id, const std::string& reason) {
  if (!wire::valid_job_id(id)) return exchange->answer(code, wire::error_body(reason));
  if (!deps_.records.synced()) return answer_retry(exchange, "starting");
  if (deps_.records.job(id)) return report_status(exchange, id);
  deps_.store.get(kJobPrefix + id, store::Urgency::accept,
                  [this, exchange, code, id, reason](int lookup_status, const wire::Row&) {
                    if (lookup_status == 200) return report_status(exchange, id);
                    if (lookup_status != 404)
                      return answer_retry(exchange, "the state service is not available");
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
  if (const auto reason = job::unschedulable_reason(spec, deps_.records.types(), platform_.teams);
      !reason.empty())
    return reject(exchange, 422, spec.id, reason);
  if (deps_.store.overloaded())
    return exchange->answer(429, wire::error_body("too many requests are waiting for the state service"), 2);
  job::keep_usable_types(spec, deps_.records.types());
  submission->record.spec = std::make_shared<const wire::JobSpec>(std::move(spec));
  submission->record.submitted = deps_.loop.time_of_day();
  check_dependencies(submission);
}

/// Each dependency must have been accepted. A job that is not known here may just have been accepted by
/// another node, so only the answer of the state service counts.
void JobApi::check_dependencies(const std::shared_ptr<Submission>& submission) {
  static const std::string kNeedsServiceError = "a job cannot need a service, which is never done";
  const auto& needs = submission->record.spec->dependencies;
  for (; submission->next_dependency < needs.size(); ++submission->next_dependency) {
    const std::string& id = needs[submission->next_dependency];
    if (const auto* known = deps_.records.job(id)) {
      if (known->spec && known->spec->shape == wire::Shape::service)
        return reject(submission->exchange, 422, submission->record.spec->id, kNeedsServiceError);
      continue;
    }
    if (++submission->lookups > kMaxLookups)
      return answer_retry(submission->exchange, "too many jobs to look up at once");
    deps_.store.get(
        kJobPrefix + id, store::Urgency::accept, [this, submission, id](int code, const wire::Row& row) {
          if (code == 404)
            return reject(submission->exchange, 422, submission->record.spec->id,
                          "needs job " + id + ", which was never accepted");
          if (code != 200) return answer_retry(submission->exchange, "the state service is not available");
          try {
            const auto needed = job::record_from_json(row.value, row.version);
            if (needed.spec && needed.spec->shape == wire::Shape::service)
              return reject(submission->exchange, 422, submission->record.spec->id, kNeedsServiceError);
          } catch (const std::exception& e) {
            spdlog::error("cannot read job record {}: {}", id, e.what());
            return answer_retry(submission->exchange, "the job record cannot be read");
          }
          ++submission->next_dependency;
          check_dependencies(submission);
        });
    return;
  }
  accept(submission);
}

void JobApi::accept(const std::shared_ptr<Submission>& submission) {
  // Each attempt has a new tag, so that parts of a failed attempt are never taken for parts of this one. The
  // incarnation keeps tags of a former process of this node apart: the time of day may have stepped back
  // since, and a late deletion of parts of one of its attempts may still be executed.
  submission->tag = platform_.name + "-" + std::to_string(incarnation_) + "-" + std::to_string(++last_tag_);
  submission->rows = job::record_to_rows(submission->record, platform_.value_size_limit(), submission->tag);
  submission->record.parts = static_cast<std::uint32_t>(submission->rows.parts.size());
  submission->record.parts_tag = submission->tag;
  write_record(submission);
}

/// Writes the parts first, in as many transactions as they need. The job is accepted with the commit of its
/// record.
void JobApi::write_record(const std::shared_ptr<Submission>& submission) {
  const std::string id = submission->record.spec->id;
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  std::size_t bytes = 0;
  for (; submission->next_part < submission->rows.parts.size() && writes.size() < deps_.store.max_txn_ops();
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
                         // The answer of the state service may have been late: other nodes may have reported
                         // to the user meanwhile that the job is over.
                         return answer_with_status(submission->exchange, 201, id);
                       }
                       // Without an answer the record may exist and need its parts. The same holds on a
                       // conflict of the record: this may be the answer to a duplicate of our own request.
                       if (code != 0 && !(code == 409 && last))
                         deps_.records.delete_parts(id, submission->record);
                       if (code == 409 && last) return handle_duplicate(submission);
                       answer_retry(submission->exchange, "the job could not be recorded");
                     });
}

/// The record exists already: written by another attempt, which has its own parts, or by this one. Only in
/// the latter case are the parts of this attempt needed.
void JobApi::handle_duplicate(const std::shared_ptr<Submission>& submission) {
  const std::string id = submission->record.spec->id;
  if (submission->record.parts > 0)
    deps_.store.get(kJobPrefix + id, store::Urgency::background,
                    [this, submission, id](int code, const wire::Row& row) {
                      if (code != 200) return;  // unused parts only take up space
                      try {
                        if (job::record_from_json(row.value, row.version).parts_tag != submission->tag)
                          deps_.records.delete_parts(id, submission->record);
                      } catch (const std::exception& e) {
                        spdlog::error("cannot read job record {}: {}", id, e.what());
                      }
                    });
  report_status(submission->exchange, id);
}

void JobApi::report_status(const ExchangePtr& exchange, const std::string& id) {
  if (answer_if_final(exchange, id)) return;
  if (!deps_.records.synced()) return answer_retry(exchange, "starting");
  // A job that is not final here may have become so elsewhere, which only a fresh read can rule out. The read
  // covers all records at once and is shared by all requests that arrive meanwhile: with a read for each
  // poll, a node that served all users used more than its part of the request rate, and the users waited
  // longer than they do now. A job with dependencies may in any case be cancelled by the record of an
  // indirect one.
  deps_.records.refresh_jobs([this, exchange, id](bool ok) {
    if (!ok) return answer_retry(exchange, "the state service is not available");
    const auto* known = deps_.records.job(id);
    if (!known) return look_up_job(exchange, id);
    if (answer_if_final(exchange, id)) return;
    if (!known->spec || !deps_.records.graph().dependencies_known(id))
      return answer_retry(exchange, "the job record is not completely read yet");
    if (!deps_.records.graph().is_ready(id)) return answer_with_status(exchange, 200, id);
    answer_with_task_counts(exchange, id);
  });
}

/// Answers 404 only if the state service says that there is no such job: a record that could not be read does
/// exist.
void JobApi::look_up_job(const ExchangePtr& exchange, const std::string& id) {
  deps_.store.get(kJobPrefix + id, store::Urgency::read, [this, exchange, id](int code, const wire::Row&) {
    if (code == 404) return exchange->answer(404, wire::error_body("no such job"));
    answer_retry(exchange, code == 200 ? "the job record is not completely read yet"
                                       : "the state service is not available");
  });
}

void JobApi::answer_with_task_counts(const ExchangePtr& exchange, const std::string& id) {
  const auto& ownership = deps_.owned_shares.ownership();
  const auto* known = deps_.records.job(id);
  const int share = known && known->spec ? ownership.share_of_team(known->spec->team) : -1;
  if (const auto* owned = deps_.owned_shares.find(share)) {
    if (const auto counts = owned->controller->task_counts(id)) cache_task_counts(id, *counts);
  } else if (const OwnerKey* key = ownership.owner(share); key && key->node != platform_.name) {
    const std::uint32_t request = ++last_status_request_;
    if (deps_.peers.send(key->node, share::StatusRequest{request, id})) {
      pending_status_[request] = {exchange, id};
      deps_.loop.call_later(kPeerAnswerTimeout, [this, request] {
        auto pending = pending_status_.find(request);
        if (pending == pending_status_.end()) return;
        const PendingStatus pending_status = std::move(pending->second);
        pending_status_.erase(pending);
        answer_with_status(pending_status.exchange, 200, pending_status.job);  // with the last known counts
      });
      return;
    }
  }
  answer_with_status(exchange, 200, id);
}

void JobApi::cancel(const ExchangePtr& exchange, const std::string& id, int attempts_left) {
  if (answer_if_final(exchange, id)) return;
  if (!deps_.records.synced() || attempts_left == 0)
    return answer_retry(exchange, "the job record cannot be changed now");
  deps_.store.get(
      kJobPrefix + id, store::Urgency::accept,
      [this, exchange, id, attempts_left](int code, const wire::Row& row) {
        if (code == 404) return exchange->answer(404, wire::error_body("no such job"));
        if (code != 200) return answer_retry(exchange, "the state service is not available");
        job::JobRecord record;
        try {
          record = job::record_from_json(row.value, row.version);
        } catch (const std::exception& e) {
          spdlog::error("cannot read job record {}: {}", id, e.what());
          return answer_retry(exchange, "the job record cannot be read");
        }
        if (record.final()) {
          // A node that reports a cancellation to a user must know it from then on, and report it to
          // its peers.
          deps_.records.update_job(id, std::move(record));
          deps_.records.publish_graph_changes();
          deps_.schedule_tick();
          if (!answer_if_final(exchange, id)) answer_retry(exchange, "the job record is being updated");
          return;
        }
        record.status = JobStatus::cancelled;
        if (const auto* known = deps_.records.job(id); !record.spec && known) record.spec = known->spec;
        // `done` and `cancelled` race; the guard makes one of them fail because the record has
        // changed.
        deps_.store.commit(
            {{kJobPrefix + id, row.version}},
            {{kJobPrefix + id, job::cancelled_record_json(record, platform_.value_size_limit()), {}, false}},
            store::Urgency::accept,
            [this, exchange, id, attempts_left, record](int commit_status, std::uint64_t revision) mutable {
              if (commit_status == 409) return cancel(exchange, id, attempts_left - 1);
              if (commit_status != 200)
                return answer_retry(exchange, "the cancellation could not be recorded");
              record.version = revision;
              deps_.records.delete_parts(id, record);
              deps_.records.update_job(id, std::move(record));
              deps_.records.publish_graph_changes();
              // Ahead of the watch, which an outage may delay beyond the time within which a
              // cancellation must take effect.
              deps_.announce_cancellation(id);
              deps_.schedule_tick();
              if (!answer_if_final(exchange, id)) answer_retry(exchange, "the job record is being updated");
            });
      });
}

}  // namespace aspenwick::app
