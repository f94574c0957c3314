#include "endpoint_list_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using surface::listed_endpoint;
using transport::awaitable;

// Timeout for reading one page of the list.
constexpr milliseconds read_timeout{1000};
constexpr std::size_t max_page_bytes = 4UL * 1024 * 1024;
constexpr unsigned ok_status = 200;
// How often a gateway without a list requests it from the reader.
constexpr milliseconds list_request_interval{300};
// How often the reader is determined, which iterates over all gateways of the
// region.
constexpr milliseconds reader_check_interval{100};
// How long a gateway waits for more entries of the leader's node directory: the
// first updates list only the nodes that have polled the leader so far.
constexpr milliseconds directory_settle_time{500};
// How often the full list is read: to compare its number of pages with reads by
// zone, and for the endpoints of other regions, which are needed only as
// possible sources of cached prompt prefixes.
constexpr milliseconds full_read_interval{10'000};
// A list with more pages is treated as endless: the read is aborted.
constexpr int max_pages = 1000;

}  // namespace

endpoint_list_service::endpoint_list_service(
    node_context& context, const surface::endpoint_directory* directory)
    : context_(context),
      directory_(directory),
      publisher_(context.self.name, context.random.identifier()),
      configured_(context.options.timing.platform_list_lag) {}

void endpoint_list_service::start() {
  started_at_ = context_.clock.now();
  list_received_at_ = started_at_;
  context_.peers.add_notification(
      "endpoints.listed",
      [this](const json& params, const transport::rpc_context&) {
        handle_update(params);
      });
  context_.peers.add_notification(
      "endpoints.ask",
      [this](const json& params, const transport::rpc_context&) {
        handle_list_request(params);
      });
}

void endpoint_list_service::handle_update(const json& params) {
  const result<endpoint_list_update> update = endpoint_list_update_from(params);
  if (!update) {
    log_event(log_level::warn, "endpoints-refused",
              {{"detail", update.error().message},
               {"remedy", update.error().remedy}});
    return;
  }
  const monotonic_time now = context_.clock.now();
  if (!copy_.apply(*update, now)) {
    request_list(update->reader);
    return;
  }
  record_reader(update->reader);
  if (on_listed) on_listed(copy_.all(now), copy_.covered_revision());
}

void endpoint_list_service::record_reader(const std::string& reader) {
  const monotonic_time now = context_.clock.now();
  if (reader != last_reader_) {
    const milliseconds silence =
        std::chrono::duration_cast<milliseconds>(now - list_received_at_);
    log_event(
        log_level::info, "list-reader-changed",
        {{"reader", reader}, {"silent_ms", std::to_string(silence.count())}});
  }
  last_reader_ = reader;
  list_received_at_ = now;
  has_list_ = true;
}

void endpoint_list_service::handle_list_request(const json& params) {
  const std::string gateway = text_of(params, "node");
  const std::string address = text_of(params, "reply_to");
  const milliseconds interval = context_.options.timing.platform_poll_interval;
  const bool reads =
      !publisher_.empty() &&
      context_.clock.now() < read_at_ + reader_timeout_intervals * interval;
  if (!reads || gateway.empty() || address.empty()) return;
  publisher_.reset(gateway);
  send_update(gateway, address);
}

void endpoint_list_service::request_list(const std::string& gateway) {
  const std::string address = context_.peer_address(gateway);
  if (address.empty()) return;
  json params;
  params["node"] = context_.self.name;
  params["reply_to"] = context_.self.peer_address;
  context_.links.send(address, "endpoints.ask", params);
}

bool endpoint_list_service::may_be_live(const std::string& gateway) const {
  const monotonic_time now = context_.clock.now();
  if (context_.nodes.find(gateway) != nullptr) {
    return context_.nodes.is_live(gateway, now);
  }
  // The directory lists it, and its first heartbeat may not have arrived yet.
  const milliseconds interval = context_.options.timing.platform_poll_interval;
  return now < started_at_ + reader_timeout_intervals * interval;
}

