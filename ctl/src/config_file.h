// Parser for configuration files of operators: JSON with comments, one list for
// each kind of object.
#pragma once

#include <string>
#include <vector>

#include "trestlepost/config/store.h"

namespace trestlepost::ctl {

/// Parses the text of `file` into edits. A caller's "token" is replaced by its
/// hash. Validates each object; with `check_references`, for a file with a full
/// configuration, also the references between objects. The error names the line
/// of each problem.
result<std::vector<config::edit>> read_config(const std::string& text,
                                              const std::string& file,
                                              bool check_references);

}  // namespace trestlepost::ctl
