// Tests parsing of the platform's list of VMs, including malformed lists.
#include <gtest/gtest.h>

#include <vector>

#include "trestlepost/own/codecs.h"

namespace trestlepost::own {
namespace {

TEST(directory_codec_test, requests_a_single_page) {
  for (const char* it : {"", "p-2"}) {
    const transport::http_request request =
        directory_codec().page_request("", it);
    EXPECT_EQ(request.method, "GET");
    EXPECT_EQ(request.target, "/v1/vms");
  }
}

TEST(directory_codec_test, parses_page) {
  const result<surface::endpoint_page> page = directory_codec().read_page(
      R"({"vms":[{"address":"10.0.0.9","state":"live"},
                 {"address":"10.0.0.8","state":"leaving","new":1},
                 {"address":"10.0.0.7"}]})");
  ASSERT_TRUE(page);
  ASSERT_EQ(page->endpoints.size(), 3U);
  EXPECT_EQ(page->endpoints[0].address, "10.0.0.9");
  EXPECT_EQ(page->endpoints[0].identity.id, "10.0.0.9");
  EXPECT_FALSE(page->endpoints[0].leaving);
  EXPECT_TRUE(page->endpoints[1].leaving);
  EXPECT_FALSE(page->endpoints[2].leaving);
  EXPECT_TRUE(page->next.empty());
  EXPECT_TRUE(directory_codec().read_page(R"({"vms":[]})"));
}

TEST(directory_codec_test, rejects_malformed_pages) {
  const std::vector<std::string> table{
      "",
      "{",
      R"({"vms":[)",
      R"({"vms":[{"address":"10.0.0.9","state":"lea)",
      R"({"vms":[]}x)",
      "[]",
      "7",
      "null",
      "{}",
      R"({"vms":null})",
      R"({"vms":1})",
      R"({"vms":{"address":"10.0.0.9"}})",
      R"({"vms":[],"vms":[]})",
      R"({"vms":)" + std::string(100'000, '['),
  };
  for (const std::string& it : table) {
    const result<surface::endpoint_page> page = directory_codec().read_page(it);
    ASSERT_FALSE(page) << it.substr(0, 40);
    EXPECT_FALSE(page.error().remedy.empty()) << it.substr(0, 40);
  }
}

TEST(directory_codec_test, skips_entries_without_address) {
  for (const char* it : {"7", "null", "\"10.0.0.9\"", "[]", "{}",
                         R"({"state":"leaving"})", R"({"address":7})",
                         R"({"address":""})", R"({"address":["10.0.0.9"]})"}) {
    const result<surface::endpoint_page> page =
        directory_codec().read_page(std::string(R"({"vms":[)") + it + "]}");
    ASSERT_TRUE(page) << it;
    EXPECT_TRUE(page->endpoints.empty()) << it;
  }
}

TEST(directory_codec_test, invalid_state_is_not_leaving) {
  for (const char* it : {"7", "null", "true", "\"LEAVING\"", "[\"leaving\"]"}) {
    const result<surface::endpoint_page> page = directory_codec().read_page(
        std::string(R"({"vms":[{"address":"10.0.0.9","state":)") + it + "}]}");
    ASSERT_TRUE(page) << it;
    ASSERT_EQ(page->endpoints.size(), 1U) << it;
    EXPECT_FALSE(page->endpoints[0].leaving) << it;
  }
}

}  // namespace
}  // namespace trestlepost::own
