#include "connection_pool.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace trestlepost::transport {
namespace {

/// Returns whether an idle connection may be reused: the server has not closed
/// it, and has sent no data without a request.
bool is_reusable(client_connection& it) {
  if (it.buffer.size() != 0) return false;
  char byte = 0;
  const ssize_t n = ::recv(it.stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

connection_ptr connection_pool::acquire(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  std::deque<connection_ptr>& pooled = found->second;
  const monotonic_time now = boot_clock::now();
  connection_ptr out;
  while (!pooled.empty() && !out) {
    connection_ptr it = std::move(pooled.back());
    pooled.pop_back();
    --idle_count_;
    if (it->reusable_until >= now && is_reusable(*it)) out = std::move(it);
  }
  if (pooled.empty()) idle_.erase(found);
  return out;
}

void connection_pool::release(const std::string& address, connection_ptr it,
                              std::chrono::milliseconds lifetime) {
  if (closed_ || idle_count_ >= options_.max_idle) return;
  std::deque<connection_ptr>& pooled = idle_[address];
  if (pooled.size() >= options_.max_idle_per_address) return;
  ++idle_count_;
  it->reusable_until = boot_clock::now() + lifetime;
  it->stream.expires_never();
  it->buffer.shrink_to_fit();
  pooled.push_back(std::move(it));
}

void connection_pool::close_unusable(monotonic_time now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::deque<connection_ptr>& pooled = it->second;
    idle_count_ -= std::erase_if(pooled, [now](const connection_ptr& one) {
      return one->reusable_until < now || !is_reusable(*one);
    });
    it = pooled.empty() ? idle_.erase(it) : std::next(it);
  }
}

void connection_pool::close() {
  closed_ = true;
  idle_.clear();
  idle_count_ = 0;
}

}  // namespace trestlepost::transport
