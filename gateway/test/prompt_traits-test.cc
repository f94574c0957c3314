// Traits of requests that come from the parts of their prompts.
#include "trestlepost/gateway/prompt_traits.h"

#include <gtest/gtest.h>

namespace trestlepost::gateway {
namespace {

using routing::trait_kind;

const std::string secret = "a secret";
const monotonic_time start = monotonic_time(std::chrono::hours(1));

routed_request request_with(const std::vector<std::uint64_t>& parts,
                            const std::string& organisation = "") {
  routed_request out;
  out.service = "model";
  for (const std::uint64_t it : parts) out.head.prompt.parts.push_back({it, 1});
  if (organisation.empty()) return out;
  config::organisation owner;
  owner.name = organisation;
  out.organisation = std::make_shared<const config::organisation>(owner);
  return out;
}

std::vector<std::string> fingerprints(prompt_traits& traits,
                                      const routed_request& request) {
  std::vector<std::string> out;
  for (const prompt_trait& it : traits.of(request))
    out.push_back(it.trait.fingerprint);
  return out;
}

TEST(prompt_traits_test, the_last_part_is_no_trait) {
  prompt_traits traits(secret);
  EXPECT_EQ(fingerprints(traits, request_with({1, 2, 3})),
            fingerprints(traits, request_with({1, 2, 4})));
  EXPECT_TRUE(traits.of(request_with({1})).empty());
  EXPECT_TRUE(traits.of(request_with({})).empty());
}

// An organisation could have the parts of another one held by its own requests.
TEST(prompt_traits_test, organisations_share_only_the_trait_of_all_callers) {
  prompt_traits traits(secret);
  const std::vector<prompt_trait> a = traits.of(request_with({1, 2}, "a"));
  const std::vector<prompt_trait> b = traits.of(request_with({1, 2}, "b"));
  ASSERT_EQ(a.size(), 2U);
  EXPECT_EQ(a[0].trait.kind, trait_kind::organisation_part);
  EXPECT_NE(a[0].trait, b[0].trait);
  EXPECT_EQ(a[1].trait.kind, trait_kind::part);
  EXPECT_EQ(a[1].trait, b[1].trait);
}

TEST(prompt_traits_test, the_last_begin_is_known_until_many_parts_follow) {
  prompt_traits traits(secret);
  traits.record_begin(request_with({1, 2}), start);
  EXPECT_EQ(traits.of(request_with({1, 3})).front().last_begin, start);
  EXPECT_EQ(traits.of(request_with({2, 3})).front().last_begin, std::nullopt);
  for (std::uint64_t n = 10; n < 10'000; ++n)
    traits.record_begin(request_with({n, 2}), start);
  EXPECT_EQ(traits.of(request_with({1, 3})).front().last_begin, std::nullopt);
}

// Callers may send any number of parts.
TEST(prompt_traits_test, the_parts_of_one_prompt_are_bounded) {
  prompt_traits traits(secret);
  std::vector<std::uint64_t> parts;
  for (std::uint64_t n = 0; n < 5000; ++n) parts.push_back(n);
  EXPECT_EQ(traits.of(request_with(parts)).size(), 64U);
}

TEST(prompt_traits_test, fingerprints_do_not_reveal_the_part) {
  prompt_traits one(secret);
  const std::string other_secret = "another secret";
  prompt_traits other(other_secret);
  EXPECT_NE(fingerprints(one, request_with({1, 2})),
            fingerprints(other, request_with({1, 2})));
}

}  // namespace
}  // namespace trestlepost::gateway
