#include "usage_simulation.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>

#include "other_limiters.h"

namespace trestlepost::usage::test {
namespace {

using std::chrono::milliseconds;

using seconds = std::chrono::duration<double>;

constexpr milliseconds step{10};
constexpr milliseconds delay_in_region{2};
constexpr milliseconds delay_between_regions{55};

// What the rule allows in each window: a tenth more and a fixed amount.
constexpr simulated_time window{8};
constexpr double excess = 0.1;
// Time after its first request until a gateway that restarted with all others
// knows them.
constexpr milliseconds directory_time{300};
// Time after a change of the limit in which windows do not count.
constexpr simulated_time settling_time{2};
constexpr double slack = 140'000;

/// Requests by size: a mix of large prompts, small prompts and plain requests.
struct request_kind {
  double share;
  double tokens;
};
constexpr request_kind kinds[] = {
    {0.147, 12'372}, {0.636, 2'390}, {0.217, 200}};
constexpr double mean_tokens = 0.147 * 12'372 + 0.636 * 2'390 + 0.217 * 200;

struct waiting_request {
  std::size_t organisation = 0;
  double tokens = 0;
};

struct simulated_gateway {
  int region = 0;
  int restarts = 0;
  std::unique_ptr<seeded_random> random;
  std::unique_ptr<usage_limiter> limiter;
  shared_limiter* reporting = nullptr;  // the same object, if it reports
  monotonic_time next_report;
  monotonic_time reported_at;
  monotonic_time ready_at;
  monotonic_time knows_others_at;
  std::vector<waiting_request> waiting;    // until it is ready
  std::vector<waiting_request> undecided;  // while the limiter is learning
};

struct message {
  monotonic_time at;
  std::uint64_t number = 0;
  std::function<void()> deliver;

  bool operator<(const message& other) const {
    return std::tie(other.at, other.number) < std::tie(at, number);
  }
};

struct use {
  simulated_time time;
  double amount;
};

class simulation {
 public:
  explicit simulation(const usage_scenario& s) : s_(s), engine_(s.seed) {
    for (std::size_t i = 0; i < s_.organisations.size(); ++i) {
      names_.push_back("org-" + std::to_string(i));
    }
    uses_.resize(names_.size());
    ideal_.resize(names_.size());
    allowed_.resize(names_.size());
    admitted_.resize(names_.size());
    set_limits(1);
    collectors_.resize(s_.regions);
    for (int r = 0; r < s_.regions; ++r) start_collector(r);
    gateways_.resize(s_.gateways);
    for (int g = 0; g < s_.gateways; ++g) start_gateway(g);
  }

  usage_outcome run() {
    simulated_time next_restart = s_.restart_interval;
    int restarted = 0;
    bool collectors_restarted = s_.collectors_restart_at.count() == 0;
    while (time() < s_.length) {
      now_ += step;
      const double factor = s_.limit_factor(time());
      if (factor != factor_) set_limits(factor);
      if (s_.restart_interval.count() > 0 && time() >= next_restart) {
        start_gateway(restarted++ % s_.gateways);
        next_restart += s_.restart_interval;
      }
      if (!collectors_restarted && time() >= s_.collectors_restart_at) {
        for (int r = 0; r < s_.regions; ++r) start_collector(r);
        collectors_restarted = true;
      }
      restart_all_if_due();
      deliver_messages();
      tick_collectors();
      send_reports();
      send_requests();
    }
    return outcome();
  }

 private:
  simulated_time time() const { return now_ - start_time; }
  double uniform() { return std::uniform_real_distribution<double>()(engine_); }
  bool suspended(int gateway) const { return s_.is_suspended(gateway, time()); }

  void set_limits(double factor) {
    factor_ = factor;
    config::organisation_list all;
    for (std::size_t i = 0; i < names_.size(); ++i) {
      config::organisation one;
      one.name = names_[i];
      one.limit = config::usage_limit{s_.organisations[i].rate * factor,
                                      s_.organisations[i].burst * factor,
                                      config::usage_unit::tokens, 200};
      all.push_back(std::make_shared<const config::organisation>(one));
    }
    organisations_ = all;
    config::sort_by_name(all);
    table_.update(all);
  }

  void start_collector(int region) {
    const std::string name = "collector-" + std::to_string(region) + "-" +
                             std::to_string(collector_starts_++);
    collectors_[region] = std::make_unique<usage_collector>(
        name, "region-" + std::to_string(region));
  }

