// Interface to the platform's list of endpoints, which is read page by page.
#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/surface/endpoint_identity.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::surface {

/// An endpoint in the list. Addresses may be reused by other endpoints.
struct listed_endpoint {
  endpoint_identity identity;
  std::string service;
  /// "IP:PORT", or "IP" where the list contains a VM with all its endpoints.
  std::string address;
  std::string availability_zone;
  unsigned slots = 1;
  bool leaving = false;
  /// Time until a leaving endpoint stops the requests that still run on it, if
  /// reported.
  std::optional<std::chrono::milliseconds> ends_in;
  std::chrono::milliseconds cold_left{0};

  bool operator==(const listed_endpoint&) const = default;
};

/// A list entry that does not describe a usable endpoint.
struct unreadable_entry {
  std::string id;  // empty if the entry has no readable id
  std::string cause;

  auto operator<=>(const unreadable_entry&) const = default;
};

/// One page of the list and the token of the next one.
struct endpoint_page {
  std::vector<listed_endpoint> endpoints;
  std::vector<unreadable_entry> unreadable;
  std::string next;  // token of the next page; empty on the last page
};

/// Builds requests for pages of the list and parses the pages.
class endpoint_directory {
 public:
  virtual ~endpoint_directory() = default;

  /// Returns the request for the page with `token`; empty: the first page. If
  /// `zone` is not empty, only its entries are requested.
  virtual transport::http_request page_request(
      const std::string& zone, const std::string& token) const = 0;

  virtual result<endpoint_page> read_page(const std::string& body) const = 0;
};

}  // namespace trestlepost::surface
