// Cache model, pending prompts, announcements and predictions of model
// endpoints.
#include "trestlepost/routing/engine_book.h"

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

engine_book make_book(std::uint64_t capacity = 100'000) {
  engine_book out;
  out.declare({{"a", "s", capacity, 1}, {"b", "s", capacity, 1}});
  return out;
}

std::uint32_t uncached(const engine_book& book, const std::string& id,
                       const engine_work& one) {
  return book.uncached(id, one).total();
}

engine_book::ticket begin(engine_book& book, const std::string& id,
                          const engine_work& one, monotonic_time at) {
  return book.begin(id, one, uncached(book, id, one), at);
}

outlook predict(const engine_book& book, const std::string& id,
                const engine_work& one) {
  return book.predict(id, one, uncached(book, id, one));
}

TEST(engine_book_test, sections_sent_before_need_no_reading) {
  engine_book book = make_book();
  const engine_work first = work({{1, 500}, {2, 4000}, {3, 1000}}, 5500);
  begin(book, "a", first, start);
  const engine_work same_start = work({{1, 500}, {2, 4000}, {9, 700}}, 5200);
  EXPECT_EQ(uncached(book, "a", same_start), 700U);
  EXPECT_EQ(uncached(book, "b", same_start), 5200U);
}

TEST(engine_book_test, a_section_counts_only_after_those_before_it) {
  engine_book book = make_book();
  begin(book, "a", work({{2, 4000}}, 4000), start);
  EXPECT_EQ(uncached(book, "a", work({{1, 500}, {2, 4000}}, 4500)), 4500U);
}

TEST(engine_book_test, a_requests_own_section_is_told_apart) {
  const engine_book book = make_book();
  const engine_work one = work({{1, 500}, {2, 4500}, {3, 1000}}, 6000);
  EXPECT_EQ(book.uncached("a", one).shared, 5000U);
  EXPECT_EQ(book.uncached("a", one).own, 1000U);
}

TEST(engine_book_test, new_shared_sections_are_told_for_a_moment) {
  engine_book book = make_book();
  const engine_work one = work({{1, 500}, {2, 4500}, {3, 1000}}, 6000);
  begin(book, "a", one, start);
  const std::vector<cached_prefix> expected{{"a", {{1, 500}, {2, 4500}}}};
  EXPECT_EQ(book.recent_prefixes(start + milliseconds(100)), expected);
  EXPECT_TRUE(book.recent_prefixes(start + milliseconds(2000)).empty());
}

TEST(engine_book_test, known_and_short_sections_are_not_told) {
  engine_book book = make_book();
  const engine_work one = work({{1, 500}, {2, 4500}, {3, 1000}}, 6000);
  begin(book, "a", one, start);
  const monotonic_time later = start + milliseconds(2000);
  begin(book, "a", work({{1, 500}, {2, 4500}, {4, 900}}, 5900), later);
  begin(book, "b", work({{1, 500}, {5, 900}}, 1400), later);
  EXPECT_TRUE(book.recent_prefixes(later).empty());
}

TEST(engine_book_test, what_other_gateways_tell_is_taken_for_cached) {
  engine_book book = make_book();
  book.note_prefix({"b", {{1, 500}, {2, 4500}}});
  book.note_prefix({"gone", {{1, 500}}});
  const engine_work one = work({{1, 500}, {2, 4500}, {3, 1000}}, 6000);
  EXPECT_EQ(book.uncached("b", one).shared, 0U);
  EXPECT_EQ(book.uncached("a", one).shared, 5000U);
}

TEST(engine_book_test, requests_are_timed_until_they_end) {
  engine_book book = make_book();
  const milliseconds before = book.mean_hold("s");
  for (int i = 0; i < 100; ++i) {
    const engine_book::ticket one = begin(book, "a", work({}, 100), start);
    book.event(one, start + milliseconds(50));
    book.end(one, start + milliseconds(4000));
  }
  EXPECT_NE(book.mean_hold("s"), before);
  EXPECT_EQ(book.mean_hold("s").count(), 4000);
}

