#include "small_world.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace aspenwick::testing {
namespace {
constexpr Micros kTrip = 2 * kMillisecond;
constexpr Micros kNoAnswer = 4 * kSecond;  // of a node to a worker's report

}  // namespace

// ---------------------------------------------------------------- nodes

struct SmallWorld::Worker {
  std::string id, type, zone;
  bool spot = false;
  std::uint64_t tally = 0, token = 0, session = 1;
  std::string node = "a";
  std::uint64_t asked = 0;  // the report in flight; 0: none
  Micros lease_ends = 0, hangs_until = 0, deaf_until = 0, mute_until = 0;
  bool up = false;
  std::uint16_t port = 0;
  struct Task {
    std::string cause;   // empty: it is there
    bool waits = false;  // for the rest of its gang
  };
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks;  // by task and attempt
};

/// What a node sends over HTTP, and its frames.
class SmallWorld::Wire : public net::Requester, public share::PeerTransport {
 public:
  Wire(SmallWorld& world, std::string node, net::Loop& loop)
      : world_(world), node_(std::move(node)), loop_(loop) {}
  void request(net::Method method, const wire::Endpoint& to, const std::string& path, const std::string& body,
               Micros deadline, net::ResponseCallback done) override {
    auto once = std::make_shared<net::ResponseCallback>(std::move(done));
    std::function<void(int, const std::string&)> answer = [this, once](int status, const std::string& text) {
      loop_.call_later(kTrip, [once, status, text] {
        if (auto f = std::exchange(*once, nullptr)) f(status, text);
      });
    };
    loop_.call_later(deadline, [once] {
      if (auto f = std::exchange(*once, nullptr)) f(0, "");
    });
    if (to.port == 6) {
      auto refused = [&w = world_, n = node_] {
        return w.state_down || w.state_refuses.contains(n) || (!w.cut_zone_.empty() && w.zone_node_ == n);
      };
      if (!world_.cut_zone_.empty() && world_.zone_node_ == node_) return;
      if (refused()) return answer(503, "{}");
      if (path == "/commit") world_.commits.push_back(body);
      if (path == "/commit" && world_.commit_lost(body)) return;
      if (world_.state_slow > 0) {
        const Micros half = world_.state_slow / 2;
        const Micros late = half + static_cast<Micros>(world_.random() % static_cast<std::uint64_t>(half));
        answer = [this, answer, late](int status, const std::string& text) {
          loop_.call_later(late, [answer, status, text] { answer(status, text); });
        };
      }
      const auto [soonest, latest] = world_.commit_late_by;
      if (path == "/commit" && world_.by_chance(world_.commit_late))
        return world_.engine.at(
            soonest + static_cast<Micros>(world_.random() % static_cast<std::uint64_t>(latest - soonest)),
            [&w = world_, method, path, body] {
              w.store.request(method, path, body, [](int, const auto&) {});
            });
      if (method != net::Method::get && world_.by_chance(world_.commit_copied))
        world_.engine.at(static_cast<Micros>(world_.random() % (120 * kSecond)),
                         [&w = world_, method, path, body] {
                           w.store.request(method, path, body, [](int, const auto&) {});
                         });
      if (world_.record_copied_at_once && body.find("\"set\":\"s/job/") != std::string::npos)
        world_.store.request(method, path, body, [](int, const auto&) {});
      const bool lost =
          (path == "/commit" && (world_.unanswered.contains(node_) || world_.commit_unanswered(body))) ||
          world_.by_chance(world_.answer_lost);
      world_.store.request(
          method, path, body,
          [answer, lost](int status, const std::string& text) {
            if (!lost) answer(status, text);
          },
          [refused, open_watch = path.starts_with("/changes") && query_parameter(path, "holdMs") != "0",
           this] {
            return refused() || world_.watch_stalls.contains(node_) ||
                   (open_watch && world_.open_watches_held.contains(node_));
          });
    } else if (to.port == 5) {
      world_.cloud(method, path, body, answer);
    } else {
      world_.push(node_, path, to, body, answer);
    }
  }
  bool send_bytes(const std::string& node, const std::string& frame) override { return pass(node, frame); }

