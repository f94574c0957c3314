// Tests the checks for UTF-8, printable text and visible ASCII.
#include "trestlepost/base/utf8.h"

#include <gtest/gtest.h>

namespace trestlepost {
namespace {

TEST(utf8_test, accepts_well_formed_text) {
  for (const char* it :
       {"", "plain", "caf\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x9a\x82",
        "\xed\x9f\xbf", "\xf4\x8f\xbf\xbf"}) {
    EXPECT_TRUE(is_utf8(it)) << it;
  }
}

TEST(utf8_test, rejects_malformed_sequences) {
  for (const char* it :
       {"\xff", "\x80", "a\xc3", "\xc3(", "\xc0\xaf", "\xe0\x80\xaf",
        "\xed\xa0\x80", "\xf0\x80\x80\xaf", "\xf4\x90\x80\x80", "\xe2\x82"}) {
    EXPECT_FALSE(is_utf8(it)) << it;
  }
}

TEST(utf8_test, rejects_control_characters_and_long_text) {
  EXPECT_TRUE(is_printable("due caff\xc3\xa8", 10));
  EXPECT_FALSE(is_printable("due caff\xc3\xa8", 9));
  EXPECT_FALSE(is_printable("", 9));
  EXPECT_FALSE(is_printable("a\nb", 9));
  EXPECT_FALSE(is_printable("a\x7f", 9));
  EXPECT_TRUE(is_visible_ascii("i-7f", 4));
  EXPECT_FALSE(is_visible_ascii("i 7f", 4));
  EXPECT_FALSE(is_visible_ascii("i-7f", 3));
  EXPECT_FALSE(is_visible_ascii("\xc3\xa9", 4));
}

}  // namespace
}  // namespace trestlepost
