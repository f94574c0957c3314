#include "settings_watch.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace trestlepost::node {
namespace {

constexpr std::chrono::milliseconds check_interval{1000};

}  // namespace

std::string settings_watch::read() const {
  std::ifstream in(file_, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void settings_watch::start() {
  if (!file_.empty()) last_content_ = read();
}

bool settings_watch::changed(monotonic_time now, bool at_once) {
  if (file_.empty() || (!at_once && now < next_check_)) return false;
  next_check_ = now + check_interval;
  std::string text = read();
  // An empty file may be in the middle of being written; check again later.
  if (text.empty() || text == last_content_) return false;
  last_content_ = std::move(text);
  return true;
}

}  // namespace trestlepost::node
