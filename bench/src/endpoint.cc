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
constexpr std::size_t prefix_size = 512;
constexpr std::uint64_t default_tokens = 16;
// Tokens after the first that go out in one piece.
constexpr std::uint64_t tokens_per_piece = 8;

/// Prefixes whose state is in memory, the latest first.
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /// Whether the prefix was there; it is afterwards.
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

/// Faults that a test orders by POST /stand-in/fault?NAME.
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

struct work {
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
  struct waiting_work {
    explicit waiting_work(transport::asio::io_context& io) : wake(io) {}
    transport::timer wake;
    bool started = false;
  };
  struct load_sample {
    monotonic_time at;
    unsigned running = 0;
    unsigned waiting = 0;
  };

  awaitable<void> answer_load(http_exchange& exchange);
  awaitable<void> run(http_exchange& exchange, work item);
  awaitable<void> run_plain(http_exchange& exchange, work item);
  awaitable<void> run_model(http_exchange& exchange, work item);
  awaitable<bool> take_slot(http_exchange& exchange, int priority);
  void release_slot();
  awaitable<void> pause(microseconds n);
  microseconds token_time() const;
  void log(const work& item, const char* phase) const;
  http_response head_for(const work& item) const;

  transport::asio::io_context& io_;
  const endpoint_options& options_;
  prefix_cache cache_;
  unsigned running_ = 0;
  std::multimap<int, std::shared_ptr<waiting_work>, std::greater<>> waiting_;
  std::list<load_sample> samples_;
  fault fault_ = fault::none;
  std::uint64_t runs_ = 0;
};

work read_work(const http_exchange& exchange, const std::string& body) {
  work out;
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
  out.prefix = hash64(std::string_view(prompt).substr(0, prefix_size));
  const std::uint64_t tokens = number_of(*parsed, "max_tokens");
  if (tokens > 0) out.tokens = tokens;
  out.stream = flag_of(*parsed, "stream");
  return out;
}

