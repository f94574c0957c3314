#include "cluster.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

#include "client.h"
#include "config_file.h"
#include "trestlepost/base/hash.h"
#include "trestlepost/base/random.h"

namespace trestlepost::test {
namespace {

using std::chrono::milliseconds;

constexpr char operator_token[] = "operator-token";
constexpr int callers_port = 7000;
constexpr int forwards_port = 7001;
constexpr int operators_port = 7002;
constexpr int peers_port = 7003;
constexpr int endpoint_port = 9000;
// Second octet of the addresses of the platform and the relay control.
constexpr int infrastructure_octet = 20;

struct region_info {
  const char* name;
  int octet;
  int nodes;
};

constexpr region_info regions[] = {
    {"isola", 21, 3}, {"stretto", 22, 2}, {"golfo", 23, 2}};

int octet_of(const std::string& region) {
  for (const region_info& it : regions) {
    if (region == it.name) return it.octet;
  }
  return 0;
}

std::string with_port(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

std::string program_path(const char* name) {
  return std::string(TRESTLEPOST_BIN) + "/" + name;
}

}  // namespace

bool eventually(const std::function<bool()>& condition,
                std::chrono::seconds limit) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return condition();
}

cluster::cluster(cluster_options options)
    : options_(options),
      platform_address_(
          with_port(range_.ip(infrastructure_octet, 1, 2), endpoint_port)),
      relay_control_(
          with_port(range_.ip(infrastructure_octet, 1, 3), endpoint_port)) {
  std::string name =
      (std::filesystem::temp_directory_path() / "trestlepost-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
  folder_ = name;
  std::ofstream(folder_ + "/peer-secret") << "a secret of test peers";
  std::filesystem::create_symlink(TRESTLEPOST_CHARTS, folder_ + "/charts");
  for (const region_info& region : regions) {
    for (int i = 1; i <= region.nodes; ++i) {
      nodes_.push_back({std::string(region.name) + "-" + std::to_string(i),
                        region.name, region.octet, i, i == 1});
    }
    for (unsigned i = 1; i <= options_.endpoints; ++i) {
      endpoints_.push_back(
          {"guida-" + std::string(region.name) + "-" + std::to_string(i),
           region.name, range_.ip(region.octet, 2, static_cast<int>(i)),
           false});
    }
    endpoints_.push_back({"banco-" + std::string(region.name), region.name,
                          range_.ip(region.octet, 3, 1), true});
  }
  std::vector<std::string> relay{program_path("trestlepost-bench"),
                                 "relay",
                                 "--control",
                                 relay_control_,
                                 "--delay-ms",
                                 std::to_string(options_.delay_ms)};
  for (const node_info& it : nodes_) {
    write_settings(it);
    for (const int port : {forwards_port, peers_port}) {
      relay.emplace_back("--link");
      relay.push_back(with_port(range_.ip(it.octet, 4, it.number), port) + "=" +
                      with_port(range_.ip(it.octet, 1, it.number), port));
    }
  }
  processes_.emplace("relay", process(relay, folder_, folder_ + "/relay.log"));
  processes_.emplace(
      "platform", process({program_path("trestlepost-bench"), "platform",
                           "--address", platform_address_, "--lag-ms", "300"},
                          folder_, folder_ + "/platform.log"));
  for (const endpoint_info& it : endpoints_) start_endpoint(it.name);
}

cluster::~cluster() {
  processes_.clear();
  if (std::getenv("TRESTLEPOST_KEEP") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

void cluster::set_fast_timing(json& out) const {
  out["platform"]["poll_interval"] = "200 ms";
  out["timing"]["election_timeout"] =
      std::to_string(options_.election_timeout_ms) + " ms";
  out["timing"]["heartbeat_interval"] = "100 ms";
  out["timing"]["poll_interval"] = "150 ms";
  out["timing"]["config_lease"] = "1500 ms";
  out["timing"]["startup_wait"] = "2 s";
  out["timing"]["endpoint_ramp"] = "1 s";
}

void cluster::write_settings(const node_info& it) const {
  json out;
  out["node"] = it.name;
  out["region"] = it.region;
  out["availability_zone"] = it.region + "-hall";
  out["roles"].append("gateway");
  if (it.control) {
    out["roles"].append("control");
    out["data_folder"] = folder_ + "/data-" + it.name;
  }
  out["charts_folder"] = "charts";
  const std::string own = range_.ip(it.octet, 1, it.number);
  const std::string relayed = range_.ip(it.octet, 4, it.number);
  out["addresses"]["callers"] = with_port(own, callers_port);
  out["addresses"]["forwards"] = with_port(own, forwards_port);
  out["addresses"]["operators"] = with_port(own, operators_port);
  out["addresses"]["peers"] = with_port(own, peers_port);
  out["advertised"]["forwards"] = with_port(relayed, forwards_port);
  out["advertised"]["peers"] = with_port(relayed, peers_port);
  out["outgoing_ip"] = own;
  for (const node_info& other : nodes_) {
    const std::string at =
        with_port(range_.ip(other.octet, 4, other.number), peers_port);
    if (other.control) {
      json control;
      control["node"] = other.name;
      control["address"] = at;
      out["control_nodes"].append(std::move(control));
    }
    if (other.region == it.region && other.name != it.name) {
      out["seeds"].append(at);
    }
  }
  out["peer_secret_file"] = "peer-secret";
  for (const char* role : {"read", "change", "found"}) {
    json one;
    one["name"] = std::string("operator-") + role;
    one["role"] = role;
    one["token_sha256"] =
        sha256_hex(std::string(role) == "found" ? operator_token
                                                : std::string(role) + "-token");
    out["operators"].append(std::move(one));
  }
  out["platform"]["address"] = platform_address_;
  if (!options_.default_timing) set_fast_timing(out);
  out["limits"]["snapshot_every"] = options_.snapshot_every;
  out["policy"]["regions"] = options_.policy;
  std::ofstream(folder_ + "/" + it.name + ".jsonc") << to_pretty_text(out);
}

std::string cluster::configuration() const {
  json out;
  for (const region_info& it : regions) {
    json region;
    region["name"] = it.name;
    region["labels"]["side"] = it.octet == 23 ? "north" : "south";
    out["regions"].append(std::move(region));
  }
  json guida;
  guida["name"] = "guida";
  guida["kind"] = "model";
  guida["timeout"] = "20 s";
  out["services"].append(std::move(guida));
  json banco;
  banco["name"] = "banco";
  banco["repeatable"] = false;
  banco["timeout"] = "10 s";
  out["services"].append(std::move(banco));
  for (const endpoint_info& it : endpoints_) {
    json one;
    one["name"] = it.name;
    one["service"] = it.plain ? "banco" : "guida";
    one["region"] = it.region;
    one["availability_zone"] = it.region + "-hall";
    one["address"] = with_port(it.ip, endpoint_port);
    one["slots"] = options_.slots;
    out["endpoints"].append(std::move(one));
  }
  const auto rule = [&out](const char* name, const char* team) {
    json one;
    one["name"] = name;
    one["callers"]["team"] = team;
    out["placement_rules"].append(std::move(one));
    return &out["placement_rules"][out["placement_rules"].size() - 1];
  };
  json* anywhere = rule("anywhere", "planner");
  (*anywhere)["home"]["region"] = "isola";
  (*anywhere)["away_penalty"] = options_.away_penalty;
  json* south = rule("south", "terminal");
  (*south)["permit"]["side"] = "south";
  (*south)["home"]["region"] = "stretto";
  json* north = rule("north", "mainland");
  (*north)["permit"]["region"] = "golfo";
  json* hidden = rule("hidden", "hidden");
  (*hidden)["permit"]["region"] = "isola";
  (*hidden)["transit"] = "refuse";
  for (const char* team : {"planner", "terminal", "mainland", "hidden"}) {
    json one;
    one["name"] = team;
    one["labels"]["team"] = team;
    one["token"] = std::string(team) + "-token";
    out["callers"].append(std::move(one));
  }
  json nobody;
  nobody["name"] = "nobody";
  nobody["token"] = "nobody-token";
  out["callers"].append(std::move(nobody));
  return to_text(out);
}

void cluster::start_nodes() {
  for (const node_info& it : nodes_) start_node(it.name);
}

void cluster::bring_up() {
  start_nodes();
  const std::string first = nodes_.front().name;
  if (!eventually([&] { return rpc(first, "init").has_value(); })) {
    throw std::runtime_error("the group was not founded: " + log_of(first));
  }
  if (!eventually([&] { return apply(first, configuration()).has_value(); })) {
    throw std::runtime_error("the configuration was not applied");
  }
  json last;
  const bool up = eventually([this, &last] {
    for (const node_info& it : nodes_) {
      last = status(it.name);
      if (text_of(last, "state") != "ready") return false;
      if (number_of(last, "revision") == 0) return false;
      if (text_of(member_of(last, "ledger"), "leader").empty()) return false;
      if (member_of(last, "nodes").size() != nodes_.size()) return false;
    }
    return true;
  });
  if (!up) throw std::runtime_error("not ready: " + to_text(last));
}

const cluster::node_info& cluster::find_node(const std::string& name) const {
  for (const node_info& it : nodes_) {
    if (it.name == name) return it;
  }
  throw std::runtime_error("no node " + name);
}

std::string cluster::address(const std::string& node, int port) const {
  const node_info& it = find_node(node);
  return with_port(range_.ip(it.octet, 1, it.number), port);
}

std::string cluster::endpoint_address(const std::string& endpoint) const {
  for (const endpoint_info& it : endpoints_) {
    if (it.name == endpoint) return with_port(it.ip, endpoint_port);
  }
  throw std::runtime_error("no endpoint " + endpoint);
}

void cluster::start_node(const std::string& name) {
  processes_.erase(name);
  processes_.emplace(name, process({program_path("trestlepostd"), "--settings",
                                    name + ".jsonc"},
                                   folder_, folder_ + "/" + name + ".log"));
}

void cluster::kill_node(const std::string& name) {
  processes_.erase(name);
}

void cluster::freeze_node(const std::string& name) {
  processes_.at(name).signal(SIGSTOP);
}

void cluster::thaw_node(const std::string& name) {
  processes_.at(name).signal(SIGCONT);
}

void cluster::stop_node(const std::string& name) {
  processes_.at(name).signal(SIGTERM);
}

int cluster::wait_for_exit(const std::string& name) {
  return processes_.at(name).wait();
}

bool cluster::node_running(const std::string& name) {
  const auto it = processes_.find(name);
  return it != processes_.end() && it->second.running();
}

void cluster::wipe_node(const std::string& name) {
  std::filesystem::remove_all(folder_ + "/data-" + name);
}

void cluster::kill_endpoint(const std::string& name) {
  processes_.erase(name);
}

void cluster::start_endpoint(const std::string& name) {
  for (const endpoint_info& it : endpoints_) {
    if (it.name != name) continue;
    std::vector<std::string> command{program_path("trestlepost-bench"),
                                     "endpoint",
                                     "--name",
                                     it.name,
                                     "--region",
                                     it.region,
                                     "--address",
                                     with_port(it.ip, endpoint_port),
                                     "--run-log",
                                     folder_ + "/runs",
                                     "--slots",
                                     std::to_string(options_.slots),
                                     "--speed",
                                     std::to_string(options_.speed),
                                     "--plain-ms",
                                     std::to_string(options_.plain_ms)};
    if (it.plain) command.emplace_back("--plain");
    processes_.erase(name);
    processes_.emplace(
        name, process(command, folder_, folder_ + "/" + name + ".log"));
  }
}

void cluster::inject_fault(const std::string& endpoint,
                           const std::string& name) {
  for (const endpoint_info& it : endpoints_) {
    if (it.name != endpoint) continue;
    bench::caller_request request;
    request.address = with_port(it.ip, endpoint_port);
    request.target = "/stand-in/fault?" + name;
    bench::send_and_wait(request);
  }
}

void cluster::set_platform_state(const std::string& endpoint, bool leaving) {
  for (const endpoint_info& it : endpoints_) {
    if (it.name != endpoint) continue;
    bench::caller_request request;
    request.address = platform_address_;
    request.target =
        std::string(leaving ? "/stand-in/leaving?" : "/stand-in/live?") + it.ip;
    bench::send_and_wait(request);
  }
}

void cluster::change_links(const std::string& query) {
  bench::caller_request request;
  request.address = relay_control_;
  request.target = "/link?" + query;
  bench::send_and_wait(request);
}

void cluster::cut(const std::string& from, const std::string& to) {
  const std::string a = from == "*" ? from : std::to_string(octet_of(from));
  const std::string b = to == "*" ? to : std::to_string(octet_of(to));
  change_links("from=" + a + "&to=" + b + "&cut=1");
  change_links("from=" + b + "&to=" + a + "&cut=1");
}

void cluster::heal() {
  change_links("from=*&to=*&cut=0");
}

result<json> cluster::rpc(const std::string& node, const std::string& method,
                          const json& params) {
  ctl::client_options options;
  options.nodes = {address(node, operators_port)};
  options.token = operator_token;
  ctl::client client(options);
  return client.call(method, params);
}

result<json> cluster::apply(const std::string& node, const std::string& text,
                            const std::string& change_id,
                            std::optional<std::uint64_t> if_revision) {
  const result<std::vector<config::edit>> edits =
      ctl::read_config(text, "test", false);
  if (!edits) return tl::make_unexpected(edits.error());
  json params;
  system_random random;
  params["change_id"] = change_id.empty() ? make_request_id(random) : change_id;
  for (const config::edit& it : *edits) {
    params["edits"].append(config::to_json(it));
  }
  if (if_revision) params["if_revision"] = json(Json::UInt64(*if_revision));
  return rpc(node, "apply", params);
}

json cluster::status(const std::string& node) {
  const result<json> answer = rpc(node, "status");
  return answer ? *answer : json(Json::objectValue);
}

std::uint64_t cluster::revision(const std::string& node) {
  return number_of(status(node), "revision");
}

std::string cluster::state(const std::string& node) {
  return text_of(status(node), "state");
}

std::uint64_t cluster::incarnation(const std::string& node) const {
  std::ifstream in(folder_ + "/data-" + node + "/identity");
  std::string text;
  std::getline(in, text);
  const result<json> value = parse_json(text);
  return value ? number_of(*value, "incarnation") : 0;
}

std::string cluster::leader() {
  for (const std::string& it : control_nodes()) {
    if (!node_running(it)) continue;
    const json now = status(it);
    if (flag_of(member_of(now, "control"), "leads")) return it;
  }
  return {};
}

std::string cluster::wait_for_leader() {
  std::string out;
  const bool found = eventually([this, &out] {
    out = leader();
    return !out.empty();
  });
  if (!found) throw std::runtime_error("no control node leads");
  return out;
}

bench::caller_request cluster::model_request(const std::string& node,
                                             const std::string& caller,
                                             bool stream) {
  system_random random;
  bench::caller_request out;
  out.address = address(node, callers_port);
  out.token = caller + "-token";
  out.target = "/v1/chat/completions";
  out.headers = {{"X-Request-Id", make_request_id(random)}};
  json body;
  body["model"] = "guida";
  body["messages"][0]["content"] = "check the consist";
  body["max_tokens"] = 8;
  body["stream"] = stream;
  out.body = to_text(body);
  return out;
}

bench::caller_request cluster::booking_request(const std::string& node,
                                               const std::string& caller,
                                               const std::string& key,
                                               const std::string& body) {
  bench::caller_request out;
  out.address = address(node, callers_port);
  out.token = caller + "-token";
  out.target = "/v1/services/banco/bookings";
  out.headers = {{"Idempotency-Key", key}};
  out.body = body;
  return out;
}

std::vector<bench::run_record> cluster::all_runs() const {
  std::vector<bench::run_record> out = bench::read_runs(folder_ + "/runs");
  std::erase_if(
      out, [](const bench::run_record& it) { return it.phase != "start"; });
  return out;
}

std::vector<bench::run_record> cluster::runs_of(
    const std::string& request_id) const {
  std::vector<bench::run_record> out = all_runs();
  std::erase_if(out, [&request_id](const bench::run_record& it) {
    return it.request_id != request_id;
  });
  return out;
}

std::vector<bench::run_record> cluster::runs_of_key(
    const std::string& key) const {
  std::vector<bench::run_record> out = all_runs();
  std::erase_if(out,
                [&key](const bench::run_record& it) { return it.key != key; });
  return out;
}

std::vector<std::string> cluster::nodes() const {
  std::vector<std::string> out;
  for (const node_info& it : nodes_) out.push_back(it.name);
  return out;
}

std::vector<std::string> cluster::control_nodes() const {
  std::vector<std::string> out;
  for (const node_info& it : nodes_) {
    if (it.control) out.push_back(it.name);
  }
  return out;
}

std::chrono::milliseconds cluster::cpu_time_of(const std::string& node) const {
  return processes_.at(node).cpu_time();
}

std::uint64_t cluster::resident_bytes_of(const std::string& node) const {
  return processes_.at(node).resident_bytes();
}

std::uint64_t cluster::peer_bytes_sent_by(const std::string& node) {
  bench::caller_request request;
  request.address = address(node, operators_port);
  request.method = "GET";
  request.target = "/metrics";
  const std::string body = bench::send_and_wait(request).body;
  const std::string name = "trestlepost_node{what=\"peer_bytes_sent\"} ";
  const std::size_t at = body.find(name);
  if (at == std::string::npos) return 0;
  return static_cast<std::uint64_t>(std::atof(body.c_str() + at + name.size()));
}

std::string cluster::log_of(const std::string& node) const {
  std::ifstream in(folder_ + "/" + node + ".log");
  const std::string all{std::istreambuf_iterator<char>(in),
                        std::istreambuf_iterator<char>()};
  constexpr std::size_t max_bytes = 2000;
  return all.size() > max_bytes ? all.substr(all.size() - max_bytes) : all;
}

}  // namespace trestlepost::test
