// Replays the traces in tests/traces against the share controller, the ownership rules and the dependency
// graph, and compares the output with the recorded output. A trace line is an event ("12.5 report i-1 ...",
// with its time in seconds); the indented lines after it, which begin with "=", are its complete output.
// Attempts are written epoch.counter, tokens epoch+fence. UPDATE_TRACES=1 rewrites the expected output in
// place; review the diff before committing it.
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

constexpr Micros kStartTime = 1000 * kSecond;
constexpr Micros kStartWallClock = 2'000'000 * kSecond;

/// Executes the events of one trace. State is kept between events, so each trace needs its own player.
class TracePlayer {
 public:
  /// Executes one event and returns its output lines. Throws if an argument is missing or malformed.
  std::vector<std::string> play(const std::string& line) {
    output_.clear();
    std::istringstream in(line);
    double at = 0;
    std::string event;
    in >> at >> event;
    now_ = kStartTime + from_seconds(at);
    arguments_.clear();
    options_.clear();
    for (std::string w; in >> w;) {
      const auto eq = w.find('=');
      if (eq == std::string::npos)
        arguments_.push_back(w);
      else
        options_[w.substr(0, eq)] = w.substr(eq + 1);
    }
    if (!handle_controller_event(event) && !handle_ownership_event(event) && !handle_graph_event(event))
      output_.push_back("unknown event");
    apply_graph_changes();
    return output_;
  }

 private:
  std::string option(const std::string& k, const std::string& fallback) const {
    auto it = options_.find(k);
    return it == options_.end() ? fallback : it->second;
  }
  double numeric_option(const std::string& k, double fallback) const {
    return std::stod(option(k, std::to_string(fallback)));
  }

  /// Attempts and tokens hold an epoch and, in the low 20 bits, a counter.
  static std::uint64_t parse_packed(const std::string& s, char separator) {
    const auto sep = s.find(separator);
    const std::uint64_t low = sep == std::string::npos ? 0 : std::stoull(s.substr(sep + 1));
    return (std::stoull(s) << 20) + low;
  }
  static std::string format_packed(std::uint64_t v, char separator) {
    const std::uint64_t low = v & 0xfffff;
    return std::to_string(v >> 20) + (low || separator == '.' ? separator + std::to_string(low) : "");
  }
  static std::string format_order(const Order& o) {
    static constexpr const char* kVerbs[] = {"launch", "halt", "forget"};
    return std::string(kVerbs[static_cast<int>(o.verb)]) + " " + o.job + "/" + std::to_string(o.index) +
           " @" + format_packed(o.attempt, '.') +
           (o.grace ? " grace " + std::to_string(o.grace / kSecond) : "");
  }

  /// Parses a worker's report whose tasks begin at argument `first_task`, each written like
  /// "j-1/0@3.1:running" or "j-1/0@3.1:ended:done".
  wire::WorkerReport parse_report(const std::string& machine, std::size_t first_task) const {
    wire::WorkerReport r;
    r.machine = machine, r.address = "127.0.0.1:9", r.type = "cpu8", r.zone = "z1";
    r.session = static_cast<std::uint64_t>(numeric_option("session", 1));
    r.seq = static_cast<std::uint64_t>(numeric_option("seq", 1));
    r.token = parse_packed(option("token", "0"), '+');
    if (options_.contains("notice")) r.reclaim_notice = from_seconds(numeric_option("notice", 0));
    for (std::size_t i = first_task; i < arguments_.size(); ++i) {
      const std::string& w = arguments_[i];
      const auto slash = w.find('/'), sign = w.find('@'), colon = w.find(':');
      wire::TaskReport t;
      t.job = w.substr(0, slash);
      t.index = static_cast<std::uint32_t>(std::stoul(w.substr(slash + 1)));
      t.attempt = parse_packed(w.substr(sign + 1, colon - sign - 1), '.');
      const std::string state = w.substr(colon + 1);
      if (state == "running") t.state = wire::TaskState::running;
      if (state == "waiting") t.state = wire::TaskState::waiting;
      if (state == "flushing") t.state = wire::TaskState::saving;
      if (state.starts_with("ended")) {
        t.state = wire::TaskState::exited;
        const std::string cause = state.substr(6);
        t.cause = cause == "done"         ? wire::ExitCause::done
                  : cause == "error"      ? wire::ExitCause::error
                  : cause == "no_room"    ? wire::ExitCause::no_room
                  : cause == "incomplete" ? wire::ExitCause::gang_incomplete
                                          : wire::ExitCause::stopped;
      }
      r.tasks.push_back(t);
    }
    return r;
  }

