// An order of the operator that waits in the socket of a frozen control node is
// carried out when the node wakes, although the operator has closed the
// channel, repeated the order elsewhere and given a newer, opposite order
// since.
#include "../standins/deployment.hpp"

using namespace review;

int main() {
  record log("review/1/record.txt");
  deployment all;
  const bool trouble = has_trouble();
  all.places = {{"dub-a", "dub"}, {"cork-a", "cork"}, {"gal-a", "gal"}};
  const int control_place[] = {0, 0, 1, 1, 2};
  for (int n = 0; n < 5; ++n) {
    all.add_node("core-" + std::to_string(n + 1), all.places[control_place[n]],
                 true);
  }
  for (const place& it : all.places) {
    all.add_node("front-" + it.zone + "-1", it, false);
    all.add_node("front-" + it.zone + "-2", it, false);
  }
  std::mutex lock;
  std::vector<arrival> arrivals;
  for (const place& it : all.places) {
    for (int n = 0; n < 2; ++n) {
      endpoint& one = all.add_endpoint("app", it.zone, 32);
      one.listed = true;
      one.on_arrival = [&](const arrival& in) {
        std::lock_guard<std::mutex> guard(lock);
        arrivals.push_back(in);
      };
      if (!one.start()) return could_not_run;
    }
  }
  if (!all.start()) return could_not_run;
  const std::vector<node*> controls = all.controls();
  pause_for(3000);
  if (all.order(controls, "/-/config/replace", desired_state(5), log, 20000) !=
      200) {
    log.line("the first desired state was not acknowledged");
    return could_not_run;
  }
  if (!all.wait_until_served("/get/1", 20000)) {
    log.line("not all gateways serve");
    return could_not_run;
  }
  pause_for(6000);  // calm for contact_ms

  // Clients send requests all the time.
  std::atomic<bool> ended{false};
  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (node* it : all.gateways()) {
    clients.emplace_back([&, it] {
      for (int n = 0; !ended; ++n) {
        ++sent;
        const std::string id = "c-" + it->name + "-" + std::to_string(n);
        if (deployment::request(*it, "/get/1", id, 2500) == 200) ++answered;
        pause_for(40);
      }
    });
  }

  int result = could_not_run;
  do {
    const std::string start = "/-/evacuate/cork-a/start";
    const std::string stop = "/-/evacuate/cork-a/stop";
    if (all.order(controls, start, "", log, 6000) != 200) break;
    pause_for(3000);

    // The order of nodes that the operator tries: the last control node first.
    std::vector<node*> tried{controls[4], controls[0], controls[1],
                             controls[2]};
    node& frozen = *controls[4];
    const steady::time_point frozen_at = steady::now();
    if (trouble) {
      log.line("freeze %s", frozen.name.c_str());
      all.send_signal(frozen, SIGSTOP);
    }
    const int stopped = all.order(tried, stop, "", log, 6000);
    const steady::time_point stopped_at = steady::now();
    tried.erase(tried.begin());
    const int started = all.order(tried, start, "", log, 6000);
    const steady::time_point acked = steady::now();
    log.line("stop: %d, then start: %d, acknowledged %.3f s after the freeze",
             stopped, started,
             std::chrono::duration<double>(acked - frozen_at).count());
    if (trouble) {
      std::this_thread::sleep_until(frozen_at + milliseconds(3400));
      log.line("thaw %s after %.3f s", frozen.name.c_str(),
               seconds_since(frozen_at));
      all.send_signal(frozen, SIGCONT);
    }
    if (stopped != 200 || started != 200) break;
    if (acked > frozen_at + milliseconds(3300)) {
      log.line("the orders were acknowledged too late for this case");
      break;
    }
    // evac_ms (5 s), and skew_max_ms (8 s) because the core was not stable.
    const steady::time_point bound = acked + milliseconds(5000 + 8000);
    std::this_thread::sleep_until(bound + milliseconds(6000));
    int within = 0;
    int late = 0;
    {
      std::lock_guard<std::mutex> guard(lock);
      for (const arrival& it : arrivals) {
        if (it.zone != "cork-a" || it.at < acked) continue;
        if (it.at > acked + milliseconds(5000)) ++within;
        if (it.at <= bound) continue;
        ++late;
        if (late <= 5) {
          log.line("request %s reached %s in cork-a %.3f s after the ack",
                   it.id.c_str(), it.endpoint.c_str(),
                   std::chrono::duration<double>(it.at - acked).count());
        }
      }
    }
    (void)stopped_at;
    log.line(
        "requests that reached cork-a over 5 s after the ack of its "
        "evacuation: %d; over 13 s after it: %d",
        within, late);
    result = late > 0 ? rule_broken : rule_held;
  } while (false);
  ended = true;
  for (std::thread& it : clients) it.join();
  log.line("sent %d, answered with 200: %d, arrived at endpoints: %zu",
           sent.load(), answered.load(), arrivals.size());
  log.line("result %d", result);
  all.stop_all();
  std::fflush(nullptr);
  if (std::getenv("KEEP") == nullptr) all.~deployment();
  ::_exit(result);
}
