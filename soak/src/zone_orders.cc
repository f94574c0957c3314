#include "zone_orders.h"

#include <algorithm>

#include "contact.h"
#include "trestlepost/base/clock.h"

namespace trestlepost::soak {
namespace {

using platform::test::raw_order;
using std::chrono::milliseconds;
using std::chrono::system_clock;
using transport::awaitable;

constexpr char zone[] = "n-a";
constexpr milliseconds order_timeout{1000};
constexpr milliseconds retry_pause{50};
constexpr milliseconds max_short_pause{300};
// Suspended nodes resume within it, and carry out no order that was given up.
constexpr milliseconds watching_pause{3600};
// Longer than the time in which gateways must obey.
constexpr milliseconds long_pause{6500};
constexpr std::uint64_t long_pause_interval = 16;  // one in so many
constexpr std::uint64_t left_order_interval = 3;   // one in so many attempts
// Attempts at an order when no more faults occur.
constexpr int max_final_attempts = 100;
constexpr unsigned max_records = 4000;

}  // namespace

awaitable<void> zone_orders::run(transport::asio::io_context& io,
                                 transport::http_client& client) {
  bool evacuated = false;
  while (!finishing_ || !evacuated) {
    evacuated = !evacuated;
    co_await send(evacuated, io, client);
    const system_clock::time_point end = system_clock::now() + next_pause();
    while (!finishing_ && system_clock::now() < end) {
      co_await transport::sleep_for(io, retry_pause);
    }
  }
  finished_ = true;
}

milliseconds zone_orders::next_pause() {
  if (random_below(long_pause_interval) == 0) return long_pause;
  if (random_below(2) == 0) return watching_pause;
  return milliseconds(
      random_below(static_cast<std::uint64_t>(max_short_pause.count())));
}

awaitable<void> zone_orders::send(bool evacuated,
                                  transport::asio::io_context& io,
                                  transport::http_client& client) {
  record_.record_sent(evacuated, system_clock::now());
  std::uint64_t node = random_below(control_nodes_.size());
  int final_attempts = 0;
  while (final_attempts < max_final_attempts) {
    if (finishing_) ++final_attempts;
    bench::caller_request order =
        deployment_.evacuation_request(control_nodes_[node], zone, evacuated);
    order.timeout = order_timeout;
    node = (node + 1) % control_nodes_.size();
    if (random_below(left_order_interval) == 0) {
      send_and_leave(order);
      co_await transport::sleep_for(io, order_timeout);
      continue;
    }
    const bench::caller_answer answer = co_await bench::send(client, order);
    if (answer.complete && answer.status == 200) {
      record_.record_acknowledged(system_clock::now());
      co_return;
    }
    co_await transport::sleep_for(io, retry_pause);
  }
  violations_.push_back("no control node acknowledges an order for the zone");
}

void zone_orders::send_and_leave(const bench::caller_request& order) {
  try {
    left_.push_back(std::make_unique<raw_order>(order));
    left_.back()->finish();
  } catch (const boost::system::system_error&) {
    // The node is not running; the order goes to the next one.
  }
}

std::vector<zone_change> zone_orders::read_changes(soak_result& out) const {
  json filter;
  filter["kind"] = "availability_zone";
  filter["name"] = zone;
  filter["limit"] = max_records;
  const result<json> audit =
      deployment_.call_and_wait(control_nodes_.front(), "audit", filter);
  std::vector<zone_change> changes;
  if (!audit) {
    out.violations.push_back("the audit trail can't be read: " +
                             audit.error().message);
    return changes;
  }
  for (const json& it : member_of(*audit, "records")) {
    const std::int64_t at = static_cast<std::int64_t>(number_of(it, "at_ms"));
    const json& zones = member_of(it, "objects");
    const bool evacuated = text_of(zones[0], "after") == "evacuated";
    changes.push_back({from_unix_ms(at), evacuated});
  }
  return changes;
}

void zone_orders::check(const std::vector<fault>& schedule,
                        system_clock::time_point start, soak_result& out) {
  const std::vector<zone_change> changes = read_changes(out);
  record_.check_changes(changes);
  std::vector<zone_arrival> arrivals;
  for (const platform::test::request_arrival& it :
       deployment_.gateway_arrivals(zone)) {
    arrivals.push_back({it.at, it.gateway});
  }
  const auto since_start = [start](const zone_arrival& it) {
    return std::chrono::duration_cast<milliseconds>(it.at - start);
  };
  record_.check_arrivals(
      arrivals,
      [&](const zone_arrival& it) {
        return is_in_touch(deployment_, schedule, it.gateway, since_start(it));
      },
      [&](const zone_arrival& it) {
        return is_calm(deployment_, schedule, it.gateway, since_start(it));
      });
  out.evacuation_orders = record_.acknowledgements();
  out.zone_changes = static_cast<int>(changes.size());
  out.late_zone_arrivals = record_.late_arrivals();
}

}  // namespace trestlepost::soak
