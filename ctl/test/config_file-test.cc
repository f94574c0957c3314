// Tests the parser of configuration files: token hashes, error positions and
// validation.
#include "config_file.h"

#include <gtest/gtest.h>

#include "trestlepost/base/hash.h"

namespace trestlepost::ctl {
namespace {

TEST(read_config_test, hashes_tokens_before_they_leave) {
  const result<std::vector<config::edit>> it = read_config(
      R"({"callers": [{"name": "yard", "token": "t"}]})", "f", false);
  ASSERT_TRUE(it) << it.error().message;
  EXPECT_FALSE((*it)[0].spec.isMember("token"));
  EXPECT_EQ((*it)[0].spec["token_sha256"].asString(), sha256_hex("t"));
}

TEST(read_config_test, names_line_and_remedy_of_each_mistake) {
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

TEST(read_config_test, a_whole_file_must_fit_together) {
  const std::string text =
      R"({"regions": [{"name": "a"}], "endpoints": [{"name": "e",
          "service": "s", "region": "a", "availability_zone": "z",
          "address": "127.0.0.1:1"}]})";
  EXPECT_TRUE(read_config(text, "f", false));
  EXPECT_FALSE(read_config(text, "f", true));
}

}  // namespace
}  // namespace trestlepost::ctl
