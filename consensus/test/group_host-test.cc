// Tests that the leader of a group replaces lost members, over a network
// without message loss.
#include "trestlepost/consensus/group_host.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
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
  explicit group(const std::string& first, bool open = false) : open_(open) {
    member_list members;
    for (const char* name : {"a", "b", "c"}) {
      nodes_[name].disk.incarnation = next_incarnation_++;
      members.push_back({id_of(name), true});
    }
    for (auto& [name, it] : nodes_) start(name);
    EXPECT_TRUE(host(first).found(now_, "group", members));
    run([&] { return host(first).holds_lease(now_) && has_three_voters(); });
  }

  void send(const message& out) override {
    const bool is_distant =
        out.from.node == distant_ || out.to.node == distant_;
    packets_.push_back({out, is_distant ? now_ + latency_ : now_});
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
        id_of(name), group_options(),
        std::make_unique<simulated_storage>(it.disk), it.machine, *this,
        random_);
    EXPECT_TRUE(it.host->start(now_));
    if (open_) {
      it.host->set_open_membership({3, milliseconds(4000)});
    } else {
      it.host->set_desired_voters({"a", "b", "c"});
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

  bool has_three_voters() {
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
  replica_id id_of(const std::string& name) {
    return {name, nodes_[name].disk.incarnation};
  }

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

  bool open_;
  seeded_random random_{1};
  monotonic_time now_;
  std::uint64_t next_incarnation_ = 1;
  std::map<std::string, node> nodes_;
  std::deque<packet> packets_;
  std::string distant_;
  milliseconds latency_{0};
};

TEST(group_host_test, a_lost_disk_is_replaced) {
  group it("a");
  it.lose_disk("b");
  it.start("b");
  EXPECT_TRUE(it.run([&] { return it.has_three_voters(); }));
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
    return it.has_three_voters();
  }));
  EXPECT_FALSE(two_votes);
}

/// Whether a distant node is added again. Its replies arrive after the nearby
/// voter's reply has committed its addition.
bool replaces_disk_of_distant_node(bool open) {
  group it("a", open);
  it.set_latency("b", milliseconds(60));
  EXPECT_TRUE(it.run([&] { return it.has_three_voters(); }));
  it.lose_disk("b");
  it.start("b");
  return it.run([&] { return it.has_three_voters(); });
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
  EXPECT_TRUE(it.run([&] { return it.has_three_voters(); }));
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
  EXPECT_TRUE(it.run([&] { return it.has_three_voters(); }));
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
