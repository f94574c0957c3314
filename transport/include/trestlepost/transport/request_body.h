// Bodies of requests, which hold their share of the process's memory budget for
// as long as they exist.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "trestlepost/base/memory_budget.h"

namespace trestlepost::transport {

/// Text that several owners share, so that it is held once. Null for no text.
using shared_text = std::shared_ptr<const std::string>;

/// A body as read from a connection.
struct request_body {
  std::string text;
  memory_share share;
};

/// Returns the body's text. The share is held until the last owner of the text
/// ends.
inline shared_text share_text(request_body body) {
  const std::shared_ptr<const request_body> owner =
      std::make_shared<const request_body>(std::move(body));
  return {owner, &owner->text};
}

/// Returns the text, which is empty if there is none.
inline std::string_view view_of(const shared_text& text) {
  return text ? std::string_view(*text) : std::string_view();
}

}  // namespace trestlepost::transport
