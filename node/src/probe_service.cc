#include "probe_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using transport::awaitable;

constexpr std::chrono::milliseconds probe_timeout{1000};
constexpr std::size_t max_report_bytes = 1024UL * 1024;
constexpr std::size_t probers_per_endpoint = 2;
constexpr unsigned ok_status = 200;

}  // namespace

bool probe_service::is_prober_of(const std::string& endpoint) const {
  const std::vector<const membership::node_record*> live =
      context_.nodes.live_in(context_.self.region, context_.clock.now());
  return membership::rendezvous_rank(endpoint, context_.self.name, live) <
         probers_per_endpoint;
}

awaitable<void> probe_service::read_load(std::string endpoint,
                                         std::string address) {
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(address);
  transport::http_request request = own::load_request();
  const tl::expected<void, transport::call_failure> sent = co_await call->send(
      std::move(request), context_.clock.now() + probe_timeout);
  if (!sent) {
    reports_.erase(endpoint);
    if (sent.error().refused) {
      context_.endpoints.connection_refused(endpoint, context_.clock.now());
    }
    co_return;
  }
  const result<std::string> body = co_await call->read_rest(max_report_bytes);
  const result<json> parsed =
      body ? parse_json(*body)
           : result<json>(tl::make_unexpected(body.error()));
  if (!parsed || call->status() != ok_status) co_return;
  const unsigned running = static_cast<unsigned>(number_of(*parsed, "running"));
  const unsigned waiting = static_cast<unsigned>(number_of(*parsed, "waiting"));
  reports_[endpoint] = {running, waiting};
  context_.endpoints.report(endpoint,
                            {running, waiting, context_.clock.now(), 0});
}

awaitable<void> probe_service::read_platform_list() {
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(context_.options.platform_address);
  transport::http_request request = directory_.page_request("", "");
  const tl::expected<void, transport::call_failure> sent = co_await call->send(
      std::move(request), context_.clock.now() + probe_timeout);
  if (!sent) co_return;
  const result<std::string> body = co_await call->read_rest(max_report_bytes);
  if (!body) co_return;
  const result<surface::endpoint_page> page = directory_.read_page(*body);
  if (!page) {
    log_event(log_level::warn, "platform-list-unreadable",
              {{"detail", page.error().message}});
    co_return;
  }
  const monotonic_time now = context_.clock.now();
  for (const surface::listed_endpoint& it : page->endpoints) {
    context_.endpoints.platform_listed(it.address, it.leaving, now);
  }
}

void probe_service::tick() {
  const monotonic_time now = context_.clock.now();
  if (now >= next_load_) {
    next_load_ = now + context_.options.timing.load_poll_interval;
    for (const membership::endpoint_view& it :
         context_.endpoints.all_views(now)) {
      if (!is_prober_of(it.name)) {
        reports_.erase(it.name);
        continue;
      }
      boost::asio::co_spawn(context_.io, read_load(it.name, it.address),
                            boost::asio::detached);
    }
  }
  if (context_.options.platform_address.empty() || now < next_platform_) return;
  next_platform_ = now + context_.options.timing.platform_poll_interval;
  boost::asio::co_spawn(context_.io, read_platform_list(),
                        boost::asio::detached);
}

}  // namespace trestlepost::node
