// Heads of responses that no client may take for those of an answer.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "cutting_server.h"

namespace trestlepost::transport {
namespace {

using test::answer;
using test::cutting_server;
using test::request;

constexpr char body[] = "hello";

std::string response(const std::string& status,
                     const std::string& headers = "Content-Length: 5\r\n",
                     const std::string& content = body) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "\r\n" + content;
}

std::optional<answer> answer_to(const std::string& method,
                                const std::string& sent) {
  cutting_server server;
  server.set(sent, {"closed"});
  return request(method);
}

// Guards against a status that switches the protocol or is none: it was skipped
// as an interim response, and the next head was taken for the answer.
TEST(response_heads_test, status_that_is_none_is_no_interim_response) {
  const std::string after = response("200 OK");
  for (const std::string status :
       {"000 None", "001 None", "042 None", "099 None", "101 Switching",
        "600 None", "999 None"}) {
    for (const std::string method : {"GET", "HEAD", "POST"}) {
      EXPECT_FALSE(answer_to(method, response(status, "", "") + after))
          << status << " " << method;
      EXPECT_FALSE(answer_to(method, response(status))) << status << method;
    }
  }
}

// Guards against an interim response whose body would be read as the head of
// the answer.
TEST(response_heads_test, interim_response_frames_no_body) {
  const std::string after = response("200 OK");
  for (const std::string header :
       {"Content-Length: 0\r\n", "Content-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\n"}) {
    EXPECT_FALSE(answer_to("GET", response("103 Hints", header, "") + after))
        << header;
  }
  EXPECT_TRUE(answer_to("GET", response("103 Hints", "", "") + after));
}

// Guards against bytes that a client passes on as a whole answer although they
// are chunk sizes, or coded otherwise.
TEST(response_heads_test, only_transfer_coding_is_chunked) {
  const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
  for (const std::string coding :
       {"gzip", "identity", "chunked, gzip", "chunked, chunked",
        "gzip, chunked", "chunked;q=1", "chunked\r\nTransfer-Encoding: gzip",
        "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: chunked", "x"}) {
    const std::string header = "Transfer-Encoding: " + coding + "\r\n";
    EXPECT_FALSE(answer_to("GET", response("200 OK", header, chunks)))
        << coding;
  }
  const std::string old = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n";
  EXPECT_FALSE(answer_to("GET", old + "\r\n" + chunks));
  for (const std::string coding : {"chunked", "Chunked", " chunked "}) {
    const std::optional<answer> got = answer_to(
        "GET",
        response("200 OK", "Transfer-Encoding: " + coding + "\r\n", chunks));
    ASSERT_TRUE(got) << coding;
    EXPECT_EQ(got->body, body);
  }
}

// Guards against lines of a head that a client would pass on, or that make
// another reader see another head.
TEST(response_heads_test, malformed_header_is_refused) {
  std::vector<std::string> lines{"X Y: 1",
                                 "X\t: 1",
                                 ": 1",
                                 "X\x01Y: 1",
                                 "X\x7f: 1",
                                 "X: a\x01",
                                 "X: a\x7f",
                                 "X\x80: 1",
                                 " X: 1",
                                 "X",
                                 "Content-Length: 5\r\n"
                                 "Content-Length: 6"};
  lines.push_back(std::string("X") + '\0' + ": 1");
  lines.push_back(std::string("X: a") + '\0' + "b");
  for (const std::string& line : lines) {
    const std::string header = "Content-Length: 5\r\n" + line + "\r\n";
    EXPECT_FALSE(answer_to("GET", response("200 OK", header))) << line;
    EXPECT_FALSE(answer_to("GET", response("200 OK", line + "\r\n", "")))
        << line;
  }
  EXPECT_TRUE(answer_to(
      "GET", response("200 OK", "Content-Length: 5\r\nX: a\tb \xc3\xa4\r\n")));
}

TEST(response_heads_test, final_statuses_are_passed_on) {
  for (const unsigned status : {200U, 299U, 302U, 404U, 500U, 599U}) {
    const std::optional<answer> got =
        answer_to("GET", response(std::to_string(status) + " X"));
    ASSERT_TRUE(got) << status;
    EXPECT_EQ(got->status, status);
    EXPECT_EQ(got->body, body);
  }
  for (const std::string status : {"204 None", "304 Same"}) {
    const std::optional<answer> got =
        answer_to("GET", response(status, "", ""));
    ASSERT_TRUE(got) << status;
    EXPECT_EQ(got->body, "");
  }
}

}  // namespace
}  // namespace trestlepost::transport