reader_ranking endpoint_list_service::ranking() const {
  const std::string& region = context_.self.region;
  std::set<std::string> gateways{context_.self.name};
  for (const auto& [name, it] : context_.known_nodes) {
    const bool gateway = it.region == region && !it.forward_address.empty();
    if (gateway) gateways.insert(name);
  }
  for (const membership::node_record* it :
       context_.nodes.other_gateways(context_.self, context_.clock.now())) {
    gateways.insert(it->last.node.name);
  }
  std::erase_if(gateways, [this](const std::string& it) {
    return it != context_.self.name && !may_be_live(it);
  });
  return rank_readers(region, gateways, context_.self.name);
}

bool endpoint_list_service::should_read() {
  const monotonic_time now = context_.clock.now();
  if (now < next_check_) return false;
  next_check_ = now + reader_check_interval;
  const milliseconds interval = context_.options.timing.platform_poll_interval;
  const reader_ranking rank = ranking();
  const milliseconds timeout =
      reader_timeout(has_list_, context_.options.found_at_first_start, interval,
                     rank.own_rank);
  took_over_ = now >= list_received_at_ + timeout;
  if (took_over_) return true;
  // Without the leader's node directory a gateway knows no others, and all of
  // them would read.
  if (context_.known_nodes.empty()) return false;
  if (!directory_received_at_) directory_received_at_ = now;
  if (now < *directory_received_at_ + directory_settle_time) return false;
  if (rank.own_rank == 0) return true;
  if (!has_list_ && now >= next_request_) {
    next_request_ = now + list_request_interval;
    request_list(rank.first);
  }
  return false;
}

bool endpoint_list_service::publishes_list() const {
  // More nodes may be known now than when the read began: at startup many
  // gateways consider themselves the first reader.
  return took_over_ || ranking().own_rank == 0;
}

void endpoint_list_service::track_configuration() {
  const bool configured = configured_.first() > 0;
  configured_.record(context_.store.revision(), context_.clock.now());
  const bool is_first = !configured && configured_.first() > 0;
  if (!is_first || context_.store.ended_evacuations().empty()) return;
  // A list read earlier does not show the state of zones whose evacuation has
  // ended since, and the reader's next update takes up to a second.
  read_forced_ = true;
  next_read_ = context_.clock.now();
}

void endpoint_list_service::tick() {
  track_configuration();
  const monotonic_time now = context_.clock.now();
  if (reading_ || now < next_read_) return;
  if (!read_forced_ && !should_read()) return;
  read_forced_ = false;
  next_read_ = now + context_.options.timing.platform_poll_interval;
  reading_ = true;
  boost::asio::co_spawn(context_.io, read_all(), boost::asio::detached);
}

awaitable<result<surface::endpoint_page>> endpoint_list_service::read_page(
    std::string zone, std::string token) {
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(context_.options.platform_address);
  transport::http_request request = directory_->page_request(zone, token);
  const tl::expected<void, transport::call_failure> sent = co_await call->send(
      std::move(request), context_.clock.now() + read_timeout);
  if (!sent) co_return tl::make_unexpected(sent.error().cause);
  const result<std::string> body = co_await call->read_rest(max_page_bytes);
  if (!body) co_return tl::make_unexpected(body.error());
  if (call->status() == ok_status) co_return directory_->read_page(*body);
  co_return fail(error_kind::unavailable,
                 "the platform answered " + std::to_string(call->status()),
                 "read less often: raise platform.poll_interval");
}

awaitable<bool> endpoint_list_service::read_zone(std::string zone,
                                                 surface::endpoint_page& all) {
  std::string token;
  for (int n = 0; n < max_pages; ++n) {
    result<surface::endpoint_page> page = co_await read_page(zone, token);
    if (!page) {
      if (!last_read_failed_) {
        log_event(log_level::warn, "platform-list-lost",
                  {{"detail", page.error().message}});
      }
      co_return false;
    }
    if (zone.empty()) {
      ++size_.pages;
      size_.page_size = std::max(size_.page_size, page->endpoints.size());
    }
    std::move(page->endpoints.begin(), page->endpoints.end(),
              std::back_inserter(all.endpoints));
    std::move(page->unreadable.begin(), page->unreadable.end(),
              std::back_inserter(all.unreadable));
    token = page->next;
    if (token.empty()) co_return true;
  }
  if (!last_read_failed_) {
    log_event(log_level::warn, "platform-list-lost",
              {{"detail", "the list has more than " +
                              std::to_string(max_pages) + " pages"}});
  }
  co_return false;
}

