// Bounds the memory of plain answers, which are read completely before they are
// passed on, so that a truncated one can be replaced.
#pragma once

#include <algorithm>
#include <cstddef>

namespace trestlepost::gateway {

/// Shared by the answers that a gateway reads. Small answers always have room,
/// so that a few large ones can't displace them.
class answer_memory {
 public:
  /// What one answer holds, until the object ends.
  class share {
   public:
    explicit share(answer_memory& all) : all_(all) {}
    ~share() { all_.used_ -= charged_; }
    share(const share&) = delete;
    share& operator=(const share&) = delete;

    /// Returns whether the answer may hold `bytes` in all.
    bool grow_to(std::size_t bytes) {
      if (bytes > max_answer_bytes) return false;
      const std::size_t charge =
          bytes <= free_bytes ? 0 : std::max(bytes - free_bytes, charged_);
      if (all_.used_ + charge - charged_ > max_bytes) return false;
      all_.used_ += charge - charged_;
      charged_ = charge;
      return true;
    }

   private:
    answer_memory& all_;
    std::size_t charged_ = 0;
  };

 private:
  static constexpr std::size_t max_answer_bytes = 16UL * 1024 * 1024;
  static constexpr std::size_t free_bytes = 64UL * 1024;
  static constexpr std::size_t max_bytes = 24UL * 1024 * 1024;

  std::size_t used_ = 0;
};

}  // namespace trestlepost::gateway
