// The refusal that a gateway returns to the gateway that forwarded a request.
#pragma once

#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::gateway {

/// Returns the answer to the gateway that forwarded the request.
transport::http_response make_refusal(const attempt& outcome);

/// Parses the body of a refusal. If `ran` is missing, the request may have run;
/// if the number of sends is missing, it is `max_sends`.
attempt read_refusal(const std::string& body, unsigned max_sends);

}  // namespace trestlepost::gateway
