// Tests of calls between nodes whose processes end and start again.
#include "peer_calls.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "loopback_ip.h"
#include "test_node.h"
#include "watch_client.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using test::test_node;

constexpr char method[] = "test.call";
constexpr milliseconds max_wait{5000};
// Longer than a message between two nodes of this test takes.
constexpr milliseconds delivery_time{300};

const std::string address_of_caller = transport::loopback_ip() + ":7841";
const std::string address_of_called = transport::loopback_ip() + ":7842";

class peer_calls_test : public testing::Test {
 protected:
  /// Runs the event loop until `holds` returns true, for a limited time.
  template <typename F>
  bool run_until(const F& holds) {
    const monotonic_time end = boot_clock::now() + max_wait;
    while (!holds() && boot_clock::now() < end) run_for(milliseconds(5));
    return holds();
  }
  void run_for(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }

  transport::asio::io_context io_{1};
};

/// A process that makes calls.
struct caller {
  explicit caller(transport::asio::io_context& io)
      : node(io, address_of_caller), calls(node.context()) {
    calls.start();
  }
  void call() {
    calls.call(address_of_called, method, json(Json::objectValue),
               [this](const result<json>& answer) {
                 if (answer) answers.push_back(text_of(*answer, "text"));
               });
  }

  test_node node;
  peer_calls calls;
  std::vector<std::string> answers;
};

/// A process that keeps the calls it receives until the test answers them.
struct called {
  explicit called(transport::asio::io_context& io)
      : node(io, address_of_called), calls(node.context()) {
    calls.start();
    calls.handle(method, [this](const json&, const answer_function& answer) {
      received.push_back(answer);
    });
  }
  void answer(std::size_t n, const char* text) {
    json out;
    out["text"] = text;
    received.at(n)(out);
  }

  test_node node;
  peer_calls calls;
  std::vector<answer_function> received;
};

// Guards against a change that is acknowledged with the answer to another one:
// a control node has restarted, and the leader answers the call of its earlier
// process at the same address.
TEST_F(peer_calls_test, answer_to_an_earlier_process_is_not_taken) {
  called to(io_);
  std::optional<caller> from;
  for (std::size_t calls = 1; calls <= 2; ++calls) {
    from.reset();
    run_for(milliseconds(10));
    from.emplace(io_);
    from->call();
    ASSERT_TRUE(run_until([&] { return to.received.size() == calls; }));
  }
  to.answer(0, "to the earlier process");
  run_for(delivery_time);
  EXPECT_TRUE(from->answers.empty());
  to.answer(1, "to this process");
  EXPECT_TRUE(run_until([&] { return !from->answers.empty(); }));
  EXPECT_EQ(from->answers, std::vector<std::string>{"to this process"});
}

TEST_F(peer_calls_test, each_call_gets_its_own_answer) {
  called to(io_);
  caller from(io_);
  from.call();
  from.call();
  ASSERT_TRUE(run_until([&] { return to.received.size() == 2; }));
  to.answer(1, "second");
  to.answer(0, "first");
  to.answer(0, "first again");
  EXPECT_TRUE(run_until([&] { return from.answers.size() == 2; }));
  run_for(delivery_time);
  EXPECT_EQ(from.answers, (std::vector<std::string>{"second", "first"}));
}

settings settings_of_poller() {
  settings out;
  out.control_nodes = {{"control", address_of_called}};
  return out;
}

/// A process that polls control nodes for the configuration.
struct poller {
  explicit poller(transport::asio::io_context& io)
      : node(io, address_of_caller, settings_of_poller()),
        watch(node.context(), [this] {
          membership::heartbeat out;
          out.node = node.context().self;
          out.state = node.context().state.name();
          return out;
        }) {
    watch.start();
  }

  test_node node;
  watch_client watch;
};

// Guards against a node that takes its configuration for confirmed because a
// leader answers a poll of its earlier process, which it sent long before.
TEST_F(peer_calls_test, poll_of_an_earlier_process_confirms_nothing) {
  test_node control(io_, address_of_called);
  std::vector<std::uint64_t> polls;
  control.context().peers.add_notification(
      "config.poll", [&polls](const json& in, const transport::rpc_context&) {
        polls.push_back(number_of(in, "token"));
      });
  std::optional<poller> from;
  for (std::size_t process = 0; process < 2; ++process) {
    from.reset();
    run_for(milliseconds(10));
    from.emplace(io_);
    const std::size_t before = polls.size();
    ASSERT_TRUE(run_until([&] {
      from->watch.tick();
      return polls.size() > before;
    }));
  }
  const auto confirm = [&control](std::uint64_t poll) {
    json answer;
    answer["token"] = as_number(poll);
    answer["leader"] = "control";
    answer["confirmed"] = true;
    control.context().links.send(address_of_caller, "config.update", answer);
  };
  membership::node_state& state = from->node.context().state;
  confirm(polls.front());
  run_for(delivery_time);
  EXPECT_FALSE(state.last_confirmed_at());
  confirm(polls.back());
  EXPECT_TRUE(run_until([&] { return state.last_confirmed_at().has_value(); }));
}

}  // namespace
}  // namespace trestlepost::node
