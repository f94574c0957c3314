#include "listing_news.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using surface::listed_endpoint;

const monotonic_time start{std::chrono::hours(1)};
constexpr config::revision_number revision = 3;

listed_endpoint endpoint(const std::string& id, bool leaving = false) {
  listed_endpoint out;
  out.identity.id = id;
  out.service = "chat";
  out.address = "127.0.0.1:1";
  out.leaving = leaving;
  return out;
}

listing_news read_back(const listing_news& in) {
  const result<listing_news> out = listing_news_from(to_json(in));
  EXPECT_TRUE(out);
  return out.value_or(listing_news());
}

listing_news next(listing_writer& writer, const std::string& gateway,
                  monotonic_time now) {
  return writer.news_since(writer.tell(gateway, now), now);
}

TEST(listing_news_test, only_what_changed_is_told) {
  listing_writer writer("r", 7);
  listing_copy copy;
  writer.update({endpoint("a"), endpoint("b"), endpoint("c")}, revision, start);
  EXPECT_TRUE(copy.take(read_back(next(writer, "g", start)), start));
  EXPECT_EQ(copy.all(start).size(), 3U);
  const monotonic_time later = start + milliseconds(1000);
  const std::vector<listed_endpoint> now{endpoint("a"), endpoint("b", true)};
  writer.update(now, revision, later);
  const listing_news news = read_back(next(writer, "g", later));
  EXPECT_EQ(news.endpoints.size(), 1U);
  EXPECT_EQ(news.gone, (std::vector<std::string>{"c"}));
  EXPECT_TRUE(copy.take(news, later));
  EXPECT_EQ(copy.all(later), now);
}

TEST(listing_news_test, spans_that_shrink_by_themselves_are_no_news) {
  listing_writer writer("r", 7);
  listing_copy copy;
  listed_endpoint cold = endpoint("a");
  cold.cold_left = milliseconds(3000);
  cold.ends_in = milliseconds(5000);
  writer.update({cold}, revision, start);
  copy.take(next(writer, "g", start), start);
  const monotonic_time later = start + milliseconds(1000);
  cold.cold_left = milliseconds(2100);
  cold.ends_in = milliseconds(3900);
  writer.update({cold}, revision, later);
  EXPECT_TRUE(next(writer, "g", later).endpoints.empty());
  EXPECT_EQ(copy.all(later)[0].cold_left, milliseconds(2000));
  EXPECT_EQ(copy.all(later)[0].ends_in, milliseconds(4000));
  cold.ends_in = milliseconds(900);
  writer.update({cold}, revision, later);
  EXPECT_EQ(next(writer, "g", later).endpoints.size(), 1U);
}

TEST(listing_news_test, a_lost_message_is_noticed_by_the_next_one) {
  listing_writer writer("r", 7);
  listing_copy copy;
  writer.update({endpoint("a")}, revision, start);
  copy.take(next(writer, "g", start), start);
  writer.update({endpoint("a", true)}, revision, start + milliseconds(1000));
  next(writer, "g", start + milliseconds(1000));  // lost
  const monotonic_time later = start + milliseconds(2000);
  writer.update({endpoint("a", true)}, revision, later);
  EXPECT_FALSE(copy.take(next(writer, "g", later), later));
  writer.forget("g");
  EXPECT_TRUE(copy.take(next(writer, "g", later), later));
  EXPECT_TRUE(copy.all(later)[0].leaving);
}

