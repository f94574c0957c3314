// Labels, and selectors that match sets of labels.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "trestlepost/base/json.h"
#include "trestlepost/base/object_reader.h"

namespace trestlepost::config {

using label_map = std::map<std::string, std::string>;

enum class selector_operator { in, not_in, exists, absent };

/// One condition on one label.
struct requirement {
  std::string key;
  selector_operator op = selector_operator::in;
  std::vector<std::string> values;
};

/// Matches if all requirements match; an empty selector matches everything.
using selector = std::vector<requirement>;

/// Reads {"key": "value"}, {"key": ["a", "b"]}, {"key": {"in": [...]}},
/// {"key": {"not_in": [...]}} and {"key": {"exists": true|false}}. Other values
/// are added to `problems` under `path`.
selector read_selector(const json& value, const std::string& path,
                       problem_list& problems);

bool matches(const requirement& condition, const label_map& labels);
bool matches(const selector& conditions, const label_map& labels);

/// Human-readable form, such as "cargo in (hazard), urgent exists".
std::string describe(const selector& conditions);

}  // namespace trestlepost::config
