#include "trestlepost/config/plan_edit.h"

#include <utility>

#include "trestlepost/base/compression.h"
#include "trestlepost/base/text_delta.h"

namespace trestlepost::config {
namespace {

// Maximum size of a plan document; equals the maximum message size between
// control nodes.
constexpr std::size_t max_document_bytes = 64UL * 1024 * 1024;

}  // namespace

plan_edit make_plan_edit(const traffic_plan* before,
                         const traffic_plan& after) {
  const traffic_plan none;
  const traffic_plan& old = before == nullptr ? none : *before;
  plan_edit out;
  out.base = old.number;
  out.delta = make_plan_delta(before, after);
  out.document =
      compress_printable(make_text_delta(old.document, after.document));
  return out;
}

result<traffic_plan> apply_plan_edit(const traffic_plan* before,
                                     const plan_edit& edit) {
  const traffic_plan none;
  const traffic_plan& old = before == nullptr ? none : *before;
  const std::optional<std::string> delta =
      decompress_printable(edit.document, max_document_bytes);
  std::optional<std::string> document;
  if (delta) {
    document = apply_text_delta(old.document, *delta, max_document_bytes);
  }
  if (!document) {
    return fail(error_kind::corrupt,
                "the document of plan " + std::to_string(edit.delta.number) +
                    " does not follow from that of plan " +
                    std::to_string(edit.base),
                "run one version of trestlepostd on all nodes");
  }
  traffic_plan out = apply_plan_delta(before, edit.delta);
  out.document = std::move(*document);
  return out;
}

bool has_document(const plan_edit& edit) {
  const std::string none = compress_printable(make_text_delta("", ""));
  return edit.document != none;
}

json to_json(const plan_edit& value) {
  json out;
  out["base"] = as_number(value.base);
  out["delta"] = to_json(value.delta);
  out["document"] = value.document;
  return out;
}

result<plan_edit> plan_edit_from(const json& value) {
  result<plan_delta> delta = plan_delta_from(member_of(value, "delta"));
  if (!delta) return tl::make_unexpected(delta.error());
  plan_edit out;
  out.base = number_of(value, "base");
  out.delta = std::move(*delta);
  out.document = text_of(value, "document");
  return out;
}

}  // namespace trestlepost::config
