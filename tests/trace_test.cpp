// Plays the kept traces: events in, orders and answers out. A line is an event ("12.5 report i-1 ..."); the
// indented lines after it, which begin with "=", are all that came of it. Attempts are written epoch.counter,
// tokens epoch+fence. UPDATE_TRACES=1 rewrites them, for a person to read before they are kept.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fixtures.h"
#include "share/heartbeat_tracker.h"
#include "share/ownership.h"
#include "share/share_controller.h"

namespace aspenwick::share {
namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr Micros kWallClock = 2'000'000 * kSecond;

class Player {
 public:
  std::vector<std::string> play(const std::string& line) {
    out_.clear();
    std::istringstream in(line);
    double at = 0;
    std::string event;
    in >> at >> event;
    now_ = kStart + from_seconds(at);
    words_.clear();
    keys_.clear();
    for (std::string w; in >> w;) {
      const auto eq = w.find('=');
      if (eq == std::string::npos)
        words_.push_back(w);
      else
        keys_[w.substr(0, eq)] = w.substr(eq + 1);
    }
    if (!controller_event(event) && !ownership_event(event) && !graph_event(event))
      out_.push_back("unknown event");
    follow_graph();
    return out_;
  }

 private:
  std::string key(const std::string& k, const std::string& fallback) const {
    auto it = keys_.find(k);
    return it == keys_.end() ? fallback : it->second;
  }
  double number(const std::string& k, double fallback) const {
    return std::stod(key(k, std::to_string(fallback)));
  }

  static std::uint64_t parse_pair(const std::string& s, char by) {
    const auto sep = s.find(by);
    const std::uint64_t low = sep == std::string::npos ? 0 : std::stoull(s.substr(sep + 1));
    return (std::stoull(s) << 20) + low;
  }
  static std::string pair(std::uint64_t v, char by) {
    const std::uint64_t low = v & 0xfffff;
    return std::to_string(v >> 20) + (low || by == '.' ? by + std::to_string(low) : "");
  }
  static std::string show(const Order& o) {
    static constexpr const char* kVerbs[] = {"launch", "halt", "forget"};
    return std::string(kVerbs[static_cast<int>(o.verb)]) + " " + o.job + "/" + std::to_string(o.index) +
           " @" + pair(o.attempt, '.') + (o.grace ? " grace " + std::to_string(o.grace / kSecond) : "");
  }

  /// "j-1/0@3.1:running" or "j-1/0@3.1:ended:done"
  wire::WorkerReport report(const std::string& machine, std::size_t from) const {
    wire::WorkerReport r;
    r.machine = machine, r.address = "127.0.0.1:9", r.type = "cpu8", r.zone = "z1";
    r.session = static_cast<std::uint64_t>(number("session", 1));
    r.seq = static_cast<std::uint64_t>(number("seq", 1));
    r.token = parse_pair(key("token", "0"), '+');
    if (keys_.contains("notice")) r.notice = from_seconds(number("notice", 0));
    for (std::size_t i = from; i < words_.size(); ++i) {
      const std::string& w = words_[i];
      const auto slash = w.find('/'), sign = w.find('@'), colon = w.find(':');
      wire::TaskReport t;
      t.job = w.substr(0, slash);
      t.index = static_cast<std::uint32_t>(std::stoul(w.substr(slash + 1)));
      t.attempt = parse_pair(w.substr(sign + 1, colon - sign - 1), '.');
      const std::string state = w.substr(colon + 1);
      if (state == "running") t.state = wire::TaskState::running;
      if (state == "waiting") t.state = wire::TaskState::waiting;
      if (state == "flushing") t.state = wire::TaskState::saving;
      if (state.starts_with("ended")) {
        t.state = wire::TaskState::exited;
        const std::string cause = state.substr(6);
        t.cause = cause == "done"         ? wire::Cause::done
                  : cause == "error"      ? wire::Cause::error
                  : cause == "no_room"    ? wire::Cause::no_room
                  : cause == "incomplete" ? wire::Cause::gang_incomplete
                                          : wire::Cause::stopped;
      }
      r.tasks.push_back(t);
    }
    return r;
  }

