#include "listing_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using surface::listed_endpoint;
using transport::awaitable;

constexpr milliseconds read_timeout{1000};
constexpr std::size_t largest_page = 4UL * 1024 * 1024;
constexpr unsigned ok_status = 200;
// A gateway that was told nothing for so many intervals reads for itself.
constexpr int silent_intervals = 3;
// Pages of one list; more of them mean a list that never ends.
constexpr int most_pages = 1000;

json to_json(const listed_endpoint& value) {
  json out;
  out["id"] = value.id;
  out["service"] = value.service;
  out["address"] = value.address;
  out["zone"] = value.availability_zone;
  out["slots"] = value.slots;
  if (value.leaving) out["leaving"] = true;
  if (value.ends_in) out["ends_in_ms"] = as_number(*value.ends_in);
  if (value.cold_left.count() > 0) {
    out["cold_ms"] = as_number(value.cold_left);
  }
  return out;
}

listed_endpoint listed_endpoint_from(const json& value) {
  listed_endpoint out;
  out.id = text_of(value, "id");
  out.service = text_of(value, "service");
  out.address = text_of(value, "address");
  out.availability_zone = text_of(value, "zone");
  out.slots = static_cast<unsigned>(number_of(value, "slots"));
  out.leaving = flag_of(value, "leaving");
  if (!member_of(value, "ends_in_ms").isNull()) {
    out.ends_in = milliseconds(number_of(value, "ends_in_ms"));
  }
  out.cold_left = milliseconds(number_of(value, "cold_ms"));
  return out;
}

}  // namespace

void listing_service::start() {
  context_.peers.add_notification(
      "endpoints.listed",
      [this](const json& params, const transport::rpc_context&) {
        std::vector<listed_endpoint> all;
        for (const json& it : member_of(params, "endpoints")) {
          all.push_back(listed_endpoint_from(it));
        }
        heard_at_ = context_.clock.now();
        if (on_listed) on_listed(all);
      });
}

bool listing_service::is_reader() const {
  const std::string& region = context_.self.region;
  const std::uint64_t own = rendezvous_score(region, context_.self.name);
  for (const membership::node_record* it :
       context_.nodes.other_gateways(context_.self, context_.clock.now())) {
    if (rendezvous_score(region, it->last.node.name) > own) return false;
  }
  return true;
}

void listing_service::tick() {
  const monotonic_time now = context_.clock.now();
  if (reading_ || now < next_read_) return;
  const milliseconds interval = context_.options.timing.platform_poll_interval;
  const bool told = now < heard_at_ + silent_intervals * interval;
  if (!is_reader() && told) return;
  next_read_ = now + interval;
  reading_ = true;
  boost::asio::co_spawn(context_.io, read_all(), boost::asio::detached);
}

awaitable<result<surface::endpoint_page>> listing_service::read_page(
    std::string token) {
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(context_.options.platform_address);
  transport::http_request request = directory_->page_request(token);
  const tl::expected<void, transport::call_failure> sent = co_await call->send(
      std::move(request), context_.clock.now() + read_timeout);
  if (!sent) co_return tl::make_unexpected(sent.error().cause);
  const result<std::string> body = co_await call->read_rest(largest_page);
  if (!body) co_return tl::make_unexpected(body.error());
  if (call->status() == ok_status) co_return directory_->read_page(*body);
  co_return fail(error_kind::unavailable,
                 "the platform answered " + std::to_string(call->status()),
                 "read less often: raise platform.poll_interval");
}

awaitable<void> listing_service::read_all() {
  std::vector<listed_endpoint> all;
  std::string token;
  bool whole = false;
  for (int n = 0; n < most_pages && !whole; ++n) {
    result<surface::endpoint_page> page = co_await read_page(token);
    if (!page) {
      if (!lost_) {
        log_event(log_level::warn, "platform-list-lost",
                  {{"detail", page.error().message}});
      }
      lost_ = true;
      break;
    }
    for (listed_endpoint& it : page->endpoints) all.push_back(std::move(it));
    token = page->next;
    whole = token.empty();
  }
  reading_ = false;
  if (!whole) co_return;
  if (lost_) log_event(log_level::info, "platform-list-back");
  lost_ = false;
  heard_at_ = context_.clock.now();
  if (on_listed) on_listed(all);
  tell_others(all);
}

void listing_service::tell_others(const std::vector<listed_endpoint>& all) {
  json params;
  json& endpoints = params["endpoints"] = json(Json::arrayValue);
  for (const listed_endpoint& it : all) {
    endpoints.append(to_json(it));
  }
  for (const membership::node_record* it :
       context_.nodes.other_gateways(context_.self, context_.clock.now())) {
    context_.links.send(it->last.node.peer_address, "endpoints.listed", params);
  }
}

}  // namespace trestlepost::node
