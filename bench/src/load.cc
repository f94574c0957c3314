#include "load.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>

#include "caller.h"
#include "trestlepost/base/object_reader.h"
#include "trestlepost/base/random.h"

namespace trestlepost::bench {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;

constexpr std::size_t characters_per_token = 4;

/// Returns a prompt that shares all but its last words with others of the same
/// prefix.
std::string make_prompt(const load_class& kind, std::uint64_t prefix,
                        std::uint64_t n) {
  std::string shared = kind.name + " prefix " + std::to_string(prefix) + " ";
  const std::size_t size = kind.prompt_tokens * characters_per_token;
  while (shared.size() < size) shared += "timetable ";
  shared.resize(std::max<std::size_t>(size, 1));
  return shared + " request " + std::to_string(n);
}

/// Runs all classes on one event loop.
class load_run {
 public:
  explicit load_run(const load_options& options)
      : options_(options), client_(io_, client_options()) {}

  std::map<std::string, class_result> run() {
    for (std::size_t i = 0; i < options_.classes.size(); ++i) {
      boost::asio::co_spawn(io_, generate_requests(options_.classes[i], i),
                            boost::asio::detached);
    }
    io_.run();
    return results_;
  }

 private:
  static transport::http_client_options client_options() {
    transport::http_client_options out;
    out.max_idle_per_address = 512;
    return out;
  }

  /// Starts the requests of a class at the times of a Poisson process.
  awaitable<void> generate_requests(const load_class& kind, std::size_t index);
  awaitable<void> send_one(const load_class& kind, std::uint64_t n,
                           std::uint64_t prefix, monotonic_time due,
                           bool counted);