TEST(listing_news_test, the_whole_list_comes_every_ten_seconds) {
  constexpr milliseconds interval{10'000};
  listing_writer writer("r", 7);
  writer.update({endpoint("a")}, revision, start);
  EXPECT_EQ(next(writer, "g", start).since, 0U);
  // The second full list comes earlier, by a time that differs by gateway.
  monotonic_time second = start + milliseconds(1);
  while (next(writer, "g", second).since > 0) second += milliseconds(1);
  EXPECT_LE(second, start + interval);
  EXPECT_GT(next(writer, "g", second + interval - milliseconds(1)).since, 0U);
  const listing_news whole = next(writer, "g", second + interval);
  EXPECT_EQ(whole.since, 0U);
  EXPECT_EQ(whole.endpoints.size(), 1U);
}

// Guards against a reader that serializes the full lists for all gateways of a
// region at once, which stalls it for seconds.
TEST(listing_news_test, gateways_get_the_whole_list_at_different_times) {
  constexpr int gateways = 150;
  constexpr int most_at_once = gateways / 5;  // twice the even share
  listing_writer writer("r", 7);
  writer.update({endpoint("a")}, revision, start);
  for (int second = 0; second <= 30; ++second) {
    const monotonic_time now = start + std::chrono::seconds(second);
    int whole = 0;
    std::set<std::uint64_t> messages;
    for (int n = 0; n < gateways; ++n) {
      const std::uint64_t since = writer.tell("g" + std::to_string(n), now);
      if (since == 0) ++whole;
      messages.insert(since);
    }
    if (second > 0) EXPECT_LE(whole, most_at_once) << second;
    EXPECT_LE(messages.size(), 2U) << second;
  }
}

TEST(listing_news_test, a_new_gateway_and_a_new_reader_tell_all) {
  listing_writer writer("r", 7);
  writer.update({endpoint("a")}, revision, start);
  next(writer, "g", start);
  EXPECT_EQ(next(writer, "other", start).since, 0U);
  listing_copy copy;
  EXPECT_FALSE(copy.take(next(writer, "g", start), start));
  copy.take(next(writer, "new", start), start);
  listing_writer restarted("r", 8);
  restarted.update({endpoint("b")}, revision, start);
  EXPECT_TRUE(copy.take(next(restarted, "g", start), start));
  ASSERT_EQ(copy.all(start).size(), 1U);
  EXPECT_EQ(copy.all(start)[0].identity.id, "b");
}

TEST(listing_news_test, a_list_tells_which_configuration_it_covers) {
  listing_writer writer("r", 7);
  listing_copy copy;
  EXPECT_EQ(copy.covers(), 0U);
  writer.update({endpoint("a")}, 5, start);
  copy.take(read_back(next(writer, "g", start)), start);
  EXPECT_EQ(copy.covers(), 5U);
  // The revision is sent even when no endpoint has changed.
  writer.update({endpoint("a")}, 6, start);
  copy.take(read_back(next(writer, "g", start)), start);
  EXPECT_EQ(copy.covers(), 6U);
}

TEST(listing_news_test, a_new_life_under_the_same_id_replaces_the_old_one) {
  listing_writer writer("r", 7);
  listing_copy copy;
  writer.update({endpoint("a")}, revision, start);
  copy.take(read_back(next(writer, "g", start)), start);
  listed_endpoint again = endpoint("a");
  again.identity.born = surface::start_time(milliseconds(1764722400123));
  writer.update({again}, revision, start);
  const listing_news news = read_back(next(writer, "g", start));
  EXPECT_EQ(news.gone, (std::vector<std::string>{"a"}));
  EXPECT_TRUE(copy.take(news, start));
  EXPECT_EQ(copy.all(start), (std::vector<listed_endpoint>{again}));
}

TEST(listing_news_test, an_empty_list_is_a_list) {
  listing_writer writer("r", 7);
  listing_copy copy;
  EXPECT_TRUE(writer.empty());
  writer.update({}, revision, start);
  EXPECT_FALSE(writer.empty());
  EXPECT_TRUE(copy.take(read_back(next(writer, "g", start)), start));
  EXPECT_TRUE(copy.all(start).empty());
}

TEST(listing_news_test, overtaken_news_change_nothing) {
  listing_writer writer("r", 7);
  listing_copy copy;
  writer.update({endpoint("a")}, revision, start);
  const listing_news first = next(writer, "g", start);
  writer.update({endpoint("a", true)}, revision, start);
  const listing_news second = next(writer, "g", start);
  copy.take(first, start);
  copy.take(second, start);
  EXPECT_TRUE(copy.take(first, start));
  EXPECT_TRUE(copy.all(start)[0].leaving);
}

TEST(listing_news_test, nonsense_is_refused) {
  listing_writer writer("r", 7);
  writer.update({endpoint("a")}, revision, start);
  const json good = to_json(next(writer, "g", start));
  ASSERT_TRUE(listing_news_from(good));
  const auto refused = [&good](const char* key, const json& value) {
    json bad = good;
    bad[key] = value;
    return !listing_news_from(bad);
  };
  EXPECT_TRUE(refused("reader", ""));
  EXPECT_TRUE(refused("life", "x"));
  EXPECT_TRUE(refused("since", 99));
  json list(Json::arrayValue);
  list.append(json(Json::objectValue));
  EXPECT_TRUE(refused("endpoints", list));
  EXPECT_TRUE(refused("gone", list));
}

TEST(listing_patience_test, a_restarted_gateway_reads_for_itself_at_once) {
  const milliseconds interval{1000};
  EXPECT_EQ(listing_patience(false, false, interval), milliseconds(0));
  EXPECT_EQ(listing_patience(true, false, interval), 3 * interval);
  EXPECT_EQ(listing_patience(false, true, interval), 3 * interval);
}

// Guards against all gateways taking over from a late reader at once. In a
// region with 107 gateways a late update made 104 of them read the platform's
// list within a second and send it to each other.
TEST(listing_patience_test, a_late_reader_is_replaced_by_one_of_a_hundred) {
  constexpr milliseconds interval{1000};
  constexpr milliseconds until_all_have_heard{250};
  std::set<std::string> gateways;
  for (int i = 0; i < 100; ++i) gateways.insert("g" + std::to_string(i));
  const std::string first = order_of_reading("r", gateways, "g0").first;
  std::vector<milliseconds> waits;
  for (const std::string& it : gateways) {
    const reading_order all = order_of_reading("r", gateways, it);
    EXPECT_EQ(all.first, first);
    EXPECT_EQ(all.own_rank == 0, it == first);
    if (it != first) {
      waits.push_back(listing_patience(true, false, interval, all.own_rank));
    }
  }
  std::sort(waits.begin(), waits.end());
  EXPECT_GT(waits[1], waits[0] + until_all_have_heard);
  EXPECT_LT(waits[0], 4 * interval);
  EXPECT_LT(waits.back(), 8 * interval);
}

TEST(listing_patience_test, gateways_without_a_list_try_again_spread_out) {
  const milliseconds interval{1000};
  seeded_random random(7);
  std::set<milliseconds> seen;
  for (int i = 0; i < 50; ++i) {
    const milliseconds next = time_to_reread(false, interval, random);
    EXPECT_GE(next, milliseconds(150));
    EXPECT_LE(next, milliseconds(300));
    seen.insert(next);
  }
  EXPECT_GT(seen.size(), 20U);
  EXPECT_EQ(time_to_reread(true, interval, random), interval);
}

}  // namespace
}  // namespace trestlepost::node
