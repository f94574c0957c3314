// Codecs for Trestlepost's own protocol with callers, endpoints and the
// platform.
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

/// Parses calls of Trestlepost's own interface and encodes refusals as problem
/// documents (application/problem+json).
class caller_codec final : public surface::caller_surface {
 public:
  /// The request id is empty if the caller sent no valid one; the gateway then
  /// generates one. The host is left empty because no rule matches on it.
  result<surface::call_head> read_head(
      const transport::http_exchange& exchange) const override;
  transport::http_response refuse(const surface::refusal& why) const override;
};

/// Asks an endpoint for its load; it answers without running anything.
transport::http_request load_request();

/// Encodes requests to endpoints and parses the heads of their answers.
class endpoint_codec final : public surface::endpoint_codec {
 public:
  /// `refusal_means_not_run`: whether the service guarantees that it did not
  /// run a request which it answers with 503.
  explicit endpoint_codec(bool refusal_means_not_run)
      : refusal_means_not_run_(refusal_means_not_run) {}

  transport::http_request encode(
      const surface::endpoint_attempt& in) const override;
  surface::endpoint_answer read_head(
      const transport::http_call& call) const override;
  transport::http_request probe_request() const override;
  transport::header_list passthrough_headers(
      const transport::http_call& call) const override;

 private:
  bool refusal_means_not_run_;
};

/// Requests and parses the platform's list, which has all VMs on one page and
/// identifies each by its IP address.
class directory_codec final : public surface::endpoint_directory {
 public:
  transport::http_request page_request(const std::string& zone,
                                       const std::string& token) const override;
  result<surface::endpoint_page> read_page(
      const std::string& body) const override;
};

/// Parses look-ups of entries and queries for a node's readiness or health, and
/// encodes the answers.
class entry_codec final : public surface::entry_surface {
 public:
  std::optional<membership::entry_query> read_query(
      std::string_view method, std::string_view target) const override;
  /// Returns the labels of the requests for which the caller looks up an entry.
  result<config::label_map> read_labels(std::string_view target) const;
  transport::http_response show_entries(
      const std::vector<membership::entry_view>& entries,
      std::chrono::milliseconds lifetime) const override;
  bool is_readiness_query(std::string_view method,
                          std::string_view target) const override;
  /// Returns whether this is a liveness check, which any running node answers.
  bool is_health_query(std::string_view target) const;
  transport::http_response show_readiness(
      const surface::node_report& node) const override;
  transport::http_response refuse(const error& why) const override;
};

/// Returns the HTTP status of a refusal.
unsigned status_of(error_kind kind);

}  // namespace trestlepost::own
