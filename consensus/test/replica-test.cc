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

TEST(replica_test, an_empty_replica_never_stands_for_election) {
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
  it.take();
  it.written();
  const result<void> again = it.found("other", {{id_a, true}});
  ASSERT_FALSE(again);
  EXPECT_EQ(again.error().kind, error_kind::conflict);
}

TEST(replica_test, a_voter_grants_one_vote_a_term) {
  seeded_random random(1);
  monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  now += milliseconds(1500);
  const message first{"group", id_b, id_a, 5, vote_request{false, 1, 1}};
  const message second{"group", {"c", 1}, id_a, 5, vote_request{false, 1, 1}};
  it.receive(now, first);
  it.receive(now, second);
  const output out = it.take();
  ASSERT_TRUE(out.writes.hard);
  EXPECT_EQ(out.writes.hard->voted_for, id_b);
  ASSERT_EQ(out.messages.size(), 2U);
  EXPECT_TRUE(std::get<vote_reply>(out.messages[0].body).granted);
  EXPECT_FALSE(std::get<vote_reply>(out.messages[1].body).granted);
}

TEST(replica_test, a_message_for_a_former_incarnation_is_ignored) {
  seeded_random random(1);
  replica it({"a", 2}, {}, {}, random, monotonic_time());
  it.receive(monotonic_time(),
             {"group", id_b, id_a, 5, vote_request{false, 1, 1}});
  EXPECT_FALSE(it.has_output());
  EXPECT_EQ(it.term(), 0U);
}

TEST(replica_test, a_fresh_leader_is_not_deposed_by_a_higher_term) {
  seeded_random random(1);
  const monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  it.receive(now, {"group", id_b, id_a, 1, append_request{1, 1, 1, 1, {}}});
  it.take();
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
  it.take();
  it.written();
  const snapshot late{2, 1, two_voters(), "state"};
  it.receive(now, {"group", id_b, id_a, 1, snapshot_request{1, late}});
  EXPECT_EQ(it.last_index(), 3U);
  EXPECT_FALSE(it.take().restore);
}