 private:
  bool cut(const std::string& node) const {
    return world_.cut_off.contains(node) || world_.cut_off.contains(node_) ||
           (!world_.cut_zone_.empty() && (node == world_.zone_node_ || node_ == world_.zone_node_));
  }
  bool pass(const std::string& node, const std::string& bytes);
  SmallWorld& world_;
  std::string node_;
  net::Loop& loop_;
};

struct SmallWorld::Node {
  Node(SmallWorld& world, const std::string& name)
      : platform(settings_of(name, world.value_kb_)), loop(world.engine), wire(world, name, loop) {
    controller = std::make_unique<app::Controller>(
        platform, world.settings_, app::Controller::Dependencies{loop, wire, wire, wire, ++world.processes_});
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
  NodeLoop loop;
  Wire wire;
  std::unique_ptr<app::Controller> controller;
};

bool SmallWorld::Wire::pass(const std::string& node, const std::string& bytes) {
  auto to = world_.nodes_.find(node);
  if (to == world_.nodes_.end()) return false;
  if (cut(node)) return true;
  if (world_.hold_frames.contains(node) || world_.hold_frames.contains(node_)) {
    world_.held_frames_.emplace_back(node, bytes);
    return true;
  }
  to->second->loop.call_later(kTrip, [this, node, bytes, to = to->second.get()] {
    to->controller->handle_frame(share::decode(bytes), [this, node](const share::Frame& f) {
      if (cut(node)) return;
      loop_.call_later(kTrip, [this, f] {
        world_.nodes_.at(node_)->controller->handle_frame(f, [](const share::Frame&) {});
      });
    });
  });
  return true;
}

void SmallWorld::release_frames() {
  hold_frames.clear();
  for (const auto& [node, bytes] : std::exchange(held_frames_, {}))
    if (auto to = nodes_.find(node); to != nodes_.end())
      to->second->loop.call_later(kTrip, [bytes, n = to->second.get()] {
        n->controller->handle_frame(share::decode(bytes), [](const share::Frame&) {});
      });
}

/// A request to a node; answered once, or never if the node crashes first.
class SmallWorld::Post : public net::Exchange {
 public:
  Post(net::Method method, std::string path, std::string body,
       std::function<void(int, const std::string&)> done)
      : method_(method), path_(std::move(path)), body_(std::move(body)), done_(std::move(done)) {}
  net::Method method() const override { return method_; }
  std::string path() const override { return path_; }
  std::string body() const override { return body_; }

 protected:
  void send(const Answer& a) override {
    if (!done_) throw std::logic_error("answered twice: " + path_);
    std::exchange(done_, nullptr)(a.status, a.body);
  }

 private:
  net::Method method_;
  std::string path_, body_;
  std::function<void(int, const std::string&)> done_;
};

SmallWorld::SmallWorld(const app::OperatorSettings& settings, double value_kb)
    : settings_(settings), value_kb_(value_kb) {
  const auto workers = settings_json()["params"]["workers"];
  every_ = from_seconds(workers["report_s"].get<double>());
  lease_ = from_seconds(workers["lease_s"].get<double>());
  cancel_ = from_seconds(workers["cancel_s"].get<double>());
  gang_wait_ = from_seconds(workers["gang_wait_s"].get<double>());
  gang_peer_ = from_seconds(workers["gang_peer_s"].get<double>());
  store.on_set = [this](const std::string& key) {
    if (key != "s/leader") return;
    for (const auto& text : std::exchange(kept_reports_, {}))
      for (const auto& [name, node] : nodes_) {
        auto post = std::make_shared<Post>(net::Method::post, "/hello", text, [](int, const std::string&) {});
        node->loop.call_later(kTrip + static_cast<Micros>(random() % 4) * 30 * kMillisecond,
                              [to = node.get(), post] { to->controller->handle_request(post); });
      }
  };
  check_waits();
  for (const char* n : {"a", "b", "c"}) start(n);
}
SmallWorld::~SmallWorld() = default;

void SmallWorld::start(const std::string& node) { nodes_[node] = std::make_unique<Node>(*this, node); }

void SmallWorld::crash(const std::string& node) {
  auto it = nodes_.find(node);
  it->second->loop.crash();
  crashed_.push_back(std::move(it->second));
  nodes_.erase(it);
}

void SmallWorld::freeze(const std::string& node, Micros span) { nodes_.at(node)->loop.freeze(span); }

bool SmallWorld::all_awake() const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [](const auto& n) { return n.second->loop.frozen() == 0; });
}

