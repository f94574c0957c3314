#include "../src/peer_compression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace trestlepost::transport::detail {
namespace {

constexpr std::size_t limit = 1024UL * 1024;

std::string long_text() {
  std::string out = "{";
  for (int i = 0; i < 2000; ++i) out += "\"key\":" + std::to_string(i % 7);
  return out + "}";
}

TEST(peer_compression_test, long_texts_travel_shorter_and_come_whole) {
  const std::string text = long_text();
  const std::string packed = pack(text);
  EXPECT_LT(packed.size(), text.size() / 4);
  EXPECT_EQ(unpack(packed, limit), text);
}

TEST(peer_compression_test, damaged_and_oversized_input_is_refused) {
  const std::string packed = pack(long_text());
  EXPECT_FALSE(unpack(packed, 100));
  for (std::size_t n = 1; n < packed.size(); n += 11) {
    EXPECT_FALSE(unpack(packed.substr(0, n), limit)) << n;
  }
  std::string spoilt = packed;
  spoilt[packed.size() / 2] ^= 0x55;
  EXPECT_FALSE(unpack(spoilt, limit));
}

RC_GTEST_PROP(peer_compression_test, any_message_comes_back, ()) {
  const std::string body = *rc::gen::arbitrary<std::string>();
  const std::string text = "{" + body + body + body + body;
  RC_ASSERT(unpack(pack(text), limit) == text);
}

}  // namespace
}  // namespace trestlepost::transport::detail
