// Fake requests and responses for codec tests. Only their heads are used.
#pragma once

#include <boost/beast/core/string.hpp>
#include <string>
#include <utility>

#include "trestlepost/transport/http_client.h"

namespace trestlepost::surface::test {

inline std::string_view find_header(const transport::header_list& all,
                                    std::string_view name) {
  for (const auto& [key, value] : all) {
    if (boost::beast::iequals(key, name)) return value;
  }
  return {};
}

/// A caller's request with the headers set by a test.
class fake_exchange final : public transport::http_exchange {
 public:
  std::string method_text = "POST";
  std::string target_text = "/x/1";
  transport::header_list all;

  std::string_view method() const override { return method_text; }
  std::string_view target() const override { return target_text; }
  std::string_view header(std::string_view name) const override {
    return find_header(all, name);
  }
  transport::header_list headers() const override { return all; }
  std::string peer_ip() const override { return ""; }
  transport::awaitable<result<transport::request_body>> read_body() override {
    co_return transport::request_body();
  }
  transport::awaitable<bool> respond(transport::http_response) override {
    co_return true;
  }
  transport::awaitable<bool> start_stream(transport::http_response) override {
    co_return true;
  }
  transport::awaitable<bool> start_sized_stream(transport::http_response,
                                                std::size_t) override {
    co_return true;
  }
  transport::awaitable<bool> write_piece(std::string) override {
    co_return true;
  }
  transport::awaitable<bool> finish_stream() override { co_return true; }
  void abort() override {}
  bool has_response_started() const override { return false; }
  bool is_response_delimited() const override { return false; }
  bool is_disconnected() const override { return false; }
  bool has_caller_left() override { return false; }
  std::optional<std::chrono::milliseconds> time_since_data() override {
    return std::nullopt;
  }
  std::chrono::microseconds round_trip_time() override {
    return std::chrono::microseconds(0);
  }
  void on_disconnect(std::function<void()>) override {}
};

/// An endpoint's response with the head set by a test.
class fake_call final : public transport::http_call {
 public:
  unsigned status_code = 200;
  transport::header_list all;

  transport::awaitable<tl::expected<void, transport::call_failure>> send(
      transport::http_request, monotonic_time) override {
    co_return tl::expected<void, transport::call_failure>();
  }
  void set_deadline(monotonic_time) override {}
  unsigned status() const override { return status_code; }
  bool is_delimited() const override { return true; }
  std::string_view header(std::string_view name) const override {
    return find_header(all, name);
  }
  std::vector<std::string_view> header_values(
      std::string_view name) const override {
    std::vector<std::string_view> out;
    for (const auto& [key, value] : all) {
      if (boost::beast::iequals(key, name)) out.emplace_back(value);
    }
    return out;
  }
  transport::header_list headers() const override { return all; }
  transport::awaitable<tl::expected<void, transport::call_failure>>
  read_next_response() override {
    co_return tl::expected<void, transport::call_failure>();
  }
  transport::awaitable<result<std::string>> read_piece() override {
    co_return std::string();
  }
  transport::awaitable<result<std::string>> read_rest(std::size_t) override {
    co_return std::string();
  }
  void cancel() override {}
  bool is_cancelled() const override { return false; }
};

}  // namespace trestlepost::surface::test
