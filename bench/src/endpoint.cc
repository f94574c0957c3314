#include "endpoint.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <list>
#include <map>
#include <memory>

#include "run_log.h"
#include "serve.h"
#include "trestlepost/base/clock.h"
#include "trestlepost/base/hash.h"
#include "trestlepost/base/json.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::bench {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using transport::awaitable;
using transport::http_exchange;
using transport::http_response;

constexpr std::size_t characters_per_token = 4;
constexpr std::size_t prefix_bytes = 512;
constexpr std::uint64_t default_tokens = 16;
// Tokens in one streamed piece, after a first piece with one token.
constexpr std::uint64_t tokens_per_piece = 8;

/// LRU cache of prompt prefixes.
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns whether the prefix was cached, and makes it the most recent one.
  bool touch(std::uint64_t prefix) {
    const auto it = std::find(order_.begin(), order_.end(), prefix);
    const bool hit = it != order_.end();
    if (hit) order_.erase(it);
    order_.push_front(prefix);
    if (order_.size() > capacity_) order_.pop_back();
    return hit;
  }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> order_;
};

/// Faults that a test injects with POST /stand-in/fault?NAME; an unknown name
/// ends the fault. `fail` resets the connection before the run, `refuse`
/// answers 503, `cut` resets the connection within a plain or streamed answer,
/// `crossed` answers for another attempt, `hang` never answers, `duplicate`
/// logs the start of a plain run twice, and `slow` makes plain runs and
/// decoding ten times slower.
enum class fault { none, fail, refuse, cut, crossed, hang, duplicate, slow };

fault fault_from(std::string_view name) {
  static const std::map<std::string_view, fault> names{
      {"fail", fault::fail}, {"refuse", fault::refuse},
      {"cut", fault::cut},   {"crossed", fault::crossed},
      {"hang", fault::hang}, {"duplicate", fault::duplicate},
      {"slow", fault::slow}};
  const auto it = names.find(name);
  return it == names.end() ? fault::none : it->second;
}

struct run_request {
  std::string request_id;
  std::string attempt;
  std::string key;
  std::uint64_t prompt_tokens = 1;
  std::uint64_t tokens = default_tokens;
  std::uint64_t prefix = 0;
  int priority = 0;
  bool stream = false;
};

class endpoint_handler final : public transport::http_handler {
 public:
  endpoint_handler(transport::asio::io_context& io,
                   const endpoint_options& options)
      : io_(io), options_(options), cache_(options.cached_prefixes) {}

  awaitable<void> handle(http_exchange& exchange) override;

 private:
  struct queued_run {
    explicit queued_run(transport::asio::io_context& io) : wake(io) {}
    transport::timer wake;
    bool started = false;
  };
  struct load_sample {
    monotonic_time at;
    unsigned running = 0;
    unsigned waiting = 0;
  };

  /// Reports the load as it was `report_lag` ago.
  awaitable<void> send_load(http_exchange& exchange);
  awaitable<void> run(http_exchange& exchange, run_request request);
  awaitable<void> run_plain(http_exchange& exchange, run_request request);
  awaitable<void> run_model(http_exchange& exchange, run_request request);
  /// Waits for a free slot by priority; false if the gateway disconnects first.
  awaitable<bool> acquire_slot(http_exchange& exchange, int priority);
  void release_slot();
  /// Waits for `n` divided by the speed.
  awaitable<void> wait_scaled(microseconds n);
  /// Decode time of one token at the present batch size.
  microseconds token_time() const;
  void log(const run_request& request, const char* phase) const;
  http_response make_answer_head(const run_request& request) const;

  transport::asio::io_context& io_;
  const endpoint_options& options_;
  prefix_cache cache_;
  unsigned running_ = 0;
  std::multimap<int, std::shared_ptr<queued_run>, std::greater<>> waiting_;
  std::list<load_sample> samples_;
  fault fault_ = fault::none;
  std::uint64_t runs_ = 0;
};

