// Route lookup and weighted choice of a service.
#include "trestlepost/routing/route_table.h"

#include <gtest/gtest.h>

#include <map>

namespace trestlepost::routing {
namespace {

config::route make_route(const std::string& name, const std::string& host,
                         const std::string& prefix) {
  config::route out;
  out.name = name;
  out.host = host;
  out.path_prefix = prefix;
  out.split = {{"s", 1}};
  return out;
}

route_table make_table() {
  config::traffic_plan plan;
  plan.number = 1;
  plan.routes = {make_route("short", "a.example", "/x/"),
                 make_route("long", "a.example", "/x/y/"),
                 make_route("other", "b.example", "/x/")};
  return route_table(std::make_shared<const config::traffic_plan>(plan));
}

TEST(route_table_test, the_longest_path_prefix_of_the_host_wins) {
  const route_table table = make_table();
  struct example {
    const char* host;
    const char* path;
    const char* route;  // empty: no route
  };
  const std::vector<example> all{
      {"a.example", "/x/1", "short"},
      {"a.example", "/x/", "short"},
      {"a.example", "/x/y/1", "long"},
      {"a.example", "/x/y", "short"},
      {"a.example", "/x/yy/1", "short"},
      {"b.example", "/x/y/1", "other"},
      {"A.Example:8080", "/x/1", "short"},
      {"a.example", "/", ""},
      {"a.example", "/z/1", ""},
      {"c.example", "/x/1", ""},
      {"a.example", "", ""},
      {"", "/x/1", ""},
  };
  for (const example& it : all) {
    const config::route* found = table.find(it.host, it.path);
    EXPECT_EQ(found == nullptr ? "" : found->name, it.route)
        << it.host << it.path;
  }
}

TEST(route_table_test, an_empty_table_finds_nothing) {
  EXPECT_EQ(route_table().find("a.example", "/x/"), nullptr);
}

TEST(route_table_test, services_are_chosen_by_weight) {
  config::route route;
  route.split = {{"a", 90}, {"never", 0}, {"b", 10}};
  seeded_random random(1);
  std::map<std::string, int> seen;
  for (int i = 0; i < 10'000; ++i) ++seen[choose_service(route, random)];
  EXPECT_NEAR(seen["a"], 9000, 200);
  EXPECT_NEAR(seen["b"], 1000, 200);
  EXPECT_EQ(seen.count("never"), 0U);
}

}  // namespace
}  // namespace trestlepost::routing