void SmallWorld::interrupt_state_service(Micros span) {
  constexpr Micros kDownFor = 700 * kMillisecond, kEvery = 1300 * kMillisecond;
  if (span <= 0) return;
  state_down = true;
  engine.at(kDownFor, [this] { state_down = false; });
  engine.at(kEvery, [this, span] { interrupt_state_service(span - kEvery); });
}

void SmallWorld::mute_some_machine(Micros span) {
  if (Worker* w = some_machine()) w->mute_until = engine.now + span;
}

void SmallWorld::lose_some_machine() {
  Worker* w = some_machine();
  if (!w) return;
  lose_tasks(*w);
  w->hangs_until = engine.now + 3600 * kSecond;
}

/// All that is on the machine is gone, results too.
void SmallWorld::lose_tasks(Worker& w) {
  for (const auto& [key, t] : w.tasks)
    if (t.cause == "done") lost_results_.insert(key.first);
  w.tasks.clear();
}

std::vector<std::string> SmallWorld::machines_of(const std::string& job) const {
  std::vector<std::string> out;
  for (const auto& [id, w] : workers_)
    if (std::any_of(w.tasks.begin(), w.tasks.end(), [&](const auto& t) {
          return t.second.cause.empty() && t.first.first.starts_with(job + "/");
        }))
      out.push_back(id);
  return out;
}

void SmallWorld::hang(const std::string& machine, Micros span) {
  workers_.at(machine).hangs_until = engine.now + span;
}
void SmallWorld::mute(const std::string& machine, Micros span) {
  workers_.at(machine).mute_until = engine.now + span;
}

void SmallWorld::cut_zone(const std::string& zone, const std::string& node) {
  cut_zone_ = zone, zone_node_ = node;
}
void SmallWorld::mend_zone() { cut_zone_.clear(), zone_node_.clear(); }

std::vector<std::string> SmallWorld::machines() const {
  std::vector<std::string> out;
  for (const auto& [id, w] : workers_) out.push_back(id);
  return out;
}

SmallWorld::Worker* SmallWorld::some_machine() {
  if (workers_.empty()) return nullptr;
  auto it = workers_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random() % workers_.size()));
  return &it->second;
}

void SmallWorld::hang_some_machine(Micros span) {
  if (Worker* w = some_machine()) w->hangs_until = engine.now + span;
}

void SmallWorld::deafen_some_machine(Micros span) {
  if (Worker* w = some_machine()) w->deaf_until = engine.now + span;
}

void SmallWorld::send(const std::string& node, net::Method method, const std::string& path, const Json& body,
                      std::function<void(const Answer&)> told) {
  send_text(node, method, path, body.is_null() ? "" : body.dump(), std::move(told));
}

void SmallWorld::send_text(const std::string& node, net::Method method, const std::string& path,
                           const std::string& body, std::function<void(const Answer&)> told) {
  auto post = std::make_shared<Post>(method, path, body,
                                     [told = std::move(told)](int status, const std::string& text) {
                                       told({status, Json::parse(text, nullptr, false)});
                                     });
  Node* to = nodes_.at(node).get();
  to->loop.call_later(kTrip, [to, post] { to->controller->handle_request(post); });
}

Answer SmallWorld::ask(const std::string& node, net::Method method, const std::string& path,
                       const Json& body) {
  return ask_text(node, method, path, body.is_null() ? "" : body.dump());
}

Answer SmallWorld::ask_text(const std::string& node, net::Method method, const std::string& path,
                            const std::string& body) {
  auto got = std::make_shared<Answer>();
  send_text(node, method, path, body, [got](const Answer& a) { *got = a; });
  for (int i = 0; i < 500 && got->status == 0; ++i) engine.run_for(10 * kMillisecond);
  return *got;
}

// ---------------------------------------------------------------- cloud and workers

