// Formats the answers of a node as text for operators.
#pragma once

#include <string>

#include "trestlepost/base/json.h"

namespace trestlepost::ctl {

std::string print_status(const json& status);
std::string print_objects(const json& answer);
std::string print_audit(const json& answer);
std::string print_explanation(const json& answer);
std::string print_held(const json& answer);
std::string print_change(const json& outcome);

}  // namespace trestlepost::ctl
