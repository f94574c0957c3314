#include "planned_work.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <random>
#include <set>

namespace trestlepost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::awaitable;

constexpr milliseconds check_interval{5};
constexpr milliseconds kill_delay{3000};  // after drain_timeout
// Stops that begin at the same time begin at a multiple of it.
constexpr milliseconds common_interval{2000};
constexpr unsigned few_slots = 2;
constexpr unsigned many_slots = 200;

class planned_work {
 public:
  planned_work(platform::test::deployment& target, std::uint64_t seed,
               stop_record& record)
      : target_(target), engine_(seed), record_(record) {}

  void run(const std::vector<std::string>& control_nodes, milliseconds span);

 private:
  using nodes = std::vector<std::string>;

  milliseconds random_time(int min_ms, int max_ms);
  const std::string& pick(const nodes& all);
  awaitable<void> stop_nodes(nodes all);
  awaitable<void> reload_nodes(nodes all);
  /// Stops the node, some with two SIGTERM or a SIGHUP right before, and starts
  /// it some time after its exit.
  awaitable<void> stop(std::string node);
  void signal(const std::string& node, int number);

  platform::test::deployment& target_;
  std::mt19937_64 engine_;
  stop_record& record_;
  transport::asio::io_context io_{1};
  steady_time start_{};
  steady_time end_{};
  std::set<std::string> stopping_;
};

milliseconds planned_work::random_time(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(engine_));
}

const std::string& planned_work::pick(const nodes& all) {
  return all[std::uniform_int_distribution<std::size_t>(
      0, all.size() - 1)(engine_)];
}

void planned_work::signal(const std::string& node, int number) {
  trestlepost::test::process& it = target_.process_of(node);
  // A service manager signals no process that has not begun.
  it.wait_until_prepared_for(number);
  it.signal(number);
  if (number == SIGHUP) record_.add_reload();
}

awaitable<void> planned_work::stop(std::string node) {
  stopping_.insert(node);
  const bool reloads = engine_() % 3 == 0;
  if (reloads) {
    signal(node, SIGHUP);
    co_await transport::sleep_for(io_, random_time(0, 30));
  }
  planned_stop it{node, steady_clock::now()};
  signal(node, SIGTERM);
  bool repeats = engine_() % 3 == 0;
  const steady_time again = it.begun + random_time(10, 1500);
  trestlepost::test::process& process = target_.process_of(node);
  const steady_time kill_at = it.begun + record_.drain_timeout() + kill_delay;
  while (process.running() && steady_clock::now() < kill_at) {
    co_await transport::sleep_for(io_, check_interval);
    if (!repeats || steady_clock::now() < again) continue;
    repeats = false;
    process.signal(SIGTERM);
  }
  it.exited = steady_clock::now();
  if (process.running()) process.signal(SIGKILL);
  it.status = process.wait();
  record_.add_stop(std::move(it));
  co_await transport::sleep_for(io_, random_time(100, 1500));
  target_.start(node);
  stopping_.erase(node);
}

awaitable<void> planned_work::stop_nodes(nodes all) {
  while (steady_clock::now() < end_) {
    co_await transport::sleep_for(io_, random_time(100, 1500));
    if (engine_() % 2 == 0) {
      const auto since_start = std::chrono::duration_cast<milliseconds>(
          steady_clock::now() - start_);
      co_await transport::sleep_for(
          io_, common_interval - since_start % common_interval);
    }
    const std::string node = pick(all);
    if (stopping_.contains(node) || steady_clock::now() >= end_) continue;
    co_await stop(node);
    if (engine_() % 3 != 0) continue;
    co_await transport::sleep_for(io_, random_time(100, 700));
    if (!stopping_.contains(node)) co_await stop(node);
  }
}

awaitable<void> planned_work::reload_nodes(nodes all) {
  while (steady_clock::now() < end_) {
    co_await transport::sleep_for(io_, random_time(100, 1000));
    const std::string& node = pick(all);
    // A node without a process needs no reload.
    if (target_.process_of(node).running()) signal(node, SIGHUP);
  }
}

void planned_work::run(const nodes& control_nodes, milliseconds span) {
  start_ = steady_clock::now();
  end_ = start_ + span;
  const nodes entries = target_.gateways();
  const std::size_t at_once = std::max<std::size_t>(1, entries.size() / 3);
  const auto spawn = [this](awaitable<void> task) {
    boost::asio::co_spawn(io_, std::move(task), boost::asio::detached);
  };
  for (std::size_t n = 0; n < at_once; ++n) {
    spawn(stop_nodes(entries));
    spawn(reload_nodes(entries));
  }
  spawn(stop_nodes(control_nodes));
  spawn(reload_nodes(control_nodes));
  io_.run();
}

}  // namespace

void draw_stop_settings(std::uint64_t seed,
                        platform::test::deployment_options& out) {
  std::mt19937_64 engine(seed);
  const auto draw = [&engine](milliseconds min, milliseconds max) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        min.count(), max.count())(engine));
  };
  out.drain_timeout = draw(milliseconds(2000), milliseconds(8000));
  out.drain_grace = draw(out.drain_timeout / 5, out.drain_timeout * 3 / 5);
  out.slots = engine() % 4 == 0 ? few_slots : many_slots;
}

void run_planned_work(platform::test::deployment& target,
                      const std::vector<std::string>& control_nodes,
                      milliseconds span, std::uint64_t seed,
                      stop_record& record) {
  planned_work(target, seed, record).run(control_nodes, span);
}

}  // namespace trestlepost::soak
