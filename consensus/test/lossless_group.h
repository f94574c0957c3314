// A group of replicas over a network without message loss, whose nodes lose
// their disks.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "simulated_disk.h"
#include "trestlepost/consensus/group_host.h"

namespace trestlepost::consensus::test {

constexpr std::chrono::milliseconds step_time{20};
constexpr int settling_steps = 500;

class null_machine final : public state_machine {
 public:
  void apply(const entry& /*committed*/) override {}
  std::string save() const override { return "{}"; }
  result<void> load(std::string_view /*data*/) override { return {}; }
};

/// Nodes that tick and exchange messages in steps of time.
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
  void set_latency_of_all(std::chrono::milliseconds latency) {
    all_distant_ = true;
    latency_ = latency;
  }

  /// Delays messages from and to `name` by `latency`.
  void set_latency(const std::string& name, std::chrono::milliseconds latency) {
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
      it.host->set_open_membership(
          {names_.size(), std::chrono::milliseconds(4000)});
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

  void run_for(std::chrono::milliseconds time) {
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
  std::chrono::milliseconds latency_{0};
};

}  // namespace trestlepost::consensus::test
