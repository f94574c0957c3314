// Tests the compact encoding of route lists.
#include "trestlepost/config/route_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace trestlepost::config {
namespace {

using std::chrono::milliseconds;

route any_route(int n) {
  route out;
  out.name = "r-" + std::to_string(n);
  out.host = *rc::gen::element<std::string>("a.example", "b.example");
  out.path_prefix = "/" + std::to_string(n) + "/";
  out.kind = *rc::gen::element(route_kind::repeatable, route_kind::run_once,
                               route_kind::stream);
  out.timeout = milliseconds(*rc::gen::inRange(1, 3));
  out.latency_objective = milliseconds(*rc::gen::inRange(0, 2));
  out.longest_pause = milliseconds(*rc::gen::inRange(0, 2));
  out.priority = *rc::gen::inRange(0, 2);
  out.attempts = *rc::gen::inRange(1U, 3U);
  out.prefix_affinity = *rc::gen::arbitrary<bool>();
  out.resumable = *rc::gen::arbitrary<bool>();
  out.split = {{"m", *rc::gen::inRange(1U, 3U)}};
  if (*rc::gen::arbitrary<bool>()) out.split.push_back({"p", 1});
  if (*rc::gen::arbitrary<bool>()) out.home_regions = {"north"};
  return out;
}

RC_GTEST_PROP(route_list_test, json_round_trip_keeps_routes_and_order, ()) {
  std::vector<route> routes;
  const int count = *rc::gen::inRange(0, 12);
  for (int n = 0; n < count; ++n) routes.push_back(any_route(n));
  const result<json> read = parse_json(to_text(to_json(routes)));
  RC_ASSERT(read.has_value());
  RC_ASSERT(routes_from(*read) == routes);
}

TEST(route_list_test, shared_settings_are_written_once) {
  constexpr int count = 1000;
  constexpr std::size_t bytes_per_route = 40;
  std::vector<route> routes;
  for (int n = 0; n < count; ++n) {
    route one;
    one.name = "r-" + std::to_string(n);
    one.host = "a.example";
    one.path_prefix = "/" + std::to_string(n) + "/";
    one.split = {{"model", 1}};
    routes.push_back(one);
  }
  EXPECT_EQ(to_json(routes)["like"].size(), 1U);
  EXPECT_LT(to_text(to_json(routes)).size(), count * bytes_per_route);
}

TEST(route_list_test, plain_array_of_earlier_versions_is_read) {
  route one;
  one.name = "r";
  one.host = "a.example";
  one.path_prefix = "/x/";
  one.split = {{"model", 1}};
  json list(Json::arrayValue);
  list.append(to_json(one));
  EXPECT_EQ(routes_from(list), std::vector<route>{one});
}

TEST(route_list_test, malformed_routes_are_skipped) {
  for (const char* it : {"7", "null", "{}", R"({"like":[{}],"at":7})",
                         R"({"like":[{}],"at":[1,"r","a","/x/"]})",
                         R"({"like":[{}],"at":[0,"r","a"]})",
                         R"({"like":[{}],"at":[0,"r",7,"/x/"]})",
                         R"({"like":[{}],"at":[-1,"r","a","/x/"]})"}) {
    EXPECT_TRUE(routes_from(*parse_json(it)).empty()) << it;
  }
}

}  // namespace
}  // namespace trestlepost::config
