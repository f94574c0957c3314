#include "trestlepost/transport/rpc.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::transport {
namespace {

// Code of all application errors, from the range that JSON-RPC reserves for
// servers.
constexpr int application_error = -32000;

}  // namespace

class rpc_dispatcher::implementation final
    : public jsonrpc::IProcedureInvokationHandler,
      public jsonrpc::AbstractServerConnector {
 public:
  implementation()
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {
    SetHandler(protocol_.get());
  }

  void add(const std::string& name, rpc_method method) {
    methods_[name] = std::move(method);
    protocol_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT,
                                               static_cast<void*>(nullptr)));
  }

  void add(const std::string& name, rpc_notification notification) {
    notifications_[name] = std::move(notification);
    protocol_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               static_cast<void*>(nullptr)));
  }

  std::string dispatch(const std::string& request, const rpc_context& caller) {
    caller_ = &caller;
    response_.clear();
    OnRequest(request, nullptr);
    caller_ = nullptr;
    return std::move(response_);
  }

  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* /*info*/) override {
    response_ = response;
    return true;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const result<json> done = call(procedure.GetProcedureName(), input);
    if (done) {
      output = *done;
      return;
    }
    json data;
    data["kind"] = std::string(to_string(done.error().kind));
    data["remedy"] = done.error().remedy;
    throw jsonrpc::JsonRpcException(application_error, done.error().message,
                                    data);
  }

  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    const auto it = notifications_.find(procedure.GetProcedureName());
    if (it == notifications_.end()) return;
    try {
      it->second(input, *caller_);
    } catch (const Json::Exception& ex) {
      log_event(log_level::warn, "peer-message-damaged",
                {{"method", it->first}, {"detail", ex.what()}});
    }
  }

 private:
  result<json> call(const std::string& name, const json& input) {
    try {
      return methods_.at(name)(input, *caller_);
    } catch (const Json::Exception& ex) {
      return fail(error_kind::bad_input, ex.what(),
                  "send parameters of the documented types");
    }
  }

  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::map<std::string, rpc_method> methods_;
  std::map<std::string, rpc_notification> notifications_;
  const rpc_context* caller_ = nullptr;
  std::string response_;
};

rpc_dispatcher::rpc_dispatcher()
    : implementation_(std::make_unique<implementation>()) {}

rpc_dispatcher::~rpc_dispatcher() = default;

void rpc_dispatcher::add_method(const std::string& name, rpc_method method) {
  implementation_->add(name, std::move(method));
}

void rpc_dispatcher::add_notification(const std::string& name,
                                      rpc_notification handler) {
  implementation_->add(name, std::move(handler));
}

std::string rpc_dispatcher::dispatch(const std::string& request,
                                     const rpc_context& caller) {
  return implementation_->dispatch(request, caller);
}

std::string make_rpc_request(const std::string& method, const json& params,
                             std::uint64_t id) {
  json out;
  out["jsonrpc"] = "2.0";
  out["method"] = method;
  out["params"] = params;
  out["id"] = json(Json::UInt64(id));
  return to_text(out);
}

std::string make_rpc_notification(const std::string& method,
                                  const json& params) {
  json out;
  out["jsonrpc"] = "2.0";
  out["method"] = method;
  out["params"] = params;
  return to_text(out);
}

result<json> parse_rpc_response(const std::string& text) {
  result<json> parsed = parse_json(text);
  if (!parsed) return parsed;
  const json& failed = member_of(*parsed, "error");
  if (failed.isObject()) {
    const json& data = member_of(failed, "data");
    const std::string kind = text_of(data, "kind");
    std::string remedy = text_of(data, "remedy");
    if (remedy.empty()) remedy = "run one version of trestlepost on all nodes";
    return fail(kind.empty() ? error_kind::bad_input : error_kind_from(kind),
                text_of(failed, "message"), std::move(remedy));
  }
  return member_of(*parsed, "result");
}

}  // namespace trestlepost::transport
