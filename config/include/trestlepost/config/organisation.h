// Organisations of a traffic plan: who calls, with which keys, in which regions
// and up to which usage. Keys are stored as digests only.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/base/json.h"

namespace trestlepost::config {

/// What a usage limit counts.
enum class usage_unit { requests, tokens };

std::string_view to_string(usage_unit unit);

/// A limit on the usage of an organisation over all nodes together.
struct usage_limit {
  double amount_per_second = 0;
  double burst = 0;  // may be used on top, refilled at the rate above
  usage_unit unit = usage_unit::requests;
  /// Tokens that a request counts for if it states none.
  std::uint32_t tokens_of_plain_request = 0;

  bool operator==(const usage_limit&) const = default;
};

struct organisation {
  std::string name;
  std::vector<std::string> key_digests;  // sorted, see `key_digest`
  /// Takes precedence over the priority of the route; 0 is the highest.
  std::optional<int> priority;
  /// Regions that may serve, cache and store the requests; empty: all.
  std::vector<std::string> home_regions;
  std::optional<usage_limit> limit;

  bool operator==(const organisation&) const = default;
};

using organisation_ptr = std::shared_ptr<const organisation>;

/// Organisations sorted by name. Plans share those that did not change, so that
/// a change of one costs no copy of the others.
using organisation_list = std::vector<organisation_ptr>;

/// Returns the form in which a key is stored and compared.
std::string key_digest(std::string_view key);

/// Sorts the list by name, as `traffic_plan` requires.
void sort_by_name(organisation_list& all);

/// Called with the old and the new version of an organisation; one of them is
/// null if it was added or removed.
using organisation_visitor = std::function<void(const organisation_ptr& before,
                                                const organisation_ptr& after)>;

/// Visits the organisations that two lists, which are sorted by name, don't
/// share. They are compared by address only.
void visit_changes(const organisation_list& before,
                   const organisation_list& after,
                   const organisation_visitor& visit);

json to_json(const organisation& value);
organisation_ptr organisation_from(const json& value);
json to_json(const organisation_list& value);
organisation_list organisations_from(const json& value);

/// Returns the first error: no name, a name listed twice, or a key of two
/// organisations. The message never contains a key.
result<void> validate_organisations(const organisation_list& all);

}  // namespace trestlepost::config
