// Tests what is recorded about an answer that ends early.
#include "trestlepost/gateway/delivery.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>

#include "fake_messages.h"

namespace trestlepost::gateway {
namespace {

using surface::test::fake_exchange;
using surface::test::find_header;

/// An answer that consists of the given pieces and then ends or fails.
class scripted_call final : public transport::http_call {
 public:
  std::deque<std::string> pieces;
  bool interrupted = false;
  bool delimited = true;
  std::string content_type = "text/event-stream";

  transport::awaitable<tl::expected<void, transport::call_failure>> send(
      transport::http_request, monotonic_time) override {
    co_return tl::expected<void, transport::call_failure>();
  }
  void set_deadline(monotonic_time) override {}
  unsigned status() const override { return 200; }
  bool is_delimited() const override { return delimited; }
  std::string_view header(std::string_view name) const override {
    return name == "Content-Type" ? content_type : std::string_view();
  }
  std::vector<std::string_view> header_values(std::string_view) const override {
    return {};
  }
  transport::header_list headers() const override {
    return {{"Content-Type", content_type}};
  }
  transport::awaitable<tl::expected<void, transport::call_failure>>
  read_next_response() override {
    co_return tl::expected<void, transport::call_failure>();
  }
  transport::awaitable<result<std::string>> read_piece() override {
    if (!pieces.empty()) {
      std::string piece = pieces.front();
      pieces.pop_front();
      co_return piece;
    }
    if (!interrupted) co_return std::string();
    co_return fail(error_kind::endpoint_failed, "the connection was reset", "");
  }
  transport::awaitable<result<std::string>> read_rest(std::size_t) override {
    co_return std::string();
  }
  void cancel() override { cancelled_ = true; }
  bool is_cancelled() const override { return cancelled_; }

 private:
  bool cancelled_ = false;
};

delivery_result deliver_all(scripted_call& call) {
  transport::asio::io_context io;
  fake_exchange exchange;
  delivery_result out;
  const auto run = [&]() -> transport::awaitable<void> {
    std::function<void()> on_first = [] {};
    transport::header_list headers;
    const std::shared_ptr<memory_budget> no_bound;
    out = co_await deliver(call, exchange, std::move(headers), no_bound,
                           std::move(on_first));
  };
  boost::asio::co_spawn(io, run, boost::asio::detached);
  io.run();
  return out;
}

// The ledger would record the run as done, and later requests with its key
// would get the incomplete answer for good.
TEST(delivery_test, an_interrupted_answer_is_no_completed_run) {
  scripted_call call;
  call.pieces = {"data: 1\n\n", "data: 2\n\n"};
  call.interrupted = true;
  const delivery_result out = deliver_all(call);
  EXPECT_TRUE(out.outcome.delivered);
  EXPECT_EQ(out.outcome.ran, run_state::unknown);
  EXPECT_EQ(out.outcome.cause.kind, error_kind::endpoint_failed);
  EXPECT_TRUE(out.outcome.connection_lost);
  EXPECT_FALSE(out.answer.complete);
}

// Guards against an answer that the gateway gives up being taken for a crash of
// the endpoint.
TEST(delivery_test, an_answer_that_is_given_up_is_no_lost_connection) {
  const std::string piece(1024UL * 1024, 'x');
  scripted_call call;
  call.pieces.assign(100, piece);
  const delivery_result out = deliver_all(call);
  EXPECT_EQ(out.outcome.cause.kind, error_kind::endpoint_failed);
  EXPECT_FALSE(out.outcome.connection_lost);
}

// An answer without declared end may be truncated; replayed from the ledger it
// would look complete for good.
TEST(delivery_test, an_answer_without_declared_end_is_no_completed_run) {
  for (const char* content_type : {"text/event-stream", "text/plain"}) {
    scripted_call call;
    call.pieces = {"data: 1\n\n"};
    call.delimited = false;
    call.content_type = content_type;
    const delivery_result out = deliver_all(call);
    EXPECT_TRUE(out.outcome.delivered);
    EXPECT_EQ(out.outcome.ran, run_state::unknown) << content_type;
    EXPECT_FALSE(out.answer.complete) << content_type;
  }
}

// The product's own interface must detect truncation as routed streams do.
TEST(delivery_test, a_stream_cut_inside_an_event_is_interrupted) {
  scripted_call call;
  call.pieces = {"data: 1\n\n", "data: 2\n"};
  call.delimited = false;
  const delivery_result out = deliver_all(call);
  EXPECT_TRUE(out.outcome.delivered);
  EXPECT_EQ(out.outcome.ran, run_state::unknown);
  EXPECT_EQ(out.outcome.cause.kind, error_kind::endpoint_failed);
}

TEST(delivery_test, a_declared_end_inside_an_event_is_an_interruption) {
  scripted_call call;
  call.pieces = {"data: 1\n\n", "data: 2\n"};
  const delivery_result out = deliver_all(call);
  EXPECT_TRUE(out.outcome.delivered);
  EXPECT_EQ(out.outcome.ran, run_state::unknown);
  EXPECT_EQ(out.outcome.cause.kind, error_kind::endpoint_failed);
}

TEST(delivery_test, a_complete_answer_is_a_completed_run) {
  for (const char* content_type : {"text/event-stream", "text/plain"}) {
    scripted_call call;
    call.pieces = {"data: 1\n\n"};
    call.content_type = content_type;
    const delivery_result out = deliver_all(call);
    EXPECT_TRUE(out.outcome.delivered);
    EXPECT_EQ(out.outcome.ran, run_state::yes);
    EXPECT_TRUE(out.outcome.cause.message.empty());
  }
}

}  // namespace
}  // namespace trestlepost::gateway
