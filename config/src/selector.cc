#include "trestlepost/config/selector.h"

#include <algorithm>
#include <utility>

namespace trestlepost::config {
namespace {

constexpr char selector_remedy[] =
    "write \"value\", [\"a\", \"b\"], {\"in\": [...]}, {\"not_in\": [...]} or "
    "{\"exists\": true}";

bool read_values(const json& value, std::vector<std::string>& out) {
  if (value.isString()) {
    out.push_back(value.asString());
    return true;
  }
  if (!value.isArray() || value.empty()) return false;
  for (const json& it : value) {
    if (!it.isString()) return false;
    out.push_back(it.asString());
  }
  return true;
}

bool read_operator(const json& value, requirement& out) {
  if (value.size() != 1) return false;
  if (value.isMember("in")) return read_values(value["in"], out.values);
  if (value.isMember("not_in")) {
    out.op = selector_operator::not_in;
    return read_values(value["not_in"], out.values);
  }
  const json& exists = member_of(value, "exists");
  if (!exists.isBool()) return false;
  out.op =
      exists.asBool() ? selector_operator::exists : selector_operator::absent;
  return true;
}

}  // namespace

selector read_selector(const json& value, const std::string& path,
                       problem_list& problems) {
  selector out;
  if (value.isNull()) return out;
  if (!value.isObject()) {
    problems.add(value, path, "a selector is expected", selector_remedy);
    return out;
  }
  for (auto it = value.begin(); it != value.end(); ++it) {
    requirement one;
    one.key = it.name();
    const bool ok =
        it->isObject() ? read_operator(*it, one) : read_values(*it, one.values);
    if (!ok) {
      problems.add(*it, path + "." + one.key, "the condition is not understood",
                   selector_remedy);
      continue;
    }
    out.push_back(std::move(one));
  }
  return out;
}

bool matches(const requirement& condition, const label_map& labels) {
  const auto it = labels.find(condition.key);
  const bool present = it != labels.end();
  const bool listed =
      present && std::find(condition.values.begin(), condition.values.end(),
                           it->second) != condition.values.end();
  switch (condition.op) {
    case selector_operator::in:
      return listed;
    case selector_operator::not_in:
      return !listed;
    case selector_operator::exists:
      return present;
    case selector_operator::absent:
      break;
  }
  return !present;
}

bool matches(const selector& conditions, const label_map& labels) {
  return std::all_of(
      conditions.begin(), conditions.end(),
      [&labels](const requirement& it) { return matches(it, labels); });
}

std::string describe(const selector& conditions) {
  if (conditions.empty()) return "(all)";
  std::string out;
  for (const requirement& it : conditions) {
    if (!out.empty()) out += ", ";
    out += it.key;
    if (it.op == selector_operator::exists) out += " exists";
    if (it.op == selector_operator::absent) out += " absent";
    if (it.values.empty()) continue;
    out += it.op == selector_operator::in ? " in (" : " not in (";
    for (std::size_t i = 0; i < it.values.size(); ++i) {
      out += (i == 0 ? "" : " ") + it.values[i];
    }
    out += ")";
  }
  return out;
}

}  // namespace trestlepost::config