  bool handle_controller_event(const std::string& event) {
    if (event == "hold") {
      if (!graph_enabled_) jobs_.clear();
      ShareControllerSettings s;
      s.rnn.round_robin_fraction = 0;
      controller_ = std::make_unique<ShareController>(
          platform_, types_, s,
          [this](const std::string& id) -> const JobRecord* {
            auto it = jobs_.find(id);
            return it == jobs_.end() ? nullptr : &it->second;
          },
          static_cast<std::uint64_t>(numeric_option("epoch", 1)), now_,
          kStartTime + from_seconds(numeric_option("former_until", 0)));
    } else if (event == "job") {
      auto j = testing::job_json();
      j["nameId"] = arguments_.at(0);
      j["jobclass"] = option("class", "batch");
      j["owner"] = option("team", "red");
      j["shape"] = option("shape", "array");
      j["rank"] = option("rank", "low");
      j["pieces"] = static_cast<int>(numeric_option("tasks", 1));
      j["vcpus"] = numeric_option("cpus", 2);
      j["cards"] = numeric_option("gpus", 0);
      j["guessS"] = numeric_option("guess", 30);
      j["bundle"] = option("image", "img");
      j["sizeGb"] = numeric_option("gb", 1);
      if (options_.contains("due")) j["dueS"] = numeric_option("due", 0);
      j["loaner"] = option("spot", "yes") == "yes";
      j["spread"] = option("spread", "no") == "yes";
      j["together"] = option("together", "no") == "yes";
      j["snapshotEveryS"] = numeric_option("saves", 0);
      j["snapshotS"] = numeric_option("save_time", 0);
      JobRecord r;
      r.spec = std::make_shared<JobSpec>(wire::job_from_json(j));
      r.submitted = kStartWallClock;
      if (graph_enabled_) {
        r.submitted = wall_clock();
        r.version = static_cast<std::uint64_t>(numeric_option("version", 1));
        auto spec = *r.spec;
        spec.job_class = option("class", "batch");
        std::istringstream needs(option("needs", ""));
        for (std::string n; std::getline(needs, n, ',');) spec.dependencies.push_back(n);
        r.spec = std::make_shared<JobSpec>(spec);
        jobs_[arguments_.at(0)] = r;
        graph_.update(arguments_.at(0), r);
        if (controller_ && graph_.is_ready(arguments_.at(0)) && option("elsewhere", "no") == "no")
          controller_->on_job_record(arguments_.at(0), r, option("fresh", "yes") == "yes", now_,
                                     wall_clock());
        return true;
      }
      jobs_[arguments_.at(0)] = r;
      controller_->on_job_record(arguments_.at(0), r, option("fresh", "yes") == "yes", now_, kStartWallClock);
    } else if (event == "withdrawn" || event == "finished") {
      JobRecord& r = jobs_.at(arguments_.at(0));
      r.status = event == "finished" ? wire::JobStatus::done : wire::JobStatus::cancelled;
      if (event == "finished" && options_.contains("at"))
        r.finished = kStartWallClock + from_seconds(numeric_option("at", 0));
      r.version = static_cast<std::uint64_t>(numeric_option("version", 2));
      graph_.update(arguments_.at(0), r);
      r.spec.reset();
      if (!controller_) return true;
      controller_->on_job_record(arguments_.at(0), r, false, now_, kStartWallClock);
    } else if (event == "machine") {
      MachineRecord m;
      m.id = arguments_.at(0), m.address = "127.0.0.1:9", m.type = option("type", "cpu8"),
      m.zone = option("zone", "z1");
      m.spot = option("spot", "no") == "yes",
      m.epoch = static_cast<std::uint64_t>(numeric_option("epoch", 0));
      controller_->on_machine_record(m, option("empty", "no") == "yes", now_);
    } else if (event == "loaded") {
      for (std::size_t i = 0; i + 1 < arguments_.size(); i += 2)
        controller_->load_progress_row(arguments_[i], 0, arguments_[i + 1], 7);
      controller_->finish_loading(now_);
      append_if_rebuilt();
    } else if (event == "report") {
      auto answer = controller_->on_report(parse_report(arguments_.at(0), 1), now_, owner_refusal());
      if (!answer) {
        output_.push_back("no right to act");
      } else {
        output_.push_back("answer token " + format_packed(answer->token, '+'));
        for (const auto& o : answer->orders) output_.push_back(format_order(o));
      }
      append_if_rebuilt();
    } else if (event == "raise") {
      controller_->raise_epoch(static_cast<std::uint64_t>(numeric_option("epoch", 2)));
    } else if (event == "tick") {
      controller_->tick(now_, owner_refusal());
      append_if_rebuilt();
    } else if (event == "push") {
      for (const auto& p : controller_->take_pushes(now_, 1000, owner_refusal())) {
        output_.push_back("push to " + p.machine + " token " + format_packed(p.token, '+') + " session " +
                          std::to_string(p.session));
        for (const auto& o : p.orders) output_.push_back(format_order(o));
      }
    } else if (event == "pushed") {
      const int status = std::stoi(arguments_.at(1));
      const auto r = parse_report(arguments_.at(0), 2);
      controller_->on_push_result(arguments_.at(0), status, status ? &r : nullptr, now_);
      append_if_rebuilt();
    } else if (event == "where") {
      for (const auto& s : controller_->describe_attempts()) output_.push_back(s);
    } else if (event == "record") {
      for (const auto& w : controller_->take_progress_writes(10)) {
        output_.push_back("write done " + w.job + " chunk " + ShareController::row_name(w.row) + " " +
                          w.text + " if version " + std::to_string(w.version));
        controller_->on_progress_write_result(w, option("ok", "yes") == "yes",
                                              static_cast<std::uint64_t>(numeric_option("version", 8)));
      }
      for (const auto& id : controller_->jobs_to_commit()) output_.push_back("complete " + id);
    } else if (event == "state") {  // the machine states as sent to the leader
      for (const auto& m : controller_->machine_states(now_))
        output_.push_back(m.id + (m.usable ? " usable" : "") + (m.empty ? " empty" : "") +
                          (m.worker_lost ? " gone" : ""));
    } else if (event == "release") {
      output_.push_back(controller_->release(arguments_.at(0), now_) ? "released" : "kept");
    } else {
      return false;
    }
    return true;
  }

