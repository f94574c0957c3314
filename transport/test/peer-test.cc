// Tests peer connections: delivery, reconnection, authentication and malformed
// frames.
#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "../src/peer_frame.h"
#include "loopback_ip.h"
#include "trestlepost/transport/peer_links.h"

namespace trestlepost::transport {
namespace {

const std::string address = loopback_ip() + ":7801";
constexpr char secret[] = "a secret of the peers";

class peer_test : public testing::Test {
 protected:
  peer_test()
      : random_(1), server_(context_, secret, dispatcher_, random_, {}) {
    dispatcher_.add_notification(
        "count", [this](const json& params, const rpc_context&) {
          received_.push_back(params["n"].asInt());
        });
    EXPECT_TRUE(server_.listen(address));
  }

  /// Runs the event loop until `done` returns true, for at most 5000
  /// iterations.
  template <typename Condition>
  bool run_until(Condition done) {
    for (int i = 0; i < 5000 && !done(); ++i) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(2));
    }
    return done();
  }

  asio::io_context context_;
  seeded_random random_;
  rpc_dispatcher dispatcher_;
  peer_server server_;
  std::vector<int> received_;
};

/// Makes the parameters of the notification "count".
json make_params(int n) {
  json out;
  out["n"] = n;
  return out;
}

TEST_F(peer_test, delivers_in_order_to_a_peer_with_the_secret) {
  peer_links links(context_, secret, {});
  for (int i = 0; i < 100; ++i) links.send(address, "count", make_params(i));
  ASSERT_TRUE(run_until([this] { return received_.size() == 100; }));
  for (int i = 0; i < 100; ++i) EXPECT_EQ(received_[i], i);
}

TEST_F(peer_test, keep_open_connects_without_a_message) {
  peer_links links(context_, secret, {});
  links.keep_open({address});
  // The first notification, "hello", is counted as a message.
  EXPECT_TRUE(
      run_until([&links] { return links.traffic().messages_sent == 1; }));
}

TEST_F(peer_test, keep_open_retries_until_the_peer_listens) {
  const std::string later = loopback_ip() + ":7802";
  peer_links links(context_, secret, {});
  links.keep_open({later});
  run_until([] { return false; });
  peer_server server(context_, secret, dispatcher_, random_, {});
  ASSERT_TRUE(server.listen(later));
  EXPECT_TRUE(
      run_until([&links] { return links.traffic().messages_sent == 1; }));
}

// Guards against a busy node that no other node can send to: its system accepts
// connections at once, but its process sends the challenges late.
TEST_F(peer_test, a_peer_that_sends_its_challenge_late_is_reached) {
  constexpr std::chrono::milliseconds connect_timeout{50};
  for (const int delay : {1, 4, 10}) {
    const std::string other = loopback_ip() + ":7805";
    result<tcp::acceptor> listening = listen_on(context_, other);
    ASSERT_TRUE(listening);
    peer_options options;
    options.connect_timeout = connect_timeout;
    peer_links links(context_, secret, options);
    links.send(other, "count", make_params(1));
    tcp::socket accepted(context_);
    listening->async_accept(accepted, [](boost::system::error_code) {});
    ASSERT_TRUE(run_until([&accepted] { return accepted.is_open(); }));
    const monotonic_time end = boot_clock::now() + delay * connect_timeout;
    run_until([end] { return boot_clock::now() >= end; });
    const std::string challenge(detail::challenge_size, 'c');
    boost::system::error_code ec;
    asio::write(accepted, asio::buffer(challenge), ec);
    std::string head(detail::frame_head_size, '\0');
    std::size_t received = 0;
    asio::async_read(accepted, asio::buffer(head),
                     [&received](boost::system::error_code, std::size_t n) {
                       received += n;
                     });
    EXPECT_TRUE(run_until([&received] { return received > 0; })) << delay;
  }
}