void SmallWorld::cloud(net::Method method, const std::string& path, const std::string& body,
                       const StateStore::Done& done) {
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
  const Json asked = Json::parse(body);
  if (path != "/rentals" || method != net::Method::post) {
    for (const auto& id : asked.at("rigs")) workers_.erase(id.get<std::string>());
    return done(200, "{}");
  }
  if (workers_.size() >= most_machines) return done(503, R"({"error":"no capacity"})");
  Json ids = Json::array();
  for (int i = 0; i < asked.at("count").get<int>() && workers_.size() < most_machines; ++i) {
    const std::string id = "i-" + std::to_string(100'000 + ++rented_);
    Worker& w = workers_[id];
    w.id = id, w.type = asked.at("rigtype").get<std::string>(), w.zone = asked.at("site").get<std::string>();
    w.spot = asked.at("loaner").get<bool>();
    w.port = static_cast<std::uint16_t>(1000 + rented_);
    w.lease_ends = engine.now + boot + lease_;
    ids.push_back(id);
    engine.at(boot, [this, id] {
      if (auto w = workers_.find(id); w != workers_.end()) w->second.up = true, report(w->second);
    });
  }
  done(200, Json{{"rigs", ids}}.dump());
}

Json SmallWorld::say(Worker& w) const {
  Json pieces = Json::array();
  for (const auto& [key, t] : w.tasks) {
    Json p{{"piece", key.first},
           {"try", key.second},
           {"status", !t.cause.empty() ? "ended"
                      : t.waits        ? "waiting"
                                       : "running"}};
    if (!t.cause.empty()) p["cause"] = t.cause;
    pieces.push_back(std::move(p));
  }
  return {{"rig", w.id},        {"endpoint", "127.0.0.1:" + std::to_string(w.port)},
          {"rigtype", w.type},  {"site", w.zone},
          {"loaner", w.spot},   {"stint", w.session},
          {"tally", ++w.tally}, {"baton", w.token},
          {"pieces", pieces}};
}

/// Nobody answered for so long: it ends all and begins anew.
void SmallWorld::check_lease(Worker& w) {
  if (engine.now <= w.lease_ends) return;
  lose_tasks(w);
  ++w.session;
  w.lease_ends = engine.now + lease_;
}

void SmallWorld::try_next_node(Worker& w) {
  if (nodes_.empty()) return;
  auto it = nodes_.upper_bound(w.node);
  w.node = it == nodes_.end() ? nodes_.begin()->first : it->first;
}

void SmallWorld::report(Worker& w) {
  const std::string id = w.id;
  const Micros next = w.hangs_until > engine.now ? w.hangs_until - engine.now : every_;
  engine.at(next, [this, id] {
    if (auto it = workers_.find(id); it != workers_.end()) report(it->second);
  });
  if (w.hangs_until > engine.now) return;
  check_lease(w);
  for (const auto& [key, t] : w.tasks)
    if (t.cause.empty()) check_cancelled(w, key.first);
  if (w.asked != 0 || nodes_.empty()) return;  // one report in flight at a time
  if (const auto only = only_reaches.find(id); only != only_reaches.end()) w.node = only->second;
  if (w.mute_until > engine.now || !nodes_.contains(w.node) || cut_apart(w, w.node)) return try_next_node(w);
  const bool lost = by_chance(report_lost), lost_back = lost && by_chance(0.5);
  const std::uint64_t asked = w.asked = w.tally + 1;
  engine.at(kNoAnswer, [this, id, asked] {  // what comes later is dropped
    auto it = workers_.find(id);
    if (it == workers_.end() || it->second.asked != asked) return;
    it->second.asked = 0;
    try_next_node(it->second);
  });
  const Json body = say(w);
  if (lost && !lost_back) return;
  const Micros sent = engine.now;
  const std::uint64_t session = w.session;
  auto answered = [this, id, asked, sent, session, lost_back, node = w.node](int status,
                                                                             const std::string& text) {
    if (lost_back) return;
    engine.at(kTrip, [this, id, asked, sent, session, status, text, node, answered_at = engine.now] {
      auto it = workers_.find(id);
      if (it == workers_.end() || it->second.hangs_until > engine.now || it->second.asked != asked) return;
      Worker& worker = it->second;
      if (worker.deaf_until > engine.now || cut_apart(worker, node)) return;
      worker.asked = 0;
      check_lease(worker);
      const Json j = Json::parse(text);
      if (status == 421)
        worker.node = j.at("foreman").get<std::string>();
      else if (status != 200)
        try_next_node(worker);
      if (status != 200 || session != worker.session || j.at("baton").get<std::uint64_t>() < worker.token)
        return;
      worker.token = j.at("baton").get<std::uint64_t>();
      worker.lease_ends = std::max(worker.lease_ends, sent + lease_);
      for (const auto& o : j.at("orders")) obey(worker, o, answered_at);
    });
  };
  auto send = [this](Node* to, const std::string& text, std::function<void(int, const std::string&)> done) {
    auto post = std::make_shared<Post>(net::Method::post, "/hello", text, std::move(done));
    to->loop.call_later(std::max(kTrip, report_takes), [to, post] { to->controller->handle_request(post); });
  };
  send(nodes_.at(w.node).get(), body.dump(), answered);
  if (by_chance(report_kept)) kept_reports_.push_back(body.dump());
  if (by_chance(report_copied))
    engine.at(static_cast<Micros>(random() % static_cast<std::uint64_t>(3 * lease_)),
              [this, send, text = body.dump(), which = random()] {
                if (nodes_.empty()) return;
                auto to = nodes_.begin();
                std::advance(to, static_cast<std::ptrdiff_t>(which % nodes_.size()));
                send(to->second.get(), text, [](int, const std::string&) {});
              });
}

void SmallWorld::push(const std::string& node, const std::string& path, const wire::Endpoint& to,
                      const std::string& body, const StateStore::Done& done) {
  if (path != "/do" || by_chance(push_lost)) return;
  const bool late = by_chance(push_late);
  const Micros delay = late ? static_cast<Micros>(random() % (120 * kSecond)) : kTrip;
  const bool answer_lost_too = late || by_chance(push_lost);
  auto unheard = [](int, const std::string&) {};
  for (const auto& [id, w] : workers_)
    if (w.port == to.port && cut_apart(w, node)) return;
  const Micros sent = engine.now;
  engine.at(delay, [this, to, body, sent, done, answer_lost_too, unheard] {
    carry_out(to, body, sent, answer_lost_too ? unheard : done);
  });
  if (by_chance(push_copied))
    engine.at(delay + static_cast<Micros>(random() % (120 * kSecond)),
              [this, to, body, sent, unheard] { carry_out(to, body, sent, unheard); });
}

void SmallWorld::carry_out(const wire::Endpoint& to, const std::string& body, Micros sent,
                           const StateStore::Done& done) {
  for (auto& [id, w] : workers_) {
    if (w.port != to.port) continue;
    if (w.hangs_until > engine.now || w.deaf_until > engine.now || only_reaches.contains(id)) return;
    check_lease(w);
    const Json j = Json::parse(body);
    const bool good =
        j.at("baton").get<std::uint64_t>() >= w.token && j.at("stint").get<std::uint64_t>() == w.session;
    if (good) {
      w.token = j.at("baton").get<std::uint64_t>();
      for (const auto& o : j.at("orders")) obey(w, o, sent);
    }
    return done(good ? 200 : 409, say(w).dump());
  }
}

/// A task that is done is started again although its result was not lost.
void SmallWorld::check_again(const Worker& w, const std::string& task) {
  if (!completed.contains(task) || lost_results_.contains(task)) return;
  const auto holder = workers_.find(completed_on_[task]);
  if (holder != workers_.end() && engine.now > holder->second.lease_ends) return;
  if (ran_again++ == 0)
    first_again = task + " on " + w.id + ", done on " + completed_on_[task] + " at " +
                  std::to_string(to_seconds(engine.now));
}

/// What is on a machine counts, started or not seen to go.
void SmallWorld::check_cancelled(const Worker& w, const std::string& task) {
  const auto told = cancelled.find(task.substr(0, task.find('/')));
  if (told != cancelled.end() && engine.now > told->second + cancel_ && ran_cancelled.empty())
    ran_cancelled = task + " on " + w.id + " at " + std::to_string(to_seconds(engine.now));
}

/// A start on a machine that the job forbids, or by which its team has more than its limit.
void SmallWorld::check_place(const Worker& w, const std::string& task) {
  const std::string id = task.substr(0, task.find('/'));
  if (const auto told = cancelled.find(id);
      told != cancelled.end() && engine.now - told->second > start_after_cancellation) {
    start_after_cancellation = engine.now - told->second;
    started_cancelled = task + " on " + w.id + " at " + std::to_string(to_seconds(engine.now));
  }
  const auto job = submitted.find(id);
  if (job == submitted.end() || !broken.empty()) return;
  const Json& j = job->second;
  if (!j.at("site").is_null() && j.at("site") != w.zone) broken = "wrong zone: " + task;
  if (w.spot && !j.at("loaner").get<bool>()) broken = "on a spot machine: " + task;
  double cpus_limit = 0, gpus_limit = 0;
  double cpus = j.at("vcpus").get<double>(), gpus = j.at("cards").get<double>();
  const Json settings = settings_json();
  for (const auto& t : settings.at("params").at("teams"))
    if (t.at("name") == j.at("owner"))
      cpus_limit = t.at("cpus_max").get<double>(), gpus_limit = t.at("gpus_max").get<double>();
  for (const auto& [other_id, other] : workers_)
    for (const auto& [key, t] : other.tasks) {
      const std::string of = key.first.substr(0, key.first.find('/'));
      const auto by = submitted.find(of);
      if (!t.cause.empty() || engine.now > other.lease_ends || by == submitted.end()) continue;
      if (j.at("together").get<bool>() && of == id && other.zone != w.zone) broken = "two zones: " + task;
      if (by->second.at("owner") != j.at("owner")) continue;
      cpus += by->second.at("vcpus").get<double>(), gpus += by->second.at("cards").get<double>();
    }
  if (cpus_limit > 0 && cpus > cpus_limit + 0.001) broken = "over the team's limit: " + task;
  if (gpus_limit > 0 && gpus > gpus_limit + 0.001) broken = "over the team's limit of GPUs: " + task;
}

/// No order to start leaves once the user was told.
void SmallWorld::check_ordered(const Worker& w, const std::string& task, Micros ordered_at) {
  const auto told = cancelled.find(task.substr(0, task.find('/')));
  if (told == cancelled.end() || ordered_at - told->second <= ordered_after_cancellation) return;
  ordered_after_cancellation = ordered_at - told->second;
  ordered_cancelled = task + " on " + w.id + " at " + std::to_string(to_seconds(engine.now));
}

/// For some seconds: between the end of a task and the start of the next there is room that nobody leaves
/// unused.
bool SmallWorld::lasts(const std::string& what, bool holds) {
  if (!holds) {
    lasting_.erase(what);
    return false;
  }
  return engine.now - lasting_.try_emplace(what, engine.now).first->second >= 5 * kSecond;
}

/// So many tasks of the job would fit on machines that are up and reached, within its team's limit.
bool SmallWorld::has_room(const Json& j, int tasks) {
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
      const auto by = submitted.find(key.first.substr(0, key.first.find('/')));
      if (!t.cause.empty() || engine.now > w.lease_ends || by == submitted.end()) continue;
      const Json& other = by->second;
      free_cpus -= other.at("vcpus").get<double>(), free_gpus -= other.at("cards").get<double>();
      free_memory -= other.at("ramGb").get<double>();
      if (other.at("owner") != j.at("owner")) continue;
      cpus_used += other.at("vcpus").get<double>(), gpus_used += other.at("cards").get<double>();
    }
    const bool allowed = w.up && engine.now <= w.lease_ends &&
                         std::max({w.hangs_until, w.deaf_until, w.mute_until}) <= engine.now &&
                         (j.at("site").is_null() || j.at("site") == w.zone) &&
                         (!w.spot || j.at("loaner").get<bool>());
    int slots = 0;
    while (allowed && cpus <= free_cpus && gpus <= free_gpus && memory <= free_memory) {
      free_cpus -= cpus, free_gpus -= gpus, free_memory -= memory;
      ++slots;
    }
    if (lasts(job + " on " + id, slots > 0)) by_zone[j.at("together").get<bool>() ? w.zone : ""] += slots;
  }
  const Json settings = settings_json();
  for (const auto& t : settings.at("params").at("teams")) {
    if (t.at("name") != j.at("owner")) continue;
    const double most_cpus = t.at("cpus_max").get<double>(), most_gpus = t.at("gpus_max").get<double>();
    const bool over =
        (most_cpus > 0 && cpus_used > most_cpus) || (most_gpus > 0 && gpus > 0 && gpus_used > most_gpus);
    if (!lasts(job + " of its team", !over)) return false;
  }
  return std::any_of(by_zone.begin(), by_zone.end(), [&](const auto& z) { return z.second >= tasks; });
}

