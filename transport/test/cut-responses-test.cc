// Servers that stop inside a response and close the connection. No part of a
// response may be taken for a whole one.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "cutting_server.h"

namespace trestlepost::transport {
namespace {

using std::chrono::milliseconds;
using test::answer;
using test::cutting_server;
using test::ending;
using test::request;

constexpr char body[] = "hello";

const std::vector<ending> endings{
    {"closed"},
    {"reset", true},
    {"in two packets", false, true},
    {"closed later", false, false, milliseconds(3)}};

std::optional<answer> get() {
  return request("GET");
}

std::string head_with(const std::string& header) {
  return "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n" + header + "\r\n";
}

struct response_example {
  const char* what;
  std::string bytes;
  std::size_t cuttable;  // the number of bytes that don't make it whole
};

std::vector<response_example> examples() {
  const std::string sized = head_with("Content-Length: 5\r\n") + body;
  const std::string chunked = head_with("Transfer-Encoding: chunked\r\n") +
                              "5\r\n" + body + "\r\n0\r\n\r\n";
  const std::string until_close = head_with("");
  return {{"with a length", sized, sized.size() - 1},
          {"in chunks", chunked, chunked.size() - 1},
          {"until close", until_close + body, until_close.size() - 1}};
}

const std::vector<std::string> interim_responses{
    "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"};

// A server stopped inside the head of its response and closed; callers got a
// 200 with an empty body, framed as whole. An interim response before the cut
// was taken for the final one.
TEST(cut_responses_test, no_part_of_a_response_is_whole) {
  cutting_server server;
  for (const response_example& example : examples()) {
    for (const std::string& interim : interim_responses) {
      for (const ending& how : endings) {
        for (std::size_t n = 0; n <= example.cuttable; ++n) {
          server.set(interim + example.bytes.substr(0, n), how);
          const std::optional<answer> got = get();
          EXPECT_FALSE(got)
              << example.what << " after \"" << interim << "\", " << how.what
              << " at byte " << n << ": " << got->status << " " << got->body;
        }
      }
    }
  }
}

// Guards against part of a response that is taken for a whole one: the server
// has reset the connection, but the write of the request has taken the error,
// so the read finds an orderly end.
TEST(cut_responses_test, a_reset_during_the_upload_is_no_end) {
  constexpr int plays = 30;
  cutting_server server;
  for (const char* version : {"1.1", "1.0"}) {
    for (const char* header : {"", "Connection: close\r\n"}) {
      const std::string sent = std::string("HTTP/") + version + " 200 OK\r\n" +
                               header + "\r\n" + body;
      for (const milliseconds pause : {milliseconds(0), milliseconds(2)}) {
        int whole = 0;
        for (const std::size_t bytes : {400'000, 4'000'000, 12'000'000}) {
          for (int n = 0; n < plays; ++n) {
            server.set(sent, {"reset", true, false, pause});
            if (request("POST", bytes)) ++whole;
          }
        }
        EXPECT_EQ(whole, 0) << version << " " << header << pause.count();
      }
    }
  }
}

// A server may answer, and end its side in order, before it has read the whole
// request.
TEST(cut_responses_test, an_orderly_end_during_the_upload_is_an_end) {
  constexpr int plays = 20;
  cutting_server server;
  server.set(head_with("") + body,
             {"reads on", false, false, milliseconds(0), true});
  for (int n = 0; n < plays; ++n) {
    const std::optional<answer> got = request("POST", 4'000'000);
    ASSERT_TRUE(got);
    EXPECT_EQ(got->body, body);
  }
}

TEST(cut_responses_test, responses_after_interim_ones_are_whole) {
  cutting_server server;
  for (const response_example& example : examples()) {
    for (const std::string& interim : interim_responses) {
      for (const ending& how : endings) {
        if (how.reset) continue;
        server.set(interim + example.bytes, how);
        const std::optional<answer> got = get();
        ASSERT_TRUE(got) << example.what << " after \"" << interim << "\", "
                         << how.what;
        EXPECT_EQ(got->status, 200U);
        EXPECT_EQ(got->body, body);
      }
    }
  }
}

TEST(cut_responses_test, interim_responses_without_end_are_given_up) {
  cutting_server server;
  std::string many;
  for (int n = 0; n < 1000; ++n) many += interim_responses[1];
  server.set(many + examples()[0].bytes, endings[0]);
  EXPECT_FALSE(get());
}

}  // namespace
}  // namespace trestlepost::transport
