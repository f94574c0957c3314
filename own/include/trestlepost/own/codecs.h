// The product's own way to speak to callers, endpoints and the platform.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/config/selector.h"
#include "trestlepost/surface/caller_surface.h"
#include "trestlepost/surface/endpoint_codec.h"
#include "trestlepost/surface/endpoint_directory.h"
#include "trestlepost/surface/entry_surface.h"

namespace trestlepost::own {

/// Calls of the product's own interface, and refusals as problem documents.
class caller_codec final : public surface::caller_surface {
 public:
  /// The id is empty where the caller sent none that is sound: the gateway
  /// draws one. The host is left out, since nothing is matched against it.
  result<surface::call_head> read_head(
      const transport::http_exchange& exchange) const override;
  transport::http_response refuse(const surface::refusal& why) const override;
};

/// Requests to endpoints, and the heads of their answers.
class endpoint_codec final : public surface::endpoint_codec {
 public:
  /// `refusal_means_not_run`: what the service says of its 503.
  explicit endpoint_codec(bool refusal_means_not_run)
      : refusal_means_not_run_(refusal_means_not_run) {}

  transport::http_request encode(
      const surface::endpoint_attempt& in) const override;
  surface::endpoint_answer read_head(
      const transport::http_call& call) const override;
  transport::header_list passthrough_headers(
      const transport::http_call& call) const override;

 private:
  bool refusal_means_not_run_;
};

/// The platform's list. It names VMs, each by its IP, on one page.
class directory_codec final : public surface::endpoint_directory {
 public:
  transport::http_request page_request(const std::string& zone,
                                       const std::string& token) const override;
  result<surface::endpoint_page> read_page(
      const std::string& body) const override;
};

/// The calls that find entries and ask how a node is.
class entry_codec final : public surface::entry_surface {
 public:
  std::optional<membership::entry_query> read_query(
      std::string_view method, std::string_view target) const override;
  /// The labels of the requests that the caller wants an entry for.
  result<config::label_map> read_labels(std::string_view target) const;
  transport::http_response show_entries(
      const std::vector<membership::entry_view>& entries,
      std::chrono::milliseconds lifetime) const override;
  bool is_readiness_query(std::string_view method,
                          std::string_view target) const override;
  /// Whether the call asks only if the process answers.
  bool asks_health(std::string_view target) const;
  transport::http_response show_readiness(
      const surface::node_report& node) const override;
  transport::http_response refuse(const error& why) const override;
};

/// The HTTP status of a refusal.
unsigned status_of(error_kind kind);

}  // namespace trestlepost::own
