// JSON-RPC 2.0 dispatch, on libjsonrpccpp. Handlers run at once and must not
// wait: long work is answered "accepted" and asked for again.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "trestlepost/base/json.h"

namespace trestlepost::transport {

/// Who calls, as the transport knows it.
struct rpc_context {
  std::string operator_name;
  std::string role;  // "read", "change", "found", or "peer"
};

using rpc_method =
    std::function<result<json>(const json& params, const rpc_context& caller)>;
using rpc_notification =
    std::function<void(const json& params, const rpc_context& caller)>;

class rpc_dispatcher {
 public:
  rpc_dispatcher();
  ~rpc_dispatcher();

  void add_method(const std::string& name, rpc_method method);
  void add_notification(const std::string& name, rpc_notification handler);

  /// Handles one request; the answer is empty for a notification.
  std::string dispatch(const std::string& request, const rpc_context& caller);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

/// Envelopes for the side that asks.
std::string make_rpc_request(const std::string& method, const json& params,
                             std::uint64_t id);
std::string make_rpc_notification(const std::string& method,
                                  const json& params);

/// The result of an answer, or the error that it carries.
result<json> read_rpc_answer(const std::string& text);

}  // namespace trestlepost::transport
