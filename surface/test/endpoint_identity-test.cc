// Names of endpoint incarnations are unique and contain the id.
#include "trestlepost/surface/endpoint_identity.h"

#include <gtest/gtest.h>

namespace trestlepost::surface {
namespace {

using std::chrono::milliseconds;

const start_time later{milliseconds(1764722400123)};

TEST(endpoint_identity_test, each_incarnation_has_its_own_name) {
  EXPECT_EQ((endpoint_identity{"i-7", {}}).name(), "i-7");
  EXPECT_EQ((endpoint_identity{"i-7", later}).name(), "i-7@1764722400123");
  // Must differ from the name of a later incarnation of "i-7".
  EXPECT_EQ((endpoint_identity{"i-7@1764722400123", {}}).name(),
            "i-7@1764722400123@0");
}

TEST(endpoint_identity_test, the_id_is_found_in_the_name) {
  for (const char* id : {"i-7", "i-7@9", "@", ""}) {
    for (const start_time& born : {start_time{}, later}) {
      EXPECT_EQ(id_in_name(endpoint_identity{id, born}.name()), id);
    }
  }
}

}  // namespace
}  // namespace trestlepost::surface
