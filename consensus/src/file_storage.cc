#include "trestlepost/consensus/file_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::consensus {
namespace {

constexpr char snapshot_name[] = "snapshot";
constexpr char log_name[] = "log";
constexpr char incarnation_name[] = "identity";
constexpr char lock_name[] = "lock";
constexpr mode_t file_mode = 0600;

// Record format: magic, payload length, payload checksum, payload.
constexpr std::uint32_t record_magic = 0x31505254;  // "TRP1"
constexpr std::size_t header_bytes = 16;
constexpr std::uint32_t max_record_bytes = 1U << 30;

struct record_header {
  std::uint32_t magic = record_magic;
  std::uint32_t size = 0;
  std::uint64_t checksum = 0;
};
static_assert(sizeof(record_header) == header_bytes);

std::string make_record(const json& payload) {
  const std::string text = to_text(payload);
  record_header header;
  header.size = static_cast<std::uint32_t>(text.size());
  header.checksum = hash64(text);
  std::string out(header_bytes, '\0');
  std::memcpy(out.data(), &header, header_bytes);
  return out + text;
}

/// Returns the payload of the record at offset `at`, or nothing if there is no
/// complete record.
std::optional<std::string_view> record_at(std::string_view data,
                                          std::size_t at) {
  if (data.size() - at < header_bytes) return std::nullopt;
  record_header header;
  std::memcpy(&header, data.data() + at, header_bytes);
  if (header.magic != record_magic || header.size > max_record_bytes) {
    return std::nullopt;
  }
  if (data.size() - at - header_bytes < header.size) return std::nullopt;
  const std::string_view payload = data.substr(at + header_bytes, header.size);
  if (hash64(payload) != header.checksum) return std::nullopt;
  return payload;
}

bool has_record_after(std::string_view data, std::size_t at) {
  for (std::size_t i = at + 1; i + header_bytes <= data.size(); ++i) {
    if (record_at(data, i)) return true;
  }
  return false;
}

/// Returns the content of a file, or an empty string if there is none. A file
/// that can't be read is an error: it must not count as an empty one.
result<std::string> read_file(const std::filesystem::path& path,
                              file_operations& operations) {
  const unique_fd fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd.valid() && errno == ENOENT) return std::string();
  std::string out;
  std::array<char, 64UL * 1024> buf{};
  while (fd.valid()) {
    const std::ptrdiff_t n = operations.read(fd.get(), buf.data(), buf.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) break;
    if (n == 0) return out;
    out.append(buf.data(), static_cast<std::size_t>(n));
  }
  return fail(error_kind::storage_failed,
              "cannot read " + path.string() + ": " + std::strerror(errno),
              "check the disk, then restart this node; if it is lost, empty "
              "the folder: the node then returns as a learner");
}

json entry_record(const entry& value) {
  json out;
  out["entry"] = to_json(value);
  return out;
}

json hard_record(const hard_state& value) {
  json out;
  out["hard"] = to_json(value);
  return out;
}

json truncate_record(log_index from) {
  json out;
  out["truncate_from"] = json(Json::UInt64(from));
  return out;
}

void truncate_entries(std::vector<entry>& entries, log_index from) {
  while (!entries.empty() && entries.back().index >= from) entries.pop_back();
}

/// Applies a record to `state`. Returns false if the record does not continue
/// the records before it.
bool replay(const json& record, durable_state& state) {
  if (record.isMember("batch")) {
    const json& all = record["batch"];
    return std::all_of(all.begin(), all.end(),
                       [&state](const json& it) { return replay(it, state); });
  }
  if (record.isMember("hard")) {
    state.hard = hard_state_from(record["hard"]);
    return true;
  }
  if (record.isMember("truncate_from")) {
    truncate_entries(state.entries, number_of(record, "truncate_from"));
    return true;
  }
  entry added = entry_from(member_of(record, "entry"));
  if (added.type == entry_type::unknown) return false;
  if (added.index <= state.base.index) return true;
  const log_index last =
      state.entries.empty() ? state.base.index : state.entries.back().index;
  if (added.index != last + 1) return false;
  state.entries.push_back(std::move(added));
  return true;
}

