// Tests that the leader of a group replaces lost members, over a network
// without message loss.
#include "trestlepost/consensus/group_host.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

#include "simulation.h"

namespace trestlepost::consensus::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds step_time{20};
constexpr int settling_steps = 500;

class null_machine final : public state_machine {
 public:
  void apply(const entry& /*committed*/) override {}
  std::string save() const override { return "{}"; }
  result<void> load(std::string_view /*data*/) override { return {}; }
};

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

class group : public message_sink {
 public:
  struct node {
    simulated_disk disk;
    null_machine machine;
    std::unique_ptr<group_host> host;
  };

  /// Founds a group of three voters led by `first`.
  explicit group(const std::string& first, bool open = false)
      : group(first, {"a", "b", "c"}, open, {}, 1) {}

  group(const std::string& first, const std::vector<std::string>& names,
        bool open, group_options options, std::uint64_t seed)
      : names_(names), open_(open), options_(options), random_(seed) {
    member_list members;
    for (const std::string& name : names) {
      nodes_[name].disk.incarnation = next_incarnation_++;
      members.push_back({id_of(name), true});
    }
    for (auto& [name, it] : nodes_) start(name);
    EXPECT_TRUE(host(first).found(now_, "group", members));
    run([&] { return host(first).holds_lease(now_) && is_whole(); });
  }

  void send(const message& out) override {
    const bool is_distant =
        all_distant_ || out.from.node == distant_ || out.to.node == distant_;
    packets_.push_back({out, is_distant ? now_ + latency_ : now_});
  }

  /// Delays all messages by `latency`.
  void set_latency_of_all(milliseconds latency) {
    all_distant_ = true;
    latency_ = latency;
  }

  /// Delays messages from and to `name` by `latency`.
  void set_latency(const std::string& name, milliseconds latency) {
    distant_ = name;
    latency_ = latency;
  }

  group_host& host(const std::string& name) { return *nodes_[name].host; }
  simulated_disk& disk(const std::string& name) { return nodes_[name].disk; }
  monotonic_time now() const { return now_; }

  /// Stops the node and replaces its disk by an empty one. After `start` it
  /// requests to join at once.
  void lose_disk(const std::string& name) {
    node& it = nodes_[name];
    it.host.reset();
    it.disk = simulated_disk();
    it.disk.incarnation = next_incarnation_++;
  }

  void start(const std::string& name) {
    node& it = nodes_[name];
    it.host = std::make_unique<group_host>(
        id_of(name), options_, std::make_unique<simulated_storage>(it.disk),
        it.machine, *this, random_);
    EXPECT_TRUE(it.host->start(now_));
    if (open_) {
      it.host->set_open_membership({names_.size(), milliseconds(4000)});
    } else {
      it.host->set_desired_voters(names_);
    }
  }

  void step() {
    now_ += step_time;
    for (auto& [name, it] : nodes_) {
      if (it.host) it.host->tick(now_);
    }
    deliver();
    for (auto& [name, it] : nodes_) {
      if (!it.host || !it.host->needs_join(now_)) continue;
      for (auto& [other, to] : nodes_) {
        if (to.host) to.host->handle_join(now_, id_of(name));
      }
    }
    deliver();
  }

  /// Advances time until `holds` returns true, at most `settling_steps` steps.
  bool run(const std::function<bool()>& holds) {
    for (int i = 0; i < settling_steps; ++i) {
      if (holds()) return true;
      step();
    }
    return holds();
  }

  replica_id id_of(const std::string& name) {
    return {name, nodes_[name].disk.incarnation};
  }

  /// Whether the leader counts the replica as a voter; true without a leader.
  bool is_voter(const replica_id& id) {
    const group_host* by = leading();
    if (by == nullptr) return true;
    const member_list& all = by->core().members();
    return std::any_of(all.begin(), all.end(), [&id](const member& it) {
      return it.id == id && it.voter;
    });
  }

  void run_for(milliseconds time) {
    const monotonic_time end = now_ + time;
    while (now_ < end) step();
  }

  std::size_t members() { return leading()->core().members().size(); }

  /// Whether two incarnations of one node are voters. The lost one counts for
  /// the quorum but cannot vote, so losing one more voter would cost the
  /// majority.
  bool has_two_voters_on_a_node() {
    const group_host* leader = leading();
    if (leader == nullptr) return false;
    std::map<std::string, int> votes;
    for (const member& it : leader->core().members()) {
      if (it.voter && ++votes[it.id.node] > 1) return true;
    }
    return false;
  }

  /// The name of the node that leads, or empty.
  std::string leader() {
    const group_host* by = leading();
    return by == nullptr ? "" : by->core().self().node;
  }

  bool is_whole() {
    const group_host* leader = leading();
    if (leader == nullptr) return false;
    const member_list& members = leader->core().members();
    if (leader->core().members_change_pending()) return false;
    if (members.size() != nodes_.size()) return false;
    for (const member& it : members) {
      if (!it.voter || it.id != id_of(it.id.node)) return false;
    }
    return true;
  }

 private:
  group_host* leading() {
    for (auto& [name, it] : nodes_) {
      if (it.host && it.host->holds_lease(now_)) return it.host.get();
    }
    return nullptr;
  }

  struct packet {
    message content;
    monotonic_time due;
  };

  void deliver() {
    const auto is_due = [this](const packet& it) { return it.due <= now_; };
    for (;;) {
      const auto next = std::find_if(packets_.begin(), packets_.end(), is_due);
      if (next == packets_.end()) return;
      const message it = std::move(next->content);
      packets_.erase(next);
      node& to = nodes_[it.to.node];
      if (to.host) to.host->receive(now_, it);
    }
  }

  std::vector<std::string> names_;
  bool open_;
  group_options options_;
  seeded_random random_;
  monotonic_time now_;
  std::uint64_t next_incarnation_ = 1;
  std::map<std::string, node> nodes_;
  std::deque<packet> packets_;
  std::string distant_;
  bool all_distant_ = false;
  milliseconds latency_{0};
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
