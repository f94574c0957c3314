// Records the traffic plans that operators sent and read, and checks that reads
// are consistent: none is older than an acknowledged plan or has a document
// that was not sent.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace trestlepost::soak {

/// Violated guarantees, a line of text each.
using violations = std::vector<std::string>;

class plan_record {
 public:
  explicit plan_record(violations& found) : found_(found) {}

  /// A plan number above all earlier ones.
  std::uint64_t next_number() { return ++top_; }
  /// Call it before the plan is sent, since a read may return it immediately.
  void sent(std::uint64_t number, const std::string& document);
  void acknowledged(std::uint64_t number);
  /// Every plan sent is valid, so this is a violation.
  void refused_as_invalid(std::uint64_t number, const std::string& answer);
  /// The highest acknowledged number.
  std::uint64_t newest_acknowledged() const { return acknowledged_; }
  /// Checks a complete answer to a read that started after `least` was
  /// acknowledged; `by` is the node that answered.
  void shown(std::uint64_t least, std::uint64_t number,
             const std::string& document, const std::string& by);

  int acknowledgements() const { return acknowledgements_; }
  int reads() const { return reads_; }

 private:
  violations& found_;
  std::uint64_t top_ = 1;
  std::uint64_t acknowledged_ = 0;
  int acknowledgements_ = 0;
  int reads_ = 0;
  std::map<std::uint64_t, std::set<std::string>> sent_;
  /// The document that was read under each number.
  std::map<std::uint64_t, std::string> shown_;
};

}  // namespace trestlepost::soak
