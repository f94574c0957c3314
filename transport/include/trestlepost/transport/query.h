// The query of a request's target.
#pragma once

#include <string_view>

namespace trestlepost::transport {

/// The value of the first `name` in the query of `target` as it stands there,
/// percent encoding included; empty when there is none.
std::string_view query_value(std::string_view target, std::string_view name);

}  // namespace trestlepost::transport