  /// Why the owner may not start tasks at this event, by its options `lease` and `records`.
  place::StartRefusal owner_refusal() {
    if (option("lease", "valid") != "valid") return place::StartRefusal::lease_not_valid;
    if (option("records", "fresh") != "fresh") return place::StartRefusal::records_stale;
    return place::StartRefusal::none;
  }

  Micros wall_clock() const { return kStartWallClock + now_ - kStartTime; }

  /// Handles the events that query the dependency graph: the status that users are told, and the records
  /// that are still to be cancelled.
  bool handle_graph_event(const std::string& event) {
    if (event == "pipelines") {
      graph_enabled_ = true;
    } else if (event == "told") {
      const auto& r = jobs_.at(arguments_.at(0));
      output_.push_back(graph_.has_cancelled_dependency(arguments_.at(0)) ||
                                r.status == wire::JobStatus::cancelled
                            ? "withdrawn"
                        : r.status == wire::JobStatus::done            ? "done"
                        : !graph_.dependencies_known(arguments_.at(0)) ? "nothing yet: ask again"
                        : graph_.is_ready(arguments_.at(0))            ? "may start"
                                                                       : "queued");
    } else if (event == "to_withdraw") {
      std::string all;
      for (const auto& id : graph_.to_cancel()) all += " " + id;
      output_.push_back("records to follow:" + all);
    } else {
      return false;
    }
    return true;
  }

