#include "answer_reader.h"

namespace trestlepost::gateway {
namespace {

result<std::string> truncated(const std::string& position) {
  return fail(error_kind::endpoint_failed, "the stream ended " + position,
              "check the endpoint; the request may be sent again if it is "
              "repeatable");
}

}  // namespace

transport::awaitable<result<std::string>> answer_reader::read_piece() {
  result<std::string> piece = co_await call_.read_piece();
  if (!piece) co_return piece;
  bytes_ += piece->size();
  if (bytes_ > max_bytes_) {
    call_.cancel();
    co_return fail(error_kind::endpoint_failed,
                   "the endpoint's answer exceeds " +
                       std::to_string(max_bytes_) + " bytes",
                   "check the endpoint; the request may be sent again if it is "
                   "repeatable");
  }
  if (body_ == answer_body::opaque) co_return piece;
  if (!piece->empty()) {
    events_.push(*piece);
    co_return piece;
  }
  if (events_.is_inside_event()) co_return truncated("inside an event");
  const bool may_be_empty =
      call_.is_delimited() || body_ == answer_body::resumed_events;
  if (!events_.has_event() && !may_be_empty)
    co_return truncated("before the first event");
  co_return piece;
}

}  // namespace trestlepost::gateway
