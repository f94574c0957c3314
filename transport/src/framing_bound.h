// Bounds what a sender may spend on the framing of a body.
#pragma once

#include <cstddef>

namespace trestlepost::transport {

/// Bytes for which a buffer has room in one read of a body.
constexpr std::size_t read_bytes = 16UL * 1024;

/// Counts the bytes of a body that are not its content: chunk sizes, chunk
/// extensions and trailers. They may exceed the content by a constant factor
/// and a fixed amount, so that a body with a limit also ends after a limited
/// number of bytes.
class framing_bound {
 public:
  /// Adds the bytes of one read, of which `content` are content. Returns
  /// whether the framing is within its bound.
  bool add(std::size_t bytes, std::size_t content) {
    framing_ += bytes - content;
    content_ += content;
    return framing_ <= base_bytes + max_ratio * content_;
  }

 private:
  static constexpr std::size_t base_bytes = 64UL * 1024;
  static constexpr std::size_t max_ratio = 2;

  std::size_t framing_ = 0;
  std::size_t content_ = 0;
};

}  // namespace trestlepost::transport