  void start_gateway(int number) {
    simulated_gateway& it = gateways_[number];
    it.region = number % s_.regions;
    it.random = std::make_unique<seeded_random>(engine_());
    it.reporting = nullptr;
    it.undecided.clear();
    const std::string name =
        "g-" + std::to_string(number) + "-" + std::to_string(it.restarts++);
    if (s_.way == limiting::none) it.limiter = std::make_unique<no_limiter>();
    if (s_.way == limiting::equal_parts) {
      it.limiter = std::make_unique<equal_parts_limiter>(s_.gateways);
    }
    if (s_.way == limiting::demand_parts) {
      it.limiter = std::make_unique<demand_parts_limiter>(name, *it.random);
    }
    if (s_.way == limiting::shared) {
      it.limiter = std::make_unique<shared_limiter>(name, *it.random);
    }
    it.reporting = dynamic_cast<shared_limiter*>(it.limiter.get());
    if (it.reporting != nullptr) it.reporting->set_gateway_count(s_.gateways);
    it.next_report = now_ + milliseconds(engine_() % 150);
  }

  void restart_all_if_due() {
    const simulated_time at = s_.all_restart_at;
    if (at.count() == 0 || time() < at || restarted_all_) return;
    restarted_all_ = true;
    messages_ = {};
    for (int r = 0; r < s_.regions; ++r) start_collector(r);
    for (int g = 0; g < s_.gateways; ++g) {
      start_gateway(g);
      const seconds wait =
          s_.min_wait + uniform() * (s_.max_wait - s_.min_wait);
      simulated_gateway& it = gateways_[g];
      it.ready_at =
          now_ + std::chrono::duration_cast<monotonic_time::duration>(wait);
      it.knows_others_at = it.ready_at + directory_time;
      if (it.reporting != nullptr) it.reporting->set_gateway_count(1);
    }
  }

  void post(milliseconds delay, std::function<void()> deliver) {
    messages_.push({now_ + delay, ++message_count_, std::move(deliver)});
  }

  void deliver_messages() {
    while (!messages_.empty() && messages_.top().at <= now_) {
      const std::function<void()> deliver = messages_.top().deliver;
      messages_.pop();
      deliver();
    }
  }

  void tick_collectors() {
    if (now_ < next_tick_) return;
    next_tick_ = now_ + usage_interval;
    for (int r = 0; r < s_.regions; ++r) {
      collectors_[r]->tick(table_, s_.regions, now_);
      if (!collectors_[r]->active(now_)) continue;
      const region_usage sums = collectors_[r]->sums(now_);
      for (int to = 0; to < s_.regions; ++to) {
        if (to == r || s_.is_cut(r, to, time())) continue;
        post(delay_between_regions, [this, to, sums] {
          collectors_[to]->handle(region_usage_from(to_json(sums)), now_);
        });
      }
    }
  }

  void send_reports() {
    for (int g = 0; g < s_.gateways; ++g) {
      simulated_gateway& it = gateways_[g];
      if (it.reporting == nullptr || !is_due(it)) continue;
      if (suspended(g) || now_ < it.ready_at) continue;
      if (now_ >= it.knows_others_at) {
        it.reporting->set_gateway_count(s_.gateways);
      }
      it.next_report = now_ + usage_interval;
      it.reported_at = now_;
      const usage_report report = it.reporting->make_report(now_);
      post(delay_in_region, [this, g, report] {
        const usage_reply reply =
            collectors_[gateways_[g].region]->handle(report, now_);
        post(delay_in_region, [this, g, reply] {
          if (gateways_[g].reporting == nullptr || suspended(g)) return;
          gateways_[g].reporting->handle(reply, now_);
        });
      });
    }
  }

  bool is_due(const simulated_gateway& it) const {
    if (now_ >= it.next_report) return true;
    return it.reporting->has_urgent_usage() &&
           now_ >= it.reported_at + min_report_interval;
  }

  double draw_tokens() {
    double point = uniform();
    for (const request_kind& it : kinds) {
      if (point < it.share) return it.tokens;
      point -= it.share;
    }
    return kinds[0].tokens;
  }

  void send_requests() {
    for (simulated_gateway& it : gateways_) admit_waiting(it);
    std::vector<double> waves;
    double sum = 0;
    for (int r = 0; r < s_.regions; ++r) {
      waves.push_back(s_.wave(r, time()));
      sum += waves.back();
    }
    for (std::size_t o = 0; o < names_.size(); ++o) {
      const simulated_organisation& it = s_.organisations[o];
      const double per_second = it.rate * it.load * s_.surge(o, time()) * sum /
                                s_.regions / mean_tokens;
      const seconds passed = step;
      const int count =
          std::poisson_distribution<int>(per_second * passed.count())(engine_);
      for (int n = 0; n < count; ++n) send_request(o, waves, sum);
    }
  }

