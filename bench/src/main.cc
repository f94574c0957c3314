// trestlepost-bench: stand-ins and load generator for tests and measurements.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "caller.h"
#include "demo.h"
#include "endpoint.h"
#include "load.h"
#include "platform.h"
#include "relay.h"

namespace {

using trestlepost::bench::relay_link;

/// Parses "LISTEN=TARGET"; an invalid text gives an empty link.
relay_link parse_link(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) return {};
  return {text.substr(0, equals), text.substr(equals + 1)};
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Stand-ins and load for trestlepost"};
  app.require_subcommand(1);

  trestlepost::bench::endpoint_options endpoint;
  CLI::App* endpoint_command = app.add_subcommand("endpoint");
  endpoint_command->add_option("--address", endpoint.address)->required();
  endpoint_command->add_option("--name", endpoint.name)->required();
  endpoint_command->add_option("--region", endpoint.region)->required();
  endpoint_command->add_option("--slots", endpoint.slots);
  endpoint_command->add_option("--run-log", endpoint.run_log);
  endpoint_command->add_option("--speed", endpoint.speed);
  endpoint_command->add_flag("--plain", endpoint.plain);
  int plain_ms = 20;
  endpoint_command->add_option("--plain-ms", plain_ms);

  trestlepost::bench::platform_options platform;
  int lag_ms = 1000;
  CLI::App* platform_command = app.add_subcommand("platform");
  platform_command->add_option("--address", platform.address)->required();
  platform_command->add_option("--vm", platform.vms);
  platform_command->add_option("--lag-ms", lag_ms);

  trestlepost::bench::relay_options relay;
  std::vector<std::string> links;
  CLI::App* relay_command = app.add_subcommand("relay");
  relay_command->add_option("--control", relay.control_address)->required();
  relay_command->add_option("--link", links, "LISTEN=TARGET");
  relay_command->add_option("--delay-ms", relay.delay_ms);

  trestlepost::bench::demo_options demo;
  CLI::App* demo_command = app.add_subcommand("demo");
  demo_command->add_option("--node", demo.node)->required();
  demo_command->add_option("--token", demo.token)->required();
  demo_command->add_option("--model", demo.model)->required();
  demo_command->add_option("--service", demo.plain_service)->required();
  demo_command->add_option("--path", demo.plain_path)->required();

  std::string load_file;
  bool as_json = false;
  CLI::App* load_command = app.add_subcommand("load");
  load_command->add_option("file", load_file)->required();
  load_command->add_flag("--json", as_json);

  CLI11_PARSE(app, argc, argv);
  if (endpoint_command->parsed()) {
    endpoint.plain_time = std::chrono::milliseconds(plain_ms);
    return run_endpoint(endpoint);
  }
  if (platform_command->parsed()) {
    platform.lag = std::chrono::milliseconds(lag_ms);
    return run_platform(platform);
  }
  if (relay_command->parsed()) {
    for (const std::string& it : links) relay.links.push_back(parse_link(it));
    return run_relay(relay);
  }
  if (demo_command->parsed()) return run_demo(demo);
  return trestlepost::bench::run_load_file(load_file, as_json);
}
