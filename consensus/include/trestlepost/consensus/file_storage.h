// Storage in a folder: a snapshot file and a log of checksummed records.
#pragma once

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include "trestlepost/consensus/storage.h"

namespace trestlepost::consensus {

/// The system calls that can fail under load; tests make them fail.
class file_operations {
 public:
  virtual ~file_operations() = default;
  /// As write(2).
  virtual std::ptrdiff_t write(int fd, const char* data, std::size_t n);
  /// As fdatasync(2).
  virtual int sync(int fd);
};

/// An open file descriptor that closes itself.
class unique_fd {
 public:
  explicit unique_fd(int fd = -1) : fd_(fd) {}
  unique_fd(unique_fd&& other) noexcept;
  unique_fd& operator=(unique_fd&& other) noexcept;
  ~unique_fd();
  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }

 private:
  int fd_;
};

/// Replaces a file so that a crash leaves the old one or the new one: writes
/// aside, syncs, renames, syncs the folder.
result<void> replace_file(const std::filesystem::path& folder,
                          const std::string& name, std::string_view data,
                          file_operations& operations);
result<void> replace_file(const std::filesystem::path& folder,
                          const std::string& name, std::string_view data);

/// The identity of a data folder: drawn when the folder is first used.
result<std::uint64_t> load_or_create_incarnation(
    const std::filesystem::path& folder, random_source& random);

/// Locks `folder` against a second process for as long as the result lives.
result<unique_fd> lock_folder(const std::filesystem::path& folder);

class file_storage final : public storage {
 public:
  explicit file_storage(std::filesystem::path folder,
                        std::shared_ptr<file_operations> operations =
                            std::make_shared<file_operations>());

  result<durable_state> load() override;
  result<void> save(const write_batch& batch) override;
  result<void> compact(const snapshot& base, const hard_state& hard,
                       const std::vector<entry>& entries) override;

  /// Bytes of records that the last `load` cut off as a torn tail.
  std::size_t torn_bytes() const { return torn_bytes_; }

 private:
  result<void> load_snapshot(durable_state& state);
  result<void> load_log(durable_state& state);
  result<void> open_log();
  result<void> write_all(int fd, std::string_view data);
  result<void> sync(int fd);
  result<void> replace(const std::string& name, std::string_view data);
  result<void> replace_log(const hard_state& hard,
                           const std::vector<entry>& entries);
  tl::unexpected<error> failed(const std::string& what);

  std::filesystem::path folder_;
  std::shared_ptr<file_operations> operations_;
  unique_fd log_;
  hard_state hard_;
  bool failed_ = false;
  std::size_t torn_bytes_ = 0;
};

}  // namespace trestlepost::consensus
