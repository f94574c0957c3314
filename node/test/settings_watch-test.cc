#include "settings_watch.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace trestlepost::node {
namespace {

class settings_watch_test : public testing::Test {
 protected:
  settings_watch_test() {
    char name[] = "/tmp/settings-watch-XXXXXX";
    folder_ = ::mkdtemp(name);
    file_ = folder_ + "/settings.jsonc";
    write("one");
  }
  ~settings_watch_test() override { std::filesystem::remove_all(folder_); }
  void write(const std::string& text) const { std::ofstream(file_) << text; }

  std::string folder_;
  std::string file_;
  monotonic_time now_{std::chrono::hours(1)};
};

TEST_F(settings_watch_test, a_write_without_a_signal_is_detected) {
  settings_watch watch(file_);
  watch.start();
  EXPECT_FALSE(watch.changed(now_, false));
  write("two");
  EXPECT_FALSE(watch.changed(now_ + std::chrono::milliseconds(500), false));
  EXPECT_TRUE(watch.changed(now_ + std::chrono::milliseconds(1000), false));
  EXPECT_FALSE(watch.changed(now_ + std::chrono::milliseconds(2000), false));
}

TEST_F(settings_watch_test, a_signal_triggers_an_immediate_check) {
  settings_watch watch(file_);
  watch.start();
  EXPECT_FALSE(watch.changed(now_, true)) << "nothing was written";
  write("two");
  EXPECT_TRUE(watch.changed(now_, true));
}

TEST_F(settings_watch_test, an_empty_or_missing_file_is_ignored) {
  settings_watch watch(file_);
  watch.start();
  write("");
  EXPECT_FALSE(watch.changed(now_, true));
  std::filesystem::remove(file_);
  EXPECT_FALSE(watch.changed(now_, true));
}

}  // namespace
}  // namespace trestlepost::node
