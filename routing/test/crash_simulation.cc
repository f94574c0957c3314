// Event-driven simulation of crashing endpoints with a seeded random source.
#include "crash_simulation.h"

#include <algorithm>
#include <utility>

namespace trestlepost::routing::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds length{40};
constexpr seconds lethal_from{5};
constexpr milliseconds contact{5000};
constexpr milliseconds crash_after{50};
constexpr milliseconds down_time{3200};
constexpr milliseconds check_time{22};
constexpr milliseconds judge_interval{25};
constexpr milliseconds caller_pause{200};
constexpr int judges = 5;
constexpr int attempts = 2;
constexpr int caller_tries = 2;

const monotonic_time start = monotonic_time(std::chrono::hours(1));

struct request {
  std::string fingerprint;
  bool lethal = false;
  int kind = 0;  // if lethal
  int gateway = 0;
  int sends = 0;
  int tries = 0;
};

struct endpoint {
  bool up = true;
  int life = 0;
  std::map<std::uint64_t, request> running;
};

struct gateway {
  monotonic_time out_of_touch_until = start;
  monotonic_time asleep_until = start;
  std::set<std::string> held;
  std::set<std::string> watched;
};

class simulation {
 public:
  explicit simulation(const crash_scenario& it)
      : options_(it),
        random_(it.seed),
        endpoints_(static_cast<std::size_t>(it.endpoints)),
        gateways_(static_cast<std::size_t>(it.gateways)),
        blame_(judges),
        crashes_(static_cast<std::size_t>(it.lethal_kinds)),
        third_(static_cast<std::size_t>(it.lethal_kinds)),
        late_(static_cast<std::size_t>(it.lethal_kinds)) {}

  crash_outcome run() {
    arrive_harmless();
    if (options_.returning_per_second > 0) arrive_returning();
    for (int n = 0; n < options_.lethal_kinds; ++n) {
      at(start + lethal_from + milliseconds(700 * n),
         [this, n] { arrive_lethal(n); });
    }
    at(start, [this] { judge(); });
    plan_disturbances();
    while (!events_.empty() && events_.top().at < start + length) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    out_.sends_afterwards = *std::max_element(late_.begin(), late_.end());
    out_.crashes_by_worst = *std::max_element(crashes_.begin(), crashes_.end());
    return out_;
  }

 private:
  struct event {
    monotonic_time at;
    std::uint64_t order;
    std::function<void()> action;

    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void at(monotonic_time when, std::function<void()> action) {
    events_.push({when, next_order_++, std::move(action)});
  }

  int below(int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random_);
  }
  bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
  milliseconds delay() { return milliseconds(1 + below(60)); }
  milliseconds around(double mean) {
    const double ms = std::exponential_distribution<double>(1 / mean)(random_);
    return milliseconds(1 + static_cast<int>(ms));
  }

  void arrive_harmless() {
    const double per_ms = options_.endpoints * options_.runs_at_once /
                          static_cast<double>(options_.run_time.count());
    at(now_ + std::chrono::microseconds(static_cast<int>(1000 / per_ms)),
       [this] { arrive_harmless(); });
    request it;
    it.fingerprint = "h" + std::to_string(next_id_++);
    ++out_.harmless;
    come(std::move(it));
  }

  void arrive_returning() {
    at(now_ + around(1000 / options_.returning_per_second),
       [this] { arrive_returning(); });
    request it;
    it.fingerprint = "returning";
    ++out_.harmless;
    come(std::move(it));
  }

  void arrive_lethal(int kind) {
    at(now_ + around(1000 / options_.lethal_per_second),
       [this, kind] { arrive_lethal(kind); });
    request it;
    it.fingerprint = "lethal" + std::to_string(kind);
    it.lethal = true;
    it.kind = kind;
    come(std::move(it));
  }

  /// Sends a request from its caller to a random gateway.
  void come(request it) {
    it.gateway = below(options_.gateways);
    it.sends = 0;
    ++it.tries;
    send(std::move(it), -1);
  }

  gateway& gateway_of(const request& it) {
    return gateways_[static_cast<std::size_t>(it.gateway)];
  }

  void send(request it, int avoid) {
    const gateway& by = gateway_of(it);
    if (now_ < by.asleep_until) {
      at(by.asleep_until, [this, it, avoid] { send(it, avoid); });
      return;
    }
    const bool held = by.held.contains(it.fingerprint);
    if (held && !options_.without_holds) {
      if (!it.lethal) ++out_.harmless_held;
      return;
    }
    int n = -1;
    for (int i = 0; i < 20 && n < 0; ++i) {
      const int drawn = below(options_.endpoints);
      const bool up = endpoints_[static_cast<std::size_t>(drawn)].up;
      if (up && drawn != avoid) n = drawn;
    }
    if (n < 0) {
      come_back(std::move(it));
      return;
    }
    ++it.sends;
    if (it.lethal) count_lethal_send(it);
    start_run(n, std::move(it));
  }

  void count_lethal_send(const request& it) {
    const std::size_t kind = static_cast<std::size_t>(it.kind);
    const bool known = crashes_[kind] >= 3 && now_ >= third_[kind] + contact;
    const bool in_touch = now_ >= gateway_of(it).out_of_touch_until;
    if (known && in_touch) ++late_[kind];
  }

  void start_run(int n, request it) {
    endpoint& where = endpoints_[static_cast<std::size_t>(n)];
    const std::uint64_t id = next_id_++;
    const int life = where.life;
    const bool lethal = it.lethal;
    where.running[id] = std::move(it);
    const milliseconds takes =
        lethal ? crash_after
               : around(static_cast<double>(options_.run_time.count()));
    at(now_ + takes, [this, n, id, life] { end_run(n, id, life); });
  }

