// Tests that nodes are sent the entries of the directory that they lack.
#include "node_directory.h"

#include <gtest/gtest.h>

#include <set>

namespace trestlepost::node {
namespace {

constexpr std::uint64_t first_term = 3;
constexpr std::uint64_t second_term = 5;
const std::string region = "north";

membership::node_info node(const std::string& name,
                           const std::string& of_region = region) {
  membership::node_info out;
  out.name = name;
  out.region = of_region;
  out.incarnation = 1;
  return out;
}

json update_of(const node_directory& directory, const directory_position& known,
               std::uint64_t term) {
  json out;
  directory.add_changes(out, directory.first_missing(known, term), region);
  add_position(out, {term, directory.version()});
  return out;
}

std::set<std::string> names_in(const json& update) {
  std::set<std::string> out;
  for (const json& it : member_of(update, "book")) {
    out.insert(membership::node_info_from(it).name);
  }
  return out;
}

TEST(node_directory_test, only_entries_changed_since_the_last_poll_are_sent) {
  node_directory leader;
  leader.record(node("a"));
  const json first = update_of(leader, {}, first_term);
  EXPECT_EQ(names_in(first), std::set<std::string>{"a"});
  leader.record(node("a"));
  leader.record(node("b"));
  const json second =
      update_of(leader, directory_position_from(first), first_term);
  EXPECT_EQ(names_in(second), std::set<std::string>{"b"});
}

TEST(node_directory_test, nodes_without_disk_of_other_regions_are_not_sent) {
  node_directory leader;
  membership::node_info relay = node("relay", "south");
  relay.durable = true;
  leader.record(relay);
  leader.record(node("entry", "south"));
  EXPECT_EQ(names_in(update_of(leader, {}, first_term)),
            std::set<std::string>{"relay"});
}

// Guards against entries that are never sent to a node whose first poll finds a
// new leader at the version that the node has of the earlier leader.
TEST(node_directory_test, a_new_leader_sends_entries_the_earlier_one_lacked) {
  node_directory earlier;
  earlier.record(node("a"));
  const directory_position known =
      directory_position_from(update_of(earlier, {}, first_term));
  node_directory later;
  later.record(node("b"));
  EXPECT_EQ(names_in(update_of(later, known, second_term)),
            std::set<std::string>{"b"});
}

// Guards against the same gap at a leader that leads again after another one.
TEST(node_directory_test, a_leader_that_leads_again_sends_what_came_between) {
  node_directory it;
  it.record(node("a"));
  it.record(node("b"));
  const directory_position of_other{first_term, 2};
  EXPECT_EQ(names_in(update_of(it, of_other, second_term)),
            (std::set<std::string>{"a", "b"}));
}

TEST(node_directory_test, positions_without_a_term_are_compared_by_version) {
  node_directory leader;
  leader.record(node("a"));
  leader.record(node("b"));
  EXPECT_EQ(names_in(update_of(leader, {0, 1}, first_term)),
            std::set<std::string>{"b"});
}

}  // namespace
}  // namespace trestlepost::node
