#include "part_check.h"

#include <algorithm>
#include <map>

#include "contact.h"
#include "prompts.h"

namespace trestlepost::soak {
namespace {

using platform::test::deployment;
using platform::test::part_arrival;
using platform::test::set_prompt;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t crashes_known = 5;
constexpr int max_late_sends = 3;
// One in so many requests has a lethal part.
constexpr std::uint64_t lethal_interval = 60;
constexpr std::uint64_t first_parts = 3;
constexpr std::uint64_t middle_parts = 20;
const std::vector<std::string> lethal_parts{"dead1", "dead2"};

std::string first_part(std::uint64_t n) {
  return "f" + std::to_string(n);
}

std::string middle_part(std::uint64_t n) {
  return "e" + std::to_string(100 + n);
}

void check_sends(const deployment& target, const std::vector<fault>& schedule,
                 steady_clock::time_point start,
                 const std::vector<part_arrival>& arrivals, soak_result& out) {
  for (const std::string& part : lethal_parts) {
    std::vector<steady_clock::time_point> crashes;
    std::map<std::string, steady_clock::time_point> last_crash;  // by endpoint
    int late = 0;
    for (const part_arrival& it : arrivals) {
      if (it.part != part) continue;
      ++out.part_sends;
      const bool known = crashes.size() >= crashes_known &&
                         it.at >= crashes[crashes_known - 1] + contact_time;
      const milliseconds at =
          std::chrono::duration_cast<milliseconds>(it.at - start);
      if (known && is_in_touch(target, schedule, it.gateway, at)) ++late;
      // Requests at an endpoint that is about to crash cause no further crash.
      const auto known_crash = last_crash.find(it.endpoint);
      const bool crashes_it =
          known_crash == last_crash.end() ||
          it.at >= known_crash->second + platform::test::crash_downtime;
      if (!crashes_it) continue;
      last_crash[it.endpoint] = it.at;
      crashes.push_back(it.at);
    }
    out.late_part_sends = std::max(out.late_part_sends, late);
    if (late > max_late_sends) {
      out.violations.push_back(std::to_string(late) +
                               " late sends of requests with the part " + part);
    }
  }
}

/// Sends a request with each sound part to each gateway.
void check_sound_parts(deployment& target, soak_result& out) {
  int n = 0;
  for (const std::string& gateway : target.gateways()) {
    for (std::uint64_t i = 0; i < middle_parts; ++i) {
      const std::string id = "sound-" + std::to_string(n++);
      const auto send = [&] {
        bench::caller_request request =
            target.caller_request(gateway, "GET", "/get/" + id, id);
        set_prompt(request, {first_part(i % first_parts), middle_part(i), id});
        return bench::send_and_wait(request);
      };
      const bench::caller_answer answer = send();
      if (answer.body.find("request-held") == std::string::npos) continue;
      out.violations.push_back("a request with sound parts is held: " +
                               answer.body);
      return;
    }
  }
}

}  // namespace

void begin_crashes(deployment& target) {
  target.set_crash_parts({lethal_parts.begin(), lethal_parts.end()});
}

bool add_prompt(bench::caller_request& out, std::uint64_t number,
                std::mt19937_64& random) {
  const auto below = [&random](std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(random);
  };
  std::vector<std::string> parts{first_part(below(first_parts)),
                                 middle_part(below(middle_parts))};
  const bool lethal = below(lethal_interval) == 0;
  if (lethal) {
    const std::size_t place = below(parts.size() + 1);
    parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(place),
                 lethal_parts[below(lethal_parts.size())]);
    out.target += "-" + std::to_string(number);
  }
  parts.push_back("a" + std::to_string(number));
  set_prompt(out, parts);
  return lethal;
}

void check_parts(deployment& target, const std::vector<fault>& schedule,
                 steady_clock::time_point start, soak_result& out) {
  check_sends(target, schedule, start, target.part_arrivals(), out);
  out.crashes = target.crashes();
  check_sound_parts(target, out);
}

}  // namespace trestlepost::soak
