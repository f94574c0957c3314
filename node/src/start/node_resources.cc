#include "start/node_resources.h"

#include <string>
#include <utility>

#include "trestlepost/membership/endpoint_tracker.h"
#include "trestlepost/membership/node_state.h"

namespace trestlepost::node {

result<void> node_resources::prepare(const settings& options) {
  result<charts::chart> node =
      charts::chart::load(options.charts_folder + "/node.jsonc",
                          membership::node_chart_interface());
  if (!node) return tl::make_unexpected(node.error());
  result<charts::chart> endpoint =
      charts::chart::load(options.charts_folder + "/endpoint.jsonc",
                          membership::endpoint_chart_interface());
  if (!endpoint) return tl::make_unexpected(endpoint.error());
  node_chart = std::move(*node);
  endpoint_chart = std::move(*endpoint);
  incarnation = random.identifier();
  if (options.data_folder.empty()) return {};
  result<consensus::unique_fd> lock =
      consensus::lock_folder(options.data_folder);
  if (!lock) return tl::make_unexpected(lock.error());
  folder_lock = std::move(*lock);
  const result<std::uint64_t> stored =
      consensus::load_or_create_incarnation(options.data_folder, random);
  if (!stored) return tl::make_unexpected(stored.error());
  incarnation = *stored;
  return {};
}

}  // namespace trestlepost::node
