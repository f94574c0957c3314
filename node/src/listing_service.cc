#include "listing_service.h"

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

// Until the platform has answered for a page.
constexpr milliseconds read_timeout{1000};
constexpr std::size_t largest_page = 4UL * 1024 * 1024;  // bytes
constexpr unsigned ok_status = 200;
// A gateway that has no list yet asks the reader for it this often.
constexpr milliseconds ask_interval{300};
// Who should read is found out this often: it takes a walk over all gateways of
// the region.
constexpr milliseconds check_interval{100};
// The first books name only those who asked the leader before.
constexpr milliseconds book_settling{500};
// How often the whole list is read: to see whether that takes fewer calls, and
// for the endpoints of other regions, which are hints only.
constexpr milliseconds whole_read_interval{10'000};
// Pages of one list; more of them mean a list that never ends.
constexpr int most_pages = 1000;

}  // namespace

listing_service::listing_service(node_context& context,
                                 const surface::endpoint_directory* directory)
    : context_(context),
      directory_(directory),
      writer_(context.self.name, (context.random.next() >> 1) | 1),
      configured_(context.options.timing.platform_list_lag) {}

void listing_service::start() {
  started_at_ = context_.clock.now();
  heard_at_ = started_at_;
  context_.peers.add_notification(
      "endpoints.listed",
      [this](const json& params, const transport::rpc_context&) {
        handle_news(params);
      });
  context_.peers.add_notification(
      "endpoints.ask",
      [this](const json& params, const transport::rpc_context&) {
        handle_ask(params);
      });
}

void listing_service::handle_news(const json& params) {
  const result<listing_news> news = listing_news_from(params);
  if (!news) {
    log_event(
        log_level::warn, "endpoints-refused",
        {{"detail", news.error().message}, {"remedy", news.error().remedy}});
    return;
  }
  const monotonic_time now = context_.clock.now();
  if (!copy_.take(*news, now)) {
    ask(news->reader);
    return;
  }
  heard_from(news->reader);
  if (on_listed) on_listed(copy_.all(now), copy_.covers());
}

void listing_service::heard_from(const std::string& reader) {
  const monotonic_time now = context_.clock.now();
  if (reader != last_reader_) {
    const milliseconds silence =
        std::chrono::duration_cast<milliseconds>(now - heard_at_);
    log_event(
        log_level::info, "list-reader-changed",
        {{"reader", reader}, {"silent_ms", std::to_string(silence.count())}});
  }
  last_reader_ = reader;
  heard_at_ = now;
  heard_ = true;
}

void listing_service::handle_ask(const json& params) {
  const std::string gateway = text_of(params, "node");
  const std::string address = text_of(params, "reply_to");
  const milliseconds interval = context_.options.timing.platform_poll_interval;
  const bool reads =
      !writer_.empty() &&
      context_.clock.now() < read_at_ + silent_intervals * interval;
  if (!reads || gateway.empty() || address.empty()) return;
  writer_.forget(gateway);
  tell(gateway, address);
}

void listing_service::ask(const std::string& gateway) {
  const std::string address = context_.peer_address(gateway);
  if (address.empty()) return;
  json params;
  params["node"] = context_.self.name;
  params["reply_to"] = context_.self.peer_address;
  context_.links.send(address, "endpoints.ask", params);
}

bool listing_service::may_live(const std::string& gateway) const {
  const monotonic_time now = context_.clock.now();
  if (context_.nodes.find(gateway) != nullptr) {
    return context_.nodes.is_live(gateway, now);
  }
  // The book names it, and its first heartbeat may still be on its way.
  const milliseconds interval = context_.options.timing.platform_poll_interval;
  return now < started_at_ + silent_intervals * interval;
}

reading_order listing_service::order() const {
  const std::string& region = context_.self.region;
  std::set<std::string> gateways{context_.self.name};
  for (const auto& [name, it] : context_.book) {
    const bool gateway = it.region == region && !it.forward_address.empty();
    if (gateway) gateways.insert(name);
  }
  for (const membership::node_record* it :
       context_.nodes.other_gateways(context_.self, context_.clock.now())) {
    gateways.insert(it->last.node.name);
  }
  std::erase_if(gateways, [this](const std::string& it) {
    return it != context_.self.name && !may_live(it);
  });
  return order_of_reading(region, gateways, context_.self.name);
}

bool listing_service::should_read() {
  const monotonic_time now = context_.clock.now();
  if (now < next_check_) return false;
  next_check_ = now + check_interval;
  const milliseconds interval = context_.options.timing.platform_poll_interval;
  const reading_order all = order();
  const milliseconds patience = listing_patience(
      heard_, context_.options.found_at_first_start, interval, all.own_rank);
  took_over_ = now >= heard_at_ + patience;
  if (took_over_) return true;
  // Until the book comes a node knows of no others, and all would read.
  if (context_.book.empty()) return false;
  if (!book_since_) book_since_ = now;
  if (now < *book_since_ + book_settling) return false;
  if (all.own_rank == 0) return true;
  if (!heard_ && now >= next_ask_) {
    next_ask_ = now + ask_interval;
    ask(all.first);
  }
  return false;
}

