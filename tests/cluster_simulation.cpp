#include "cluster_simulation.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace aspenwick::testing {
namespace {
constexpr Micros kNetworkLatency = 2 * kMillisecond;
constexpr Micros kReportTimeout = 4 * kSecond;  // how long a worker waits for a response

}  // namespace

// ---------------------------------------------------------------- nodes

struct ClusterSimulation::Worker {
  std::string id, type, zone;
  bool spot = false;
  std::uint64_t tally = 0, token = 0, session = 1;
  std::string node = "a";
  std::uint64_t report_in_flight = 0;  // its number; 0: none
  Micros lease_ends = 0, hung_until = 0, unreachable_until = 0, reports_blocked_until = 0;
  bool running = false;
  std::uint16_t port = 0;
  struct Task {
    std::string end_cause;        // empty: it has not ended
    bool waits_for_gang = false;  // not all tasks of its gang are there yet
  };
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks;  // by task and attempt
};

/// Delivers a node's HTTP requests and its frames to peers, with the faults that are active. Port 6 is the
/// state service, port 5 the cloud; all others are workers.
class ClusterSimulation::NodeTransport : public net::Requester, public share::PeerTransport {
 public:
  NodeTransport(ClusterSimulation& sim, std::string node, net::Loop& loop)
      : sim_(sim), node_(std::move(node)), loop_(loop) {}
  void request(net::Method method, const wire::Endpoint& to, const std::string& path, const std::string& body,
               Micros deadline, net::ResponseCallback done) override {
    auto pending = std::make_shared<net::ResponseCallback>(std::move(done));
    std::function<void(int, const std::string&)> respond = [this, pending](int status,
                                                                           const std::string& text) {
      loop_.call_later(kNetworkLatency, [pending, status, text] {
        if (auto f = std::exchange(*pending, nullptr)) f(status, text);
      });
    };
    loop_.call_later(deadline, [pending] {
      if (auto f = std::exchange(*pending, nullptr)) f(0, "");
    });
    if (to.port == 6) {
      auto refused = [&sim = sim_, n = node_] {
        return sim.state_service_down || sim.nodes_refused_by_state_service.contains(n) ||
               (!sim.isolated_zone_.empty() && sim.node_in_isolated_zone_ == n);
      };
      if (!sim_.isolated_zone_.empty() && sim_.node_in_isolated_zone_ == node_) return;
      if (refused()) return respond(503, "{}");
      if (path == "/commit") sim_.sent_commits.push_back(body);
      if (path == "/commit" && sim_.drop_commit(body)) return;
      if (sim_.state_service_latency > 0) {
        const Micros half = sim_.state_service_latency / 2;
        const Micros delay = half + static_cast<Micros>(sim_.random() % static_cast<std::uint64_t>(half));
        respond = [this, respond, delay](int status, const std::string& text) {
          loop_.call_later(delay, [respond, status, text] { respond(status, text); });
        };
      }
      const auto [earliest, latest] = sim_.commit_delay_range;
      if (path == "/commit" && sim_.with_probability(sim_.commit_delay_rate))
        return sim_.engine.at(
            earliest + static_cast<Micros>(sim_.random() % static_cast<std::uint64_t>(latest - earliest)),
            [&sim = sim_, method, path, body] {
              sim.store.request(method, path, body, [](int, const auto&) {});
            });
      if (method != net::Method::get && sim_.with_probability(sim_.commit_duplicate_rate))
        sim_.engine.at(static_cast<Micros>(sim_.random() % (120 * kSecond)),
                       [&sim = sim_, method, path, body] {
                         sim.store.request(method, path, body, [](int, const auto&) {});
                       });
      if (sim_.duplicate_record_commits && body.find("\"set\":\"s/job/") != std::string::npos)
        sim_.store.request(method, path, body, [](int, const auto&) {});
      const bool lost = (path == "/commit" && (sim_.nodes_without_commit_responses.contains(node_) ||
                                               sim_.drop_commit_response(body))) ||
                        sim_.with_probability(sim_.state_response_loss_rate);
      sim_.store.request(
          method, path, body,
          [respond, lost](int status, const std::string& text) {
            if (!lost) respond(status, text);
          },
          [refused, open_watch = path.starts_with("/changes") && query_parameter(path, "holdMs") != "0",
           this] {
            return refused() || sim_.nodes_with_stalled_watches.contains(node_) ||
                   (open_watch && sim_.nodes_with_stalled_long_polls.contains(node_));
          });
    } else if (to.port == 5) {
      sim_.handle_cloud_request(method, path, body, respond);
    } else {
      sim_.push(node_, path, to, body, respond);
    }
  }
  bool send_bytes(const std::string& node, const std::string& frame) override {
    return deliver_frame(node, frame);
  }

