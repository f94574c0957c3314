// Tests of the limit of this process's memory.
#include "memory/memory_limit.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace trestlepost::node {
namespace {

constexpr std::size_t megabyte = 1024UL * 1024;

class control_groups : public testing::Test {
 protected:
  control_groups() {
    std::string name = testing::TempDir() + "groups-XXXXXX";
    root_ = ::mkdtemp(name.data());
  }
  ~control_groups() override { std::filesystem::remove_all(root_); }

  void write(const std::string& file, const std::string& text) {
    const std::filesystem::path path = root_ / file;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path) << text << "\n";
  }

  std::filesystem::path root_;
};

TEST_F(control_groups, the_lowest_limit_of_all_levels_counts) {
  write("service/trestlepost/memory.max", "max");
  write("service/memory.max", std::to_string(200 * megabyte));
  EXPECT_EQ(control_group_limit("0::/service/trestlepost", root_),
            200 * megabyte);
  write("service/trestlepost/memory.max", std::to_string(90 * megabyte));
  EXPECT_EQ(control_group_limit("0::/service/trestlepost", root_),
            90 * megabyte);
  EXPECT_EQ(control_group_limit("0::/other", root_), std::nullopt);
}

TEST_F(control_groups, the_first_version_has_one_hierarchy_for_memory) {
  write("memory/service/memory.limit_in_bytes", std::to_string(90 * megabyte));
  EXPECT_EQ(control_group_limit("9:memory:/service", root_), 90 * megabyte);
  EXPECT_EQ(control_group_limit("3:cpu,cpuacct:/service", root_), std::nullopt);
}

TEST_F(control_groups, unreadable_lines_are_no_limit) {
  for (const char* line : {"", "0", "0:", "nonsense"}) {
    EXPECT_EQ(control_group_limit(line, root_), std::nullopt) << line;
  }
}

TEST(memory_limit_test, the_setting_replaces_the_default) {
  EXPECT_LE(memory_limit_of(0), default_memory_limit);
  EXPECT_EQ(memory_limit_of(64 * megabyte), 64 * megabyte);
  const std::size_t huge = std::size_t{1} << 60;
  EXPECT_LT(memory_limit_of(huge), huge);
}

}  // namespace
}  // namespace trestlepost::node
