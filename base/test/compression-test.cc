// Tests that compressed texts are restored and that damaged or oversized input
// is rejected.
#include "trestlepost/base/compression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace trestlepost {
namespace {

constexpr std::size_t limit = 1024UL * 1024;

std::string long_text() {
  std::string out = "{";
  for (int i = 0; i < 2000; ++i) out += "\"key\":" + std::to_string(i % 7);
  return out + "}";
}

TEST(compression_test, long_texts_are_compressed_and_restored) {
  const std::string text = long_text();
  const std::string compressed = compress_text(text);
  EXPECT_LT(compressed.size(), text.size() / 4);
  EXPECT_EQ(decompress_text(compressed, limit), text);
}

TEST(compression_test, damaged_and_oversized_input_is_refused) {
  const std::string compressed = compress_text(long_text());
  EXPECT_FALSE(decompress_text(compressed, 100));
  for (std::size_t n = 1; n < compressed.size(); n += 11) {
    EXPECT_FALSE(decompress_text(compressed.substr(0, n), limit)) << n;
  }
  std::string damaged = compressed;
  damaged[compressed.size() / 2] ^= 0x55;
  EXPECT_FALSE(decompress_text(damaged, limit));
}

RC_GTEST_PROP(compression_test, any_text_is_restored, ()) {
  const std::string body = *rc::gen::arbitrary<std::string>();
  const std::string text = "{" + body + body + body + body;
  RC_ASSERT(decompress_text(compress_text(text), limit) == text);
}

TEST(compression_test, printable_texts_need_no_escapes_in_json) {
  const std::string text = long_text();
  const std::string compressed = compress_printable(text);
  EXPECT_LT(compressed.size(), text.size() / 3);
  EXPECT_EQ(compressed.find_first_of("\"\\\n"), std::string::npos);
  EXPECT_EQ(decompress_printable(compressed, limit), text);
  EXPECT_EQ(decompress_printable("{}", limit), "{}");
}

TEST(compression_test, damaged_printable_input_is_refused) {
  const std::string compressed = compress_printable(long_text());
  EXPECT_FALSE(decompress_printable(compressed, 100));
  EXPECT_FALSE(decompress_printable("z", limit));
  EXPECT_FALSE(decompress_printable("z====", limit));
  for (std::size_t n = 1; n < compressed.size(); n += 11) {
    EXPECT_FALSE(decompress_printable(compressed.substr(0, n), limit)) << n;
  }
}

RC_GTEST_PROP(compression_test, any_text_is_restored_from_printable_form, ()) {
  const std::string body = *rc::gen::arbitrary<std::string>();
  const std::string text = "{" + body + body + body + body + body + body;
  RC_ASSERT(decompress_printable(compress_printable(text), limit) == text);
}

}  // namespace
}  // namespace trestlepost
