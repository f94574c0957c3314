#include "soak_run.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdlib>
#include <optional>
#include <random>
#include <thread>

#include "burst_load.h"
#include "deployment.h"
#include "fault_injection.h"
#include "part_check.h"
#include "planned_work.h"
#include "request_record.h"
#include "schedule.h"
#include "stop_load.h"
#include "trestlepost/transport/http_client.h"
#include "zone_orders.h"

namespace trestlepost::soak {
namespace {

using platform::test::deployment;
using platform::test::repeat_window;
using platform::test::wait_until;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::awaitable;

const std::vector<std::string> control_nodes{"control-n1", "control-s1",
                                             "control-n2"};
const std::vector<std::string> endpoints{"i-n1", "i-n2", "i-s1"};
const endpoint_names home_endpoints{"i-s1"};

constexpr int callers_per_entry = 12;
constexpr int operators = 2;
constexpr int readers = 2;
constexpr milliseconds caller_pause{15};
constexpr milliseconds operator_pause{150};
constexpr milliseconds order_timeout{1000};
constexpr milliseconds caller_timeout{3000};
constexpr milliseconds route_timeout{4000};
constexpr unsigned max_extra_routes = 400;
// How long an evacuated zone is watched after the end of the allowed delay.
constexpr milliseconds evacuated_time{2000};
constexpr unsigned min_attempts = 2;  // of the plans' repeatable routes
// Allowed time from the end of the last fault until all nodes serve.
constexpr milliseconds max_recovery_time{15'000};
const platform::test::retry_limits retry_limits{0.2, 10};

transport::http_client_options client_options() {
  transport::http_client_options out;
  out.accept_close_delimited = true;
  return out;
}

/// Callers, operators and readers on one event loop in a separate thread. They
/// keep their connections open.
class traffic {
 public:
  traffic(deployment& target, const soak_options& options, plan_record& plans)
      : deployment_(target),
        plans_(plans),
        engine_(options.seed),
        crashes_(options.crashes),
        timeout_(options.stops ? stop_load::request_timeout : route_timeout) {
    for (const std::string& entry : target.gateways()) {
      // Those of `stop_load` send requests instead.
      if (options.stops) break;
      for (int n = 0; n < callers_per_entry; ++n) spawn(run_caller(entry));
    }
    for (int n = 0; n < operators; ++n) spawn(run_operator());
    for (int n = 0; n < readers; ++n) spawn(run_reader());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~traffic() { stop(); }

  /// Starts no new calls and waits for those in progress.
  void stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  const std::vector<request_outcome>& requests() const { return requests_; }
  /// Lets the operator `orders` send orders beside the others.
  void add_zone_orders(zone_orders& orders) { spawn(orders.run(io_, client_)); }

 private:
  void spawn(awaitable<void> task) {
    boost::asio::co_spawn(io_, std::move(task), boost::asio::detached);
  }
  std::uint64_t random_below(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(engine_);
  }
  /// Sends requests of random kinds, one at a time, and doesn't wait as
  /// Retry-After asks.
  awaitable<void> run_caller(std::string entry);
  /// Sends new plans; repeats each until it is acknowledged or invalid.
  awaitable<void> run_operator();
  /// Reads plans from random control nodes.
  awaitable<void> run_reader();

  deployment& deployment_;
  plan_record& plans_;
  std::mt19937_64 engine_;
  bool crashes_;
  milliseconds timeout_;  // of the plans' routes
  std::atomic<bool> stopping_{false};
  transport::asio::io_context io_{1};
  transport::http_client client_{io_, client_options()};
  std::vector<request_outcome> requests_;
  int next_id_ = 0;
  std::thread thread_;
};

awaitable<void> traffic::run_caller(std::string entry) {
  while (!stopping_) {
    request_outcome it;
    it.id = "soak-" + std::to_string(next_id_++);
    std::string method = "GET";
    std::string path = "/get/1";
    const std::uint64_t kind = random_below(6);
    if (kind == 1) {
      it.kind = request_kind::run_once;
      method = "POST";
      path = "/book/1";
    } else if (kind == 2) {
      it.kind = request_kind::home_bound;
      path = "/south/1";
    } else if (kind == 3) {
      path = "/live/1";
    } else if (kind == 4) {
      it.kind = request_kind::run_once;
      path = "/once/1";
    }
    const bool streamed = kind == 3 || kind == 4;
    bench::caller_request request =
        deployment_.caller_request(entry, method, path, it.id);
    request.timeout = caller_timeout;
    const std::uint64_t number = static_cast<std::uint64_t>(next_id_);
    const bool lethal = crashes_ && add_prompt(request, number, engine_);
    deployment_.record_request(path);
    const bench::caller_answer answer =
        co_await bench::send(client_, std::move(request));
    if (lethal) continue;
    if (answer.complete) it.status = answer.status;
    if (answer.complete && streamed) it.stream = answer.body;
    it.delimited = answer.delimited;
    requests_.push_back(it);
    co_await transport::sleep_for(io_, caller_pause);
  }
}

awaitable<void> traffic::run_operator() {
  while (!stopping_) {
    const std::uint64_t number = plans_.next_number();
    const std::string plan = deployment::large_plan(
        static_cast<unsigned>(number),
        static_cast<unsigned>(random_below(max_extra_routes)),
        min_attempts + static_cast<unsigned>(random_below(2)),
        static_cast<unsigned>(timeout_.count()));
    plans_.record_sent(number, plan);
    for (bool open = true; open && !stopping_;) {
      bench::caller_request request = deployment_.replace_request(
          control_nodes[random_below(control_nodes.size())], plan);
      request.timeout = order_timeout;
      const bench::caller_answer answer =
          co_await bench::send(client_, std::move(request));
      open = !answer.complete || answer.status >= 500;
      if (answer.complete && answer.status == 200)
        plans_.record_acknowledged(number);
      if (answer.complete && answer.status >= 400 && answer.status < 500) {
        plans_.record_invalid(number, answer.body);
      }
      co_await transport::sleep_for(io_, operator_pause);
    }
  }
}

awaitable<void> traffic::run_reader() {
  while (!stopping_) {
    const std::uint64_t acknowledged_number = plans_.newest_acknowledged();
    const std::string& node = control_nodes[random_below(control_nodes.size())];
    bench::caller_request request = deployment_.read_request(node);
    request.timeout = order_timeout;
    const bench::caller_answer answer =
        co_await bench::send(client_, std::move(request));
    if (answer.complete && answer.status == 200) {
      plans_.record_read(acknowledged_number,
                         deployment::plan_version(answer.body), answer.body,
                         node);
    }
    co_await transport::sleep_for(io_, operator_pause);
  }
}

/// Describes the answer of a node that doesn't serve.
std::string describe(const std::string& node,
                     const bench::caller_answer& answer) {
  return node + " answered " + std::to_string(answer.status) + " " +
         answer.body;
}

/// Returns which node doesn't serve and its answer, or nothing if all serve.
/// `attempt` must differ between calls: a request whose id has already arrived
/// counts as a repeat.
std::optional<std::string> find_failing_node(deployment& target,
                                             plan_record& plans, int attempt) {
  for (const std::string& it : target.gateways()) {
    const std::string id = "again-" + std::to_string(attempt) + "-" + it;
    const bench::caller_answer answer = target.request(it, "GET", "/get/1", id);
    if (answer.status != 200) return describe(it, answer);
  }
  for (const std::string& it : control_nodes) {
    const std::uint64_t acknowledged_number = plans.newest_acknowledged();
    const bench::caller_answer answer =
        bench::send_and_wait(target.read_request(it));
    if (!answer.complete || answer.status != 200) return describe(it, answer);
    plans.record_read(acknowledged_number,
                      deployment::plan_version(answer.body), answer.body, it);
  }
  return std::nullopt;
}

void check_recovery(deployment& target, plan_record& plans, soak_result& out) {
  const steady_clock::time_point faults_ended_at = steady_clock::now();
  int attempts = 0;
  std::string last_failure;
  const bool recovered = wait_until([&] {
    const std::optional<std::string> failure =
        find_failing_node(target, plans, ++attempts);
    if (failure) last_failure = *failure;
    return !failure;
  });
  out.recovery = std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                          faults_ended_at);
  if (!recovered || out.recovery > max_recovery_time) {
    out.violations.push_back(
        "not all nodes serve " + std::to_string(out.recovery.count()) +
        " ms after the end of the last fault: " + last_failure);
  }
}

void check_repeats(const deployment& target, soak_result& out) {
  const repeat_window worst = target.worst_window();
  out.repeats = target.repeated_arrivals();
  out.retry_share = worst.used_share();
  if (worst.exceeds_limit()) out.violations.push_back(to_string(worst));
}

/// Keeps callers busy after the last fault for as long as late requests count.
void watch_evacuated_zone(zone_orders& orders) {
  orders.finish();
  wait_until([&orders] { return orders.finished(); });
  std::this_thread::sleep_for(evacuation_record::max_delay + evacuated_time);
}

void check_limits(const deployment& target, soak_result& out) {
  const platform::test::limit_window worst = target.worst_limit_window();
  out.limit_share = worst.used_share();
  if (worst.exceeds_limit()) out.violations.push_back(to_string(worst));
}

void report_stops(const stop_record& stops, soak_result& out) {
  out.violations.insert(out.violations.end(), stops.violations().begin(),
                        stops.violations().end());
  out.stops = stops.stops();
  out.longest_stop = stops.longest_stop();
  out.unanswered = stops.ends();
  out.faults = out.stops + stops.reloads();
}

/// Sends a plan whose routes have the timeout of the requests of `stop_load`.
void set_request_timeout(deployment& target, plan_record& plans) {
  const std::uint64_t number = plans.next_number();
  const std::string plan = deployment::large_plan(
      static_cast<unsigned>(number), 0, min_attempts,
      static_cast<unsigned>(stop_load::request_timeout.count()));
  plans.record_sent(number, plan);
  wait_until([&] {
    return bench::send_and_wait(
               target.replace_request(control_nodes.front(), plan))
               .status == 200;
  });
  plans.record_acknowledged(number);
}

}  // namespace

soak_result run_soak(const soak_options& options) {
  soak_result out;
  platform::test::deployment_options target;
  target.retries = retry_limits;
  target.gateways_per_region = options.gateways_per_region;
  target.program = options.program;
  if (options.stops) draw_stop_settings(options.seed, target);
  deployment it(target);
  it.bring_up();
  plan_record plans(out.violations);
  plans.record_sent(1, deployment::plan(1));
  plans.record_acknowledged(1);
  stop_record stops(target.drain_timeout, stop_load::request_timeout);
  const std::vector<fault> schedule = make_schedule(
      options.seed,
      {control_nodes, it.gateways(), endpoints, options.span, options.limits,
       options.crashes, options.evacuations, options.only});
  zone_orders orders(it, control_nodes, options.seed, out.violations);
  {
    if (options.crashes) begin_crashes(it);
    if (options.stops) set_request_timeout(it, plans);
    if (options.evacuations) it.record_gateways();
    traffic load(it, options, plans);
    if (options.evacuations) load.add_zone_orders(orders);
    std::optional<burst_load> bursts;
    if (options.bursts) bursts.emplace(it, options.seed);
    const steady_clock::time_point start = steady_clock::now();
    const std::chrono::system_clock::time_point started_at =
        std::chrono::system_clock::now();
    std::vector<planned_request> planned;
    if (options.stops) {
      stop_load callers(it, options.seed);
      run_planned_work(it, control_nodes, options.span, options.seed, stops);
      callers.stop();
      planned = callers.requests();
    } else {
      inject_faults(it, schedule);
      out.faults = static_cast<int>(schedule.size());
    }
    if (options.evacuations) watch_evacuated_zone(orders);
    bursts.reset();
    load.stop();
    check_recovery(it, plans, out);
    check_repeats(it, out);
    check_limits(it, out);
    out.peak_memory_mb = check_memory(it, out.violations);
    if (options.evacuations) orders.check(schedule, started_at, out);
    if (options.crashes) check_parts(it, schedule, start, out);
    request_record requests(
        out.violations, home_endpoints,
        platform::test::events_between(0, platform::test::stream_events));
    for (const request_outcome& one : load.requests()) {
      requests.check(one, it.runs_of(one.id));
    }
    for (const planned_request& one : planned) {
      stops.check(one, it.runs_of(one.outcome.id));
      requests.check(one.outcome, it.runs_of(one.outcome.id));
    }
    out.answered = requests.answered();
    out.refused = requests.refused();
    out.failed = requests.failed();
  }
  if (options.stops) report_stops(stops, out);
  out.acknowledged = plans.acknowledgements();
  out.reads = plans.reads();
  if (!out.violations.empty()) out.folder = it.keep_folder();
  return out;
}

}  // namespace trestlepost::soak
