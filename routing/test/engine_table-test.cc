// Cache model, pending prompts, announcements and predictions of model
// endpoints.
#include "trestlepost/routing/engine_table.h"

#include <gtest/gtest.h>

#include <cmath>

#include "trestlepost/base/random.h"

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

const monotonic_time start{std::chrono::hours(1)};

engine_work work(std::vector<prompt_section> sections, std::uint32_t tokens,
                 int priority = 0) {
  engine_work out;
  out.sections = std::move(sections);
  out.prompt_tokens = tokens;
  out.priority = priority;
  return out;
}

engine_table make_table(std::uint64_t capacity = 100'000) {
  engine_table out;
  out.set_endpoints({{"a", "s", capacity, 1}, {"b", "s", capacity, 1}});
  return out;
}

std::uint32_t uncached(const engine_table& table, const std::string& id,
                       const engine_work& one) {
  return table.uncached(id, one).total();
}

engine_table::ticket begin(engine_table& table, const std::string& id,
                           const engine_work& one, monotonic_time at) {
  return table.begin_request(id, one, uncached(table, id, one), at);
}

completion_estimate predict(const engine_table& table, const std::string& id,
                            const engine_work& one) {
  return table.predict(id, one, uncached(table, id, one));
}

TEST(engine_table_test, sections_sent_before_are_cached) {
  engine_table table = make_table();
  const engine_work first = work({{1, 500}, {2, 4000}, {3, 1000}}, 5500);
  begin(table, "a", first, start);
  const engine_work same_start = work({{1, 500}, {2, 4000}, {9, 700}}, 5200);
  EXPECT_EQ(uncached(table, "a", same_start), 700U);
  EXPECT_EQ(uncached(table, "b", same_start), 5200U);
}

TEST(engine_table_test, a_section_is_cached_only_after_all_before_it) {
  engine_table table = make_table();
  begin(table, "a", work({{2, 4000}}, 4000), start);
  EXPECT_EQ(uncached(table, "a", work({{1, 500}, {2, 4000}}, 4500)), 4500U);
}

TEST(engine_table_test, shared_and_own_uncached_tokens_are_separate) {
  const engine_table table = make_table();
  const engine_work one = work({{1, 500}, {2, 4500}, {3, 1000}}, 6000);
  EXPECT_EQ(table.uncached("a", one).shared, 5000U);
  EXPECT_EQ(table.uncached("a", one).own, 1000U);
}

TEST(engine_table_test, new_shared_sections_are_announced_briefly) {
  engine_table table = make_table();
  const engine_work one = work({{1, 500}, {2, 4500}, {3, 1000}}, 6000);
  begin(table, "a", one, start);
  const std::vector<cached_prefix> expected{{"a", {{1, 500}, {2, 4500}}}};
  EXPECT_EQ(table.recent_prefixes(start + milliseconds(100)), expected);
  EXPECT_TRUE(table.recent_prefixes(start + milliseconds(2000)).empty());
}

TEST(engine_table_test, known_and_short_sections_are_not_announced) {
  engine_table table = make_table();
  const engine_work one = work({{1, 500}, {2, 4500}, {3, 1000}}, 6000);
  begin(table, "a", one, start);
  const monotonic_time later = start + milliseconds(2000);
  begin(table, "a", work({{1, 500}, {2, 4500}, {4, 900}}, 5900), later);
  begin(table, "b", work({{1, 500}, {5, 900}}, 1400), later);
  EXPECT_TRUE(table.recent_prefixes(later).empty());
}

TEST(engine_table_test, prefixes_from_other_gateways_count_as_cached) {
  engine_table table = make_table();
  table.add_cached_prefix({"b", {{1, 500}, {2, 4500}}});
  table.add_cached_prefix({"gone", {{1, 500}}});
  const engine_work one = work({{1, 500}, {2, 4500}, {3, 1000}}, 6000);
  EXPECT_EQ(table.uncached("b", one).shared, 0U);
  EXPECT_EQ(table.uncached("a", one).shared, 5000U);
}

TEST(engine_table_test, the_mean_slot_time_is_measured_until_the_end) {
  engine_table table = make_table();
  const milliseconds before = table.mean_slot_time("s");
  for (int i = 0; i < 100; ++i) {
    const engine_table::ticket one = begin(table, "a", work({}, 100), start);
    table.record_event(one, start + milliseconds(50));
    table.end_request(one, start + milliseconds(4000));
  }
  EXPECT_NE(table.mean_slot_time("s"), before);
  EXPECT_EQ(table.mean_slot_time("s").count(), 4000);
}

