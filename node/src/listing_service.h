// Follows the deployment's list of endpoints. One gateway of a region reads
// it and tells the others; one that hears nothing reads it itself.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "listing_news.h"
#include "listing_pages.h"
#include "node_context.h"
#include "settled_revision.h"
#include "trestlepost/surface/endpoint_directory.h"
#include "unreadable_entries.h"

namespace trestlepost::node {

/// Reads the list when this gateway is the reader, and keeps what it is told
/// otherwise.
class listing_service {
 public:
  listing_service(node_context& context,
                  const surface::endpoint_directory* directory);

  void start();
  void tick();

  /// How many entries of the last list read here name no endpoint to use.
  std::size_t unreadable() const { return unreadable_.count(); }

  /// Called with each list that comes, and the revision of the configuration
  /// up to which it tells.
  std::function<void(const std::vector<surface::listed_endpoint>&,
                     config::revision_number)>
      on_listed;

 private:
  transport::awaitable<void> read_all();
  transport::awaitable<result<surface::endpoint_page>> read_page(
      std::string zone, std::string token);
  /// Reads a zone or, with an empty name, the whole list, and adds it to
  /// `all`; false on failure.
  transport::awaitable<bool> read_zone(std::string zone,
                                       surface::endpoint_page& all);
  /// Notes which configuration is in force.
  void note_configuration();
  /// The zones to read now.
  std::vector<std::string> next_zones();
  /// Notes how many entries each zone of the own region has.
  void measure(const std::vector<surface::listed_endpoint>& all);
  bool is_in_own_region(const surface::listed_endpoint& it) const;
  std::vector<surface::listed_endpoint> in_other_regions(
      std::vector<surface::listed_endpoint> all) const;
  void handle_news(const json& params);
  void handle_ask(const json& params);
  /// Who should read, as far as this node knows.
  reading_order order() const;
  /// Whether `gateway` lives, or may still send its first heartbeat.
  bool may_live(const std::string& gateway) const;
  /// Whether this node reads now; asks the reader when it has no list yet.
  bool should_read();
  /// Whether the others are to be told what this node has read.
  bool tells() const;
  /// Asks `gateway` for the whole list.
  void ask(const std::string& gateway);
  void tell(const std::string& gateway, const std::string& address);
  transport::packed_notification pack_news(std::uint64_t since) const;
  void tell_others();
  /// Notes that a list came from `reader`, and logs when that is another one
  /// than before.
  void heard_from(const std::string& reader);

  node_context& context_;
  const surface::endpoint_directory* directory_;
  listing_writer writer_;
  listing_copy copy_;
  monotonic_time next_read_;
  monotonic_time next_ask_;
  monotonic_time next_check_;  // of who should read
  bool took_over_ = false;     // it reads since the reader is silent
  monotonic_time started_at_;
  monotonic_time heard_at_;  // or when it started
  monotonic_time read_at_;   // of the last list read by this node
  bool heard_ = false;       // whether it has a list
  std::string last_reader_;  // whose list came last
  settled_revision configured_;
  bool must_read_ = false;  // whatever others read
  /// Since when the leader has told this node of others.
  std::optional<monotonic_time> book_since_;
  listing_size size_;
  monotonic_time next_whole_;
  /// Of the last whole list; zone by zone only the own region's are read.
  std::vector<surface::listed_endpoint> elsewhere_;
  unreadable_entries unreadable_;
  bool reading_ = false;
  bool lost_ = false;  // the last reading failed
};

}  // namespace trestlepost::node
