// Bounds the memory of the request bodies that a process holds at a time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace trestlepost::transport {

/// Shared by all connections of one or more servers. Small bodies always have
/// room, so that a few large ones can't displace them.
class body_memory {
 public:
  /// What one body holds, until the object ends or is cleared.
  class share {
   public:
    /// Without `all` there is no bound.
    explicit share(std::shared_ptr<body_memory> all) : all_(std::move(all)) {}
    ~share() { clear(); }
    share(const share&) = delete;
    share& operator=(const share&) = delete;

    /// Returns whether the body may hold `bytes` in all.
    bool grow_to(std::size_t bytes) {
      if (!all_ || bytes <= std::max(free_bytes, charged_)) return true;
      if (all_->used_ + bytes - charged_ > max_bytes) return false;
      all_->used_ += bytes - charged_;
      charged_ = bytes;
      return true;
    }
    void clear() {
      if (all_) all_->used_ -= charged_;
      charged_ = 0;
    }

   private:
    std::shared_ptr<body_memory> all_;
    std::size_t charged_ = 0;
  };

  /// While a body is written to an endpoint, it is held up to three times.
  static constexpr std::size_t max_bytes = 48UL * 1024 * 1024;
  static constexpr std::size_t free_bytes = 64UL * 1024;

 private:
  std::size_t used_ = 0;
};

}  // namespace trestlepost::transport
