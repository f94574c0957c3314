#include "trestlepost/base/base64.h"

#include <openssl/evp.h>

namespace trestlepost {
namespace {

constexpr std::size_t chars_per_group = 4;
constexpr std::size_t bytes_per_group = 3;

}  // namespace

std::string to_base64(std::string_view data) {
  std::string out(chars_per_group * (data.size() / bytes_per_group + 1) + 1,
                  '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      static_cast<int>(data.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

std::optional<std::string> from_base64(std::string_view text) {
  if (text.empty() || text.size() % chars_per_group != 0) return std::nullopt;
  std::string out(text.size() / chars_per_group * bytes_per_group, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (n < 0) return std::nullopt;
  // EVP_DecodeBlock counts padding as decoded bytes.
  const std::size_t last = text.find_last_not_of('=');
  const std::size_t padding = text.size() - 1 - last;
  if (last == std::string_view::npos || padding > 2) return std::nullopt;
  out.resize(static_cast<std::size_t>(n) - padding);
  return out;
}

}  // namespace trestlepost
