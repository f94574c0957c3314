#include "trestlepost/gateway/unanswered_requests.h"

namespace trestlepost::gateway {

unanswered_requests::key unanswered_requests::begin(const std::string& endpoint,
                                                    monotonic_time sent_at,
                                                    monotonic_time overdue_at) {
  const key out{overdue_at, ++last_number_};
  waiting_[out] = {endpoint, sent_at};
  return out;
}

void unanswered_requests::end(const key& request, bool answered,
                              monotonic_time now) {
  if (!answered) tick(now);
  waiting_.erase(request);
}

void unanswered_requests::tick(monotonic_time now) {
  while (!waiting_.empty() && waiting_.begin()->first.first <= now) {
    const waiting_request& it = waiting_.begin()->second;
    endpoints_.endpoint_unanswered(it.endpoint, it.sent_at, now);
    waiting_.erase(waiting_.begin());
  }
}

}  // namespace trestlepost::gateway
