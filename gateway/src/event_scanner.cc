// Incremental parser of event streams that tracks the last complete event.
#include "trestlepost/gateway/event_scanner.h"

#include <charconv>
#include <utility>

namespace trestlepost::gateway {
namespace {

constexpr std::string_view id_field = "id";
constexpr std::string_view retry_field = "retry";

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
    case stream_fault::non_increasing_id:
      return "the continuation does not follow the last event";
    case stream_fault::none:
      break;
  }
  return "";
}

scan_result event_scanner::push(std::string piece) {
  scan_result out;
  if (pass_through_) {
    out.output = std::move(piece);
    return out;
  }
  append(std::move(piece));
  std::size_t complete_size = 0;  // end of the last complete event
  std::size_t end = buffer_.find('\n', search_start_);
  while (end != std::string::npos && out.fault == stream_fault::none) {
    out.fault = parse_line(end);
    if (out.fault == stream_fault::none && !inside_event_)
      complete_size = line_start_;
    end = buffer_.find('\n', search_start_);
  }
  if (out.fault == stream_fault::none)
    out.fault = check_incomplete(complete_size);
  out.output = take_prefix(complete_size);
  if (out.fault != stream_fault::none && !continued_) start_pass_through(out);
  return out;
}

scan_result event_scanner::finish() {
  scan_result out;
  if (buffer_.empty()) return out;
  std::string_view line = std::string_view(buffer_).substr(line_start_);
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (!line.empty()) parse_field(line);
  out.fault = end_event();
  if (out.fault == stream_fault::none) out.output = std::move(buffer_);
  reset_event();
  return out;
}

void event_scanner::start_continuation() {
  reset_event();
  continued_ = true;
  awaits_first_event_ = true;
}

void event_scanner::reset_event() {
  buffer_.clear();
  line_start_ = 0;
  search_start_ = 0;
  inside_event_ = false;
  has_field_ = false;
  id_.reset();
  id_text_.clear();
}

void event_scanner::append(std::string piece) {
  if (buffer_.empty()) {
    buffer_ = std::move(piece);
  } else {
    buffer_ += piece;
  }
}

stream_fault event_scanner::parse_line(std::size_t end) {
  std::string_view line =
      std::string_view(buffer_).substr(line_start_, end - line_start_);
  line_start_ = end + 1;
  search_start_ = line_start_;
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) return end_event();
  if (line.find('\r') != std::string_view::npos) {
    return stream_fault::unreadable;
  }
  parse_field(line);
  return stream_fault::none;
}

void event_scanner::parse_field(std::string_view line) {
  inside_event_ = true;
  if (line.front() == ':') return;
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (name == retry_field) return;
  has_field_ = true;
  if (name != id_field) return;
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
  const bool increases = id && (!last_id_ || *id > *last_id_);
  if (!increases) {
    const bool repeated = continued_ && id.has_value();
    if (repeated || awaits_first_event_) return stream_fault::non_increasing_id;
    resume_point_.clear();
    return stream_fault::none;
  }
  awaits_first_event_ = false;
  last_id_ = id;
  resume_point_ = id_text_;
  return stream_fault::none;
}

stream_fault event_scanner::check_incomplete(std::size_t complete_size) {
  // The incomplete line contains no LF, so a CR before the last byte does not
  // belong to a CR LF.
  const std::size_t cr = buffer_.find('\r', search_start_);
  const bool at_end = cr != std::string::npos && cr + 1 == buffer_.size();
  if (cr != std::string::npos && !at_end) return stream_fault::unreadable;
  search_start_ = at_end ? cr : buffer_.size();
  const bool fits = buffer_.size() - complete_size <= max_event_bytes_;
  return fits ? stream_fault::none : stream_fault::too_large;
}

std::string event_scanner::take_prefix(std::size_t complete_size) {
  line_start_ -= complete_size;
  search_start_ -= complete_size;
  if (complete_size == buffer_.size())
    return std::exchange(buffer_, std::string());
  std::string out = buffer_.substr(0, complete_size);
  buffer_.erase(0, complete_size);
  return out;
}

void event_scanner::start_pass_through(scan_result& out) {
  out.output += buffer_;
  reset_event();
  pass_through_ = true;
  resume_point_.clear();
}

}  // namespace trestlepost::gateway
