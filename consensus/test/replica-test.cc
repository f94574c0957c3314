// Tests of a single replica: votes, elections, snapshots, and the amount of
// data that a leader sends.
#include "trestlepost/consensus/replica.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace trestlepost::consensus {
namespace {

using std::chrono::milliseconds;

const replica_id id_a{"a", 1};
const replica_id id_b{"b", 1};

member_list two_voters() {
  return {{id_a, true}, {id_b, true}};
}

durable_state founded_state() {
  durable_state state;
  state.hard = hard_state{1, std::nullopt, "group"};
  state.base = snapshot{1, 1, two_voters(), ""};
  return state;
}

TEST(replica_test, an_empty_replica_starts_no_election) {
  seeded_random random(1);
  monotonic_time now;
  replica it(id_a, {}, {}, random, now);
  for (int i = 0; i < 1000; ++i) it.tick(now += milliseconds(100));
  EXPECT_EQ(it.current_role(), role::follower);
  EXPECT_FALSE(it.has_output());
}

TEST(replica_test, a_group_is_founded_once) {
  seeded_random random(1);
  replica it(id_a, {}, {}, random, monotonic_time());
  EXPECT_TRUE(it.found("group", {{id_a, true}}));
  it.take_output();
  it.mark_durable();
  const result<void> again = it.found("other", {{id_a, true}});
  ASSERT_FALSE(again);
  EXPECT_EQ(again.error().kind, error_kind::conflict);
}

TEST(replica_test, a_voter_grants_one_vote_per_term) {
  seeded_random random(1);
  monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  now += milliseconds(1500);
  const message first{"group", id_b, id_a, 5, vote_request{false, 1, 1}};
  const message second{"group", {"c", 1}, id_a, 5, vote_request{false, 1, 1}};
  it.receive(now, first);
  it.receive(now, second);
  const output out = it.take_output();
  ASSERT_TRUE(out.writes.hard);
  EXPECT_EQ(out.writes.hard->voted_for, id_b);
  ASSERT_EQ(out.messages.size(), 2U);
  EXPECT_TRUE(std::get<vote_reply>(out.messages[0].body).granted);
  EXPECT_FALSE(std::get<vote_reply>(out.messages[1].body).granted);
}

TEST(replica_test, a_message_for_a_previous_incarnation_is_ignored) {
  seeded_random random(1);
  replica it({"a", 2}, {}, {}, random, monotonic_time());
  it.receive(monotonic_time(),
             {"group", id_b, id_a, 5, vote_request{false, 1, 1}});
  EXPECT_FALSE(it.has_output());
  EXPECT_EQ(it.term(), 0U);
}

TEST(replica_test, a_vote_request_does_not_depose_an_active_leader) {
  seeded_random random(1);
  const monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  it.receive(now, {"group", id_b, id_a, 1, append_request{1, 1, 1, 1, {}}});
  it.take_output();
  it.receive(now, {"group", {"c", 1}, id_a, 9, vote_request{false, 9, 9}});
  EXPECT_EQ(it.term(), 1U);
  EXPECT_EQ(it.leader(), id_b);
}

TEST(replica_test, a_late_snapshot_discards_no_acknowledged_entry) {
  seeded_random random(1);
  const monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  const append_request entries{
      1, 1, 1, 1, {{2, 1, entry_type::noop, ""}, {3, 1, entry_type::noop, ""}}};
  it.receive(now, {"group", id_b, id_a, 1, entries});
  it.take_output();
  it.mark_durable();
  const snapshot late{2, 1, two_voters(), "state"};
  it.receive(now, {"group", id_b, id_a, 1, snapshot_request{1, late}});
  EXPECT_EQ(it.last_index(), 3U);
  EXPECT_FALSE(it.take_output().restore);
}

TEST(replica_test, a_suspended_follower_reads_messages_before_an_election) {
  seeded_random random(1);
  monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  const message heartbeat{"group", id_b, id_a, 1,
                          append_request{1, 1, 1, 1, {}}};
  it.receive(now, heartbeat);
  it.take_output();
  // The process is suspended while heartbeats wait in its queue.
  it.tick(now += milliseconds(5000));
  EXPECT_EQ(it.current_role(), role::follower);
  EXPECT_EQ(it.leader(), id_b);
  it.receive(now += milliseconds(20), heartbeat);
  it.tick(now += milliseconds(20));
  EXPECT_EQ(it.current_role(), role::follower);
  // Without messages to read it starts an election, even if it is rarely
  // scheduled.
  it.tick(now += milliseconds(5000));
  it.tick(now += milliseconds(5000));
  EXPECT_EQ(it.current_role(), role::candidate);
}

TEST(replica_test, a_suspended_leader_reads_messages_before_it_steps_down) {
  seeded_random random(1);
  monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  it.tick(now += milliseconds(2500));
  it.tick(now += milliseconds(20));
  it.receive(now, {"group", id_b, id_a, 2, vote_reply{true, true}});
  it.receive(now, {"group", id_b, id_a, 2, vote_reply{false, true}});
  ASSERT_TRUE(it.is_leader());
  const message reply{"group", id_b, id_a, 2, append_reply{true, 1, 1}};
  it.receive(now, reply);
  it.tick(now += milliseconds(5000));
  EXPECT_TRUE(it.is_leader());
  EXPECT_FALSE(it.holds_lease(now));
  it.receive(now += milliseconds(20), reply);
  it.tick(now += milliseconds(20));
  EXPECT_TRUE(it.is_leader());
  it.tick(now += milliseconds(5000));
  it.tick(now += milliseconds(5000));
  EXPECT_FALSE(it.is_leader());
}

/// Time from its start until a voter of a group of two requests its first
/// pre-vote.
milliseconds first_pre_vote(const replica_id& self, std::uint64_t seed) {
  seeded_random random(seed);
  const monotonic_time start;
  replica it(self, {}, founded_state(), random, start);
  monotonic_time now = start;
  while (!it.has_output()) it.tick(now += milliseconds(1));
  return std::chrono::duration_cast<milliseconds>(now - start);
}

TEST(replica_test, voters_started_together_start_elections_in_list_order) {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    const milliseconds a = first_pre_vote(id_a, seed);
    EXPECT_LE(a, milliseconds(1002));
    EXPECT_GE(first_pre_vote(id_b, seed), a + milliseconds(200));
  }
}