 private:
  bool partitioned_from(const std::string& node) const {
    return sim_.nodes_cut_off_from_peers.contains(node) || sim_.nodes_cut_off_from_peers.contains(node_) ||
           (!sim_.isolated_zone_.empty() &&
            (node == sim_.node_in_isolated_zone_ || node_ == sim_.node_in_isolated_zone_));
  }
  bool deliver_frame(const std::string& node, const std::string& bytes);
  ClusterSimulation& sim_;
  std::string node_;
  net::Loop& loop_;
};

struct ClusterSimulation::Node {
  Node(ClusterSimulation& sim, const std::string& name)
      : platform(settings_of(name, sim.value_kb_)), loop(sim.engine), wire(sim, name, loop) {
    controller = std::make_unique<app::Controller>(
        platform, sim.settings_,
        app::Controller::Dependencies{loop, wire, wire, wire, ++sim.processes_started_});
  }
  static wire::PlatformSettings settings_of(const std::string& name, double value_kb) {
    auto j = settings_json();
    j["params"]["state"]["value_kb"] = value_kb;
    j["host_name"] = name;
    j["siblings"] = Json::array();
    for (const char* n : {"a", "b", "c"})
      if (n != name)
        j["siblings"].push_back({{"host_name", n}, {"location", "z1"}, {"peer_addr", "127.0.0.1:3"}});
    return wire::parse_settings(j.dump());
  }
  wire::PlatformSettings platform;
  SimulatedLoop loop;
  NodeTransport wire;
  std::unique_ptr<app::Controller> controller;
};

bool ClusterSimulation::NodeTransport::deliver_frame(const std::string& node, const std::string& bytes) {
  auto to = sim_.nodes_.find(node);
  if (to == sim_.nodes_.end()) return false;
  if (partitioned_from(node)) return true;
  if (sim_.nodes_with_held_frames.contains(node) || sim_.nodes_with_held_frames.contains(node_)) {
    sim_.held_frames_.emplace_back(node, bytes);
    return true;
  }
  to->second->loop.call_later(kNetworkLatency, [this, node, bytes, to = to->second.get()] {
    to->controller->handle_frame(share::decode(bytes), [this, node](const share::Frame& f) {
      if (partitioned_from(node)) return;
      loop_.call_later(kNetworkLatency, [this, f] {
        sim_.nodes_.at(node_)->controller->handle_frame(f, [](const share::Frame&) {});
      });
    });
  });
  return true;
}

void ClusterSimulation::release_frames() {
  nodes_with_held_frames.clear();
  for (const auto& [node, bytes] : std::exchange(held_frames_, {}))
    if (auto to = nodes_.find(node); to != nodes_.end())
      to->second->loop.call_later(kNetworkLatency, [bytes, n = to->second.get()] {
        n->controller->handle_frame(share::decode(bytes), [](const share::Frame&) {});
      });
}

/// A request to a node; throws if it is answered twice. Never answered if the node crashes first.
class ClusterSimulation::InProcessExchange : public net::Exchange {
 public:
  InProcessExchange(net::Method method, std::string path, std::string body,
                    std::function<void(int, const std::string&)> done)
      : method_(method), path_(std::move(path)), body_(std::move(body)), done_(std::move(done)) {}
  net::Method method() const override { return method_; }
  std::string path() const override { return path_; }
  std::string body() const override { return body_; }

 protected:
  void send(const Answer& a) override {
    if (!done_) throw std::logic_error("request answered twice: " + path_);
    std::exchange(done_, nullptr)(a.status, a.body);
  }

 private:
  net::Method method_;
  std::string path_, body_;
  std::function<void(int, const std::string&)> done_;
};

ClusterSimulation::ClusterSimulation(const app::OperatorSettings& settings, double value_kb)
    : settings_(settings), value_kb_(value_kb) {
  const auto workers = settings_json()["params"]["workers"];
  report_period_ = from_seconds(workers["report_s"].get<double>());
  worker_lease_ = from_seconds(workers["lease_s"].get<double>());
  cancel_time_ = from_seconds(workers["cancel_s"].get<double>());
  gang_start_timeout_ = from_seconds(workers["gang_wait_s"].get<double>());
  gang_peer_timeout_ = from_seconds(workers["gang_peer_s"].get<double>());
  store.on_key_set = [this](const std::string& key) {
    if (key != "s/leader") return;
    for (const auto& text : std::exchange(replayed_reports_, {}))
      for (const auto& [name, node] : nodes_) {
        auto exchange = std::make_shared<InProcessExchange>(net::Method::post, "/hello", text,
                                                            [](int, const std::string&) {});
        node->loop.call_later(kNetworkLatency + static_cast<Micros>(random() % 4) * 30 * kMillisecond,
                              [to = node.get(), exchange] { to->controller->handle_request(exchange); });
      }
  };
  check_waiting_jobs();
  for (const char* n : {"a", "b", "c"}) start(n);
}
ClusterSimulation::~ClusterSimulation() = default;

