// Configuration files that operators apply: JSON with comments, one list for
// each kind of object.
#pragma once

#include <string>
#include <vector>

#include "trestlepost/config/store.h"

namespace trestlepost::ctl {

/// Reads a file's text into edits. A caller's "token" is replaced by its
/// hash. The objects are checked each for itself; with `whole`, also that
/// they fit together, as in a file that holds a whole configuration.
result<std::vector<config::edit>> read_config(const std::string& text,
                                              const std::string& file,
                                              bool whole);

}  // namespace trestlepost::ctl
