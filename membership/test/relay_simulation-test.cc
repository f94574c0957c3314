// Simulates the nodes of a region that exchange heartbeats and digests through
// relays, with partitions.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>

#include "make_heartbeat.h"
#include "trestlepost/membership/digest_reader.h"
#include "trestlepost/membership/digest_writer.h"
#include "trestlepost/membership/relay_selector.h"

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds interval{100};
constexpr milliseconds relay_timeout = 4 * interval;
constexpr milliseconds late_after = 3 * interval;
constexpr char region[] = "isola";
constexpr char other_region[] = "golfo";
// In intervals: relays report loads to other regions in this period.
constexpr std::uint64_t remote_period = 3;

heartbeat make_beat(const std::string& name, std::uint64_t sequence,
                    const std::string& in = region) {
  heartbeat out = test::make_heartbeat(name, in, sequence);
  out.node.control = name == "control";
  if (!out.node.control) out.node.forward_address = "127.0.0.1:2";
  return out;
}

struct node {
  explicit node(const std::string& name, const std::string& in = region)
      : self(make_beat(name, 0, in).node), writer(self, 7) {}

  node_info self;
  node_table table;
  relay_selector selector;
  digest_reader reader;
  digest_writer writer;
  std::map<std::string, digest_request> requesters;  // by name
};

/// A control node and ten gateways, all of which know all names.
class simulated_region {
 public:
  simulated_region() {
    add("control");
    for (int n = 0; n < 10; ++n) add("entry-" + std::to_string(n));
  }

  /// Decides whether messages pass between two nodes.
  std::function<bool(const std::string&, const std::string&)> connected =
      [](const std::string&, const std::string&) { return true; };

  void run(milliseconds time) {
    for (const monotonic_time end = now_ + time; now_ < end; now_ += interval) {
      ++sequence_;
      for (auto& [name, it] : nodes_) send_heartbeats(it);
      for (auto& [name, it] : nodes_) send_digests(it);
      if (sequence_ % remote_period == 0) send_remote_loads();
    }
  }

  /// Sets the loads that the relays of another region report to the relays of
  /// this one.
  void set_remote_loads(const service_loads& loads) { remote_loads_ = loads; }
  /// Returns the load of the service at the other region, as `name` knows it.
  service_load remote_load_of(const std::string& name,
                              const std::string& service) const {
    const node_record* it = nodes_.at(name).table.find(remote_.self.name);
    if (it == nullptr) return {};
    const auto found = it->last.services.find(service);
    return found == it->last.services.end() ? service_load{} : found->second;
  }

  /// Lets `to` hear of the nodes in `from` once.
  void introduce(const std::set<std::string>& from, const std::string& to) {
    for (const std::string& it : from) {
      if (it != to) nodes_.at(to).table.observe(make_beat(it, 0), now_);
    }
  }

  std::set<std::string> names() const {
    std::set<std::string> out;
    for (const auto& [name, it] : nodes_) out.insert(name);
    return out;
  }

  /// Returns the number of live nodes that `name` knows, with itself.
  std::size_t live_nodes_of(const std::string& name) const {
    return nodes_.at(name).table.live_in(region, now_).size();
  }

 private:
  void add(const std::string& name) { nodes_.emplace(name, node(name)); }

  std::vector<relay_candidate> candidates_of(const node& it) const {
    std::vector<relay_candidate> out;
    for (const auto& [name, other] : nodes_) {
      if (name == it.self.name) continue;
      const node_record* known = it.table.find(name);
      const bool silent = known == nullptr ||
                          it.table.state_of(*known, now_) == peer_state::dead;
      out.push_back({name, false, other.self.control, silent});
    }
    return out;
  }

