// A copy of the configuration in a node's data folder. It lets a node that
// restarts while it is partitioned from the control nodes serve its callers.
#pragma once

#include <filesystem>

#include "trestlepost/config/store.h"

namespace trestlepost::config {

/// Replaces the copy atomically: writes a temporary file, syncs and renames it,
/// and syncs the folder.
result<void> save_copy(const std::filesystem::path& folder,
                       const object_store& store);

/// Reads the copy. Returns an empty store if there is none, and an error if it
/// is damaged or another version has written it.
result<object_store> read_copy(const std::filesystem::path& folder);

/// As `read_copy`, but logs an error and returns an empty store.
object_store load_copy(const std::filesystem::path& folder);

}  // namespace trestlepost::config