bool write_fully(file_operations& operations, int fd, std::string_view data) {
  while (!data.empty()) {
    const std::ptrdiff_t n = operations.write(fd, data.data(), data.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

result<void> sync_folder(const std::filesystem::path& folder) {
  const unique_fd fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY));
  if (!fd.valid() || ::fsync(fd.get()) != 0) {
    return fail(error_kind::storage_failed,
                "cannot sync the folder " + folder.string() + ": " +
                    std::strerror(errno),
                "check the disk, then restart this node");
  }
  return {};
}

}  // namespace

std::ptrdiff_t file_operations::read(int fd, char* data, std::size_t n) {
  return ::read(fd, data, n);
}

std::ptrdiff_t file_operations::write(int fd, const char* data, std::size_t n) {
  return ::write(fd, data, n);
}

int file_operations::sync(int fd) {
  return ::fdatasync(fd);
}

unique_fd::unique_fd(unique_fd&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

unique_fd& unique_fd::operator=(unique_fd&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

unique_fd::~unique_fd() {
  if (fd_ >= 0) ::close(fd_);
}

file_storage::file_storage(std::filesystem::path folder,
                           std::shared_ptr<file_operations> operations)
    : folder_(std::move(folder)), operations_(std::move(operations)) {}

tl::unexpected<error> file_storage::failed(const std::string& what) {
  failed_ = true;
  return fail(error_kind::storage_failed,
              what + " in " + folder_.string() + ": " + std::strerror(errno),
              "free or replace the disk, then restart this node");
}

result<void> file_storage::write_all(int fd, std::string_view data) {
  if (!write_fully(*operations_, fd, data)) return failed("a log write failed");
  return {};
}

result<void> file_storage::sync(int fd) {
  if (operations_->sync(fd) != 0) return failed("a log sync failed");
  return {};
}

result<void> file_storage::replace(const std::string& name,
                                   std::string_view data) {
  result<void> done = replace_file(folder_, name, data, *operations_);
  if (!done) failed_ = true;
  return done;
}

result<durable_state> file_storage::load() {
  std::error_code ec;
  std::filesystem::create_directories(folder_, ec);
  if (ec) return failed("cannot create the folder");
  durable_state state;
  result<void> done = load_snapshot(state);
  if (done) done = load_log(state);
  if (done) done = open_log();
  if (!done) {
    failed_ = true;
    return tl::make_unexpected(done.error());
  }
  hard_ = state.hard;
  return state;
}

result<void> file_storage::load_snapshot(durable_state& state) {
  const std::filesystem::path path = folder_ / snapshot_name;
  if (!std::filesystem::exists(path)) return {};
  const result<std::string> data = read_file(path, *operations_);
  if (!data) return tl::make_unexpected(data.error());
  const std::optional<std::string_view> payload = record_at(*data, 0);
  result<json> parsed =
      payload ? parse_json(*payload)
              : result<json>(fail(error_kind::corrupt, "checksum", ""));
  if (!parsed) {
    return fail(error_kind::corrupt,
                "the snapshot " + path.string() + " is damaged",
                "replace the disk or empty this folder: the node then returns "
                "as a learner and copies the state from the others");
  }
  state.base = snapshot_from(*parsed);
  return {};
}

result<void> file_storage::load_log(durable_state& state) {
  const std::filesystem::path path = folder_ / log_name;
  const result<std::string> content = read_file(path, *operations_);
  if (!content) return tl::make_unexpected(content.error());
  const std::string& data = *content;
  std::size_t at = 0;
  while (at < data.size()) {
    const std::optional<std::string_view> payload = record_at(data, at);
    if (!payload) break;
    const result<json> parsed = parse_json(*payload);
    if (!parsed || !replay(*parsed, state)) break;
    at += header_bytes + payload->size();
  }
  truncated_bytes_ = data.size() - at;
  if (truncated_bytes_ == 0) return {};
  if (record_at(data, at) || has_record_after(data, at)) {
    return fail(error_kind::corrupt,
                "the log " + path.string() + " is damaged at byte " +
                    std::to_string(at),
                "replace the disk or empty this folder: the node then returns "
                "as a learner and copies the state from the others");
  }
  std::error_code ec;
  std::filesystem::resize_file(path, at, ec);
  if (ec) return failed("cannot truncate the incomplete last record");
  return {};
}

result<void> file_storage::open_log() {
  const std::filesystem::path path = folder_ / log_name;
  log_ =
      unique_fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, file_mode));
  if (!log_.valid()) return failed("cannot open the log");
  result<void> done = sync(log_.get());
  if (!done) return done;
  return sync_folder(folder_);
}

