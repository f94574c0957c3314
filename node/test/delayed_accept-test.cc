// The pattern: all gateways lose power at once, and all callers return before
// their gateway has a configuration.
#include "entry/delayed_accept.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

class manual_clock final : public clock_source {
 public:
  monotonic_time now() const override { return now_; }
  wall_time wall_now() const override { return {}; }
  void advance(milliseconds by) { now_ += by; }

 private:
  monotonic_time now_;
};

class delayed_accept_test : public testing::Test {
 protected:
  manual_clock clock_;
  int accepted_ = 0;
  delayed_accept accept_{clock_, [this] { ++accepted_; }};
};

TEST_F(delayed_accept_test, callers_wait_for_the_configuration) {
  accept_.start();
  accept_.tick(false);
  EXPECT_EQ(accepted_, 0);
  accept_.tick(true);
  accept_.tick(true);
  EXPECT_EQ(accepted_, 1);
}

// They must be told to come back later before they give up.
TEST_F(delayed_accept_test, callers_wait_less_than_a_second) {
  clock_.advance(milliseconds(5000));
  accept_.start();
  accept_.tick(false);
  clock_.advance(milliseconds(500));
  accept_.tick(false);
  EXPECT_EQ(accepted_, 0);
  clock_.advance(milliseconds(499));
  accept_.tick(false);
  EXPECT_EQ(accepted_, 1);
}

}  // namespace
}  // namespace trestlepost::node
