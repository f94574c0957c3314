// Summarises a decided change for the log.
#pragma once

#include <string>

#include "trestlepost/config/change.h"

namespace trestlepost::node {

/// Names the objects that the change has changed, without their content, and
/// the new state of an availability zone. Long lists are cut off.
std::string summarize_change(const config::audit_record& record);

}  // namespace trestlepost::node