TEST(replica_test, a_rejected_pre_vote_is_repeated_soon) {
  seeded_random random(1);
  monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  const auto wait_for_request = [&it, &now] {
    const monotonic_time from = now;
    while (!it.has_output()) it.tick(now += milliseconds(1));
    const output out = it.take_output();
    EXPECT_TRUE(std::get<vote_request>(out.messages.at(0).body).pre_vote);
    return now - from;
  };
  wait_for_request();
  it.receive(now, {"group", id_b, id_a, 1, vote_reply{true, false}});
  const replica_options options;
  EXPECT_LE(wait_for_request(),
            options.election_timeout * 3 / 4 + milliseconds(2));
  EXPECT_EQ(it.term(), 1U);
}

TEST(replica_test, a_candidate_without_replies_does_not_block_others) {
  // The candidate's requests arrive but the replies to it do not, as when links
  // fail in one direction. It repeats its requests.
  seeded_random random(1);
  monotonic_time now;
  durable_state state = founded_state();
  state.base.members.push_back({{"c", 1}, true});
  replica it(id_b, {}, state, random, now);
  const message request{"group", id_a, id_b, 2, vote_request{true, 1, 1}};
  const auto starts_election = [&it] {
    const output out = it.take_output();
    return std::any_of(out.messages.begin(), out.messages.end(),
                       [](const message& one) {
                         return std::holds_alternative<vote_request>(one.body);
                       });
  };
  int rounds = 0;
  for (int i = 0; i < 200; ++i) {
    it.tick(now += milliseconds(25));
    if (i % 10 == 0) it.receive(now, request);
    if (starts_election()) ++rounds;
  }
  EXPECT_GE(rounds, 2);
  // The pre-vote of one more voter then starts its election.
  it.receive(now, {"group", {"c", 1}, id_b, 2, vote_reply{true, true}});
  EXPECT_EQ(it.term(), 2U);
}

