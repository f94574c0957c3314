// Tests of digests: contents and size, merging of several relays, sums, and
// validation.
#include "trestlepost/membership/region_digest.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <memory>

#include "trestlepost/membership/digest_reader.h"
#include "trestlepost/membership/digest_writer.h"

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds late_after{450};

heartbeat make_heartbeat(const std::string& name, std::uint64_t sequence,
                         const std::string& state = "ready",
                         const std::string& region = "isola") {
  heartbeat out;
  out.node.name = name;
  out.node.incarnation = 1;
  out.node.region = region;
  out.node.forward_address = "127.0.0.1:2";
  out.node.peer_address = "127.0.0.1:3";
  out.sequence = sequence;
  out.state = state;
  return out;
}

node_info info(const std::string& name, const std::string& region = "isola") {
  return make_heartbeat(name, 0, "", region).node;
}

region_digest read_back(const region_digest& in) {
  const result<region_digest> out = region_digest_from(to_json(in));
  EXPECT_TRUE(out);
  return out.value_or(region_digest());
}

/// A relay and its node table.
struct relay {
  explicit relay(const std::string& name, std::uint64_t incarnation = 7)
      : writer(info(name), incarnation) {}

  region_digest make_digest(const digest_request& request, monotonic_time now) {
    writer.update(table, late_after, now);
    return read_back(writer.make_digest(request, std::nullopt));
  }

  node_table table;
  digest_writer writer;
};

/// A node that receives only digests.
struct receiver {
  digest_outcome receive(const region_digest& in, monotonic_time now) {
    return reader.apply(in, self, table, now);
  }

  node_info self = info("self");
  node_table table;
  digest_reader reader;
};

TEST(region_digest_test, a_second_digest_contains_only_changes) {
  relay r("r");
  receiver m;
  const monotonic_time start;
  for (int i = 0; i < 20; ++i) {
    r.table.observe(make_heartbeat("n" + std::to_string(i), 1), start);
  }
  const region_digest first = r.make_digest(m.reader.request_for("r"), start);
  EXPECT_EQ(first.rows.size(), 20U);
  EXPECT_EQ(m.receive(first, start), digest_outcome::applied);
  const monotonic_time later = start + milliseconds(150);
  for (int i = 0; i < 20; ++i) {
    r.table.observe(make_heartbeat("n" + std::to_string(i), 2,
                                   i == 3 ? "draining" : "ready"),
                    later);
  }
  const region_digest second = r.make_digest(m.reader.request_for("r"), later);
  ASSERT_EQ(second.rows.size(), 1U);
  EXPECT_FALSE(second.rows[0].has_info);
  EXPECT_EQ(m.receive(second, later), digest_outcome::applied);
  EXPECT_EQ(m.table.find("n3")->last.state, "draining");
  EXPECT_EQ(m.table.find("n3")->last.node, info("n3"));
  EXPECT_EQ(m.table.live_in("isola", later + milliseconds(1499)).size(), 20U);
}

TEST(region_digest_test, unreachable_services_are_sent_when_they_change) {
  relay from("front-1");
  receiver to;
  heartbeat beat = make_heartbeat("front-2", 1);
  from.table.observe(beat, monotonic_time());
  to.receive(from.make_digest({}, monotonic_time()), monotonic_time());
  ++beat.sequence;
  beat.unreachable_services = {"s"};
  from.table.observe(beat, monotonic_time());
  const digest_request known = to.reader.request_for("front-1");
  const region_digest changed = from.make_digest(known, monotonic_time());
  EXPECT_EQ(changed.rows.size(), 1U);
  to.receive(changed, monotonic_time());
  EXPECT_EQ(to.table.find("front-2")->last.unreachable_services,
            std::set<std::string>{"s"});
}

TEST(region_digest_test, digest_size_does_not_grow_with_the_region) {
  const auto length = [](int nodes) {
    relay r("r");
    receiver m;
    const monotonic_time now;
    for (int i = 0; i < nodes; ++i) {
      r.table.observe(make_heartbeat("n" + std::to_string(i), 1), now);
    }
    m.receive(r.make_digest({}, now), now);
    return to_text(to_json(r.make_digest(m.reader.request_for("r"), now)))
        .size();
  };
  EXPECT_LE(length(300), length(10) + 4);
}

