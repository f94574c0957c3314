#include "ticket_table.h"

#include <utility>

namespace trestlepost::node {
namespace {

constexpr std::chrono::minutes ticket_lifetime{5};

}  // namespace

std::string ticket_table::open(const std::string& id, monotonic_time now) {
  entries_[id].opened_at = now;
  return id;
}

void ticket_table::close(const std::string& id, result<json> answer) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.answer) return;
  it->second.answer = std::move(answer);
}

result<json> ticket_table::read(const std::string& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return fail(error_kind::not_found, "the ticket " + id + " is not known",
                "use the node that issued it, within five minutes");
  }
  if (it->second.answer) return *it->second.answer;
  json waiting;
  waiting["ticket"] = id;
  return waiting;
}

void ticket_table::tick(monotonic_time now) {
  std::erase_if(entries_, [now](const auto& it) {
    return it.second.opened_at + ticket_lifetime < now;
  });
}

}  // namespace trestlepost::node