  void end_run(int n, std::uint64_t id, int life) {
    endpoint& where = endpoints_[static_cast<std::size_t>(n)];
    if (where.life != life || !where.running.contains(id)) return;
    if (where.running[id].lethal) {
      const std::size_t kind = static_cast<std::size_t>(where.running[id].kind);
      if (++crashes_[kind] == 3) third_[kind] = now_;
      crash(n);
      return;
    }
    const request done = where.running[id];
    where.running.erase(id);
    ++out_.harmless_served;
    if (!gateway_of(done).watched.contains(done.fingerprint)) return;
    if (options_.without_good_ends) return;
    report({done.fingerprint, "", "", now_}, 0);
  }

  void crash(int n) {
    endpoint& where = endpoints_[static_cast<std::size_t>(n)];
    where.up = false;
    ++where.life;
    const std::map<std::uint64_t, request> broken =
        std::exchange(where.running, {});
    const std::string name =
        std::to_string(n) + "@" + std::to_string(where.life);
    for (const auto& [id, it] : broken) {
      gateway_of(it).watched.insert(it.fingerprint);
      const crash_report told{it.fingerprint, name, "s", now_};
      at(now_ + check_time, [this, told] { report(told, 0); });
      fail(it, n);
    }
    at(now_ + down_time,
       [this, n] { endpoints_[static_cast<std::size_t>(n)].up = true; });
  }

  /// Handles the loss of request `it` on endpoint `n`.
  void fail(request it, int n) {
    if (it.sends < attempts) {
      send(std::move(it), n);
    } else {
      come_back(std::move(it));
    }
  }

  void come_back(request it) {
    if (it.lethal || it.tries >= caller_tries) return;
    at(now_ + caller_pause, [this, it] { come(it); });
  }

  void report(const crash_report& told, int sent) {
    for (crash_blame& it : blame_) {
      if (chance(options_.lost_messages)) continue;
      at(now_ + delay(), [this, &it, told] {
        if (told.endpoint.empty()) {
          it.ended_well(told.fingerprint, told.at);
        } else {
          it.crashed(told, now_);
        }
      });
    }
    const bool last = sent == 4 || options_.without_reports_sent_again;
    if (last) return;
    at(now_ + seconds(1 << sent),
       [this, told, sent] { report(told, sent + 1); });
  }

  void judge() {
    at(now_ + judge_interval, [this] { judge(); });
    for (int n = 0; n < judges; ++n) {
      crash_blame& it = blame_[static_cast<std::size_t>(n)];
      for (const std::string& suspect : it.take_suspects()) {
        if (n == leader_) tell(suspect, false);
      }
      for (const crash_verdict& verdict : it.take_verdicts(now_)) {
        condemned_.insert(verdict.fingerprint);
      }
    }
    // The leader proposes every request that any control node found.
    for (const std::string& it : condemned_) {
      if (in_log_.insert(it).second) tell(it, true);
    }
  }

  /// Applies a change at all gateways; it takes two round trips to take effect.
  void tell(const std::string& fingerprint, bool hold) {
    for (gateway& it : gateways_) {
      at(now_ + delay() + delay() + delay(), [&it, fingerprint, hold] {
        if (hold) it.held.insert(fingerprint);
        it.watched.insert(fingerprint);
      });
    }
  }

  void plan_disturbances() {
    for (int n = 0; n < 6; ++n) {
      const monotonic_time when = start + seconds(6 + 5 * n);
      if (options_.zones_crash) {
        at(when, [this, n] { crash_zone(n % options_.zones); });
      }
      if (options_.gateways_restart) at(when, [this] { restart_gateways(); });
      if (options_.leaders_change) {
        at(when, [this] { leader_ = below(judges); });
      }
      if (options_.gateways_suspended) at(when, [this] { suspend_gateways(); });
    }
    if (options_.judges_restart) {
      at(start + lethal_from + milliseconds(300), [this] {
        for (crash_blame& it : blame_) it = crash_blame();
      });
    }
  }

  void crash_zone(int zone) {
    for (int n = zone; n < options_.endpoints; n += options_.zones) {
      if (endpoints_[static_cast<std::size_t>(n)].up) crash(n);
    }
  }

  /// Restarted gateways lose all state except the log, which they read before
  /// they serve.
  void restart_gateways() {
    for (gateway& it : gateways_) {
      if (!chance(0.3)) continue;
      it.watched.clear();
      it.held = in_log_;
      it.out_of_touch_until = now_ + contact;
    }
  }

  /// Suspended gateways continue with stale state until they notice the pause.
  void suspend_gateways() {
    for (gateway& it : gateways_) {
      if (!chance(0.3)) continue;
      it.asleep_until = now_ + seconds(3);
      it.out_of_touch_until = it.asleep_until + contact;
    }
  }

  crash_scenario options_;
  std::mt19937_64 random_;
  monotonic_time now_ = start;
  std::priority_queue<event> events_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_id_ = 0;
  std::vector<endpoint> endpoints_;
  std::vector<gateway> gateways_;
  std::vector<crash_blame> blame_;
  std::set<std::string> condemned_;
  std::set<std::string> in_log_;
  int leader_ = 0;
  std::vector<int> crashes_;  // by lethal kind
  std::vector<monotonic_time> third_;
  std::vector<int> late_;
  crash_outcome out_;
};

}  // namespace

crash_outcome simulate(const crash_scenario& scenario) {
  return simulation(scenario).run();
}

}  // namespace trestlepost::routing::test