run_request parse_run_request(const http_exchange& exchange,
                              const std::string& body) {
  run_request out;
  out.request_id = std::string(exchange.header("X-Request-Id"));
  out.attempt = std::string(exchange.header("Trestlepost-Attempt"));
  out.key = std::string(exchange.header("Idempotency-Key"));
  const std::string priority(exchange.header("Trestlepost-Priority"));
  out.priority = std::atoi(priority.c_str());
  const result<json> parsed = parse_json(body.empty() ? "{}" : body);
  if (!parsed) return out;
  const json& messages = member_of(*parsed, "messages");
  const std::string prompt =
      messages.isArray() ? to_text(messages) : text_of(*parsed, "prompt");
  out.prompt_tokens = prompt.size() / characters_per_token + 1;
  out.prefix = hash64(std::string_view(prompt).substr(0, prefix_bytes));
  const std::uint64_t tokens = number_of(*parsed, "max_tokens");
  if (tokens > 0) out.tokens = tokens;
  out.stream = flag_of(*parsed, "stream");
  return out;
}

awaitable<void> endpoint_handler::wait_scaled(microseconds n) {
  transport::timer timer(io_);
  timer.expires_after(microseconds(static_cast<std::int64_t>(
      static_cast<double>(n.count()) / options_.speed)));
  boost::system::error_code ec;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

void endpoint_handler::log(const run_request& request,
                           const char* phase) const {
  append_run(options_.run_log,
             {options_.name, options_.region, request.request_id,
              request.attempt, request.key, phase});
}

http_response endpoint_handler::make_answer_head(
    const run_request& request) const {
  http_response out;
  std::string echoed = request.attempt;
  if (fault_ == fault::crossed) echoed = "another-attempt";
  out.headers = {{"Trestlepost-Attempt", echoed},
                 {"Stand-In-Endpoint", options_.name}};
  return out;
}

awaitable<bool> endpoint_handler::acquire_slot(http_exchange& exchange,
                                               int priority) {
  if (running_ < options_.slots) {
    ++running_;
    co_return true;
  }
  const std::shared_ptr<queued_run> waiter = std::make_shared<queued_run>(io_);
  const auto queue_entry = waiting_.emplace(priority, waiter);
  bool disconnected = false;
  exchange.on_disconnect([waiter, &disconnected] {
    disconnected = true;
    waiter->wake.cancel();
  });
  while (!waiter->started && !disconnected) {
    waiter->wake.expires_at(monotonic_time::max());
    boost::system::error_code ec;
    co_await waiter->wake.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  exchange.on_disconnect(nullptr);
  if (waiter->started) co_return true;
  waiting_.erase(queue_entry);
  co_return false;
}

void endpoint_handler::release_slot() {
  if (waiting_.empty()) {
    --running_;
    return;
  }
  const std::shared_ptr<queued_run> next = waiting_.begin()->second;
  waiting_.erase(waiting_.begin());
  next->started = true;
  next->wake.cancel();
}

microseconds endpoint_handler::token_time() const {
  const double factor = 1 + options_.decode_slope * (running_ - 1.0);
  const double slow_factor = fault_ == fault::slow ? 10 : 1;
  const microseconds base = options_.decode_per_token;
  return microseconds(static_cast<std::int64_t>(
      static_cast<double>(base.count()) * factor * slow_factor));
}

awaitable<void> endpoint_handler::send_load(http_exchange& exchange) {
  const monotonic_time now = boot_clock::now();
  samples_.push_back({now, running_, static_cast<unsigned>(waiting_.size())});
  while (samples_.size() > 1 &&
         std::next(samples_.begin())->at + options_.report_lag <= now) {
    samples_.pop_front();
  }
  json body;
  body["running"] = samples_.front().running;
  body["waiting"] = samples_.front().waiting;
  body["slots"] = options_.slots;
  http_response answer;
  answer.body = to_text(body);
  co_await exchange.respond(std::move(answer));
}

awaitable<void> endpoint_handler::run_plain(http_exchange& exchange,
                                            run_request request) {
  log(request, "start");
  ++runs_;
  if (fault_ == fault::duplicate) log(request, "start");
  const int factor = fault_ == fault::slow ? 10 : 1;
  co_await wait_scaled(options_.plain_time * factor);
  log(request, "end");
  json body;
  body["endpoint"] = options_.name;
  body["region"] = options_.region;
  body["request_id"] = request.request_id;
  body["run"] = json(Json::UInt64(runs_));
  http_response answer = make_answer_head(request);
  answer.body = to_text(body);
  if (fault_ == fault::cut) {
    co_await exchange.start_stream(std::move(answer));
    co_await exchange.write_piece("{\"endpoint\":");
    exchange.abort();
    co_return;
  }
  co_await exchange.respond(std::move(answer));
}

std::string completion_text(const run_request& request, std::uint64_t n) {
  std::string out;
  for (std::uint64_t i = 0; i < n; ++i) out += "tok ";
  return request.request_id + " " + out;
}

std::string event_text(const run_request& request, const std::string& content) {
  json event;
  event["id"] = request.request_id;
  event["object"] = "chat.completion.chunk";
  event["choices"][0]["delta"]["content"] = content;
  return "data: " + to_text(event) + "\n\n";
}

awaitable<void> endpoint_handler::run_model(http_exchange& exchange,
                                            run_request request) {
  log(request, "start");
  ++runs_;
  const bool cached = cache_.touch(request.prefix);
  // A cached prefix leaves a tenth of the prompt to prefill.
  const std::uint64_t prefill_tokens =
      cached ? request.prompt_tokens / 10 + 1 : request.prompt_tokens;
  co_await wait_scaled(options_.prefill_per_token * prefill_tokens);
  http_response head = make_answer_head(request);
  if (request.stream) {
    head.content_type = "text/event-stream";
    bool open = co_await exchange.start_stream(std::move(head));
    std::uint64_t done = 0;
    while (open && done < request.tokens) {
      const std::uint64_t n =
          done == 0 ? 1 : std::min(tokens_per_piece, request.tokens - done);
      co_await wait_scaled(token_time() * n);
      done += n;
      std::string event = event_text(request, completion_text(request, n));
      open = co_await exchange.write_piece(std::move(event));
      if (fault_ == fault::cut && done > 1) {
        exchange.abort();
        co_return;
      }
    }
    if (!open) co_return;
    log(request, "end");
    co_await exchange.write_piece("data: [DONE]\n\n");
    co_await exchange.finish_stream();
    co_return;
  }
  bool disconnected = false;
  exchange.on_disconnect([&disconnected] { disconnected = true; });
  for (std::uint64_t done = 0; done < request.tokens && !disconnected;) {
    const std::uint64_t n = std::min(tokens_per_piece, request.tokens - done);
    co_await wait_scaled(token_time() * n);
    done += n;
  }
  exchange.on_disconnect(nullptr);
  if (disconnected) co_return;
  log(request, "end");
  json body;
  body["id"] = request.request_id;
  body["object"] = "chat.completion";
  body["endpoint"] = options_.name;
  body["cached"] = cached;
  body["choices"][0]["message"]["content"] =
      completion_text(request, request.tokens);
  head.body = to_text(body);
  co_await exchange.respond(std::move(head));
}

awaitable<void> endpoint_handler::run(http_exchange& exchange,
                                      run_request request) {
  if (fault_ == fault::refuse) {
    http_response answer = make_answer_head(request);
    answer.status = 503;
    co_await exchange.respond(std::move(answer));
    co_return;
  }
  if (fault_ == fault::fail) {
    exchange.abort();
    co_return;
  }
  if (fault_ == fault::hang) {
    constexpr milliseconds long_time{3'600'000};
    bool disconnected = false;
    exchange.on_disconnect([&disconnected] { disconnected = true; });
    while (!disconnected)
      co_await wait_scaled(std::min(long_time, milliseconds(100)));
    co_return;
  }
  const bool started = co_await acquire_slot(exchange, request.priority);
  if (!started) co_return;
  if (options_.plain) {
    co_await run_plain(exchange, std::move(request));
  } else {
    co_await run_model(exchange, std::move(request));
  }
  release_slot();
}

awaitable<void> endpoint_handler::handle(http_exchange& exchange) {
  const std::string target(exchange.target());
  result<transport::request_body> body = co_await exchange.read_body();
  if (!body) co_return;
  if (target == "/load") {
    co_await send_load(exchange);
    co_return;
  }
  constexpr std::string_view fault_path = "/stand-in/fault?";
  if (target.starts_with(fault_path)) {
    fault_ = fault_from(target.substr(fault_path.size()));
    http_response answer;
    co_await exchange.respond(std::move(answer));
    co_return;
  }
  run_request request = parse_run_request(exchange, body->text);
  co_await run(exchange, std::move(request));
}

}  // namespace

int run_endpoint(const endpoint_options& options) {
  transport::asio::io_context io(1);
  endpoint_handler handler(io, options);
  return serve_until_signal(io, handler, options.address);
}

}  // namespace trestlepost::bench
