// Saves copies of the configuration in the background, so that a slow disk
// doesn't stop the event loop.
#pragma once

#include <functional>
#include <memory>

#include "trestlepost/base/background_worker.h"
#include "trestlepost/config/store.h"

namespace trestlepost::node {

/// Saves one revision after another. Revisions that arrive during a write are
/// skipped, except for the newest.
class configuration_saver {
 public:
  using store_ptr = std::shared_ptr<const config::object_store>;
  /// Writes a copy to the disk.
  using write_function =
      std::function<result<void>(const config::object_store&)>;
  /// Called in the event loop when the write of a copy has ended.
  using saved_function =
      std::function<void(const store_ptr&, const result<void>&)>;

  configuration_saver(background_worker::executor post, write_function write,
                      saved_function on_saved);

  void save(store_ptr next);
  /// The newest store that is being saved or waits for it, or null.
  const store_ptr& newest() const { return next_ ? next_ : current_; }

 private:
  void start();
  void handle_written(const result<void>& written);

  write_function write_;
  saved_function on_saved_;
  store_ptr current_;  // being saved
  store_ptr next_;     // waits for `current_`
  background_worker worker_;
};

}  // namespace trestlepost::node