  void send_request(std::size_t organisation, const std::vector<double>& waves,
                    double sum) {
    double point = uniform() * sum;
    int region = 0;
    while (region + 1 < s_.regions && point >= waves[region]) {
      point -= waves[region++];
    }
    const int in_region = (s_.gateways - region + s_.regions - 1) / s_.regions;
    const int number =
        region + s_.regions * static_cast<int>(uniform() * in_region);
    const double tokens = draw_tokens();
    if (suspended(number)) return;
    simulated_gateway& gateway = gateways_[number];
    gateway.waiting.push_back({organisation, tokens});
    admit_waiting(gateway);
  }

  void admit_waiting(simulated_gateway& gateway) {
    if (now_ < gateway.ready_at) return;
    for (const waiting_request& it : gateway.waiting) {
      record(gateway, it.organisation, it.tokens);
    }
    gateway.waiting.clear();
    admit_undecided(gateway);
  }

  void record(simulated_gateway& gateway, std::size_t organisation,
              double tokens) {
    const config::organisation& one = *organisations_[organisation];
    usage_bucket& ideal = ideal_[organisation];
    ideal.refill(one.limit->amount_per_second, one.limit->burst, now_);
    if (ideal.take(tokens)) allowed_[organisation] += tokens;
    gateway.limiter->record_request(one, tokens, now_);
    gateway.undecided.push_back({organisation, tokens});
  }

  void admit_undecided(simulated_gateway& gateway) {
    if (gateway.limiter->is_learning(now_)) return;
    for (const waiting_request& it : gateway.undecided) {
      admit(gateway, it.organisation, it.tokens);
    }
    gateway.undecided.clear();
  }

  void admit(simulated_gateway& gateway, std::size_t organisation,
             double tokens) {
    const config::organisation& one = *organisations_[organisation];
    if (!gateway.limiter->admit(one, tokens, now_).admitted) return;
    admitted_[organisation] += tokens;
    uses_[organisation].push_back({time(), tokens});
  }

  /// The largest usage within a window divided by what is allowed in it, for
  /// windows in which the limit did not change.
  double max_use(std::size_t organisation) const {
    const simulated_organisation& it = s_.organisations[organisation];
    std::deque<use> recent;
    double sum = 0;
    double out = 0;
    for (const use& one : uses_[organisation]) {
      recent.push_back(one);
      sum += one.amount;
      while (recent.front().time <= one.time - window) {
        sum -= recent.front().amount;
        recent.pop_front();
      }
      const double factor = s_.limit_factor(one.time);
      const bool settled =
          s_.limit_factor(one.time - window - settling_time) == factor;
      const double limit = factor * (it.rate * window.count() + it.burst);
      if (settled) out = std::max(out, sum / (limit * (1 + excess) + slack));
    }
    return out;
  }

  usage_outcome outcome() const {
    usage_outcome out;
    double allowed = 0;
    double lost = 0;
    for (std::size_t o = 0; o < names_.size(); ++o) {
      out.max_use = std::max(out.max_use, max_use(o));
      const double missing = std::max(0.0, allowed_[o] - admitted_[o]);
      allowed += allowed_[o];
      lost += missing;
      if (allowed_[o] > 0) {
        out.max_refused = std::max(out.max_refused, missing / allowed_[o]);
      }
    }
    if (allowed > 0) out.refused = lost / allowed;
    out.messages_per_second =
        static_cast<double>(message_count_) / s_.length.count();
    return out;
  }

  static constexpr monotonic_time start_time{std::chrono::seconds(1000)};

  const usage_scenario& s_;
  std::mt19937_64 engine_;
  monotonic_time now_ = start_time;
  double factor_ = 1;
  std::vector<std::string> names_;
  config::organisation_list organisations_;
  routing::organisation_table table_;
  std::vector<std::unique_ptr<usage_collector>> collectors_;
  std::vector<simulated_gateway> gateways_;
  int collector_starts_ = 0;
  bool restarted_all_ = false;
  std::priority_queue<message> messages_;
  std::uint64_t message_count_ = 0;
  monotonic_time next_tick_;
  std::vector<std::vector<use>> uses_;
  std::vector<usage_bucket> ideal_;
  std::vector<double> allowed_;
  std::vector<double> admitted_;
};

}  // namespace

usage_scenario scenario_of(int gateways, int regions, double load) {
  usage_scenario out;
  out.gateways = gateways;
  out.regions = regions;
  // Limits of the smallest and of large organisations, in tokens a second.
  for (const double rate : {36e3, 36e3, 120e3, 500e3, 4e6}) {
    out.organisations.push_back({rate, rate, load});
  }
  return out;
}

usage_outcome simulate(const usage_scenario& scenario) {
  return simulation(scenario).run();
}

}  // namespace trestlepost::usage::test
