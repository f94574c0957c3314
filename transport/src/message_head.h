// Checks of the heads of HTTP messages, beyond what the parser checks.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace trestlepost::transport {

/// Whether the response only announces another one (1xx).
bool is_interim(unsigned status);

/// Fails unless it is clear where a body with these headers ends: the only
/// transfer coding is `chunked`, once, in a message of HTTP/1.1 (RFC 9112,
/// 6.1 and 6.3).
boost::system::error_code check_framing(
    const boost::beast::http::fields& headers, unsigned version);

/// Fails unless this is the head of a final response, or of an interim one,
/// that may be passed on: its status is valid and switches no protocol, an
/// interim one frames no body, and names and values hold no control characters.
boost::system::error_code check_response_head(
    const boost::beast::http::response_header<>& head);

}  // namespace trestlepost::transport
