// A gateway holds several copies of each request's body and bounds their sum
// nowhere. A few large requests at once, each within the desired state's limit,
// take it over its memory; the platform kills it, and what it had passed on is
// lost.
#include "../standins/deployment.hpp"

using namespace review;

namespace {

constexpr long memory_mb = 260;
constexpr std::size_t body_bytes = 4'000'000;  // max_body_bytes is 4,194,304
// Large requests at once: usually, and in a burst of 2.5 times the traffic.
constexpr int usual_requests = 10;
constexpr int burst_requests = 25;
constexpr int waves = 3;
constexpr int wave_ms = 3000;
constexpr int work_ms = 1200;

long resident_mb(pid_t pid) {
  const std::string path = "/proc/" + std::to_string(pid) + "/statm";
  std::FILE* file = std::fopen(path.c_str(), "r");
  if (file == nullptr) return 0;
  long size = 0;
  long resident = 0;
  if (std::fscanf(file, "%ld %ld", &size, &resident) != 2) resident = 0;
  std::fclose(file);
  return resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

}  // namespace

int main() {
  record log("review/2/record.txt");
  deployment all;
  const bool trouble = has_trouble();
  all.places = {{"dub-a", "dub"}, {"cork-a", "cork"}};
  all.add_node("core-1", all.places[0], true);
  all.add_node("core-2", all.places[1], true);
  all.add_node("core-3", all.places[0], true);
  all.add_node("front-1", all.places[0], false);
  all.add_node("front-2", all.places[1], false);
  std::mutex lock;
  std::map<std::string, int> arrivals;
  for (const place& it : all.places) {
    for (int n = 0; n < 4; ++n) {
      endpoint& one = all.add_endpoint("app", it.zone, 32);
      one.work_ms = work_ms;
      one.on_arrival = [&](const arrival& in) {
        std::lock_guard<std::mutex> guard(lock);
        ++arrivals[in.id];
      };
      if (!one.start()) return could_not_run;
      one.listed = true;
    }
  }
  if (!all.start()) return could_not_run;
  pause_for(3000);
  if (all.order(all.controls(), "/-/config/replace",
                desired_state(5, 8000, 4000), log, 20000) != 200 ||
      !all.wait_until_served("/book/1", 20000)) {
    log.line("the deployment does not come up");
    return could_not_run;
  }
  pause_for(6000);
  node& gateway = all.find("front-1");

  // The platform: it kills a process over `memory_mb`, and starts it again.
  std::atomic<bool> ended{false};
  std::atomic<int> kills{0};
  std::atomic<long> peak{0};
  std::thread platform([&] {
    while (!ended) {
      const long mb = resident_mb(gateway.pid);
      if (mb > peak) peak = mb;
      if (mb > memory_mb) {
        log.line("%s uses %ld MB of %ld: the platform kills it",
                 gateway.name.c_str(), mb, memory_mb);
        all.send_signal(gateway, SIGKILL);
        ::waitpid(gateway.pid, nullptr, 0);
        gateway.pid = 0;
        ++kills;
        return;
      }
      pause_for(2);
    }
  });
  log.line("%s uses %ld MB before", gateway.name.c_str(),
           resident_mb(gateway.pid));

  // Clients with kept channels. Each sends a small request, then a large one.
  std::atomic<int> answered{0};
  std::atomic<int> cut{0};
  std::vector<std::thread> clients;
  const std::string body(body_bytes, 'x');
  const int at_once = trouble ? burst_requests : usual_requests;
  const int large_requests = waves * at_once;
  const steady::time_point first_wave = steady::now() + milliseconds(3000);
  for (int c = 0; c < large_requests; ++c) {
    clients.emplace_back([&, c] {
      connection channel;
      if (!channel.open(gateway.ip, deployment::callers_port, 1000)) return;
      const std::string small = "s-" + std::to_string(c);
      const int first = deployment::request_on(channel, "/book/1", small, 8000);
      if (first != 200) return;
      // Three waves, 9 s in all.
      std::this_thread::sleep_until(first_wave +
                                    milliseconds(c / at_once * wave_ms));
      const std::string id = "l-" + std::to_string(c);
      const std::string head =
          "POST /book/2 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
          "\r\nX-Deadline-Ms: 8000\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n";
      message in;
      const bool sent = channel.write(head) && channel.write(body);
      if (sent && channel.read(in, steady::now() + milliseconds(9000))) {
        log.line("%s: %d", id.c_str(), in.status());
        ++answered;
        return;
      }
      std::lock_guard<std::mutex> guard(lock);
      const bool passed_on = arrivals[id] > 0;
      log.line("%s: the channel closes without an answer; passed on: %s",
               id.c_str(), passed_on ? "yes" : "no");
      if (passed_on) ++cut;
    });
  }
  for (std::thread& it : clients) it.join();
  ended = true;
  platform.join();
  log.line("peak %ld MB; killed by the platform: %d", peak.load(),
           kills.load());
  log.line(
      "large requests: %d, answered %d, passed on to a sound endpoint and "
      "cut without an answer: %d",
      large_requests, answered.load(), cut.load());
  const int result = cut > 3 ? rule_broken : rule_held;
  log.line("result %d", result);
  all.stop_all();
  if (std::getenv("KEEP") == nullptr) all.~deployment();
  ::_exit(result);
}
