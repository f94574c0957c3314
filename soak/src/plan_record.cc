#include "plan_record.h"

#include <algorithm>

namespace trestlepost::soak {

void plan_record::record_sent(std::uint64_t number,
                              const std::string& document) {
  sent_[number].insert(document);
}

void plan_record::record_acknowledged(std::uint64_t number) {
  ++acknowledgements_;
  acknowledged_ = std::max(acknowledged_, number);
}

void plan_record::record_invalid(std::uint64_t number,
                                 const std::string& answer) {
  violations_.push_back("the valid plan " + std::to_string(number) +
                        " was refused: " + answer);
}

void plan_record::record_read(std::uint64_t acknowledged_number,
                              std::uint64_t number, const std::string& document,
                              const std::string& node) {
  ++reads_;
  const std::string subject = node + " returned plan " + std::to_string(number);
  if (number < acknowledged_number) {
    violations_.push_back(subject + " after plan " +
                          std::to_string(acknowledged_number) +
                          " was acknowledged");
  }
  if (!sent_[number].contains(document)) {
    violations_.push_back(subject + " with a document that was not sent");
  }
  const auto [first, added] = documents_read_.emplace(number, document);
  if (!added && first->second != document) {
    violations_.push_back(subject + " with a different document than before");
  }
}

}  // namespace trestlepost::soak
