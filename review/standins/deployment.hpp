// Stand-ins and process control shared by the scripts of the review: a small
// deployment of real trestlepostd processes on loopback addresses, endpoints,
// the platform's list of endpoints, an operator and clients.
//
// Everything blocks; each connection has a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline double seconds_since(steady::time_point start) {
  return std::chrono::duration<double>(steady::now() - start).count();
}

inline void pause_for(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

/// Exit codes of a script.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

// ---------------------------------------------------------------------------
// The record of a run.

class record {
 public:
  explicit record(const char* path) : file_(std::fopen(path, "w")) {}
  void line(const char* format, ...) {
    std::lock_guard<std::mutex> guard(lock_);
    va_list args;
    va_start(args, format);
    std::fprintf(file_, "%8.3f  ", seconds_since(start_));
    std::vfprintf(file_, format, args);
    std::fputc('\n', file_);
    std::fflush(file_);
    va_end(args);
  }

 private:
  std::FILE* file_;
  std::mutex lock_;
  steady::time_point start_ = steady::now();
};

// ---------------------------------------------------------------------------
// HTTP over blocking sockets.

struct message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  int status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
  std::string target() const {
    const std::size_t from = first_line.find(' ');
    const std::size_t to = first_line.find(' ', from + 1);
    return first_line.substr(from + 1, to - from - 1);
  }
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

/// A connection with a buffer of what has been read beyond the last message.
class connection {
 public:
  explicit connection(int fd = -1) : fd_(fd) {}
  ~connection() { close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool open(const std::string& ip, int port, int timeout_ms) {
    close();
    buffer_.clear();
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = address_of(ip, port);
    const sockaddr* at = reinterpret_cast<const sockaddr*>(&to);
    if (::connect(fd_, at, sizeof to) != 0 && errno != EINPROGRESS) {
      close();
      return false;
    }
    pollfd waiting{fd_, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    const bool opened =
        ::poll(&waiting, 1, timeout_ms) == 1 &&
        ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error == 0;
    if (!opened) {
      close();
      return false;
    }
    ::fcntl(fd_, F_SETFL, ::fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }
  bool is_open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool write(const std::string& data) {
    std::size_t sent = 0;
    while (sent < data.size()) {
      const ssize_t n =
          ::send(fd_, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Reads one message with a length or chunks. Returns false when none comes
  /// before `until`, or when the connection ends before it is complete.
  bool read(message& out, steady::time_point until) {
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) return false;
    }
    parse_head(out, buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    if (out.header("transfer-encoding") == "chunked") {
      return read_chunks(out, until);
    }
    const std::size_t size =
        std::strtoul(out.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!fill(until)) return false;
    }
    out.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

 private:
  static void parse_head(message& out, const std::string& head) {
    out = {};
    std::size_t at = head.find("\r\n");
    out.first_line = head.substr(0, at);
    while (at != std::string::npos && at < head.size()) {
      const std::size_t from = at + 2;
      at = head.find("\r\n", from);
      const std::string line = head.substr(from, at - from);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& it : name) it = static_cast<char>(std::tolower(it));
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      out.headers[name] = line.substr(value);
    }
  }
  bool read_chunks(message& out, steady::time_point until) {
    while (true) {
      std::size_t end;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(until)) return false;
      }
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!fill(until)) return false;
      }
      out.body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  bool fill(steady::time_point until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - steady::now());
    if (left.count() <= 0) return false;
    pollfd waiting{fd_, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(left.count())) != 1) return false;
    char piece[16384];
    const ssize_t n = ::recv(fd_, piece, sizeof piece, 0);
    if (n <= 0) return false;
    buffer_.append(piece, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
};

/// A server with a thread per connection.
class server {
 public:
  using handler = std::function<std::string(const message&)>;

  /// Returns false if the address can't be used.
  bool listen(const std::string& ip, int port, handler handle) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = address_of(ip, port);
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd_, 1024) != 0) {
      return false;
    }
    handle_ = std::move(handle);
    std::thread([this] { accept_all(); }).detach();
    return true;
  }
  /// Ends the server and its connections, as the end of a process does.
  void end() {
    ended_ = true;
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    std::lock_guard<std::mutex> guard(lock_);
    for (const auto& it : open_) ::shutdown(it.first, SHUT_RDWR);
  }
  std::size_t connections() {
    std::lock_guard<std::mutex> guard(lock_);
    return open_.size();
  }

 private:
  void accept_all() {
    while (!ended_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!ended_) pause_for(5);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::lock_guard<std::mutex> guard(lock_);
        open_[fd] = true;
      }
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    connection it(fd);
    message in;
    while (!ended_ && it.read(in, steady::now() + std::chrono::minutes(10))) {
      if (!it.write(handle_(in))) break;
    }
    std::lock_guard<std::mutex> guard(lock_);
    open_.erase(fd);
    it.close();
  }

  int fd_ = -1;
  std::atomic<bool> ended_{false};
  handler handle_;
  std::mutex lock_;
  std::map<int, bool> open_;
};

