#include "demo.h"

#include <iostream>

#include "caller.h"
#include "trestlepost/base/random.h"

namespace trestlepost::bench {
namespace {

bool print_result(const std::string& what, const caller_answer& answer,
                  bool ok) {
  std::cout << (ok ? "ok    " : "WRONG ") << what << ": status "
            << answer.status << ", served in "
            << (answer.region.empty() ? "-" : answer.region) << ", ran "
            << (answer.ran.empty() ? "-" : answer.ran);
  if (!answer.replayed.empty()) std::cout << ", replayed";
  std::cout << "\n      " << answer.body.substr(0, 160) << "\n";
  return ok;
}

caller_request model_request(const demo_options& options,
                             const std::string& entry, bool stream) {
  caller_request out;
  out.address = entry;
  out.target = "/v1/chat/completions";
  out.token = options.token;
  json body;
  body["model"] = options.model;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = "check the consist of train 4711";
  body["max_tokens"] = 8;
  body["stream"] = stream;
  out.body = to_text(body);
  out.headers.emplace_back("X-Request-Id", stream ? "demo-2" : "demo-1");
  return out;
}

bool answered(const caller_answer& answer) {
  return answer.complete && answer.status == 200 && answer.ran == "yes" &&
         !answer.region.empty();
}

}  // namespace

int run_demo(const demo_options& options) {
  const std::string entry = query_directory(options.node, "");
  std::cout << "directory: use entry " << entry << "\n";
  if (entry.empty()) return 1;
  bool ok = true;

  const caller_answer plain =
      send_and_wait(model_request(options, entry, false));
  const bool plain_ok =
      answered(plain) && plain.body.find("demo-1") != std::string::npos;
  ok = print_result("model call", plain, plain_ok) && ok;

  const caller_answer streamed =
      send_and_wait(model_request(options, entry, true));
  const bool stream_ok = answered(streamed) &&
                         streamed.body.ends_with("data: [DONE]\n\n") &&
                         streamed.body.find("demo-2") != std::string::npos;
  ok = print_result("streamed model call", streamed, stream_ok) && ok;

  caller_request booking;
  booking.address = entry;
  booking.token = options.token;
  booking.target = "/v1/services/" + options.plain_service + options.plain_path;
  booking.body = R"({"item":"4711"})";
  system_random random;
  booking.headers = {{"Trestlepost-Repeatable", "false"},
                     {"Idempotency-Key", make_request_id(random)}};
  const caller_answer booked = send_and_wait(booking);
  ok = print_result("call that may run once", booked, answered(booked)) && ok;

  const caller_answer again = send_and_wait(booking);
  const bool replayed =
      answered(again) && again.replayed == "true" && again.body == booked.body;
  ok = print_result("the same call, sent again", again, replayed) && ok;

  booking.body = R"({"item":"4712"})";
  const caller_answer other = send_and_wait(booking);
  const bool refused = other.status == 422 && other.kind == "mismatch";
  ok = print_result("another call under the same key", other, refused) && ok;
  std::cout << (ok ? "all answers are as expected\n"
                   : "some answers are wrong\n");
  return ok ? 0 : 1;
}

}  // namespace trestlepost::bench