/// No job waits for long beside room: nothing of it started all the while, and there was room all the while.
void SmallWorld::check_waits() {
  engine.at(kSecond, [this] { check_waits(); });
  spdlog::debug("---- {} s", engine.now / kSecond);
  if (!calm_) return;
  std::set<std::string> there;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w.tasks)
      if (t.cause.empty() && engine.now <= w.lease_ends) there.insert(key.first);
  for (const auto& id : wanted) {
    const Json& j = submitted.at(id);
    const int tasks = j.at("pieces").get<int>();
    int waiting = 0, started = 0;
    for (int i = 0; i < tasks; ++i) {
      const std::string task = id + "/" + std::to_string(i);
      waiting += !completed.contains(task) && !there.contains(task);
      if (const auto s = starts.find(task); s != starts.end()) started += s->second;
    }
    bool open = waiting > 0 && !cancelled.contains(id);
    if (const auto n = needs.find(id); n != needs.end()) {
      const auto needed = store.keys.find("s/job/" + n->second);
      open = open && needed != store.keys.end() && needed->second.value.at("st") == "done";
    }
    // A gang that runs is to run whole again once it has ended.
    open = open && (j.at("shape") != "group" || waiting == tasks);
    if (!open || !has_room(j, j.at("shape") == "group" ? tasks : 1)) {
      waits_since_.erase(id);
      continue;
    }
    auto& [since, starts_then] = waits_since_.try_emplace(id, engine.now, started).first->second;
    if (started != starts_then) since = engine.now, starts_then = started;
    longest_wait = std::max(longest_wait, engine.now - since);
    if (engine.now - since <= most_wait || !waited.empty()) continue;
    waited = id + " at " + std::to_string(to_seconds(engine.now)) + ": " + j.dump();
    for (const auto& [name, w] : workers_) {
      const auto record = store.keys.find("s/machine/" + name);
      waited += "\n" + name + " " + w.type + " " + w.zone + (w.spot ? " spot" : "") + " of share " +
                (record == store.keys.end() ? "none" : record->second.value.at("share").dump()) + ":";
      for (const auto& [key, t] : w.tasks)
        waited += " " + key.first + (t.cause.empty() ? t.waits ? " waits" : "" : " " + t.cause);
    }
  }
}

