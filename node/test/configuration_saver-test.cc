#include "disk/configuration_saver.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace trestlepost::node {
namespace {

/// A disk whose writes end when the test permits them.
class slow_disk {
 public:
  result<void> write(const config::object_store& it) {
    std::unique_lock lock(mutex_);
    written_.push_back(it.revision());
    changed_.wait(lock, [this] { return permitted_ > 0; });
    --permitted_;
    return {};
  }
  void permit(int writes) {
    const std::lock_guard lock(mutex_);
    permitted_ += writes;
    changed_.notify_all();
  }
  const std::vector<config::revision_number>& written() const {
    return written_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int permitted_ = 0;
  std::vector<config::revision_number> written_;
};

configuration_saver::store_ptr store_at(config::revision_number revision) {
  config::object_store out;
  out.set_revision(revision);
  return std::make_shared<const config::object_store>(std::move(out));
}

// A queue of copies would put revisions into force later and later.
TEST(configuration_saver_test, saves_only_the_newest_of_waiting_revisions) {
  using revisions = std::vector<config::revision_number>;
  slow_disk disk;
  boost::asio::io_context io;
  revisions saved;
  configuration_saver it(
      [&io](std::function<void()> action) {
        boost::asio::post(io, std::move(action));
      },
      [&disk](const config::object_store& store) { return disk.write(store); },
      [&saved](const configuration_saver::store_ptr& store,
               const result<void>& /*written*/) {
        saved.push_back(store->revision());
      });
  for (const config::revision_number revision : {1U, 2U, 3U, 4U}) {
    it.save(store_at(revision));
    EXPECT_EQ(it.newest()->revision(), revision);
  }
  EXPECT_TRUE(saved.empty());
  disk.permit(2);
  while (saved.size() < 2) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(saved, (revisions{1, 4}));
  EXPECT_EQ(disk.written(), (revisions{1, 4}));
  EXPECT_EQ(it.newest(), nullptr);
}

}  // namespace
}  // namespace trestlepost::node
