#include "trestlepost/gateway/event_scanner.h"

#include <charconv>
#include <utility>

namespace trestlepost::gateway {
namespace {

constexpr std::string_view id_field = "id";

/// Parses an id. Only ids that consist of a decimal number can be compared.
std::optional<std::uint64_t> read_id(std::string_view text) {
  std::uint64_t out = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), end, out);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return out;
}

}  // namespace

std::string_view to_string(stream_fault fault) {
  switch (fault) {
    case stream_fault::too_large:
      return "an event exceeds the buffer limit";
    case stream_fault::unreadable:
      return "a line ends with CR alone";
    case stream_fault::not_rising:
      return "the continuation does not follow the last event";
    case stream_fault::none:
      break;
  }
  return "";
}

scanned_events event_scanner::push(std::string piece) {
  scanned_events out;
  if (pass_all_) {
    out.passable = std::move(piece);
    return out;
  }
  take_in(std::move(piece));
  std::size_t whole = 0;  // end of the last complete event
  std::size_t end = held_.find('\n', searched_);
  while (end != std::string::npos && out.fault == stream_fault::none) {
    out.fault = take_line(end);
    if (out.fault == stream_fault::none && !inside_event_) whole = line_;
    end = held_.find('\n', searched_);
  }
  if (out.fault == stream_fault::none) out.fault = check_rest(whole);
  out.passable = cut_off(whole);
  if (out.fault != stream_fault::none && !continued_) pass_all(out);
  return out;
}

scanned_events event_scanner::finish() {
  scanned_events out;
  if (held_.empty()) return out;
  std::string_view line = std::string_view(held_).substr(line_);
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (!line.empty()) take_field(line);
  out.fault = end_event();
  if (out.fault == stream_fault::none) out.passable = std::move(held_);
  forget_event();
  return out;
}

void event_scanner::continue_elsewhere() {
  forget_event();
  continued_ = true;
  awaits_first_event_ = true;
}

void event_scanner::forget_event() {
  held_.clear();
  line_ = 0;
  searched_ = 0;
  inside_event_ = false;
  has_field_ = false;
  id_.reset();
  id_text_.clear();
}

void event_scanner::take_in(std::string piece) {
  if (held_.empty()) {
    held_ = std::move(piece);
  } else {
    held_ += piece;
  }
}

stream_fault event_scanner::take_line(std::size_t end) {
  std::string_view line = std::string_view(held_).substr(line_, end - line_);
  line_ = end + 1;
  searched_ = line_;
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) return end_event();
  if (line.find('\r') != std::string_view::npos) {
    return stream_fault::unreadable;
  }
  take_field(line);
  return stream_fault::none;
}

void event_scanner::take_field(std::string_view line) {
  inside_event_ = true;
  if (line.front() == ':') return;
  has_field_ = true;
  const std::size_t colon = line.find(':');
  if (line.substr(0, colon) != id_field) return;
  std::string_view value;
  if (colon != std::string_view::npos) value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  id_ = read_id(value);
  id_text_ = value;
}

stream_fault event_scanner::end_event() {
  const bool event = std::exchange(has_field_, false);
  const std::optional<std::uint64_t> id = std::exchange(id_, std::nullopt);
  inside_event_ = false;
  if (!event) return stream_fault::none;
  const bool rises = id && (!last_id_ || *id > *last_id_);
  if (!rises) {
    const bool repeated = continued_ && id.has_value();
    if (repeated || awaits_first_event_) return stream_fault::not_rising;
    resume_point_.clear();
    return stream_fault::none;
  }
  awaits_first_event_ = false;
  last_id_ = id;
  resume_point_ = id_text_;
  return stream_fault::none;
}

stream_fault event_scanner::check_rest(std::size_t whole) {
  // No LF follows, so a CR before the last byte stands alone.
  const std::size_t cr = held_.find('\r', searched_);
  const bool at_end = cr != std::string::npos && cr + 1 == held_.size();
  if (cr != std::string::npos && !at_end) return stream_fault::unreadable;
  searched_ = at_end ? cr : held_.size();
  const bool fits = held_.size() - whole <= largest_event_;
  return fits ? stream_fault::none : stream_fault::too_large;
}

std::string event_scanner::cut_off(std::size_t whole) {
  line_ -= whole;
  searched_ -= whole;
  if (whole == held_.size()) return std::exchange(held_, std::string());
  std::string out = held_.substr(0, whole);
  held_.erase(0, whole);
  return out;
}

void event_scanner::pass_all(scanned_events& out) {
  out.passable += held_;
  forget_event();
  pass_all_ = true;
  resume_point_.clear();
}

}  // namespace trestlepost::gateway
