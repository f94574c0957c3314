// Compares the answers that callers received with the runs that the endpoints
// logged: an answered request ran and a refused one did not, a run-once request
// ran at most once, and a home-bound one ran only at home. Also checks that no
// truncated stream was framed as complete.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "plan_record.h"

namespace trestlepost::soak {

enum class request_kind { repeatable, run_once, home_bound };

/// A request of a caller and the status that the caller received.
struct request_outcome {
  std::string id;
  request_kind kind = request_kind::repeatable;
  unsigned status = 0;  // 0: no answer, or an incomplete one
  /// The complete answer of a stream, and whether it states where it ends.
  std::optional<std::string> stream{};
  bool delimited = false;
};

/// The endpoints that logged a run of a request, one entry for each run.
using endpoint_names = std::vector<std::string>;

class request_record {
 public:
  /// `home`: the endpoints that may run home-bound requests. `full_stream`:
  /// the events of a full stream.
  request_record(violation_list& violations, endpoint_names home,
                 std::string full_stream)
      : violations_(violations),
        home_(std::move(home)),
        full_stream_(std::move(full_stream)) {}

  /// Checks one request; call it after all runs have ended.
  void check(const request_outcome& it, const endpoint_names& ran);

  int answered() const { return answered_; }
  int refused() const { return refused_; }
  int failed() const { return failed_; }

 private:
  void check_stream(const request_outcome& it, const std::string& subject);

  violation_list& violations_;
  endpoint_names home_;
  std::string full_stream_;
  int answered_ = 0;
  int refused_ = 0;
  int failed_ = 0;
};

}  // namespace trestlepost::soak