TEST(region_digest_test, a_silent_node_is_dead_once_its_relay_counts_it_dead) {
  relay r("r");
  receiver m;
  const monotonic_time start;
  r.table.observe(make_heartbeat("a", 1), start);
  for (int ms = 0; ms <= 6000; ms += 150) {
    const monotonic_time now = start + milliseconds(ms);
    m.receive(r.make_digest(m.reader.request_for("r"), now), now);
    const peer_state at_relay = r.table.state_of(*r.table.find("a"), now);
    EXPECT_EQ(m.table.state_of(*m.table.find("a"), now), at_relay) << ms;
  }
  EXPECT_FALSE(m.table.is_live("a", start + milliseconds(6000)));
}

TEST(region_digest_test, two_relays_do_not_keep_a_dead_node_alive) {
  relay one("r1");
  relay two("r2");
  digest_reader one_reads;
  digest_reader two_reads;
  const monotonic_time start;
  one.table.observe(make_heartbeat("a", 1), start);
  two.table.observe(make_heartbeat("a", 1), start);
  for (int ms = 0; ms <= 6000; ms += 100) {
    const monotonic_time now = start + milliseconds(ms);
    const region_digest from_one =
        one.make_digest(two_reads.request_for("r1"), now);
    const region_digest from_two =
        two.make_digest(one_reads.request_for("r2"), now);
    two_reads.apply(from_one, info("r2"), two.table, now);
    one_reads.apply(from_two, info("r1"), one.table, now);
  }
  const monotonic_time end = start + milliseconds(6000);
  EXPECT_EQ(one.table.state_of(*one.table.find("a"), end), peer_state::dead);
  EXPECT_EQ(two.table.state_of(*two.table.find("a"), end), peer_state::dead);
}

