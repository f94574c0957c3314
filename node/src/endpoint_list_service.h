// Keeps the platform's endpoint list up to date on this gateway. One gateway of
// a region polls the platform and sends updates to the others; a gateway that
// receives no updates polls the platform itself.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "endpoint_list_pages.h"
#include "endpoint_list_updates.h"
#include "node_context.h"
#include "settled_revision.h"
#include "trestlepost/surface/endpoint_directory.h"
#include "unreadable_entries.h"

namespace trestlepost::node {

/// Polls the platform when this gateway is the reader, and applies the reader's
/// updates otherwise.
class endpoint_list_service {
 public:
  endpoint_list_service(node_context& context,
                        const surface::endpoint_directory* directory);

  void start();
  void tick();

  /// The number of unusable entries in the list last read by this node.
  std::size_t unreadable() const { return unreadable_.count(); }

  /// Called with each list that is read or received, and the configuration
  /// revision that it reflects.
  std::function<void(const std::vector<surface::listed_endpoint>&,
                     config::revision_number)>
      on_listed;

 private:
  transport::awaitable<void> read_all();
  transport::awaitable<result<surface::endpoint_page>> read_page(
      std::string zone, std::string token);
  /// Reads a zone, or the full list when the name is empty, and appends it to
  /// `all`. Logs a failure and returns false.
  transport::awaitable<bool> read_zone(std::string zone,
                                       surface::endpoint_page& all);
  /// Records when each configuration revision came into force, and forces a
  /// read when the first one lists ended evacuations.
  void track_configuration();
  /// The zones to read now; an empty name stands for the full list.
  std::vector<std::string> next_zones();
  /// Counts the entries of each zone of the own region.
  void count_zone_entries(const std::vector<surface::listed_endpoint>& all);
  bool is_in_own_region(const surface::listed_endpoint& it) const;
  std::vector<surface::listed_endpoint> in_other_regions(
      std::vector<surface::listed_endpoint> all) const;
  void handle_update(const json& params);
  void handle_list_request(const json& params);
  /// The order of readers among the gateways known to this node.
  reader_ranking ranking() const;
  /// Whether `gateway` is live, or its first heartbeat may still be due.
  bool may_be_live(const std::string& gateway) const;
  /// Whether this node should read the list now. When not, and it has no list
  /// yet, requests one from the reader.
  bool should_read();
  /// Whether the list read by this node is sent to the other gateways.
  bool publishes_list() const;
  /// Requests the full list from `gateway`.
  void request_list(const std::string& gateway);
  void send_update(const std::string& gateway, const std::string& address);
  transport::encoded_notification encode_update(std::uint64_t since) const;
  void send_updates();
  /// Records that a list was received from `reader`, and logs a change of
  /// reader.
  void record_reader(const std::string& reader);

  node_context& context_;
  const surface::endpoint_directory* directory_;
  endpoint_list_publisher publisher_;
  endpoint_list_copy copy_;
  monotonic_time next_read_;
  monotonic_time next_request_;
  monotonic_time next_check_;  // of whether this node should read
  bool took_over_ = false;     // reads because the reader sends no updates
  monotonic_time started_at_;
  monotonic_time list_received_at_;  // or when the service started
  monotonic_time read_at_;           // when this node last read the list
  bool has_list_ = false;            // has a list, read or received
  std::string last_reader_;          // the node that read the current list
  settled_revision configured_;
  /// Read the list next, even if this node is not the reader.
  bool read_forced_ = false;
  /// When the leader first sent entries of its node directory.
  std::optional<monotonic_time> directory_received_at_;
  endpoint_list_size size_;
  monotonic_time next_full_read_;
  /// From the last full list; reads by zone cover the own region only.
  std::vector<surface::listed_endpoint> other_region_endpoints_;
  unreadable_entries unreadable_;
  bool reading_ = false;
  bool last_read_failed_ = false;
};

}  // namespace trestlepost::node