std::vector<std::string> endpoint_list_service::next_zones() {
  const monotonic_time now = context_.clock.now();
  std::vector<std::string> out = zones_to_read(size_);
  if (now >= next_full_read_) out = {""};
  if (out.front().empty()) {
    next_full_read_ = now + full_read_interval;
    size_ = {};
  }
  return out;
}

void endpoint_list_service::count_zone_entries(
    const std::vector<listed_endpoint>& all) {
  for (const auto& [zone, region] : context_.options.zone_regions) {
    if (region == context_.self.region) size_.own_zones[zone] = 0;
  }
  for (const listed_endpoint& it : all) {
    if (is_in_own_region(it)) ++size_.own_zones[it.availability_zone];
  }
}

awaitable<void> endpoint_list_service::read_all() {
  // The platform's list lags: it reflects only the revisions that have been in
  // force for at least `platform_list_lag`.
  const config::revision_number covered_revision =
      configured_.newest_settled(context_.clock.now());
  // The first configuration after a start was usually decided long before.
  // Waiting until the list reflects it would delay each start by a second.
  const config::revision_number local_covered_revision =
      std::max(covered_revision, configured_.first());
  surface::endpoint_page read;
  const std::vector<std::string> zones = next_zones();
  bool done = true;
  for (std::size_t i = 0; i < zones.size() && done; ++i) {
    std::string zone = zones[i];
    done = co_await read_zone(std::move(zone), read);
  }
  reading_ = false;
  if (!done) {
    next_read_ =
        context_.clock.now() +
        reread_delay(has_list_, context_.options.timing.platform_poll_interval,
                     context_.random);
    last_read_failed_ = true;
    size_ = {};
    co_return;
  }
  if (last_read_failed_) log_event(log_level::info, "platform-list-restored");
  last_read_failed_ = false;
  unreadable_.record(read.unreadable);
  std::vector<listed_endpoint> all = std::move(read.endpoints);
  size_.own_zones.clear();
  count_zone_entries(all);
  if (zones.front().empty()) {
    other_region_endpoints_ = in_other_regions(all);
  } else {
    all.insert(all.end(), other_region_endpoints_.begin(),
               other_region_endpoints_.end());
  }
  record_reader(context_.self.name);
  read_at_ = list_received_at_;
  if (on_listed) on_listed(all, local_covered_revision);
  // Includes endpoints of other regions: cached prompt prefixes may be copied
  // from them.
  publisher_.update(all, covered_revision, context_.clock.now());
  if (publishes_list()) send_updates();
}

bool endpoint_list_service::is_in_own_region(const listed_endpoint& it) const {
  const auto zone = context_.options.zone_regions.find(it.availability_zone);
  return zone != context_.options.zone_regions.end() &&
         zone->second == context_.self.region;
}

std::vector<listed_endpoint> endpoint_list_service::in_other_regions(
    std::vector<listed_endpoint> all) const {
  std::erase_if(
      all, [this](const listed_endpoint& it) { return is_in_own_region(it); });
  return all;
}

transport::encoded_notification endpoint_list_service::encode_update(
    std::uint64_t since) const {
  return transport::encode_notification(
      "endpoints.listed",
      to_json(publisher_.update_since(since, context_.clock.now())));
}

void endpoint_list_service::send_update(const std::string& gateway,
                                        const std::string& address) {
  const std::uint64_t since =
      publisher_.start_update(gateway, context_.clock.now());
  context_.links.send(address, encode_update(since));
}

void endpoint_list_service::send_updates() {
  // Serialized once for all gateways at the same version.
  std::map<std::uint64_t, transport::encoded_notification> updates;
  const monotonic_time now = context_.clock.now();
  for (const membership::node_record* it :
       context_.nodes.other_gateways(context_.self, now)) {
    const std::uint64_t since =
        publisher_.start_update(it->last.node.name, now);
    const auto [known, is_new] = updates.try_emplace(since);
    if (is_new) known->second = encode_update(since);
    context_.links.send(it->last.node.peer_address, known->second);
  }
}

}  // namespace trestlepost::node
