// Tests that file storage returns what it has made durable after crashes,
// damage and disk failures.
#include "trestlepost/consensus/file_storage.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <cstdlib>
#include <fstream>

#include "trestlepost/consensus/group_host.h"

namespace trestlepost::consensus {
namespace {

class file_storage_test : public testing::Test {
 protected:
  void SetUp() override {
    std::string name = testing::TempDir() + "/trestlepost-XXXXXX";
    ASSERT_NE(mkdtemp(name.data()), nullptr);
    folder_ = name;
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  void write_entries(log_index first, log_index last) {
    file_storage storage(folder_);
    ASSERT_TRUE(storage.load());
    for (log_index i = first; i <= last; ++i) {
      write_batch batch;
      batch.hard = hard_state{i, std::nullopt, "group"};
      batch.entries.push_back(
          {i, i, entry_type::command, "entry " + std::to_string(i)});
      ASSERT_TRUE(storage.save(batch));
    }
  }

  std::filesystem::path log() const { return folder_ / "log"; }

  std::filesystem::path folder_;
};

TEST_F(file_storage_test, returns_what_was_saved) {
  write_entries(1, 5);
  file_storage storage(folder_);
  const result<durable_state> state = storage.load();
  ASSERT_TRUE(state);
  EXPECT_EQ(state->entries.size(), 5U);
  EXPECT_EQ(state->hard.term, 5U);
  EXPECT_EQ(state->entries[4].data, "entry 5");
}

TEST_F(file_storage_test, truncates_an_incomplete_record_of_any_length) {
  write_entries(1, 3);
  const std::uintmax_t whole = std::filesystem::file_size(log());
  write_entries(4, 4);
  const std::uintmax_t longer = std::filesystem::file_size(log());
  std::string data(longer, '\0');
  std::ifstream(log(), std::ios::binary)
      .read(data.data(), static_cast<std::streamsize>(longer));
  for (std::uintmax_t n = whole; n < longer; ++n) {
    std::ofstream(log(), std::ios::binary)
        .write(data.data(), static_cast<std::streamsize>(n));
    file_storage storage(folder_);
    const result<durable_state> state = storage.load();
    ASSERT_TRUE(state) << n << " " << state.error().message;
    ASSERT_EQ(state->entries.size(), 3U) << n;
  }
}

TEST_F(file_storage_test, reports_damage_before_the_last_record_with_a_remedy) {
  write_entries(1, 5);
  const std::uintmax_t size = std::filesystem::file_size(log());
  for (std::uintmax_t at = 0; at < size / 2; at += 7) {
    std::fstream file(log(), std::ios::binary | std::ios::in | std::ios::out);
    file.seekg(static_cast<std::streamoff>(at));
    const char original = static_cast<char>(file.get());
    file.seekp(static_cast<std::streamoff>(at));
    file.put(static_cast<char>(original ^ 0x20));
    file.close();
    file_storage storage(folder_);
    const result<durable_state> state = storage.load();
    ASSERT_FALSE(state) << at;
    EXPECT_EQ(state.error().kind, error_kind::corrupt);
    EXPECT_NE(state.error().remedy.find("learner"), std::string::npos);
    EXPECT_EQ(std::filesystem::file_size(log()), size)
        << "the damaged part was truncated";
    std::fstream back(log(), std::ios::binary | std::ios::in | std::ios::out);
    back.seekp(static_cast<std::streamoff>(at));
    back.put(original);
  }
}

TEST_F(file_storage_test, a_snapshot_replaces_the_entries_it_covers) {
  write_entries(1, 5);
  {
    file_storage storage(folder_);
    const result<durable_state> state = storage.load();
    ASSERT_TRUE(state);
    const snapshot base{4, 4, {{{"a", 1}, true}}, "state"};
    ASSERT_TRUE(storage.compact(base, state->hard, {state->entries[4]}));
  }
  file_storage storage(folder_);
  const result<durable_state> state = storage.load();
  ASSERT_TRUE(state);
  EXPECT_EQ(state->base.index, 4U);
  EXPECT_EQ(state->base.data, "state");
  ASSERT_EQ(state->entries.size(), 1U);
  EXPECT_EQ(state->entries[0].index, 5U);
}

TEST_F(file_storage_test, a_crash_between_snapshot_and_log_loses_nothing) {
  write_entries(1, 5);
  const std::filesystem::path kept = folder_ / "kept";
  std::filesystem::copy_file(log(), kept);
  {
    file_storage storage(folder_);
    const result<durable_state> state = storage.load();
    ASSERT_TRUE(state);
    ASSERT_TRUE(
        storage.compact({4, 4, {}, "state"}, state->hard, {state->entries[4]}));
  }
  std::filesystem::rename(kept, log());
  file_storage storage(folder_);
  const result<durable_state> state = storage.load();
  ASSERT_TRUE(state);
  ASSERT_EQ(state->entries.size(), 1U);
  EXPECT_EQ(state->entries[0].data, "entry 5");
}

enum class disk_fault { full, failed_sync };

/// Fails each read with EIO.
class unreadable_files final : public file_operations {
 public:
  std::ptrdiff_t read(int, char*, std::size_t) override {
    errno = EIO;
    return -1;
  }
};

// A replica that took its log for an empty one would vote again in terms in
// which it has voted, and forget committed entries.
TEST_F(file_storage_test, an_unreadable_file_is_not_an_empty_one) {
  write_entries(1, 3);
  file_storage storage(folder_, std::make_shared<unreadable_files>());
  const result<durable_state> state = storage.load();
  ASSERT_FALSE(state);
  EXPECT_EQ(state.error().kind, error_kind::storage_failed);
  EXPECT_NE(state.error().message.find(log().string()), std::string::npos);
  EXPECT_FALSE(state.error().remedy.empty());
  file_storage readable(folder_);
  EXPECT_EQ(readable.load()->entries.size(), 3U);
}

TEST_F(file_storage_test, an_entry_of_an_unknown_type_is_refused) {
  entry newer{1, 1, static_cast<entry_type>(9), "command of a newer version"};
  const entry read = entry_from(to_json(newer));
  EXPECT_EQ(read.type, entry_type::unknown);
  message sent;
  sent.from = {"a", 1};
  sent.to = {"b", 2};
  sent.group_id = "group";
  sent.body = append_request{0, 0, 0, 0, {newer}};
  const result<message> received = message_from(to_json(sent));
  ASSERT_FALSE(received);
  EXPECT_NE(received.error().message.find("unknown type"), std::string::npos);
  {
    file_storage storage(folder_);
    ASSERT_TRUE(storage.load());
    write_batch batch;
    batch.entries.push_back(newer);
    ASSERT_TRUE(storage.save(batch));
  }
  const result<durable_state> state = file_storage(folder_).load();
  ASSERT_FALSE(state);
  EXPECT_EQ(state.error().kind, error_kind::corrupt);
}

class failing_operations final : public file_operations {
 public:
  explicit failing_operations(disk_fault fault) : fault_(fault) {}
  bool armed = false;
  int attempts = 0;