// ---------------------------------------------------------------- gangs

const std::string& SmallWorld::w_zone(const Worker& w) { return w.zone; }

bool SmallWorld::is_gang(const std::string& task) const {
  const auto job = submitted.find(task.substr(0, task.find('/')));
  return job != submitted.end() && job->second.at("shape") == "group";
}

/// Where the tasks of an attempt are, all that are there.
std::vector<std::pair<SmallWorld::Worker*, std::string>> SmallWorld::mates(const std::string& job,
                                                                           std::uint64_t attempt) {
  std::vector<std::pair<Worker*, std::string>> out;
  for (auto& [id, w] : workers_)
    for (const auto& [key, t] : w.tasks)
      if (key.second == attempt && t.cause.empty() && engine.now <= w.lease_ends &&
          key.first.starts_with(job + "/"))
        out.emplace_back(&w, key.first);
  return out;
}

/// Once all are there they run.
void SmallWorld::gather(const std::string& job, std::uint64_t attempt) {
  const auto all = mates(job, attempt);
  if (static_cast<int>(all.size()) < submitted.at(job).at("pieces").get<int>()) return;
  for (const auto& [w, task] : all) w->tasks.at({task, attempt}).waits = false;
  watch_gang(job, attempt, engine.now + run_time);
}

/// They end together; if one is gone or stands still, the others notice it in time.
void SmallWorld::watch_gang(const std::string& job, std::uint64_t attempt, Micros ends) {
  const auto all = mates(job, attempt);
  const bool whole =
      static_cast<int>(all.size()) == submitted.at(job).at("pieces").get<int>() &&
      std::none_of(all.begin(), all.end(), [&](const auto& m) { return m.first->hangs_until > engine.now; });
  if (whole && engine.now < ends)
    return engine.at(std::min<Micros>(kSecond, ends - engine.now),
                     [this, job, attempt, ends] { watch_gang(job, attempt, ends); });
  if (whole) {
    for (const auto& [w, task] : all) complete(*w, {task, attempt});
    return;
  }
  engine.at(static_cast<Micros>(random() % static_cast<std::uint64_t>(gang_peer_)), [this, job, attempt] {
    for (const auto& [w, task] : mates(job, attempt)) w->tasks.at({task, attempt}).cause = "mates_gone";
  });
}

