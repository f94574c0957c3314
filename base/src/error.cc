#include "trestlepost/base/error.h"

#include <array>
#include <utility>

namespace trestlepost {
namespace {

struct kind_name {
  error_kind kind;
  std::string_view name;
};

constexpr std::array<kind_name, 28> kind_names{{
    {error_kind::bad_input, "bad-input"},
    {error_kind::bad_settings, "bad-settings"},
    {error_kind::unauthorized, "unauthorized"},
    {error_kind::label_not_allowed, "label-not-allowed"},
    {error_kind::unknown_service, "unknown-service"},
    {error_kind::no_matching_rule, "no-matching-rule"},
    {error_kind::not_permitted, "not-permitted"},
    {error_kind::transit_refused, "transit-refused"},
    {error_kind::conflict, "conflict"},
    {error_kind::mismatch, "mismatch"},
    {error_kind::in_progress, "in-progress"},
    {error_kind::outcome_unknown, "outcome-unknown"},
    {error_kind::key_expired, "key-expired"},
    {error_kind::not_leader, "not-leader"},
    {error_kind::unavailable, "unavailable"},
    {error_kind::isolated, "isolated"},
    {error_kind::draining, "draining"},
    {error_kind::overloaded, "overloaded"},
    {error_kind::deadline, "deadline"},
    {error_kind::configuration_behind, "configuration-behind"},
    {error_kind::endpoint_failed, "endpoint-failed"},
    {error_kind::request_held, "request-held"},
    {error_kind::usage_limit_reached, "usage-limit-reached"},
    {error_kind::too_large, "too-large"},
    {error_kind::storage_failed, "storage-failed"},
    {error_kind::corrupt, "corrupt"},
    {error_kind::not_found, "not-found"},
    {error_kind::internal, "internal"},
}};

}  // namespace

std::string_view to_string(error_kind kind) {
  for (const kind_name& it : kind_names) {
    if (it.kind == kind) return it.name;
  }
  return "internal";
}

error_kind error_kind_from(std::string_view name) {
  for (const kind_name& it : kind_names) {
    if (it.name == name) return it.kind;
  }
  return error_kind::internal;
}

tl::unexpected<error> fail(error_kind kind, std::string message,
                           std::string remedy) {
  return tl::make_unexpected(
      error{kind, std::move(message), std::move(remedy)});
}

}  // namespace trestlepost