bool listing_service::tells() const {
  // More nodes may be known than when the reading began: at a start many take
  // themselves for the first.
  return took_over_ || order().own_rank == 0;
}

void listing_service::note_configuration() {
  const bool configured = configured_.first() > 0;
  configured_.record(context_.store.revision(), context_.clock.now());
  const bool is_first = !configured && configured_.first() > 0;
  if (!is_first || context_.store.ended_evacuations().empty()) return;
  // A list from before tells nothing of the zones that were given back since,
  // and waiting for the reader's takes up to a second.
  must_read_ = true;
  next_read_ = context_.clock.now();
}

void listing_service::tick() {
  note_configuration();
  const monotonic_time now = context_.clock.now();
  if (reading_ || now < next_read_) return;
  if (!must_read_ && !should_read()) return;
  must_read_ = false;
  next_read_ = now + context_.options.timing.platform_poll_interval;
  reading_ = true;
  boost::asio::co_spawn(context_.io, read_all(), boost::asio::detached);
}

awaitable<result<surface::endpoint_page>> listing_service::read_page(
    std::string zone, std::string token) {
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(context_.options.platform_address);
  transport::http_request request = directory_->page_request(zone, token);
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

awaitable<bool> listing_service::read_zone(std::string zone,
                                           surface::endpoint_page& all) {
  std::string token;
  for (int n = 0; n < most_pages; ++n) {
    result<surface::endpoint_page> page = co_await read_page(zone, token);
    if (!page) {
      if (!lost_) {
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
  if (!lost_) {
    log_event(log_level::warn, "platform-list-lost",
              {{"detail", "the list has more than " +
                              std::to_string(most_pages) + " pages"}});
  }
  co_return false;
}

std::vector<std::string> listing_service::next_zones() {
  const monotonic_time now = context_.clock.now();
  std::vector<std::string> out = zones_to_read(size_);
  if (now >= next_whole_) out = {""};
  if (out.front().empty()) {
    next_whole_ = now + whole_read_interval;
    size_ = {};
  }
  return out;
}

void listing_service::measure(const std::vector<listed_endpoint>& all) {
  for (const auto& [zone, region] : context_.options.zone_regions) {
    if (region == context_.self.region) size_.own_zones[zone] = 0;
  }
  for (const listed_endpoint& it : all) {
    if (is_in_own_region(it)) ++size_.own_zones[it.availability_zone];
  }
}

awaitable<void> listing_service::read_all() {
  // What has been in force here for longer than the list lags is in the list
  // that is asked for now.
  const config::revision_number covers =
      configured_.newest_settled(context_.clock.now());
  // The first configuration is no change that has just been made, as a rule:
  // to wait until it has settled would cost a second of each start.
  const config::revision_number covers_here =
      std::max(covers, configured_.first());
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
        time_to_reread(heard_, context_.options.timing.platform_poll_interval,
                       context_.random);
    lost_ = true;
    size_ = {};
    co_return;
  }
  if (lost_) log_event(log_level::info, "platform-list-back");
  lost_ = false;
  unreadable_.note(read.unreadable);
  std::vector<listed_endpoint> all = std::move(read.endpoints);
  size_.own_zones.clear();
  measure(all);
  if (zones.front().empty()) {
    elsewhere_ = in_other_regions(all);
  } else {
    all.insert(all.end(), elsewhere_.begin(), elsewhere_.end());
  }
  heard_from(context_.self.name);
  read_at_ = heard_at_;
  if (on_listed) on_listed(all, covers_here);
  // Those of other regions too: prompt parts may be copied from them.
  writer_.update(all, covers, context_.clock.now());
  if (tells()) tell_others();
}

bool listing_service::is_in_own_region(const listed_endpoint& it) const {
  const auto zone = context_.options.zone_regions.find(it.availability_zone);
  return zone != context_.options.zone_regions.end() &&
         zone->second == context_.self.region;
}

std::vector<listed_endpoint> listing_service::in_other_regions(
    std::vector<listed_endpoint> all) const {
  std::erase_if(
      all, [this](const listed_endpoint& it) { return is_in_own_region(it); });
  return all;
}

transport::packed_notification listing_service::pack_news(
    std::uint64_t since) const {
  return transport::pack_notification(
      "endpoints.listed",
      to_json(writer_.news_since(since, context_.clock.now())));
}

void listing_service::tell(const std::string& gateway,
                           const std::string& address) {
  const std::uint64_t since = writer_.tell(gateway, context_.clock.now());
  context_.links.send(address, pack_news(since));
}

void listing_service::tell_others() {
  // Written once for all who have the same version.
  std::map<std::uint64_t, transport::packed_notification> news;
  const monotonic_time now = context_.clock.now();
  for (const membership::node_record* it :
       context_.nodes.other_gateways(context_.self, now)) {
    const std::uint64_t since = writer_.tell(it->last.node.name, now);
    const auto [known, is_new] = news.try_emplace(since);
    if (is_new) known->second = pack_news(since);
    context_.links.send(it->last.node.peer_address, known->second);
  }
}

}  // namespace trestlepost::node
