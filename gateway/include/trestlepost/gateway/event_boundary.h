// Tracks whether a text/event-stream that arrives in pieces is inside an event.
// Lines end with LF, CR LF or CR.
#pragma once

#include <string>
#include <string_view>

namespace trestlepost::gateway {

/// Scans a stream without buffering it.
class event_boundary {
 public:
  void push(std::string_view piece);

  /// Returns whether the last line is unfinished, or fields since the last
  /// empty line await the next one. A stream that ends here was truncated.
  bool is_inside_event() const {
    const bool misses_lf = after_cr_ && uses_crlf_;
    return !line_start_.empty() || has_fields_ || misses_lf;
  }
  /// Returns whether there was a complete event. Comments and reconnection
  /// times are no events.
  bool has_event() const { return has_event_; }

 private:
  void end_line();

  std::string line_start_;  // of the current line, as much as is compared
  bool is_first_line_ = true;
  bool after_cr_ = false;
  bool uses_crlf_ = false;   // a line has ended with CR LF
  bool has_fields_ = false;  // of the current event
  bool has_event_ = false;
};

}  // namespace trestlepost::gateway
