// Entry point of the aspenwick service: parses the options and settings, and runs the node on libevent.
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "app/controller.h"
#include "app/socket_budget.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "net/retry.h"
#include "share/ownership.h"
#include "share/peer_link.h"

namespace {

constexpr aspenwick::Micros kSocketMetricsInterval = 10 * aspenwick::kSecond;

void start_log() {
  auto log = std::make_shared<spdlog::logger>("aspenwick", std::make_shared<spdlog::sinks::stderr_sink_st>());
  log->set_pattern("%L %v");
  spdlog::set_default_logger(log);
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level ? level : "info";
  spdlog::set_level(name == "debug"   ? spdlog::level::debug
                    : name == "error" ? spdlog::level::err
                                      : spdlog::level::info);
}

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("settings: cannot read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// Runs the node on libevent: creates the event loop, the sockets, and the controller that uses them.
void run_node(const aspenwick::wire::PlatformSettings& platform,
              const aspenwick::app::OperatorSettings& operator_settings) {
  using namespace aspenwick;
  constexpr std::size_t kConnectionsPerWorker = 2;
  constexpr int kBindAttempts = 100;
  constexpr Micros kBindRetryDelay = 100 * kMillisecond, kIdleTimeout = 30 * kSecond;
  const auto budget = app::socket_budget(platform);
  net::EventLoop loop;
  net::Client http(loop.base(), app::SocketBudget::kMaxServiceConnections);
  net::Client workers(loop.base(), kConnectionsPerWorker, budget.max_pushes);
  std::unique_ptr<app::Controller> controller;
  // Both ports are bound first: while this process holds them, no former process of this node is alive.
  const auto peers = net::retry_on_error(
      [&] {
        return std::make_unique<share::PeerLink>(
            loop.base(), platform, [&](const share::Frame& f, const share::PeerTransport::Reply& reply) {
              controller->handle_frame(f, reply);
            });
      },
      kBindAttempts, kBindRetryDelay);
  const auto server = net::retry_on_error(
      [&] {
        return std::make_unique<net::Server>(
            loop.base(), platform.listen,
            net::Server::Limits{budget.max_callers, std::max(kIdleTimeout, 5 * platform.report_interval),
                                [](const std::string& path) { return path == app::kReportPath; }},
            [&](const net::ExchangePtr& exchange) { controller->handle_request(exchange); });
      },
      kBindAttempts, kBindRetryDelay);
  std::random_device random;
  const std::uint64_t incarnation = (std::uint64_t{random()} << 32 | random()) | 1;  // not 0
  controller = std::make_unique<app::Controller>(
      platform, operator_settings, app::Controller::Dependencies{loop, http, workers, *peers, incarnation});
  loop.call_every(kSocketMetricsInterval, [&] {
    const auto& open = server->connections();
    spdlog::info("metrics: sockets: workers in {}, others in {} of {}, pushes out {} of {}, services out {}",
                 open.worker_count(), open.open_count() - open.worker_count(), open.capacity(),
                 workers.open_count(), budget.max_pushes, http.open_count());
  });
  spdlog::info("{} listening on {}", platform.name, platform.listen.to_string());
  loop.run();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli{"aspenwick: a cluster scheduler that learns where tasks run well"};
  std::string config, operator_settings_path;
  bool check = false;
  cli.add_option("--config", config, "Platform settings file (JSON)")->required();
  cli.add_option("--operator", operator_settings_path,
                 "Operator settings file (YAML); see docs/operators.md");
  cli.add_flag("--check", check, "Check the settings and exit");
  cli.set_version_flag("--version", std::string("aspenwick ") + ASPENWICK_VERSION);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return cli.exit(e) == 0 ? 0 : 2;
  }
  start_log();
  aspenwick::wire::PlatformSettings platform;
  aspenwick::app::OperatorSettings operator_settings;
  try {
    platform = aspenwick::wire::parse_settings(read_file(config));
    aspenwick::share::check_cancel_deadline(platform);
    if (!operator_settings_path.empty())
      operator_settings = aspenwick::app::load_operator_settings(operator_settings_path);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  if (check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    run_node(platform, operator_settings);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 1;
  }
  return 0;
}
