// Tests that the incremental index of keys equals one that is built anew, also
// when keys move between organisations.
#include "trestlepost/routing/organisation_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace trestlepost::routing {
namespace {

using config::organisation;
using config::organisation_list;
using config::organisation_ptr;

constexpr int organisations = 5;
constexpr int keys = 8;

/// Gives each key to one organisation or to none. Organisations of `old` that
/// keep their keys are shared, as they are between plans.
organisation_list any_list(const organisation_list& old) {
  std::map<std::string, organisation> all;
  for (int n = 0; n < organisations; ++n) {
    if (*rc::gen::inRange(0, 4) == 0) continue;
    const std::string name = "org-" + std::to_string(n);
    all[name].name = name;
    if (*rc::gen::arbitrary<bool>()) all[name].limit = config::usage_limit{};
  }
  for (int n = 0; n < keys; ++n) {
    const int owner = *rc::gen::inRange(0, organisations + 1);
    const auto it = all.find("org-" + std::to_string(owner));
    if (it == all.end()) continue;
    it->second.key_digests.push_back("digest-" + std::to_string(n));
  }
  organisation_list out;
  for (const auto& [name, it] : all) {
    organisation_ptr same;
    for (const organisation_ptr& one : old) {
      if (*one == it) same = one;
    }
    out.push_back(same ? same : std::make_shared<const organisation>(it));
  }
  return out;
}

RC_GTEST_PROP(organisation_table_test, updates_equal_a_new_table, ()) {
  organisation_table table;
  organisation_list now;
  for (int step = 0; step < 6; ++step) {
    now = any_list(now);
    table.update(now);
    std::map<std::string, std::string> owners;
    for (const organisation_ptr& it : now) {
      for (const std::string& one : it->key_digests) owners[one] = it->name;
    }
    for (int n = 0; n < keys; ++n) {
      const std::string digest = "digest-" + std::to_string(n);
      const organisation_ptr found = table.find_by_key(digest);
      const auto expected = owners.find(digest);
      RC_ASSERT((found != nullptr) == (expected != owners.end()));
      if (found) RC_ASSERT(found->name == expected->second);
    }
    for (const organisation_ptr& it : now) {
      RC_ASSERT(table.find(it->name) == it);
    }
    RC_ASSERT(table.find("org-none") == nullptr);
    const bool limited = std::any_of(
        now.begin(), now.end(),
        [](const organisation_ptr& it) { return it->limit.has_value(); });
    RC_ASSERT(table.has_limit() == limited);
  }
}

}  // namespace
}  // namespace trestlepost::routing
