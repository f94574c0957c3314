#include "control/poll_queue.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

json poll(std::uint64_t token) {
  json out;
  out["token"] = as_number(token);
  return out;
}

std::uint64_t token_of(const std::optional<queued_poll>& poll) {
  return poll ? number_of(poll->message, "token") : 0;
}

// Guards against a leader that answers polls for longer than its lease lasts
// because more nodes poll than it has time for.
TEST(poll_queue_test, polls_use_no_more_than_their_time_in_a_tick) {
  poll_queue it;
  for (std::uint64_t n = 1; n <= 1000; ++n)
    it.push({"node-" + std::to_string(n), "", poll(n)});
  int answered = 0;
  while (it.pop()) {
    ++answered;
    it.record_duration(milliseconds(1));
  }
  EXPECT_LE(answered, 10);
  EXPECT_FALSE(it.pop());
  it.start_tick();
  EXPECT_EQ(token_of(it.pop()), static_cast<std::uint64_t>(answered + 1));
}

// Guards against answers to polls that their senders have repeated: the answer
// to the newest one suffices.
TEST(poll_queue_test, newest_poll_of_each_sender_and_path_is_kept) {
  poll_queue it;
  it.push({"a", "", poll(1)});
  it.push({"b", "", poll(2)});
  it.push({"a", "", poll(3)});
  it.push({"a", "follower", poll(4)});
  EXPECT_EQ(it.size(), 3U);
  EXPECT_EQ(token_of(it.pop()), 3U);
  EXPECT_EQ(token_of(it.pop()), 2U);
  EXPECT_EQ(token_of(it.pop()), 4U);
  EXPECT_FALSE(it.pop());
}

// Guards against an update that is never sent again because the poll that
// reported its loss was replaced by the next one.
TEST(poll_queue_test, reported_loss_is_kept) {
  poll_queue it;
  json lost = poll(1);
  lost["missed"] = true;
  it.push({"a", "", lost});
  it.push({"a", "", poll(2)});
  const std::optional<queued_poll> kept = it.pop();
  ASSERT_TRUE(kept);
  EXPECT_TRUE(flag_of(kept->message, "missed"));
  EXPECT_EQ(token_of(kept), 2U);
}

}  // namespace
}  // namespace trestlepost::node
