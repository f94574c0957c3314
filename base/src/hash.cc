#include "trestlepost/base/hash.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace trestlepost {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string to_hex(const unsigned char* bytes, std::size_t n) {
  constexpr char digits[] = "0123456789abcdef";
  constexpr unsigned low_bits = 0xf;
  std::string out;
  out.reserve(2 * n);
  for (std::size_t i = 0; i < n; ++i) {
    out += digits[bytes[i] >> 4];
    out += digits[bytes[i] & low_bits];
  }
  return out;
}

std::string sha256_hex(std::string_view data) {
  sha256_digest out{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         out.data());
  return to_hex(out.data(), out.size());
}

sha256_digest hmac_sha256(std::string_view key, std::string_view data) {
  sha256_digest out{};
  unsigned n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       out.data(), &n);
  return out;
}

bool equal_digests(const sha256_digest& a, const sha256_digest& b) {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view member) {
  return hash64(member, hash64(key));
}

}  // namespace trestlepost
