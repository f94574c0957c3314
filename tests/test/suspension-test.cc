// Tests that leases, deadlines and timers include the time for which the
// machine is suspended. On CLOCK_MONOTONIC, which stops during a suspension,
// leases and ages would look fresh afterwards, and timers would fire late by
// that time.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <optional>

#include "loopback_range.h"
#include "suspended_machine.h"
#include "trestlepost/base/clock.h"
#include "trestlepost/membership/node_state.h"
#include "trestlepost/transport/http_client.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds suspension{5};

TEST(suspension_test, monotonic_time_includes_the_suspension) {
  const system_clock_source clock;
  const monotonic_time before = clock.now();
  suspend_machine(suspension);
  EXPECT_GE(clock.now() - before, suspension);
}

TEST(suspension_test, a_lease_expires_during_the_suspension) {
  const system_clock_source clock;
  const result<charts::chart> chart =
      charts::chart::load(std::string(TRESTLEPOST_CHARTS) + "/node.jsonc",
                          membership::node_chart_interface());
  ASSERT_TRUE(chart);
  membership::node_state_options options;
  options.config_lease = milliseconds(3000);
  membership::node_state state(*chart, options, clock.now());
  const monotonic_time request_time = clock.now();
  state.confirm(request_time, clock.now());
  state.tick(clock.now(), true);
  ASSERT_TRUE(state.may_cross_regions(clock.now()));
  suspend_machine(suspension);
  EXPECT_FALSE(state.confirmed_at(clock.now()));
  state.tick(clock.now(), true);
  EXPECT_TRUE(state.is_behind(clock.now()));
  EXPECT_FALSE(state.may_cross_regions(clock.now()));
}

/// A peer that accepts requests and does not answer.
class unresponsive_handler final : public transport::http_handler {
 public:
  explicit unresponsive_handler(transport::asio::io_context& io) : io_(io) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override {
    transport::timer timer(io_);
    timer.expires_after(std::chrono::minutes(1));
    boost::system::error_code ec;
    co_await timer.async_wait(
        transport::asio::redirect_error(transport::asio::use_awaitable, ec));
    exchange.abort();
  }

 private:
  transport::asio::io_context& io_;
};

class suspended_loop_test : public testing::Test {
 protected:
  /// Runs the event loop with regular ticks, as a node does, until `done` is
  /// true or 100 ticks of 10 ms have passed; returns its last value.
  template <typename Condition>
  bool tick_until(Condition done) {
    boost::asio::steady_timer tick(io_);
    for (int n = 0; n < 100 && !done(); ++n) {
      tick.expires_after(milliseconds(10));
      bool ticked = false;
      tick.async_wait(
          [&ticked](const boost::system::error_code&) { ticked = true; });
      while (!ticked) {
        io_.restart();
        io_.run_one();
      }
      client_.cancel_expired(boot_clock::now());
    }
    return done();
  }

  transport::asio::io_context io_;
  transport::http_client client_{io_, {}};
};

TEST_F(suspended_loop_test, a_timer_fires_after_the_suspension) {
  transport::timer timer(io_);
  timer.expires_after(seconds(4));
  bool fired = false;
  timer.async_wait(
      [&fired](const boost::system::error_code&) { fired = true; });
  EXPECT_FALSE(tick_until([&fired] { return fired; }));
  suspend_machine(suspension);
  EXPECT_TRUE(tick_until([&fired] { return fired; }));
}

TEST_F(suspended_loop_test, a_call_reaches_its_deadline_during_the_suspension) {
  const loopback_range range;
  constexpr int region = 40;
  const std::string address = range.ip(region, 1, 1) + ":7810";
  unresponsive_handler handler(io_);
  transport::http_server server(io_, handler, {});
  ASSERT_TRUE(server.listen(address));
  std::optional<error_kind> ended;
  const std::function<transport::awaitable<void>()> call =
      [&]() -> transport::awaitable<void> {
    const std::shared_ptr<transport::http_call> made = client_.call(address);
    transport::http_request request;
    request.target = "/";
    const monotonic_time deadline = boot_clock::now() + seconds(4);
    const tl::expected<void, transport::call_failure> sent =
        co_await made->send(std::move(request), deadline);
    ended = sent ? error_kind::internal : sent.error().cause.kind;
  };
  transport::asio::co_spawn(io_, call(), transport::asio::detached);
  EXPECT_FALSE(tick_until([&ended] { return ended.has_value(); }));
  suspend_machine(suspension);
  ASSERT_TRUE(tick_until([&ended] { return ended.has_value(); }));
  EXPECT_EQ(*ended, error_kind::deadline);
}

}  // namespace
}  // namespace trestlepost::test
