#include "configuration/newer_configuration.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/config/watch_update.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr char request_method[] = "config.ask";
constexpr char answer_method[] = "config.given";

// The leader's updates arrive sooner, unless the way to it is broken.
constexpr milliseconds min_lag{1000};
// Delay before an unanswered request is sent to another node. It doubles with
// each request.
constexpr milliseconds min_retry_delay{400};
constexpr milliseconds max_retry_delay{3200};

/// Calls `visit` with the last heartbeat of each live node but this one.
template <typename F>
void for_each_live_node(const node_context& context, const F& visit) {
  const monotonic_time now = context.clock.now();
  for (const membership::node_record* it : context.nodes.all()) {
    const bool live =
        context.nodes.state_of(*it, now) == membership::peer_state::live;
    if (live && it->last.node.name != context.self.name) visit(it->last);
  }
}

}  // namespace

config::revision_number newest_reported(const node_context& context) {
  config::revision_number out = 0;
  for_each_live_node(context, [&out](const membership::heartbeat& it) {
    out = std::max(out, it.revision);
  });
  return out;
}

std::vector<std::string> newer_configuration::holders_of(
    config::revision_number revision) const {
  std::vector<std::string> out;
  for_each_live_node(context_,
                     [&out, revision](const membership::heartbeat& it) {
                       if (it.revision == revision)
                         out.push_back(it.node.peer_address);
                     });
  return out;
}

void newer_configuration::start() {
  context_.peers.add_notification(
      request_method,
      [this](const json& params, const transport::rpc_context&) {
        handle_request(params);
      });
  context_.peers.add_notification(
      answer_method, [this](const json& params, const transport::rpc_context&) {
        handle_answer(params);
      });
}

void newer_configuration::tick(config::revision_number newest,
                               milliseconds lag) {
  const monotonic_time now = context_.clock.now();
  const config::object_store& own = context_.store;
  if (newest <= own.revision() || lag < min_lag) {
    retry_delay_ = min_retry_delay;
    return;
  }
  // Without a configuration of a known group there is nothing to compare a copy
  // with.
  if (own.group().empty() || now < next_request_) return;
  const std::vector<std::string> holders = holders_of(newest);
  if (holders.empty()) return;
  next_request_ = now + retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, max_retry_delay);
  const std::string& holder = holders[context_.random.below(holders.size())];
  json params;
  params["revision"] = as_number(own.revision());
  params["group"] = own.group();
  params["reply_to"] = context_.self.peer_address;
  context_.links.send(holder, request_method, params);
  log_event(log_level::info, "configuration-requested",
            {{"node_address", holder},
             {"revision", std::to_string(own.revision())},
             {"newest", std::to_string(newest)}});
}

void newer_configuration::handle_request(const json& params) {
  const config::object_store& own = context_.store;
  const bool newer = own.revision() > number_of(params, "revision");
  const bool same_group = text_of(params, "group") == own.group();
  if (!newer || !same_group) return;
  context_.links.send(text_of(params, "reply_to"), encoded_configuration());
}

const transport::encoded_notification&
newer_configuration::encoded_configuration() {
  const config::object_store& own = context_.store;
  if (encoded_revision_ == own.revision()) return encoded_;
  config::watch_update update;
  update.to = own.revision();
  update.whole = own.to_json(config::plan_form::without_document);
  json params;
  params["update"] = config::to_json(update);
  params["update"]["group"] = own.group();
  encoded_ = transport::encode_notification(answer_method, params);
  encoded_revision_ = own.revision();
  return encoded_;
}

void newer_configuration::handle_answer(const json& params) {
  const json& update = member_of(params, "update");
  if (text_of(update, "group") != context_.store.group()) return;
  apply_(update);
}

}  // namespace trestlepost::node
