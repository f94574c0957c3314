#include "entry/delayed_accept.h"

#include <chrono>

namespace trestlepost::node {
namespace {

// Callers give up an attempt that has not been read after a second.
constexpr std::chrono::milliseconds max_delay{900};

}  // namespace

void delayed_accept::tick(bool has_configuration) {
  if (accepting_) return;
  const bool expired = clock_.now() >= started_at_ + max_delay;
  if (!has_configuration && !expired) return;
  accepting_ = true;
  accept_();
}

}  // namespace trestlepost::node
