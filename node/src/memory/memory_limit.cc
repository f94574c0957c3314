#include "memory/memory_limit.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace trestlepost::node {
namespace {

constexpr char groups_file[] = "/proc/self/cgroup";
constexpr char groups_root[] = "/sys/fs/cgroup";

void lower_to(std::optional<std::size_t>& limit,
              const std::optional<std::size_t>& other) {
  if (!other) return;
  limit = limit ? std::min(*limit, *other) : *other;
}

/// Returns the number in the file; nullopt if there is none, such as "max".
std::optional<std::size_t> number_in(const std::filesystem::path& file) {
  std::ifstream in(file);
  std::size_t n = 0;
  if (!(in >> n)) return std::nullopt;
  return n;
}

std::optional<std::size_t> resource_limit(int resource) {
  rlimit limit{};
  const bool known =
      ::getrlimit(static_cast<__rlimit_resource>(resource), &limit) == 0;
  if (!known || limit.rlim_cur == RLIM_INFINITY) return std::nullopt;
  return limit.rlim_cur;
}

std::optional<std::size_t> machine_memory() {
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long page_bytes = ::sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page_bytes <= 0) return std::nullopt;
  return static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
}

}  // namespace

std::optional<std::size_t> control_group_limit(const std::string& line,
                                               const std::string& root) {
  // "ID:CONTROLLERS:PATH"; without controllers in the second version.
  const std::size_t first = line.find(':');
  const std::size_t second = line.find(':', first + 1);
  if (first == std::string::npos || second == std::string::npos)
    return std::nullopt;
  const std::string controllers = line.substr(first + 1, second - first - 1);
  const bool unified = controllers.empty();
  if (!unified && controllers.find("memory") == std::string::npos)
    return std::nullopt;
  const std::filesystem::path top =
      unified ? std::filesystem::path(root)
              : std::filesystem::path(root) / "memory";
  const char* file = unified ? "memory.max" : "memory.limit_in_bytes";
  std::filesystem::path group = line.substr(second + 1);
  std::optional<std::size_t> out;
  while (true) {
    lower_to(out, number_in(top / group.relative_path() / file));
    if (!group.has_relative_path()) return out;
    group = group.parent_path();
  }
}

std::optional<std::size_t> system_memory_limit() {
  std::optional<std::size_t> out = machine_memory();
  lower_to(out, resource_limit(RLIMIT_AS));
  lower_to(out, resource_limit(RLIMIT_DATA));
  std::ifstream groups(groups_file);
  std::string line;
  while (std::getline(groups, line)) {
    lower_to(out, control_group_limit(line, groups_root));
  }
  return out;
}

std::size_t memory_limit_of(std::size_t configured) {
  const std::size_t wanted = configured > 0 ? configured : default_memory_limit;
  return std::min(wanted, system_memory_limit().value_or(wanted));
}

}  // namespace trestlepost::node
