// Small stand-ins for the scripts of a review, without libraries:
//   tool list ADDRESS FILE                    serves FILE as JSON to every GET
//   tool replica ADDRESS ID LOG EXPECTED STAMP MS
//                                             answers as the replica ID and
//                                             writes to LOG what it runs;
//                                             EXPECTED and STAMP are the names
//                                             of the platform's headers;
//                                             paths with /slow take MS
//   tool load ADDRESS HOST PREFIX COUNT INTERVAL MS DEADLINE
//                                             sends COUNT GETs for PREFIX-N,
//                                             one every INTERVAL ms, each with
//                                             MS to go in the header DEADLINE,
//                                             and prints the status of each
//   tool raw ADDRESS FILE MS                  sends the bytes of FILE and
//                                             prints what arrives
//   tool send ADDRESS METHOD TARGET FILE MS [HEADER]...
//                                             sends one request and prints the
//                                             status and the body of its answer
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

sockaddr_in parse_address(const std::string& text) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const std::size_t colon = text.find(':');
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  unsigned port = 0;
  std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
}

bool send_all(int fd, std::string_view data) {
  while (!data.empty()) {
    const ssize_t n = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

/// Appends what arrives until `deadline`. Returns false at the end of the
/// connection or at the deadline.
bool receive_some(int fd, std::string& buf, steady_clock::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
  if (left.count() <= 0) return false;
  pollfd waiting{fd, POLLIN, 0};
  if (::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) return false;
  std::array<char, 16384> piece{};
  const ssize_t n = ::recv(fd, piece.data(), piece.size(), 0);
  if (n <= 0) return false;
  buf.append(piece.data(), static_cast<std::size_t>(n));
  return true;
}

std::string header_of(std::string_view head, std::string_view name) {
  std::string lower(head);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const std::string key = "\r\n" + std::string(name) + ":";
  const std::size_t at = lower.find(key);
  if (at == std::string::npos) return {};
  const std::size_t begin =
      std::min(head.find_first_not_of(' ', at + key.size()), head.size());
  return std::string(head.substr(begin, head.find("\r\n", begin) - begin));
}

std::size_t length_of(std::string_view head) {
  const std::string text = header_of(head, "content-length");
  std::size_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

/// Removes the head of the next request from `buf`, without the empty line.
/// Returns an empty string at the end of the connection.
std::string read_head(int fd, std::string& buf) {
  const auto never = steady_clock::now() + std::chrono::hours(1);
  std::size_t end = buf.find("\r\n\r\n");
  while (end == std::string::npos && receive_some(fd, buf, never)) {
    end = buf.find("\r\n\r\n");
  }
  if (end == std::string::npos) return {};
  std::string out = buf.substr(0, end + 2);
  buf.erase(0, end + 4);
  return out;
}

void serve_connection(int fd, const std::string& path) {
  std::string buf;
  while (!read_head(fd, buf).empty()) {
    const std::string body = read_file(path);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!send_all(fd, answer)) break;
  }
  ::close(fd);
}

/// Names and paths of a replica stand-in.
struct replica_options {
  std::string id;
  std::string log;
  std::string expected_header;  // in lower case
  std::string stamp_header;
  milliseconds slow_time{0};
};

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

void serve_replica(int fd, const replica_options& options) {
  std::string buf;
  const auto never = steady_clock::now() + std::chrono::hours(1);
  for (std::string head = read_head(fd, buf); !head.empty();
       head = read_head(fd, buf)) {
    const std::size_t length = length_of(head);
    while (buf.size() < length && receive_some(fd, buf, never)) {
    }
    if (buf.size() < length) break;
    buf.erase(0, length);
    const std::string line = head.substr(0, head.find(" HTTP/"));
    const std::string request_id = header_of(head, "x-request-id");
    const std::string expected = header_of(head, options.expected_header);
    const bool is_other = !expected.empty() && expected != options.id;
    const std::string body = "answer to " + request_id;
    std::string answer = is_other ? "HTTP/1.1 421 Misdirected Request\r\n"
                                  : "HTTP/1.1 200 OK\r\n";
    if (!request_id.empty()) answer += "X-Request-Id: " + request_id + "\r\n";
    if (!is_other) answer += options.stamp_header + ": " + options.id + "\r\n";
    answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    answer += body;
    if (!is_other && !request_id.empty()) {
      std::ofstream(options.log, std::ios::app)
          << options.id << " runs " << line << ", id " << request_id << ", "
          << length << " bytes of body" << std::endl;
    }
    const bool slow = line.find("/slow") != std::string::npos;
    if (slow && !is_other) std::this_thread::sleep_for(options.slow_time);
    if (!send_all(fd, answer)) break;
  }
  ::close(fd);
}

/// Accepts connections and calls `serve` with each, on a thread of its own.
template <typename F>
int listen_at(const std::string& address, F serve) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = parse_address(address);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
          0 ||
      ::listen(listener, SOMAXCONN) != 0) {
    return 2;
  }
  while (true) {
    const int fd = ::accept(listener, nullptr, nullptr);
    if (fd < 0) continue;
    std::thread([fd, serve] { serve(fd); }).detach();
  }
}

