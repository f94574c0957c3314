// Encodes requests to endpoints and parses the heads of their answers.
#include "headers.h"
#include "trestlepost/own/codecs.h"

namespace trestlepost::own {
namespace {

constexpr unsigned service_unavailable = 503;

}  // namespace

transport::http_request endpoint_codec::encode(
    const surface::endpoint_attempt& in) const {
  transport::http_request out;
  out.method = in.head.method;
  out.target = in.head.target;
  out.headers = {{headers::request_id, in.head.request_id},
                 {headers::attempt, in.attempt_id},
                 {headers::priority, std::to_string(in.priority)}};
  out.headers.insert(out.headers.end(), in.head.passthrough_headers.begin(),
                     in.head.passthrough_headers.end());
  out.shared_body = in.body;
  return out;
}

surface::endpoint_answer endpoint_codec::read_head(
    const transport::http_call& call) const {
  surface::endpoint_answer out;
  out.not_run = refusal_means_not_run_ && call.status() == service_unavailable;
  out.request_id = call.header(headers::request_id);
  out.attempt_id = call.header(headers::attempt);
  return out;
}

transport::http_request load_request() {
  transport::http_request out;
  out.method = "GET";
  out.target = "/load";
  return out;
}

transport::http_request endpoint_codec::probe_request() const {
  return load_request();
}

transport::header_list endpoint_codec::passthrough_headers(
    const transport::http_call& call) const {
  const std::string_view type = call.header(headers::content_type);
  if (type.empty()) return {};
  return {{headers::content_type, std::string(type)}};
}

}  // namespace trestlepost::own
