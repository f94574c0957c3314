// Tests that schedules are reproducible, leave a majority of control nodes and
// contain every kind of fault.
#include "schedule.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace trestlepost::soak {
namespace {

using std::chrono::milliseconds;

const schedule_options options{.control_nodes = {"c1", "c2", "c3"},
                               .entries = {"e1", "e2"},
                               .endpoints = {"i1", "i2"},
                               .span = milliseconds(20'000),
                               .limits = false,
                               .crashes = false,
                               .only = {}};

bool same(const fault& a, const fault& b) {
  return a.kind == b.kind && a.target == b.target && a.begin == b.begin &&
         a.end == b.end;
}

TEST(schedule_test, the_same_seed_gives_the_same_schedule) {
  const std::vector<fault> first = make_schedule(7, options);
  const std::vector<fault> again = make_schedule(7, options);
  ASSERT_EQ(first.size(), again.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_TRUE(same(first[i], again[i])) << i;
  }
}

TEST(schedule_test, at_most_one_control_node_is_faulty) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    milliseconds free_from{0};
    for (const fault& it : make_schedule(seed, options)) {
      if (it.target.front() != 'c') continue;
      EXPECT_GE(it.begin, free_from) << seed;
      free_from = it.end;
      if (it.kind == fault_kind::wipe) free_from += milliseconds(5000);
    }
  }
}

TEST(schedule_test, all_fault_kinds_occur_and_overlap) {
  std::set<std::pair<fault_kind, char>> seen;
  bool overlap = false;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    milliseconds busy_until{0};
    for (const fault& it : make_schedule(seed, options)) {
      seen.insert({it.kind, it.target.front()});
      overlap = overlap || it.begin < busy_until;
      busy_until = std::max(busy_until, it.end);
    }
  }
  // 5 for control nodes, 6 for entries, which have no data, 8 for endpoints.
  EXPECT_EQ(seen.size(), 19U);
  EXPECT_TRUE(overlap);
}

TEST(schedule_test, limits_are_in_force_most_of_the_time) {
  schedule_options with_limits = options;
  with_limits.limits = true;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    milliseconds limited{0};
    for (const fault& it : make_schedule(seed, with_limits)) {
      if (it.kind == fault_kind::limit && it.target == "i1")
        limited += it.end - it.begin;
    }
    EXPECT_GT(limited, options.span / 2) << seed;
  }
}

TEST(schedule_test, some_faults_strike_all_endpoints_or_entries_at_once) {
  int endpoints = 0;
  int entries = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::map<std::pair<fault_kind, milliseconds>, std::set<std::string>> struck;
    for (const fault& it : make_schedule(seed, options)) {
      struck[{it.kind, it.begin}].insert(it.target);
    }
    for (const auto& [what, targets] : struck) {
      endpoints += targets.contains("i1") && targets.contains("i2") ? 1 : 0;
      entries += targets.contains("e1") && targets.contains("e2") ? 1 : 0;
    }
  }
  EXPECT_GT(endpoints, 50);
  EXPECT_GT(entries, 50);
}

TEST(schedule_test, only_the_named_kinds_of_faults_occur) {
  schedule_options named = options;
  named.only = {fault_kind::refuse, fault_kind::overload};
  std::size_t named_faults = 0;
  std::size_t faults_of_these_kinds = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    named_faults += make_schedule(seed, named).size();
    for (const fault& it : make_schedule(seed, options)) {
      if (it.kind == fault_kind::refuse || it.kind == fault_kind::overload)
        ++faults_of_these_kinds;
    }
  }
  EXPECT_GT(named_faults, 0U);
  EXPECT_EQ(named_faults, faults_of_these_kinds);
}

TEST(schedule_test, names_of_fault_kinds_are_read_back) {
  for (const fault_kind it :
       {fault_kind::kill, fault_kind::close_streams, fault_kind::undelimited}) {
    EXPECT_EQ(parse_fault_kind(to_string(it)), it);
  }
  EXPECT_FALSE(parse_fault_kind("no such kind"));
}

}  // namespace
}  // namespace trestlepost::soak
