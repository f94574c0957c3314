// The pattern: all gateways lose power at once, and all callers return while
// their gateway has no plan yet.
#include "trestlepost/gateway/startup_gate.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t callers = 300;

class startup_gate_test : public testing::Test {
 protected:
  void add_callers(milliseconds time) {
    for (std::size_t n = 0; n < callers; ++n) {
      boost::asio::co_spawn(
          io_,
          [this, time]() -> transport::awaitable<void> {
            co_await gate_.wait(time);
            ++woken_;
          },
          boost::asio::detached);
    }
  }

  transport::asio::io_context io_;
  startup_gate gate_{io_};
  std::size_t woken_ = 0;
};

TEST_F(startup_gate_test, waiting_callers_cost_nothing) {
  add_callers(milliseconds(60'000));
  io_.poll();
  io_.restart();
  EXPECT_EQ(io_.run_for(milliseconds(200)), 0U);
  EXPECT_EQ(woken_, 0U);
}

TEST_F(startup_gate_test, all_callers_are_woken_together) {
  add_callers(milliseconds(60'000));
  io_.poll();
  EXPECT_FALSE(gate_.empty());
  gate_.wake_all();
  EXPECT_TRUE(gate_.empty());
  io_.restart();
  io_.run();
  EXPECT_EQ(woken_, callers);
}

TEST_F(startup_gate_test, a_caller_is_woken_after_its_time) {
  add_callers(milliseconds(30));
  io_.run();
  EXPECT_EQ(woken_, callers);
  EXPECT_TRUE(gate_.empty());
}

}  // namespace
}  // namespace trestlepost::gateway
