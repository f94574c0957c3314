#include "disk/background_storage.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "trestlepost/consensus/background_storage.h"
#include "trestlepost/consensus/file_storage.h"

namespace trestlepost::node {

std::unique_ptr<consensus::storage> make_background_storage(
    node_context& context, const std::string& folder) {
  return std::make_unique<consensus::background_storage>(
      std::make_unique<consensus::file_storage>(context.options.data_folder +
                                                "/" + folder),
      [&io = context.io](std::function<void()> it) {
        boost::asio::post(io, std::move(it));
      });
}

}  // namespace trestlepost::node
