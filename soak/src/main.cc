// trestlepost-soak: injects faults from seeds and reports violated guarantees.
#include <CLI/CLI.hpp>
#include <iomanip>
#include <iostream>
#include <optional>

#include "soak_run.h"
#include "trestlepost/base/json.h"

namespace {

using trestlepost::json;
using trestlepost::soak::fault_kind;
using trestlepost::soak::parse_fault_kind;
using trestlepost::soak::run_soak;
using trestlepost::soak::soak_options;
using trestlepost::soak::soak_result;

constexpr int exit_violations = 1;
constexpr int exit_bad_usage = 2;

struct seed_range {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

/// Parses "7" or "1..50"; false if the text is no such range.
bool read_range(const std::string& text, seed_range& out) {
  const std::size_t dots = text.find("..");
  try {
    out.first = std::stoull(text.substr(0, dots));
    out.last = dots == std::string::npos ? out.first
                                         : std::stoull(text.substr(dots + 2));
  } catch (const std::exception&) {
    return false;
  }
  return out.first <= out.last;
}

/// Parses the names of fault kinds; reports the first that is none and returns
/// false.
bool read_kinds(const std::vector<std::string>& names,
                std::vector<fault_kind>& out) {
  for (const std::string& it : names) {
    const std::optional<fault_kind> kind = parse_fault_kind(it);
    if (!kind) {
      std::cerr << "\"" << it << "\" is no kind of fault; docs/SOAK.md lists "
                << "them\n";
      return false;
    }
    out.push_back(*kind);
  }
  return true;
}

json to_json(std::uint64_t seed, const soak_result& it) {
  json out;
  out["seed"] = trestlepost::as_number(seed);
  out["faults"] = it.faults;
  out["answered"] = it.answered;
  out["refused"] = it.refused;
  out["failed"] = it.failed;
  out["plans_acknowledged"] = it.acknowledged;
  out["reads"] = it.reads;
  out["repeats"] = it.repeats;
  out["retry_share"] = it.retry_share;
  out["limit_share"] = it.limit_share;
  out["peak_memory_mb"] = it.peak_memory_mb;
  out["crashes"] = it.crashes;
  out["part_sends"] = it.part_sends;
  out["late_part_sends"] = it.late_part_sends;
  out["evacuation_orders"] = it.evacuation_orders;
  out["zone_changes"] = it.zone_changes;
  out["late_zone_arrivals"] = it.late_zone_arrivals;
  out["stops"] = it.stops;
  out["longest_stop_ms"] = trestlepost::as_number(it.longest_stop);
  out["unanswered"] = json(Json::objectValue);
  for (const auto& [end, requests] : it.unanswered)
    out["unanswered"][end] = requests;
  out["recovery_ms"] = trestlepost::as_number(it.recovery);
  json& violations = out["violations"] = json(Json::arrayValue);
  for (const std::string& one : it.violations) violations.append(one);
  if (!it.folder.empty()) out["folder"] = it.folder;
  return out;
}

void print_row(std::uint64_t seed, const soak_result& it) {
  std::cout << std::setw(6) << seed << std::setw(8) << it.faults
            << std::setw(10) << it.answered << std::setw(9) << it.refused
            << std::setw(8) << it.failed << std::setw(7) << it.acknowledged
            << std::setw(7) << it.reads << std::setw(10) << it.recovery.count()
            << std::setw(9) << it.repeats << std::setw(8)
            << std::setprecision(2) << it.retry_share << std::setw(8)
            << it.limit_share << "  "
            << (it.violations.empty() ? "held" : "BROKEN") << "\n"
            << trestlepost::to_text(to_json(seed, it)) << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Injects seeded faults into a deployment of real nodes"};
  std::string seeds = "1";
  unsigned seconds = 20;
  app.add_option("--seed,--seeds", seeds, "a seed N, or the seeds A..B");
  app.add_option("--seconds", seconds,
                 "duration of the faults of each seed, in seconds");
  int gateways = 1;
  app.add_option("--gateways", gateways, "gateways of each region");
  bool limits = false;
  app.add_flag("--limits", limits,
               "endpoints state request limits most of the time");
  bool crashes = false;
  app.add_flag("--crashes", crashes,
               "some requests have a part that crashes endpoints");
  bool evacuations = false;
  bool bursts = false;
  app.add_flag("--bursts", bursts,
               "send bursts of large requests to the gateways");
  app.add_flag("--evacuations", evacuations,
               "a zone is evacuated and put back into service all the time");
  bool stops = false;
  app.add_flag("--stops", stops,
               "only stop and reload nodes in order, and change the plan");
  std::vector<std::string> kinds;
  app.add_option("--faults", kinds,
                 "leave out all faults but those of these kinds, for example "
                 "kill,refuse")
      ->delimiter(',');
  std::string program = "trestlepostd";
  app.add_option("--program", program, "the daemon that nodes run");
  CLI11_PARSE(app, argc, argv);
  seed_range range;
  if (!read_range(seeds, range)) {
    std::cerr << "\"" << seeds << "\" is not a seed range; write N or A..B\n";
    return exit_bad_usage;
  }
  std::vector<fault_kind> only;
  if (!read_kinds(kinds, only)) return exit_bad_usage;
  std::cout << "  seed  faults  answered  refused  failed  plans  reads  "
               "heal, ms  repeats   share   limit\n";
  bool passed = true;
  for (std::uint64_t seed = range.first; seed <= range.last; ++seed) {
    const soak_result it =
        run_soak({seed, std::chrono::seconds(seconds), gateways, limits,
                  crashes, evacuations, bursts, stops, program, only});
    print_row(seed, it);
    passed = passed && it.violations.empty();
  }
  return passed ? 0 : exit_violations;
}
