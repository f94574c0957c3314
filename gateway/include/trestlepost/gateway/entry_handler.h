// The HTTP interface for callers: entry directory, model calls and calls of
// plain services.
#pragma once

#include <memory>
#include <string>

#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/forwarder.h"
#include "trestlepost/gateway/local_service.h"
#include "trestlepost/own/call_target.h"
#include "trestlepost/own/codecs.h"
#include "trestlepost/routing/placement.h"
#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::gateway {

class entry_handler final : public transport::http_handler {
 public:
  entry_handler(gateway_context& context, local_service& local,
                forwarder& remote)
      : context_(context), local_(local), remote_(remote) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

 private:
  /// Answers requests for the entry directory, readiness and health, and
  /// reports unknown paths.
  transport::http_response answer_node_query(
      const transport::http_exchange& exchange) const;
  transport::http_response answer_entries(
      const transport::http_exchange& exchange,
      membership::entry_query query) const;
  /// The state of this node as reported by the readiness and health paths.
  surface::node_report report(bool ready) const;
  /// Handles one model or service call, from its head to its answer.
  transport::awaitable<void> answer_call(transport::http_exchange& exchange,
                                         own::call_target target);
  transport::awaitable<tl::expected<incoming_request, attempt>> read_request(
      transport::http_exchange& exchange, own::call_target target,
      const std::string& id);
  result<std::shared_ptr<const config::caller>> authenticate(
      const transport::http_exchange& exchange) const;
  /// Checks before the body is read whether this region may receive it.
  result<void> check_before_body(const config::caller& caller,
                                 const own::call_target& target,
                                 const config::label_map& labels) const;
  /// Checks whether the request may pass through this region.
  result<void> check_transit(const routing::placement& placed) const;
  error transit_error(const std::vector<std::string>& permitted) const;
  /// Tries one region after another until an attempt succeeds or no further
  /// one is permitted.
  transport::awaitable<attempt> run(const incoming_request& request,
                                    transport::http_exchange& exchange);
  bool may_retry(const incoming_request& request, const attempt& last,
                 unsigned attempts);

  gateway_context& context_;
  local_service& local_;
  forwarder& remote_;
  own::caller_codec callers_;
  own::entry_codec entries_;
  routing::retry_budget retries_;
  std::uint64_t sequence_ = 0;
};

}  // namespace trestlepost::gateway