  std::ptrdiff_t write(int fd, const char* data, std::size_t n) override {
    if (!armed || fault_ != disk_fault::full) {
      return file_operations::write(fd, data, n);
    }
    ++attempts;
    errno = ENOSPC;
    return -1;
  }
  int sync(int fd) override {
    if (!armed || fault_ != disk_fault::failed_sync) {
      return file_operations::sync(fd);
    }
    ++attempts;
    errno = EIO;
    return -1;
  }

 private:
  disk_fault fault_;
};

TEST_F(file_storage_test, after_a_failure_every_save_fails) {
  for (const disk_fault fault : {disk_fault::full, disk_fault::failed_sync}) {
    const std::shared_ptr<failing_operations> operations =
        std::make_shared<failing_operations>(fault);
    file_storage storage(folder_, operations);
    ASSERT_TRUE(storage.load());
    operations->armed = true;
    write_batch batch;
    batch.hard = hard_state{9, std::nullopt, "group"};
    EXPECT_FALSE(storage.save(batch));
    operations->armed = false;
    const result<void> again = storage.save(batch);
    ASSERT_FALSE(again);
    EXPECT_EQ(again.error().kind, error_kind::storage_failed);
    EXPECT_EQ(operations->attempts, 1);
  }
}

TEST_F(file_storage_test, a_gap_in_the_last_save_is_not_damage) {
  write_entries(1, 3);
  const std::uintmax_t whole = std::filesystem::file_size(log());
  {
    file_storage storage(folder_);
    ASSERT_TRUE(storage.load());
    write_batch batch;
    for (log_index i = 4; i <= 8; ++i) {
      batch.entries.push_back(
          {i, 3, entry_type::command, "entry " + std::to_string(i)});
    }
    ASSERT_TRUE(storage.save(batch));
  }
  // Simulates a power loss before the sync that kept the end of the write but
  // not its beginning.
  std::fstream file(log(), std::ios::binary | std::ios::in | std::ios::out);
  file.seekp(static_cast<std::streamoff>(whole));
  file << std::string(40, '\0');
  file.close();
  file_storage storage(folder_);
  const result<durable_state> state = storage.load();
  ASSERT_TRUE(state) << state.error().message;
  EXPECT_EQ(state->entries.size(), 3U);
}

/// A state machine that records the applied commands.
class recording_machine final : public state_machine {
 public:
  void apply(const entry& committed) override {
    seen.push_back(committed.data);
  }
  std::string save() const override { return {}; }
  result<void> load(std::string_view) override {
    seen.clear();
    return {};
  }

