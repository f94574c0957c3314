// Delta encoding of text: parts that both texts share are copied by offset and
// length.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trestlepost {

/// Returns a delta that converts `before` to `after`. Both are split after each
/// closing brace and compared segment by segment, so the delta is short for
/// JSON documents that share most of their objects, in any order.
std::string make_text_delta(std::string_view before, std::string_view after);

/// Applies `delta` to `before`. Returns nullopt if the delta is malformed,
/// refers beyond the end of `before`, or results in more than `limit` bytes.
std::optional<std::string> apply_text_delta(std::string_view before,
                                            std::string_view delta,
                                            std::size_t limit);

}  // namespace trestlepost
