#include "process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

extern char** environ;

namespace trestlepost::test {

namespace {

/// Running children; they are killed when a signal ends the test.
std::vector<pid_t>& running_children() {
  static std::vector<pid_t> all;
  return all;
}

void kill_children(int number) {
  for (const pid_t it : running_children()) ::kill(it, SIGKILL);
  ::signal(number, SIG_DFL);
  ::raise(number);
}

void install_signal_handlers() {
  for (const int it : {SIGTERM, SIGINT, SIGABRT, SIGSEGV}) {
    ::signal(it, kill_children);
  }
}

}  // namespace

process::process(const std::vector<std::string>& command,
                 const std::string& folder, const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& it : command) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addchdir_np(&actions, folder.c_str());
  constexpr int mode = 0644;
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, mode);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // Closes inherited sockets: those of stand-ins in the test process would
  // otherwise stay open in the child after the stand-in closes them.
  constexpr int first_nonstandard_fd = 3;
  posix_spawn_file_actions_addclosefrom_np(&actions, first_nonstandard_fd);
  const int failed = ::posix_spawn(&id_, arguments[0], &actions, nullptr,
                                   arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error("cannot start " + command[0]);
  running_children().push_back(id_);
  install_signal_handlers();
}

process::process(process&& other) noexcept
    : id_(std::exchange(other.id_, -1)) {}

process& process::operator=(process&& other) noexcept {
  std::swap(id_, other.id_);
  return *this;
}

process::~process() {
  kill();
}

void process::signal(int number) const {
  if (id_ > 0) ::kill(id_, number);
}

namespace {

/// Returns whether the process still has to prepare for the signal: it runs and
/// neither blocks nor handles it. It blocks all signals for a moment when it
/// creates a thread, which is no preparation.
bool is_unprepared(pid_t id, int number) {
  std::ifstream status("/proc/" + std::to_string(id) + "/status");
  const std::uint64_t bit = std::uint64_t{1} << (number - 1);
  bool out = false;
  std::string name;
  std::string value;
  while (status >> name && std::getline(status, value)) {
    if (name == "State:") out = value.find('Z') == std::string::npos;
    const bool blocked = name == "SigBlk:";
    if (!blocked && name != "SigCgt:") continue;
    const std::uint64_t signals = std::stoull(value, nullptr, 16);
    if (blocked ? signals == bit : (signals & bit) != 0) return false;
  }
  return out;
}

}  // namespace

void process::wait_until_prepared_for(int number) const {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + std::chrono::seconds(1);
  while (is_unprepared(id_, number) && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void process::kill() {
  if (id_ <= 0) return;
  signal(SIGKILL);
  wait();
}

int process::wait() {
  if (id_ <= 0) return -1;
  int status = 0;
  ::waitpid(id_, &status, 0);
  std::erase(running_children(), id_);
  id_ = -1;
  constexpr int signal_base = 128;
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : signal_base + WTERMSIG(status);
}

bool process::running() {
  if (id_ <= 0) return false;
  siginfo_t info{};
  ::waitid(P_PID, static_cast<id_t>(id_), &info, WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid == 0;
}

std::chrono::milliseconds process::cpu_time() const {
  std::ifstream in("/proc/" + std::to_string(id_) + "/stat");
  std::string text;
  std::getline(in, text);
  // The process name may contain blanks; the fields after it are numbered from
  // 3.
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string field;
  std::int64_t ticks = 0;
  constexpr int user_field = 14;
  constexpr int system_field = 15;
  for (int i = 3; i <= system_field && rest >> field; ++i) {
    if (i >= user_field) ticks += std::stoll(field);
  }
  constexpr std::int64_t ms_per_second = 1000;
  return std::chrono::milliseconds(ticks * ms_per_second /
                                   ::sysconf(_SC_CLK_TCK));
}

std::uint64_t process::peak_resident_bytes() const {
  std::ifstream in("/proc/" + std::to_string(id_) + "/status");
  constexpr std::uint64_t bytes_per_kilobyte = 1024;
  std::string key;
  std::uint64_t kilobytes = 0;
  for (std::string line; std::getline(in, line);) {
    std::istringstream fields(line);
    if (fields >> key >> kilobytes && key == "VmHWM:")
      return kilobytes * bytes_per_kilobyte;
  }
  return 0;
}

std::uint64_t process::resident_bytes() const {
  std::ifstream in("/proc/" + std::to_string(id_) + "/statm");
  std::uint64_t all = 0;
  std::uint64_t resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace trestlepost::test
