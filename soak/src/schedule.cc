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
constexpr milliseconds max_common_gap{2000};
constexpr milliseconds max_outage{2500};
constexpr milliseconds min_long_outage{2000};
constexpr milliseconds max_long_outage{3500};
constexpr milliseconds max_rejection_time{6000};
constexpr milliseconds min_limit_time{5000};
constexpr milliseconds max_limit_time{9000};
constexpr fault_kind last_fault_kind = fault_kind::undelimited;

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
  /// Returns a random fault of one of `targets` that begins after `from`.
  fault make_fault(const std::vector<std::string>& targets,
                   const std::vector<fault_kind>& kinds, milliseconds from,
                   milliseconds min_time = min_gap,
                   milliseconds max_time = max_outage) {
    fault out;
    out.kind = pick(kinds);
    out.target = pick(targets);
    out.begin = from + random_duration(min_gap, max_gap);
    out.end = out.begin;
    const bool momentary =
        out.kind == fault_kind::reload || out.kind == fault_kind::crash;
    if (!momentary) {
      out.end += random_duration(min_time, max_time);
    }
    return out;
  }
  /// Adds faults that strike all of `targets` at once, each for a time between
  /// `min_time` and `max_time`.
  void add_common_series(std::vector<fault>& out,
                         const std::vector<std::string>& targets,
                         const std::vector<fault_kind>& kinds,
                         milliseconds span, milliseconds max_time,
                         milliseconds min_time = min_gap) {
    if (targets.empty()) return;
    milliseconds from = random_duration(min_gap, max_common_gap);
    while (from < span) {
      fault it = make_fault(targets, kinds, from);
      it.end = it.begin + random_duration(min_time, max_time);
      for (const std::string& target : targets) {
        it.target = target;
        out.push_back(it);
      }
      from = it.end + random_duration(min_gap, max_common_gap);
    }
  }

  /// Adds faults one after the other, each of one of `targets`.
  void add_sequence(std::vector<fault>& out,
                    const std::vector<std::string>& targets,
                    const std::vector<fault_kind>& kinds, milliseconds span,
                    milliseconds min_time = min_gap,
                    milliseconds max_time = max_outage) {
    milliseconds from{0};
    while (from < span) {
      out.push_back(make_fault(targets, kinds, from, min_time, max_time));
      from = out.back().end;
      if (out.back().kind == fault_kind::wipe) from += repair_time;
    }
  }

 private:
  std::mt19937_64 engine_;
};

/// Adds faults of entries and endpoints under which limits are in force.
void add_limit_faults(fault_generator& generator, std::vector<fault>& out,
                      const schedule_options& options) {
  for (const std::string& it : options.endpoints) {
    generator.add_common_series(out, {it}, {fault_kind::limit}, options.span,
                                max_limit_time, min_limit_time);
    generator.add_sequence(
        out, {it},
        {fault_kind::refuse, fault_kind::overload, fault_kind::pause},
        options.span);
  }
  for (const std::string& it : options.entries) {
    generator.add_sequence(out, {it}, {fault_kind::freeze, fault_kind::reload},
                           options.span);
  }
  generator.add_sequence(out, options.entries,
                         {fault_kind::kill, fault_kind::stop}, options.span);
  generator.add_sequence(out, options.entries,
                         {fault_kind::partition, fault_kind::reset_partition},
                         options.span);
}

/// Adds faults beside requests that crash endpoints.
void add_crash_faults(fault_generator& generator, std::vector<fault>& out,
                      const schedule_options& options) {
  generator.add_sequence(out, options.control_nodes,
                         {fault_kind::kill, fault_kind::freeze,
                          fault_kind::stop, fault_kind::reload},
                         options.span / 3);
  generator.add_sequence(
      out, options.entries,
      {fault_kind::kill, fault_kind::freeze, fault_kind::stop,
       fault_kind::reload, fault_kind::partition, fault_kind::reset_partition},
      options.span);
  generator.add_sequence(
      out, options.endpoints,
      {fault_kind::crash, fault_kind::close_streams, fault_kind::refuse},
      options.span);
}

