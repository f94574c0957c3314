// Tests the splitting of event streams and their continuation after an
// interruption at any byte.
#include "trestlepost/gateway/event_scanner.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <vector>

namespace trestlepost::gateway {
namespace {

struct example {
  const char* what;
  std::string pushed;
  std::string output;
  std::string resume_point;
  stream_fault fault = stream_fault::none;
};

TEST(event_scanner_test, passes_complete_events_and_records_their_ids) {
  const std::vector<example> table{
      {"one event", "id: 1\ndata: x\n\n", "id: 1\ndata: x\n\n", "1"},
      {"CR LF", "id: 1\r\ndata: x\r\n\r\n", "id: 1\r\ndata: x\r\n\r\n", "1"},
      {"no space", "id:7\ndata:x\n\n", "id:7\ndata:x\n\n", "7"},
      {"two events and part of a third", "id: 1\n\nid: 2\n\nid: 3\n",
       "id: 1\n\nid: 2\n\n", "2"},
      {"an unknown first field", "x-versions: 4\nid: 9\ndata: x\n\n",
       "x-versions: 4\nid: 9\ndata: x\n\n", "9"},
      {"the last id of an event counts", "id: 3\nid: 4\n\n", "id: 3\nid: 4\n\n",
       "4"},
      {"a comment is no event", "id: 1\n\n: alive\n\n", "id: 1\n\n: alive\n\n",
       "1"},
      {"blank lines", "\n\nid: 1\n\n\n", "\n\nid: 1\n\n\n", "1"},
      {"no id", "data: x\n\n", "data: x\n\n", ""},
      {"an event without id after one", "id: 1\n\ndata: x\n\n",
       "id: 1\n\ndata: x\n\n", ""},
      {"an id after an event without id", "id: 1\n\ndata: x\n\nid: 2\n\n",
       "id: 1\n\ndata: x\n\nid: 2\n\n", "2"},
      {"an id that is no number", "id: a1\n\n", "id: a1\n\n", ""},
      {"an empty id", "id\n\n", "id\n\n", ""},
      {"an id that does not rise", "id: 2\n\nid: 2\n\n", "id: 2\n\nid: 2\n\n",
       ""},
      {"another field", "idea: 1\n\n", "idea: 1\n\n", ""},
      {"an incomplete event", "id: 1\ndata", "", ""},
      {"CR alone", "id: 1\rdata: x\r\r", "id: 1\rdata: x\r\r", "",
       stream_fault::unreadable},
      {"CR within a line", "id: 1\n\nid: 2\rx\n\n", "id: 1\n\nid: 2\rx\n\n", "",
       stream_fault::unreadable},
  };
  for (const example& it : table) {
    event_scanner scanner;
    const scan_result got = scanner.push(it.pushed);
    EXPECT_EQ(got.output, it.output) << it.what;
    EXPECT_EQ(got.fault, it.fault) << it.what;
    EXPECT_EQ(scanner.resume_point(), it.resume_point) << it.what;
  }
}

TEST(event_scanner_test,
     a_stream_cut_at_any_byte_passes_the_events_before_the_cut) {
  for (const std::string& end : {std::string("\n"), std::string("\r\n")}) {
    std::vector<std::size_t> ends{0};
    std::string all;
    for (const char* id : {"8", "9", "10"}) {
      all += std::string("id: ") + id + end + "data: x" + end + "data: y" +
             end + end;
      ends.push_back(all.size());
    }
    for (std::size_t cut = 0; cut <= all.size(); ++cut) {
      event_scanner scanner;
      const std::string first = scanner.push(all.substr(0, cut)).output;
      std::size_t complete_size = 0;
      for (const std::size_t it : ends)
        complete_size = it <= cut ? it : complete_size;
      EXPECT_EQ(first, all.substr(0, complete_size)) << cut;
      EXPECT_EQ(scanner.is_incomplete(), complete_size != cut) << cut;
      const std::string rest = scanner.push(all.substr(cut)).output;
      EXPECT_EQ(first + rest, all) << cut;
      EXPECT_EQ(scanner.resume_point(), "10") << cut;
      EXPECT_FALSE(scanner.is_incomplete()) << cut;
    }
  }
}

TEST(event_scanner_test,
     an_oversized_event_is_passed_on_without_a_resume_point) {
  constexpr std::size_t max_event_bytes = 64;
  event_scanner scanner(max_event_bytes);
  EXPECT_EQ(scanner.push("id: 1\n\nid: 2\n").output, "id: 1\n\n");
  const std::string huge = "data: " + std::string(max_event_bytes, 'x');
  const scan_result got = scanner.push(huge);
  EXPECT_EQ(got.fault, stream_fault::too_large);
  EXPECT_EQ(got.output, "id: 2\n" + huge);
  EXPECT_EQ(scanner.resume_point(), "");
  EXPECT_EQ(scanner.push("yy").output, "yy");
  EXPECT_EQ(scanner.push("\n\nid: 3\n\n").output, "\n\nid: 3\n\n");
  EXPECT_EQ(scanner.resume_point(), "");
  EXPECT_EQ(scanner.finish().output, "");
}

// A reconnection time is no event: the continuation was aborted, since it did
// not begin with an event that has an id.
TEST(event_scanner_test, a_continuation_may_begin_with_a_reconnection_time) {
  event_scanner scanner;
  EXPECT_EQ(scanner.push("id: 1\ndata: x\n\n").fault, stream_fault::none);
  scanner.start_continuation();
  const std::string rest = "retry: 100\n\nid: 2\ndata: y\n\n";
  const scan_result got = scanner.push(rest);
  EXPECT_EQ(got.fault, stream_fault::none);
  EXPECT_EQ(got.output, rest);
  EXPECT_EQ(scanner.resume_point(), "2");
}

TEST(event_scanner_test, large_pieces_of_small_events_are_not_oversized) {
  event_scanner scanner(8);
  const std::string events = "id: 1\n\nid: 2\n\nid: 3\n\n";
  EXPECT_EQ(scanner.push(events).output, events);
  EXPECT_EQ(scanner.resume_point(), "3");
}

TEST(event_scanner_test, the_end_of_the_stream_passes_the_buffered_bytes) {
  event_scanner scanner;
  EXPECT_EQ(scanner.push("id: 1\n\nid: 2\ndata: x").output, "id: 1\n\n");
  const scan_result got = scanner.finish();
  EXPECT_EQ(got.output, "id: 2\ndata: x");
  EXPECT_EQ(got.fault, stream_fault::none);
  EXPECT_FALSE(scanner.is_incomplete());
}

struct continuation_example {
  const char* what;
  std::string pushed;
  std::string output;
  stream_fault fault = stream_fault::none;
};

TEST(event_scanner_test, a_continuation_must_start_after_the_last_event) {
  const std::vector<continuation_example> table{
      {"the next event", "id: 6\n\n", "id: 6\n\n"},
      {"a later event", "id: 8\n\n", "id: 8\n\n"},
      {"the same event", "id: 5\n\nid: 6\n\n", "",
       stream_fault::non_increasing_id},
      {"from the start", "id: 1\n\n", "", stream_fault::non_increasing_id},
      {"no id", "data: x\n\n", "", stream_fault::non_increasing_id},
      {"an id that is no number", "id: x\n\n", "",
       stream_fault::non_increasing_id},
      {"a repeated id later", "id: 6\n\nid: 6\n\n", "id: 6\n\n",
       stream_fault::non_increasing_id},
      {"no id later", "id: 6\n\ndata: x\n\n", "id: 6\n\ndata: x\n\n"},
      {"a comment first", ": a\n\nid: 6\n\n", ": a\n\nid: 6\n\n"},
      {"CR alone", "id: 6\r\r", "", stream_fault::unreadable},
      {"no complete event", "id: 6\n", ""},
  };
  for (const continuation_example& it : table) {
    event_scanner scanner;
    scanner.push("id: 5\n\nid: 6\nda");
    EXPECT_EQ(scanner.resume_point(), "5") << it.what;
    scanner.start_continuation();
    EXPECT_TRUE(scanner.continued());
    EXPECT_TRUE(scanner.is_incomplete());
    const scan_result got = scanner.push(it.pushed);
    EXPECT_EQ(got.output, it.output) << it.what;
    EXPECT_EQ(got.fault, it.fault) << it.what;
  }
}

TEST(event_scanner_test,
     an_invalid_last_event_of_a_continuation_is_not_passed) {
  event_scanner scanner;
  scanner.push("id: 5\n\n");
  scanner.start_continuation();
  EXPECT_EQ(scanner.push("id: 5\ndata: x").output, "");
  const scan_result got = scanner.finish();
  EXPECT_EQ(got.output, "");
  EXPECT_EQ(got.fault, stream_fault::non_increasing_id);
}

TEST(event_scanner_test, an_oversized_event_of_a_continuation_is_not_passed) {
  event_scanner scanner(16);
  scanner.push("id: 5\n\n");
  scanner.start_continuation();
  const scan_result got = scanner.push("id: 6\ndata: " + std::string(20, 'x'));
  EXPECT_EQ(got.output, "");
  EXPECT_EQ(got.fault, stream_fault::too_large);
}

/// An event of a generated stream.
struct made_event {
  std::uint64_t id = 0;
  bool has_id = true;
  std::string text;
};

made_event make_event(std::uint64_t id, bool has_id) {
  const std::string end = *rc::gen::element<std::string>("\n", "\r\n");
  made_event out;
  out.id = id;
  out.has_id = has_id;
  if (*rc::gen::inRange(0, 4) == 0) out.text += ": a comment" + end;
  if (has_id) out.text += "id: " + std::to_string(id) + end;
  const int lines = *rc::gen::inRange(has_id ? 0 : 1, 3);
  for (int i = 0; i < lines; ++i) {
    const std::size_t size = *rc::gen::inRange<std::size_t>(0, 20);
    out.text += "data: " + std::string(size, 'x') + end;
  }
  out.text += end;
  return out;
}

std::vector<made_event> make_stream(bool all_have_ids) {
  std::vector<made_event> out;
  const std::size_t size = *rc::gen::inRange<std::size_t>(1, 8);
  std::uint64_t id = *rc::gen::inRange<std::uint64_t>(0, 12);
  for (std::size_t i = 0; i < size; ++i) {
    id += *rc::gen::inRange<std::uint64_t>(1, 4);
    out.push_back(make_event(id, all_have_ids || *rc::gen::arbitrary<bool>()));
  }
  return out;
}

std::string text_after(const std::vector<made_event>& all,
                       const std::string& resume_point) {
  std::string out;
  for (const made_event& it : all) {
    const bool given =
        !resume_point.empty() && it.id <= std::stoul(resume_point);
    if (!given) out += it.text;
  }
  return out;
}

/// Pushes `text` in pieces of random size and returns the bytes passed on.
std::string push_in_pieces(event_scanner& scanner, const std::string& text) {
  std::string out;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t size = *rc::gen::inRange<std::size_t>(1, 24);
    const scan_result got = scanner.push(text.substr(at, size));
    RC_ASSERT(got.fault == stream_fault::none);
    out += got.output;
    at += size;
  }
  return out;
}

RC_GTEST_PROP(event_scanner_test, an_interrupted_stream_arrives_complete, ()) {
  const std::vector<made_event> all = make_stream(true);
  const std::string full_text = text_after(all, "");
  event_scanner scanner;
  std::string passed;
  const int breaks = *rc::gen::inRange(0, 4);
  for (int n = 0; n < breaks; ++n) {
    const std::string rest = text_after(all, scanner.resume_point());
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, rest.size() + 1);
    passed += push_in_pieces(scanner, rest.substr(0, cut));
    RC_ASSERT(passed == full_text.substr(0, passed.size()));
    // Before the first event, the request is sent again from the start.
    if (scanner.resume_point().empty())
      scanner = event_scanner();
    else
      scanner.start_continuation();
  }
  passed += push_in_pieces(scanner, text_after(all, scanner.resume_point()));
  passed += scanner.finish().output;
  RC_ASSERT(passed == full_text);
}

RC_GTEST_PROP(event_scanner_test, the_resume_point_is_the_last_event_passed,
              ()) {
  const std::vector<made_event> all = make_stream(false);
  const std::string full_text = text_after(all, "");
  const std::size_t cut =
      *rc::gen::inRange<std::size_t>(0, full_text.size() + 1);
  event_scanner scanner;
  const std::string passed = push_in_pieces(scanner, full_text.substr(0, cut));
  std::string expected;
  std::string last;
  for (const made_event& it : all) {
    if (expected.size() + it.text.size() > cut) break;
    expected += it.text;
    last = it.has_id ? std::to_string(it.id) : "";
  }
  RC_ASSERT(passed == expected);
  RC_ASSERT(scanner.resume_point() == last);
}

}  // namespace
}  // namespace trestlepost::gateway
