// Requests and parses the platform's list of VMs.
#include "trestlepost/own/codecs.h"

namespace trestlepost::own {
namespace {

constexpr char leaving_state[] = "leaving";

}  // namespace

transport::http_request directory_codec::page_request(
    const std::string&, const std::string&) const {
  transport::http_request out;
  out.method = "GET";
  out.target = "/v1/vms";
  return out;
}

result<surface::endpoint_page> directory_codec::read_page(
    const std::string& body) const {
  const result<json> parsed = parse_json(body);
  if (!parsed) return tl::make_unexpected(parsed.error());
  const json& all = member_of(*parsed, "vms");
  if (!all.isArray()) {
    return fail(error_kind::bad_input, "the list has no \"vms\" array",
                "check platform.address in the settings");
  }
  surface::endpoint_page out;
  for (const json& it : all) {
    surface::listed_endpoint one;
    one.address = text_of(it, "address");
    one.identity.id = one.address;
    one.leaving = text_of(it, "state") == leaving_state;
    if (!one.address.empty()) out.endpoints.push_back(std::move(one));
  }
  return out;
}

}  // namespace trestlepost::own
