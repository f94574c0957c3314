// Attribution of endpoint crashes to parts of prompts, which many requests
// share.
#include "attribution_fixture.h"

namespace trestlepost::routing {
namespace {

using test::after;

class part_attribution_test : public test::attribution_fixture {
 protected:
  /// Reports a crash at `ms` of an endpoint that ran requests with these parts,
  /// and, just after it, a successful run of the service without them.
  void crash(int ms, const std::vector<std::string>& parts,
             trait_kind kind = trait_kind::part) {
    crash_alone(ms, parts, kind);
    attribution_.record_success(service_fingerprint("s"), after(ms + 1));
  }

  void crash_alone(int ms, const std::vector<std::string>& parts,
                   trait_kind kind = trait_kind::part) {
    const std::string endpoint = "e" + std::to_string(next_++);
    report(endpoint, ms, {trait_kind::request, "request of " + endpoint});
    for (const std::string& it : parts) report(endpoint, ms, {kind, it});
  }

  void report(const std::string& endpoint, int ms, const run_trait& trait) {
    attribution_.record_crash(
        {trait.fingerprint, endpoint, "s", after(ms), trait.kind}, after(ms));
  }

  using names = std::vector<std::string>;

  int next_ = 0;
};

// Crashes by requests that all differ were attributed to none of them.
TEST_F(part_attribution_test, a_part_of_different_requests_is_held) {
  for (const int ms : {0, 300, 600}) crash(ms, {"x"});
  EXPECT_TRUE(proposals(700).empty()) << "successes may still be reported";
  EXPECT_EQ(proposals(1100), names{"x"});
}

TEST_F(part_attribution_test, a_part_that_a_run_began_with_is_not_held) {
  for (const int ms : {0, 300, 600}) crash(ms, {"x", "shared"});
  attribution_.record_success("shared", after(650));
  EXPECT_EQ(proposals(1100), names{"x"});
}

TEST_F(part_attribution_test, a_part_that_was_sound_just_before_is_not_held) {
  attribution_.record_success("x", after(-100));
  for (const int ms : {0, 300, 600}) crash(ms, {"x"});
  EXPECT_TRUE(proposals(2800).empty());
  EXPECT_EQ(proposals(3000), names{"x"});
}

TEST_F(part_attribution_test,
       no_part_is_held_while_no_run_of_the_service_succeeds) {
  for (int n = 0; n < 10; ++n) crash_alone(300 * n, {"x"});
  EXPECT_TRUE(proposals(10'000).empty());
}

TEST_F(part_attribution_test, endpoints_that_crash_together_count_once) {
  for (int n = 0; n < 10; ++n) crash(5 * n, {"x"});
  crash(1000, {"x"});
  EXPECT_TRUE(proposals(3000).empty());
}

TEST_F(part_attribution_test, a_crash_beside_others_without_the_part_is_none) {
  for (const int ms : {0, 1000, 2000, 3000}) {
    crash(ms, {"x"});
    crash(ms + 10, {});
  }
  EXPECT_TRUE(proposals(5000).empty());
}

TEST_F(part_attribution_test, endpoints_that_crash_without_the_part_excuse_it) {
  for (const int ms : {0, 1000, 2000}) {
    crash(ms, {"x"});
    crash(ms + 500, {});
  }
  EXPECT_TRUE(proposals(4000).empty());
}

TEST_F(part_attribution_test, two_lethal_parts_are_both_held) {
  for (int n = 0; n < 4; ++n) {
    crash(1000 * n, {"x"});
    crash(1000 * n + 500, {"y"});
  }
  EXPECT_EQ(proposals(6000), (names{"x", "y"}));
}

TEST_F(part_attribution_test, inseparable_parts_are_held_after_five_crashes) {
  for (int n = 0; n < 4; ++n) crash(300 * n, {"x", "y"});
  EXPECT_TRUE(proposals(2000).empty());
  crash(2100, {"x", "y"});
  EXPECT_EQ(proposals(3000), (names{"x", "y"}));
}

TEST_F(part_attribution_test, a_held_part_explains_crashes_of_others) {
  for (int n = 0; n < 4; ++n) crash(300 * n, {"x"});
  for (int n = 4; n < 8; ++n) crash(300 * n, {"x", "beside"});
  EXPECT_EQ(proposals(3000), names{"x"});
  EXPECT_EQ(attribution_.attributed_crashes("beside"), 0U);
  crash(3100, {"beside", "x"});
  EXPECT_EQ(attribution_.attributed_crashes("beside"), 0U);
}

// Requests that differ by organisation show that the part crashes endpoints for
// all of them.
TEST_F(part_attribution_test, the_narrowest_trait_with_all_crashes_is_held) {
  const auto crash_of = [this](const std::string& organisation, int ms) {
    const std::string endpoint = "o" + std::to_string(next_++);
    report(endpoint, ms, {trait_kind::request, "request of " + endpoint});
    report(endpoint, ms, {trait_kind::organisation_part, organisation + "/x"});
    report(endpoint, ms, {trait_kind::part, "x"});
    attribution_.record_success(service_fingerprint("s"), after(ms + 1));
  };
  for (const int ms : {0, 300, 600}) crash_of("a", ms);
  EXPECT_EQ(proposals(1100), names{"a/x"});
  crash_of("b", 1200);
  EXPECT_EQ(proposals(1700), names{"x"});
}

TEST_F(part_attribution_test, a_repeated_request_is_held_rather_than_its_part) {
  for (const int ms : {0, 300, 600}) {
    const std::string endpoint = "r" + std::to_string(ms);
    report(endpoint, ms, {trait_kind::request, "r"});
    report(endpoint, ms, {trait_kind::part, "x"});
    attribution_.record_success(service_fingerprint("s"), after(ms + 1));
  }
  EXPECT_EQ(proposals(2000), names{"r"});
}

TEST(part_attribution_bounds_test, the_number_of_observations_is_bounded) {
  crash_attribution_limits limits;
  limits.max_observations = 100;
  crash_attribution attribution(limits);
  for (int n = 0; n < 20; ++n) {
    for (int i = 0; i < 50; ++i) {
      const std::string part = std::to_string(n) + "/" + std::to_string(i);
      const crash_report report{part, "e" + std::to_string(n), "s",
                                after(2000 * n), trait_kind::part};
      attribution.record_crash(report, after(2000 * n));
    }
  }
  EXPECT_FALSE(attribution.has_crashes("17/0"));
  EXPECT_TRUE(attribution.has_crashes("19/0"));
}

}  // namespace
}  // namespace trestlepost::routing
