// Tests that a new leader stays responsive while it applies a long log.
//
// Guards against a new leader that applies its whole log in one event loop
// iteration: 1.4 to 1.7 s for twelve plans of up to 4,000 routes. It receives
// and sends no messages in that time, so other nodes start elections and the
// next leader has the same work to do. After a power loss of all nodes each
// leader lasts less than a second and no change is confirmed for seconds.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulated_disk.h"
#include "trestlepost/consensus/group_host.h"

namespace trestlepost::consensus::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds step_time{20};
constexpr std::size_t command_bytes = 200'000;
constexpr std::size_t commands = 12;
constexpr std::size_t max_bytes_per_tick = 2 * command_bytes;

class counting_machine final : public state_machine {
 public:
  void apply(const entry& committed) override {
    bytes_ += committed.data.size();
  }
  std::string save() const override { return "{}"; }
  result<void> load(std::string_view /*data*/) override {
    bytes_ = 0;
    return {};
  }

  std::size_t bytes() const { return bytes_; }
  bool has_all() const { return bytes_ == commands * command_bytes; }

 private:
  std::size_t bytes_ = 0;
};

class discarding_sink final : public message_sink {
 public:
  void send(const message& /*out*/) override {}
};

/// Options with which the whole log is kept: no snapshot replaces it.
group_options without_snapshots() {
  group_options out;
  out.snapshot_bytes = 2 * commands * command_bytes;
  return out;
}

/// The only replica of its group.
class single_replica {
 public:
  explicit single_replica(simulated_disk& disk)
      : host_({"a", 1}, without_snapshots(),
              std::make_unique<simulated_storage>(disk), machine_, sink_,
              random_) {
    EXPECT_TRUE(host_.start(now_));
  }

  void tick() {
    now_ += step_time;
    host_.tick(now_);
  }

  bool run(const std::function<bool()>& holds) {
    for (int i = 0; i < 500 && !holds(); ++i) tick();
    return holds();
  }

  group_host& host() { return host_; }
  const counting_machine& machine() const { return machine_; }
  bool leads() const { return host_.holds_lease(now_); }
  monotonic_time now() const { return now_; }

 private:
  seeded_random random_{1};
  counting_machine machine_;
  discarding_sink sink_;
  monotonic_time now_;
  group_host host_;
};

void fill(simulated_disk& disk) {
  single_replica it(disk);
  ASSERT_TRUE(it.host().found(it.now(), "group", {{{"a", 1}, true}}));
  ASSERT_TRUE(it.run([&it] { return it.leads(); }));
  for (std::size_t n = 0; n < commands; ++n) {
    ASSERT_TRUE(it.host().propose(it.now(), std::string(command_bytes, 'x')));
  }
  ASSERT_TRUE(it.run([&it] { return it.machine().has_all(); }));
}

TEST(log_replay_test, a_long_log_is_applied_over_several_ticks) {
  simulated_disk disk;
  fill(disk);
  single_replica it(disk);
  std::size_t max_bytes = 0;
  for (int tick = 0; tick < 500 && !it.machine().has_all(); ++tick) {
    const std::size_t before = it.machine().bytes();
    it.tick();
    max_bytes = std::max(max_bytes, it.machine().bytes() - before);
  }
  EXPECT_TRUE(it.machine().has_all());
  EXPECT_LE(max_bytes, max_bytes_per_tick);
}

TEST(log_replay_test, nothing_is_confirmed_before_the_log_is_applied) {
  simulated_disk disk;
  fill(disk);
  single_replica it(disk);
  ASSERT_TRUE(it.run([&it] { return it.host().core().is_leader(); }));
  bool read = false;
  bool requested = false;
  const bool done = it.run([&] {
    const bool all = it.machine().has_all();
    EXPECT_TRUE(all || !it.leads());
    EXPECT_TRUE(all || !read);
    if (!requested) {
      requested = it.host()
                      .request_read(it.now(), 1, [&read] { read = true; })
                      .has_value();
    }
    return read && it.leads();
  });
  EXPECT_TRUE(done);
  EXPECT_TRUE(it.machine().has_all());
}

}  // namespace
}  // namespace trestlepost::consensus::test
