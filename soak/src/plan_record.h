// What operators were told of plans, and what must hold of it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace trestlepost::soak {

/// Where violations are collected, a line each.
using violations = std::vector<std::string>;

class plan_record {
 public:
  explicit plan_record(violations& found) : found_(found) {}

  /// A number above all that were sent.
  std::uint64_t next_number() { return ++top_; }
  void sent(std::uint64_t number, const std::string& document);
  void acknowledged(std::uint64_t number);
  void refused_as_invalid(std::uint64_t number, const std::string& answer);
  /// The highest number that is acknowledged.
  std::uint64_t newest_acknowledged() const { return acknowledged_; }
  /// A whole answer to a read that began when `least` was acknowledged.
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
  /// The one document that was shown under a number.
  std::map<std::uint64_t, std::string> shown_;
};

}  // namespace trestlepost::soak