  /// Outputs the readiness, priority and deadline of each job that changed, and passes those of ready jobs to
  /// the controller.
  void apply_graph_changes() {
    static constexpr const char* kRanks[] = {"low", "normal", "high", "production"};
    for (const auto& id : graph_.take_changed()) {
      const auto& r = jobs_.at(id);
      const auto goals = graph_.scheduling_goals(id, r);
      output_.push_back(
          id +
          (graph_.is_ready(id) ? " ready since " + std::to_string((goals.ready - kStartWallClock) / kSecond)
                               : " waits") +
          ", " + kRanks[static_cast<int>(goals.rank)] +
          (goals.finish_by ? ", by " + std::to_string((*goals.finish_by - kStartWallClock) / kSecond) : ""));
      if (!controller_ || !graph_.is_ready(id)) continue;
      controller_->on_job_record(id, r, graph_.ready_version(id) > 100, now_, wall_clock());
      controller_->set_scheduling_goals(id, goals, now_, wall_clock());
    }
  }

  bool handle_ownership_event(const std::string& event) {
    if (event == "granted") {
      ownership_.lease_granted(std::stoull(arguments_.at(0)), now_);
    } else if (event == "renewed") {
      ownership_.lease_renewed(now_);
    } else if (event == "lost") {
      ownership_.lease_lost();
    } else if (event == "holder") {
      const int share = std::stoi(arguments_.at(0));
      if (arguments_.at(1) == "gone")
        ownership_.owner_removed(share, now_);
      else
        ownership_.owner_set(share,
                             {arguments_.at(1), static_cast<std::uint64_t>(numeric_option("lease", 0)), 1,
                              static_cast<std::uint64_t>(numeric_option("version", 1))},
                             now_);
    } else if (event == "peer") {
      const Micros since = peer_first_seen_.try_emplace(arguments_.at(0), now_).first->second;
      ownership_.peer_reported(
          arguments_.at(0),
          {option("state", "ok") == "ok", true, static_cast<std::uint64_t>(numeric_option("lease", 0)), now_,
           option("knows", "all") == "all", since,
           std::vector(3, static_cast<std::uint64_t>(numeric_option("epoch", 1)))});
    } else if (event == "began") {  // the peer was restarted
      peer_first_seen_.erase(arguments_.at(0));
    } else if (event == "read") {
      ownership_.set_records_as_of(now_);
    } else if (event == "ask") {
      std::string to_take, to_hand_back;
      for (int s : ownership_.shares_to_acquire(now_)) to_take += " " + std::to_string(s);
      if (auto share = ownership_.share_to_hand_back(now_)) to_hand_back = std::to_string(*share);
      output_.push_back(std::string("lease ") + (ownership_.lease_valid(now_) ? "valid" : "not valid") +
                        ", workers " +
                        (ownership_.may_renew_worker_leases(0, now_) ? "renewed" : "not renewed") +
                        (ownership_.only_we_lack_state_service(now_) ? ", refused alone" : "") +
                        (to_take.empty() ? "" : ", take" + to_take) +
                        (to_hand_back.empty() ? "" : ", hand back " + to_hand_back));
    } else if (event == "says") {
      output_.push_back(ownership_.reports_state_service_reachable(option("answered", "yes") == "yes", now_)
                            ? "has the state service"
                            : "lacks it");
    } else if (event == "heartbeat") {
      output_.push_back(
          "stamp " + format_seconds(static_cast<Micros>(heartbeats_.message_for("b", {}, now_).timestamp)));
    } else if (event == "hears") {
      Heartbeat heartbeat;
      heartbeat.node = arguments_.at(0);
      heartbeat.lease = static_cast<std::uint64_t>(numeric_option("lease", 0));
      heartbeat.incarnation = static_cast<std::uint64_t>(numeric_option("process", 1));
      heartbeat.timestamp = static_cast<std::uint64_t>(numeric_option("stamp", 1));
      if (options_.contains("echo")) {
        heartbeat.echo_incarnation = static_cast<std::uint64_t>(numeric_option("of", kIncarnation));
        heartbeat.echo_timestamp =
            static_cast<std::uint64_t>(kStartTime + from_seconds(numeric_option("echo", 0)));
      }
      const auto heard = heartbeats_.receive(heartbeat, now_);
      if (heard.state) ownership_.peer_reported(heartbeat.node, *heard.state);
      if (heard.state) output_.push_back("said at " + format_seconds(heard.state->reported_at));
      if (heard.reply_needed) output_.push_back("answer at once");
    } else if (event == "renewable") {
      output_.push_back("for " + std::to_string((latest_renewal_by_former_owner() - now_) / kSecond) + " s");
    } else if (event == "reading") {
      ownership_.key_reread_started();
    } else if (event == "keys_read") {
      ownership_.key_reread_finished(now_);
    } else {
      return false;
    }
    return true;
  }

