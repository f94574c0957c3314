#include "message_head.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <string_view>

namespace trestlepost::transport {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using error_code = boost::system::error_code;

constexpr unsigned switching_protocols = 101;
constexpr unsigned first_interim_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;
constexpr unsigned http_1_1 = 11;

/// Whether `c` may stand in the name of a header (RFC 9110, 5.6.2).
bool is_token_character(char c) {
  constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || others.find(c) != std::string_view::npos;
}

bool is_control_character(char c) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char del = 0x7f;
  const unsigned char code = static_cast<unsigned char>(c);
  return (code < first_printable && c != '\t') || code == del;
}

bool is_valid(const http::fields::value_type& header) {
  const beast::string_view name = header.name_string();
  const beast::string_view value = header.value();
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), is_token_character) &&
         std::none_of(value.begin(), value.end(), is_control_character);
}

bool frames_body(const http::fields& headers) {
  return headers.count(http::field::content_length) > 0 ||
         headers.count(http::field::transfer_encoding) > 0;
}

}  // namespace

bool is_interim(unsigned status) {
  return status >= first_interim_status && status < first_final_status;
}

error_code check_framing(const http::fields& headers, unsigned version) {
  const std::size_t codings = headers.count(http::field::transfer_encoding);
  if (codings == 0) return {};
  const bool chunked =
      beast::iequals(headers[http::field::transfer_encoding], "chunked");
  const bool has_length = headers.count(http::field::content_length) > 0;
  if (codings == 1 && chunked && !has_length && version == http_1_1) return {};
  return http::error::bad_transfer_encoding;
}

error_code check_response_head(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  const bool known = status >= first_interim_status && status <= last_status &&
                     status != switching_protocols;
  if (!known) return http::error::bad_status;
  if (is_interim(status) && frames_body(head))
    return http::error::bad_content_length;
  if (!std::all_of(head.begin(), head.end(), is_valid))
    return http::error::bad_field;
  return check_framing(head, head.version());
}

}  // namespace trestlepost::transport