  bool controller_event(const std::string& event) {
    if (event == "hold") {
      if (!pipelines_) jobs_.clear();
      ShareControllerSettings s;
      s.rnn.round_robin_fraction = 0;
      controller_ = std::make_unique<ShareController>(
          platform_, types_, s,
          [this](const std::string& id) -> const JobRecord* {
            auto it = jobs_.find(id);
            return it == jobs_.end() ? nullptr : &it->second;
          },
          static_cast<std::uint64_t>(number("epoch", 1)), now_,
          kStart + from_seconds(number("former_until", 0)));
    } else if (event == "job") {
      auto j = testing::job_json();
      j["nameId"] = words_.at(0);
      j["jobclass"] = key("class", "batch");
      j["owner"] = key("team", "red");
      j["shape"] = key("shape", "array");
      j["rank"] = key("rank", "low");
      j["pieces"] = static_cast<int>(number("tasks", 1));
      j["vcpus"] = number("cpus", 2);
      j["cards"] = number("gpus", 0);
      j["guessS"] = number("guess", 30);
      j["bundle"] = key("image", "img");
      j["sizeGb"] = number("gb", 1);
      if (keys_.contains("due")) j["dueS"] = number("due", 0);
      j["loaner"] = key("spot", "yes") == "yes";
      j["spread"] = key("spread", "no") == "yes";
      j["together"] = key("together", "no") == "yes";
      j["snapshotEveryS"] = number("saves", 0);
      j["snapshotS"] = number("save_time", 0);
      JobRecord r;
      r.spec = std::make_shared<JobSpec>(wire::job_from_json(j));
      r.submitted = kWallClock;
      if (pipelines_) {
        r.submitted = wall();
        r.version = static_cast<std::uint64_t>(number("version", 1));
        auto spec = *r.spec;
        spec.job_class = key("class", "batch");
        std::istringstream needs(key("needs", ""));
        for (std::string n; std::getline(needs, n, ',');) spec.needs.push_back(n);
        r.spec = std::make_shared<JobSpec>(spec);
        jobs_[words_.at(0)] = r;
        graph_.update(words_.at(0), r);
        if (controller_ && graph_.is_ready(words_.at(0)) && key("elsewhere", "no") == "no")
          controller_->on_job_record(words_.at(0), r, key("fresh", "yes") == "yes", now_, wall());
        return true;
      }
      jobs_[words_.at(0)] = r;
      controller_->on_job_record(words_.at(0), r, key("fresh", "yes") == "yes", now_, kWallClock);
    } else if (event == "withdrawn" || event == "finished") {
      JobRecord& r = jobs_.at(words_.at(0));
      r.status = event == "finished" ? wire::JobStatus::done : wire::JobStatus::cancelled;
      if (event == "finished" && keys_.contains("at"))
        r.finished = kWallClock + from_seconds(number("at", 0));
      r.version = static_cast<std::uint64_t>(number("version", 2));
      graph_.update(words_.at(0), r);
      r.spec.reset();
      if (!controller_) return true;
      controller_->on_job_record(words_.at(0), r, false, now_, kWallClock);
    } else if (event == "machine") {
      MachineRecord m;
      m.id = words_.at(0), m.address = "127.0.0.1:9", m.type = key("type", "cpu8"),
      m.zone = key("zone", "z1");
      m.spot = key("spot", "no") == "yes", m.epoch = static_cast<std::uint64_t>(number("epoch", 0));
      controller_->on_machine_record(m, key("empty", "no") == "yes", now_);
    } else if (event == "loaded") {
      for (std::size_t i = 0; i + 1 < words_.size(); i += 2)
        controller_->load_progress_row(words_[i], 0, words_[i + 1], 7);
      controller_->finish_loading(now_);
      say_rebuilt();
    } else if (event == "report") {
      auto a = controller_->on_report(report(words_.at(0), 1), now_, of_owner());
      if (!a) {
        out_.push_back("no right to act");
      } else {
        out_.push_back("answer token " + pair(a->token, '+'));
        for (const auto& o : a->orders) out_.push_back(show(o));
      }
      say_rebuilt();
    } else if (event == "raise") {
      controller_->raise_epoch(static_cast<std::uint64_t>(number("epoch", 2)));
    } else if (event == "tick") {
      controller_->tick(now_, of_owner());
      say_rebuilt();
    } else if (event == "push") {
      for (const auto& p : controller_->take_pushes(now_, 1000, of_owner())) {
        out_.push_back("push to " + p.machine + " token " + pair(p.token, '+') + " session " +
                       std::to_string(p.session));
        for (const auto& o : p.orders) out_.push_back(show(o));
      }
    } else if (event == "pushed") {
      const int status = std::stoi(words_.at(1));
      const auto r = report(words_.at(0), 2);
      controller_->on_push_result(words_.at(0), status, status ? &r : nullptr, now_);
      say_rebuilt();
    } else if (event == "where") {
      for (const auto& s : controller_->describe_attempts()) out_.push_back(s);
    } else if (event == "record") {
      for (const auto& w : controller_->take_progress_writes(10)) {
        out_.push_back("write done " + w.job + " chunk " + ShareController::row_name(w.row) + " " + w.text +
                       " if version " + std::to_string(w.version));
        controller_->on_progress_write_result(w, key("ok", "yes") == "yes",
                                              static_cast<std::uint64_t>(number("version", 8)));
      }
      for (const auto& id : controller_->jobs_to_commit()) out_.push_back("complete " + id);
    } else if (event == "state") {  // as the leader is told
      for (const auto& m : controller_->machine_states(now_))
        out_.push_back(m.id + (m.usable ? " usable" : "") + (m.empty ? " empty" : "") +
                       (m.worker_lost ? " gone" : ""));
    } else if (event == "release") {
      out_.push_back(controller_->release(words_.at(0), now_) ? "released" : "kept");
    } else {
      return false;
    }
    return true;
  }

