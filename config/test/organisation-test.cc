// Tests validation of organisations, and that a change of one among many is a
// small update that leaves the others shared.
#include "trestlepost/config/organisation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "trestlepost/config/plan_delta.h"

namespace trestlepost::config {
namespace {

organisation_ptr organisation_of(const std::string& name,
                                 const std::vector<std::string>& keys) {
  organisation out;
  out.name = name;
  for (const std::string& it : keys) out.key_digests.push_back(key_digest(it));
  return std::make_shared<const organisation>(std::move(out));
}

traffic_plan plan_of(plan_number number, organisation_list all) {
  traffic_plan out;
  out.number = number;
  out.requires_key = true;
  out.organisations = std::move(all);
  sort_by_name(out.organisations);
  return out;
}

organisation_list any_organisations() {
  organisation_list out;
  for (int n = 0; n < 6; ++n) {
    const int version = *rc::gen::inRange(0, 4);
    if (version == 0) continue;
    const std::string name = "org-" + std::to_string(n);
    out.push_back(organisation_of(name, {name + std::to_string(version)}));
  }
  return out;
}

std::string texts_of(const organisation_list& all) {
  return to_text(to_json(all));
}

TEST(organisation_test, a_key_of_two_organisations_is_refused_by_name_only) {
  const result<void> valid = validate_organisations(
      {organisation_of("a", {"first"}), organisation_of("b", {"first"})});
  ASSERT_FALSE(valid);
  EXPECT_EQ(valid.error().kind, error_kind::bad_input);
  EXPECT_NE(valid.error().message.find("a and b share a key"),
            std::string::npos);
  EXPECT_EQ(valid.error().message.find("first"), std::string::npos);
}

TEST(organisation_test, unnamed_and_doubled_organisations_are_refused) {
  EXPECT_FALSE(validate_organisations({organisation_of("", {"k"})}));
  EXPECT_FALSE(validate_organisations(
      {organisation_of("a", {"k"}), organisation_of("a", {"l"})}));
  EXPECT_TRUE(validate_organisations(
      {organisation_of("a", {}), organisation_of("b", {"l"})}));
}

TEST(organisation_test, all_properties_survive_the_wire) {
  organisation one = *organisation_of("a", {"k", "l"});
  one.priority = 0;
  one.home_regions = {"north"};
  one.limit = usage_limit{36'000, 72'000.5, usage_unit::tokens, 200};
  EXPECT_EQ(*organisation_from(to_json(one)), one);
}

TEST(organisation_test, taking_one_key_away_among_many_is_a_small_update) {
  constexpr int count = 31'000;
  constexpr std::size_t max_bytes = 700;
  organisation_list all;
  for (int n = 0; n < count; ++n) {
    const std::string name = "org-" + std::to_string(n);
    all.push_back(organisation_of(name, {name + "-k", name + "-l"}));
  }
  const traffic_plan before = plan_of(1, all);
  traffic_plan after = before;
  after.number = 2;
  after.organisations[7] =
      organisation_of(before.organisations[7]->name, {"other"});
  const plan_delta delta = make_plan_delta(&before, after);
  EXPECT_EQ(delta.size(), 1U);
  EXPECT_LT(to_text(to_json(delta)).size(), max_bytes);
  const traffic_plan applied = apply_plan_delta(&before, delta);
  int copied = 0;
  for (int n = 0; n < count; ++n) {
    if (applied.organisations[n] != before.organisations[n]) ++copied;
  }
  EXPECT_EQ(copied, 1);
}

RC_GTEST_PROP(organisation_test, a_delta_leads_to_the_organisations_of_the_plan,
              ()) {
  const traffic_plan before = plan_of(1, any_organisations());
  traffic_plan after = plan_of(2, any_organisations());
  after.requires_key = *rc::gen::arbitrary<bool>();
  const result<plan_delta> sent =
      plan_delta_from(to_json(make_plan_delta(&before, after)));
  RC_ASSERT(sent.has_value());
  const traffic_plan got = apply_plan_delta(&before, *sent);
  RC_ASSERT(texts_of(got.organisations) == texts_of(after.organisations));
  RC_ASSERT(got.requires_key == after.requires_key);
}

}  // namespace
}  // namespace trestlepost::config