void SmallWorld::complete(Worker& w, const std::pair<std::string, std::uint64_t>& key) {
  w.tasks.at(key).cause = "done";
  completed_on_[key.first] = w.id;
  lost_results_.erase(key.first);
  if (completed.insert(key.first).second) on_completed(key.first);
}

void SmallWorld::obey(Worker& w, const Json& order, Micros ordered_at) {
  const auto verb = order.at("verb").get<std::string>(), task = order.at("piece").get<std::string>();
  const auto attempt = order.at("try").get<std::uint64_t>();
  const std::pair key{task, attempt};
  auto here = w.tasks.find(key);
  if (verb == "forget") {
    if (here != w.tasks.end() && !here->second.cause.empty()) w.tasks.erase(here);
    return;
  }
  if (verb == "halt") {
    if (here != w.tasks.end() && here->second.cause.empty()) here->second.cause = "stopped";
    return;
  }
  if (here != w.tasks.end()) return;
  for (const auto& [other, t] : w.tasks)
    if (other.first == task && t.cause.empty()) {
      w.tasks[key] = {"in_use"};
      return;
    }
  for (auto& [id, other] : workers_) {
    if (engine.now > other.lease_ends) continue;  // over, though it has not looked yet
    for (const auto& [old, t] : other.tasks)
      if (old.first == task && t.cause.empty() && ran_twice++ == 0)
        first_twice = task + "@" + std::to_string(attempt) + " on " + w.id + ", " +
                      std::to_string(old.second) + " on " + id + " at " +
                      std::to_string(to_seconds(engine.now));
  }
  ++starts[task];
  check_again(w, task);
  check_cancelled(w, task);
  check_place(w, task);
  check_ordered(w, task, ordered_at);
  attempts.insert(attempt);
  w.tasks[key] = {};
  if (is_gang(task)) {
    w.tasks[key].waits = true;
    engine.at(gang_wait_, [this, id = w.id, key] {
      auto it = workers_.find(id);
      if (it == workers_.end()) return;
      if (auto t = it->second.tasks.find(key);
          t != it->second.tasks.end() && t->second.cause.empty() && t->second.waits)
        t->second.cause = "incomplete";
    });
    return gather(task.substr(0, task.find('/')), attempt);
  }
  const bool fails = by_chance(task_fails);
  const Micros spread =
      run_spread > 0
          ? static_cast<Micros>(std::hash<std::string>{}(task) % static_cast<std::size_t>(run_spread))
          : 0;
  engine.at(fails ? run_time / 2 : run_time + spread, [this, id = w.id, key, fails] {
    auto it = workers_.find(id);
    if (it == workers_.end()) return;
    auto t = it->second.tasks.find(key);
    if (t == it->second.tasks.end() || !t->second.cause.empty()) return;
    if (fails)
      t->second.cause = "error";
    else
      complete(it->second, key);
  });
}

}  // namespace aspenwick::testing
