// Compares the answers that callers received with the runs that the endpoints
// logged: an answered request ran and a refused one did not, a run-once request
// ran at most once, and a region-bound one ran only at home.
#pragma once

#include <string>
#include <vector>

#include "plan_record.h"

namespace trestlepost::soak {

enum class request_kind { repeatable, run_once, bound };

/// A request of a caller and the status that the caller received.
struct caller_request_record {
  std::string id;
  request_kind kind = request_kind::repeatable;
  unsigned status = 0;  // 0: no answer, or an incomplete one
};

/// The endpoints that logged a run of a request, one entry for each run.
using endpoint_list = std::vector<std::string>;

class request_record {
 public:
  /// `home`: the endpoints that may run bound requests.
  request_record(violations& found, endpoint_list home)
      : found_(found), home_(std::move(home)) {}

  /// Checks one request; call it after all runs have ended.
  void check(const caller_request_record& it, const endpoint_list& ran);

  int answered() const { return answered_; }
  int refused() const { return refused_; }
  int failed() const { return failed_; }

 private:
  violations& found_;
  endpoint_list home_;
  int answered_ = 0;
  int refused_ = 0;
  int failed_ = 0;
};

}  // namespace trestlepost::soak
