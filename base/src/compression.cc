#include "trestlepost/base/compression.h"

#include <zlib.h>

#include <utility>

#include "trestlepost/base/base64.h"

namespace trestlepost {
namespace {

// First byte of a compressed payload. Uncompressed text is JSON and starts with
// a brace.
constexpr char compressed_mark = '\1';
// Length of the uncompressed size, which is big-endian.
constexpr std::size_t size_bytes = 4;
constexpr std::size_t head_size = 1 + size_bytes;
// Size in bytes below which compression saves too little for its cost.
constexpr std::size_t min_compressed_bytes = 256;
// Fastest compression level of zlib.
constexpr int fast_level = 1;

// First character of a compressed payload in base64. Uncompressed text starts
// with a brace.
constexpr char printable_mark = 'z';

void append_size(std::string& out, std::size_t n) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += static_cast<char>((n >> shift) & 0xff);
  }
}

std::size_t read_size(const std::string& payload) {
  std::size_t n = 0;
  for (std::size_t i = 1; i < head_size; ++i) {
    n = (n << 8) | static_cast<unsigned char>(payload[i]);
  }
  return n;
}

}  // namespace

std::string compress_text(std::string_view text) {
  if (text.size() < min_compressed_bytes) return std::string(text);
  std::string out(1, compressed_mark);
  append_size(out, text.size());
  uLongf length = compressBound(static_cast<uLong>(text.size()));
  out.resize(head_size + length);
  const int status =
      compress2(reinterpret_cast<Bytef*>(out.data() + head_size), &length,
                reinterpret_cast<const Bytef*>(text.data()),
                static_cast<uLong>(text.size()), fast_level);
  if (status != Z_OK || head_size + length >= text.size()) {
    return std::string(text);
  }
  out.resize(head_size + length);
  return out;
}

std::optional<std::string> decompress_text(std::string payload,
                                           std::size_t limit) {
  if (payload.empty() || payload.front() != compressed_mark) return payload;
  if (payload.size() < head_size) return std::nullopt;
  const std::size_t size = read_size(payload);
  if (size > limit) return std::nullopt;
  std::string out(size, '\0');
  uLongf length = static_cast<uLongf>(size);
  const int status =
      uncompress(reinterpret_cast<Bytef*>(out.data()), &length,
                 reinterpret_cast<const Bytef*>(payload.data() + head_size),
                 static_cast<uLong>(payload.size() - head_size));
  if (status != Z_OK || length != size) return std::nullopt;
  return out;
}

std::string compress_printable(std::string_view text) {
  std::string compressed = compress_text(text);
  if (compressed.size() == text.size()) return compressed;
  return printable_mark + to_base64(compressed);
}

std::optional<std::string> decompress_printable(std::string_view encoded,
                                                std::size_t limit) {
  if (encoded.empty() || encoded.front() != printable_mark) {
    return std::string(encoded);
  }
  std::optional<std::string> payload = from_base64(encoded.substr(1));
  if (!payload) return std::nullopt;
  return decompress_text(std::move(*payload), limit);
}

}  // namespace trestlepost
