#include "platform.h"

#include <iostream>
#include <map>

#include "serve.h"
#include "trestlepost/base/clock.h"
#include "trestlepost/base/json.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::bench {
namespace {

using transport::awaitable;
using transport::http_exchange;
using transport::http_response;

class platform_handler final : public transport::http_handler {
 public:
  explicit platform_handler(const platform_options& options)
      : options_(options) {
    for (const std::string& it : options.vms) vms_[it] = {};
  }

  awaitable<void> handle(http_exchange& exchange) override {
    const std::string target(exchange.target());
    const result<transport::request_body> body = co_await exchange.read_body();
    if (!body) co_return;
    http_response answer;
    if (target == "/v1/vms") {
      answer.body = vm_list_text();
    } else {
      const std::size_t query_at = target.find('?');
      const bool leaving = target.starts_with("/stand-in/leaving");
      if (query_at != std::string::npos)
        set_leaving(target.substr(query_at + 1), leaving);
    }
    co_await exchange.respond(std::move(answer));
  }

 private:
  struct vm_state {
    bool leaving = false;
    bool listed_leaving = false;
    monotonic_time changed_at;
  };

  void set_leaving(const std::string& ip, bool leaving) {
    vms_[ip].leaving = leaving;
    vms_[ip].changed_at = boot_clock::now();
  }

  std::string vm_list_text() {
    const monotonic_time now = boot_clock::now();
    json out;
    json& vms = out["vms"] = json(Json::arrayValue);
    for (auto& [ip, it] : vms_) {
      if (now >= it.changed_at + options_.lag) it.listed_leaving = it.leaving;
      json vm;
      vm["address"] = ip;
      vm["state"] = it.listed_leaving ? "leaving" : "live";
      vms.append(std::move(vm));
    }
    return to_text(out);
  }

  const platform_options& options_;
  std::map<std::string, vm_state> vms_;
};

}  // namespace

int run_platform(const platform_options& options) {
  transport::asio::io_context io(1);
  platform_handler handler(options);
  return serve_until_signal(io, handler, options.address);
}

}  // namespace trestlepost::bench