  /// What an event says of the owner's right to start tasks.
  place::StartRefusal of_owner() {
    if (key("lease", "valid") != "valid") return place::StartRefusal::lease_not_valid;
    if (key("records", "fresh") != "fresh") return place::StartRefusal::records_stale;
    return place::StartRefusal::none;
  }

  Micros wall() const { return kWallClock + now_ - kStart; }

  /// What the graph of jobs says: whom it lets start, what it makes of priority and deadline, who is
  /// cancelled.
  bool graph_event(const std::string& event) {
    if (event == "pipelines") {
      pipelines_ = true;
    } else if (event == "told") {
      const auto& r = jobs_.at(words_.at(0));
      out_.push_back(graph_.has_cancelled_dependency(words_.at(0)) || r.status == wire::JobStatus::cancelled
                         ? "withdrawn"
                     : r.status == wire::JobStatus::done        ? "done"
                     : !graph_.dependencies_known(words_.at(0)) ? "nothing yet: ask again"
                     : graph_.is_ready(words_.at(0))            ? "may start"
                                                                : "queued");
    } else if (event == "to_withdraw") {
      std::string all;
      for (const auto& id : graph_.to_cancel()) all += " " + id;
      out_.push_back("records to follow:" + all);
    } else {
      return false;
    }
    return true;
  }

  void follow_graph() {
    static constexpr const char* kRanks[] = {"low", "normal", "high", "production"};
    for (const auto& id : graph_.take_changed()) {
      const auto& r = jobs_.at(id);
      const auto c = graph_.scheduling_goals(id, r);
      out_.push_back(id +
                     (graph_.is_ready(id) ? " ready since " + std::to_string((c.ready - kWallClock) / kSecond)
                                          : " waits") +
                     ", " + kRanks[static_cast<int>(c.rank)] +
                     (c.finish_by ? ", by " + std::to_string((*c.finish_by - kWallClock) / kSecond) : ""));
      if (!controller_ || !graph_.is_ready(id)) continue;
      controller_->on_job_record(id, r, graph_.ready_version(id) > 100, now_, wall());
      controller_->set_scheduling_goals(id, c, now_, wall());
    }
  }

  bool ownership_event(const std::string& event) {
    if (event == "granted") {
      own_.lease_granted(std::stoull(words_.at(0)), now_);
    } else if (event == "renewed") {
      own_.lease_renewed(now_);
    } else if (event == "lost") {
      own_.lease_lost();
    } else if (event == "holder") {
      const int share = std::stoi(words_.at(0));
      if (words_.at(1) == "gone")
        own_.owner_removed(share, now_);
      else
        own_.owner_set(share,
                       {words_.at(1), static_cast<std::uint64_t>(number("lease", 0)), 1,
                        static_cast<std::uint64_t>(number("version", 1))},
                       now_);
    } else if (event == "peer") {
      const Micros since = peer_since_.try_emplace(words_.at(0), now_).first->second;
      own_.peer_reported(words_.at(0),
                         {key("state", "ok") == "ok", true, static_cast<std::uint64_t>(number("lease", 0)),
                          now_, key("knows", "all") == "all", since,
                          std::vector(3, static_cast<std::uint64_t>(number("epoch", 1)))});
    } else if (event == "began") {  // a new process of that peer
      peer_since_.erase(words_.at(0));
    } else if (event == "read") {
      own_.set_records_as_of(now_);
    } else if (event == "ask") {
      std::string take, back;
      for (int s : own_.shares_to_acquire(now_)) take += " " + std::to_string(s);
      if (auto b = own_.share_to_hand_back(now_)) back = std::to_string(*b);
      out_.push_back(std::string("lease ") + (own_.lease_valid(now_) ? "valid" : "not valid") + ", workers " +
                     (own_.may_renew_worker_leases(0, now_) ? "renewed" : "not renewed") +
                     (own_.only_we_lack_state_service(now_) ? ", refused alone" : "") +
                     (take.empty() ? "" : ", take" + take) + (back.empty() ? "" : ", hand back " + back));
    } else if (event == "says") {
      out_.push_back(own_.reports_state_service_reachable(key("answered", "yes") == "yes", now_)
                         ? "has the state service"
                         : "lacks it");
    } else if (event == "heartbeat") {
      out_.push_back("stamp " +
                     seconds(static_cast<Micros>(heartbeats_.message_for("b", {}, now_).timestamp)));
    } else if (event == "hears") {
      Heartbeat b;
      b.node = words_.at(0);
      b.lease = static_cast<std::uint64_t>(number("lease", 0));
      b.incarnation = static_cast<std::uint64_t>(number("process", 1));
      b.timestamp = static_cast<std::uint64_t>(number("stamp", 1));
      if (keys_.contains("echo")) {
        b.echo_incarnation = static_cast<std::uint64_t>(number("of", kIncarnation));
        b.echo_timestamp = static_cast<std::uint64_t>(kStart + from_seconds(number("echo", 0)));
      }
      const auto heard = heartbeats_.receive(b, now_);
      if (heard.state) own_.peer_reported(b.node, *heard.state);
      if (heard.state) out_.push_back("said at " + seconds(heard.state->reported_at));
      if (heard.reply_needed) out_.push_back("answer at once");
    } else if (event == "renewable") {
      out_.push_back("for " + std::to_string((renewable_until() - now_) / kSecond) + " s");
    } else if (event == "reading") {
      own_.key_reread_started();
    } else if (event == "keys_read") {
      own_.key_reread_finished(now_);
    } else {
      return false;
    }
    return true;
  }