  const load_options& options_;
  transport::asio::io_context io_{1};
  transport::http_client client_;
  system_random ids_;
  std::map<std::string, class_result> results_;
};

awaitable<void> load_run::generate_requests(const load_class& kind,
                                            std::size_t index) {
  seeded_random random(options_.seed * 1000UL + index);
  const monotonic_time start = boot_clock::now();
  const std::chrono::seconds length(options_.seconds + options_.warmup_seconds);
  std::chrono::duration<double> at(0);
  transport::timer timer(io_);
  for (std::uint64_t n = 0;; ++n) {
    // Exponential intervals, from a uniform value in (0, 1]: `scale` is 2^-64.
    constexpr double scale = 1.0 / 18446744073709551616.0;
    const double u = (static_cast<double>(random.next()) + 1) * scale;
    at += std::chrono::duration<double>(-std::log(u) / kind.rate);
    if (at >= length) co_return;
    const monotonic_time due =
        start + std::chrono::duration_cast<std::chrono::nanoseconds>(at);
    timer.expires_at(due);
    boost::system::error_code ec;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    const bool counted = at >= std::chrono::seconds(options_.warmup_seconds);
    boost::asio::co_spawn(
        io_, send_one(kind, n, random.below(kind.prefixes), due, counted),
        boost::asio::detached);
  }
}

awaitable<void> load_run::send_one(const load_class& kind, std::uint64_t n,
                                   std::uint64_t prefix, monotonic_time due,
                                   bool counted) {
  const std::string id = make_request_id(ids_);
  caller_request request;
  request.address = kind.entry;
  request.token = kind.token;
  request.target = kind.target;
  request.timeout = milliseconds(kind.deadline_ms + 2000);
  request.headers = {
      {"X-Request-Id", id},
      {"Trestlepost-Deadline-Ms", std::to_string(kind.deadline_ms)},
      {"Trestlepost-Priority", std::to_string(kind.priority)}};
  if (kind.run_once) {
    request.headers.emplace_back("Trestlepost-Repeatable", "false");
    request.headers.emplace_back("Idempotency-Key", id);
  }
  json body;
  if (kind.model) {
    body["model"] = kind.service;
    body["messages"][0]["content"] = make_prompt(kind, prefix, n);
    body["max_tokens"] = kind.tokens;
    body["stream"] = kind.stream;
  } else {
    body["item"] = id;
  }
  request.body = to_text(body);
  const monotonic_time sent_at = boot_clock::now();
  const caller_answer answer = co_await send(client_, std::move(request));
  if (!counted) co_return;
  // Latency counts from the scheduled start, so that a delay of the load
  // generator doesn't hide a slow answer.
  const std::chrono::nanoseconds start_delay = sent_at - due;
  const auto as_ms = [](std::chrono::nanoseconds t) {
    return std::chrono::duration<double, std::milli>(t).count();
  };
  class_result& out = results_[kind.name];
  ++out.offered;
  const bool has_request_id = answer.body.find(id) != std::string::npos;
  std::string outcome = answer.kind;
  if (answer.status == 200 && answer.complete) {
    outcome = has_request_id ? "answered" : "MIXED";
  } else if (answer.status == 200) {
    outcome = "broken";
  } else if (answer.status == 0) {
    outcome = "no-answer";
  }
  ++out.outcomes[outcome];
  if (outcome != "answered") co_return;
  out.first_ms.push_back(as_ms(answer.first_piece_time + start_delay));
  out.total_ms.push_back(as_ms(answer.total + start_delay));
  if (out.total_ms.back() > kind.deadline_ms) co_return;
  ++out.good;
  if (!kind.home.empty() && answer.region != kind.home) ++out.away;
}

json to_json(const class_result& it) {
  json out;
  out["offered"] = json(Json::UInt64(it.offered));
  out["good"] = json(Json::UInt64(it.good));
  out["away"] = json(Json::UInt64(it.away));
  for (const auto& [name, n] : it.outcomes) {
    out["outcomes"][name] = json(Json::UInt64(n));
  }
  out["first_p50_ms"] = quantile(it.first_ms, 0.5);
  out["first_p99_ms"] = quantile(it.first_ms, 0.99);
  out["total_p50_ms"] = quantile(it.total_ms, 0.5);
  out["total_p99_ms"] = quantile(it.total_ms, 0.99);
  out["total_p999_ms"] = quantile(it.total_ms, 0.999);
  return out;
}

load_class read_class(const json& value, problem_list& problems) {
  object_reader reader(value, "classes", problems);
  load_class out;
  out.name = reader.text("name");
  out.entry = reader.text("entry");
  out.token = reader.text_or("token", "");
  out.target = reader.text("target");
  out.service = reader.text_or("service", "");
  constexpr std::uint64_t max_value = 1'000'000;
  constexpr double per_thousand = 1000;
  // An integer number of requests in 1000 seconds, to allow low rates.
  out.rate = static_cast<double>(
                 reader.number_or("per_1000_s", 1000, 1, 100 * max_value)) /
             per_thousand;
  const auto number = [&reader](const char* key, unsigned fallback) {
    return static_cast<unsigned>(reader.number_or(key, fallback, 0, max_value));
  };
  out.prompt_tokens = number("prompt_tokens", out.prompt_tokens);
  out.tokens = number("tokens", out.tokens);
  out.prefixes = std::max(1U, number("prefixes", out.prefixes));
  out.deadline_ms = number("deadline_ms", out.deadline_ms);
  out.priority = static_cast<int>(number("priority", 0));
  out.stream = reader.flag_or("stream", false);
  out.run_once = reader.flag_or("run_once", false);
  out.model = reader.flag_or("model", true);
  out.home = reader.text_or("home", "");
  reader.finish();
  return out;
}

}  // namespace

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double rank = q * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(rank))];
}

std::map<std::string, class_result> run_load(const load_options& options) {
  return load_run(options).run();
}

int run_load_file(const std::string& file, bool as_json) {
  std::ifstream in(file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>()};
  const result<json> document = parse_json(text, json_comments::allow);
  if (!document) {
    std::cerr << document.error().message << "\n";
    return 2;
  }
  problem_list problems(text);
  object_reader reader(*document, "", problems);
  load_options options;
  constexpr std::uint64_t max_seconds = 600;
  options.seconds = static_cast<unsigned>(
      reader.number_or("seconds", options.seconds, 1, max_seconds));
  options.warmup_seconds = static_cast<unsigned>(reader.number_or(
      "warmup_seconds", options.warmup_seconds, 0, max_seconds));
  options.seed =
      static_cast<unsigned>(reader.number_or("seed", 1, 1, 1'000'000));
  for (const json& it : reader.objects_or_empty("classes")) {
    options.classes.push_back(read_class(it, problems));
  }
  reader.finish();
  if (!problems.empty()) {
    std::cerr << problems.to_text(file);
    return 2;
  }
  const std::map<std::string, class_result> results = run_load(options);
  json out;
  for (const auto& [name, it] : results) out[name] = to_json(it);
  std::cout << (as_json ? to_text(out) : to_pretty_text(out)) << "\n";
  return 0;
}

}  // namespace trestlepost::bench
