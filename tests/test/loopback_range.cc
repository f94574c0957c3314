#include "loopback_range.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

namespace trestlepost::test {
namespace {

constexpr int range_count = 24;
constexpr int kinds_per_range = 10;
constexpr int marker_region = 20;
constexpr int marker_port = 9000;

std::string make_ip(int range, int region, int kind, int number) {
  return "127." + std::to_string(region) + "." +
         std::to_string(range * kinds_per_range + kind) + "." +
         std::to_string(number);
}

}  // namespace

loopback_range::loopback_range() {
  for (range_ = 1; range_ <= range_count; ++range_) {
    if (try_reserve(range_)) return;
  }
  throw std::runtime_error("every range of loopback addresses is in use");
}

loopback_range::~loopback_range() {
  ::close(socket_);
}

bool loopback_range::try_reserve(int range) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(marker_port);
  ::inet_pton(AF_INET, make_ip(range, marker_region, 1, 1).c_str(),
              &at.sin_addr);
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket_ < 0) throw std::runtime_error("socket");
  if (::bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
    return true;
  }
  const int failure = errno;
  ::close(socket_);
  if (failure != EADDRINUSE) throw std::runtime_error("bind");
  return false;
}

std::string loopback_range::ip(int region, int kind, int number) const {
  return make_ip(range_, region, kind, number);
}

}  // namespace trestlepost::test