TEST(engine_book_test, the_least_recently_used_sections_are_forgotten) {
  engine_book book = make_book(10'000);  // caches may use 6000
  begin(book, "a", work({{1, 3000}}, 3000), start);
  begin(book, "a", work({{2, 3000}}, 3000), start);
  begin(book, "a", work({{1, 3000}}, 3000), start);
  begin(book, "a", work({{3, 3000}}, 3000), start);
  EXPECT_EQ(uncached(book, "a", work({{1, 3000}}, 3000)), 0U);
  EXPECT_EQ(uncached(book, "a", work({{2, 3000}}, 3000)), 3000U);
}

TEST(engine_book_test, waiting_prompts_count_for_those_not_more_urgent) {
  engine_book book = make_book();
  begin(book, "a", work({}, 50'000, 1), start);
  const milliseconds urgent = predict(book, "a", work({}, 100, 0)).wait;
  const milliseconds same = predict(book, "a", work({}, 100, 1)).wait;
  EXPECT_EQ(urgent.count(), 0);
  EXPECT_GT(same.count(), 100);
}

TEST(engine_book_test, work_of_others_counts_and_first_events_end_it) {
  engine_book book = make_book();
  book.set_others({{"a", {0, 40'000}}});
  EXPECT_GT(predict(book, "a", work({}, 1, 1)).wait.count(), 100);
  book.set_others({});
  const engine_book::ticket one = begin(book, "a", work({}, 40'000, 1), start);
  EXPECT_EQ(book.own_pending().at("a").at(1), 40'000U);
  book.event(one, start + milliseconds(500));
  EXPECT_TRUE(book.own_pending().empty());
  book.end(one, start);
}

TEST(engine_book_test, a_request_that_ends_without_an_event_waits_no_more) {
  engine_book book = make_book();
  const engine_book::ticket one = begin(book, "a", work({}, 40'000), start);
  book.end(one, start);
  book.end(one, start);
  EXPECT_TRUE(book.own_pending().empty());
}

TEST(engine_book_test, an_endpoint_that_is_taken_off_is_forgotten) {
  engine_book book = make_book();
  const engine_book::ticket one = begin(book, "a", work({{1, 9}}, 9), start);
  book.declare({{"b", "s", 1000, 1}});
  book.event(one, start + milliseconds(1));
  book.end(one, start);
  book.declare({{"a", "s", 1000, 1}});
  EXPECT_EQ(uncached(book, "a", work({{1, 9}}, 9)), 9U);
}

TEST(engine_book_test, predictions_come_near_what_an_endpoint_does) {
  engine_book book = make_book();
  const double base = 55;
  const double slope = 0.011;
  seeded_random random(7);
  monotonic_time now = start;
  double error = 0;
  for (int i = 0; i < 400; ++i) {
    const std::uint32_t tokens =
        500 + static_cast<std::uint32_t>(random.below(20'000));
    const engine_work one = work({}, tokens, 1);
    const double truth = base + slope * tokens;
    const double said =
        static_cast<double>(predict(book, "a", one).first_token.count());
    if (i >= 300) error = std::max(error, std::abs(said - truth) / truth);
    const engine_book::ticket it = begin(book, "a", one, now);
    now += std::chrono::microseconds(static_cast<std::int64_t>(truth * 1000));
    book.event(it, now);
    book.end(it, start);
  }
  EXPECT_LT(error, 0.2);
}

TEST(engine_book_test, reading_puts_off_each_answer_that_is_written) {
  const engine_book book = make_book();
  const engine_work one = work({}, 10'000);
  const milliseconds ten = book.predict("a", one, 10'000, 10).slows_others;
  EXPECT_GT(ten, milliseconds(500));
  EXPECT_EQ(book.predict("a", one, 10'000, 20).slows_others, 2 * ten);
  EXPECT_EQ(book.predict("a", one, 10'000, 0).slows_others, milliseconds(0));
}

TEST(engine_book_test, how_fast_prompts_are_read_is_learned) {
  engine_book book = make_book();
  const milliseconds before = book.reading_time("s", 10'000);
  monotonic_time now = start;
  for (int i = 1; i <= 300; ++i) {
    const std::uint32_t tokens = static_cast<std::uint32_t>(i % 10 + 1) * 1000;
    const engine_book::ticket it = begin(book, "a", work({}, tokens), now);
    now += milliseconds(40 + tokens / 25);
    book.event(it, now);
    book.end(it, now);
  }
  EXPECT_GT(book.reading_time("s", 10'000), 2 * before);
}

TEST(engine_book_test, slower_events_put_off_the_finish) {
  engine_book book = make_book();
  engine_work one = work({}, 100);
  one.output_tokens = 10;
  const engine_book::ticket it = begin(book, "a", one, start);
  for (int i = 0; i < 50; ++i) book.event(it, start + milliseconds(400) * i);
  EXPECT_GT(predict(book, "a", one).finish, predict(book, "b", one).finish);
}

}  // namespace
}  // namespace trestlepost::routing
