#include "trestlepost/config/stored_copy.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/base/log.h"
#include "trestlepost/consensus/file_storage.h"

namespace trestlepost::config {
namespace {

constexpr char copy_name[] = "configuration";

}  // namespace

result<void> save_copy(const std::filesystem::path& folder,
                       const object_store& store) {
  json out;
  out["store"] = to_text(store.to_json());
  out["sha256"] = sha256_hex(out["store"].asString());
  return consensus::replace_file(folder, copy_name, to_text(out));
}

result<object_store> read_copy(const std::filesystem::path& folder) {
  std::ifstream in(folder / copy_name, std::ios::binary);
  const std::string data{std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>()};
  if (data.empty()) return object_store();
  const result<json> parsed = parse_json(data);
  const std::string text = parsed ? text_of(*parsed, "store") : "";
  if (!parsed || sha256_hex(text) != text_of(*parsed, "sha256")) {
    return fail(error_kind::corrupt,
                (folder / copy_name).string() + " is damaged",
                "check the disk; the node reads the configuration from the "
                "control nodes");
  }
  const result<json> value = parse_json(text);
  if (!value) return tl::make_unexpected(value.error());
  return object_store::from_json(*value);
}

object_store load_copy(const std::filesystem::path& folder) {
  result<object_store> store = read_copy(folder);
  if (store) return std::move(*store);
  log_event(
      log_level::warn, "configuration-copy-damaged",
      {{"detail", store.error().message}, {"remedy", store.error().remedy}});
  return {};
}

}  // namespace trestlepost::config
