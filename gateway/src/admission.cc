#include "trestlepost/gateway/admission.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <utility>

namespace trestlepost::gateway {
namespace {

using membership::endpoint_view;
using std::chrono::milliseconds;
using transport::awaitable;

// Weight of the newest duration in the moving average.
constexpr double newest_weight = 0.05;
// Fraction of the mean duration that must remain before the deadline when a
// request leaves the queue.
constexpr double share_that_must_fit = 0.8;
constexpr milliseconds longest_estimate{600'000};

error unavailable_error(const std::string& service, const std::string& region) {
  return {error_kind::unavailable,
          "no endpoint of " + service + " in " + region + " accepts requests",
          "send it again after Retry-After; `trestlepost status` shows the "
          "endpoints"};
}

}  // namespace

endpoint_lease::endpoint_lease(std::function<void()> release, std::string name,
                               std::string address)
    : release_(std::move(release)),
      name_(std::move(name)),
      address_(std::move(address)) {}

endpoint_lease::endpoint_lease(endpoint_lease&& other) noexcept
    : release_(std::exchange(other.release_, nullptr)),
      name_(std::move(other.name_)),
      address_(std::move(other.address_)) {}

endpoint_lease::~endpoint_lease() {
  if (release_) release_();
}

/// A queued request.
struct admission::slot {
  explicit slot(transport::asio::io_context& io) : wake(io) {
    wake.expires_at(monotonic_time::max());
  }
  transport::timer wake;
  std::uint64_t affinity = 0;
  std::set<std::string> avoid;
  std::optional<endpoint_lease> lease;
  std::optional<attempt> refusal;
};

admission::service_queue& admission::queue_of(const std::string& service) {
  return queues_.try_emplace(service, context_.options.queue_capacity)
      .first->second;
}

unsigned admission::gateways() const {
  unsigned n = 0;
  const monotonic_time now = context_.clock.now();
  for (const membership::node_record* it :
       context_.nodes.live_in(context_.self.region, now)) {
    if (it->last.state == membership::node_states::ready ||
        it->last.state == membership::node_states::isolated) {
      ++n;
    }
  }
  return std::max(1U, n);
}

double admission::capacity_of(const std::string& service) const {
  double total = 0;
  for (const endpoint_view& it :
       context_.endpoints.views(service, context_.clock.now())) {
    if (it.usable) total += it.limit;
  }
  return total / gateways();
}

milliseconds admission::expected_wait(const std::string& service) const {
  const auto found = queues_.find(service);
  if (found == queues_.end() || found->second.queue.size() == 0) {
    return milliseconds(0);
  }
  const double capacity = capacity_of(service);
  if (capacity <= 0) return longest_estimate;
  const double seconds = static_cast<double>(found->second.queue.size()) *
                         found->second.mean_duration.count() / capacity;
  return std::min(longest_estimate,
                  milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

void admission::observe_duration(const std::string& service,
                                 std::chrono::nanoseconds duration) {
  service_queue& queue = queue_of(service);
  const std::chrono::duration<double> seconds = duration;
  if (queue.mean_duration.count() == 0) {
    queue.mean_duration = seconds;
    return;
  }
  queue.mean_duration =
      queue.mean_duration * (1 - newest_weight) + seconds * newest_weight;
}

std::optional<endpoint_view> admission::choose(
    const std::string& service, std::uint64_t affinity,
    const std::set<std::string>& avoid) const {
  const routing::endpoint_request asked{affinity, avoid, gateways()};
  return routing::choose_endpoint(
      context_.endpoints.views(service, context_.clock.now()), asked,
      context_.random);
}

endpoint_lease admission::make_lease(const std::string& service,
                                     const endpoint_view& chosen) {
  context_.endpoints.request_started(chosen.name);
  const std::string name = chosen.name;
  return {[this, service, name] {
            context_.endpoints.request_ended(name);
            pump(service);
          },
          name, chosen.address};
}

attempt admission::overload(milliseconds wait) const {
  // The jitter keeps callers refused at the same time from returning at the
  // same time.
  const std::int64_t seconds = 1 + wait.count() / 1000;
  const std::uint64_t jitter =
      context_.random.below(static_cast<std::uint64_t>(seconds) + 1);
  return failed_attempt(
      run_state::no,
      {error_kind::overloaded,
       "the queue is longer than the request's deadline allows",
       "send it again after Retry-After, or with a later deadline"},
      std::chrono::seconds(seconds + static_cast<std::int64_t>(jitter)));
}

void admission::end_wait(service_queue& queue, std::uint64_t id,
                         attempt outcome) {
  const auto it = queue.slots.find(id);
  if (it == queue.slots.end()) return;
  it->second->refusal = std::move(outcome);
  it->second->wake.cancel();
  queue.slots.erase(it);
}

void admission::pump(const std::string& service) {
  service_queue& queue = queue_of(service);
  const monotonic_time now = context_.clock.now();
  for (const std::uint64_t id : queue.queue.take_expired(now)) {
    end_wait(queue, id,
             failed_attempt(run_state::no,
                            {error_kind::deadline,
                             "the deadline passed while the request was queued",
                             "send it again with a later deadline"},
                            std::chrono::seconds(1)));
  }
  while (queue.queue.size() > 0) {
    // Whether any endpoint has capacity does not depend on the next request.
    if (!choose(service, 0, {})) break;
    const std::optional<std::uint64_t> id = queue.queue.pop();
    const auto it = queue.slots.find(*id);
    if (it == queue.slots.end()) continue;
    const std::shared_ptr<slot> next = it->second;
    const std::optional<endpoint_view> chosen =
        choose(service, next->affinity, next->avoid);
    queue.slots.erase(it);
    next->lease.emplace(make_lease(service, *chosen));
    next->wake.cancel();
  }
  context_.metrics.queue_length(service, queue.queue.size());
}

void admission::dispatch_all() {
  for (auto& [service, it] : queues_) {
    if (it.queue.size() > 0) pump(service);
  }
}

awaitable<tl::expected<endpoint_lease, attempt>> admission::admit(
    const incoming_request& request, std::set<std::string> avoid,
    transport::http_exchange& exchange) {
  const std::string& service = request.service->name;
  service_queue& queue = queue_of(service);
  if (queue.queue.size() == 0) {
    const std::optional<endpoint_view> chosen =
        choose(service, request.affinity, avoid);
    if (chosen) co_return make_lease(service, *chosen);
  }
  if (capacity_of(service) <= 0) {
    co_return tl::make_unexpected(failed_attempt(
        run_state::no, unavailable_error(service, context_.self.region),
        std::chrono::seconds(2)));
  }
  const milliseconds wait = expected_wait(service);
  const std::chrono::nanoseconds must_fit =
      std::chrono::duration_cast<std::chrono::nanoseconds>(queue.mean_duration *
                                                           share_that_must_fit);
  const monotonic_time latest = request.deadline - must_fit;
  if (context_.clock.now() + wait >= latest) {
    co_return tl::make_unexpected(overload(wait));
  }
  const std::uint64_t id = next_id_++;
  std::shared_ptr<slot> own = std::make_shared<slot>(context_.io);
  own->affinity = request.affinity;
  own->avoid = std::move(avoid);
  queue.slots[id] = own;
  const std::optional<std::uint64_t> pushed_out =
      queue.queue.push({id, request.caller->name, request.caller->share,
                        request.priority, latest});
  if (pushed_out) end_wait(queue, *pushed_out, overload(wait));
  exchange.on_gone([this, service, id] {
    service_queue& left = queue_of(service);
    left.queue.remove(id);
    end_wait(left, id,
             failed_attempt(run_state::no, {error_kind::bad_input,
                                            "the caller disconnected", ""}));
  });
  context_.metrics.queue_length(service, queue.queue.size());
  while (!own->lease && !own->refusal) {
    boost::system::error_code ec;
    co_await own->wake.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  exchange.on_gone(nullptr);
  if (own->refusal) co_return tl::make_unexpected(*own->refusal);
  co_return std::move(*own->lease);
}

membership::service_load admission::load_of(const std::string& service) const {
  membership::service_load out;
  const std::vector<endpoint_view> views =
      context_.endpoints.views(service, context_.clock.now());
  for (const endpoint_view& it : views) {
    out.in_flight += it.own_in_flight;
    out.endpoints += it.usable ? 1 : 0;
  }
  out.free_slots = routing::free_slots(views, gateways());
  const auto found = queues_.find(service);
  if (found != queues_.end()) {
    out.queued = static_cast<std::uint32_t>(found->second.queue.size());
  }
  out.wait = expected_wait(service);
  return out;
}

}  // namespace trestlepost::gateway
