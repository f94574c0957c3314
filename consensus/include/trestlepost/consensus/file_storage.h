// Storage of a replica in a folder: a snapshot file and a log of checksummed
// records.
#pragma once

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include "trestlepost/consensus/storage.h"

namespace trestlepost::consensus {

/// System calls that can fail at run time; tests override them to inject
/// failures.
class file_operations {
 public:
  virtual ~file_operations() = default;
  /// See read(2).
  virtual std::ptrdiff_t read(int fd, char* data, std::size_t n);
  /// See write(2).
  virtual std::ptrdiff_t write(int fd, const char* data, std::size_t n);
  /// See fdatasync(2).
  virtual int sync(int fd);
};

/// Owns a file descriptor and closes it.
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

/// Replaces a file atomically: writes a temporary file, syncs and renames it,
/// and syncs the folder. After a crash the folder holds either the old or the
/// new file.
result<void> replace_file(const std::filesystem::path& folder,
                          const std::string& name, std::string_view data,
                          file_operations& operations);
result<void> replace_file(const std::filesystem::path& folder,
                          const std::string& name, std::string_view data);

/// Returns the incarnation that identifies a data folder; draws and stores it
/// on first use.
result<std::uint64_t> load_or_create_incarnation(
    const std::filesystem::path& folder, random_source& random);

/// Locks `folder` against other processes until the returned descriptor is
/// closed.
result<unique_fd> lock_folder(const std::filesystem::path& folder);

/// Storage in a folder, which must not be used by another object or process.
class file_storage final : public storage {
 public:
  explicit file_storage(std::filesystem::path folder,
                        std::shared_ptr<file_operations> operations =
                            std::make_shared<file_operations>());

  result<durable_state> load() override;
  result<void> save(const write_batch& batch) override;
  result<void> compact(const snapshot& base, const hard_state& hard,
                       const std::vector<entry>& entries) override;

  /// Bytes of an incomplete last record that `load` has truncated.
  std::size_t truncated_bytes() const { return truncated_bytes_; }

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
  std::size_t truncated_bytes_ = 0;
};

}  // namespace trestlepost::consensus
