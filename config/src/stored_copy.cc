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

object_store load_copy(const std::filesystem::path& folder) {
  std::ifstream in(folder / copy_name, std::ios::binary);
  const std::string data{std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>()};
  if (data.empty()) return {};
  const result<json> parsed = parse_json(data);
  const std::string text = parsed ? text_of(*parsed, "store") : "";
  if (!parsed || sha256_hex(text) != text_of(*parsed, "sha256")) {
    log_event(log_level::warn, "configuration-copy-damaged");
    return {};
  }
  const result<json> value = parse_json(text);
  if (!value) return {};
  result<object_store> store = object_store::from_json(*value);
  return store ? std::move(*store) : object_store();
}

}  // namespace trestlepost::config
