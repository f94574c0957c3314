// Incremental detection of the boundaries between events.
#include "trestlepost/gateway/event_boundary.h"

namespace trestlepost::gateway {
namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view retry_field = "retry:";
constexpr std::size_t max_compared =
    byte_order_mark.size() + retry_field.size();

}  // namespace

void event_boundary::push(std::string_view piece) {
  for (const char it : piece) {
    const bool after_cr = after_cr_;
    after_cr_ = it == '\r';
    if (it == '\n' && after_cr) {
      uses_crlf_ = true;
      continue;
    }
    if (it == '\n' || it == '\r') {
      end_line();
    } else if (line_start_.size() < max_compared) {
      line_start_ += it;
    }
  }
}

void event_boundary::end_line() {
  std::string_view line = line_start_;
  if (is_first_line_ && line.starts_with(byte_order_mark))
    line.remove_prefix(byte_order_mark.size());
  is_first_line_ = false;
  if (line.empty()) {
    has_event_ = has_event_ || has_fields_;
    has_fields_ = false;
  } else if (!line.starts_with(':') && !line.starts_with(retry_field)) {
    has_fields_ = true;
  }
  line_start_.clear();
}

}  // namespace trestlepost::gateway
