#include "endpoint_list_updates.h"

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

endpoint_list_update round_trip(const endpoint_list_update& in) {
  const result<endpoint_list_update> out =
      endpoint_list_update_from(to_json(in));
  EXPECT_TRUE(out);
  return out.value_or(endpoint_list_update());
}

endpoint_list_update next_update(endpoint_list_publisher& publisher,
                                 const std::string& gateway,
                                 monotonic_time now) {
  return publisher.update_since(publisher.start_update(gateway, now), now);
}

TEST(endpoint_list_updates_test, updates_contain_only_changes) {
  endpoint_list_publisher publisher("r", 7);
  endpoint_list_copy copy;
  publisher.update({endpoint("a"), endpoint("b"), endpoint("c")}, revision,
                   start);
  EXPECT_TRUE(
      copy.apply(round_trip(next_update(publisher, "g", start)), start));
  EXPECT_EQ(copy.all(start).size(), 3U);
  const monotonic_time later = start + milliseconds(1000);
  const std::vector<listed_endpoint> now{endpoint("a"), endpoint("b", true)};
  publisher.update(now, revision, later);
  const endpoint_list_update update =
      round_trip(next_update(publisher, "g", later));
  EXPECT_EQ(update.endpoints.size(), 1U);
  EXPECT_EQ(update.removed, (std::vector<std::string>{"c"}));
  EXPECT_TRUE(copy.apply(update, later));
  EXPECT_EQ(copy.all(later), now);
}

TEST(endpoint_list_updates_test, elapsed_durations_are_not_changes) {
  endpoint_list_publisher publisher("r", 7);
  endpoint_list_copy copy;
  listed_endpoint cold = endpoint("a");
  cold.cold_left = milliseconds(3000);
  cold.ends_in = milliseconds(5000);
  publisher.update({cold}, revision, start);
  copy.apply(next_update(publisher, "g", start), start);
  const monotonic_time later = start + milliseconds(1000);
  cold.cold_left = milliseconds(2100);
  cold.ends_in = milliseconds(3900);
  publisher.update({cold}, revision, later);
  EXPECT_TRUE(next_update(publisher, "g", later).endpoints.empty());
  EXPECT_EQ(copy.all(later)[0].cold_left, milliseconds(2000));
  EXPECT_EQ(copy.all(later)[0].ends_in, milliseconds(4000));
  cold.ends_in = milliseconds(900);
  publisher.update({cold}, revision, later);
  EXPECT_EQ(next_update(publisher, "g", later).endpoints.size(), 1U);
}

TEST(endpoint_list_updates_test, a_lost_update_is_detected_by_the_next) {
  endpoint_list_publisher publisher("r", 7);
  endpoint_list_copy copy;
  publisher.update({endpoint("a")}, revision, start);
  copy.apply(next_update(publisher, "g", start), start);
  publisher.update({endpoint("a", true)}, revision, start + milliseconds(1000));
  next_update(publisher, "g", start + milliseconds(1000));  // lost
  const monotonic_time later = start + milliseconds(2000);
  publisher.update({endpoint("a", true)}, revision, later);
  EXPECT_FALSE(copy.apply(next_update(publisher, "g", later), later));
  publisher.reset("g");
  EXPECT_TRUE(copy.apply(next_update(publisher, "g", later), later));
  EXPECT_TRUE(copy.all(later)[0].leaving);
}

