#include "configuration/poll_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using addresses = std::vector<std::string>;

constexpr milliseconds default_interval{500};
constexpr milliseconds tick{25};
constexpr std::uint64_t seed = 7;
const monotonic_time start{std::chrono::hours(1)};
const addresses all{"a:1", "b:1", "c:1", "d:1", "e:1"};
const poll_situation without_leader{false, "", all};
const poll_situation unconfirmed{false, "b:1", all};
const poll_situation confirmed{true, "b:1", all};

class polls {
 public:
  explicit polls(milliseconds interval = default_interval)
      : scheduler(interval, random) {}

  /// Ticks for `time`; each poll that `answers` accepts is answered `delay`
  /// later.
  void run(const poll_situation& situation, milliseconds time,
           const std::set<std::string>& answering = {},
           milliseconds delay = milliseconds(0)) {
    for (const monotonic_time end = now + time; now < end; now += tick) {
      const std::optional<planned_poll> due = scheduler.next(situation, now);
      if (due) {
        sent.push_back(*due);
        if (answering.contains(due->address))
          answers.emplace(now + delay, due->address);
      }
      while (!answers.empty() && answers.begin()->first <= now) {
        scheduler.record_answer(answers.begin()->second);
        answers.erase(answers.begin());
      }
    }
  }
  std::size_t count_to(const std::string& address) const {
    return static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(),
        [&address](const auto& it) { return it.address == address; }));
  }
  std::size_t forwarded() const {
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(),
                      [](const planned_poll& it) { return it.forward; }));
  }

  seeded_random random{seed};
  poll_scheduler scheduler;
  monotonic_time now = start;
  std::vector<planned_poll> sent;
  std::multimap<monotonic_time, std::string> answers;
};

// Guards against an overloaded leader when 300 nodes return at once without a
// configuration. Each of them polled all five control nodes every 150 ms,
// whether or not they answered, and four of these polls were forwarded.
TEST(poll_scheduler_test, a_node_polls_one_control_node_at_a_time) {
  polls it;
  it.run(without_leader, tick);
  ASSERT_EQ(it.sent.size(), 1U);
  it.run(without_leader, milliseconds(1000));
  EXPECT_LE(it.sent.size(), 4U);
  EXPECT_GE(it.sent.size(), 3U);
}

// Guards against a load that rises while answers are late: the later they are,
// the fewer polls a node sends.
TEST(poll_scheduler_test, late_answers_cause_no_more_polls) {
  constexpr milliseconds time{20'000};
  const std::set<std::string> answering(all.begin(), all.end());
  for (const poll_situation& situation :
       {without_leader, unconfirmed, confirmed}) {
    polls prompt;
    prompt.run(confirmed, time, answering);
    for (const milliseconds delay :
         {milliseconds(400), milliseconds(1000), milliseconds(4000)}) {
      polls late;
      late.run(situation, time, answering, delay);
      EXPECT_LE(late.sent.size(), prompt.sent.size() + 2) << delay.count();
    }
    polls never;
    never.run(situation, time);
    EXPECT_LE(never.sent.size(), prompt.sent.size() + 2);
    EXPECT_LT(never.count_to("a:1"), never.sent.size() / 4);
  }
}

TEST(poll_scheduler_test, a_leader_that_answers_gets_all_polls) {
  polls it;
  it.run(confirmed, milliseconds(10'000), {"b:1"}, milliseconds(160));
  EXPECT_EQ(it.count_to("b:1"), it.sent.size());
  EXPECT_GE(it.sent.size(), 18U);
  EXPECT_EQ(it.forwarded(), 0U);
}

// Guards against nodes that never reach a leader because the direct path to it
// is broken: others have to pass their polls on.
TEST(poll_scheduler_test, polls_pass_through_others_if_the_leader_is_silent) {
  const std::set<std::string> answering{"a:1", "c:1", "d:1", "e:1"};
  for (const poll_situation& situation : {unconfirmed, confirmed}) {
    polls it;
    it.run(situation, milliseconds(10'000), answering);
    EXPECT_GE(it.forwarded(), 10U);
    EXPECT_EQ(it.forwarded() + it.count_to("b:1"), it.sent.size());
    EXPECT_GE(it.count_to("b:1"), 3U);
  }
}

TEST(poll_scheduler_test, control_nodes_that_are_down_are_passed_over) {
  polls it;
  it.run(without_leader, milliseconds(1000), {"e:1"});
  EXPECT_LE(it.count_to("a:1"), 1U);
  it.run(without_leader, milliseconds(4000), {"e:1"});
  EXPECT_GE(it.count_to("e:1"), 2U);
}

TEST(poll_scheduler_test, news_are_sent_at_once) {
  polls it;
  it.run(confirmed, tick);
  it.scheduler.poll_now();
  it.run(confirmed, tick);
  EXPECT_EQ(it.count_to("b:1"), 2U);
}

// Guards against control nodes that name each other as leaders and are polled
// in turn as fast as they answer.
TEST(poll_scheduler_test, contradictory_leaders_cause_no_more_polls) {
  polls it;
  for (int n = 0; n < 100; ++n) {
    it.scheduler.record_new_leader(it.now);
    const std::string& leader = all[static_cast<std::size_t>(n % 2)];
    it.run({false, leader, all}, milliseconds(50), {leader});
  }
  // Twice as many as in default intervals.
  EXPECT_LE(it.sent.size(), 25U);
}

TEST(poll_scheduler_test, new_leader_is_polled_soon) {
  polls it;
  it.run(without_leader, milliseconds(5000));
  it.scheduler.record_new_leader(it.now);
  const std::size_t before = it.sent.size();
  it.run(unconfirmed, tick, {"b:1"});
  EXPECT_EQ(it.sent.size(), before + 1);
  EXPECT_EQ(it.sent.back().address, "b:1");
}

TEST(poll_scheduler_test, a_short_default_interval_is_not_extended) {
  polls it(milliseconds(50));
  it.run(unconfirmed, milliseconds(1000), {"b:1"});
  EXPECT_GE(it.sent.size(), 12U);
}

TEST(poll_scheduler_test, a_node_that_knows_no_control_node_sends_nothing) {
  polls it;
  it.run({false, "", {}}, milliseconds(1000));
  EXPECT_TRUE(it.sent.empty());
}

}  // namespace
}  // namespace trestlepost::node
