// Hash functions, based on xxHash and OpenSSL.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace trestlepost {

/// Returns the 64-bit XXH3 hash, for placement and checksums. It is not
/// cryptographically secure.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns SHA-256 in hexadecimal, for tokens and request digests.
std::string sha256_hex(std::string_view data);

/// Output of a 256-bit cryptographic hash.
using sha256_digest = std::array<unsigned char, 32>;

/// Returns HMAC-SHA-256 of `data`.
sha256_digest hmac_sha256(std::string_view key, std::string_view data);

/// Compares in constant time, so that timing does not reveal the digest.
bool equal_digests(const sha256_digest& a, const sha256_digest& b);

/// Returns the score of `member` for `key` in rendezvous hashing: the member
/// with the highest score is selected.
std::uint64_t rendezvous_score(std::string_view key, std::string_view member);

/// Formats `n` bytes in lower-case hexadecimal.
std::string to_hex(const unsigned char* bytes, std::size_t n);

}  // namespace trestlepost
