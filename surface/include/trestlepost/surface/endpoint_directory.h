// The deployment's list of endpoints, page by page.
#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/surface/endpoint_identity.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::surface {

/// One endpoint as the list names it. Addresses are used again by others.
struct listed_endpoint {
  endpoint_identity identity;
  std::string service;
  /// "IP:PORT"; "IP" where the list names a VM with all endpoints on it.
  std::string address;
  std::string availability_zone;
  unsigned slots = 1;
  bool leaving = false;
  /// Time until a leaving endpoint ends whatever it runs, where it is told.
  std::optional<std::chrono::milliseconds> ends_in;
  std::chrono::milliseconds cold_left{0};

  bool operator==(const listed_endpoint&) const = default;
};

/// An entry of the list that names no endpoint to use.
struct unreadable_entry {
  std::string id;  // empty where it has none that can be read
  std::string cause;

  auto operator<=>(const unreadable_entry&) const = default;
};

/// One page of the list, and how to ask for the next one.
struct endpoint_page {
  std::vector<listed_endpoint> endpoints;
  std::vector<unreadable_entry> unreadable;
  std::string next;  // token of the next page; empty on the last one
};

/// Asks for pages of the list and reads them.
class endpoint_directory {
 public:
  virtual ~endpoint_directory() = default;

  /// The request for the page with this token; empty: the first one. With a
  /// zone only its entries are asked for.
  virtual transport::http_request page_request(
      const std::string& zone, const std::string& token) const = 0;

  virtual result<endpoint_page> read_page(const std::string& body) const = 0;
};

}  // namespace trestlepost::surface
