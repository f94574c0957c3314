// Measures the latency that a gateway adds to plain and streamed requests, its
// CPU use and its memory.
#include <cstdio>

#include "cluster.h"
#include "load.h"
#include "measure.h"

namespace trestlepost::measure {
namespace {

using bench::class_result;
using bench::load_class;
using bench::load_options;
using bench::quantile;

constexpr unsigned caller_count = 31'000;

load_class make_plain_class(const std::string& name, const std::string& entry,
                            const std::string& target, double rate) {
  load_class out;
  out.name = name;
  out.entry = entry;
  out.target = target;
  out.token = "planner-token";
  out.rate = rate;
  out.model = false;
  return out;
}

void print(const std::string& name, const class_result& it) {
  std::printf(
      "%-22s offered %6llu good %6llu p50 %7.3f ms p99 %7.3f ms "
      "first p50 %7.3f ms p99 %7.3f ms\n",
      name.c_str(), static_cast<unsigned long long>(it.offered),
      static_cast<unsigned long long>(it.good), quantile(it.total_ms, 0.5),
      quantile(it.total_ms, 0.99), quantile(it.first_ms, 0.5),
      quantile(it.first_ms, 0.99));
}

void print_all(const load_options& options) {
  for (const auto& [name, it] : bench::run_load(options)) print(name, it);
}

/// Makes the plain service repeatable, so that its requests need no ledger.
void configure(test::cluster& it) {
  it.apply("isola-1", R"({"services": [{"name": "banco"}]})");
}

/// Enlarges the configuration, to measure its memory.
void add_callers(test::cluster& it) {
  constexpr unsigned batch = 1000;
  for (unsigned from = 0; from < caller_count; from += batch) {
    json change;
    for (unsigned i = from; i < from + batch; ++i) {
      json one;
      one["name"] = "organisation-" + std::to_string(i);
      one["token"] = "token-" + std::to_string(i);
      one["labels"]["team"] = "terminal";
      change["callers"].append(std::move(one));
    }
    it.apply("isola-1", to_text(change));
  }
}

}  // namespace

int measure_overhead() {
  test::cluster_options options;
  options.plain_ms = 0;
  options.slots = 512;
  options.delay_ms = 0;
  test::cluster it(options);
  it.bring_up();
  configure(it);
  const std::string entry = it.address("isola-2", 7000);
  const std::string endpoint = it.endpoint_address("banco-isola");
  const std::string target = "/v1/services/banco/status";

  load_options load;
  load.seconds = 8;
  load.warmup_seconds = 2;
  load.classes = {make_plain_class("direct 200/s", endpoint, "/status", 200),
                  make_plain_class("gateway 200/s", entry, target, 200)};
  print_all(load);

  load_class stream = make_plain_class("stream direct 20/s",
                                       it.endpoint_address("guida-isola-1"),
                                       "/v1/chat/completions", 20);
  stream.model = true;
  stream.service = "guida";
  stream.stream = true;
  load_class via_gateway = stream;
  via_gateway.name = "stream gateway 20/s";
  via_gateway.entry = entry;
  load.classes = {stream, via_gateway};
  print_all(load);

  std::printf("memory at rest: %.1f MB\n",
              static_cast<double>(it.resident_bytes_of("isola-2")) / 1e6);
  for (const double rate : {1000.0, 2000.0, 3000.0, 4000.0, 5000.0, 6000.0}) {
    load.seconds = 4;
    load.warmup_seconds = 1;
    load.classes = {make_plain_class(
        "gateway " + std::to_string(int(rate)) + "/s", entry, target, rate)};
    const std::chrono::milliseconds before = it.cpu_time_of("isola-2");
    print_all(load);
    const std::chrono::milliseconds used = it.cpu_time_of("isola-2") - before;
    std::printf("  CPU of the gateway: %.2f of a core\n",
                static_cast<double>(used.count()) / 5000.0);
  }
  add_callers(it);
  test::eventually(
      [&it] { return it.revision("isola-2") == it.revision("isola-1"); });
  std::printf(
      "memory with %u callers: isola-2 (gateway) %.1f MB, isola-1 "
      "(control) %.1f MB\n",
      caller_count, static_cast<double>(it.resident_bytes_of("isola-2")) / 1e6,
      static_cast<double>(it.resident_bytes_of("isola-1")) / 1e6);
  return 0;
}

}  // namespace trestlepost::measure