void ClusterSimulation::start(const std::string& node) { nodes_[node] = std::make_unique<Node>(*this, node); }

void ClusterSimulation::crash(const std::string& node) {
  auto it = nodes_.find(node);
  it->second->loop.crash();
  crashed_.push_back(std::move(it->second));
  nodes_.erase(it);
}

void ClusterSimulation::freeze(const std::string& node, Micros span) { nodes_.at(node)->loop.freeze(span); }

bool ClusterSimulation::no_node_frozen() const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [](const auto& n) { return n.second->loop.remaining_freeze() == 0; });
}

void ClusterSimulation::flap_state_service(Micros span) {
  constexpr Micros kDownTime = 700 * kMillisecond, kPeriod = 1300 * kMillisecond;
  if (span <= 0) return;
  state_service_down = true;
  engine.at(kDownTime, [this] { state_service_down = false; });
  engine.at(kPeriod, [this, span] { flap_state_service(span - kPeriod); });
}

void ClusterSimulation::block_reports_of_random_machine(Micros span) {
  if (Worker* w = random_machine()) w->reports_blocked_until = engine.now + span;
}

void ClusterSimulation::lose_random_machine() {
  Worker* w = random_machine();
  if (!w) return;
  lose_tasks(*w);
  w->hung_until = engine.now + 3600 * kSecond;
}

/// Removes all tasks of a machine, and the results that no node has acknowledged.
void ClusterSimulation::lose_tasks(Worker& w) {
  for (const auto& [key, t] : w.tasks)
    if (t.end_cause == "done") lost_results_.insert(key.first);
  w.tasks.clear();
}

std::vector<std::string> ClusterSimulation::machines_running(const std::string& job) const {
  std::vector<std::string> out;
  for (const auto& [id, w] : workers_)
    if (std::any_of(w.tasks.begin(), w.tasks.end(), [&](const auto& t) {
          return t.second.end_cause.empty() && t.first.first.starts_with(job + "/");
        }))
      out.push_back(id);
  return out;
}

void ClusterSimulation::hang(const std::string& machine, Micros span) {
  workers_.at(machine).hung_until = engine.now + span;
}
void ClusterSimulation::block_reports_of(const std::string& machine, Micros span) {
  workers_.at(machine).reports_blocked_until = engine.now + span;
}

void ClusterSimulation::isolate_zone(const std::string& zone, const std::string& node) {
  isolated_zone_ = zone, node_in_isolated_zone_ = node;
}
void ClusterSimulation::reconnect_zone() { isolated_zone_.clear(), node_in_isolated_zone_.clear(); }

std::vector<std::string> ClusterSimulation::machines() const {
  std::vector<std::string> out;
  for (const auto& [id, w] : workers_) out.push_back(id);
  return out;
}

ClusterSimulation::Worker* ClusterSimulation::random_machine() {
  if (workers_.empty()) return nullptr;
  auto it = workers_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random() % workers_.size()));
  return &it->second;
}

void ClusterSimulation::hang_random_machine(Micros span) {
  if (Worker* w = random_machine()) w->hung_until = engine.now + span;
}

void ClusterSimulation::block_messages_to_random_machine(Micros span) {
  if (Worker* w = random_machine()) w->unreachable_until = engine.now + span;
}

void ClusterSimulation::send(const std::string& node, net::Method method, const std::string& path,
                             const Json& body, std::function<void(const Response&)> on_response) {
  send_text(node, method, path, body.is_null() ? "" : body.dump(), std::move(on_response));
}

void ClusterSimulation::send_text(const std::string& node, net::Method method, const std::string& path,
                                  const std::string& body, std::function<void(const Response&)> on_response) {
  auto exchange = std::make_shared<InProcessExchange>(
      method, path, body, [on_response = std::move(on_response)](int status, const std::string& text) {
        on_response({status, Json::parse(text, nullptr, false)});
      });
  Node* to = nodes_.at(node).get();
  to->loop.call_later(kNetworkLatency, [to, exchange] { to->controller->handle_request(exchange); });
}

Response ClusterSimulation::call(const std::string& node, net::Method method, const std::string& path,
                                 const Json& body) {
  return call_text(node, method, path, body.is_null() ? "" : body.dump());
}

Response ClusterSimulation::call_text(const std::string& node, net::Method method, const std::string& path,
                                      const std::string& body) {
  auto response = std::make_shared<Response>();
  send_text(node, method, path, body, [response](const Response& a) { *response = a; });
  for (int i = 0; i < 500 && response->status == 0; ++i) engine.run_for(10 * kMillisecond);
  return *response;
}

