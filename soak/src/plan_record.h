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
using violation_list = std::vector<std::string>;

class plan_record {
 public:
  explicit plan_record(violation_list& violations) : violations_(violations) {}

  /// Returns a plan number above all earlier ones.
  std::uint64_t next_number() { return ++last_number_; }
  /// Call it before the plan is sent, since a read may return it immediately.
  void record_sent(std::uint64_t number, const std::string& document);
  void record_acknowledged(std::uint64_t number);
  /// Records that a plan was refused as invalid. Every plan sent is valid, so
  /// this is a violation.
  void record_invalid(std::uint64_t number, const std::string& answer);
  /// Returns the highest acknowledged number.
  std::uint64_t newest_acknowledged() const { return acknowledged_; }
  /// Checks a complete answer of `node` to a read that started after
  /// `acknowledged_number` was acknowledged.
  void record_read(std::uint64_t acknowledged_number, std::uint64_t number,
                   const std::string& document, const std::string& node);

  int acknowledgements() const { return acknowledgements_; }
  int reads() const { return reads_; }

 private:
  violation_list& violations_;
  std::uint64_t last_number_ = 1;
  std::uint64_t acknowledged_ = 0;
  int acknowledgements_ = 0;
  int reads_ = 0;
  std::map<std::uint64_t, std::set<std::string>> sent_;
  /// The document that was read under each number.
  std::map<std::uint64_t, std::string> documents_read_;
};

}  // namespace trestlepost::soak
