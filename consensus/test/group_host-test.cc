// Tests that the leader of a group replaces lost members, over a network
// without message loss.
#include "trestlepost/consensus/group_host.h"

#include <gtest/gtest.h>

#include <set>
#include <utility>

#include "lossless_group.h"

namespace trestlepost::consensus::test {
namespace {

using std::chrono::milliseconds;

/// A state machine whose snapshots can't be read.
class damaged_machine final : public state_machine {
 public:
  void apply(const entry& /*committed*/) override {}
  std::string save() const override { return "{}"; }
  result<void> load(std::string_view data) override {
    if (data.empty()) return {};
    return fail(error_kind::corrupt, "unreadable", "empty the folder");
  }
};

/// Holds a snapshot and nothing else.
class one_snapshot_storage final : public storage {
 public:
  result<durable_state> load() override {
    durable_state out;
    out.base.index = 7;
    out.base.term = 1;
    out.base.data = "{}";
    return out;
  }
  result<void> save(const write_batch& /*batch*/) override { return {}; }
  result<void> compact(const snapshot& /*base*/, const hard_state& /*hard*/,
                       const std::vector<entry>& /*entries*/) override {
    return {};
  }
};

TEST(group_host_test, a_lost_disk_is_replaced) {
  group it("a");
  it.lose_disk("b");
  it.start("b");
  EXPECT_TRUE(it.run([&] { return it.is_whole(); }));
}

TEST(group_host_test,
     a_new_incarnation_votes_only_after_the_old_one_is_removed) {
  // The leader itself loses its disk, so the next leader has never received a
  // reply of the old incarnation.
  group it("b");
  it.lose_disk("b");
  it.start("b");
  bool two_votes = false;
  EXPECT_TRUE(it.run([&] {
    two_votes = two_votes || it.has_two_voters_on_a_node();
    return it.is_whole();
  }));
  EXPECT_FALSE(two_votes);
}

// Guards against a group without a majority for good: after a change of the
// leader the lost incarnation stayed a voter until a timeout, in which the next
// disk was lost.
TEST(group_host_test, a_lost_disk_is_replaced_without_a_timeout) {
  constexpr milliseconds max_replacement_time{500};
  for (const bool leader_lost : {true, false}) {
    group it("a");
    for (int round = 0; round < 6; ++round) {
      const std::string leader = it.leader();
      const std::string lost =
          leader_lost ? leader : (leader == "a" ? "b" : "a");
      it.lose_disk(lost);
      it.start(lost);
      ASSERT_TRUE(it.run([&] {
        const std::string now = it.leader();
        return !now.empty() && (!leader_lost || now != leader);
      }));
      const monotonic_time elected_at = it.now();
      ASSERT_TRUE(it.run([&] { return it.is_whole(); })) << round;
      EXPECT_LT(it.now() - elected_at, max_replacement_time) << round;
    }
  }
}

// Guards against the same with other figures: whichever nodes lose their disks,
// and however long they are down, a group of five that loses no more than two
// at once is whole again in the time that the users' pages allow.
TEST(group_host_test, a_group_of_five_is_whole_soon_after_any_two_return) {
  constexpr milliseconds catch_up_time{4000};
  constexpr std::uint64_t seeds = 40;
  constexpr int losses = 12;
  const std::vector<std::string> names{"a", "b", "c", "d", "e"};
  group_options options;
  options.replica.election_timeout = milliseconds(500);
  options.replica.heartbeat_interval = milliseconds(100);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    seeded_random random(seed);
    group it("a", names, true, options, seed);
    it.set_latency_of_all(milliseconds(random.below(80)));
    ASSERT_TRUE(it.run([&] { return it.is_whole(); })) << seed;
    for (int loss = 0; loss < losses; ++loss) {
      std::set<std::string> lost{names[random.below(names.size())]};
      if (random.below(2) == 0) lost.insert(it.leader());
      if (random.below(2) == 0) lost = {it.leader()};
      for (const std::string& name : lost) it.lose_disk(name);
      it.run_for(milliseconds(100 + random.below(5000)));
      for (const std::string& name : lost) it.start(name);
      it.run_for(catch_up_time);
      ASSERT_TRUE(it.is_whole()) << "seed " << seed << ", loss " << loss;
    }
  }
}

// Guards against the removal of a live voter: a reply that its lost incarnation
// sent long ago arrives after a request of that incarnation to join.
TEST(group_host_test, a_delayed_reply_of_a_lost_incarnation_replaces_nothing) {
  group it("a");
  const replica_id lost = it.id_of("b");
  const message reply{it.host("a").core().group_id(), lost,
                      it.host("a").core().self(), it.host("a").core().term(),
                      append_reply{true, 1, 1}};
  it.lose_disk("b");
  it.start("b");
  ASSERT_TRUE(it.run([&] { return it.is_whole(); }));
  it.host("a").handle_join(it.now(), lost);
  it.host("a").receive(it.now(), reply);
  bool replaced = false;
  it.run([&] {
    replaced = replaced || !it.is_voter(it.id_of("b"));
    return false;
  });
  EXPECT_FALSE(replaced);
}

/// Whether a distant node is added again. Its replies arrive after the nearby
/// voter's reply has committed its addition.
bool replaces_disk_of_distant_node(bool open) {
  group it("a", open);
  it.set_latency("b", milliseconds(60));
  EXPECT_TRUE(it.run([&] { return it.is_whole(); }));
  it.lose_disk("b");
  it.start("b");
  return it.run([&] { return it.is_whole(); });
}

TEST(group_host_test, a_lost_disk_of_a_distant_node_is_replaced) {
  EXPECT_TRUE(replaces_disk_of_distant_node(false));
}

TEST(group_host_test,
     a_lost_disk_of_a_distant_node_is_replaced_in_an_open_group) {
  EXPECT_TRUE(replaces_disk_of_distant_node(true));
}

TEST(group_host_test, a_member_that_never_replies_is_removed) {
  group it("a");
  it.host("a").handle_join(it.now(), {"b", 99});
  ASSERT_EQ(it.members(), 4U);
  EXPECT_TRUE(it.run([&] { return it.is_whole(); }));
}

TEST(group_host_test,
     a_recovered_leader_adds_nodes_that_requested_to_join_before) {
  group it("c");
  for (const char* name : {"a", "b"}) it.lose_disk(name);
  for (const char* name : {"a", "b"}) it.start(name);
  // The nodes request to join before the survivor has detected the lost
  // majority.
  ASSERT_TRUE(it.host("c").core().is_leader());
  ASSERT_TRUE(it.run([&] { return !it.host("c").core().is_leader(); }));
  ASSERT_TRUE(it.run(
      [&] { return !!it.host("c").recover_alone(it.now(), "recovered"); }));
  EXPECT_TRUE(it.run([&] { return it.is_whole(); }));
  EXPECT_EQ(it.host("a").core().group_id(), "recovered");
}

/// Ends the write in progress on a slow disk.
void end_write(simulated_disk& it) {
  it.slow = false;
  const std::function<void()> write = std::exchange(it.pending_write, nullptr);
  ASSERT_TRUE(write);
  write();
}

// Longer than two election timeouts.
constexpr int slow_write_steps = 120;

// Writes of seconds occur while other programs use the disk.
TEST(group_host_test, a_leader_keeps_its_lease_during_a_slow_write) {
  group it("a");
  it.disk("a").slow = true;
  const result<log_index> index = it.host("a").propose(it.now(), "command");
  ASSERT_TRUE(index);
  for (int step = 0; step < slow_write_steps; ++step) {
    it.step();
    ASSERT_TRUE(it.host("a").holds_lease(it.now())) << step;
  }
  // The followers have the entry, so it is committed without the leader's disk.
  EXPECT_GE(it.host("a").core().commit_index(), *index);
  EXPECT_GE(it.host("b").applied(), *index);
  end_write(it.disk("a"));
  EXPECT_GE(it.host("a").applied(), *index);
}

TEST(group_host_test, followers_keep_their_leader_during_slow_writes) {
  group it("a");
  it.disk("b").slow = true;
  it.disk("c").slow = true;
  const result<log_index> index = it.host("a").propose(it.now(), "command");
  ASSERT_TRUE(index);
  for (int step = 0; step < slow_write_steps; ++step) {
    it.step();
    ASSERT_TRUE(it.host("a").holds_lease(it.now())) << step;
    ASSERT_LT(it.host("a").core().commit_index(), *index) << step;
  }
  end_write(it.disk("b"));
  EXPECT_TRUE(it.run([&] { return it.host("a").applied() >= *index; }));
}

// A log that is never compacted while entries arrive would fill the disk.
TEST(group_host_test, the_log_is_compacted_under_constant_load) {
  group it("a");
  const log_index first = it.host("a").core().first_index();
  it.disk("a").slow = true;
  constexpr int commands = 2000;  // twice the entries between two snapshots
  for (int n = 0; n < commands; ++n) {
    ASSERT_TRUE(it.host("a").propose(it.now(), "command"));
    it.step();
    const std::function<void()> write =
        std::exchange(it.disk("a").pending_write, nullptr);
    if (write) write();
  }
  EXPECT_GT(it.host("a").core().first_index(), first);
}

// An empty state machine would decide requests as if nothing had happened yet.
TEST(group_host_test, a_replica_with_an_unreadable_snapshot_does_not_start) {
  class no_sink final : public message_sink {
   public:
    void send(const message& /*out*/) override {}
  } sink;
  seeded_random random(1);
  damaged_machine machine;
  auto disk = std::make_unique<one_snapshot_storage>();
  group_host host({"a", 1}, {}, std::move(disk), machine, sink, random);
  const result<void> started = host.start(monotonic_time());
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().kind, error_kind::corrupt);
}

}  // namespace
}  // namespace trestlepost::consensus::test
