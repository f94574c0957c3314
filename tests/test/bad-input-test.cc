// Tests that invalid requests get their typed error and that malformed bytes on
// any port don't disturb a node.
#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "cluster.h"
#include "trestlepost/transport/asio.h"

namespace trestlepost::test {
namespace {

using bench::caller_answer;
using bench::caller_request;

struct call_case {
  const char* what;
  const char* target;
  const char* token;
  const char* header;
  const char* value;
  const char* body;
  unsigned status;
  const char* kind;
};

TEST(bad_input_test, each_invalid_request_gets_its_typed_error) {
  cluster it;
  it.bring_up();
  const char* chat = "/v1/chat/completions";
  const char* valid_body = R"({"model":"guida","messages":[]})";
  const call_case cases[] = {
      {"malformed JSON", chat, "planner-token", "X", "x", "{\"model\":", 400,
       "bad-input"},
      {"no model", chat, "planner-token", "X", "x", "{}", 400, "bad-input"},
      {"deep JSON", chat, "planner-token", "X", "x",
       "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
       400, "bad-input"},
      {"unknown service", chat, "planner-token", "X", "x",
       R"({"model":"none"})", 404, "unknown-service"},
      {"no token", chat, "", "X", "x", valid_body, 401, "unauthorized"},
      {"wrong token", chat, "guess", "X", "x", valid_body, 401, "unauthorized"},
      {"label not allowed", chat, "planner-token", "Trestlepost-Labels",
       "team=terminal", valid_body, 403, "label-not-allowed"},
      {"label unreadable", chat, "planner-token", "Trestlepost-Labels", "team",
       valid_body, 400, "bad-input"},
      {"priority", chat, "planner-token", "Trestlepost-Priority", "eleven",
       valid_body, 400, "bad-input"},
      {"deadline", chat, "planner-token", "Trestlepost-Deadline-Ms", "-5",
       valid_body, 400, "bad-input"},
      {"repeatable", chat, "planner-token", "Trestlepost-Repeatable", "maybe",
       valid_body, 400, "bad-input"},
      {"unknown path", "/v2/none", "planner-token", "X", "x", valid_body, 404,
       "not-found"},
      {"no path after the service", "/v1/services/banco", "planner-token", "X",
       "x", valid_body, 404, "not-found"},
  };
  for (const call_case& one : cases) {
    caller_request request;
    request.address = it.address("isola-1", 7000);
    request.target = one.target;
    request.token = one.token;
    request.headers = {{one.header, one.value}};
    request.body = one.body;
    const caller_answer answer = bench::send_and_wait(request);
    EXPECT_EQ(answer.status, one.status) << one.what << answer.body;
    EXPECT_EQ(answer.kind, one.kind) << one.what;
    EXPECT_EQ(answer.ran, "no") << one.what;
    EXPECT_NE(answer.body.find("remedy"), std::string::npos) << one.what;
  }
  EXPECT_TRUE(it.all_runs().empty());
  EXPECT_EQ(bench::send_and_wait(it.model_request("isola-1", "planner")).status,
            200U);
}

TEST(bad_input_test, malformed_bytes_on_any_port_leave_the_node_ready) {
  cluster it;
  it.bring_up();
  const std::string inputs[] = {
      std::string(100'000, '\0'),
      std::string(100'000, 'A') + "\r\n\r\n",
      "POST /rpc HTTP/1.1\r\nContent-Length: 10\r\n\r\n{",
      "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzzz\r\n",
      "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
  };
  for (const int port : {7000, 7001, 7002, 7003}) {
    for (const std::string& text : inputs) {
      boost::asio::io_context io;
      boost::asio::ip::tcp::socket socket(io);
      boost::system::error_code ec;
      socket.connect(*transport::parse_address(it.address("isola-2", port)),
                     ec);
      ASSERT_FALSE(ec);
      boost::asio::write(socket, boost::asio::buffer(text), ec);
    }
  }
  caller_request unauthenticated;
  unauthenticated.address = it.address("isola-2", 7001);
  unauthenticated.target = "/forward";
  unauthenticated.headers = {{"Trestlepost-Forward", R"({"caller":"planner"})"},
                             {"Trestlepost-Forward-Digest", "00"}};
  unauthenticated.body = "{}";
  EXPECT_EQ(bench::send_and_wait(unauthenticated).kind, "unauthorized");
  EXPECT_TRUE(it.node_running("isola-2"));
  EXPECT_EQ(bench::send_and_wait(it.model_request("isola-2", "planner")).status,
            200U);
  EXPECT_EQ(it.state("isola-2"), "ready");
}

}  // namespace
}  // namespace trestlepost::test
