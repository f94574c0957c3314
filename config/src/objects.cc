#include "trestlepost/config/objects.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace trestlepost::config {
namespace {

struct kind_names {
  object_kind kind;
  std::string_view name;
  std::string_view list;
};

constexpr std::array<kind_names, 5> kind_table{{
    {object_kind::region, "region", "regions"},
    {object_kind::service, "service", "services"},
    {object_kind::endpoint, "endpoint", "endpoints"},
    {object_kind::placement_rule, "placement_rule", "placement_rules"},
    {object_kind::caller, "caller", "callers"},
}};

constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_share = 1000;
constexpr std::uint64_t max_port = 65535;
constexpr std::size_t sha256_hex_size = 64;

/// Reads the fields that all objects have, and adds the label
/// `name_label`=NAME.
std::string read_common(object_reader& reader, label_map& labels,
                        const char* name_label) {
  std::string name = reader.text("name");
  labels = reader.text_map_or_empty("labels");
  labels[name_label] = name;
  return name;
}

bool is_hex_digest(const std::string& text) {
  return text.size() == sha256_hex_size &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
         });
}

}  // namespace

std::string_view to_string(object_kind kind) {
  for (const kind_names& it : kind_table) {
    if (it.kind == kind) return it.name;
  }
  return "";
}

std::string_view list_name(object_kind kind) {
  for (const kind_names& it : kind_table) {
    if (it.kind == kind) return it.list;
  }
  return "";
}

result<object_kind> object_kind_from(std::string_view name) {
  for (const kind_names& it : kind_table) {
    if (it.name == name || it.list == name) return it.kind;
  }
  return fail(error_kind::bad_input,
              "unknown kind of object \"" + std::string(name) + "\"",
              "name a region, service, endpoint, placement_rule or caller");
}

bool is_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view port = text.substr(colon + 1);
  constexpr std::size_t max_port_digits = 5;
  if (port.empty() || port.size() > max_port_digits) return false;
  std::uint64_t n = 0;
  for (const char c : port) {
    if (std::isdigit(static_cast<unsigned char>(c)) == 0) return false;
    n = n * 10 + static_cast<std::uint64_t>(c - '0');
  }
  return n > 0 && n <= max_port;
}

region read_region(const json& spec, problem_list& problems) {
  object_reader reader(spec, "region", problems);
  region out;
  out.name = read_common(reader, out.labels, "region");
  reader.finish();
  return out;
}

service read_service(const json& spec, problem_list& problems) {
  object_reader reader(spec, "service", problems);
  service out;
  out.name = read_common(reader, out.labels, "service");
  const std::string kind = reader.choice_or_first("kind", {"plain", "model"});
  out.kind = kind == "model" ? service_kind::model : service_kind::plain;
  out.repeatable = reader.flag_or("repeatable", out.repeatable);
  out.refusal_means_not_run =
      reader.flag_or("refusal_means_not_run", out.refusal_means_not_run);
  out.timeout = reader.duration_or("timeout", out.timeout);
  out.key_window = reader.duration_or("key_window", out.key_window);
  reader.finish();
  return out;
}

endpoint read_endpoint(const json& spec, problem_list& problems) {
  object_reader reader(spec, "endpoint", problems);
  endpoint out;
  out.name = read_common(reader, out.labels, "endpoint");
  out.service = reader.text("service");
  out.region = reader.text("region");
  out.availability_zone = reader.text("availability_zone");
  out.address = reader.text("address");
  if (!out.address.empty() && !is_address(out.address)) {
    problems.add(spec["address"], "endpoint.address",
                 "\"" + out.address + "\" is not an address",
                 "write IP:PORT, for example \"127.0.1.1:8000\"");
  }
  out.slots =
      static_cast<unsigned>(reader.number_or("slots", out.slots, 1, max_slots));
  out.drained = reader.flag_or("drained", out.drained);
  reader.finish();
  return out;
}

placement_rule read_placement_rule(const json& spec, problem_list& problems) {
  object_reader reader(spec, "placement_rule", problems);
  placement_rule out;
  out.name = read_common(reader, out.labels, "placement_rule");
  const auto read_part = [&reader, &problems](const char* key) {
    return read_selector(reader.raw(key), reader.path_of(key), problems);
  };
  out.callers = read_part("callers");
  out.services = read_part("services");
  out.requests = read_part("requests");
  out.permit = read_part("permit");
  out.home = read_part("home");
  out.away_penalty = reader.duration_or("away_penalty", out.away_penalty);
  const std::string transit =
      reader.choice_or_first("transit", {"allow", "refuse"});
  out.transit =
      transit == "refuse" ? transit_policy::refuse : transit_policy::allow;
  reader.finish();
  return out;
}

caller read_caller(const json& spec, problem_list& problems) {
  object_reader reader(spec, "caller", problems);
  caller out;
  out.name = read_common(reader, out.labels, "caller");
  out.token_sha256 = reader.text("token_sha256");
  if (!out.token_sha256.empty() && !is_hex_digest(out.token_sha256)) {
    problems.add(spec["token_sha256"], "caller.token_sha256",
                 "not a SHA-256 in lower-case hexadecimal",
                 "give \"token\" to `trestlepost apply`, which hashes it");
  }
  const json& allowed = reader.raw("request_labels");
  if (!allowed.isNull()) {
    object_reader values(allowed, "caller.request_labels", problems);
    if (allowed.isObject()) {
      for (const std::string& key : allowed.getMemberNames()) {
        out.request_labels[key] = values.texts_or_empty(key.c_str());
      }
    }
  }
  out.share = static_cast<unsigned>(reader.number_or("share", 1, 1, max_share));
  reader.finish();
  return out;
}

}  // namespace trestlepost::config
