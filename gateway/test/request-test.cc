// Tests the encoding of forwarded requests and the digest of a request.
#include "trestlepost/gateway/request.h"

#include <gtest/gtest.h>

#include <vector>

#include "trestlepost/gateway/forward_message.h"

namespace trestlepost::gateway {
namespace {

TEST(forward_message_test, survives_encoding_and_authenticates_its_sender) {
  forward_message sent;
  sent.head.request_id = "r";
  sent.head.method = "POST";
  sent.head.target = "/p";
  sent.head.passthrough_headers = {{"Content-Type", "text/plain"}};
  sent.caller = "c";
  sent.service = "s";
  sent.labels["k"] = "v";
  sent.avoid = {"e1"};
  sent.revision = 7;
  const std::string head = to_text(to_json(sent));
  const result<forward_message> received = forward_message_from(head);
  ASSERT_TRUE(received);
  EXPECT_EQ(received->head.request_id, "r");
  EXPECT_EQ(received->head.method, "POST");
  EXPECT_EQ(received->head.target, "/p");
  EXPECT_EQ(received->head.passthrough_headers, sent.head.passthrough_headers);
  EXPECT_EQ(received->labels, sent.labels);
  EXPECT_EQ(received->avoid, sent.avoid);
  EXPECT_EQ(received->revision, 7U);
  EXPECT_NE(forward_digest("k", head, "a"), forward_digest("k", head, "b"));
  EXPECT_NE(forward_digest("k", head, "a"), forward_digest("j", head, "a"));
}

TEST(forward_message_test, an_invalid_message_is_rejected) {
  const std::string head = R"("head":{"request_id":"r","method":"POST",)"
                           R"("target":"/p","headers":[]})";
  EXPECT_TRUE(
      forward_message_from(R"({"caller":"c","service":"s",)" + head + "}"));
  const std::vector<std::string> table{
      "",
      "{}",
      "[]",
      "7",
      R"({"caller":"c","service":"s"})",
      R"({"caller":"c","service":"s","head":7})",
      R"({"caller":"c","service":"s","head":[]})",
      R"({"caller":"c","service":"s",)" + head,
      R"({"caller":"c",)" + head + "}",
      R"({"service":"s",)" + head + "}",
      R"({"caller":["c"],"service":"s",)" + head + "}",
      R"({"caller":"c","service":"s","head":{"request_id":"r",)"
      R"("method":"POST","target":"p"}})",
      R"({"caller":"c","service":"s","head":{"request_id":"r",)"
      R"("method":"POST","target":"/p","headers":["X-A",[]]}})",
  };
  for (const std::string& it : table) {
    EXPECT_FALSE(forward_message_from(it)) << it;
  }
}

TEST(request_digest_test, depends_on_the_body_and_its_type) {
  incoming_request a;
  a.head.method = "POST";
  a.body = std::make_shared<const std::string>("1");
  incoming_request b = a;
  EXPECT_EQ(request_digest(a), request_digest(b));
  b.body = std::make_shared<const std::string>("2");
  EXPECT_NE(request_digest(a), request_digest(b));
  b = a;
  b.head.passthrough_headers = {{"Content-Type", "text/plain"}};
  EXPECT_NE(request_digest(a), request_digest(b));
}

}  // namespace
}  // namespace trestlepost::gateway
