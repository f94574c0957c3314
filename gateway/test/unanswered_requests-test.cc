// Tests of the notice that endpoints accept requests and answer none.
#include "trestlepost/gateway/unanswered_requests.h"

#include <gtest/gtest.h>

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds silence{600};

class unanswered_requests_test : public testing::Test {
 protected:
  unanswered_requests_test()
      : endpoints_(charts::chart::load(
                       std::string(TRESTLEPOST_CHARTS) + "/endpoint.jsonc",
                       membership::endpoint_chart_interface())
                       .value(),
                   {}) {
    endpoints_.declare({{"a", "s", "a:1", 8, false}}, now_);
  }

  unanswered_requests::key begin() {
    return requests_.begin("a", now_, now_ + silence);
  }

  monotonic_time now_{milliseconds(100'000)};
  membership::endpoint_tracker endpoints_;
  unanswered_requests requests_{endpoints_};
};

// A request that may run once was waited for until its caller left.
TEST_F(unanswered_requests_test, a_request_is_noticed_while_it_waits) {
  begin();
  requests_.tick(now_ + silence - milliseconds(1));
  EXPECT_FALSE(endpoints_.is_unreachable("s"));
  requests_.tick(now_ + silence);
  EXPECT_TRUE(endpoints_.is_unreachable("s"));
}

TEST_F(unanswered_requests_test, a_request_is_noticed_when_it_ends_unanswered) {
  const unanswered_requests::key request = begin();
  requests_.end(request, false, now_ + silence);
  EXPECT_TRUE(endpoints_.is_unreachable("s"));
}

TEST_F(unanswered_requests_test, ended_requests_are_forgotten) {
  const unanswered_requests::key answered = begin();
  const unanswered_requests::key left = begin();
  requests_.end(answered, true, now_ + 2 * silence);
  requests_.end(left, false, now_ + silence - milliseconds(1));
  requests_.tick(now_ + 3 * silence);
  EXPECT_FALSE(endpoints_.is_unreachable("s"));
}

}  // namespace
}  // namespace trestlepost::gateway
