#include "disk/configuration_saver.h"

#include <utility>

namespace trestlepost::node {

configuration_saver::configuration_saver(background_worker::executor post,
                                         write_function write,
                                         saved_function on_saved)
    : write_(std::move(write)),
      on_saved_(std::move(on_saved)),
      worker_(std::move(post)) {}

void configuration_saver::save(store_ptr next) {
  next_ = std::move(next);
  if (!current_) start();
}

void configuration_saver::start() {
  current_ = std::exchange(next_, nullptr);
  worker_.start([this, store = current_] { return write_(*store); },
                [this](const result<void>& it) { handle_written(it); });
}

void configuration_saver::handle_written(const result<void>& written) {
  const store_ptr saved = std::exchange(current_, nullptr);
  if (next_) start();
  on_saved_(saved, written);
}

}  // namespace trestlepost::node
