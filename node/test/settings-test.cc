#include "settings.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

std::string valid_settings() {
  return R"({
  "node": "etna-1",
  "region": "isola",
  "availability_zone": "etna-hall",
  "roles": ["gateway", "control"],
  "data_folder": "data",
  "charts_folder": "share/charts",
  "addresses": {
    "callers": "127.1.1.1:8080", "forwards": "127.1.1.1:8081",
    "operators": "127.1.1.1:8082", "peers": "127.1.1.1:8083"
  },
  "control_nodes": [{"node": "etna-1", "address": "127.1.1.1:8083"}],
  "peer_secret_file": "secret", // shared by all nodes
  "timing": {"config_lease": "4 s"}
})";
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(settings_test, reads_a_valid_file) {
  const result<settings> it = parse_settings(valid_settings(), "node.jsonc");
  ASSERT_TRUE(it) << it.error().message;
  EXPECT_TRUE(it->control);
  EXPECT_EQ(it->state.config_lease, std::chrono::milliseconds(4000));
}

struct bad_settings_case {
  const char* from;
  const char* to;
  const char* place;
  const char* remedy;
};

TEST(settings_test, errors_name_position_and_remedy) {
  const bad_settings_case cases[] = {
      {"\"region\"", "\"regoin\"", "node.jsonc:3: regoin",
       "did you mean \"region\"?"},
      {"4 s", "4 parsecs", "node.jsonc:14: timing.config_lease", "\"5 s\""},
      {"127.1.1.1:8082", "127.1.1.1", "addresses.operators", "IP:PORT"},
      {"127.1.1.1:8082", "127.1.1.1:8080", "addresses", "of its own"},
      {"\"control\"", "\"contrl\"", "roles", "\"control\""},
      {"\"data_folder\": \"data\",", "", "data_folder", "set data_folder"},
      {"4 s", "600 ms", "timing.config_lease", "poll_interval"},
  };
  for (const bad_settings_case& it : cases) {
    const result<settings> read = parse_settings(
        replaced(valid_settings(), it.from, it.to), "node.jsonc");
    ASSERT_FALSE(read) << it.from;
    const std::string& message = read.error().message;
    EXPECT_NE(message.find(it.place), std::string::npos) << message;
    EXPECT_NE(message.find(it.remedy), std::string::npos) << message;
  }
}

TEST(settings_test, reports_all_errors_at_once) {
  std::string text = replaced(valid_settings(), "4 s", "4");
  text = replaced(text, "\"isola\"", "7");
  const result<settings> read = parse_settings(text, "node.jsonc");
  ASSERT_FALSE(read);
  EXPECT_NE(read.error().message.find("region"), std::string::npos);
  EXPECT_NE(read.error().message.find("config_lease"), std::string::npos);
}

}  // namespace
}  // namespace trestlepost::node
