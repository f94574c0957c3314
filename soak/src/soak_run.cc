#include "soak_run.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

#include "deployment.h"
#include "request_record.h"
#include "schedule.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::soak {
namespace {

using platform::test::deployment;
using platform::test::wait_until;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::awaitable;

const std::vector<std::string> control_nodes{"control-n1", "control-s1",
                                             "control-n2"};
const std::vector<std::string> entries{"entry-n", "entry-s"};
const endpoint_list home_endpoints{"i-s1"};

constexpr int callers_per_entry = 3;
constexpr int operators = 2;
constexpr int readers = 2;
constexpr milliseconds caller_pause{15};
constexpr milliseconds operator_pause{150};
constexpr milliseconds order_patience{1000};
constexpr milliseconds caller_patience{3000};
constexpr unsigned most_extra_routes = 400;
// Until everything is served again once all nodes run.
constexpr milliseconds longest_recovery{15'000};

/// Callers, operators and readers, on one loop in a thread of their own. They
/// keep their connections open.
class traffic {
 public:
  traffic(deployment& of, std::uint64_t seed, plan_record& plans)
      : deployment_(of), plans_(plans), engine_(seed) {
    for (const std::string& entry : entries) {
      for (int n = 0; n < callers_per_entry; ++n) spawn(call(entry));
    }
    for (int n = 0; n < operators; ++n) spawn(operate());
    for (int n = 0; n < readers; ++n) spawn(read());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~traffic() { end(); }

  /// Lets what is under way come to its end.
  void end() {
    ended_ = true;
    if (thread_.joinable()) thread_.join();
  }
  const std::vector<caller_request_record>& requests() const {
    return requests_;
  }

 private:
  void spawn(awaitable<void> task) {
    boost::asio::co_spawn(io_, std::move(task), boost::asio::detached);
  }
  std::uint64_t draw(std::uint64_t below) {
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(engine_);
  }
  awaitable<void> pause(milliseconds time) {
    transport::timer timer(io_);
    timer.expires_after(time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  awaitable<void> call(std::string entry);
  awaitable<void> operate();
  awaitable<void> read();

  deployment& deployment_;
  plan_record& plans_;
  std::mt19937_64 engine_;
  std::atomic<bool> ended_{false};
  transport::asio::io_context io_{1};
  transport::http_client client_{io_, {}};
  std::vector<caller_request_record> requests_;
  int next_id_ = 0;
  std::thread thread_;
};

awaitable<void> traffic::call(std::string entry) {
  while (!ended_) {
    caller_request_record it;
    it.id = "soak-" + std::to_string(next_id_++);
    std::string method = "GET";
    std::string path = "/get/1";
    const std::uint64_t kind = draw(3);
    if (kind == 1) {
      it.kind = request_kind::run_once;
      method = "POST";
      path = "/book/1";
    } else if (kind == 2) {
      it.kind = request_kind::bound;
      path = "/south/1";
    }
    bench::caller_request asked =
        deployment_.caller_request(entry, method, path, it.id);
    asked.timeout = caller_patience;
    const bench::caller_answer answer =
        co_await bench::send(client_, std::move(asked));
    if (answer.whole) it.status = answer.status;
    requests_.push_back(it);
    co_await pause(caller_pause);
  }
}

awaitable<void> traffic::operate() {
  while (!ended_) {
    const std::uint64_t number = plans_.next_number();
    const std::string plan =
        deployment::large_plan(static_cast<unsigned>(number),
                               static_cast<unsigned>(draw(most_extra_routes)));
    plans_.sent(number, plan);
    for (bool open = true; open && !ended_;) {
      bench::caller_request asked = deployment_.replace_request(
          control_nodes[draw(control_nodes.size())], plan);
      asked.timeout = order_patience;
      const bench::caller_answer answer =
          co_await bench::send(client_, std::move(asked));
      open = !answer.whole || answer.status >= 500;
      if (answer.whole && answer.status == 200) plans_.acknowledged(number);
      if (answer.whole && answer.status >= 400 && answer.status < 500) {
        plans_.refused_as_invalid(number, answer.body);
      }
      co_await pause(operator_pause);
    }
  }
}

awaitable<void> traffic::read() {
  while (!ended_) {
    const std::uint64_t least = plans_.newest_acknowledged();
    const std::string& node = control_nodes[draw(control_nodes.size())];
    bench::caller_request asked = deployment_.read_request(node);
    asked.timeout = order_patience;
    const bench::caller_answer answer =
        co_await bench::send(client_, std::move(asked));
    if (answer.whole && answer.status == 200) {
      plans_.shown(least, deployment::plan_version(answer.body), answer.body,
                   node);
    }
    co_await pause(operator_pause);
  }
}

void begin(deployment& of, const fault& it) {
  trestlepost::test::process& process = of.process_of(it.node);
  switch (it.kind) {
    case fault_kind::kill:
      of.kill(it.node);
      break;
    case fault_kind::wipe:
      of.kill(it.node);
      of.wipe(it.node);
      break;
    case fault_kind::freeze:
      process.signal(SIGSTOP);
      break;
    case fault_kind::stop:
      process.signal(SIGTERM);
      break;
    case fault_kind::reload:
      process.signal(SIGHUP);
      break;
  }
}

void end(deployment& of, const fault& it) {
  switch (it.kind) {
    case fault_kind::kill:
    case fault_kind::wipe:
      of.start(it.node);
      break;
    case fault_kind::freeze:
      of.process_of(it.node).signal(SIGCONT);
      break;
    case fault_kind::stop:
      // Ends it, should it not have come to its end by now.
      of.kill(it.node);
      of.start(it.node);
      break;
    case fault_kind::reload:
      break;
  }
}

/// Plays the schedule; returns when all faults have ended.
void play(deployment& of, const std::vector<fault>& schedule) {
  const steady_clock::time_point start = steady_clock::now();
  std::multimap<milliseconds, std::function<void()>> actions;
  for (const fault& it : schedule) {
    actions.emplace(it.begin, [&of, &it] { begin(of, it); });
    actions.emplace(it.end, [&of, &it] { end(of, it); });
  }
  for (const auto& [at, action] : actions) {
    std::this_thread::sleep_until(start + at);
    action();
  }
}

bool serves_again(deployment& of, plan_record& plans) {
  for (const std::string& it : entries) {
    if (of.request(it, "GET", "/get/1", "again-" + it).status != 200) {
      return false;
    }
  }
  for (const std::string& it : control_nodes) {
    const std::uint64_t least = plans.newest_acknowledged();
    const bench::caller_answer answer = bench::send_now(of.read_request(it));
    if (!answer.whole || answer.status != 200) return false;
    plans.shown(least, deployment::plan_version(answer.body), answer.body, it);
  }
  return true;
}

void check_recovery(deployment& of, plan_record& plans, soak_result& out) {
  const steady_clock::time_point healed = steady_clock::now();
  const bool again = wait_until([&] { return serves_again(of, plans); });
  out.recovery =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - healed);
  if (!again || out.recovery > longest_recovery) {
    out.found.push_back("not served again " +
                        std::to_string(out.recovery.count()) +
                        " ms after all nodes ran");
  }
}

}  // namespace

soak_result run_soak(const soak_options& options) {
  soak_result out;
  deployment it;
  it.bring_up();
  plan_record plans(out.found);
  plans.sent(1, deployment::plan(1));
  plans.acknowledged(1);
  const std::vector<fault> schedule =
      draw_schedule(options.seed, {control_nodes, entries, options.span});
  {
    traffic all(it, options.seed, plans);
    play(it, schedule);
    all.end();
    check_recovery(it, plans, out);
    request_record requests(out.found, home_endpoints);
    for (const caller_request_record& one : all.requests()) {
      requests.check(one, it.runs_of(one.id));
    }
    out.answered = requests.answered();
    out.refused = requests.refused();
    out.failed = requests.failed();
  }
  out.faults = static_cast<int>(schedule.size());
  out.acknowledged = plans.acknowledgements();
  out.reads = plans.reads();
  if (!out.found.empty()) out.folder = it.keep_folder();
  return out;
}

}  // namespace trestlepost::soak
