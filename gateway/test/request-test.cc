#include "trestlepost/gateway/request.h"

#include <gtest/gtest.h>

#include "trestlepost/gateway/forward_message.h"

namespace trestlepost::gateway {
namespace {

TEST(parse_labels_test, reads_pairs_and_refuses_the_rest) {
  EXPECT_EQ(parse_labels("a=1, b=2")->at("b"), "2");
  EXPECT_TRUE(parse_labels("")->empty());
  for (const char* it : {"a", "=1", "a=", "a=1,,b=2", "a=1,a=2", ","}) {
    EXPECT_FALSE(parse_labels(it)) << it;
  }
}

TEST(bearer_token_test, takes_only_its_scheme) {
  EXPECT_EQ(bearer_token("Bearer abc"), "abc");
  EXPECT_EQ(bearer_token("Basic abc"), "");
  EXPECT_EQ(bearer_token(""), "");
}

TEST(sound_request_id_test, drops_what_could_harm_a_log) {
  EXPECT_EQ(sound_request_id("a-1_b.c"), "a-1_b.c");
  EXPECT_EQ(sound_request_id("a\nb"), "");
  EXPECT_EQ(sound_request_id(std::string(200, 'a')), "");
}

TEST(read_model_call_test, finds_model_and_prefix) {
  const std::string first = R"({"model":"m","messages":[{"content":")" +
                            std::string(600, 'x') + R"(1"}]})";
  const std::string second = R"({"model":"m","messages":[{"content":")" +
                             std::string(600, 'x') + R"(2"}]})";
  EXPECT_EQ(read_model_call(first)->affinity,
            read_model_call(second)->affinity);
  EXPECT_NE(read_model_call(first)->affinity, 0U);
  EXPECT_FALSE(read_model_call("{}"));
  EXPECT_FALSE(read_model_call("no json"));
}

TEST(forward_message_test, survives_its_encoding_and_proves_its_sender) {
  forward_message sent;
  sent.request_id = "r";
  sent.caller = "c";
  sent.service = "s";
  sent.method = "POST";
  sent.path = "/p";
  sent.labels["k"] = "v";
  sent.avoid = {"e1"};
  sent.revision = 7;
  const std::string head = to_text(to_json(sent));
  const result<forward_message> received = forward_message_from(head);
  ASSERT_TRUE(received);
  EXPECT_EQ(received->labels, sent.labels);
  EXPECT_EQ(received->avoid, sent.avoid);
  EXPECT_EQ(received->revision, 7U);
  EXPECT_NE(forward_digest("k", head, "a"), forward_digest("k", head, "b"));
  EXPECT_NE(forward_digest("k", head, "a"), forward_digest("j", head, "a"));
  EXPECT_FALSE(forward_message_from("{}"));
}

TEST(request_digest_test, tells_bodies_apart) {
  incoming_request a;
  a.method = "POST";
  a.body = "1";
  incoming_request b = a;
  EXPECT_EQ(request_digest(a), request_digest(b));
  b.body = "2";
  EXPECT_NE(request_digest(a), request_digest(b));
}

}  // namespace
}  // namespace trestlepost::gateway
