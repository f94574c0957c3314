// Reads the body of an answer piece by piece and detects where it was truncated
// although its connection was closed in order.
#pragma once

#include <string>

#include "trestlepost/gateway/event_boundary.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::gateway {

enum class answer_body {
  /// Its end can't be checked.
  opaque,
  events,
  /// Events of a stream that the caller resumes; there may be none left.
  resumed_events
};

class answer_reader {
 public:
  /// `max_bytes`: limit of the body's size.
  answer_reader(transport::http_call& call, answer_body body,
                std::size_t max_bytes)
      : call_(call), body_(body), max_bytes_(max_bytes) {}

  /// Reads the next piece. Returns an empty string at the end of the body, and
  /// an error if it exceeds its limit or is truncated: also if the answer has
  /// no length and its connection was closed inside an event, or before the
  /// first one.
  transport::awaitable<result<std::string>> read_piece();

  /// Returns whether a complete event has been read.
  bool has_event() const { return events_.has_event(); }

  transport::http_call& call() { return call_; }
  answer_body body() const { return body_; }

 private:
  transport::http_call& call_;
  answer_body body_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  event_boundary events_;
};

}  // namespace trestlepost::gateway
