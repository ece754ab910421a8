#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "app/controller.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "share/peer_link.h"

namespace {

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

/// The node on libevent: its loop, its sockets, and the controller between them.
void serve(const aspenwick::wire::PlatformSettings& platform, const aspenwick::app::OperatorSettings& ops) {
  using namespace aspenwick;
  constexpr std::size_t kToServices = 24, kToAWorker = 2;  // connections
  net::EventLoop loop;
  net::Client http(loop.base(), kToServices), workers(loop.base(), kToAWorker);
  std::unique_ptr<app::Controller> controller;
  share::PeerLink peers(loop.base(), platform, [&](const share::Frame& f, const share::Peers::Reply& reply) {
    controller->heard(f, reply);
  });
  net::Server server(loop.base(), platform.listen, platform.sockets,
                     [&](const net::ExchangePtr& x) { controller->asked(x); });
  controller =
      std::make_unique<app::Controller>(platform, ops, app::Controller::Needs{loop, http, workers, peers});
  spdlog::info("{} listens on {}", platform.name, platform.listen.text());
  loop.run();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli{"aspenwick: a cluster scheduler that learns where tasks run well"};
  std::string config, ops_path;
  bool check = false;
  cli.add_option("--config", config, "The platform's settings (JSON)")->required();
  cli.add_option("--operator", ops_path, "Operators' own settings (YAML); see docs/operators.md");
  cli.add_flag("--check", check, "Check the settings and end");
  cli.set_version_flag("--version", std::string("aspenwick ") + ASPENWICK_VERSION);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return cli.exit(e) == 0 ? 0 : 2;
  }
  start_log();
  aspenwick::wire::PlatformSettings platform;
  aspenwick::app::OperatorSettings ops;
  try {
    platform = aspenwick::wire::parse_settings(read_file(config));
    if (!ops_path.empty()) ops = aspenwick::app::read_operator_settings(ops_path);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  if (check) {
    std::cout << "settings are good\n";
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    serve(platform, ops);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 1;
  }
  return 0;
}
