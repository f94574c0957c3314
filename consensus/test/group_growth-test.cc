// Tests of `group_growth`: the addresses of members, and when a new group may
// acknowledge changes.
#include "trestlepost/consensus/group_growth.h"

#include <gtest/gtest.h>

#include <memory>

#include "simulated_disk.h"

namespace trestlepost::consensus::test {
namespace {

using std::chrono::milliseconds;

class silent_machine final : public state_machine {
 public:
  void apply(const entry&) override {}
  std::string save() const override { return {}; }
  void load(std::string_view) override {}
};

class closed_sink final : public message_sink {
 public:
  void send(const message&) override {}
};

/// A group whose only voter, "a", leads.
struct founded_group {
  founded_group() {
    host.set_open_membership({});
    host.start(now);
    host.found(now, "group", {{{"a", 1}, true, "address of a"}});
  }

  silent_machine machine;
  closed_sink sink;
  seeded_random random{1};
  simulated_disk disk;
  monotonic_time now{milliseconds(1000)};
  group_host host{{"a", 1}, {},   std::make_unique<simulated_storage>(disk),
                  machine,  sink, random};
  std::map<std::string, std::string> heard_from;
  group_growth growth{heard_from};
};

TEST(group_growth_test, a_founder_acknowledges_nothing_before_its_first_tick) {
  founded_group group;
  ASSERT_TRUE(group.host.holds_lease(group.now));
  EXPECT_FALSE(group.growth.has_grown(group.host, group.now, 3));
}

TEST(group_growth_test, a_founder_waits_for_voters_and_not_for_ever) {
  founded_group group;
  group.growth.observe(group.host, group.now, true, "address of a");
  group.now += milliseconds(5999);
  EXPECT_FALSE(group.growth.has_grown(group.host, group.now, 3));
  EXPECT_TRUE(group.growth.has_grown(group.host, group.now, 1));
  group.now += milliseconds(1);
  EXPECT_TRUE(group.growth.has_grown(group.host, group.now, 3));
}

TEST(group_growth_test, an_exchanged_machine_is_reached_where_it_asks_from) {
  founded_group group;
  group.growth.heard(group.host, group.now, {"b", 1}, "former address");
  group.growth.handle_join(group.host, group.now, {"b", 2}, "new address");
  EXPECT_EQ(group.growth.address_of(group.host, "b"), "new address");
}

TEST(group_growth_test, a_moved_member_is_listed_where_it_writes_from) {
  founded_group group;
  group.growth.handle_join(group.host, group.now, {"b", 1}, "former address");
  ASSERT_EQ(group.host.find_member("b")->address, "former address");
  group.growth.heard(group.host, group.now, {"b", 1}, "new address");
  EXPECT_EQ(group.host.find_member("b")->address, "new address");
}

TEST(group_growth_test, a_moved_leader_lists_itself_where_it_listens) {
  founded_group group;
  group.growth.observe(group.host, group.now, true, "new address");
  EXPECT_EQ(group.host.find_member("a")->address, "new address");
}

}  // namespace
}  // namespace trestlepost::consensus::test
