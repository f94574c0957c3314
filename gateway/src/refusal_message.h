// The refusal that a gateway returns to the gateway that forwarded a request.
#pragma once

#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::gateway {

/// Returns the answer to the gateway that forwarded the request.
transport::http_response make_refusal(const attempt& outcome);

/// Parses the body of a refusal. If `ran` is missing, the request may have run.
attempt read_refusal(const std::string& body);

}  // namespace trestlepost::gateway
