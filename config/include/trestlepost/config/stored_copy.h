// A copy of the configuration in a node's data folder, so that a node that
// restarts while it is cut off can still serve its own callers.
#pragma once

#include <filesystem>

#include "trestlepost/config/store.h"

namespace trestlepost::config {

/// Writes aside, syncs, renames and syncs the folder.
result<void> save_copy(const std::filesystem::path& folder,
                       const object_store& store);

/// The copy, or an empty store when there is none or it is damaged.
object_store load_copy(const std::filesystem::path& folder);

}  // namespace trestlepost::config
