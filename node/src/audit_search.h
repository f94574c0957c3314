// Searches the audit trail of configuration changes on behalf of operators.
#pragma once

#include <deque>

#include "trestlepost/base/json.h"
#include "trestlepost/config/state_machine.h"

namespace trestlepost::node {

/// The records that match `filter`, newest first, as {"records": [...]}. The
/// filter's optional fields are "operator", "name" and "kind" of a changed
/// object, "since_ms" and "until_ms" (Unix time), and "limit".
json search_audit(const std::deque<config::audit_record>& all,
                  const json& filter);

}  // namespace trestlepost::node