TEST_F(peer_test, a_message_sent_on_connection_loss_is_delivered) {
  const std::string other = loopback_ip() + ":7803";
  auto server = std::make_unique<peer_server>(context_, secret, dispatcher_,
                                              random_, peer_options());
  ASSERT_TRUE(server->listen(other));
  peer_links links(context_, secret, {});
  std::vector<std::string> lost;
  links.set_on_connection_lost([&lost, &links](const std::string& it) {
    lost.push_back(it);
    links.send(it, "count", make_params(2));
  });
  links.send(other, "count", make_params(1));
  ASSERT_TRUE(run_until([this] { return received_.size() == 1; }));
  server = std::make_unique<peer_server>(context_, secret, dispatcher_, random_,
                                         peer_options());
  ASSERT_TRUE(server->listen(other));
  // The first write to the closed connection only triggers a TCP reset, so a
  // second one may be necessary to detect the loss.
  links.send(other, "none", make_params(0));
  run_until([&lost, iterations = 0]() mutable {
    return !lost.empty() || ++iterations > 50;
  });
  if (lost.empty()) links.send(other, "none", make_params(0));
  ASSERT_TRUE(run_until([&lost] { return !lost.empty(); }));
  EXPECT_EQ(lost, std::vector<std::string>{other});
  EXPECT_TRUE(run_until([this] { return received_.size() == 2; }));
  EXPECT_EQ(received_.back(), 2);
}

// Guards against a leader that waits for a node whose process has been killed:
// without a message to it, the closed connection was not noticed.
TEST_F(peer_test, a_connection_that_the_peer_closes_is_lost_without_a_message) {
  const std::string other = loopback_ip() + ":7806";
  peer_links links(context_, secret, {});
  std::vector<std::string> lost;
  links.set_on_connection_lost(
      [&lost](const std::string& it) { lost.push_back(it); });
  for (int n = 1; n <= 3; ++n) {
    auto server = std::make_unique<peer_server>(context_, secret, dispatcher_,
                                                random_, peer_options());
    ASSERT_TRUE(server->listen(other));
    const std::size_t received = received_.size();
    links.send(other, "count", make_params(n));
    ASSERT_TRUE(
        run_until([this, received] { return received_.size() > received; }));
    server.reset();
    EXPECT_TRUE(run_until(
        [&lost, n] { return lost.size() == static_cast<std::size_t>(n); }));
  }
}

TEST_F(peer_test, reconnects_to_a_peer_that_lost_its_connection) {
  constexpr std::chrono::milliseconds tcp_user_timeout{20};
  const std::string other = loopback_ip() + ":7804";
  peer_options options;
  options.tcp_user_timeout = tcp_user_timeout;
  peer_links links(context_, secret, options);
  std::vector<std::string> lost;
  links.set_on_connection_lost(
      [&lost](const std::string& it) { lost.push_back(it); });
  links.send(address, "count", make_params(1));
  ASSERT_TRUE(run_until([this] { return received_.size() == 1; }));
  std::vector<std::string> reopened;
  const std::function<void(const std::string&)> on_peer_reconnected =
      [&reopened, &links](const std::string& it) {
        reopened.push_back(it);
        links.reconnect(it);
      };
  const monotonic_time old_enough = boot_clock::now() + tcp_user_timeout;
  ASSERT_TRUE(
      run_until([old_enough] { return boot_clock::now() > old_enough; }));
  // Simulates the node at `address`, which loses its connection to this one.
  peer_options other_options;
  other_options.own_address = address;
  peer_links back(context_, secret, other_options);
  auto server = std::make_unique<peer_server>(context_, secret, dispatcher_,
                                              random_, peer_options());
  ASSERT_TRUE(server->listen(other));
  server->set_on_peer_reconnected(on_peer_reconnected);
  back.send(other, "count", make_params(2));
  ASSERT_TRUE(run_until([this] { return received_.size() == 2; }));
  EXPECT_TRUE(reopened.empty());
  server = std::make_unique<peer_server>(context_, secret, dispatcher_, random_,
                                         peer_options());
  ASSERT_TRUE(server->listen(other));
  server->set_on_peer_reconnected(on_peer_reconnected);
  ASSERT_TRUE(run_until([&back, &other, &reopened] {
    back.send(other, "none", make_params(0));
    return !reopened.empty();
  }));
  EXPECT_EQ(reopened.front(), address);
  ASSERT_TRUE(run_until([&lost] { return !lost.empty(); }));
  links.send(address, "count", make_params(3));
  EXPECT_TRUE(run_until([this] { return received_.back() == 3; }));
}