// ---------------------------------------------------------------- cloud and workers

void ClusterSimulation::handle_cloud_request(net::Method method, const std::string& path,
                                             const std::string& body,
                                             const FakeStateService::ResponseCallback& done) {
  if (path == "/flavors") return done(200, wire::machine_types_to_json(machine_types()).dump());
  if (path.starts_with("/rentals?")) {
    Json rigs = Json::array();
    for (const auto& [id, w] : workers_)
      rigs.push_back({{"nameId", id},
                      {"endpoint", "127.0.0.1:" + std::to_string(w.port)},
                      {"rigtype", w.type},
                      {"site", w.zone},
                      {"loaner", w.spot},
                      {"status", "running"},
                      {"ageS", 1.0}});
    return done(200, Json{{"rigs", rigs}, {"hasNext", false}}.dump());
  }
  const Json request = Json::parse(body);
  if (path != "/rentals" || method != net::Method::post) {
    for (const auto& id : request.at("rigs")) workers_.erase(id.get<std::string>());
    return done(200, "{}");
  }
  if (workers_.size() >= max_machines) return done(503, R"({"error":"no capacity"})");
  Json ids = Json::array();
  for (int i = 0; i < request.at("count").get<int>() && workers_.size() < max_machines; ++i) {
    const std::string id = "i-" + std::to_string(100'000 + ++machines_created_);
    Worker& w = workers_[id];
    w.id = id, w.type = request.at("rigtype").get<std::string>(),
    w.zone = request.at("site").get<std::string>();
    w.spot = request.at("loaner").get<bool>();
    w.port = static_cast<std::uint16_t>(1000 + machines_created_);
    w.lease_ends = engine.now + boot_time + worker_lease_;
    ids.push_back(id);
    engine.at(boot_time, [this, id] {
      if (auto w = workers_.find(id); w != workers_.end()) w->second.running = true, report(w->second);
    });
  }
  done(200, Json{{"rigs", ids}}.dump());
}

Json ClusterSimulation::report_body(Worker& w) const {
  Json pieces = Json::array();
  for (const auto& [key, t] : w.tasks) {
    Json p{{"piece", key.first},
           {"try", key.second},
           {"status", !t.end_cause.empty() ? "ended"
                      : t.waits_for_gang   ? "waiting"
                                           : "running"}};
    if (!t.end_cause.empty()) p["cause"] = t.end_cause;
    pieces.push_back(std::move(p));
  }
  return {{"rig", w.id},        {"endpoint", "127.0.0.1:" + std::to_string(w.port)},
          {"rigtype", w.type},  {"site", w.zone},
          {"loaner", w.spot},   {"stint", w.session},
          {"tally", ++w.tally}, {"baton", w.token},
          {"pieces", pieces}};
}

/// If the worker's lease has run out, ends all of its tasks and begins a new session.
void ClusterSimulation::check_lease(Worker& w) {
  if (engine.now <= w.lease_ends) return;
  lose_tasks(w);
  ++w.session;
  w.lease_ends = engine.now + worker_lease_;
}

void ClusterSimulation::try_next_node(Worker& w) {
  if (nodes_.empty()) return;
  auto it = nodes_.upper_bound(w.node);
  w.node = it == nodes_.end() ? nodes_.begin()->first : it->first;
}

void ClusterSimulation::report(Worker& w) {
  const std::string id = w.id;
  const Micros next = w.hung_until > engine.now ? w.hung_until - engine.now : report_period_;
  engine.at(next, [this, id] {
    if (auto it = workers_.find(id); it != workers_.end()) report(it->second);
  });
  if (w.hung_until > engine.now) return;
  check_lease(w);
  for (const auto& [key, t] : w.tasks)
    if (t.end_cause.empty()) check_cancelled(w, key.first);
  if (w.report_in_flight != 0 || nodes_.empty()) return;  // one report in flight at a time
  if (const auto only = only_reachable_node.find(id); only != only_reachable_node.end())
    w.node = only->second;
  if (w.reports_blocked_until > engine.now || !nodes_.contains(w.node) || partitioned(w, w.node))
    return try_next_node(w);
  const bool lost = with_probability(report_loss_rate), response_lost = lost && with_probability(0.5);
  const std::uint64_t report_id = w.report_in_flight = w.tally + 1;
  engine.at(kReportTimeout, [this, id, report_id] {  // a later response is dropped
    auto it = workers_.find(id);
    if (it == workers_.end() || it->second.report_in_flight != report_id) return;
    it->second.report_in_flight = 0;
    try_next_node(it->second);
  });
  const Json body = report_body(w);
  if (lost && !response_lost) return;
  const Micros sent = engine.now;
  const std::uint64_t session = w.session;
  auto answered = [this, id, report_id, sent, session, response_lost, node = w.node](
                      int status, const std::string& text) {
    if (response_lost) return;
    engine.at(
        kNetworkLatency, [this, id, report_id, sent, session, status, text, node, answered_at = engine.now] {
          auto it = workers_.find(id);
          if (it == workers_.end() || it->second.hung_until > engine.now ||
              it->second.report_in_flight != report_id)
            return;
          Worker& worker = it->second;
          if (worker.unreachable_until > engine.now || partitioned(worker, node)) return;
          worker.report_in_flight = 0;
          check_lease(worker);
          const Json j = Json::parse(text);
          if (status == 421)
            worker.node = j.at("foreman").get<std::string>();
          else if (status != 200)
            try_next_node(worker);
          if (status != 200 || session != worker.session || j.at("baton").get<std::uint64_t>() < worker.token)
            return;
          worker.token = j.at("baton").get<std::uint64_t>();
          worker.lease_ends = std::max(worker.lease_ends, sent + worker_lease_);
          for (const auto& o : j.at("orders")) execute_order(worker, o, answered_at);
        });
  };
  auto send = [this](Node* to, const std::string& text, std::function<void(int, const std::string&)> done) {
    auto exchange = std::make_shared<InProcessExchange>(net::Method::post, "/hello", text, std::move(done));
    to->loop.call_later(std::max(kNetworkLatency, report_latency),
                        [to, exchange] { to->controller->handle_request(exchange); });
  };
  send(nodes_.at(w.node).get(), body.dump(), answered);
  if (with_probability(report_replay_rate)) replayed_reports_.push_back(body.dump());
  if (with_probability(report_duplicate_rate))
    engine.at(static_cast<Micros>(random() % static_cast<std::uint64_t>(3 * worker_lease_)),
              [this, send, text = body.dump(), which = random()] {
                if (nodes_.empty()) return;
                auto to = nodes_.begin();
                std::advance(to, static_cast<std::ptrdiff_t>(which % nodes_.size()));
                send(to->second.get(), text, [](int, const std::string&) {});
              });
}

void ClusterSimulation::push(const std::string& node, const std::string& path, const wire::Endpoint& to,
                             const std::string& body, const FakeStateService::ResponseCallback& done) {
  if (path != "/do" || with_probability(push_loss_rate)) return;
  const bool delayed = with_probability(push_delay_rate);
  const Micros delay = delayed ? static_cast<Micros>(random() % (120 * kSecond)) : kNetworkLatency;
  const bool response_lost = delayed || with_probability(push_loss_rate);
  auto ignore_response = [](int, const std::string&) {};
  for (const auto& [id, w] : workers_)
    if (w.port == to.port && partitioned(w, node)) return;
  const Micros sent = engine.now;
  engine.at(delay, [this, to, body, sent, done, response_lost, ignore_response] {
    deliver_push(to, body, sent, response_lost ? ignore_response : done);
  });
  if (with_probability(push_duplicate_rate))
    engine.at(delay + static_cast<Micros>(random() % (120 * kSecond)),
              [this, to, body, sent, ignore_response] { deliver_push(to, body, sent, ignore_response); });
}

void ClusterSimulation::deliver_push(const wire::Endpoint& to, const std::string& body, Micros sent,
                                     const FakeStateService::ResponseCallback& done) {
  for (auto& [id, w] : workers_) {
    if (w.port != to.port) continue;
    if (w.hung_until > engine.now || w.unreachable_until > engine.now || only_reachable_node.contains(id))
      return;
    check_lease(w);
    const Json j = Json::parse(body);
    const bool accepted =
        j.at("baton").get<std::uint64_t>() >= w.token && j.at("stint").get<std::uint64_t>() == w.session;
    if (accepted) {
      w.token = j.at("baton").get<std::uint64_t>();
      for (const auto& o : j.at("orders")) execute_order(w, o, sent);
    }
    return done(accepted ? 200 : 409, report_body(w).dump());
  }
}

/// Records the start of a completed task whose result was not lost.
void ClusterSimulation::check_rerun(const Worker& w, const std::string& task) {
  if (!completed.contains(task) || lost_results_.contains(task)) return;
  const auto machine = workers_.find(completed_on_[task]);
  if (machine != workers_.end() && engine.now > machine->second.lease_ends) return;
  if (needless_reruns++ == 0)
    first_needless_rerun = task + " on " + w.id + ", done on " + completed_on_[task] + " at " +
                           std::to_string(to_seconds(engine.now));
}

/// Records a task that is on a machine longer than the cancellation timeout after the user was told. It
/// counts whether it has just been started or has not been stopped yet.
void ClusterSimulation::check_cancelled(const Worker& w, const std::string& task) {
  const auto cancellation = cancelled.find(task.substr(0, task.find('/')));
  if (cancellation != cancelled.end() && engine.now > cancellation->second + cancel_time_ &&
      ran_after_cancellation.empty())
    ran_after_cancellation = task + " on " + w.id + " at " + std::to_string(to_seconds(engine.now));
}

/// Records a start on a machine that the job forbids, or one that exceeds the team's limits.
void ClusterSimulation::check_placement(const Worker& w, const std::string& task) {
  const std::string id = task.substr(0, task.find('/'));
  if (const auto cancellation = cancelled.find(id);
      cancellation != cancelled.end() &&
      engine.now - cancellation->second > latest_start_after_cancellation) {
    latest_start_after_cancellation = engine.now - cancellation->second;
    latest_cancelled_start = task + " on " + w.id + " at " + std::to_string(to_seconds(engine.now));
  }
  const auto job = submitted.find(id);
  if (job == submitted.end() || !placement_violation.empty()) return;
  const Json& j = job->second;
  if (!j.at("site").is_null() && j.at("site") != w.zone) placement_violation = "wrong zone: " + task;
  if (w.spot && !j.at("loaner").get<bool>())
    placement_violation = "on a spot machine that the job forbids: " + task;
  double cpus_limit = 0, gpus_limit = 0;
  double cpus = j.at("vcpus").get<double>(), gpus = j.at("cards").get<double>();
  const Json settings = settings_json();
  for (const auto& t : settings.at("params").at("teams"))
    if (t.at("name") == j.at("owner"))
      cpus_limit = t.at("cpus_max").get<double>(), gpus_limit = t.at("gpus_max").get<double>();
  for (const auto& [other_id, other] : workers_)
    for (const auto& [key, t] : other.tasks) {
      const std::string other_job_id = key.first.substr(0, key.first.find('/'));
      const auto other_job = submitted.find(other_job_id);
      if (!t.end_cause.empty() || engine.now > other.lease_ends || other_job == submitted.end()) continue;
      if (j.at("together").get<bool>() && other_job_id == id && other.zone != w.zone)
        placement_violation = "in a second zone: " + task;
      if (other_job->second.at("owner") != j.at("owner")) continue;
      cpus += other_job->second.at("vcpus").get<double>(),
          gpus += other_job->second.at("cards").get<double>();
    }
  if (cpus_limit > 0 && cpus > cpus_limit + 0.001) placement_violation = "over the team's CPU limit: " + task;
  if (gpus_limit > 0 && gpus > gpus_limit + 0.001) placement_violation = "over the team's GPU limit: " + task;
}

/// Records an order to start a task that left its node after the user was told of the cancellation.
void ClusterSimulation::check_order_time(const Worker& w, const std::string& task, Micros ordered_at) {
  const auto cancellation = cancelled.find(task.substr(0, task.find('/')));
  if (cancellation == cancelled.end() || ordered_at - cancellation->second <= latest_order_after_cancellation)
    return;
  latest_order_after_cancellation = ordered_at - cancellation->second;
  latest_cancelled_order = task + " on " + w.id + " at " + std::to_string(to_seconds(engine.now));
}

/// Whether the condition has held for 5 s. Shorter free capacity, as between the end of a task and the start
/// of the next, doesn't count as left unused.
bool ClusterSimulation::has_lasted(const std::string& condition, bool holds) {
  if (!holds) {
    condition_since_.erase(condition);
    return false;
  }
  return engine.now - condition_since_.try_emplace(condition, engine.now).first->second >= 5 * kSecond;
}

/// Whether this many more tasks of the job fit on running, reachable machines and within its team's limits,
/// and did so for 5 s. Tasks of a job that must stay together have to fit in one zone.
bool ClusterSimulation::has_capacity(const Json& j, int tasks) {
  const auto job = j.at("nameId").get<std::string>();
  const double cpus = j.at("vcpus").get<double>(), gpus = j.at("cards").get<double>(),
               memory = j.at("ramGb").get<double>();
  double cpus_used = cpus * tasks, gpus_used = gpus * tasks;
  std::map<std::string, int> by_zone;
  for (const auto& [id, w] : workers_) {
    double free_cpus = 0, free_gpus = 0, free_memory = 0;
    for (const auto& t : machine_types())
      if (t.name == w.type)
        free_cpus = static_cast<double>(t.total.cpus) / 1e6,
        free_gpus = static_cast<double>(t.total.gpus) / 1e6,
        free_memory = static_cast<double>(t.total.memory) / 1e6;
    for (const auto& [key, t] : w.tasks) {
      const auto other_job = submitted.find(key.first.substr(0, key.first.find('/')));
      if (!t.end_cause.empty() || engine.now > w.lease_ends || other_job == submitted.end()) continue;
      const Json& other = other_job->second;
      free_cpus -= other.at("vcpus").get<double>(), free_gpus -= other.at("cards").get<double>();
      free_memory -= other.at("ramGb").get<double>();
      if (other.at("owner") != j.at("owner")) continue;
      cpus_used += other.at("vcpus").get<double>(), gpus_used += other.at("cards").get<double>();
    }
    const bool allowed =
        w.running && engine.now <= w.lease_ends &&
        std::max({w.hung_until, w.unreachable_until, w.reports_blocked_until}) <= engine.now &&
        (j.at("site").is_null() || j.at("site") == w.zone) && (!w.spot || j.at("loaner").get<bool>());
    int slots = 0;
    while (allowed && cpus <= free_cpus && gpus <= free_gpus && memory <= free_memory) {
      free_cpus -= cpus, free_gpus -= gpus, free_memory -= memory;
      ++slots;
    }
    if (has_lasted(job + " on " + id, slots > 0))
      by_zone[j.at("together").get<bool>() ? w.zone : ""] += slots;
  }
  const Json settings = settings_json();
  for (const auto& t : settings.at("params").at("teams")) {
    if (t.at("name") != j.at("owner")) continue;
    const double max_cpus = t.at("cpus_max").get<double>(), max_gpus = t.at("gpus_max").get<double>();
    const bool over_limit =
        (max_cpus > 0 && cpus_used > max_cpus) || (max_gpus > 0 && gpus > 0 && gpus_used > max_gpus);
    if (!has_lasted(job + " of its team", !over_limit)) return false;
  }
  return std::any_of(by_zone.begin(), by_zone.end(), [&](const auto& z) { return z.second >= tasks; });
}

/// Every second, records jobs that have waited too long: none of their tasks started although there was
/// capacity for them all the while.
void ClusterSimulation::check_waiting_jobs() {
  engine.at(kSecond, [this] { check_waiting_jobs(); });
  spdlog::debug("---- simulated time {} s", engine.now / kSecond);
  if (!tracking_waits_) return;
  std::set<std::string> present;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w.tasks)
      if (t.end_cause.empty() && engine.now <= w.lease_ends) present.insert(key.first);
  for (const auto& id : open_jobs) {
    const Json& j = submitted.at(id);
    const int tasks = j.at("pieces").get<int>();
    int waiting = 0, started = 0;
    for (int i = 0; i < tasks; ++i) {
      const std::string task = id + "/" + std::to_string(i);
      waiting += !completed.contains(task) && !present.contains(task);
      if (const auto s = starts.find(task); s != starts.end()) started += s->second;
    }
    bool open = waiting > 0 && !cancelled.contains(id);
    if (const auto n = dependency_of.find(id); n != dependency_of.end()) {
      const auto dependency_record = store.keys.find("s/job/" + n->second);
      open =
          open && dependency_record != store.keys.end() && dependency_record->second.value.at("st") == "done";
    }
    // Gangs start as a whole: none waits while a part of its tasks is still there.
    open = open && (j.at("shape") != "group" || waiting == tasks);
    if (!open || !has_capacity(j, j.at("shape") == "group" ? tasks : 1)) {
      waiting_since_.erase(id);
      continue;
    }
    auto& [since, starts_then] = waiting_since_.try_emplace(id, engine.now, started).first->second;
    if (started != starts_then) since = engine.now, starts_then = started;
    longest_wait = std::max(longest_wait, engine.now - since);
    if (engine.now - since <= max_wait || !starved_job.empty()) continue;
    starved_job = id + " at " + std::to_string(to_seconds(engine.now)) + ": " + j.dump();
    for (const auto& [name, w] : workers_) {
      const auto record = store.keys.find("s/machine/" + name);
      starved_job += "\n" + name + " " + w.type + " " + w.zone + (w.spot ? " spot" : "") + " of share " +
                     (record == store.keys.end() ? "none" : record->second.value.at("share").dump()) + ":";
      for (const auto& [key, t] : w.tasks)
        starved_job +=
            " " + key.first + (t.end_cause.empty() ? t.waits_for_gang ? " waiting" : "" : " " + t.end_cause);
    }
  }
}