  /// Of a share, or of one whose only owner so far was this node, and whose key has just gone.
  Micros renewable_until() const {
    if (words_.at(0).find_first_not_of("0123456789") == std::string::npos)
      return own_.former_owners_renew_until(std::stoi(words_.at(0)), now_);
    Ownership after(own_);
    constexpr int kUnused = 100;
    after.owner_set(kUnused, {words_.at(0), static_cast<std::uint64_t>(number("lease", 0)), 1, 1}, now_);
    after.owner_removed(kUnused, now_);
    return after.former_owners_renew_until(kUnused, now_);
  }

  static std::string seconds(Micros at) { return std::to_string((at - kStart) / kSecond); }

  void say_rebuilt() {
    if (controller_->all_accounted_for() && rebuilt_ != controller_.get()) {
      rebuilt_ = controller_.get();
      out_.push_back("rebuilt");
    }
  }

  wire::PlatformSettings platform_ = wire::parse_settings(testing::settings_json().dump());
  std::vector<wire::MachineType> types_ = testing::machine_types();
  std::map<std::string, JobRecord> jobs_;
  bool pipelines_ = false;
  job::DependencyGraph graph_{[this](const std::string& id) -> const JobRecord* {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
  }};
  std::unique_ptr<ShareController> controller_;
  const ShareController* rebuilt_ = nullptr;
  static constexpr std::uint64_t kIncarnation = 3;
  HeartbeatTracker heartbeats_{"a", kIncarnation};
  Ownership own_{platform_};
  std::map<std::string, Micros> peer_since_;
  Micros now_ = 0;
  std::vector<std::string> words_, out_;
  std::map<std::string, std::string> keys_;
};

class Trace : public ::testing::TestWithParam<std::string> {};

TEST_P(Trace, GoesAsKept) {
  const std::string path = std::string(TRACES) + "/" + GetParam();
  std::ifstream in(path);
  ASSERT_TRUE(in) << path;
  Player player;
  std::ostringstream kept, played;
  int events = 0;
  for (std::string line; std::getline(in, line);) {
    kept << line << '\n';
    if (line.starts_with("  =")) continue;
    played << line << '\n';
    if (line.empty() || line[0] == '#') continue;
    ++events;
    for (const auto& o : player.play(line)) played << "  = " << o << '\n';
  }
  EXPECT_GT(events, 3);
  if (std::getenv("UPDATE_TRACES")) std::ofstream(path) << played.str();
  EXPECT_EQ(played.str(), kept.str());
}

std::vector<std::string> traces() {
  std::vector<std::string> out;
  for (const auto& e : std::filesystem::directory_iterator(TRACES))
    out.push_back(e.path().filename().string());
  std::sort(out.begin(), out.end());
  return out;
}

INSTANTIATE_TEST_SUITE_P(Kept, Trace, ::testing::ValuesIn(traces()), [](const auto& p) {
  std::string name = p.param.substr(0, p.param.find('.'));
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

}  // namespace
}  // namespace aspenwick::share