TEST_F(peer_test, reconnect_keeps_a_recent_connection) {
  peer_links links(context_, secret, {});
  std::vector<std::string> lost;
  links.set_on_connection_lost(
      [&lost](const std::string& it) { lost.push_back(it); });
  links.send(address, "count", make_params(1));
  ASSERT_TRUE(run_until([this] { return received_.size() == 1; }));
  links.reconnect(address);
  links.send(address, "count", make_params(2));
  EXPECT_TRUE(run_until([this] { return received_.size() == 2; }));
  EXPECT_TRUE(lost.empty());
}

TEST_F(peer_test, a_peer_with_another_secret_is_refused) {
  peer_links links(context_, "another secret", {});
  links.send(address, "count", make_params(1));
  ASSERT_TRUE(run_until(
      [this] { return server_.traffic().unauthenticated_refused > 0; }));
  EXPECT_TRUE(received_.empty());
}

// Guards against an authenticated peer that is disconnected over and over
// without a sign of the cause.
TEST_F(peer_test, an_oversized_frame_of_a_peer_is_no_stranger) {
  server_.close();
  peer_options options;
  options.frame_limit = 8UL * 1024;
  peer_server server(context_, secret, dispatcher_, random_, options);
  ASSERT_TRUE(server.listen(address));
  peer_links links(context_, secret, {});
  links.send(address, "count", make_params(1));
  ASSERT_TRUE(run_until([this] { return received_.size() == 1; }));
  json large = make_params(2);
  std::string text;  // does not compress below the limit
  while (text.size() < 4 * options.frame_limit) {
    text += std::to_string(random_.next());
  }
  large["text"] = text;
  links.send(address, "count", large);
  ASSERT_TRUE(
      run_until([&server] { return server.traffic().oversized_refused > 0; }));
  EXPECT_EQ(server.traffic().unauthenticated_refused, 0U);
  EXPECT_EQ(received_.size(), 1U);
}

struct malformed_frame {
  const char* name;
  std::string bytes;
};

TEST_F(peer_test,
       malformed_frames_close_the_connection_and_the_next_peer_is_served) {
  const malformed_frame cases[] = {
      {"http", "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(64, 'x')},
      {"huge length", std::string(64, '\xff')},
      {"zeros", std::string(64, '\0')},
  };
  for (const malformed_frame& it : cases) {
    tcp::socket socket(context_);
    socket.connect(*parse_address(address));
    asio::write(socket, asio::buffer(it.bytes));
    bool closed = false;
    std::array<char, 256> buf{};
    std::function<void()> read_more = [&] {
      socket.async_read_some(
          asio::buffer(buf),
          [&](const boost::system::error_code& ec, std::size_t) {
            closed = static_cast<bool>(ec);
            if (!closed) read_more();
          });
    };
    read_more();
    EXPECT_TRUE(run_until([&closed] { return closed; })) << it.name;
  }
  peer_links links(context_, secret, {});
  links.send(address, "count", make_params(7));
  EXPECT_TRUE(run_until([this] { return received_.size() == 1; }));
}

TEST(peer_frame_test, a_replayed_frame_has_the_wrong_digest) {
  const std::string challenge(detail::challenge_size, 'c');
  const std::string other(detail::challenge_size, 'd');
  const sha256_digest first =
      detail::frame_digest(secret, challenge, 0, "text");
  EXPECT_FALSE(
      equal_digests(first, detail::frame_digest(secret, challenge, 1, "text")));
  EXPECT_FALSE(
      equal_digests(first, detail::frame_digest(secret, other, 0, "text")));
}

}  // namespace
}  // namespace trestlepost::transport