TEST(replica_test, a_follower_reads_what_arrived_before_it_stands) {
  seeded_random random(1);
  monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  const message heartbeat{"group", id_b, id_a, 1,
                          append_request{1, 1, 1, 1, {}}};
  it.receive(now, heartbeat);
  it.take();
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

TEST(replica_test, a_leader_reads_what_arrived_before_it_steps_down) {
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

TEST(replica_test, voters_that_start_together_stand_in_their_order) {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    const milliseconds a = first_pre_vote(id_a, seed);
    EXPECT_LE(a, milliseconds(1002));
    EXPECT_GE(first_pre_vote(id_b, seed), a + milliseconds(200));
  }
}

TEST(replica_test, a_pre_vote_that_was_not_granted_is_soon_repeated) {
  seeded_random random(1);
  monotonic_time now;
  replica it(id_a, {}, founded_state(), random, now);
  const auto wait_for_request = [&it, &now] {
    const monotonic_time from = now;
    while (!it.has_output()) it.tick(now += milliseconds(1));
    const output out = it.take();
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

TEST(replica_test, a_candidate_that_never_wins_does_not_keep_others_from_it) {
  // The candidate's requests arrive but the replies to it do not, as when links
  // fail in one direction. It keeps asking.
  seeded_random random(1);
  monotonic_time now;
  durable_state state = founded_state();
  state.base.members.push_back({{"c", 1}, true});
  replica it(id_b, {}, state, random, now);
  const message deaf{"group", id_a, id_b, 2, vote_request{true, 1, 1}};
  const auto stands = [&it] {
    const output out = it.take();
    return std::any_of(out.messages.begin(), out.messages.end(),
                       [](const message& one) {
                         return std::holds_alternative<vote_request>(one.body);
                       });
  };
  int rounds = 0;
  for (int i = 0; i < 200; ++i) {
    it.tick(now += milliseconds(25));
    if (i % 10 == 0) it.receive(now, deaf);
    if (stands()) ++rounds;
  }
  EXPECT_GE(rounds, 2);
  // The pre-vote of one more voter then starts its election.
  it.receive(now, {"group", {"c", 1}, id_b, 2, vote_reply{true, true}});
  EXPECT_EQ(it.term(), 2U);
}

/// Two of three voters whose leader is lost. Messages take `way`.
class survivors {
 public:
  explicit survivors(std::uint64_t seed, milliseconds way)
      : random_(seed), way_(way) {
    durable_state state = founded_state();
    state.base.members.push_back({id_lost, true});
    for (const replica_id& it : {id_a, id_b}) {
      replicas_.emplace_back(it, options(), state, random_, now_);
    }
    // Both have just received a message from the leader.
    for (replica& it : replicas_) {
      it.receive(now_, {"group", id_lost, it.self(), 1,
                        append_request{1, 1, 1, 1, {}}});
      it.take();
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
    output out = from.take();
    from.written();
    for (message& it : out.messages) {
      packets_.push_back({now_ + way_, std::move(it)});
    }
  }

  inline static const replica_id id_lost{"c", 1};
  seeded_random random_;
  milliseconds way_;
  monotonic_time now_;
  std::vector<replica> replicas_;
  std::deque<packet> packets_;
};

TEST(replica_test, two_survivors_agree_on_a_leader_within_three_timeouts) {
  const replica_options options;
  for (const int way_ms : {1, 25, 100}) {
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
      survivors it(seed, milliseconds(way_ms));
      ASSERT_LT(it.time_to_leader(), 3 * options.election_timeout)
          << "seed " << seed << ", way " << way_ms << " ms";
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
std::size_t longest_message(const output& out) {
  std::size_t most = 0;
  for (const message& it : out.messages) {
    const append_request* body = std::get_if<append_request>(&it.body);
    if (body == nullptr) continue;
    std::size_t bytes = 0;
    for (const entry& one : body->entries) bytes += one.data.size();
    most = std::max(most, bytes);
  }
  return most;
}

/// The leader of three replicas, with commands in its log that b lacks; c
/// replies.
class leader_with_a_log {
 public:
  leader_with_a_log(std::size_t commands, std::size_t bytes)
      : replica_(id_a, {}, make_state(commands, bytes), random_, now_) {
    replica_.tick(now_ += milliseconds(2500));
    replica_.tick(now_ += milliseconds(20));
    from_c(vote_reply{true, true});
    from_c(vote_reply{false, true});
    EXPECT_TRUE(replica_.is_leader());
    take();
    from_c(append_reply{true, replica_.last_index(), 1});
    take();
  }

  /// b has only the founding entry.
  output refused_by_b() { return from(id_b, append_reply{false, 1, 0}); }
  output confirmed_by_b() { return from(id_b, append_reply{true, 1, 0}); }

  output tick() {
    now_ += milliseconds(100);
    from_c(append_reply{true, replica_.last_index(), ++round_});
    take();
    replica_.tick(now_);
    return take();
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
    return take();
  }
  void from_c(message_body body) { from(id_c, std::move(body)); }

  output take() {
    output out = replica_.take();
    replica_.written();
    return out;
  }

  static constexpr term_number own_term = 2;
  inline static const replica_id id_c{"c", 1};
  seeded_random random_{1};
  monotonic_time now_;
  replica replica_;
  std::uint64_t round_ = 1;
};

// A follower that took long to process entries was sent the same entries with
// each heartbeat, which slowed it down further.
TEST(replica_test, what_a_follower_lacks_goes_out_once_in_an_election_timeout) {
  leader_with_a_log it(5, 10);
  std::size_t sent = commands_to(id_b, it.refused_by_b());
  EXPECT_EQ(sent, 5U);
  for (int beat = 0; beat < 9; ++beat) sent += commands_to(id_b, it.tick());
  EXPECT_EQ(sent, 5U);
  // The first message may have been lost.
  for (int beat = 0; beat < 5; ++beat) sent += commands_to(id_b, it.tick());
  EXPECT_EQ(sent, 10U);
}

// All entries that a follower lacked used to be sent in one message. Links
// rejected it above 64 MB, and smaller ones took seconds to process.
TEST(replica_test, a_long_log_goes_out_in_messages_of_bounded_size) {
  constexpr std::size_t half_limit = 512UL * 1024;
  leader_with_a_log it(6, half_limit);
  std::size_t most = longest_message(it.refused_by_b());
  most = std::max(most, longest_message(it.confirmed_by_b()));
  EXPECT_GT(most, 0U);
  EXPECT_LE(most, 2 * half_limit);
}

TEST(message_test, survives_its_encoding) {
  append_request body{4, 2, 3, 7, {{5, 2, entry_type::command, "x\"\n"}}};
  const message sent{"group", id_a, id_b, 2, body};
  const result<message> received = message_from(to_json(sent));
  ASSERT_TRUE(received);
  EXPECT_EQ(received->from, id_a);
  EXPECT_EQ(std::get<append_request>(received->body).entries, body.entries);
}

TEST(message_test, damaged_messages_are_refused) {
  const message sent{
      "group", id_a, id_b, 2,
      append_request{4, 2, 3, 7, {{6, 2, entry_type::noop, ""}}}};
  EXPECT_FALSE(message_from(to_json(sent)));
  EXPECT_FALSE(message_from(json("text")));
  EXPECT_FALSE(message_from(json(Json::objectValue)));
}

}  // namespace
}  // namespace trestlepost::consensus
