// What users and the load balancer ask of a node: submissions, status, withdrawals, readiness.
#include <spdlog/spdlog.h>

#include "app/controller.h"
#include "app/keys.h"

namespace aspenwick::app {

using share::HolderKey;
using wire::JobStatus;

namespace {
constexpr Micros kPeerAnswer = 300 * kMillisecond;
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
  job::JobRecord record;
  std::string id;
  try {
    auto spec = std::make_shared<wire::JobSpec>(wire::parse_job(x->body()));
    id = spec->id;
    record.spec = std::move(spec);
  } catch (const std::exception& e) {
    return x->answer(400, wire::error_body(e.what()));
  }
  if (!synced_) return retry(x, "starting");
  if (jobs_.contains(id)) return status(x, id);
  if (types_.empty()) return retry(x, "machine types not known yet");
  if (const auto why = job::never_runs(*record.spec, types_, platform_.teams); !why.empty())
    return x->answer(422, wire::error_body(why));
  if (store_.crowded()) return x->answer(429, wire::error_body("over budget"), 2);
  record.submitted = time_of_day();
  wire::Json value = job::record_to_json(record);
  if (value.dump().size() > platform_.value_bytes) return x->answer(400, wire::error_body("job too large"));
  store_.commit({{kJob + id, 0}}, {{kJob + id, std::move(value), {}, false}}, store::Urgency::user,
                [this, x, id, record](int code, std::uint64_t revision) mutable {
                  if (code == 200) {
                    record.version = revision;
                    if (!jobs_.contains(id)) {
                      jobs_[id] = record;
                      feed_job(id, record);
                      poke();
                    }
                    return x->answer(201, wire::status_body(id, JobStatus::queued));
                  }
                  if (code == 409) return status(x, id);
                  retry(x, "state service");
                });
}

void Controller::status(const ExchangePtr& x, const std::string& id) {
  auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.final())
    return x->answer(200, wire::status_body(id, it->second.status));
  // What is not final may have become so elsewhere: only a fresh read may say that it has not.
  store_.get(kJob + id, store::Urgency::read, [this, x, id](int code, const wire::Row& row) {
    if (code == 404) return x->answer(404, wire::error_body("no such job"));
    if (code != 200) return retry(x, "state service");
    try {
      const auto record = job::record_from_json(row.value, row.version);
      if (record.final()) return x->answer(200, wire::status_body(id, record.status));
    } catch (const std::exception& e) {
      spdlog::error("job record {}: {}", id, e.what());
      return retry(x, "state service");
    }
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
  if (!synced_ || tries == 0) return retry(x, "state service");
  store_.get(kJob + id, store::Urgency::user, [this, x, id, tries](int code, const wire::Row& row) {
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
    // `done` and `withdrawn` race by the guard: one of them finds the record changed.
    store_.commit({{kJob + id, row.version}}, {{kJob + id, job::record_to_json(record), {}, false}},
                  store::Urgency::user,
                  [this, x, id, tries, record](int commit, std::uint64_t revision) mutable {
                    if (commit == 409) return withdraw(x, id, tries - 1);
                    if (commit != 200) return retry(x, "state service");
                    record.version = revision;
                    jobs_[id] = record;
                    feed_job(id, record);
                    // Ahead of the watch, which an outage may delay past the time a cancellation has.
                    peers_->broadcast(share::WithdrawnTell{id});
                    poke();
                    x->answer(200, wire::status_body(id, JobStatus::withdrawn));
                  });
  });
}

}  // namespace aspenwick::app
