// Tests where an event stream may end without being truncated.
#include "trestlepost/gateway/event_boundary.h"

#include <gtest/gtest.h>

#include <vector>

namespace trestlepost::gateway {
namespace {

struct example {
  const char* what;
  std::string stream;
  bool inside;
  bool has_event;
};

const std::vector<example> table{
    {"nothing", "", false, false},
    {"one event", "data: x\n\n", false, true},
    {"CR LF", "data: x\r\n\r\n", false, true},
    {"CR", "data: x\r\r", false, true},
    {"CR LF whose last LF is missing", "data: x\r\n\r", true, true},
    {"a field without its empty line", "data: x\n\ndata: y\n", true, true},
    {"a field after CR LF", "data: x\r\n", true, false},
    {"part of a field", "data: x\n\nda", true, true},
    {"an id without data", "data: x\n\nid: 2\n", true, true},
    {"a comment", "data: x\n\n: alive\n", false, true},
    {"part of a comment", "data: x\n\n: ali", true, true},
    {"comments and reconnection times", ": alive\n\nretry: 10\n\n", false,
     false},
    {"a comment within an event", "data: x\n: alive\n", true, false},
    {"a field that starts like another", "retryx: 1\n", true, false},
    {"a byte order mark", "\xEF\xBB\xBF: alive\n", false, false},
    {"part of a byte order mark", "\xEF\xBB", true, false},
    {"empty lines", "\n\n\r\n", false, false},
};

TEST(event_boundary_test, a_stream_that_ends_inside_an_event_is_recognized) {
  for (const example& it : table) {
    event_boundary whole;
    whole.push(it.stream);
    EXPECT_EQ(whole.is_inside_event(), it.inside) << it.what;
    EXPECT_EQ(whole.has_event(), it.has_event) << it.what;
  }
}

TEST(event_boundary_test, pieces_may_be_split_anywhere) {
  for (const example& it : table) {
    event_boundary by_byte;
    for (const char byte : it.stream) by_byte.push({&byte, 1});
    EXPECT_EQ(by_byte.is_inside_event(), it.inside) << it.what;
    EXPECT_EQ(by_byte.has_event(), it.has_event) << it.what;
  }
}

}  // namespace
}  // namespace trestlepost::gateway
