// trestlepostd: the daemon that runs one node.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "memory/memory_monitor.h"
#include "node.h"

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_failed_start = 3;

/// By default SIGHUP ends a process that has no handler yet. It is held back
/// until the node can reload its settings.
void block_hangup(bool block) {
  sigset_t hangup;
  sigemptyset(&hangup);
  sigaddset(&hangup, SIGHUP);
  pthread_sigmask(block ? SIG_BLOCK : SIG_UNBLOCK, &hangup, nullptr);
}

int report(const trestlepost::error& cause, int code) {
  std::cerr << "trestlepostd: " << cause.message << "\n"
            << "remedy: " << cause.remedy << "\n";
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  block_hangup(true);
  trestlepost::node::set_allocator_options();
  CLI::App app{"A node of trestlepost, the multi-region inference gateway"};
  std::string file;
  bool check_only = false;
  app.add_option("--settings", file, "the node's settings, JSON with comments")
      ->required();
  app.add_flag("--check", check_only, "check the settings and exit");
  app.set_version_flag("--version", TRESTLEPOST_VERSION);
  CLI11_PARSE(app, argc, argv);

  std::signal(SIGPIPE, SIG_IGN);
  const trestlepost::result<trestlepost::node::settings> options =
      trestlepost::node::load_settings(file);
  if (!options) return report(options.error(), exit_bad_settings);
  if (check_only) {
    std::cout << file << ": sound\n";
    return 0;
  }
  trestlepost::start_log(options->node, options->region, options->min_log_level,
                         options->log_file);
  trestlepost::node::node node(*options, file);
  const trestlepost::result<void> started = node.start();
  if (!started) return report(started.error(), exit_failed_start);
  block_hangup(false);
  node.run();
  return 0;
}