  std::vector<std::string> seen;
};

class discarding_sink final : public message_sink {
 public:
  void send(const message&) override {}
};

TEST_F(file_storage_test, a_group_restarts_after_its_disk_was_full) {
  const std::shared_ptr<failing_operations> operations =
      std::make_shared<failing_operations>(disk_fault::full);
  recording_machine machine;
  discarding_sink sink;
  seeded_random random(1);
  const monotonic_time now{std::chrono::hours(1)};
  const replica_id self{"a", 1};
  group_host host(self, {}, std::make_unique<file_storage>(folder_, operations),
                  machine, sink, random);
  ASSERT_TRUE(host.start(now));
  ASSERT_TRUE(host.found(now, "group", {{self, true}}));
  ASSERT_TRUE(host.propose(now, "before"));
  operations->armed = true;
  EXPECT_FALSE(host.propose(now, "lost"));
  ASSERT_TRUE(host.failure());
  EXPECT_EQ(machine.seen, std::vector<std::string>{"before"});
  EXPECT_FALSE(
      host.restart(now, std::make_unique<file_storage>(folder_, operations)) &&
      host.propose(now, "still full"));
  operations->armed = false;
  ASSERT_TRUE(host.restart(now, std::make_unique<file_storage>(folder_)));
  const monotonic_time later = now + std::chrono::seconds(5);
  host.tick(later);
  ASSERT_TRUE(host.propose(later, "after"));
  const std::vector<std::string> expected{"before", "after"};
  EXPECT_EQ(machine.seen, expected);
}

TEST_F(file_storage_test, a_folder_has_one_process_and_one_incarnation) {
  seeded_random random(1);
  const result<unique_fd> first = lock_folder(folder_);
  ASSERT_TRUE(first);
  EXPECT_FALSE(lock_folder(folder_));
  const result<std::uint64_t> drawn =
      load_or_create_incarnation(folder_, random);
  ASSERT_TRUE(drawn);
  EXPECT_EQ(*load_or_create_incarnation(folder_, random), *drawn);
}

}  // namespace
}  // namespace trestlepost::consensus
