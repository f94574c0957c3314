// Tests of the selection of relays and of the heartbeat interval.
#include "trestlepost/membership/relay_selector.h"

#include <gtest/gtest.h>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds unresponsive_after{600};

std::vector<relay_candidate> nine_candidates() {
  std::vector<relay_candidate> out;
  for (int i = 0; i < 9; ++i) out.push_back({"n" + std::to_string(i), false});
  return out;
}

TEST(relay_selector_test, all_nodes_choose_the_same_two_relays) {
  const relay_selector one;
  const relay_selector other;
  const monotonic_time now;
  const std::vector<std::string> chosen =
      one.choose("isola", nine_candidates(), unresponsive_after, now);
  ASSERT_EQ(chosen.size(), 2U);
  EXPECT_EQ(chosen,
            other.choose("isola", nine_candidates(), unresponsive_after, now));
}

TEST(relay_selector_test, an_unresponsive_relay_is_skipped_until_it_responds) {
  relay_selector selector;
  const monotonic_time start;
  const std::string first =
      selector.choose("isola", nine_candidates(), unresponsive_after, start)
          .front();
  selector.heartbeat_sent(first, start);
  const monotonic_time early = start + unresponsive_after - milliseconds(1);
  EXPECT_EQ(
      selector.choose("isola", nine_candidates(), unresponsive_after, early)
          .front(),
      first);
  const monotonic_time late = start + unresponsive_after;
  selector.heartbeat_sent(first, late);
  for (const std::string& it :
       selector.choose("isola", nine_candidates(), unresponsive_after, late)) {
    EXPECT_NE(it, first);
  }
  selector.digest_received(first);
  EXPECT_EQ(
      selector.choose("isola", nine_candidates(), unresponsive_after, late)
          .front(),
      first);
}

TEST(relay_selector_test, an_unresponsive_relay_is_tried_again) {
  relay_selector selector;
  const monotonic_time start;
  const std::string first =
      selector.choose("isola", nine_candidates(), unresponsive_after, start)
          .front();
  selector.heartbeat_sent(first, start);
  const monotonic_time later = start + milliseconds(5000);
  EXPECT_EQ(
      selector.choose("isola", nine_candidates(), unresponsive_after, later)
          .front(),
      first);
}

TEST(relay_selector_test, a_control_node_comes_first_and_a_gateway_second) {
  std::vector<relay_candidate> all = nine_candidates();
  const std::vector<std::string> gateways = rank_relays("isola", all);
  all.push_back({"c1", false, true});
  all.push_back({"c2", false, true});
  const std::vector<std::string> chosen = rank_relays("isola", all);
  ASSERT_EQ(chosen.size(), 2U);
  EXPECT_TRUE(chosen[0] == "c1" || chosen[0] == "c2");
  EXPECT_EQ(chosen[1], gateways[0]);
}

TEST(relay_selector_test, a_missing_kind_is_replaced_by_the_other) {
  EXPECT_EQ(
      rank_relays("isola", {{"c1", false, true}, {"c2", false, true}}).size(),
      2U);
  const std::vector<std::string> expected{"n1", "c1"};
  EXPECT_EQ(rank_relays("isola", {{"c1", true, true}, {"n1", false, false}}),
            expected);
  EXPECT_TRUE(rank_relays("isola", {}).empty());
}

TEST(relay_selector_test, a_leaving_node_is_chosen_last) {
  const relay_selector selector;
  const monotonic_time now;
  std::vector<relay_candidate> all = nine_candidates();
  const std::string first =
      selector.choose("isola", all, unresponsive_after, now).front();
  for (relay_candidate& it : all) it.leaving = it.name == first;
  for (const std::string& it :
       selector.choose("isola", all, unresponsive_after, now)) {
    EXPECT_NE(it, first);
  }
}

TEST(relay_selector_test,
     unresponsive_relays_are_chosen_if_there_are_no_others) {
  relay_selector selector;
  const monotonic_time start;
  for (const relay_candidate& it : nine_candidates())
    selector.heartbeat_sent(it.name, start);
  EXPECT_EQ(selector
                .choose("isola", nine_candidates(), unresponsive_after,
                        start + unresponsive_after)
                .size(),
            2U);
}

TEST(relay_selector_test, five_heartbeats_fit_into_the_suspicion_time) {
  const suspicion_options suspicion;
  const milliseconds base{150};
  EXPECT_EQ(scaled_heartbeat_interval(base, 1, suspicion), base);
  EXPECT_EQ(scaled_heartbeat_interval(base, 40, suspicion), base);
  EXPECT_EQ(scaled_heartbeat_interval(base, 41, suspicion), 2 * base);
  EXPECT_EQ(scaled_heartbeat_interval(base, 1000, suspicion),
            suspicion.suspect_after / 5);
  const milliseconds longer{400};
  EXPECT_EQ(scaled_heartbeat_interval(longer, 1000, suspicion), longer);
}

}  // namespace
}  // namespace trestlepost::membership
