// Tests the parser of configuration files: token hashes, error positions and
// validation.
#include "config_file.h"

#include <gtest/gtest.h>

#include "trestlepost/base/hash.h"

namespace trestlepost::ctl {
namespace {

TEST(read_config_test, sends_only_the_hash_of_a_token) {
  const result<std::vector<config::edit>> it = read_config(
      R"({"callers": [{"name": "yard", "token": "t"}]})", "f", false);
  ASSERT_TRUE(it) << it.error().message;
  EXPECT_FALSE((*it)[0].spec.isMember("token"));
  EXPECT_EQ((*it)[0].spec["token_sha256"].asString(), sha256_hex("t"));
}

TEST(read_config_test, errors_name_line_and_remedy) {
  const result<std::vector<config::edit>> it = read_config(
      "{\n  \"regions\": [\n    {\"name\": \"a\", \"lables\": {}}\n  ],\n"
      "  \"servces\": []\n}",
      "f.jsonc", false);
  ASSERT_FALSE(it);
  EXPECT_NE(it.error().message.find("f.jsonc:3: region.lables"),
            std::string::npos)
      << it.error().message;
  EXPECT_NE(it.error().message.find("did you mean \"services\"?"),
            std::string::npos);
}

TEST(read_config_test, a_full_configuration_needs_valid_references) {
  const std::string text =
      R"({"regions": [{"name": "a"}], "endpoints": [{"name": "e",
          "service": "s", "region": "a", "availability_zone": "z",
          "address": "127.0.0.1:1"}]})";
  EXPECT_TRUE(read_config(text, "f", false));
  EXPECT_FALSE(read_config(text, "f", true));
}

}  // namespace
}  // namespace trestlepost::ctl
