// Tests of the copy of the configuration in a node's data folder.
#include "trestlepost/config/stored_copy.h"

#include <gtest/gtest.h>

#include <fstream>

#include "trestlepost/base/hash.h"
#include "trestlepost/base/json.h"

namespace trestlepost::config {
namespace {

class stored_copy_test : public testing::Test {
 protected:
  void SetUp() override {
    std::string name =
        (std::filesystem::temp_directory_path() / "copy-XXXXXX").string();
    ASSERT_NE(::mkdtemp(name.data()), nullptr);
    folder_ = name;
  }

  void TearDown() override { std::filesystem::remove_all(folder_); }

  /// Writes a copy with a valid checksum of `store`.
  void write_copy(const std::string& store) const {
    json out;
    out["store"] = store;
    out["sha256"] = sha256_hex(store);
    std::ofstream(folder_ / "configuration") << to_text(out);
  }

  std::filesystem::path folder_;
};

TEST_F(stored_copy_test, a_copy_is_read_back) {
  EXPECT_TRUE(read_copy(folder_));
  ASSERT_TRUE(save_copy(folder_, object_store()));
  EXPECT_TRUE(read_copy(folder_));
}

TEST_F(stored_copy_test, a_damaged_copy_is_an_error) {
  ASSERT_TRUE(save_copy(folder_, object_store()));
  std::filesystem::resize_file(folder_ / "configuration", 20);
  const result<object_store> read = read_copy(folder_);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().kind, error_kind::corrupt);
  EXPECT_FALSE(read.error().remedy.empty());
}

// A copy whose checksum was valid but whose content could not be decoded
// counted as none, without a log line.
TEST_F(stored_copy_test, a_copy_that_cannot_be_decoded_is_an_error) {
  for (const char* store :
       {"no JSON", R"({"objects":[{"kind":"nothing","name":"x"}]})"}) {
    write_copy(store);
    EXPECT_FALSE(read_copy(folder_)) << store;
  }
}

}  // namespace
}  // namespace trestlepost::config
