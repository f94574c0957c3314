// Frame format of connections between nodes. The accepting side first sends a
// random challenge. Each frame is the length of its payload (4 bytes,
// big-endian), an HMAC and the payload, a JSON-RPC notification that may be
// compressed. Private to this package.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "trestlepost/base/hash.h"

namespace trestlepost::transport::detail {

// Sizes in bytes.
inline constexpr std::size_t challenge_size = 32;
inline constexpr std::size_t digest_size = 32;
inline constexpr std::size_t length_size = 4;
inline constexpr std::size_t frame_head_size = length_size + digest_size;

/// Method of the first notification on each connection.
inline constexpr char hello_method[] = "hello";

/// Concatenates the data that a frame's HMAC covers.
inline std::string authenticated_data(std::string_view challenge,
                                      std::uint64_t counter,
                                      std::string_view payload) {
  std::string out(challenge);
  for (int shift = 56; shift >= 0; shift -= 8) {
    out += static_cast<char>((counter >> shift) & 0xff);
  }
  out += payload;
  return out;
}

/// Returns the HMAC of the frame with number `counter` on a connection.
inline sha256_digest frame_digest(std::string_view secret,
                                  std::string_view challenge,
                                  std::uint64_t counter,
                                  std::string_view payload) {
  return hmac_sha256(secret, authenticated_data(challenge, counter, payload));
}

inline std::string encode_length(std::size_t n) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += static_cast<char>((n >> shift) & 0xff);
  }
  return out;
}

inline std::size_t decode_length(const char* bytes) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < length_size; ++i) {
    n = (n << 8) | static_cast<unsigned char>(bytes[i]);
  }
  return n;
}

inline std::string encode_frame(std::string_view secret,
                                std::string_view challenge,
                                std::uint64_t counter,
                                std::string_view payload) {
  const sha256_digest sum = frame_digest(secret, challenge, counter, payload);
  std::string out = encode_length(payload.size());
  out.append(reinterpret_cast<const char*>(sum.data()), sum.size());
  out += payload;
  return out;
}

}  // namespace trestlepost::transport::detail