/// Two of three voters whose leader is lost. Messages take `latency`.
class surviving_pair {
 public:
  explicit surviving_pair(std::uint64_t seed, milliseconds latency)
      : random_(seed), latency_(latency) {
    durable_state state = founded_state();
    state.base.members.push_back({id_lost, true});
    for (const replica_id& it : {id_a, id_b}) {
      replicas_.emplace_back(it, options(), state, random_, now_);
    }
    // Both have just received a message from the leader.
    for (replica& it : replicas_) {
      it.receive(now_, {"group", id_lost, it.self(), 1,
                        append_request{1, 1, 1, 1, {}}});
      it.take_output();
    }
  }

  /// Time until one of the two leads.
  milliseconds time_to_leader() {
    const monotonic_time start = now_;
    while (!replicas_[0].is_leader() && !replicas_[1].is_leader()) step();
    return std::chrono::duration_cast<milliseconds>(now_ - start);
  }

 private:
  struct packet {
    monotonic_time due;
    message content;
  };

  static replica_options options() { return {}; }

  void step() {
    now_ += milliseconds(25);
    for (replica& it : replicas_) {
      it.tick(now_);
      send(it);
    }
    while (!packets_.empty() && packets_.front().due <= now_) {
      const message in = std::move(packets_.front().content);
      packets_.pop_front();
      for (replica& it : replicas_) {
        if (it.self() != in.to) continue;
        it.receive(now_, in);
        send(it);
      }
    }
  }

  void send(replica& from) {
    output out = from.take_output();
    from.mark_durable();
    for (message& it : out.messages) {
      packets_.push_back({now_ + latency_, std::move(it)});
    }
  }

  inline static const replica_id id_lost{"c", 1};
  seeded_random random_;
  milliseconds latency_;
  monotonic_time now_;
  std::vector<replica> replicas_;
  std::deque<packet> packets_;
};

TEST(replica_test, two_survivors_elect_a_leader_within_three_timeouts) {
  const replica_options options;
  for (const int latency_ms : {1, 25, 100}) {
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
      surviving_pair it(seed, milliseconds(latency_ms));
      ASSERT_LT(it.time_to_leader(), 3 * options.election_timeout)
          << "seed " << seed << ", latency " << latency_ms << " ms";
    }
  }
}

/// Number of commands that `out` sends to `to`.
std::size_t commands_to(const replica_id& to, const output& out) {
  std::size_t n = 0;
  for (const message& it : out.messages) {
    const append_request* body = std::get_if<append_request>(&it.body);
    if (body == nullptr || it.to != to) continue;
    n += static_cast<std::size_t>(std::count_if(
        body->entries.begin(), body->entries.end(),
        [](const entry& one) { return one.type == entry_type::command; }));
  }
  return n;
}

/// Command bytes in the largest message of `out`.
std::size_t largest_message_bytes(const output& out) {
  std::size_t max_bytes = 0;
  for (const message& it : out.messages) {
    const append_request* body = std::get_if<append_request>(&it.body);
    if (body == nullptr) continue;
    std::size_t bytes = 0;
    for (const entry& one : body->entries) bytes += one.data.size();
    max_bytes = std::max(max_bytes, bytes);
  }
  return max_bytes;
}