awaitable<void> endpoint_handler::pause(microseconds n) {
  transport::timer timer(io_);
  timer.expires_after(microseconds(static_cast<std::int64_t>(
      static_cast<double>(n.count()) / options_.speed)));
  boost::system::error_code ec;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

void endpoint_handler::log(const work& item, const char* phase) const {
  append_run(options_.run_log, {options_.name, options_.region, item.request_id,
                                item.attempt, item.key, phase});
}

http_response endpoint_handler::head_for(const work& item) const {
  http_response out;
  std::string echoed = item.attempt;
  if (fault_ == fault::crossed) echoed = "another-attempt";
  out.headers = {{"Trestlepost-Attempt", echoed},
                 {"Stand-In-Endpoint", options_.name}};
  return out;
}

awaitable<bool> endpoint_handler::take_slot(http_exchange& exchange,
                                            int priority) {
  if (running_ < options_.slots) {
    ++running_;
    co_return true;
  }
  const std::shared_ptr<waiting_work> own = std::make_shared<waiting_work>(io_);
  const auto place = waiting_.emplace(priority, own);
  bool left = false;
  exchange.on_disconnect([own, &left] {
    left = true;
    own->wake.cancel();
  });
  while (!own->started && !left) {
    own->wake.expires_at(monotonic_time::max());
    boost::system::error_code ec;
    co_await own->wake.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  exchange.on_disconnect(nullptr);
  if (own->started) co_return true;
  waiting_.erase(place);
  co_return false;
}

void endpoint_handler::release_slot() {
  if (waiting_.empty()) {
    --running_;
    return;
  }
  const std::shared_ptr<waiting_work> next = waiting_.begin()->second;
  waiting_.erase(waiting_.begin());
  next->started = true;
  next->wake.cancel();
}

microseconds endpoint_handler::token_time() const {
  const double factor = 1 + options_.decode_slope * (running_ - 1.0);
  const double slow = fault_ == fault::slow ? 10 : 1;
  const microseconds base = options_.decode_per_token;
  return microseconds(static_cast<std::int64_t>(
      static_cast<double>(base.count()) * factor * slow));
}

awaitable<void> endpoint_handler::answer_load(http_exchange& exchange) {
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
                                            work item) {
  log(item, "start");
  ++runs_;
  if (fault_ == fault::duplicate) log(item, "start");
  const int factor = fault_ == fault::slow ? 10 : 1;
  co_await pause(options_.plain_time * factor);
  log(item, "end");
  json body;
  body["endpoint"] = options_.name;
  body["region"] = options_.region;
  body["request_id"] = item.request_id;
  body["run"] = json(Json::UInt64(runs_));
  http_response answer = head_for(item);
  answer.body = to_text(body);
  if (fault_ == fault::cut) {
    co_await exchange.start_stream(std::move(answer));
    co_await exchange.write_piece("{\"endpoint\":");
    exchange.abort();
    co_return;
  }
  co_await exchange.respond(std::move(answer));
}

std::string completion_text(const work& item, std::uint64_t n) {
  std::string out;
  for (std::uint64_t i = 0; i < n; ++i) out += "tok ";
  return item.request_id + " " + out;
}

std::string event_text(const work& item, const std::string& content) {
  json event;
  event["id"] = item.request_id;
  event["object"] = "chat.completion.chunk";
  event["choices"][0]["delta"]["content"] = content;
  return "data: " + to_text(event) + "\n\n";
}

awaitable<void> endpoint_handler::run_model(http_exchange& exchange,
                                            work item) {
  log(item, "start");
  ++runs_;
  const bool cached = cache_.touch(item.prefix);
  const std::uint64_t fresh =
      cached ? item.prompt_tokens / 10 + 1 : item.prompt_tokens;
  co_await pause(options_.prefill_per_token * fresh);
  http_response head = head_for(item);
  if (item.stream) {
    head.content_type = "text/event-stream";
    bool open = co_await exchange.start_stream(std::move(head));
    std::uint64_t done = 0;
    while (open && done < item.tokens) {
      const std::uint64_t n =
          done == 0 ? 1 : std::min(tokens_per_piece, item.tokens - done);
      co_await pause(token_time() * n);
      done += n;
      std::string event = event_text(item, completion_text(item, n));
      open = co_await exchange.write_piece(std::move(event));
      if (fault_ == fault::cut && done > 1) {
        exchange.abort();
        co_return;
      }
    }
    if (!open) co_return;
    log(item, "end");
    co_await exchange.write_piece("data: [DONE]\n\n");
    co_await exchange.finish_stream();
    co_return;
  }
  bool left = false;
  exchange.on_disconnect([&left] { left = true; });
  for (std::uint64_t done = 0; done < item.tokens && !left;) {
    const std::uint64_t n = std::min(tokens_per_piece, item.tokens - done);
    co_await pause(token_time() * n);
    done += n;
  }
  exchange.on_disconnect(nullptr);
  if (left) co_return;
  log(item, "end");
  json body;
  body["id"] = item.request_id;
  body["object"] = "chat.completion";
  body["endpoint"] = options_.name;
  body["cached"] = cached;
  body["choices"][0]["message"]["content"] = completion_text(item, item.tokens);
  head.body = to_text(body);
  co_await exchange.respond(std::move(head));
}

awaitable<void> endpoint_handler::run(http_exchange& exchange, work item) {
  if (fault_ == fault::refuse) {
    http_response answer = head_for(item);
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
    bool left = false;
    exchange.on_disconnect([&left] { left = true; });
    while (!left) co_await pause(std::min(long_time, milliseconds(100)));
    co_return;
  }
  const bool started = co_await take_slot(exchange, item.priority);
  if (!started) co_return;
  if (options_.plain) {
    co_await run_plain(exchange, std::move(item));
  } else {
    co_await run_model(exchange, std::move(item));
  }
  release_slot();
}

awaitable<void> endpoint_handler::handle(http_exchange& exchange) {
  const std::string target(exchange.target());
  result<std::string> body = co_await exchange.read_body();
  if (!body) co_return;
  if (target == "/load") {
    co_await answer_load(exchange);
    co_return;
  }
  constexpr std::string_view fault_path = "/stand-in/fault?";
  if (target.starts_with(fault_path)) {
    fault_ = fault_from(target.substr(fault_path.size()));
    http_response answer;
    co_await exchange.respond(std::move(answer));
    co_return;
  }
  work item = read_work(exchange, *body);
  co_await run(exchange, std::move(item));
}

}  // namespace

int run_endpoint(const endpoint_options& options) {
  transport::asio::io_context io(1);
  endpoint_handler handler(io, options);
  return serve_until_signal(io, handler, options.address);
}

}  // namespace trestlepost::bench