// ---------------------------------------------------------------- gangs

const std::string& ClusterSimulation::zone_of(const Worker& w) { return w.zone; }

bool ClusterSimulation::is_gang(const std::string& task) const {
  const auto job = submitted.find(task.substr(0, task.find('/')));
  return job != submitted.end() && job->second.at("shape") == "group";
}

/// The running tasks of a gang's attempt, with their machines.
std::vector<std::pair<ClusterSimulation::Worker*, std::string>> ClusterSimulation::gang_members(
    const std::string& job, std::uint64_t attempt) {
  std::vector<std::pair<Worker*, std::string>> out;
  for (auto& [id, w] : workers_)
    for (const auto& [key, t] : w.tasks)
      if (key.second == attempt && t.end_cause.empty() && engine.now <= w.lease_ends &&
          key.first.starts_with(job + "/"))
        out.emplace_back(&w, key.first);
  return out;
}

/// Lets a gang run once all of its tasks are there.
void ClusterSimulation::run_gang_if_complete(const std::string& job, std::uint64_t attempt) {
  const auto all = gang_members(job, attempt);
  if (static_cast<int>(all.size()) < submitted.at(job).at("pieces").get<int>()) return;
  for (const auto& [w, task] : all) w->tasks.at({task, attempt}).waits_for_gang = false;
  monitor_gang(job, attempt, engine.now + run_time);
}

