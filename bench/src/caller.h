// A caller: sends one request to an entry and reads its answer whole.
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
  bool whole = false;  // the answer came to its end
  bool sent = false;   // some byte may have left
  unsigned status = 0;
  std::string region;
  std::string ran;
  std::string kind;  // of a refusal
  std::string retry_after;
  std::string replayed;
  transport::header_list headers;
  std::string body;
  std::chrono::nanoseconds first_piece{0};
  std::chrono::nanoseconds total{0};
};

transport::awaitable<caller_answer> send(transport::http_client& client,
                                         caller_request request);

/// Runs one request to its end on a loop of its own.
caller_answer send_now(const caller_request& request);

/// The best entry that a node names, or empty.
std::string ask_directory(const std::string& address, const std::string& query);

}  // namespace trestlepost::bench
