// The head of a caller's request in protocol-independent form. The routes of a
// traffic plan are matched against it.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/base/json.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::surface {

/// A sequence of prompt tokens. Prompts that start with the same parts can
/// share the engine's prefix cache for them.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  bool operator==(const prompt_part&) const = default;
};

/// The prompt and the output of a model call, as described by its caller.
struct prompt_outline {
  // in order; the last one is specific to the request
  std::vector<prompt_part> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t most_output_tokens = 0;
  std::optional<std::uint32_t> expected_output_tokens;  // the caller's estimate

  bool known() const { return prompt_tokens > 0; }
  bool operator==(const prompt_outline&) const = default;
};

/// How a call names the key of its caller.
enum class credential_state { missing, malformed, present };

/// Everything that a call contains except its body.
struct call_head {
  std::string request_id;
  std::string host;
  std::string method;
  std::string target;  // path and query, unchanged
  /// Time for which the caller waits for the response.
  std::optional<std::chrono::milliseconds> caller_timeout;
  prompt_outline prompt;
  credential_state credential = credential_state::missing;
  /// Digest of the caller's key (`config::key_digest`), or empty.
  std::string key_digest;
  /// The organisation that the caller belongs to, as found by the entry
  /// gateway; empty if the route needs no key.
  std::string organisation;
  /// Id of the last event that the caller received of an interrupted stream, or
  /// empty.
  std::string resume_after;
  /// Headers that are passed to the endpoint unchanged. Contains no hop-by-hop
  /// headers and none that the gateway sets itself.
  transport::header_list passthrough_headers;

  std::string_view path() const {
    const std::string_view all = target;
    return all.substr(0, all.find('?'));
  }
  /// Returns the value of a header in `passthrough_headers`, or an empty
  /// string.
  std::string_view passthrough_header(std::string_view name) const;
  void remove_passthrough_header(std::string_view name);
};

json to_json(const call_head& value);
result<call_head> call_head_from(const json& value);

}  // namespace trestlepost::surface
