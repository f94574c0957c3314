// Admission of requests through a fair queue per service.
#include "trestlepost/gateway/admission.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <utility>

#include "trestlepost/gateway/work_at_stop.h"

namespace trestlepost::gateway {
namespace {

using membership::endpoint_view;
using std::chrono::milliseconds;
using transport::awaitable;

// Weight of the newest duration in the moving average.
constexpr double duration_ewma_weight = 0.05;
// Fraction of the mean duration that must remain before the deadline when a
// request leaves the queue.
constexpr double min_duration_fraction = 0.8;
constexpr milliseconds max_wait_estimate{600'000};

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
struct admission::waiter {
  explicit waiter(transport::asio::io_context& io) : wake(io) {
    wake.expires_at(monotonic_time::max());
  }
  transport::timer wake;
  std::uint64_t affinity = 0;
  std::set<std::string> avoid;
  monotonic_time deadline;
  std::optional<endpoint_lease> lease;
  std::optional<attempt> refusal;
};

admission::service_queue& admission::queue_of(const std::string& service) {
  return queues_.try_emplace(service, context_.options.queue_capacity)
      .first->second;
}

unsigned admission::gateway_count() const {
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
  return total / gateway_count();
}

milliseconds admission::expected_wait(const std::string& service) const {
  const auto found = queues_.find(service);
  if (found == queues_.end() || found->second.queue.size() == 0) {
    return milliseconds(0);
  }
  const double capacity = capacity_of(service);
  if (capacity <= 0) return max_wait_estimate;
  const double seconds = static_cast<double>(found->second.queue.size()) *
                         found->second.mean_duration.count() / capacity;
  return std::min(max_wait_estimate,
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
  queue.mean_duration = queue.mean_duration * (1 - duration_ewma_weight) +
                        seconds * duration_ewma_weight;
}

std::optional<endpoint_view> admission::choose(
    const std::string& service, std::uint64_t affinity,
    const std::set<std::string>& avoid) const {
  const routing::endpoint_request criteria{affinity, avoid, gateway_count()};
  return routing::choose_endpoint(
      context_.endpoints.views(service, context_.clock.now()), criteria,
      context_.random);
}

endpoint_lease admission::make_lease(const std::string& service,
                                     const endpoint_view& chosen) {
  context_.endpoints.request_started(chosen.name);
  const std::string name = chosen.name;
  return {[this, service, name] {
            context_.endpoints.request_ended(name);
            dispatch_queued(service);
          },
          name, chosen.address};
}

attempt admission::overload_refusal(milliseconds wait) const {
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

void admission::complete_waiter(service_queue& queue, std::uint64_t id,
                                attempt outcome) {
  const auto it = queue.waiters.find(id);
  if (it == queue.waiters.end()) return;
  it->second->refusal = std::move(outcome);
  it->second->wake.cancel();
  queue.waiters.erase(it);
}

void admission::refuse_at_stop(const std::string& service,
                               service_queue& queue) {
  if (may_begin(context_, service, monotonic_time::max())) return;
  std::vector<std::uint64_t> refused;
  for (const auto& [id, it] : queue.waiters) {
    if (it->deadline > context_.stop.ends_at()) refused.push_back(id);
  }
  for (const std::uint64_t id : refused) {
    queue.queue.remove(id);
    complete_waiter(queue, id, stopping_refusal());
  }
}

void admission::dispatch_queued(const std::string& service) {
  service_queue& queue = queue_of(service);
  const monotonic_time now = context_.clock.now();
  for (const std::uint64_t id : queue.queue.remove_expired(now)) {
    complete_waiter(
        queue, id,
        failed_attempt(run_state::no,
                       {error_kind::deadline,
                        "the deadline passed while the request was queued",
                        "send it again with a later deadline"},
                       std::chrono::seconds(1)));
  }
  refuse_at_stop(service, queue);
  while (queue.queue.size() > 0) {
    // Whether any endpoint has capacity does not depend on the next request.
    if (!choose(service, 0, {})) break;
    const std::optional<std::uint64_t> id = queue.queue.pop();
    const auto it = queue.waiters.find(*id);
    if (it == queue.waiters.end()) continue;
    const std::shared_ptr<waiter> next = it->second;
    const std::optional<endpoint_view> chosen =
        choose(service, next->affinity, next->avoid);
    queue.waiters.erase(it);
    next->lease.emplace(make_lease(service, *chosen));
    next->wake.cancel();
  }
  context_.metrics.queue_length(service, queue.queue.size());
}

void admission::dispatch_all() {
  for (auto& [service, it] : queues_) {
    if (it.queue.size() > 0) dispatch_queued(service);
  }
}

awaitable<tl::expected<endpoint_lease, attempt>> admission::admit(
    const incoming_request& request, std::set<std::string> avoid,
    transport::http_exchange& exchange) {
  const std::string& service = request.service->name;
  if (!may_begin(context_, service, request.deadline))
    co_return tl::make_unexpected(stopping_refusal());
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
  const std::chrono::nanoseconds min_duration =
      std::chrono::duration_cast<std::chrono::nanoseconds>(
          queue.mean_duration * min_duration_fraction);
  const monotonic_time latest =
      context_.stop.bound(request.deadline) - min_duration;
  if (context_.clock.now() + wait >= latest) {
    co_return tl::make_unexpected(overload_refusal(wait));
  }
  const std::uint64_t id = next_id_++;
  std::shared_ptr<waiter> pending = std::make_shared<waiter>(context_.io);
  pending->affinity = request.affinity;
  pending->deadline = request.deadline;
  pending->avoid = std::move(avoid);
  queue.waiters[id] = pending;
  const std::optional<std::uint64_t> evicted =
      queue.queue.push({id, request.caller->name, request.caller->share,
                        request.priority, latest});
  if (evicted) complete_waiter(queue, *evicted, overload_refusal(wait));
  exchange.on_disconnect([this, service, id] {
    service_queue& abandoned = queue_of(service);
    abandoned.queue.remove(id);
    complete_waiter(
        abandoned, id,
        failed_attempt(run_state::no,
                       {error_kind::bad_input, "the caller disconnected", ""}));
  });
  context_.metrics.queue_length(service, queue.queue.size());
  while (!pending->lease && !pending->refusal) {
    boost::system::error_code ec;
    co_await pending->wake.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  exchange.on_disconnect(nullptr);
  if (pending->refusal) co_return tl::make_unexpected(*pending->refusal);
  co_return std::move(*pending->lease);
}

membership::service_load admission::load_of(const std::string& service) const {
  membership::service_load out;
  const std::vector<endpoint_view> views =
      context_.endpoints.views(service, context_.clock.now());
  for (const endpoint_view& it : views) {
    out.in_flight += it.own_in_flight;
    out.endpoints += it.usable ? 1 : 0;
  }
  out.free_slots = routing::free_slots(views, gateway_count());
  const auto found = queues_.find(service);
  if (found != queues_.end()) {
    out.queued = static_cast<std::uint32_t>(found->second.queue.size());
  }
  out.wait = expected_wait(service);
  return out;
}

}  // namespace trestlepost::gateway