inline std::string answer(int status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------------------
// Endpoints and the platform's list.

struct arrival {
  steady::time_point at;
  std::string id;
  std::string endpoint;
  std::string zone;
};

/// An endpoint: one incarnation, at one address.
class endpoint {
 public:
  std::string id;
  std::string backend;
  std::string ip;
  int port = 0;
  std::string zone;
  int slots = 128;
  std::atomic<int> work_ms{15};
  std::atomic<bool> listed{false};
  std::atomic<bool> leaving{false};
  std::function<void(const arrival&)> on_arrival;

  bool start() {
    return server_.listen(ip, port,
                          [this](const message& in) { return handle(in); });
  }
  void end() { server_.end(); }
  std::size_t connections() { return server_.connections(); }

 private:
  std::string handle(const message& in) {
    const std::string request = in.header("x-request-id");
    const std::string load =
        "X-Server-Load: " + std::to_string(running_.load()) + ",0," +
        std::to_string(slots) + "\r\n";
    const std::string path = in.target();
    if (path == "/-/report") {
      return answer(200, "",
                    R"({"stage":"mixed","models":[],"busy":false,"seq":0,)"
                    R"("queued":0,"active":0,"kv_used":0,"kv_total":0,)"
                    R"("handles":0})");
    }
    if (path == "/health") {
      return answer(leaving ? 503 : 200, "X-Instance-Id: " + id + "\r\n", "");
    }
    const std::string echo = "X-Request-Id: " + request + "\r\n";
    const std::string expected = in.header("x-expect-instance");
    if (!expected.empty() && expected != id) {
      return answer(421, echo + load + "X-Not-Run: 1\r\n", "");
    }
    if (on_arrival) on_arrival({steady::now(), request, id, zone});
    ++running_;
    pause_for(work_ms);
    --running_;
    const std::string close = leaving ? "Connection: close\r\n" : "";
    return answer(200,
                  echo + load + close + "X-Reply-Stamp: " + id + "." + request +
                      "\r\nContent-Type: text/plain\r\n",
                  "answer of " + id + " to " + request);
  }

  server server_;
  std::atomic<int> running_{0};
};

// ---------------------------------------------------------------------------
// The deployment.

struct node {
  std::string name;
  std::string region;
  std::string zone;
  std::string ip;
  bool control = false;
  pid_t pid = 0;
};

struct place {
  std::string zone;
  std::string region;
};

class deployment {
 public:
  // Ports of every node; each node has an address of its own.
  static constexpr int peers_port = 7660;
  static constexpr int callers_port = 8144;
  static constexpr int readiness_port = 8140;
  static constexpr int control_port = 8146;
  static constexpr int directory_port = 8143;

  std::vector<place> places;
  std::vector<node> nodes;
  std::vector<std::unique_ptr<endpoint>> endpoints;
  std::mutex endpoints_lock;
  /// The descriptors that each process may have open.
  int max_descriptors = 4100;

  deployment() {
    // Addresses of their own for each run: 127.A.B.*.
    const unsigned n = static_cast<unsigned>(::getpid());
    base_ = "127." + std::to_string(40 + n % 200) + "." +
            std::to_string(1 + n / 200 % 250) + ".";
    char name[] = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(name);
  }
  ~deployment() {
    stop_all();
    const std::string command = "rm -rf '" + folder_ + "'";
    if (std::getenv("KEEP") == nullptr && std::system(command.c_str()) != 0) {
      std::fprintf(stderr, "can't remove %s\n", folder_.c_str());
    }
  }

  std::string next_ip() { return base_ + std::to_string(next_host_++); }

  void add_node(const std::string& name, const place& at, bool control) {
    nodes.push_back({name, at.region, at.zone, next_ip(), control, 0});
  }

  endpoint& add_endpoint(const std::string& backend, const std::string& zone,
                         int slots) {
    std::unique_ptr<endpoint> it = std::make_unique<endpoint>();
    it->id = "i-" + backend + "-" + std::to_string(next_endpoint_++);
    it->backend = backend;
    it->zone = zone;
    it->slots = slots;
    it->ip = endpoint_ip_.empty() ? (endpoint_ip_ = next_ip()) : endpoint_ip_;
    it->port = next_endpoint_port_++;
    std::lock_guard<std::mutex> guard(endpoints_lock);
    endpoints.push_back(std::move(it));
    return *endpoints.back();
  }

  /// Starts the platform and all nodes. Returns false if one can't start.
  bool start() {
    platform_ip_ = next_ip();
    const bool listening = platform_.listen(
        platform_ip_, 8142, [this](const message&) { return list(); });
    if (!listening) return false;
    for (node& it : nodes) {
      write_settings(it, true);
      if (!start(it)) return false;
    }
    return true;
  }

  bool start(node& it) {
    const std::string settings = settings_of(it);
    const std::string log = folder_ + "/" + it.name + ".log";
    const int limit = max_descriptors;
    const pid_t pid = ::fork();
    if (pid < 0) return false;
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const rlimit files{static_cast<rlim_t>(limit),
                         static_cast<rlim_t>(limit)};
      ::setrlimit(RLIMIT_NOFILE, &files);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execl("target/bin/trestlepostd", "target/bin/trestlepostd",
              "--settings", settings.c_str(), nullptr);
      ::_exit(127);
    }
    it.pid = pid;
    return true;
  }

  void send_signal(node& it, int signal) {
    if (it.pid > 0) ::kill(it.pid, signal);
  }

  /// Returns whether the process still runs.
  bool runs(node& it) {
    return it.pid > 0 && ::waitpid(it.pid, nullptr, WNOHANG) == 0;
  }

  /// Writes the settings of a start other than the first one.
  void write_later_settings() {
    for (node& it : nodes) write_settings(it, false);
  }

  void stop_all() {
    for (node& it : nodes) {
      if (it.pid <= 0) continue;
      ::kill(it.pid, SIGKILL);
      ::waitpid(it.pid, nullptr, 0);
      it.pid = 0;
    }
  }

  node& find(const std::string& name) {
    for (node& it : nodes) {
      if (it.name == name) return it;
    }
    std::abort();
  }
  std::vector<node*> controls() {
    std::vector<node*> out;
    for (node& it : nodes) {
      if (it.control) out.push_back(&it);
    }
    return out;
  }
  std::vector<node*> gateways() {
    std::vector<node*> out;
    for (node& it : nodes) {
      if (!it.control) out.push_back(&it);
    }
    return out;
  }

  /// Sends one order to one node on a new channel, which is closed after
  /// `timeout_ms`. Returns the status, or 0 for no answer.
  int order_at(const node& to, const std::string& method,
               const std::string& target, const std::string& body,
               int timeout_ms) {
    connection it;
    if (!it.open(to.ip, control_port, timeout_ms)) return 0;
    std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + to.ip +
                      "\r\nContent-Type: application/json\r\n";
    if (method == "POST") {
      out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    if (!it.write(out + "\r\n" + body)) return 0;
    message in;
    if (!it.read(in, steady::now() + milliseconds(timeout_ms))) return 0;
    last_body_ = in.body;
    return in.status();
  }

  /// Sends an order as operators do: to the first of `to`, and to the others
  /// in turn after a failure, a 5xx or a second without an answer. Returns the
  /// final status, or 0.
  int order(const std::vector<node*>& to, const std::string& target,
            const std::string& body, record& log, int limit_ms) {
    const steady::time_point end = steady::now() + milliseconds(limit_ms);
    for (std::size_t n = 0; steady::now() < end; ++n) {
      const node& at = *to[n % to.size()];
      const int status = order_at(at, "POST", target, body, 1000);
      log.line("order %s to %s: %d", target.c_str(), at.name.c_str(), status);
      if (status > 0 && status < 500 && status != 408 && status != 429) {
        return status;
      }
      pause_for(100);
    }
    return 0;
  }
  const std::string& last_body() const { return last_body_; }

  /// Sends a GET to the gateway on a new channel; returns the status or 0.
  static int request(const node& to, const std::string& path,
                     const std::string& id, int timeout_ms) {
    connection it;
    if (!it.open(to.ip, callers_port, 1000)) return 0;
    return request_on(it, path, id, timeout_ms);
  }
  static int request_on(connection& it, const std::string& path,
                        const std::string& id, int timeout_ms) {
    const std::string out =
        "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
        "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) + "\r\n\r\n";
    if (!it.write(out)) return 0;
    message in;
    if (!it.read(in, steady::now() + milliseconds(timeout_ms))) return 0;
    return in.status();
  }
  static int readiness(const node& to) {
    connection it;
    if (!it.open(to.ip, readiness_port, 1000)) return 0;
    if (!it.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")) return 0;
    message in;
    if (!it.read(in, steady::now() + milliseconds(1000))) return 0;
    return in.status();
  }

  /// Waits until every gateway answers requests for `path` with 200.
  bool wait_until_served(const std::string& path, int limit_ms) {
    const steady::time_point end = steady::now() + milliseconds(limit_ms);
    for (node* it : gateways()) {
      int n = 0;
      while (request(*it, path, "warm-" + it->name + std::to_string(n++),
                     2000) != 200) {
        if (steady::now() > end) return false;
        pause_for(100);
      }
    }
    return true;
  }

  std::string log_of(const node& it) const {
    return folder_ + "/" + it.name + ".log";
  }

 private:
  std::string settings_of(const node& it) const {
    return folder_ + "/" + it.name + ".json";
  }

  std::string list() {
    std::string items;
    std::lock_guard<std::mutex> guard(endpoints_lock);
    for (const std::unique_ptr<endpoint>& it : endpoints) {
      if (!it->listed) continue;
      if (!items.empty()) items += ",";
      items += "{\"backend\":\"" + it->backend + "\",\"address\":\"" + it->ip +
               ":" + std::to_string(it->port) + "\",\"zone\":\"" + it->zone +
               "\",\"version\":\"v1\",\"slots\":" + std::to_string(it->slots) +
               ",\"state\":\"" + (it->leaving ? "draining" : "ready") +
               "\",\"cold_left_ms\":0,\"id\":\"" + it->id + "\"}";
    }
    return answer(200, "Content-Type: application/json\r\n",
                  "{\"instances\":[" + items + "],\"next_token\":null}");
  }

  /// Writes what deploy/node.jsonc.template yields for this node.
  void write_settings(const node& it, bool first_start) {
    std::string zones;
    for (const place& at : places) {
      if (!zones.empty()) zones += ", ";
      zones += "\"" + at.zone + "\": \"" + at.region + "\"";
    }
    std::string seeds;
    int seed_count = 0;
    int control_count = 0;
    for (const node& one : nodes) {
      if (!one.control) continue;
      ++control_count;
      if (seed_count == 3) continue;
      ++seed_count;
      if (!seeds.empty()) seeds += ", ";
      seeds += "\"" + one.ip + ":" + std::to_string(control_port) + "\"";
    }
    const std::string data = folder_ + "/data-" + it.name;
    const std::string port = ":";
    std::string out = "{\n";
    out += "\"node\": \"" + it.name + "\",\n";
    out += "\"region\": \"" + it.region + "\",\n";
    out += "\"availability_zone\": \"" + it.zone + "\",\n";
    out += std::string("\"roles\": [\"") +
           (it.control ? "control" : "gateway") + "\"],\n";
    if (it.control) out += "\"data_folder\": \"" + data + "\",\n";
    out += "\"charts_folder\": \"share/charts\",\n\"surface\": \"platform\",\n";
    out += "\"first_port\": " + std::to_string(peers_port) + ",\n";
    out += "\"addresses\": {\n";
    const auto address = [&](const char* name, int number) {
      out += "  \"" + std::string(name) + "\": \"" + it.ip + ":" +
             std::to_string(number) + "\",\n";
    };
    if (it.control) {
      address("directory", directory_port);
      address("orders", control_port);
    } else {
      address("callers", callers_port);
      address("readiness", readiness_port);
      out += "  \"forwards\": \"" + it.ip + ":+1\",\n";
    }
    out += "  \"operators\": \"" + it.ip + ":9464\",\n";
    out += "  \"peers\": \"" + it.ip + ":+0\"\n},\n";
    out += "\"outgoing_ip\": \"" + it.ip + "\",\n";
    out += "\"seeds\": [" + seeds + "],\n\"seeds_port\": \"+0\",\n";
    out += std::string("\"found_at_first_start\": ") +
           (first_start ? "true" : "false") + ",\n";
    out += "\"tolerated_losses\": " + std::to_string((control_count - 1) / 2) +
           ",\n";
    out += "\"zone_regions\": {" + zones + "},\n";
    out += "\"retries\": { \"ratio\": 0.2, \"slack\": 56 },\n";
    out += "\"peer_secret_file\": \"deploy/peer-secret\",\n";
    out += "\"platform\": { \"address\": \"" + platform_ip_ +
           ":8142\", \"list_lag\": \"800 ms\" },\n";
    out +=
        "\"timing\": { \"election_timeout\": \"500 ms\", "
        "\"heartbeat_interval\": \"150 ms\", \"startup_wait\": \"400 ms\", "
        "\"drain_timeout\": \"8 s\", \"drain_grace\": \"2500 ms\", "
        "\"directory_lifetime\": \"1 s\" }\n}\n";
    std::FILE* file = std::fopen(settings_of(it).c_str(), "w");
    std::fputs(out.c_str(), file);
    std::fclose(file);
  }

  std::string base_;
  std::string folder_;
  std::string platform_ip_;
  std::string endpoint_ip_;
  std::string last_body_;
  int next_host_ = 1;
  int next_endpoint_ = 1;
  int next_endpoint_port_ = 8300;
  server platform_;
};

/// A desired state with an idempotent route /get/ and a mutating one /book/,
/// both to the service `app`.
inline std::string desired_state(int version, int timeout_ms = 2500,
                                 int goal_ms = 400) {
  const std::string times = ",\"timeout_ms\":" + std::to_string(timeout_ms) +
                            ",\"goal_ms\":" + std::to_string(goal_ms);
  const auto route = [&](const char* name, const char* kind, int attempts) {
    return std::string("{\"name\":\"r-") + name +
           "\",\"host\":\"a.example\",\"path_prefix\":\"/" + name +
           "/\",\"kind\":\"" + kind + "\"" + times +
           ",\"priority\":2,\"backend\":\"app\",\"attempts\":" +
           std::to_string(attempts) +
           ",\"sticky\":false,\"resumable\":false,\"home_regions\":[]}";
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         route("get", "idempotent", 2) + "," + route("book", "mutating", 1) +
         "],\"services\":[{\"name\":\"app\",\"health_path\":\"/health\","
         "\"max_conns\":620,\"protocol\":\"h1\",\"tls\":false,"
         "\"warmup_s\":0.0,\"cold_per_s\":0.0}],\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
