#include "schedule.h"

#include <algorithm>
#include <random>

namespace trestlepost::soak {
namespace {

using std::chrono::milliseconds;

// Time in which a control node that lost its disk becomes a voter again.
constexpr milliseconds repair_time{5000};
constexpr milliseconds min_gap{300};
constexpr milliseconds max_gap{2500};
constexpr milliseconds max_outage{2500};

class fault_generator {
 public:
  explicit fault_generator(std::uint64_t seed) : engine_(seed) {}

  milliseconds random_duration(milliseconds min_time, milliseconds max_time) {
    std::uniform_int_distribution<std::int64_t> any(min_time.count(),
                                                    max_time.count());
    return milliseconds(any(engine_));
  }
  template <typename T>
  const T& pick(const std::vector<T>& all) {
    std::uniform_int_distribution<std::size_t> any(0, all.size() - 1);
    return all[any(engine_)];
  }
  /// Returns a random fault of one of `nodes` that begins after `from`.
  fault make_fault(const std::vector<std::string>& nodes,
                   const std::vector<fault_kind>& kinds, milliseconds from) {
    fault out;
    out.kind = pick(kinds);
    out.node = pick(nodes);
    out.begin = from + random_duration(min_gap, max_gap);
    out.end = out.begin;
    if (out.kind != fault_kind::reload) {
      out.end += random_duration(min_gap, max_outage);
    }
    return out;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace

std::string to_string(fault_kind kind) {
  switch (kind) {
    case fault_kind::kill:
      return "kill";
    case fault_kind::freeze:
      return "freeze";
    case fault_kind::stop:
      return "stop";
    case fault_kind::wipe:
      return "wipe";
    case fault_kind::reload:
      break;
  }
  return "reload";
}

std::vector<fault> make_schedule(std::uint64_t seed,
                                 const schedule_options& options) {
  fault_generator generator(seed);
  std::vector<fault> out;
  const std::vector<fault_kind> control_kinds{
      fault_kind::kill, fault_kind::freeze, fault_kind::stop, fault_kind::wipe,
      fault_kind::reload};
  milliseconds from{0};
  while (from < options.span) {
    out.push_back(
        generator.make_fault(options.control_nodes, control_kinds, from));
    from = out.back().end;
    if (out.back().kind == fault_kind::wipe) from += repair_time;
  }
  const std::vector<fault_kind> entry_kinds{
      fault_kind::kill, fault_kind::freeze, fault_kind::stop,
      fault_kind::reload};
  for (const std::string& it : options.entries) {
    from = milliseconds(0);
    while (from < options.span) {
      out.push_back(generator.make_fault({it}, entry_kinds, from));
      from = out.back().end;
    }
  }
  std::erase_if(
      out, [&options](const fault& it) { return it.begin >= options.span; });
  std::stable_sort(out.begin(), out.end(), [](const fault& a, const fault& b) {
    return a.begin < b.begin;
  });
  return out;
}

}  // namespace trestlepost::soak
