// Follows the deployment's list of endpoints. One gateway of a region reads
// it and tells the others; one that hears nothing reads it itself.
#pragma once

#include <functional>
#include <vector>

#include "node_context.h"
#include "trestlepost/surface/endpoint_directory.h"

namespace trestlepost::node {

class listing_service {
 public:
  listing_service(node_context& context,
                  const surface::endpoint_directory* directory)
      : context_(context), directory_(directory) {}

  void start();
  void tick();

  /// Called with each list that was read or told.
  std::function<void(const std::vector<surface::listed_endpoint>&)> on_listed;

 private:
  transport::awaitable<void> read_all();
  transport::awaitable<result<surface::endpoint_page>> read_page(
      std::string token);
  bool is_reader() const;
  void tell_others(const std::vector<surface::listed_endpoint>& all);

  node_context& context_;
  const surface::endpoint_directory* directory_;
  monotonic_time next_read_;
  monotonic_time heard_at_;
  bool reading_ = false;
  bool lost_ = false;
};

}  // namespace trestlepost::node
