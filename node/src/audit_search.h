// Searches the audit trail for operators.
#pragma once

#include <deque>

#include "trestlepost/base/json.h"
#include "trestlepost/config/state_machine.h"

namespace trestlepost::node {

/// The records that match `filter`, the newest first: by operator, by name
/// and kind of an object that was changed, and by time.
json audit_matching(const std::deque<config::audit_record>& all,
                    const json& filter);

}  // namespace trestlepost::node
