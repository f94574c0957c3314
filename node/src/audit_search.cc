#include "audit_search.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace trestlepost::node {
namespace {

// Number of records that are returned if the filter sets no limit.
constexpr std::size_t default_record_limit = 50;

}  // namespace

json search_audit(const std::deque<config::audit_record>& all,
                  const json& filter) {
  const std::string by = text_of(filter, "operator");
  const std::string name = text_of(filter, "name");
  const std::string kind = text_of(filter, "kind");
  const std::int64_t since =
      static_cast<std::int64_t>(number_of(filter, "since_ms"));
  const std::int64_t until =
      static_cast<std::int64_t>(number_of(filter, "until_ms"));
  std::size_t limit = number_of(filter, "limit");
  if (limit == 0) limit = default_record_limit;
  json rows(Json::arrayValue);
  for (auto it = all.rbegin(); it != all.rend() && rows.size() < limit; ++it) {
    const std::int64_t at = to_unix_ms(it->at);
    if (!by.empty() && it->operator_name != by) continue;
    if (at < since || (until != 0 && at > until)) continue;
    bool matched = name.empty() && kind.empty();
    const json objects = matched ? json() : it->objects();
    for (const json& object : objects) {
      const bool same_name = name.empty() || text_of(object, "name") == name;
      const bool same_kind = kind.empty() || text_of(object, "kind") == kind;
      matched = matched || (same_name && same_kind);
    }
    if (matched) rows.append(config::to_json(*it));
  }
  json out;
  out["records"] = std::move(rows);
  return out;
}

}  // namespace trestlepost::node
