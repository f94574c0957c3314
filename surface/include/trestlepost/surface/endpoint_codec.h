// Interface to the protocol of endpoints: encodes requests and parses response
// heads.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "trestlepost/surface/call_head.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::surface {

/// An attempt to run a request on an endpoint.
struct endpoint_attempt {
  const call_head& head;
  const transport::shared_text& body;
  /// The intended endpoint; another endpoint at the same address must refuse.
  std::string endpoint_id;
  /// Time until the caller's deadline.
  std::chrono::milliseconds remaining{0};
  int priority = 0;  // 0 is the most urgent
  /// Id of the event after which the stream resumes; empty: from the start.
  std::string resume_after{};
  /// "IP:PORT" of the endpoint from which cached parts of the prompt are copied
  /// before the rest is prefilled; empty: none.
  std::string copy_cache_from{};
  /// Random id of this attempt. An endpoint that echoes it confirms which
  /// request it answers.
  std::string attempt_id{};
};

/// Load as reported by the endpoint, in requests.
struct endpoint_load {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
};

/// The requests per second that an endpoint states to take from all gateways
/// together.
struct stated_request_limit {
  std::optional<double> per_second;  // empty: no limit is stated
  bool is_invalid = false;
};

/// The parsed head of an endpoint's response.
struct endpoint_answer {
  /// The endpoint guarantees that it has not run the request and will not run
  /// it.
  bool not_run = false;
  /// The address now belongs to another endpoint.
  bool other_endpoint = false;
  /// Id of the request that is answered; empty if not echoed.
  std::string request_id;
  /// Id of the attempt that is answered; empty if not echoed.
  std::string attempt_id;
  std::optional<endpoint_load> load;
  /// Time for which the endpoint stays cold.
  std::optional<std::chrono::milliseconds> cold_left;
  /// Rejections per second above which the endpoint fails.
  std::optional<unsigned> max_rejections;
  stated_request_limit request_limit;
};

/// Encodes requests to endpoints and parses the heads of their responses.
class endpoint_codec {
 public:
  virtual ~endpoint_codec() = default;

  virtual transport::http_request encode(const endpoint_attempt& in) const = 0;

  virtual endpoint_answer read_head(const transport::http_call& call) const = 0;

  /// Returns a request that runs nothing and that an endpoint answers at once,
  /// however busy it is.
  virtual transport::http_request probe_request() const = 0;

  /// Returns the response headers that are passed to the caller unchanged.
  virtual transport::header_list passthrough_headers(
      const transport::http_call& call) const = 0;
};

}  // namespace trestlepost::surface
