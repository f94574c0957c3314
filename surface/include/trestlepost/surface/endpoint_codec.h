// How endpoints are spoken to: a request to bytes, an answer's head to what
// it says of the request and of the endpoint.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "trestlepost/surface/call_head.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::surface {

/// One attempt to run a request at an endpoint.
struct endpoint_attempt {
  const call_head& head;
  const std::string& body;
  /// The endpoint that is meant: another one at its address must refuse.
  std::string endpoint_id;
  /// After so long nobody waits for the answer any more.
  std::chrono::milliseconds remaining{0};
  int priority = 0;  // 0 is the most urgent
  /// The stream goes on after this event; empty: from its beginning.
  std::string resume_after{};
  /// "IP:PORT" of an endpoint from which cached parts of the prompt are
  /// copied before the rest is read; empty: none.
  std::string copy_cache_from{};
  /// Drawn for this attempt. An endpoint that echoes it shows which request
  /// it answers.
  std::string attempt_id{};
};

/// The load that an endpoint tells, in requests.
struct endpoint_load {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
};

/// What the head of an answer says.
struct endpoint_answer {
  /// The endpoint promises that it has not run the request and never will.
  bool not_run = false;
  /// Another endpoint has the address now.
  bool other_endpoint = false;
  /// The id of the request that is answered; empty when it is not echoed.
  std::string request_id;
  /// The id of the attempt that is answered; empty when it is not echoed.
  std::string attempt_id;
  std::optional<endpoint_load> load;
  /// How long the endpoint stays cold.
  std::optional<std::chrono::milliseconds> cold_left;
};

/// Writes requests to endpoints and reads the heads of their answers.
class endpoint_codec {
 public:
  virtual ~endpoint_codec() = default;

  virtual transport::http_request encode(const endpoint_attempt& in) const = 0;

  virtual endpoint_answer read_head(const transport::http_call& call) const = 0;

  /// The headers of an answer that the caller gets as they came.
  virtual transport::header_list passed_back(
      const transport::http_call& call) const = 0;
};

}  // namespace trestlepost::surface
