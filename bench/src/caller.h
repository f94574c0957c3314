// Client for tests and load: sends one HTTP request and reads the complete
// answer, with the times of its first piece and its end.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/json.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::bench {

struct caller_request {
  std::string address;
  std::string method = "POST";
  std::string target;
  std::string token;
  transport::header_list headers;
  std::string body;
  std::chrono::milliseconds timeout{30'000};
};

struct caller_answer {
  bool complete = false;  // the answer was read to its end
  /// The answer states where it ends. Otherwise the end of the connection is
  /// taken for its end.
  bool delimited = false;
  bool sent = false;  // request bytes may have reached the peer
  unsigned status = 0;
  std::string region;
  std::string ran;
  std::string kind;  // error kind, for a status of 400 or more
  std::string retry_after;
  std::string replayed;
  transport::header_list headers;
  std::string body;
  std::chrono::nanoseconds first_piece_time{0};
  std::chrono::nanoseconds total{0};
};

/// Sends the request and reads the answer. Doesn't return errors: status 0
/// means that no answer was received.
transport::awaitable<caller_answer> send(transport::http_client& client,
                                         caller_request request);

/// Like `send`, but blocks until the answer has ended, on a separate event
/// loop.
caller_answer send_and_wait(const caller_request& request);

/// Queries the entry directory at `address`. Returns the address of the first
/// entry in the answer, or an empty string.
std::string query_directory(const std::string& address,
                            const std::string& query);

}  // namespace trestlepost::bench
