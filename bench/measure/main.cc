// trestlepost-measure: measurements on loopback; `support/bench` runs it.
#include <CLI/CLI.hpp>

#include "measure.h"

int main(int argc, char** argv) {
  CLI::App app{"Measures trestlepost over a deployment on loopback"};
  app.require_subcommand(1);
  unsigned repeats = 1;
  CLI::App* overhead = app.add_subcommand("overhead");
  CLI::App* config = app.add_subcommand("config");
  CLI::App* rest = app.add_subcommand("rest");
  CLI::App* policy = app.add_subcommand("policy");
  policy->add_option("--repeats", repeats);
  CLI11_PARSE(app, argc, argv);
  if (overhead->parsed()) return trestlepost::measure::measure_overhead();
  if (config->parsed()) return trestlepost::measure::measure_config();
  if (rest->parsed()) return trestlepost::measure::measure_idle();
  return trestlepost::measure::measure_policy(repeats);
}