/// The leader of three replicas, with commands in its log that b lacks; c
/// replies.
class leader_with_log {
 public:
  leader_with_log(std::size_t commands, std::size_t bytes)
      : replica_(id_a, {}, make_state(commands, bytes), random_, now_) {
    replica_.tick(now_ += milliseconds(2500));
    replica_.tick(now_ += milliseconds(20));
    from_c(vote_reply{true, true});
    from_c(vote_reply{false, true});
    EXPECT_TRUE(replica_.is_leader());
    take_output();
    from_c(append_reply{true, replica_.last_index(), 1});
    take_output();
  }

  /// b has only the founding entry.
  output reject_by_b() { return from(id_b, append_reply{false, 1, 0}); }
  output confirm_by_b() { return from(id_b, append_reply{true, 1, 0}); }

  output tick() {
    now_ += milliseconds(100);
    from_c(append_reply{true, replica_.last_index(), ++round_});
    take_output();
    replica_.tick(now_);
    return take_output();
  }

 private:
  static durable_state make_state(std::size_t commands, std::size_t bytes) {
    durable_state out = founded_state();
    out.base.members.push_back({id_c, true});
    for (std::size_t n = 0; n < commands; ++n) {
      out.entries.push_back(
          {n + 2, 1, entry_type::command, std::string(bytes, 'x')});
    }
    return out;
  }

  output from(const replica_id& who, message_body body) {
    replica_.receive(now_, {"group", who, id_a, own_term, body});
    return take_output();
  }
  void from_c(message_body body) { from(id_c, std::move(body)); }

  output take_output() {
    output out = replica_.take_output();
    replica_.mark_durable();
    return out;
  }

  static constexpr term_number own_term = 2;
  inline static const replica_id id_c{"c", 1};
  seeded_random random_{1};
  monotonic_time now_;
  replica replica_;
  std::uint64_t round_ = 1;
};

// Guards against sending a follower that takes long to process entries the same
// entries with each heartbeat, which slows it down further.
TEST(replica_test, missing_entries_are_sent_once_per_election_timeout) {
  leader_with_log it(5, 10);
  std::size_t sent = commands_to(id_b, it.reject_by_b());
  EXPECT_EQ(sent, 5U);
  for (int i = 0; i < 9; ++i) sent += commands_to(id_b, it.tick());
  EXPECT_EQ(sent, 5U);
  // The first message may have been lost.
  for (int i = 0; i < 5; ++i) sent += commands_to(id_b, it.tick());
  EXPECT_EQ(sent, 10U);
}

// Guards against sending all entries that a follower lacks in one message:
// links reject it above 64 MB, and smaller ones take seconds to process.
TEST(replica_test, a_long_log_is_sent_in_messages_of_bounded_size) {
  constexpr std::size_t half_limit = 512UL * 1024;
  leader_with_log it(6, half_limit);
  std::size_t max_bytes = largest_message_bytes(it.reject_by_b());
  max_bytes = std::max(max_bytes, largest_message_bytes(it.confirm_by_b()));
  EXPECT_GT(max_bytes, 0U);
  EXPECT_LE(max_bytes, 2 * half_limit);
}

TEST(message_test, a_message_survives_encoding) {
  append_request body{4, 2, 3, 7, {{5, 2, entry_type::command, "x\"\n"}}};
  const message sent{"group", id_a, id_b, 2, body};
  const result<message> received = message_from(to_json(sent));
  ASSERT_TRUE(received);
  EXPECT_EQ(received->from, id_a);
  EXPECT_EQ(std::get<append_request>(received->body).entries, body.entries);
}

TEST(message_test, invalid_messages_are_rejected) {
  const message sent{
      "group", id_a, id_b, 2,
      append_request{4, 2, 3, 7, {{6, 2, entry_type::noop, ""}}}};
  EXPECT_FALSE(message_from(to_json(sent)));
  EXPECT_FALSE(message_from(json("text")));
  EXPECT_FALSE(message_from(json(Json::objectValue)));
}

}  // namespace
}  // namespace trestlepost::consensus
