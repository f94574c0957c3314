// Other ways to limit usage, which the simulation compares with the shared
// limiter.
#pragma once

#include "trestlepost/usage/shared_limiter.h"

namespace trestlepost::usage::test {

/// Learns nothing of other gateways.
class unshared_limiter : public usage_limiter {
 public:
  void record_request(const config::organisation&, double,
                      monotonic_time) override {}
  bool is_learning(monotonic_time) const override { return false; }
  void give_back(const std::string&, double) override {}
};

/// Admits everything.
class no_limiter final : public unshared_limiter {
 public:
  usage_decision admit(const config::organisation&, double,
                       monotonic_time) override {
    return {};
  }
};

/// Gives each gateway an equal part of the limit, without communication.
class equal_parts_limiter final : public unshared_limiter {
 public:
  explicit equal_parts_limiter(std::size_t gateways) : gateways_(gateways) {}

  usage_decision admit(const config::organisation& organisation, double amount,
                       monotonic_time now) override;

 private:
  std::size_t gateways_;
  std::map<std::string, usage_bucket> buckets_;
};

/// Gives each gateway a bucket that refills by its part of the demand, with the
/// data of the same collectors as the shared limiter.
class demand_parts_limiter final : public shared_limiter {
 public:
  using shared_limiter::shared_limiter;

 protected:
  usage_decision admit_near_limit(organisation_state& state,
                                  const config::usage_limit& limit,
                                  double amount, monotonic_time now) override;

 private:
  struct own_demand {
    usage_bucket bucket;
    double asked_before = 0;
    double asked = 0;  // lately
    monotonic_time updated_at;
  };
  std::map<const organisation_state*, own_demand> own_;
};

}  // namespace trestlepost::usage::test
