#include "trestlepost/membership/limit_statement.h"

#include <cmath>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

bool is_limit(const json& value) {
  return value.isNull() ||
         (value.isNumeric() && std::isfinite(value.asDouble()) &&
          value.asDouble() >= 0);
}

}  // namespace

void merge(limit_statements& into, const limit_statements& from,
           milliseconds received_ago) {
  for (const auto& [endpoint, it] : from) {
    const limit_statement aged{it.per_second, it.age + received_ago};
    const auto known = into.find(endpoint);
    if (known == into.end() || aged.age < known->second.age)
      into[endpoint] = aged;
  }
}

json to_json(const limit_statements& value) {
  json out(Json::objectValue);
  for (const auto& [endpoint, it] : value) {
    json& one = out[endpoint] = json(Json::arrayValue);
    one.append(it.per_second ? json(*it.per_second) : json());
    one.append(as_number(it.age));
  }
  return out;
}

limit_statements limit_statements_from(const json& value) {
  limit_statements out;
  if (!value.isObject()) return out;
  for (const std::string& endpoint : value.getMemberNames()) {
    const json& one = value[endpoint];
    const bool valid =
        one.isArray() && one.size() == 2 && is_limit(one[0]) && one[1].isUInt();
    if (!valid) continue;
    limit_statement& it = out[endpoint];
    if (!one[0].isNull()) it.per_second = one[0].asDouble();
    it.age = milliseconds(one[1].asUInt());
  }
  return out;
}

}  // namespace trestlepost::membership
