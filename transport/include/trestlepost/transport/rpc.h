// JSON-RPC 2.0 dispatcher, based on libjsonrpccpp. Handlers run synchronously
// and must not block: the handler of a long operation returns a ticket, and the
// caller polls for the result with it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "trestlepost/base/json.h"

namespace trestlepost::transport {

/// Identity of the caller, as authenticated by the transport.
struct rpc_context {
  std::string operator_name;
  std::string role;  // "read", "change", "found", or "peer"
};

using rpc_method =
    std::function<result<json>(const json& params, const rpc_context& caller)>;
using rpc_notification =
    std::function<void(const json& params, const rpc_context& caller)>;

/// Calls the handler that is registered for a method or notification.
class rpc_dispatcher {
 public:
  rpc_dispatcher();
  ~rpc_dispatcher();

  void add_method(const std::string& name, rpc_method method);
  void add_notification(const std::string& name, rpc_notification handler);

  /// Handles one request. Returns the response, or an empty string for a
  /// notification.
  std::string dispatch(const std::string& request, const rpc_context& caller);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

/// Serializes a request or notification for the calling side.
std::string make_rpc_request(const std::string& method, const json& params,
                             std::uint64_t id);
std::string make_rpc_notification(const std::string& method,
                                  const json& params);

/// Parses a response. Returns its result, or the error that it contains.
result<json> parse_rpc_response(const std::string& text);

}  // namespace trestlepost::transport