/// Completes all tasks of a gang together. If one is gone or its machine hangs, the others end within the
/// peer timeout.
void ClusterSimulation::monitor_gang(const std::string& job, std::uint64_t attempt, Micros ends) {
  const auto all = gang_members(job, attempt);
  const bool all_running =
      static_cast<int>(all.size()) == submitted.at(job).at("pieces").get<int>() &&
      std::none_of(all.begin(), all.end(), [&](const auto& m) { return m.first->hung_until > engine.now; });
  if (all_running && engine.now < ends)
    return engine.at(std::min<Micros>(kSecond, ends - engine.now),
                     [this, job, attempt, ends] { monitor_gang(job, attempt, ends); });
  if (all_running) {
    for (const auto& [w, task] : all) complete_task(*w, {task, attempt});
    return;
  }
  engine.at(static_cast<Micros>(random() % static_cast<std::uint64_t>(gang_peer_timeout_)),
            [this, job, attempt] {
              for (const auto& [w, task] : gang_members(job, attempt))
                w->tasks.at({task, attempt}).end_cause = "mates_gone";
            });
}

void ClusterSimulation::complete_task(Worker& w, const std::pair<std::string, std::uint64_t>& key) {
  w.tasks.at(key).end_cause = "done";
  completed_on_[key.first] = w.id;
  lost_results_.erase(key.first);
  if (completed.insert(key.first).second) on_completed(key.first);
}

