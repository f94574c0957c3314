#include "answer_reader.h"

namespace trestlepost::gateway {
namespace {

result<std::string> truncated(const std::string& position) {
  return fail(
      error_kind::endpoint_failed,
      "the connection closed " + position + " of a stream without declared end",
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
  const bool unchecked = call_.is_delimited();
  if (!piece->empty()) {
    if (!unchecked || !has_event()) events_.push(*piece);
    co_return piece;
  }
  if (unchecked) co_return piece;
  if (events_.is_inside_event()) co_return truncated("inside an event");
  if (!events_.has_event() && body_ == answer_body::events)
    co_return truncated("before the first event");
  co_return piece;
}

}  // namespace trestlepost::gateway
