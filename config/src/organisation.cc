#include "trestlepost/config/organisation.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::config {
namespace {

constexpr char remedy[] = "correct the organisation and send the plan again";

json to_json(const usage_limit& value) {
  json out;
  out["amount_per_second"] = value.amount_per_second;
  out["burst"] = value.burst;
  out["unit"] = std::string(to_string(value.unit));
  if (value.tokens_of_plain_request != 0) {
    out["tokens_of_plain_request"] = value.tokens_of_plain_request;
  }
  return out;
}

usage_limit limit_from(const json& value) {
  usage_limit out;
  out.amount_per_second = real_of(value, "amount_per_second");
  out.burst = real_of(value, "burst");
  const bool tokens = text_of(value, "unit") == to_string(usage_unit::tokens);
  out.unit = tokens ? usage_unit::tokens : usage_unit::requests;
  out.tokens_of_plain_request =
      static_cast<std::uint32_t>(number_of(value, "tokens_of_plain_request"));
  return out;
}

json to_json(const std::vector<std::string>& value) {
  json out(Json::arrayValue);
  for (const std::string& it : value) out.append(it);
  return out;
}

}  // namespace

std::string_view to_string(usage_unit unit) {
  return unit == usage_unit::tokens ? "tokens" : "requests";
}

std::string key_digest(std::string_view key) {
  return sha256_hex(key);
}

void sort_by_name(organisation_list& all) {
  std::sort(all.begin(), all.end(),
            [](const organisation_ptr& a, const organisation_ptr& b) {
              return a->name < b->name;
            });
}

void visit_changes(const organisation_list& before,
                   const organisation_list& after,
                   const organisation_visitor& visit) {
  auto old = before.begin();
  for (const organisation_ptr& it : after) {
    while (old != before.end() && (*old)->name < it->name) {
      visit(*old++, nullptr);
    }
    const bool known = old != before.end() && (*old)->name == it->name;
    const organisation_ptr previous = known ? *old++ : nullptr;
    if (previous != it) visit(previous, it);
  }
  while (old != before.end()) visit(*old++, nullptr);
}

json to_json(const organisation& value) {
  json out;
  out["name"] = value.name;
  out["keys"] = to_json(value.key_digests);
  if (value.priority) out["priority"] = *value.priority;
  if (!value.home_regions.empty()) {
    out["home_regions"] = to_json(value.home_regions);
  }
  if (value.limit) out["limit"] = to_json(*value.limit);
  return out;
}

organisation_ptr organisation_from(const json& value) {
  organisation out;
  out.name = text_of(value, "name");
  out.key_digests = texts_of(value, "keys");
  const json& priority = member_of(value, "priority");
  if (priority.isInt()) out.priority = priority.asInt();
  out.home_regions = texts_of(value, "home_regions");
  const json& limit = member_of(value, "limit");
  if (limit.isObject()) out.limit = limit_from(limit);
  return std::make_shared<const organisation>(std::move(out));
}

json to_json(const organisation_list& value) {
  json out(Json::arrayValue);
  for (const organisation_ptr& it : value) out.append(to_json(*it));
  return out;
}

organisation_list organisations_from(const json& value) {
  organisation_list out;
  out.reserve(value.size());
  for (const json& it : value) out.push_back(organisation_from(it));
  sort_by_name(out);
  return out;
}

result<void> validate_organisations(const organisation_list& all) {
  std::unordered_map<std::string_view, std::string_view> owners;
  owners.reserve(2 * all.size());
  std::string_view previous;
  for (const organisation_ptr& it : all) {
    if (it->name.empty()) {
      return fail(error_kind::bad_input, "an organisation has no name", remedy);
    }
    if (it->name == previous) {
      return fail(error_kind::bad_input,
                  "the organisation " + it->name + " is listed twice", remedy);
    }
    previous = it->name;
    for (const std::string& digest : it->key_digests) {
      const auto [owner, added] = owners.emplace(digest, it->name);
      if (added || owner->second == it->name) continue;
      return fail(error_kind::bad_input,
                  "the organisations " + std::string(owner->second) + " and " +
                      it->name + " share a key",
                  "give each organisation keys of its own");
    }
  }
  return {};
}

}  // namespace trestlepost::config
