// What users and the load balancer ask of a node: submissions, status, withdrawals, readiness.
#include <spdlog/spdlog.h>

#include "app/controller.h"
#include "app/keys.h"

namespace aspenwick::app {

using share::HolderKey;
using wire::JobStatus;

namespace {
constexpr Micros kPeerAnswer = 300 * kMillisecond;
constexpr int kMostLookUps = 32;                  // of needed jobs that we don't know, for one submission
constexpr std::size_t kTransactionRoom = 40'000;  // of the 64 KiB that a transaction may take
}  // namespace

void Controller::route(const ExchangePtr& x) {
  const std::string path = x->path();
  const bool get = x->method() == EVHTTP_REQ_GET, post = x->method() == EVHTTP_REQ_POST;
  static const std::string kJobs = "/v1/jobs";
  if (path == "/hello") return post ? report(x) : x->refuse_method("POST");
  if (path == "/ready") return get ? ready(x) : x->refuse_method("GET");
  if (path == kJobs) return post ? submit(x) : x->refuse_method("POST");
  if (path.starts_with(kJobs + "/")) {
    std::string id = path.substr(kJobs.size() + 1);
    static const std::string kWithdraw = "/withdraw";
    const bool to_withdraw = id.ends_with(kWithdraw);
    if (to_withdraw) id.resize(id.size() - kWithdraw.size());
    if (id.find('/') != std::string::npos || id.empty())
      return x->answer(404, wire::error_body("no such path"));
    if (to_withdraw ? !post : !get) return x->refuse_method(to_withdraw ? "POST" : "GET");
    if (!wire::valid_job_id(id)) return x->answer(404, wire::error_body("no such job"));
    ++count_users_;
    return to_withdraw ? withdraw(x, id, 3) : status(x, id);
  }
  x->answer(404, wire::error_body("no such path"));
}

void Controller::retry(const ExchangePtr& x, const std::string& why) {
  spdlog::debug("user told to come again: {}", why);
  x->answer(503, wire::error_body(why), 1);
}

void Controller::ready(const ExchangePtr& x) {
  // A common outage leaves nothing better to send users to; a node refused alone steps aside.
  if (!synced_) return x->answer(503, wire::error_body("starting"));
  if (own_.refused_alone(now())) return x->answer(503, wire::error_body("no state service"));
  x->answer(200, R"({"ready":true})");
}

void Controller::submit(const ExchangePtr& x) {
  ++count_users_;
  auto s = std::make_shared<Submission>();
  s->exchange = x;
  wire::JobSpec spec;
  try {
    spec = wire::parse_job(x->body());
  } catch (const wire::BadNeeds& e) {
    if (synced_ && jobs_.contains(e.id)) return status(x, e.id);
    return x->answer(400, wire::error_body(e.what()));
  } catch (const std::exception& e) {
    return x->answer(400, wire::error_body(e.what()));
  }
  if (!synced_) return retry(x, "starting");
  if (jobs_.contains(spec.id)) return status(x, spec.id);
  if (types_.empty()) return retry(x, "machine types not known yet");
  if (const auto why = job::never_runs(spec, types_, platform_.teams); !why.empty())
    return x->answer(422, wire::error_body(why));
  if (store_.crowded()) return x->answer(429, wire::error_body("over budget"), 2);
  job::keep_known_types(spec, types_);
  s->record.spec = std::make_shared<const wire::JobSpec>(std::move(spec));
  s->record.submitted = time_of_day();
  check_needs(s);
}

/// Each needed job must have been accepted. What we don't know may have been accepted elsewhere just now:
/// only the state service's word counts.
void Controller::check_needs(const std::shared_ptr<Submission>& s) {
  static const std::string kService = "a service that it needs can never be done";
  const auto& needs = s->record.spec->needs;
  for (; s->next_need < needs.size(); ++s->next_need) {
    const std::string& id = needs[s->next_need];
    if (auto it = jobs_.find(id); it != jobs_.end()) {
      if (it->second.spec && it->second.spec->shape == wire::Shape::service)
        return s->exchange->answer(422, wire::error_body(kService));
      continue;
    }
    if (++s->asked > kMostLookUps) return retry(s->exchange, "too many jobs to look up at once");
    store_.get(kJob + id, store::Urgency::accept, [this, s, id](int code, const wire::Row& row) {
      if (code == 404) return never_accepted(s, id);
      if (code != 200) return retry(s->exchange, "state service");
      try {
        const auto needed = job::record_from_json(row.value, row.version);
        if (needed.spec && needed.spec->shape == wire::Shape::service)
          return s->exchange->answer(422, wire::error_body(kService));
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

/// 422, unless this is a retry of what another node has accepted: that gets its state, whatever its list
/// holds.
void Controller::never_accepted(const std::shared_ptr<Submission>& s, const std::string& need) {
  const std::string id = s->record.spec->id;
  store_.get(kJob + id, store::Urgency::accept, [this, s, id, need](int code, const wire::Row&) {
    if (code == 200) return status(s->exchange, id);
    if (code != 404) return retry(s->exchange, "state service");
    s->exchange->answer(422, wire::error_body("it needs " + need + ", which was never accepted"));
  });
}

void Controller::accept(const std::shared_ptr<Submission>& s) {
  // The tag is new for each try: parts of a try that failed are never taken for this one's.
  s->tag = platform_.name + "-" + std::to_string(time_of_day()) + "-" + std::to_string(++tags_);
  s->rows = job::rows_of(s->record, platform_.value_room(), s->tag);
  s->record.parts = static_cast<std::uint32_t>(s->rows.parts.size());
  s->record.parts_tag = s->tag;
  write_record(s);
}

/// The parts first, in as many transactions as they take; the job is accepted with the record.
void Controller::write_record(const std::shared_ptr<Submission>& s) {
  const std::string id = s->record.spec->id;
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  std::size_t bytes = 0;
  for (; s->next_part < s->rows.parts.size() && writes.size() < store_.txn_ops(); ++s->next_part) {
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
  store_.commit(
      std::move(guards), std::move(writes), store::Urgency::accept,
      [this, s, id, last](int code, std::uint64_t revision) {
        if (code == 200 && !last) return write_record(s);
        if (code == 200) {
          s->record.version = revision;
          if (auto it = jobs_.find(id); it == jobs_.end() || (!it->second.final() && !it->second.spec)) {
            set_job(id, s->record);
            follow_graph();
            poke();
          }
          return s->exchange->answer(
              201, wire::status_body(id, graph_.doomed(id) ? JobStatus::withdrawn : JobStatus::queued));
        }
        // Without an answer the record may be there, and needs its parts.
        if (code != 0) drop_parts(id, s->record);
        if (code == 409 && last) return status(s->exchange, id);
        retry(s->exchange, "state service");
      });
}

void Controller::status(const ExchangePtr& x, const std::string& id) {
  if (auto it = jobs_.find(id); it != jobs_.end()) {
    if (it->second.final()) return x->answer(200, wire::status_body(id, it->second.status));
    // Told from the graph as soon as the cancellation above it is known; its own record follows.
    if (graph_.doomed(id)) return x->answer(200, wire::status_body(id, JobStatus::withdrawn));
    if (!it->second.spec || !it->second.spec->needs.empty()) return status_below(x, id);
  }
  // What is not final may have become so elsewhere: only a fresh read may say that it has not.
  store_.get(kJob + id, store::Urgency::read, [this, x, id](int code, const wire::Row& row) {
    if (code == 404) return x->answer(404, wire::error_body("no such job"));
    if (code != 200) return retry(x, "state service");
    try {
      const auto record = job::record_from_json(row.value, row.version);
      if (record.final()) return x->answer(200, wire::status_body(id, record.status));
      if (!record.spec || !record.spec->needs.empty()) return status_below(x, id);
    } catch (const std::exception& e) {
      spdlog::error("job record {}: {}", id, e.what());
      return retry(x, "state service");
    }
    tell_status(x, id);
  });
}

/// A job that needs others may be withdrawn by a record far above it, and another node may have said so
/// already: anything but a final state needs a fresh word on all of them, not on its own record alone.
void Controller::status_below(const ExchangePtr& x, const std::string& id) {
  fresh_jobs([this, x, id](bool ok) {
    auto it = jobs_.find(id);
    if (!ok || it == jobs_.end()) return retry(x, "state service");
    if (it->second.final()) return x->answer(200, wire::status_body(id, it->second.status));
    if (graph_.doomed(id)) return x->answer(200, wire::status_body(id, JobStatus::withdrawn));
    if (!it->second.spec || !graph_.whole(id)) return retry(x, "still being read");
    if (!graph_.ready(id)) return x->answer(200, wire::status_body(id, JobStatus::queued, std::pair{0U, 0U}));
    tell_status(x, id);
  });
}

void Controller::tell_status(const ExchangePtr& x, const std::string& id) {
  auto it = jobs_.find(id);
  const int share = it != jobs_.end() && it->second.spec ? own_.share_of_team(it->second.spec->team) : -1;
  std::pair<std::uint32_t, std::uint32_t> tally{0, 0};
  if (auto h = held_.find(share); h != held_.end() && h->second.holder)
    tally = h->second.holder->tally(id).value_or(tally);
  else if (const HolderKey* key = own_.holder(share); key && key->node != platform_.name) {
    const std::uint32_t ask = ++asked_;
    if (peers_->send(key->node, share::StatusAsk{ask, id})) {
      asks_[ask] = {x, id};
      later(kPeerAnswer, [this, ask] {
        auto a = asks_.find(ask);
        if (a == asks_.end()) return;
        a->second.exchange->answer(200,
                                   wire::status_body(a->second.job, JobStatus::queued, std::pair{0U, 0U}));
        asks_.erase(a);
      });
      return;
    }
  }
  x->answer(200, wire::status_body(id, tally.second > 0 ? JobStatus::running : JobStatus::queued, tally));
}

void Controller::withdraw(const ExchangePtr& x, const std::string& id, int tries) {
  auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.final())
    return x->answer(200, wire::status_body(id, it->second.status));
  if (graph_.doomed(id)) return x->answer(200, wire::status_body(id, JobStatus::withdrawn));
  if (!synced_ || tries == 0) return retry(x, "state service");
  store_.get(kJob + id, store::Urgency::accept, [this, x, id, tries](int code, const wire::Row& row) {
    if (code == 404) return x->answer(404, wire::error_body("no such job"));
    if (code != 200) return retry(x, "state service");
    job::JobRecord record;
    try {
      record = job::record_from_json(row.value, row.version);
    } catch (const std::exception& e) {
      spdlog::error("job record {}: {}", id, e.what());
      return retry(x, "state service");
    }
    if (record.final()) return x->answer(200, wire::status_body(id, record.status));
    record.status = JobStatus::withdrawn;
    if (auto known = jobs_.find(id); !record.spec && known != jobs_.end()) record.spec = known->second.spec;
    // `done` and `withdrawn` race by the guard: one of them finds the record changed.
    store_.commit({{kJob + id, row.version}},
                  {{kJob + id, job::withdrawn_value(record, platform_.value_room()), {}, false}},
                  store::Urgency::accept,
                  [this, x, id, tries, record](int commit, std::uint64_t revision) mutable {
                    if (commit == 409) return withdraw(x, id, tries - 1);
                    if (commit != 200) return retry(x, "state service");
                    record.version = revision;
                    drop_parts(id, record);
                    set_job(id, std::move(record));
                    follow_graph();
                    // Ahead of the watch, which an outage may delay past the time a cancellation has.
                    peers_->broadcast(share::WithdrawnTell{id});
                    poke();
                    x->answer(200, wire::status_body(id, JobStatus::withdrawn));
                  });
  });
}

}  // namespace aspenwick::app