int send_raw(const std::vector<std::string>& arguments) {
  const steady_clock::time_point deadline =
      steady_clock::now() + milliseconds(std::stol(arguments[2]));
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in at = parse_address(arguments[0]);
  std::string buf;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
      send_all(fd, read_file(arguments[1]))) {
    while (receive_some(fd, buf, deadline)) {
    }
  }
  ::close(fd);
  std::cout << buf << "\n";
  return 0;
}

int send_request(const std::vector<std::string>& arguments) {
  const std::string& address = arguments[0];
  const std::string body =
      arguments[3].empty() ? std::string() : read_file(arguments[3]);
  const steady_clock::time_point deadline =
      steady_clock::now() + milliseconds(std::stol(arguments[4]));
  std::string request = arguments[1] + " " + arguments[2] + " HTTP/1.1\r\n" +
                        "Host: " + address + "\r\nConnection: close\r\n" +
                        "Content-Length: " + std::to_string(body.size()) +
                        "\r\n";
  for (std::size_t i = 5; i < arguments.size(); ++i) {
    request += arguments[i] + "\r\n";
  }
  request += "\r\n" + body;
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in at = parse_address(address);
  std::string buf;
  std::size_t end = std::string::npos;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
      send_all(fd, request)) {
    while (end == std::string::npos && receive_some(fd, buf, deadline)) {
      end = buf.find("\r\n\r\n");
    }
    const std::size_t wanted =
        end == std::string::npos ? 0 : end + 4 + length_of(buf.substr(0, end));
    while (buf.size() < wanted && receive_some(fd, buf, deadline)) {
    }
    if (end == std::string::npos || buf.size() < wanted) buf.clear();
  }
  ::close(fd);
  if (buf.empty()) {
    std::cout << "none\n";
    return 1;
  }
  std::cout << buf.substr(9, 3) << "\n" << buf.substr(end + 4) << "\n";
  return 0;
}

/// A client of a load: sends one GET and returns the status of its answer.
std::string get_status(const std::string& address, const std::string& request,
                       milliseconds timeout) {
  const steady_clock::time_point deadline = steady_clock::now() + timeout;
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in at = parse_address(address);
  std::string buf;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
      send_all(fd, request)) {
    while (buf.find("\r\n\r\n") == std::string::npos &&
           receive_some(fd, buf, deadline)) {
    }
  }
  ::close(fd);
  return buf.size() > 12 ? buf.substr(9, 3) : "none";
}

int send_load(const std::vector<std::string>& arguments) {
  const int count = std::stoi(arguments[3]);
  const milliseconds interval(std::stol(arguments[4]));
  const milliseconds limit(std::stol(arguments[5]));
  std::mutex lock;
  std::vector<std::thread> clients;
  for (int n = 1; n <= count; ++n) {
    const std::string id = arguments[2] + "-" + std::to_string(n);
    const std::string request =
        "GET " + id + " HTTP/1.1\r\nHost: " + arguments[1] +
        "\r\nX-Request-Id: " + id.substr(id.rfind('/') + 1) + "\r\n" +
        arguments[6] + ": " + arguments[5] + "\r\nConnection: close\r\n\r\n";
    clients.emplace_back([&lock, &arguments, request, id, limit] {
      const std::string status =
          get_status(arguments[0], request, limit + milliseconds(500));
      const std::scoped_lock guard(lock);
      std::cout << id.substr(id.rfind('/') + 1) << " " << status << std::endl;
    });
    std::this_thread::sleep_for(interval);
  }
  for (std::thread& it : clients) it.join();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const std::string verb = arguments.empty() ? "" : arguments[0];
  if (verb == "list" && arguments.size() == 3) {
    const std::string& path = arguments[2];
    return listen_at(arguments[1],
                     [path](int fd) { serve_connection(fd, path); });
  }
  if (verb == "replica" && arguments.size() == 7) {
    const replica_options options{arguments[2], arguments[3],
                                  lower_case(arguments[4]), arguments[5],
                                  milliseconds(std::stol(arguments[6]))};
    return listen_at(arguments[1],
                     [options](int fd) { serve_replica(fd, options); });
  }
  if (verb == "load" && arguments.size() == 8) {
    return send_load({arguments.begin() + 1, arguments.end()});
  }
  if (verb == "raw" && arguments.size() == 4) {
    return send_raw({arguments.begin() + 1, arguments.end()});
  }
  if (verb == "send" && arguments.size() >= 6) {
    return send_request({arguments.begin() + 1, arguments.end()});
  }
  std::cerr << "see the head of tool.cc\n";
  return 2;
}
