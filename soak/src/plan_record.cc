#include "plan_record.h"

#include <algorithm>

namespace trestlepost::soak {

void plan_record::sent(std::uint64_t number, const std::string& document) {
  sent_[number].insert(document);
}

void plan_record::acknowledged(std::uint64_t number) {
  ++acknowledgements_;
  acknowledged_ = std::max(acknowledged_, number);
}

void plan_record::refused_as_invalid(std::uint64_t number,
                                     const std::string& answer) {
  found_.push_back("the valid plan " + std::to_string(number) +
                   " was refused: " + answer);
}

void plan_record::shown(std::uint64_t least, std::uint64_t number,
                        const std::string& document, const std::string& by) {
  ++reads_;
  const std::string what = by + " returned plan " + std::to_string(number);
  if (number < least) {
    found_.push_back(what + " after plan " + std::to_string(least) +
                     " was acknowledged");
  }
  if (!sent_[number].contains(document)) {
    found_.push_back(what + " with a document that was not sent");
  }
  const auto [first, added] = shown_.emplace(number, document);
  if (!added && first->second != document) {
    found_.push_back(what + " with a different document than before");
  }
}

}  // namespace trestlepost::soak
