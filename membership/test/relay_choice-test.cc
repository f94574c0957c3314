// Tests of the choice of relays and of the heartbeat interval.
#include "trestlepost/membership/relay_choice.h"

#include <gtest/gtest.h>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds mute_after{600};

std::vector<relay_candidate> nine() {
  std::vector<relay_candidate> out;
  for (int i = 0; i < 9; ++i) out.push_back({"n" + std::to_string(i), false});
  return out;
}

TEST(relay_choice_test, all_choose_the_same_two) {
  const relay_choice one;
  const relay_choice other;
  const monotonic_time now;
  const std::vector<std::string> chosen =
      one.choose("isola", nine(), mute_after, now);
  ASSERT_EQ(chosen.size(), 2U);
  EXPECT_EQ(chosen, other.choose("isola", nine(), mute_after, now));
}

TEST(relay_choice_test, a_mute_one_is_passed_over_until_it_answers) {
  relay_choice choice;
  const monotonic_time start;
  const std::string first =
      choice.choose("isola", nine(), mute_after, start).front();
  choice.asked(first, start);
  const monotonic_time early = start + mute_after - milliseconds(1);
  EXPECT_EQ(choice.choose("isola", nine(), mute_after, early).front(), first);
  const monotonic_time late = start + mute_after;
  choice.asked(first, late);
  for (const std::string& it :
       choice.choose("isola", nine(), mute_after, late)) {
    EXPECT_NE(it, first);
  }
  choice.answered(first);
  EXPECT_EQ(choice.choose("isola", nine(), mute_after, late).front(), first);
}

TEST(relay_choice_test, a_mute_one_is_tried_again_after_a_while) {
  relay_choice choice;
  const monotonic_time start;
  const std::string first =
      choice.choose("isola", nine(), mute_after, start).front();
  choice.asked(first, start);
  const monotonic_time later = start + milliseconds(5000);
  EXPECT_EQ(choice.choose("isola", nine(), mute_after, later).front(), first);
}

TEST(relay_choice_test, a_control_node_comes_first_and_a_gateway_second) {
  std::vector<relay_candidate> all = nine();
  const std::vector<std::string> gateways = rank_relays("isola", all);
  all.push_back({"c1", false, true});
  all.push_back({"c2", false, true});
  const std::vector<std::string> chosen = rank_relays("isola", all);
  ASSERT_EQ(chosen.size(), 2U);
  EXPECT_TRUE(chosen[0] == "c1" || chosen[0] == "c2");
  EXPECT_EQ(chosen[1], gateways[0]);
}

TEST(relay_choice_test, where_a_kind_is_missing_the_other_stands_in) {
  EXPECT_EQ(
      rank_relays("isola", {{"c1", false, true}, {"c2", false, true}}).size(),
      2U);
  const std::vector<std::string> expected{"n1", "c1"};
  EXPECT_EQ(rank_relays("isola", {{"c1", true, true}, {"n1", false, false}}),
            expected);
  EXPECT_TRUE(rank_relays("isola", {}).empty());
}

TEST(relay_choice_test, one_that_leaves_is_the_last_to_be_chosen) {
  const relay_choice choice;
  const monotonic_time now;
  std::vector<relay_candidate> all = nine();
  const std::string first =
      choice.choose("isola", all, mute_after, now).front();
  for (relay_candidate& it : all) it.leaving = it.name == first;
  for (const std::string& it : choice.choose("isola", all, mute_after, now)) {
    EXPECT_NE(it, first);
  }
}

TEST(relay_choice_test, all_mute_ones_are_still_asked) {
  relay_choice choice;
  const monotonic_time start;
  for (const relay_candidate& it : nine()) choice.asked(it.name, start);
  EXPECT_EQ(
      choice.choose("isola", nine(), mute_after, start + mute_after).size(),
      2U);
}

TEST(relay_choice_test, five_beats_fit_into_the_time_of_suspicion) {
  const suspicion_options suspicion;
  const milliseconds base{150};
  EXPECT_EQ(beat_interval(base, 1, suspicion), base);
  EXPECT_EQ(beat_interval(base, 40, suspicion), base);
  EXPECT_EQ(beat_interval(base, 41, suspicion), 2 * base);
  EXPECT_EQ(beat_interval(base, 1000, suspicion), suspicion.suspect_after / 5);
  const milliseconds longer{400};
  EXPECT_EQ(beat_interval(longer, 1000, suspicion), longer);
}

}  // namespace
}  // namespace trestlepost::membership
