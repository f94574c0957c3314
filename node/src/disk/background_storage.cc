#include "disk/background_storage.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "trestlepost/consensus/background_storage.h"
#include "trestlepost/consensus/file_storage.h"

namespace trestlepost::node {

background_worker::executor event_loop_executor(node_context& context) {
  return [&io = context.io](std::function<void()> it) {
    boost::asio::post(io, std::move(it));
  };
}

std::unique_ptr<consensus::storage> make_background_storage(
    node_context& context, const std::string& folder) {
  return std::make_unique<consensus::background_storage>(
      std::make_unique<consensus::file_storage>(context.options.data_folder +
                                                "/" + folder),
      event_loop_executor(context));
}

}  // namespace trestlepost::node
