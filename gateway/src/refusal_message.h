// What one gateway tells another about a forwarded request that it refused.
#pragma once

#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::gateway {

/// The answer to the gateway that forwarded a request.
transport::http_answer make_refusal(const attempt& outcome);

/// Reads the body of one; what is missing reads as "may have run".
attempt read_refusal(const std::string& body);

}  // namespace trestlepost::gateway