TEST(engine_table_test, the_least_recently_used_sections_are_evicted) {
  engine_table table = make_table(10'000);  // caches may use 6000
  begin(table, "a", work({{1, 3000}}, 3000), start);
  begin(table, "a", work({{2, 3000}}, 3000), start);
  begin(table, "a", work({{1, 3000}}, 3000), start);
  begin(table, "a", work({{3, 3000}}, 3000), start);
  EXPECT_EQ(uncached(table, "a", work({{1, 3000}}, 3000)), 0U);
  EXPECT_EQ(uncached(table, "a", work({{2, 3000}}, 3000)), 3000U);
}

TEST(engine_table_test, pending_prompts_delay_equal_and_lower_priorities) {
  engine_table table = make_table();
  begin(table, "a", work({}, 50'000, 1), start);
  const milliseconds urgent = predict(table, "a", work({}, 100, 0)).wait;
  const milliseconds same = predict(table, "a", work({}, 100, 1)).wait;
  EXPECT_EQ(urgent.count(), 0);
  EXPECT_GT(same.count(), 100);
}

TEST(engine_table_test,
     pending_prompts_of_all_gateways_count_until_the_first_event) {
  engine_table table = make_table();
  table.set_peer_pending({{"a", {0, 40'000}}});
  EXPECT_GT(predict(table, "a", work({}, 1, 1)).wait.count(), 100);
  table.set_peer_pending({});
  const engine_table::ticket one =
      begin(table, "a", work({}, 40'000, 1), start);
  EXPECT_EQ(table.own_pending().at("a").at(1), 40'000U);
  table.record_event(one, start + milliseconds(500));
  EXPECT_TRUE(table.own_pending().empty());
  table.end_request(one, start);
}

TEST(engine_table_test, a_request_that_ends_without_an_event_is_not_pending) {
  engine_table table = make_table();
  const engine_table::ticket one = begin(table, "a", work({}, 40'000), start);
  table.end_request(one, start);
  table.end_request(one, start);
  EXPECT_TRUE(table.own_pending().empty());
}

TEST(engine_table_test, a_removed_endpoint_loses_its_state) {
  engine_table table = make_table();
  const engine_table::ticket one = begin(table, "a", work({{1, 9}}, 9), start);
  table.set_endpoints({{"b", "s", 1000, 1}});
  table.record_event(one, start + milliseconds(1));
  table.end_request(one, start);
  table.set_endpoints({{"a", "s", 1000, 1}});
  EXPECT_EQ(uncached(table, "a", work({{1, 9}}, 9)), 9U);
}

TEST(engine_table_test, predictions_converge_to_observed_latencies) {
  engine_table table = make_table();
  const double base = 55;
  const double slope = 0.011;
  seeded_random random(7);
  monotonic_time now = start;
  double error = 0;
  for (int i = 0; i < 400; ++i) {
    const std::uint32_t tokens =
        500 + static_cast<std::uint32_t>(random.below(20'000));
    const engine_work one = work({}, tokens, 1);
    const double actual = base + slope * tokens;
    const double predicted =
        static_cast<double>(predict(table, "a", one).first_token.count());
    if (i >= 300)
      error = std::max(error, std::abs(predicted - actual) / actual);
    const engine_table::ticket it = begin(table, "a", one, now);
    now += std::chrono::microseconds(static_cast<std::int64_t>(actual * 1000));
    table.record_event(it, now);
    table.end_request(it, start);
  }
  EXPECT_LT(error, 0.2);
}

TEST(engine_table_test, a_prefill_delays_each_running_response) {
  const engine_table table = make_table();
  const engine_work one = work({}, 10'000);
  const milliseconds ten = table.predict("a", one, 10'000, 10).delay_to_others;
  EXPECT_GT(ten, milliseconds(500));
  EXPECT_EQ(table.predict("a", one, 10'000, 20).delay_to_others, 2 * ten);
  EXPECT_EQ(table.predict("a", one, 10'000, 0).delay_to_others,
            milliseconds(0));
}

TEST(engine_table_test, the_prefill_time_follows_observations) {
  engine_table table = make_table();
  const milliseconds before = table.prefill_time("s", 10'000);
  monotonic_time now = start;
  for (int i = 1; i <= 300; ++i) {
    const std::uint32_t tokens = static_cast<std::uint32_t>(i % 10 + 1) * 1000;
    const engine_table::ticket it = begin(table, "a", work({}, tokens), now);
    now += milliseconds(40 + tokens / 25);
    table.record_event(it, now);
    table.end_request(it, now);
  }
  EXPECT_GT(table.prefill_time("s", 10'000), 2 * before);
}

TEST(engine_table_test, slower_events_delay_the_finish) {
  engine_table table = make_table();
  engine_work one = work({}, 100);
  one.output_tokens = 10;
  const engine_table::ticket it = begin(table, "a", one, start);
  for (int i = 0; i < 50; ++i)
    table.record_event(it, start + milliseconds(400) * i);
  EXPECT_GT(predict(table, "a", one).finish, predict(table, "b", one).finish);
}

}  // namespace
}  // namespace trestlepost::routing
