#include "orders/change_summary.h"

namespace trestlepost::node {
namespace {

constexpr std::size_t max_named_objects = 5;
constexpr char zone_kind[] = "availability_zone";

}  // namespace

std::string summarize_change(const config::audit_record& record) {
  const json objects = record.objects();
  std::string out;
  std::size_t named = 0;
  for (const json& it : objects) {
    if (named++ == max_named_objects) {
      return out + " and " +
             std::to_string(objects.size() - max_named_objects) + " more";
    }
    const std::string kind = text_of(it, "kind");
    if (!out.empty()) out += ", ";
    out += kind + " " + text_of(it, "name");
    // The content of other objects may contain digests of keys.
    if (kind == zone_kind) out += " " + text_of(it, "after");
  }
  return out;
}

}  // namespace trestlepost::node
