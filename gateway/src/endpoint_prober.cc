#include "trestlepost/gateway/endpoint_prober.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "trestlepost/base/log.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::connect_outcome;

constexpr milliseconds probe_interval{400};
constexpr milliseconds probe_timeout{1000};
constexpr std::size_t max_report_bytes = 64UL * 1024;

}  // namespace

void endpoint_prober::tick() {
  const std::set<std::string> unreachable =
      context_.endpoints.unreachable_services();
  for (const std::string& it : unreachable) {
    if (probes_.contains(it)) continue;
    probes_[it].next_at = context_.clock.now();
    log_event(log_level::warn, "endpoints-unreachable", {{"service", it}});
  }
  for (auto it = probes_.begin(); it != probes_.end();) {
    if (it->second.in_progress) {
      ++it;
    } else if (!unreachable.contains(it->first)) {
      log_event(log_level::info, "endpoints-reachable",
                {{"service", it->first},
                 {"probes", std::to_string(it->second.count)}});
      it = probes_.erase(it);
    } else {
      start_probe(it->first, it->second);
      ++it;
    }
  }
}

void endpoint_prober::start_probe(const std::string& service,
                                  service_probes& probes) {
  const monotonic_time now = context_.clock.now();
  if (now < probes.next_at) return;
  std::vector<membership::endpoint_view> candidates =
      context_.endpoints.views(service, now);
  std::erase_if(candidates, [](const membership::endpoint_view& it) {
    return it.state == membership::endpoint_states::leaving;
  });
  if (candidates.empty()) return;
  probes.next_at = now + probe_interval;
  probes.in_progress = true;
  membership::endpoint_view chosen =
      std::move(candidates[probes.count++ % candidates.size()]);
  std::string name = service;
  transport::asio::co_spawn(context_.io,
                            probe(std::move(name), std::move(chosen)),
                            transport::asio::detached);
}

transport::awaitable<void> endpoint_prober::probe(
    std::string service, membership::endpoint_view endpoint) {
  const bool answered = co_await answers(endpoint.address);
  probes_[service].in_progress = false;
  const monotonic_time now = context_.clock.now();
  if (answered) {
    context_.endpoints.endpoint_reached(endpoint.name, now);
  } else {
    context_.endpoints.endpoint_unreached(endpoint.name, now);
  }
}

transport::awaitable<bool> endpoint_prober::answers(std::string address) {
  // A new connection: earlier ones may work while no new ones open.
  const connect_outcome outcome = co_await context_.client.try_connect(address);
  if (outcome != connect_outcome::opened) co_return false;
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(address);
  transport::http_request request = codec_.probe_request();
  const monotonic_time answer_by = context_.clock.now() + probe_timeout;
  const tl::expected<void, transport::call_failure> sent =
      co_await call->send(std::move(request), answer_by);
  if (!sent) co_return false;
  const result<std::string> body = co_await call->read_rest(max_report_bytes);
  co_return body.has_value();
}

}  // namespace trestlepost::gateway
