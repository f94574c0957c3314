// Splits a text/event-stream that arrives in pieces into complete events, so
// that an interrupted stream can be continued after the last event sent to the
// caller. Lines end with LF or CR LF.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trestlepost::gateway {

/// Why a stream can't be continued, or is not a valid continuation.
enum class stream_fault {
  none,
  /// An event exceeds the buffer limit.
  too_large,
  /// A line ends with CR alone.
  unreadable,
  /// A continuation repeats an event or starts with an event without an id.
  non_increasing_id
};

std::string_view to_string(stream_fault fault);

/// The result of scanning one piece.
struct scan_result {
  /// The bytes that may be sent to the caller now, unchanged.
  std::string output;
  stream_fault fault = stream_fault::none;
};

/// Scans one answer, which several endpoints may provide in turn.
class event_scanner {
 public:
  /// Bytes of one event that are buffered until it is complete.
  static constexpr std::size_t default_max_event_bytes = 256UL * 1024;

  explicit event_scanner(std::size_t max_event_bytes = default_max_event_bytes)
      : max_event_bytes_(max_event_bytes) {}

  /// Scans the next piece. After a fault in the first endpoint's stream, all
  /// bytes are passed through as they arrive and there is no resume point.
  /// After a fault in a continuation, the transfer has to be aborted.
  scan_result push(std::string piece);

  /// Handles the end of the stream as declared by the endpoint: the buffered
  /// bytes are passed on.
  scan_result finish();

  /// Handles an interruption of the stream: discards the buffered bytes. The
  /// pieces that follow come from another endpoint, which was sent
  /// `resume_point`.
  void start_continuation();

  /// Returns whether a continuation is being scanned.
  bool continued() const { return continued_; }
  /// Returns whether part of an event is buffered, or a continuation has not
  /// delivered an event yet. If the connection closes in this state without a
  /// declared end, the stream was interrupted.
  bool is_incomplete() const { return !buffer_.empty() || awaits_first_event_; }
  /// Returns the id of the last event passed on. It is empty if there is none
  /// or the event has no id; the stream can't be continued then.
  const std::string& resume_point() const { return resume_point_; }

 private:
  /// Appends `piece` to the buffer.
  void append(std::string piece);
  /// Parses the line that ends at offset `end`.
  stream_fault parse_line(std::size_t end);
  void parse_field(std::string_view line);
  /// Finishes the current event and checks its id.
  stream_fault end_event();
  /// Checks the incomplete line at the end of the buffer, and that the event
  /// that starts at `complete_size` does not exceed the buffer limit.
  stream_fault check_incomplete(std::size_t complete_size);
  /// Removes the first `complete_size` bytes from the buffer and returns them.
  std::string take_prefix(std::size_t complete_size);
  /// Stops scanning: outputs the buffer and passes everything that follows
  /// through unchanged.
  void start_pass_through(scan_result& out);
  void reset_event();

  std::size_t max_event_bytes_;
  std::string buffer_;
  std::size_t line_start_ = 0;       // offset of the current line
  std::size_t search_start_ = 0;     // offset before which there is no line end
  bool inside_event_ = false;        // the last line was not blank
  bool has_field_ = false;           // besides comments and reconnection times
  std::optional<std::uint64_t> id_;  // of the current event
  std::string id_text_;
  std::optional<std::uint64_t> last_id_;
  std::string resume_point_;
  bool pass_through_ = false;
  bool continued_ = false;
  bool awaits_first_event_ = false;  // of a continuation
};

}  // namespace trestlepost::gateway
