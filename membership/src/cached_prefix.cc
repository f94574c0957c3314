#include "trestlepost/membership/cached_prefix.h"

#include <utility>

namespace trestlepost::membership {

json to_json(const cached_prefix& value) {
  json out(Json::arrayValue);
  out.append(value.endpoint);
  for (const prompt_section& it : value.sections) {
    out.append(as_number(it.id));
    out.append(it.tokens);
  }
  return out;
}

cached_prefix cached_prefix_from(const json& value) {
  cached_prefix out;
  if (!value.isArray() || value.empty() || !value[0].isString()) return out;
  out.endpoint = value[0].asString();
  for (Json::ArrayIndex i = 1; i + 1 < value.size(); i += 2) {
    if (!value[i].isUInt64() || !value[i + 1].isUInt()) break;
    out.sections.push_back({value[i].asUInt64(), value[i + 1].asUInt()});
  }
  return out;
}

json to_json(const std::vector<cached_prefix>& values) {
  json out(Json::arrayValue);
  for (const cached_prefix& it : values) out.append(to_json(it));
  return out;
}

std::vector<cached_prefix> cached_prefixes_from(const json& value) {
  std::vector<cached_prefix> out;
  if (!value.isArray()) return out;
  for (const json& it : value) {
    cached_prefix one = cached_prefix_from(it);
    if (!one.sections.empty()) out.push_back(std::move(one));
  }
  return out;
}

}  // namespace trestlepost::membership