/// Adds faults beside orders that evacuate a zone and put it back. Suspensions
/// last long enough for an operator to give up an order, repeat it elsewhere
/// and send the opposite one.
void add_evacuation_faults(fault_generator& generator, std::vector<fault>& out,
                           const schedule_options& options) {
  generator.add_sequence(out, options.control_nodes, {fault_kind::freeze},
                         options.span, min_long_outage, max_long_outage);
  // Overlapping faults leave no majority, and no order is carried out.
  generator.add_sequence(out, options.control_nodes,
                         {fault_kind::kill, fault_kind::freeze,
                          fault_kind::stop, fault_kind::reload},
                         options.span / 3);
  for (const std::string& it : options.entries) {
    generator.add_sequence(out, {it},
                           {fault_kind::kill, fault_kind::freeze,
                            fault_kind::stop, fault_kind::reload},
                           options.span);
  }
}

/// Returns those of `all` that are part of the schedule, ordered.
std::vector<fault> select(std::vector<fault> all,
                          const schedule_options& options) {
  std::erase_if(all, [&options](const fault& it) {
    const bool left_out = !options.only.empty() &&
                          std::find(options.only.begin(), options.only.end(),
                                    it.kind) == options.only.end();
    return left_out || it.begin >= options.span;
  });
  std::stable_sort(all.begin(), all.end(), [](const fault& a, const fault& b) {
    return a.begin < b.begin;
  });
  return all;
}

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
      return "reload";
    case fault_kind::refuse:
      return "refuse";
    case fault_kind::overload:
      return "overload";
    case fault_kind::fail:
      return "fail";
    case fault_kind::hang:
      return "hang";
    case fault_kind::pause:
      return "pause";
    case fault_kind::close_streams:
      return "close-streams";
    case fault_kind::silence_streams:
      return "silence-streams";
    case fault_kind::partition:
      return "partition";
    case fault_kind::reset_partition:
      return "reset-partition";
    case fault_kind::limit:
      return "limit";
    case fault_kind::crash:
      return "crash";
    case fault_kind::undelimited:
      break;
  }
  return "undelimited";
}

std::optional<fault_kind> parse_fault_kind(const std::string& text) {
  for (int n = 0; n <= static_cast<int>(last_fault_kind); ++n) {
    const fault_kind it = static_cast<fault_kind>(n);
    if (to_string(it) == text) return it;
  }
  return std::nullopt;
}

std::vector<fault> make_schedule(std::uint64_t seed,
                                 const schedule_options& options) {
  fault_generator generator(seed);
  std::vector<fault> out;
  if (options.evacuations) {
    add_evacuation_faults(generator, out, options);
    return select(std::move(out), options);
  }
  if (options.crashes) {
    add_crash_faults(generator, out, options);
    return select(std::move(out), options);
  }
  const std::vector<fault_kind> control_kinds{
      fault_kind::kill, fault_kind::freeze, fault_kind::stop, fault_kind::wipe,
      fault_kind::reload};
  generator.add_sequence(out, options.control_nodes, control_kinds,
                         options.span);
  if (options.limits) {
    add_limit_faults(generator, out, options);
    return select(std::move(out), options);
  }
  const std::vector<fault_kind> entry_kinds{
      fault_kind::kill, fault_kind::freeze, fault_kind::stop,
      fault_kind::reload};
  for (const std::string& it : options.entries) {
    generator.add_sequence(out, {it}, entry_kinds, options.span);
  }
  // Half of the seeds only have rejections, which cause the most repeats: after
  // other faults, gateways stop using the endpoint.
  const bool rejections_only = generator.pick<int>({0, 1}) == 1;
  const std::vector<fault_kind> endpoint_kinds =
      rejections_only
          ? std::vector<fault_kind>{fault_kind::refuse, fault_kind::overload}
          : std::vector<fault_kind>{
                fault_kind::refuse,         fault_kind::overload,
                fault_kind::fail,           fault_kind::hang,
                fault_kind::pause,          fault_kind::close_streams,
                fault_kind::silence_streams};
  for (const std::string& it : options.endpoints) {
    generator.add_sequence(out, {it}, endpoint_kinds, options.span);
  }
  generator.add_common_series(
      out, options.endpoints, endpoint_kinds, options.span,
      rejections_only ? max_rejection_time : max_outage);
  generator.add_common_series(out, options.entries, {fault_kind::freeze},
                              options.span, max_outage);
  if (!rejections_only) {
    for (const std::string& it : options.endpoints) {
      generator.add_sequence(out, {it}, {fault_kind::undelimited},
                             options.span);
    }
    for (const std::string& it : options.entries) {
      generator.add_sequence(
          out, {it}, {fault_kind::partition, fault_kind::reset_partition},
          options.span);
    }
  }
  return select(std::move(out), options);
}

}  // namespace trestlepost::soak