void ClusterSimulation::execute_order(Worker& w, const Json& order, Micros ordered_at) {
  const auto verb = order.at("verb").get<std::string>(), task = order.at("piece").get<std::string>();
  const auto attempt = order.at("try").get<std::uint64_t>();
  const std::pair key{task, attempt};
  auto existing = w.tasks.find(key);
  if (verb == "forget") {
    if (existing != w.tasks.end() && !existing->second.end_cause.empty()) w.tasks.erase(existing);
    return;
  }
  if (verb == "halt") {
    if (existing != w.tasks.end() && existing->second.end_cause.empty())
      existing->second.end_cause = "stopped";
    return;
  }
  if (existing != w.tasks.end()) return;
  for (const auto& [other, t] : w.tasks)
    if (other.first == task && t.end_cause.empty()) {
      w.tasks[key] = {"in_use"};
      return;
    }
  for (auto& [id, other] : workers_) {
    if (engine.now > other.lease_ends)
      continue;  // its tasks have ended, but it has not checked its lease yet
    for (const auto& [old, t] : other.tasks)
      if (old.first == task && t.end_cause.empty() && concurrent_runs++ == 0)
        first_concurrent_run = task + "@" + std::to_string(attempt) + " on " + w.id + ", " +
                               std::to_string(old.second) + " on " + id + " at " +
                               std::to_string(to_seconds(engine.now));
  }
  ++starts[task];
  check_rerun(w, task);
  check_cancelled(w, task);
  check_placement(w, task);
  check_order_time(w, task, ordered_at);
  attempts.insert(attempt);
  w.tasks[key] = {};
  if (is_gang(task)) {
    w.tasks[key].waits_for_gang = true;
    engine.at(gang_start_timeout_, [this, id = w.id, key] {
      auto it = workers_.find(id);
      if (it == workers_.end()) return;
      if (auto t = it->second.tasks.find(key);
          t != it->second.tasks.end() && t->second.end_cause.empty() && t->second.waits_for_gang)
        t->second.end_cause = "incomplete";
    });
    return run_gang_if_complete(task.substr(0, task.find('/')), attempt);
  }
  const bool fails = with_probability(task_failure_rate);
  const Micros spread =
      run_time_spread > 0
          ? static_cast<Micros>(std::hash<std::string>{}(task) % static_cast<std::size_t>(run_time_spread))
          : 0;
  engine.at(fails ? run_time / 2 : run_time + spread, [this, id = w.id, key, fails] {
    auto it = workers_.find(id);
    if (it == workers_.end()) return;
    auto t = it->second.tasks.find(key);
    if (t == it->second.tasks.end() || !t->second.end_cause.empty()) return;
    if (fails)
      t->second.end_cause = "error";
    else
      complete_task(it->second, key);
  });
}

}  // namespace aspenwick::testing
