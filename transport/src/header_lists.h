// Conversion of the headers of a Beast message to a `header_list`.
#pragma once

#include <boost/beast/http/fields.hpp>

#include "trestlepost/transport/http_server.h"

namespace trestlepost::transport {

inline header_list list_headers(const boost::beast::http::fields& fields) {
  header_list out;
  for (const boost::beast::http::fields::value_type& it : fields) {
    out.emplace_back(std::string(it.name_string()), std::string(it.value()));
  }
  return out;
}

}  // namespace trestlepost::transport