TEST(region_digest_test, a_returned_node_is_sent_with_its_info) {
  relay r("r");
  receiver m;
  const monotonic_time start;
  r.table.observe(make_heartbeat("a", 1), start);
  m.receive(r.make_digest({}, start), start);
  const monotonic_time dead = start + milliseconds(5000);
  m.receive(r.make_digest(m.reader.request_for("r"), dead), dead);
  const monotonic_time back = start + milliseconds(700'000);
  m.table.remove_expired(back);
  r.table.observe(make_heartbeat("a", 2), back);
  m.receive(r.make_digest(m.reader.request_for("r"), back), back);
  EXPECT_TRUE(m.table.is_live("a", back));
}

TEST(region_digest_test, a_restarted_relay_sends_all_rows) {
  receiver m;
  const monotonic_time now;
  relay first("r", 7);
  first.table.observe(make_heartbeat("a", 1), now);
  const region_digest of_first = first.make_digest({}, now);
  m.receive(of_first, now);
  relay second("r", 8);
  second.table.observe(make_heartbeat("a", 2, "draining"), now);
  EXPECT_EQ(m.receive(second.make_digest(m.reader.request_for("r"), now), now),
            digest_outcome::applied);
  EXPECT_EQ(m.table.find("a")->last.state, "draining");
  EXPECT_EQ(m.receive(of_first, now), digest_outcome::stale);
}

TEST(region_digest_test, a_missing_digest_updates_no_contact_times) {
  relay r("r");
  receiver m;
  const monotonic_time start;
  r.table.observe(make_heartbeat("a", 1), start);
  m.receive(r.make_digest({}, start), start);
  const monotonic_time later = start + milliseconds(2000);
  r.table.observe(make_heartbeat("a", 2), later);
  r.table.observe(make_heartbeat("b", 1), later);
  r.writer.update(r.table, late_after, later);
  const digest_request ahead{7, r.writer.version_of("isola")};
  EXPECT_EQ(m.receive(r.make_digest(ahead, later), later), digest_outcome::gap);
  EXPECT_FALSE(m.table.is_live("a", later));
  m.receive(r.make_digest(m.reader.request_for("r"), later), later);
  EXPECT_TRUE(m.table.is_live("a", later));
  EXPECT_TRUE(m.table.is_live("b", later));
}

TEST(region_digest_test, a_relay_of_another_region_is_first_hand) {
  relay far("far-relay");
  far.writer = digest_writer(info("far-relay", "golfo"), 7);
  const monotonic_time now;
  far.table.observe(make_heartbeat("g", 1, "ready", "golfo"), now);
  far.table.observe(make_heartbeat("a", 1), now);
  far.writer.update(far.table, late_after, now);
  region_digest out = far.writer.make_digest({}, "golfo");
  out.services["golfo"]["chat"] = {1, 0, 3, 4, milliseconds(5), {}};
  relay here("r");
  digest_reader reader;
  reader.apply(read_back(out), info("r"), here.table, now);
  EXPECT_EQ(here.table.find("a"), nullptr);
  ASSERT_NE(here.table.find("g"), nullptr);
  EXPECT_EQ(here.table.find("g")->last.services.at("chat").endpoints, 4U);
  receiver m;
  m.receive(here.make_digest({}, now), now);
  EXPECT_TRUE(m.table.is_live("g", now));
}

TEST(region_digest_test, sums_exclude_the_receiver) {
  node_table table;
  const monotonic_time now;
  for (int i = 1; i <= 3; ++i) {
    heartbeat it = make_heartbeat("n" + std::to_string(i), 1);
    it.endpoint_in_flight["e"] = static_cast<std::uint32_t>(i);
    it.pending_tokens["e"] = {10, static_cast<std::uint32_t>(i)};
    table.observe(it, now);
  }
  const endpoint_sums all = sum_of(table, "isola", now);
  const endpoint_sums others = excluding_node(all, table, "n2", now);
  EXPECT_EQ(others.nodes, 2U);
  EXPECT_EQ(others.in_flight.at("e"), 4U);
  EXPECT_EQ(others.pending.at("e"), (std::vector<std::uint32_t>{20, 4}));
  EXPECT_EQ(endpoint_sums_from(to_json(others)), others);
  const monotonic_time later = now + milliseconds(1500);
  EXPECT_EQ(sum_of(table, "isola", later).nodes, 0U);
}

// Guards against a gateway that counts its own requests as those of others: the
// digests that all gateways of a region share include them.
TEST(region_digest_test, receiver_excludes_its_own_values_of_a_shared_digest) {
  const std::shared_ptr<heartbeat> own =
      std::make_shared<heartbeat>(make_heartbeat("n1", 1));
  own->endpoint_in_flight["e"] = 2;
  own->reports["polled-here"] = {1, 0};
  region_digest in;
  in.relay = "r";
  in.region = "isola";
  in.incarnation = 7;
  in.sums.nodes = 3;
  in.sums.in_flight["e"] = 5;
  in.reports = {{"polled-here", {1, 0}}, {"polled-elsewhere", {4, 0}}};
  in.includes_receiver = true;
  digest_reader reader;
  reader.record_sent("r", own);
  EXPECT_TRUE(reader.request_for("r").excludes_own);
  region_digest received = read_back(in);
  reader.exclude_own(received);
  EXPECT_EQ(received.sums.nodes, 2U);
  EXPECT_EQ(received.sums.in_flight.at("e"), 3U);
  EXPECT_EQ(received.reports.size(), 1U);
  EXPECT_TRUE(received.reports.contains("polled-elsewhere"));
  // A relay of an earlier version has excluded them already.
  in.includes_receiver = false;
  received = read_back(in);
  reader.exclude_own(received);
  EXPECT_EQ(received.sums.in_flight.at("e"), 5U);
}

TEST(region_digest_test, sums_contain_cached_prefixes_of_other_nodes) {
  heartbeat mine;
  mine.cached_prefixes = {{"e1", {{7, 4870}}}};
  heartbeat theirs;
  theirs.cached_prefixes = {{"e2", {{8, 3000}}}};
  endpoint_sums sums;
  add(sums, mine);
  add(sums, theirs);
  subtract(sums, mine);
  EXPECT_EQ(sums.cached_prefixes, theirs.cached_prefixes);
  EXPECT_EQ(endpoint_sums_from(to_json(sums)), sums);
}

TEST(region_digest_test, sums_over_the_most_nodes_are_used) {
  receiver m;
  const monotonic_time now;
  relay one("r1");
  relay two("r2");
  region_digest few = one.make_digest({}, now);
  few.sums.nodes = 2;
  region_digest many = two.make_digest({}, now);
  many.sums.nodes = 9;
  m.receive(many, now);
  m.receive(few, now);
  EXPECT_EQ(m.reader.best_sums(now)->nodes, 9U);
  EXPECT_EQ(m.reader.best_sums(now + milliseconds(1)), nullptr);
}

TEST(region_digest_test, service_means_have_the_shortest_wait) {
  node_table table;
  const monotonic_time now;
  heartbeat slow = make_heartbeat("a", 1);
  slow.services["chat"] = {2, 0, 0, 5, milliseconds(90), milliseconds(7)};
  heartbeat quick = make_heartbeat("b", 1);
  quick.services["chat"] = {4, 0, 0, 6, milliseconds(30), milliseconds(8)};
  heartbeat leaving = make_heartbeat("c", 1, "draining");
  leaving.services["chat"] = {9, 0, 0, 9, milliseconds(1), milliseconds(1)};
  for (const heartbeat& it : {slow, quick, leaving}) table.observe(it, now);
  const service_load load = service_means(table, "isola", now).at("chat");
  EXPECT_EQ(load.wait, milliseconds(30));
  EXPECT_EQ(load.event_interval, milliseconds(8));
  EXPECT_EQ(load.endpoints, 6U);
  EXPECT_EQ(load.in_flight, 3U);
}

TEST(region_digest_test, invalid_digests_are_rejected) {
  relay r("r");
  r.table.observe(make_heartbeat("a", 1), monotonic_time());
  const json good = to_json(r.make_digest({}, monotonic_time()));
  ASSERT_TRUE(region_digest_from(good));
  const auto refused = [&good](const char* key, const json& value) {
    json bad = good;
    bad[key] = value;
    return !region_digest_from(bad);
  };
  EXPECT_FALSE(region_digest_from(json()));
  EXPECT_TRUE(refused("r", ""));
  EXPECT_TRUE(refused("z", 3));
  EXPECT_TRUE(refused("i", 0));
  EXPECT_TRUE(refused("b", 99));
  EXPECT_TRUE(refused("f", -1));
  json late;
  late["a"] = "long";
  EXPECT_TRUE(refused("late", late));
  json rows(Json::arrayValue);
  rows.append("a");
  EXPECT_TRUE(refused("rows", rows));
  json report;
  report["e"] = 4;
  EXPECT_TRUE(refused("rp", report));
}

// Digests of two relays arrive late, twice, out of order or not at all.
RC_GTEST_PROP(region_digest_test, merging_is_monotonic_and_converges, ()) {
  relay relays[] = {relay("r1"), relay("r2")};
  receiver m;
  monotonic_time now;
  std::vector<region_digest> in_transit;
  std::map<std::string, std::uint64_t> emitted;
  std::map<std::pair<std::string, std::uint64_t>, std::string> truth;
  std::map<std::string, std::uint64_t> newest_applied;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 200));
    const int what = *rc::gen::inRange(0, 4);
    if (what == 0) {
      const std::string name = "n" + std::to_string(*rc::gen::inRange(0, 4));
      const std::uint64_t sequence = ++emitted[name];
      const std::string state =
          *rc::gen::element<std::string>("ready", "isolated", "draining");
      truth[{name, sequence}] = state;
      const int received_by = *rc::gen::inRange(1, 4);
      for (int r = 0; r < 2; ++r) {
        if ((received_by & (1 << r)) == 0) continue;
        relays[r].table.observe(make_heartbeat(name, sequence, state), now);
      }
    } else if (what == 1) {
      relay& from = relays[*rc::gen::inRange(0, 2)];
      const std::string name = &from == &relays[0] ? "r1" : "r2";
      in_transit.push_back(from.make_digest(m.reader.request_for(name), now));
    } else if (!in_transit.empty()) {
      const std::size_t at =
          *rc::gen::inRange<std::size_t>(0, in_transit.size());
      m.receive(in_transit[at], now);
      // A digest that is kept may be delivered again.
      if (what == 2)
        in_transit.erase(std::next(in_transit.begin(), static_cast<long>(at)));
    }
    for (const node_record* it : m.table.all()) {
      std::uint64_t& newest = newest_applied[it->last.node.name];
      RC_ASSERT(it->last.sequence >= newest);
      newest = it->last.sequence;
      RC_ASSERT(it->last.state ==
                (truth[{it->last.node.name, it->last.sequence}]));
      RC_ASSERT(it->last.node == info(it->last.node.name));
      RC_ASSERT(it->last_contact_at <= now);
    }
  }
  for (relay& it : relays) {
    const std::string name = &it == &relays[0] ? "r1" : "r2";
    m.receive(it.make_digest(m.reader.request_for(name), now), now);
  }
  for (relay& it : relays) {
    for (const node_record* known : it.table.all()) {
      if (it.table.state_of(*known, now) == peer_state::dead) continue;
      const node_record* merged = m.table.find(known->last.node.name);
      RC_ASSERT(merged != nullptr);
      const bool at_least =
          it.table.state_of(*known, now) >= m.table.state_of(*merged, now);
      RC_ASSERT(at_least);
    }
  }
}

}  // namespace
}  // namespace trestlepost::membership