result<void> file_storage::save(const write_batch& batch) {
  if (failed_) {
    return fail(error_kind::storage_failed,
                "an earlier write to the data folder failed",
                "free or replace the disk, then restart this node");
  }
  if (batch.hard) hard_ = *batch.hard;
  if (batch.base) return compact(*batch.base, hard_, batch.entries);
  json records(Json::arrayValue);
  if (batch.hard) records.append(hard_record(*batch.hard));
  if (batch.truncate_from) {
    records.append(truncate_record(*batch.truncate_from));
  }
  for (const entry& it : batch.entries) records.append(entry_record(it));
  if (records.empty()) return {};
  // One record for the whole batch: after a power loss during an unsynced write
  // no complete record can follow an incomplete one, which `load` would report
  // as damage.
  json record;
  record["batch"] = std::move(records);
  result<void> done = write_all(log_.get(), make_record(record));
  if (!done) return done;
  return sync(log_.get());
}

result<void> file_storage::compact(const snapshot& base, const hard_state& hard,
                                   const std::vector<entry>& entries) {
  if (failed_) {
    return fail(error_kind::storage_failed,
                "an earlier write to the data folder failed",
                "free or replace the disk, then restart this node");
  }
  // The snapshot is replaced first. After a crash in between, the log still has
  // entries that the snapshot covers; `load` skips these.
  result<void> done = replace(snapshot_name, make_record(to_json(base)));
  if (!done) return done;
  return replace_log(hard, entries);
}

result<void> file_storage::replace_log(const hard_state& hard,
                                       const std::vector<entry>& entries) {
  hard_ = hard;
  std::string data = make_record(hard_record(hard));
  for (const entry& it : entries) data += make_record(entry_record(it));
  result<void> done = replace(log_name, data);
  if (!done) return done;
  return open_log();
}

result<void> replace_file(const std::filesystem::path& folder,
                          const std::string& name, std::string_view data,
                          file_operations& operations) {
  const std::filesystem::path temporary = folder / (name + ".new");
  {
    const unique_fd fd(
        ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC, file_mode));
    if (!fd.valid() || !write_fully(operations, fd.get(), data) ||
        operations.sync(fd.get()) != 0) {
      return fail(
          error_kind::storage_failed,
          "cannot write " + temporary.string() + ": " + std::strerror(errno),
          "free or replace the disk, then restart this node");
    }
  }
  std::error_code ec;
  std::filesystem::rename(temporary, folder / name, ec);
  if (ec) {
    return fail(error_kind::storage_failed,
                "cannot rename " + temporary.string() + ": " + ec.message(),
                "make the data folder writable, then restart this node");
  }
  return sync_folder(folder);
}

result<void> replace_file(const std::filesystem::path& folder,
                          const std::string& name, std::string_view data) {
  file_operations operations;
  return replace_file(folder, name, data, operations);
}

result<std::uint64_t> load_or_create_incarnation(
    const std::filesystem::path& folder, random_source& random) {
  const std::filesystem::path path = folder / incarnation_name;
  if (std::filesystem::exists(path)) {
    file_operations operations;
    const result<std::string> text = read_file(path, operations);
    if (!text) return tl::make_unexpected(text.error());
    const result<json> parsed = parse_json(*text);
    const std::uint64_t n = parsed ? number_of(*parsed, "incarnation") : 0;
    if (n != 0) return n;
    return fail(error_kind::corrupt, path.string() + " is damaged",
                "empty the data folder: the node then returns as a learner");
  }
  json value;
  const std::uint64_t n = random.identifier();
  value["incarnation"] = json(Json::UInt64(n));
  const result<void> done =
      replace_file(folder, incarnation_name, to_text(value));
  if (!done) return tl::make_unexpected(done.error());
  return n;
}

result<unique_fd> lock_folder(const std::filesystem::path& folder) {
  const std::filesystem::path path = folder / lock_name;
  unique_fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
  if (!fd.valid()) {
    return fail(error_kind::storage_failed,
                "cannot open " + path.string() + ": " + std::strerror(errno),
                "make the data folder writable for this user");
  }
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) {
    return fail(error_kind::storage_failed,
                "another process uses the data folder " + folder.string(),
                "stop the other process or give this node its own folder");
  }
  return fd;
}

}  // namespace trestlepost::consensus