TEST(endpoint_list_updates_test, the_full_list_is_sent_every_ten_seconds) {
  constexpr milliseconds interval{10'000};
  endpoint_list_publisher publisher("r", 7);
  publisher.update({endpoint("a")}, revision, start);
  EXPECT_EQ(next_update(publisher, "g", start).since, 0U);
  // The second full list comes earlier, by a time that differs by gateway.
  monotonic_time second = start + milliseconds(1);
  while (next_update(publisher, "g", second).since > 0)
    second += milliseconds(1);
  EXPECT_LE(second, start + interval);
  EXPECT_GT(
      next_update(publisher, "g", second + interval - milliseconds(1)).since,
      0U);
  const endpoint_list_update full =
      next_update(publisher, "g", second + interval);
  EXPECT_EQ(full.since, 0U);
  EXPECT_EQ(full.endpoints.size(), 1U);
}

// Guards against a reader that serializes the full lists for all gateways of a
// region at once, which stalls it for seconds.
TEST(endpoint_list_updates_test, full_lists_are_sent_at_different_times) {
  constexpr int gateways = 150;
  constexpr int max_at_once = gateways / 5;  // twice the even share
  endpoint_list_publisher publisher("r", 7);
  publisher.update({endpoint("a")}, revision, start);
  for (int second = 0; second <= 30; ++second) {
    const monotonic_time now = start + std::chrono::seconds(second);
    int full_lists = 0;
    std::set<std::uint64_t> messages;
    for (int n = 0; n < gateways; ++n) {
      const std::uint64_t since =
          publisher.start_update("g" + std::to_string(n), now);
      if (since == 0) ++full_lists;
      messages.insert(since);
    }
    if (second > 0) EXPECT_LE(full_lists, max_at_once) << second;
    EXPECT_LE(messages.size(), 2U) << second;
  }
}

TEST(endpoint_list_updates_test,
     new_gateways_and_restarted_readers_start_with_full_lists) {
  endpoint_list_publisher publisher("r", 7);
  publisher.update({endpoint("a")}, revision, start);
  next_update(publisher, "g", start);
  EXPECT_EQ(next_update(publisher, "other", start).since, 0U);
  endpoint_list_copy copy;
  EXPECT_FALSE(copy.apply(next_update(publisher, "g", start), start));
  copy.apply(next_update(publisher, "new", start), start);
  endpoint_list_publisher restarted("r", 8);
  restarted.update({endpoint("b")}, revision, start);
  EXPECT_TRUE(copy.apply(next_update(restarted, "g", start), start));
  ASSERT_EQ(copy.all(start).size(), 1U);
  EXPECT_EQ(copy.all(start)[0].identity.id, "b");
}

TEST(endpoint_list_updates_test,
     updates_carry_the_covered_configuration_revision) {
  endpoint_list_publisher publisher("r", 7);
  endpoint_list_copy copy;
  EXPECT_EQ(copy.covered_revision(), 0U);
  publisher.update({endpoint("a")}, 5, start);
  copy.apply(round_trip(next_update(publisher, "g", start)), start);
  EXPECT_EQ(copy.covered_revision(), 5U);
  // The revision is sent even when no endpoint has changed.
  publisher.update({endpoint("a")}, 6, start);
  copy.apply(round_trip(next_update(publisher, "g", start)), start);
  EXPECT_EQ(copy.covered_revision(), 6U);
}

TEST(endpoint_list_updates_test, a_new_incarnation_replaces_the_previous_one) {
  endpoint_list_publisher publisher("r", 7);
  endpoint_list_copy copy;
  publisher.update({endpoint("a")}, revision, start);
  copy.apply(round_trip(next_update(publisher, "g", start)), start);
  listed_endpoint again = endpoint("a");
  again.identity.born = surface::start_time(milliseconds(1764722400123));
  publisher.update({again}, revision, start);
  const endpoint_list_update update =
      round_trip(next_update(publisher, "g", start));
  EXPECT_EQ(update.removed, (std::vector<std::string>{"a"}));
  EXPECT_TRUE(copy.apply(update, start));
  EXPECT_EQ(copy.all(start), (std::vector<listed_endpoint>{again}));
}

TEST(endpoint_list_updates_test, an_empty_list_is_valid) {
  endpoint_list_publisher publisher("r", 7);
  endpoint_list_copy copy;
  EXPECT_TRUE(publisher.empty());
  publisher.update({}, revision, start);
  EXPECT_FALSE(publisher.empty());
  EXPECT_TRUE(
      copy.apply(round_trip(next_update(publisher, "g", start)), start));
  EXPECT_TRUE(copy.all(start).empty());
}

TEST(endpoint_list_updates_test, outdated_updates_are_ignored) {
  endpoint_list_publisher publisher("r", 7);
  endpoint_list_copy copy;
  publisher.update({endpoint("a")}, revision, start);
  const endpoint_list_update first = next_update(publisher, "g", start);
  publisher.update({endpoint("a", true)}, revision, start);
  const endpoint_list_update second = next_update(publisher, "g", start);
  copy.apply(first, start);
  copy.apply(second, start);
  EXPECT_TRUE(copy.apply(first, start));
  EXPECT_TRUE(copy.all(start)[0].leaving);
}

TEST(endpoint_list_updates_test, invalid_updates_are_rejected) {
  endpoint_list_publisher publisher("r", 7);
  publisher.update({endpoint("a")}, revision, start);
  const json good = to_json(next_update(publisher, "g", start));
  ASSERT_TRUE(endpoint_list_update_from(good));
  const auto refused = [&good](const char* key, const json& value) {
    json bad = good;
    bad[key] = value;
    return !endpoint_list_update_from(bad);
  };
  EXPECT_TRUE(refused("reader", ""));
  EXPECT_TRUE(refused("life", "x"));
  EXPECT_TRUE(refused("since", 99));
  json list(Json::arrayValue);
  list.append(json(Json::objectValue));
  EXPECT_TRUE(refused("endpoints", list));
  EXPECT_TRUE(refused("gone", list));
}

TEST(reader_timeout_test, a_restarted_gateway_reads_immediately) {
  const milliseconds interval{1000};
  EXPECT_EQ(reader_timeout(false, false, interval), milliseconds(0));
  EXPECT_EQ(reader_timeout(true, false, interval), 3 * interval);
  EXPECT_EQ(reader_timeout(false, true, interval), 3 * interval);
}

// Guards against all gateways taking over from a late reader at once. In a
// region with 107 gateways a late update made 104 of them read the platform's
// list within a second and send it to each other.
TEST(reader_timeout_test,
     only_one_of_a_hundred_gateways_replaces_a_late_reader) {
  constexpr milliseconds interval{1000};
  constexpr milliseconds delivery_time{250};
  std::set<std::string> gateways;
  for (int i = 0; i < 100; ++i) gateways.insert("g" + std::to_string(i));
  const std::string first = rank_readers("r", gateways, "g0").first;
  std::vector<milliseconds> waits;
  for (const std::string& it : gateways) {
    const reader_ranking all = rank_readers("r", gateways, it);
    EXPECT_EQ(all.first, first);
    EXPECT_EQ(all.own_rank == 0, it == first);
    if (it != first) {
      waits.push_back(reader_timeout(true, false, interval, all.own_rank));
    }
  }
  std::sort(waits.begin(), waits.end());
  EXPECT_GT(waits[1], waits[0] + delivery_time);
  EXPECT_LT(waits[0], 4 * interval);
  EXPECT_LT(waits.back(), 8 * interval);
}

TEST(reader_timeout_test, failed_first_reads_are_retried_after_a_random_delay) {
  const milliseconds interval{1000};
  seeded_random random(7);
  std::set<milliseconds> seen;
  for (int i = 0; i < 50; ++i) {
    const milliseconds delay = reread_delay(false, interval, random);
    EXPECT_GE(delay, milliseconds(150));
    EXPECT_LE(delay, milliseconds(300));
    seen.insert(delay);
  }
  EXPECT_GT(seen.size(), 20U);
  EXPECT_EQ(reread_delay(true, interval, random), interval);
}

}  // namespace
}  // namespace trestlepost::node
