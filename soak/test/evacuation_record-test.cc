// Tests that the soak's record of evacuations reports what it must.
#include "evacuation_record.h"

#include <gtest/gtest.h>

namespace trestlepost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

system_clock::time_point at(int ms) {
  return system_clock::time_point(milliseconds(ms));
}

bool always(const zone_arrival&) {
  return true;
}

bool never(const zone_arrival&) {
  return false;
}

/// Evacuates the zone at 1 s, and puts it back into service at 20 s.
evacuation_record make_record(violation_list& violations) {
  evacuation_record out(violations);
  out.record_sent(true, at(1000));
  out.record_acknowledged(at(2000));
  out.record_sent(false, at(20'000));
  out.record_acknowledged(at(20'100));
  return out;
}

TEST(evacuation_record_test, changes_by_their_orders_are_no_violation) {
  violation_list violations;
  evacuation_record it = make_record(violations);
  it.check_changes({{at(1000), true}, {at(20'050), false}});
  EXPECT_TRUE(violations.empty());
}

// An order that was given up is carried out after it was repeated elsewhere and
// the opposite one was acknowledged.
TEST(evacuation_record_test, changes_by_outdated_orders_are_violations) {
  violation_list violations;
  evacuation_record it = make_record(violations);
  it.check_changes({{at(1500), true}, {at(2500), false}, {at(500), true}});
  EXPECT_EQ(violations.size(), 2U);
  it.check_changes({{at(20'050), true}});
  EXPECT_EQ(violations.size(), 3U);
}

TEST(evacuation_record_test, late_arrivals_are_a_violation) {
  violation_list violations;
  evacuation_record it = make_record(violations);
  it.check_arrivals({{at(6900), "g"}, {at(20'001), "g"}, {at(500), "g"}},
                    always, always);
  EXPECT_TRUE(violations.empty());
  it.check_arrivals({{at(7100), "g"}, {at(14'900), "g"}}, never, always);
  EXPECT_TRUE(violations.empty());
  it.check_arrivals({{at(15'100), "g"}}, never, always);
  EXPECT_EQ(violations.size(), 1U);
  it.check_arrivals({{at(7100), "g"}}, always, never);
  EXPECT_EQ(violations.size(), 2U);
  EXPECT_EQ(it.late_arrivals(), 2);
}

}  // namespace
}  // namespace trestlepost::soak