  void send_heartbeats(node& it) {
    const std::string& self = it.self.name;
    const heartbeat beat = make_beat(self, sequence_);
    it.table.observe(beat, now_);
    std::set<std::string> receivers;
    for (const std::string& name :
         it.selector.choose(region, candidates_of(it), relay_timeout, now_))
      receivers.insert(name);
    for (const std::string& name : it.selector.missing_relays(
             region, candidates_of(it), relay_timeout, now_))
      receivers.insert(name);
    for (const std::string& name : receivers) {
      it.selector.heartbeat_sent(name, now_);
      if (!connected(self, name)) continue;
      node& receiver = nodes_.at(name);
      receiver.table.observe(beat, now_);
      receiver.requesters[self] = it.reader.request_for(name);
    }
  }

  void send_remote_loads() {
    remote_.table.observe(make_beat(remote_.self.name, sequence_, other_region),
                          now_);
    remote_.writer.update(remote_.table, late_after, now_);
    region_digest out = remote_.writer.make_digest({}, other_region);
    out.services[other_region] = remote_loads_;
    std::vector<relay_candidate> all;
    for (const auto& [name, it] : nodes_)
      all.push_back({name, false, it.self.control, false});
    for (const std::string& name : rank_relays(region, std::move(all))) {
      node& receiver = nodes_.at(name);
      receiver.reader.apply(out, receiver.self, receiver.table, now_);
    }
  }

  void send_digests(node& it) {
    it.writer.update(it.table, late_after, now_);
    for (const auto& [name, request] : it.requesters) {
      node& receiver = nodes_.at(name);
      region_digest out = it.writer.make_digest(request, std::nullopt);
      out.services = other_region_services(it.table, region, now_);
      receiver.reader.apply(out, receiver.self, receiver.table, now_);
      receiver.selector.digest_received(it.self.name);
    }
    it.requesters.clear();
  }

  std::map<std::string, node> nodes_;  // by name
  node remote_{"remote", other_region};
  service_loads remote_loads_;
  std::uint64_t sequence_ = 0;
  monotonic_time now_{std::chrono::seconds(1000)};
};

void expect_all_known(const simulated_region& it) {
  for (const std::string& name : it.names()) {
    EXPECT_EQ(it.live_nodes_of(name), it.names().size()) << name;
  }
}

// Three gateways that had heard only of each other chose each other as relays,
// and stayed apart from the rest of their region for ever.
TEST(relay_simulation_test, gateways_that_know_only_each_other_join_the_rest) {
  simulated_region it;
  const std::set<std::string> few{"entry-2", "entry-4", "entry-8"};
  for (const std::string& name : it.names()) {
    std::set<std::string> heard_of = few;
    if (!few.contains(name)) {
      heard_of = it.names();
      for (const std::string& apart : few) heard_of.erase(apart);
    }
    it.introduce(heard_of, name);
  }
  it.run(std::chrono::seconds(1));
  expect_all_known(it);
}

// Each half had relays of its own and counted the other one as dead.
TEST(relay_simulation_test, halves_of_a_region_join_after_a_partition) {
  for (const char* with_control : {"entry-0", "entry-2", "entry-4"}) {
    simulated_region it;
    it.run(std::chrono::seconds(1));
    expect_all_known(it);
    const auto first_half = [with_control](const std::string& name) {
      return name == "control" || name <= with_control;
    };
    it.connected = [&](const std::string& a, const std::string& b) {
      return first_half(a) == first_half(b);
    };
    it.run(std::chrono::seconds(20));
    EXPECT_LT(it.live_nodes_of("control"), it.names().size());
    it.connected = [](const std::string&, const std::string&) { return true; };
    it.run(std::chrono::seconds(6));
    expect_all_known(it);
  }
}

// The relays of a region told each other what they had heard of another region
// before, in place of what it reported since.
TEST(relay_simulation_test, loads_of_another_region_arrive_when_they_change) {
  simulated_region it;
  it.run(std::chrono::seconds(1));
  for (const std::uint32_t endpoints : {1U, 7U, 0U, 3U}) {
    service_load load;
    load.endpoints = endpoints;
    it.set_remote_loads({{"chat", load}});
    it.run(2 * remote_period * interval);
    for (const std::string& name : it.names()) {
      EXPECT_EQ(it.remote_load_of(name, "chat").endpoints, endpoints) << name;
    }
  }
}

}  // namespace
}  // namespace trestlepost::membership
