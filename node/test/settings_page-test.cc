// Checks that docs/SETTINGS.md and the code list the same settings keys.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>

#include "settings.h"
#include "trestlepost/base/json.h"

namespace trestlepost::node {
namespace {

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::set<std::string> all_matches(const std::string& text,
                                  const std::regex& pattern) {
  std::set<std::string> out;
  const std::sregex_iterator end;
  for (auto it = std::sregex_iterator(text.begin(), text.end(), pattern);
       it != end; ++it) {
    out.insert((*it)[1].str());
  }
  return out;
}

TEST(settings_page_test, documents_every_key) {
  const std::string page =
      read_file(std::string(TRESTLEPOST_SOURCE) + "/docs/SETTINGS.md");
  const std::string code =
      read_file(std::string(TRESTLEPOST_SOURCE) + "/node/src/settings.cc");
  const std::set<std::string> keys = all_matches(
      code,
      std::regex(
          R"re((?:reader\.[a-z_]+|read|read_address)\(\s*(?:reader, )?"([a-z_]+)")re"));
  EXPECT_GT(keys.size(), 30U);
  for (const std::string& it : keys) {
    EXPECT_NE(page.find(it), std::string::npos) << it;
  }
}

TEST(settings_page_test, documents_no_unknown_key) {
  const std::string page =
      read_file(std::string(TRESTLEPOST_SOURCE) + "/docs/SETTINGS.md");
  const std::set<std::string> named =
      all_matches(page, std::regex("\n\\| `([a-z_]+\\.[a-z_]+)`"));
  EXPECT_GT(named.size(), 10U);
  for (const std::string& it : named) {
    const std::size_t dot = it.find('.');
    json document;
    // An array is the wrong type for every key, so a known key fails with a
    // type error, an unknown one with "the key is unknown".
    document[it.substr(0, dot)][it.substr(dot + 1)] = json(Json::arrayValue);
    const result<settings> read = parse_settings(to_text(document), "page");
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().message.find(it + ": the key is unknown"),
              std::string::npos)
        << it;
  }
}

}  // namespace
}  // namespace trestlepost::node
