// What callers were told of their requests, and what must hold of it.
#pragma once

#include <string>
#include <vector>

#include "plan_record.h"

namespace trestlepost::soak {

enum class request_kind { repeatable, run_once, bound };

/// One try of a caller, and what it was told.
struct caller_request_record {
  std::string id;
  request_kind kind = request_kind::repeatable;
  unsigned status = 0;  // 0: no answer, or none that was whole
};

/// The endpoints that ran a request, as they saw it themselves.
using endpoint_list = std::vector<std::string>;

class request_record {
 public:
  /// `home`: the endpoints that bound requests may run at.
  request_record(violations& found, endpoint_list home)
      : found_(found), home_(std::move(home)) {}

  /// Checks one request once nothing can run any more.
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
