// What the head of a caller's request says, in the product's terms. It is
// what the routes of a traffic plan are matched against.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/base/json.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::surface {

/// A run of a prompt's tokens. Prompts that begin with the same parts share
/// what an engine has cached of them.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  bool operator==(const prompt_part&) const = default;
};

/// What a caller says of the work behind a model call.
struct prompt_outline {
  std::vector<prompt_part> parts;  // in order; the last is the request's own
  std::uint32_t prompt_tokens = 0;
  std::uint32_t most_output_tokens = 0;
  std::optional<std::uint32_t> expected_output_tokens;  // the caller's guess

  bool known() const { return prompt_tokens > 0; }
  bool operator==(const prompt_outline&) const = default;
};

/// What a call says beside its body.
struct call_head {
  std::string request_id;
  std::string host;
  std::string method;
  std::string target;  // path and query, as the caller sent them
  /// How long the caller waits.
  std::optional<std::chrono::milliseconds> patience;
  prompt_outline prompt;
  /// The last event of a broken stream that the caller has seen, or empty.
  std::string resume_after;
  /// Headers that go to the endpoint as they came. None of them concerns one
  /// connection only, and none is the gateway's own to set.
  transport::header_list passed_on;

  std::string_view path() const {
    const std::string_view all = target;
    return all.substr(0, all.find('?'));
  }
  /// The value of a header that is passed on, or empty.
  std::string_view passed_header(std::string_view name) const;
};

json to_json(const call_head& value);
result<call_head> call_head_from(const json& value);

}  // namespace trestlepost::surface
