// Tests of `group_formation`: the addresses of members, and when a new group
// may acknowledge changes.
#include "trestlepost/consensus/group_formation.h"

#include <gtest/gtest.h>

#include <memory>

#include "simulated_disk.h"

namespace trestlepost::consensus::test {
namespace {

using std::chrono::milliseconds;

class null_machine final : public state_machine {
 public:
  void apply(const entry&) override {}
  std::string save() const override { return {}; }
  result<void> load(std::string_view) override { return {}; }
};

class discarding_sink final : public message_sink {
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

  null_machine machine;
  discarding_sink sink;
  seeded_random random{1};
  simulated_disk disk;
  monotonic_time now{milliseconds(1000)};
  group_host host{{"a", 1}, {},   std::make_unique<simulated_storage>(disk),
                  machine,  sink, random};
  std::map<std::string, std::string> observed_addresses;
  group_formation formation{observed_addresses};
};

TEST(group_formation_test,
     a_group_is_not_formed_before_the_founders_first_tick) {
  founded_group group;
  ASSERT_TRUE(group.host.holds_lease(group.now));
  EXPECT_FALSE(group.formation.is_formed(group.host, group.now, 3));
}

TEST(group_formation_test, a_founder_waits_for_voters_for_a_limited_time) {
  founded_group group;
  group.formation.update(group.host, group.now, true, "address of a");
  group.now += milliseconds(5999);
  EXPECT_FALSE(group.formation.is_formed(group.host, group.now, 3));
  EXPECT_TRUE(group.formation.is_formed(group.host, group.now, 1));
  group.now += milliseconds(1);
  EXPECT_TRUE(group.formation.is_formed(group.host, group.now, 3));
}

TEST(group_formation_test,
     a_replaced_node_gets_the_address_of_its_join_request) {
  founded_group group;
  group.formation.record_address(group.host, group.now, {"b", 1},
                                 "former address");
  group.formation.handle_join(group.host, group.now, {"b", 2}, "new address");
  EXPECT_EQ(group.formation.address_of(group.host, "b"), "new address");
}

TEST(group_formation_test, a_member_with_a_new_address_is_updated_in_the_list) {
  founded_group group;
  group.formation.handle_join(group.host, group.now, {"b", 1},
                              "former address");
  ASSERT_EQ(group.host.find_member("b")->address, "former address");
  group.formation.record_address(group.host, group.now, {"b", 1},
                                 "new address");
  EXPECT_EQ(group.host.find_member("b")->address, "new address");
}

TEST(group_formation_test, a_leader_with_a_new_address_updates_the_list) {
  founded_group group;
  group.formation.update(group.host, group.now, true, "new address");
  EXPECT_EQ(group.host.find_member("a")->address, "new address");
}

}  // namespace
}  // namespace trestlepost::consensus::test
