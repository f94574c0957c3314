// Hashes, on xxhash and OpenSSL.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace trestlepost {

/// Fast 64-bit hash, for placement and checksums; not for secrets.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// SHA-256 in hexadecimal, for tokens and request digests.
std::string sha256_hex(std::string_view data);

using digest = std::array<unsigned char, 32>;

/// HMAC-SHA-256.
digest keyed_digest(std::string_view key, std::string_view data);

/// Compares in constant time.
bool same_digest(const digest& a, const digest& b);

/// Score of `member` for `key` in a rendezvous hash; the highest wins.
std::uint64_t rendezvous_score(std::string_view key, std::string_view member);

/// Lower-case hexadecimal of `bytes`.
std::string to_hex(const unsigned char* bytes, std::size_t n);

}  // namespace trestlepost
