// Tests dispatch of JSON-RPC requests, including malformed ones, and parsing of
// responses.
#include "trestlepost/transport/rpc.h"

#include <gtest/gtest.h>

namespace trestlepost::transport {
namespace {

TEST(rpc_test, dispatches_methods_notifications_and_errors) {
  rpc_dispatcher it;
  int received = 0;
  it.add_method(
      "double",
      [](const json& params, const rpc_context& caller) -> result<json> {
        if (caller.role != "read") {
          return fail(error_kind::unauthorized, "no", "log in");
        }
        json out;
        out["n"] = params["n"].asInt() * 2;
        return out;
      });
  it.add_notification(
      "tell", [&received](const json&, const rpc_context&) { ++received; });
  json params;
  params["n"] = 21;
  const rpc_context reader{"anna", "read"};
  const result<json> response = parse_rpc_response(
      it.dispatch(make_rpc_request("double", params, 1), reader));
  ASSERT_TRUE(response);
  EXPECT_EQ((*response)["n"].asInt(), 42);
  const result<json> refused = parse_rpc_response(
      it.dispatch(make_rpc_request("double", params, 1), {"x", "none"}));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, error_kind::unauthorized);
  EXPECT_EQ(refused.error().remedy, "log in");
  it.dispatch(make_rpc_notification("tell", params), reader);
  EXPECT_EQ(received, 1);
}

TEST(rpc_test, rejects_malformed_requests) {
  rpc_dispatcher it;
  it.add_method("m",
                [](const json& params, const rpc_context&) -> result<json> {
                  return params["x"]["y"];
                });
  for (const char* text :
       {"", "{", "[]", "null", "{\"jsonrpc\":\"2.0\"}",
        R"({"jsonrpc":"2.0","method":"none","params":{},"id":1})",
        R"({"jsonrpc":"2.0","method":"m","params":{"x":1},"id":1})"}) {
    const result<json> response = parse_rpc_response(it.dispatch(text, {}));
    EXPECT_FALSE(response) << text;
  }
}

}  // namespace
}  // namespace trestlepost::transport