  /// The latest time at which a former owner may renew leases of workers. The argument is a share, or a node:
  /// then it is that of a share which only the named node has owned and whose owner key was just removed.
  Micros latest_renewal_by_former_owner() const {
    if (arguments_.at(0).find_first_not_of("0123456789") == std::string::npos)
      return ownership_.former_owners_renew_until(std::stoi(arguments_.at(0)), now_);
    Ownership ownership_after(ownership_);
    constexpr int kUnusedShare = 100;
    ownership_after.owner_set(
        kUnusedShare, {arguments_.at(0), static_cast<std::uint64_t>(numeric_option("lease", 0)), 1, 1}, now_);
    ownership_after.owner_removed(kUnusedShare, now_);
    return ownership_after.former_owners_renew_until(kUnusedShare, now_);
  }

  static std::string format_seconds(Micros at) { return std::to_string((at - kStartTime) / kSecond); }

  /// Outputs "rebuilt" once for each controller, when it is.
  void append_if_rebuilt() {
    if (controller_->all_accounted_for() && reported_rebuilt_ != controller_.get()) {
      reported_rebuilt_ = controller_.get();
      output_.push_back("rebuilt");
    }
  }

  wire::PlatformSettings platform_ = wire::parse_settings(testing::settings_json().dump());
  std::vector<wire::MachineType> types_ = testing::machine_types();
  std::map<std::string, JobRecord> jobs_;
  bool graph_enabled_ = false;
  job::DependencyGraph graph_{[this](const std::string& id) -> const JobRecord* {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
  }};
  std::unique_ptr<ShareController> controller_;
  const ShareController* reported_rebuilt_ = nullptr;
  static constexpr std::uint64_t kIncarnation = 3;
  HeartbeatTracker heartbeats_{"a", kIncarnation};
  Ownership ownership_{platform_};
  std::map<std::string, Micros> peer_first_seen_;
  Micros now_ = 0;
  std::vector<std::string> arguments_, output_;
  std::map<std::string, std::string> options_;
};

class TraceTest : public ::testing::TestWithParam<std::string> {};

TEST_P(TraceTest, ReplayMatchesExpectedOutput) {
  const std::string path = std::string(TRACE_DIR) + "/" + GetParam();
  std::ifstream in(path);
  ASSERT_TRUE(in) << path;
  TracePlayer trace_player;
  std::ostringstream expected, actual;
  int events = 0;
  for (std::string line; std::getline(in, line);) {
    expected << line << '\n';
    if (line.starts_with("  =")) continue;
    actual << line << '\n';
    if (line.empty() || line[0] == '#') continue;
    ++events;
    for (const auto& o : trace_player.play(line)) actual << "  = " << o << '\n';
  }
  EXPECT_GT(events, 3);
  if (std::getenv("UPDATE_TRACES")) std::ofstream(path) << actual.str();
  EXPECT_EQ(actual.str(), expected.str());
}

std::vector<std::string> trace_files() {
  std::vector<std::string> out;
  for (const auto& e : std::filesystem::directory_iterator(TRACE_DIR))
    out.push_back(e.path().filename().string());
  std::sort(out.begin(), out.end());
  return out;
}

INSTANTIATE_TEST_SUITE_P(Replayed, TraceTest, ::testing::ValuesIn(trace_files()), [](const auto& p) {
  std::string name = p.param.substr(0, p.param.find('.'));
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

}  // namespace
}  // namespace aspenwick::share
