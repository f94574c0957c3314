// Typed errors. The message of an error states what happened, and its remedy
// what the recipient can do about it.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace trestlepost {

/// Category of an `error`. Each has one name on the wire, listed in
/// docs/INTERFACES.md.
enum class error_kind {
  bad_input,
  bad_settings,
  unauthorized,
  label_not_allowed,
  unknown_service,
  no_matching_rule,
  not_permitted,
  transit_refused,
  conflict,
  mismatch,
  in_progress,
  outcome_unknown,
  key_expired,
  not_leader,
  unavailable,
  isolated,
  draining,
  overloaded,
  deadline,
  configuration_behind,
  endpoint_failed,
  request_held,
  usage_limit_reached,
  too_large,
  storage_failed,
  corrupt,
  not_found,
  internal
};

/// Failure with a message and a remedy for people.
struct error {
  error_kind kind = error_kind::internal;
  std::string message;
  std::string remedy;
};

template <typename T>
using result = tl::expected<T, error>;

/// Returns the wire name of `kind`, in kebab case.
std::string_view to_string(error_kind kind);

/// Returns the kind with the wire name `name`, or `internal` if there is none.
error_kind error_kind_from(std::string_view name);

/// Makes the error alternative of a `result`.
tl::unexpected<error> fail(error_kind kind, std::string message,
                           std::string remedy);

}  // namespace trestlepost
