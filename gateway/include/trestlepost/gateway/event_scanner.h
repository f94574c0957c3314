// Finds the whole events of a text/event-stream that comes in pieces, so that
// a stream that breaks off can be continued after the last event that was
// passed on. Lines end with LF or CR LF.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trestlepost::gateway {

/// Why a stream can't be continued, or is no continuation.
enum class stream_fault {
  none,
  too_large,   // an event is larger than what is held back
  unreadable,  // a line ends with CR alone
  not_rising   // a continuation gives an event again, or begins without an id
};

std::string_view to_string(stream_fault fault);

/// What came of one piece.
struct scanned_events {
  /// What may be passed on now, as it came.
  std::string passable;
  stream_fault fault = stream_fault::none;
};

/// Reads one answer, which several endpoints may give one after the other.
class event_scanner {
 public:
  /// Bytes of one event that are held back until its end arrives.
  static constexpr std::size_t default_largest_event = 256UL * 1024;

  explicit event_scanner(std::size_t largest_event = default_largest_event)
      : largest_event_(largest_event) {}

  /// Takes the next piece. After a fault of the first endpoint's stream all
  /// of it is passed on as it comes, and it has no resume point any more; at
  /// a fault of a continuation the transfer has to be broken off.
  scanned_events push(std::string piece);

  /// The endpoint said that its stream ends here: what is held is passed on.
  scanned_events finish();

  /// The stream broke off: what is held is dropped, and what is pushed next
  /// comes from another endpoint, which was told `resume_point`.
  void continue_elsewhere();

  /// Whether a continuation is being read.
  bool continued() const { return continued_; }
  /// Whether a part of an event is held back, or a continuation has given no
  /// event: an end that the endpoint did not tell is a break then.
  bool misses_something() const {
    return !held_.empty() || awaits_first_event_;
  }
  /// The id of the last event that was passed on; empty when there is none or
  /// it has no id, so that the stream can't be continued.
  const std::string& resume_point() const { return resume_point_; }

 private:
  void take_in(std::string piece);
  stream_fault take_line(std::size_t end);
  void take_field(std::string_view line);
  stream_fault end_event();
  stream_fault check_rest(std::size_t whole);
  std::string cut_off(std::size_t whole);
  void pass_all(scanned_events& out);
  void forget_event();

  std::size_t largest_event_;
  std::string held_;
  std::size_t line_ = 0;             // where the current line begins
  std::size_t searched_ = 0;         // up to here no line end is left
  bool inside_event_ = false;        // since the last blank line something came
  bool has_field_ = false;           // and it was more than comments
  std::optional<std::uint64_t> id_;  // of the current event
  std::string id_text_;
  std::optional<std::uint64_t> last_id_;
  std::string resume_point_;
  bool pass_all_ = false;
  bool continued_ = false;
  bool awaits_first_event_ = false;  // of a continuation
};

}  // namespace trestlepost::gateway
