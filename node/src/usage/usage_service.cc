#include "usage/usage_service.h"

#include <algorithm>
#include <utility>

#include "region_peers.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr char report_method[] = "usage.report";
constexpr char reply_method[] = "usage.reply";
constexpr char sums_method[] = "usage.sums";

// A collector that has not answered for this long is replaced.
constexpr milliseconds collector_timeout{400};

/// Returns a name for this process in messages about usage. An incarnation
/// would not do: with a data folder it survives a restart, and counts start
/// from 0 again.
std::string make_process_name(node_context& context) {
  return context.self.name + "/" + std::to_string(context.random.next());
}

}  // namespace

usage_service::usage_service(node_context& context,
                             const routing::organisation_table& organisations)
    : context_(context),
      organisations_(organisations),
      process_name_(make_process_name(context)),
      collector_(process_name_, context.self.region),
      limiter_(process_name_, context.random) {}

void usage_service::start() {
  const auto add = [this](const char* method,
                          void (usage_service::*handle)(const json&)) {
    context_.peers.add_notification(
        method,
        [this, handle](const json& params, const transport::rpc_context&) {
          (this->*handle)(params);
        });
  };
  add(report_method, &usage_service::handle_report);
  add(reply_method, &usage_service::handle_reply);
  add(sums_method, &usage_service::handle_sums);
}

void usage_service::handle_report(const json& params) {
  const usage::usage_report report = usage::usage_report_from(params);
  if (report.gateway.empty()) return;
  const usage::usage_reply reply =
      collector_.handle(report, context_.clock.now());
  context_.links.send(text_of(params, "reply_to"), reply_method,
                      usage::to_json(reply));
}

void usage_service::handle_reply(const json& params) {
  const monotonic_time now = context_.clock.now();
  answered_at_ = now;
  limiter_.handle(usage::usage_reply_from(params), now);
}

void usage_service::handle_sums(const json& params) {
  const usage::region_usage sums = usage::region_usage_from(params);
  if (!sums.collector.empty()) collector_.handle(sums, context_.clock.now());
}

void usage_service::choose_collector(monotonic_time now) {
  const std::vector<std::string> addresses =
      live_relay_addresses(context_, context_.self.region);
  if (addresses.empty()) return;
  const auto current =
      std::find(addresses.begin(), addresses.end(), collector_address_);
  const bool listed = current != addresses.end();
  const bool answers =
      now < std::max(chosen_at_, answered_at_) + collector_timeout;
  if (listed && answers) return;
  const std::size_t next =
      listed ? static_cast<std::size_t>(current - addresses.begin()) + 1 : 0;
  const std::string& chosen = addresses[next % addresses.size()];
  chosen_at_ = now;
  if (chosen == collector_address_) return;
  log_event(log_level::info, "usage-collector-chosen", {{"peer", chosen}});
  collector_address_ = chosen;
  limiter_.begin_session();
}

bool usage_service::report_is_due(monotonic_time now) const {
  if (now >= next_report_) return true;
  return limiter_.has_urgent_usage() &&
         now >= reported_at_ + usage::min_report_interval;
}

void usage_service::send_report(monotonic_time now) {
  reported_at_ = now;
  next_report_ = now + usage::usage_interval;
  choose_collector(now);
  if (collector_address_.empty()) return;
  const usage::usage_report report = limiter_.make_report(now);
  if (collector_address_ == context_.self.peer_address) {
    answered_at_ = now;
    limiter_.handle(collector_.handle(report, now), now);
    return;
  }
  json params = usage::to_json(report);
  params["reply_to"] = context_.self.peer_address;
  context_.links.send(collector_address_, report_method, params);
}

void usage_service::send_sums(monotonic_time now) {
  if (!collector_.active(now)) return;
  const json params = usage::to_json(collector_.sums(now));
  std::vector<std::string> regions = other_regions(context_);
  regions.push_back(context_.self.region);
  for (const std::string& region : regions) {
    for (const std::string& it : relay_addresses(context_, region)) {
      if (it == context_.self.peer_address) continue;
      context_.links.send(it, sums_method, params);
    }
  }
}

void usage_service::tick() {
  const monotonic_time now = context_.clock.now();
  const bool reports = context_.options.gateway && report_is_due(now);
  const bool collects = now >= next_tick_;
  if ((!reports && !collects) || !organisations_.has_limit()) return;
  if (reports) {
    limiter_.set_gateway_count(context_.nodes.gateway_count());
    send_report(now);
  }
  if (!collects) return;
  next_tick_ = now + usage::usage_interval;
  collector_.tick(organisations_, other_regions(context_).size() + 1, now);
  send_sums(now);
}

}  // namespace trestlepost::node
