#include "app/job_api.h"

#include <spdlog/spdlog.h>

#include "app/keys.h"

namespace aspenwick::app {

using net::ExchangePtr;
using share::OwnerKey;
using wire::JobStatus;

namespace {
constexpr Micros kPeerAnswer = 300 * kMillisecond;
constexpr Micros kConfirmAgain = 10 * kMillisecond;
constexpr int kMostLookUps = 32;                  // of needed jobs that we don't know, for one submission
constexpr std::size_t kMostTallies = 4096;        // kept of what owners told last
constexpr int kCancelTries = 3;                   // against changes made elsewhere meanwhile
constexpr std::size_t kTransactionRoom = 40'000;  // of the 64 KiB that a transaction may take
}  // namespace

void JobApi::retry(const ExchangePtr& x, const std::string& why) {
  spdlog::debug("user told to come again: {}", why);
  x->answer(503, wire::error_body(why), 1);
}

void JobApi::status(const ExchangePtr& x, const std::string& id) {
  ++requests_;
  tell(x, id);
}

void JobApi::cancel(const ExchangePtr& x, const std::string& id) {
  ++requests_;
  cancel(x, id, kCancelTries);
}

void JobApi::told(const share::StatusReply& t) {
  auto it = asks_.find(t.request);
  if (it == asks_.end()) return;
  const StatusWait wait = std::move(it->second);
  asks_.erase(it);
  // An owner that doesn't know the job yet (a share changes hands) has nothing to say of it.
  if (t.known) note_tally(wait.job, {t.done, t.running});
  answer(wait.exchange, 200, wait.job);
}

void JobApi::note_tally(const std::string& id, Tally tally) {
  if (tallies_.size() >= kMostTallies && !tallies_.contains(id)) tallies_.clear();
  tallies_[id] = tally;
}

/// Each answer that says how a job stands ends here: with the newest that this node knows at the moment at
/// which it is given, however long what it waited for has taken.
void JobApi::answer(const ExchangePtr& x, int code, const std::string& id) {
  if (answer_final(x, id)) return;
  const auto it = tallies_.find(id);
  const Tally tally = it == tallies_.end() ? Tally{0, 0} : it->second;
  x->answer(code, wire::status_body(id, tally.second > 0 ? JobStatus::running : JobStatus::queued,
                                    code == 201 ? std::nullopt : std::optional(tally)));
}

/// true: it is over, and its user is told so now or soon.
bool JobApi::answer_final(const ExchangePtr& x, const std::string& id) {
  const auto* known = needs_.records.job(id);
  // Told from the graph as soon as the cancellation above it is known; its own record follows.
  const bool doomed = needs_.records.graph().doomed(id);
  if (!doomed && !(known && known->final())) return false;
  tallies_.erase(id);
  const JobStatus status = known && known->final() ? known->status : JobStatus::cancelled;
  // What needs a cancelled job never had tasks. Of any other the owner may start tasks until it knows.
  if (status == JobStatus::cancelled && !doomed && !needs_.may_confirm(id))
    confirm(x, id, needs_.loop.now() + kPeerAnswer);
  else
    x->answer(200, wire::status_body(id, status));
  return true;
}

/// Waits for the owner's word, as long as for any peer's; a user who comes again may find that it came, or
/// that the owner's time to act has passed.
void JobApi::confirm(const ExchangePtr& x, const std::string& id, Micros until) {
  if (needs_.may_confirm(id)) return x->answer(200, wire::status_body(id, JobStatus::cancelled));
  if (needs_.loop.now() >= until) return retry(x, "the owner of its share may not know the cancellation yet");
  needs_.loop.call_later(kConfirmAgain, [this, x, id, until] { confirm(x, id, until); });
}

/// No submission is refused for good before the state service has said that its id isn't there: it may be a
/// retry of what another node accepted a moment ago, or a former version, or this one while the limits and
/// the list of machine types were others. That gets the job's state.
void JobApi::refuse(const ExchangePtr& x, int code, const std::string& id, const std::string& why) {
  if (!wire::valid_job_id(id)) return x->answer(code, wire::error_body(why));
  if (!needs_.records.synced()) return retry(x, "starting");
  if (needs_.records.job(id)) return tell(x, id);
  needs_.store.get(kJob + id, store::Urgency::accept, [this, x, code, id, why](int got, const wire::Row&) {
    if (got == 200) return tell(x, id);
    if (got != 404) return retry(x, "state service");
    x->answer(code, wire::error_body(why));
  });
}

void JobApi::submit(const ExchangePtr& x) {
  ++requests_;
  auto s = std::make_shared<Submission>();
  s->exchange = x;
  wire::JobSpec spec;
  try {
    spec = wire::parse_job(x->body());
  } catch (const wire::Malformed& e) {
    return refuse(x, 400, e.job, e.what());
  } catch (const std::exception& e) {
    return x->answer(400, wire::error_body(e.what()));
  }
  if (!needs_.records.synced()) return retry(x, "starting");
  if (needs_.records.job(spec.id)) return tell(x, spec.id);
  if (needs_.records.types().empty()) return retry(x, "machine types not known yet");
  if (const auto why = job::never_runs(spec, needs_.records.types(), platform_.teams); !why.empty())
    return refuse(x, 422, spec.id, why);
  if (needs_.store.overloaded()) return x->answer(429, wire::error_body("over budget"), 2);
  job::keep_known_types(spec, needs_.records.types());
  s->record.spec = std::make_shared<const wire::JobSpec>(std::move(spec));
  s->record.submitted = needs_.loop.time_of_day();
  check_needs(s);
}

/// Each needed job must have been accepted. What we don't know may have been accepted elsewhere just now:
/// only the state service's word counts.
void JobApi::check_needs(const std::shared_ptr<Submission>& s) {
  static const std::string kService = "a service that it needs can never be done";
  const auto& needs = s->record.spec->dependencies;
  for (; s->next_need < needs.size(); ++s->next_need) {
    const std::string& id = needs[s->next_need];
    if (const auto* known = needs_.records.job(id)) {
      if (known->spec && known->spec->shape == wire::Shape::service)
        return refuse(s->exchange, 422, s->record.spec->id, kService);
      continue;
    }
    if (++s->asked > kMostLookUps) return retry(s->exchange, "too many jobs to look up at once");
    needs_.store.get(kJob + id, store::Urgency::accept, [this, s, id](int code, const wire::Row& row) {
      if (code == 404)
        return refuse(s->exchange, 422, s->record.spec->id, "it needs " + id + ", which was never accepted");
      if (code != 200) return retry(s->exchange, "state service");
      try {
        const auto needed = job::record_from_json(row.value, row.version);
        if (needed.spec && needed.spec->shape == wire::Shape::service)
          return refuse(s->exchange, 422, s->record.spec->id, kService);
      } catch (const std::exception& e) {
        spdlog::error("job record {}: {}", id, e.what());
        return retry(s->exchange, "state service");
      }
      ++s->next_need;
      check_needs(s);
    });
    return;
  }
  accept(s);
}

void JobApi::accept(const std::shared_ptr<Submission>& s) {
  // The tag is new for each try: parts of a try that failed are never taken for this one's.
  // Nor those of our former process: the time of day may step back between the two, a late deletion of parts
  // of one of its tries may still be executed.
  s->tag = platform_.name + "-" + std::to_string(incarnation_) + "-" + std::to_string(++tags_);
  s->rows = job::rows_of(s->record, platform_.value_size_limit(), s->tag);
  s->record.parts = static_cast<std::uint32_t>(s->rows.parts.size());
  s->record.parts_tag = s->tag;
  write_record(s);
}

/// The parts first, in as many transactions as they take; the job is accepted with the record.
void JobApi::write_record(const std::shared_ptr<Submission>& s) {
  const std::string id = s->record.spec->id;
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  std::size_t bytes = 0;
  for (; s->next_part < s->rows.parts.size() && writes.size() < needs_.store.max_txn_ops(); ++s->next_part) {
    const std::string& part = s->rows.parts[s->next_part];
    if (!writes.empty() && bytes + part.size() > kTransactionRoom) break;
    bytes += part.size();
    const std::string key = kPart + id + "/" + s->tag + "/" + std::to_string(s->next_part);
    guards.push_back({key, 0});
    writes.push_back({key, part, {}, false});
  }
  const bool last = writes.empty();
  if (last) {
    guards.push_back({kJob + id, 0});
    writes.push_back({kJob + id, s->rows.value, {}, false});
  }
  needs_.store.commit(std::move(guards), std::move(writes), store::Urgency::accept,
                      [this, s, id, last](int code, std::uint64_t revision) {
                        if (code == 200 && !last) return write_record(s);
                        if (code == 200) {
                          s->record.version = revision;
                          needs_.records.set_job(id, s->record);
                          needs_.records.follow_graph();
                          needs_.poke();
                          // The answer may have come late: by now others may have told its user that it is
                          // over.
                          return answer(s->exchange, 201, id);
                        }
                        // Without an answer the record may be there, and needs its parts. So it may when it
                        // is there already: this may be the answer to a copy of our own request.
                        if (code != 0 && !(code == 409 && last)) needs_.records.drop_parts(id, s->record);
                        if (code == 409 && last) return accepted_before(s);
                        retry(s->exchange, "state service");
                      });
}

/// By another try, whose parts it has, or by this very one: only then are ours of use.
void JobApi::accepted_before(const std::shared_ptr<Submission>& s) {
  const std::string id = s->record.spec->id;
  if (s->record.parts > 0)
    needs_.store.get(kJob + id, store::Urgency::background, [this, s, id](int code, const wire::Row& row) {
      if (code != 200) return;  // they only lie there
      try {
        if (job::record_from_json(row.value, row.version).parts_tag != s->tag)
          needs_.records.drop_parts(id, s->record);
      } catch (const std::exception& e) {
        spdlog::error("job record {}: {}", id, e.what());
      }
    });
  tell(s->exchange, id);
}

void JobApi::tell(const ExchangePtr& x, const std::string& id) {
  if (answer_final(x, id)) return;
  if (!needs_.records.synced()) return retry(x, "starting");
  // What is not final may have become so elsewhere: only a fresh read may say that it has not. Of all records
  // at once, shared by all who ask meanwhile: a read for each poll took more than a node's part of the
  // requests where one node had all users, and they waited longer than they wait. A job that needs others may
  // be cancelled by a record far above it in any case.
  needs_.records.fresh_jobs([this, x, id](bool ok) {
    if (!ok) return retry(x, "state service");
    const auto* known = needs_.records.job(id);
    if (!known) return look_up(x, id);
    if (answer_final(x, id)) return;
    if (!known->spec || !needs_.records.graph().whole(id)) return retry(x, "still being read");
    if (!needs_.records.graph().ready(id)) return answer(x, 200, id);
    tell_tally(x, id);
  });
}

/// Only the state service's own word makes a 404: a record that we could not read is there all the same.
void JobApi::look_up(const ExchangePtr& x, const std::string& id) {
  needs_.store.get(kJob + id, store::Urgency::read, [this, x, id](int code, const wire::Row&) {
    if (code == 404) return x->answer(404, wire::error_body("no such job"));
    retry(x, code == 200 ? "still being read" : "state service");
  });
}

void JobApi::tell_tally(const ExchangePtr& x, const std::string& id) {
  const auto& own = needs_.owned_shares.ownership();
  const auto* known = needs_.records.job(id);
  const int share = known && known->spec ? own.share_of_team(known->spec->team) : -1;
  if (const auto* owned = needs_.owned_shares.find(share)) {
    if (const auto tally = owned->controller->task_counts(id)) note_tally(id, *tally);
  } else if (const OwnerKey* key = own.owner(share); key && key->node != platform_.name) {
    const std::uint32_t ask = ++asked_;
    if (needs_.peers.send(key->node, share::StatusRequest{ask, id})) {
      asks_[ask] = {x, id};
      needs_.loop.call_later(kPeerAnswer, [this, ask] {
        auto a = asks_.find(ask);
        if (a == asks_.end()) return;
        const StatusWait wait = std::move(a->second);
        asks_.erase(a);
        answer(wait.exchange, 200, wait.job);  // with what was told last
      });
      return;
    }
  }
  answer(x, 200, id);
}

void JobApi::cancel(const ExchangePtr& x, const std::string& id, int tries) {
  if (answer_final(x, id)) return;
  if (!needs_.records.synced() || tries == 0) return retry(x, "state service");
  needs_.store.get(kJob + id, store::Urgency::accept, [this, x, id, tries](int code, const wire::Row& row) {
    if (code == 404) return x->answer(404, wire::error_body("no such job"));
    if (code != 200) return retry(x, "state service");
    job::JobRecord record;
    try {
      record = job::record_from_json(row.value, row.version);
    } catch (const std::exception& e) {
      spdlog::error("job record {}: {}", id, e.what());
      return retry(x, "state service");
    }
    if (record.final()) {
      // Whoever tells a user of a cancellation knows it from then on, and tells the peers.
      needs_.records.set_job(id, std::move(record));
      needs_.records.follow_graph();
      needs_.poke();
      if (!answer_final(x, id)) retry(x, "state service");
      return;
    }
    record.status = JobStatus::cancelled;
    if (const auto* known = needs_.records.job(id); !record.spec && known) record.spec = known->spec;
    // `done` and `cancelled` race by the guard: one of them finds the record changed.
    needs_.store.commit({{kJob + id, row.version}},
                        {{kJob + id, job::cancelled_value(record, platform_.value_size_limit()), {}, false}},
                        store::Urgency::accept,
                        [this, x, id, tries, record](int commit, std::uint64_t revision) mutable {
                          if (commit == 409) return cancel(x, id, tries - 1);
                          if (commit != 200) return retry(x, "state service");
                          record.version = revision;
                          needs_.records.drop_parts(id, record);
                          needs_.records.set_job(id, std::move(record));
                          needs_.records.follow_graph();
                          // Ahead of the watch, which an outage may delay past the time a cancellation has.
                          needs_.cancelled(id);
                          needs_.poke();
                          if (!answer_final(x, id)) retry(x, "state service");
                        });
  });
}

}  // namespace aspenwick::app
