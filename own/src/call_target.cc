#include "trestlepost/own/call_target.h"

#include "trestlepost/base/hash.h"
#include "trestlepost/base/json.h"

namespace trestlepost::own {
namespace {

constexpr std::string_view services_prefix = "/v1/services/";
// In bytes. Prompts with the same prefix of this length share an affinity.
constexpr std::size_t affinity_prefix_bytes = 512;

bool is_model_call(std::string_view path) {
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

}  // namespace

std::optional<call_target> read_target(std::string_view method,
                                       std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  if (method == "POST" && is_model_call(path)) {
    return call_target{"", std::string(path)};
  }
  if (!path.starts_with(services_prefix)) return std::nullopt;
  const std::string_view rest = target.substr(services_prefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos || slash == 0) return std::nullopt;
  return call_target{std::string(rest.substr(0, slash)),
                     std::string(rest.substr(slash))};
}

result<model_call> read_model_call(const std::string& body) {
  const result<json> parsed = parse_json(body);
  if (!parsed) return tl::make_unexpected(parsed.error());
  model_call out;
  out.model = text_of(*parsed, "model");
  if (out.model.empty()) {
    return fail(error_kind::bad_input, "the body names no model",
                "set \"model\" to the name of a service");
  }
  const json& messages = member_of(*parsed, "messages");
  const std::string prompt =
      messages.isArray() ? to_text(messages) : text_of(*parsed, "prompt");
  const std::string prefix = prompt.substr(0, affinity_prefix_bytes);
  // The lowest bit is set because 0 means that there is no affinity.
  if (!prefix.empty()) out.affinity = hash64(prefix) | 1;
  return out;
}

}  // namespace trestlepost::own
