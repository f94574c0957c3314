#include "burst_load.h"

#include <algorithm>
#include <string>

#include "memory_checks.h"
#include "request_burst.h"

namespace trestlepost::soak {
namespace {

using std::chrono::milliseconds;

using platform::test::kilobyte;
using platform::test::megabyte;

// A burst has bodies of one of these sizes and up to so many bytes in all.
constexpr std::size_t body_sizes[] = {64 * kilobyte, 300 * kilobyte, megabyte,
                                      4000 * kilobyte};
constexpr std::size_t max_burst_bytes = 160 * megabyte;
constexpr int max_requests = 1200;
constexpr std::size_t withheld_bytes = 500;
constexpr milliseconds caller_patience{3000};
constexpr milliseconds pause_between{300};

}  // namespace

burst_load::burst_load(platform::test::deployment& target, std::uint64_t seed)
    : target_(target), random_(seed), thread_([this] {
        while (!stopping_) {
          send_one();
          std::this_thread::sleep_for(pause_between);
        }
      }) {}

void burst_load::stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void burst_load::send_one() {
  const std::vector<std::string> gateways = target_.gateways();
  const std::size_t body_bytes = body_sizes[random_() % std::size(body_sizes)];
  const int most = std::min<int>(
      max_requests, static_cast<int>(max_burst_bytes / body_bytes));
  platform::test::burst_options burst;
  burst.address =
      target_.callers_address(gateways[random_() % gateways.size()]);
  burst.target = "/get/burst";
  burst.requests =
      1 + static_cast<int>(random_() % static_cast<unsigned>(most));
  burst.withheld_bytes = random_() % 4 == 0 ? withheld_bytes : 0;
  burst.timeout = caller_patience;
  burst.id_prefix = "burst-" + std::to_string(random_()) + "-";
  burst.body = [body_bytes](int) { return std::string(body_bytes, 'x'); };
  for (int n = 0; n < burst.requests; ++n) {
    target_.record_request(burst.target);
  }
  platform::test::send_burst(burst);
}

int check_memory(platform::test::deployment& target,
                 violation_list& violations) {
  std::size_t most = 0;
  std::vector<std::string> nodes = target.gateways();
  nodes.insert(nodes.end(), {"control-n1", "control-s1", "control-n2"});
  for (const std::string& node : nodes) {
    const std::size_t peak = target.process_of(node).peak_resident_bytes();
    most = std::max(most, peak);
    const bool exceeds = peak > platform::test::limit_of(0);
    if (!exceeds || !platform::test::measures_memory()) continue;
    violations.push_back(node + " has used " + std::to_string(peak / megabyte) +
                         " MB of memory");
  }
  return static_cast<int>(most / megabyte);
}

}  // namespace trestlepost::soak
