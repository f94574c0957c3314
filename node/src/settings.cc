#include "settings.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "trestlepost/base/object_reader.h"
#include "trestlepost/config/objects.h"

namespace trestlepost::node {
namespace {

constexpr std::size_t min_secret_size = 16;
constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_tolerated_losses = 10;
constexpr double max_retry_slack = 1e6;
constexpr std::uint64_t bytes_per_megabyte = 1024UL * 1024;
constexpr std::uint64_t min_memory_mb = 64;
constexpr char settings_remedy[] =
    "correct the settings and start the node again";

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

class settings_reader {
 public:
  explicit settings_reader(const std::string& text) : problems_(text) {}

  settings read(const json& document) {
    object_reader reader(document, "", problems_);
    out_.node = reader.text("node");
    out_.region = reader.text("region");
    out_.availability_zone = reader.text("availability_zone");
    read_roles(reader);
    out_.data_folder = reader.text_or("data_folder", "");
    out_.charts_folder = reader.text("charts_folder");
    first_port_ = reader.number_or("first_port", 0, 0, max_port);
    read_surface(reader);
    read_addresses(reader);
    read_advertised(reader);
    out_.outgoing_ip = reader.text_or("outgoing_ip", "");
    read_control_nodes(reader);
    read_seeds(reader);
    read_founding(reader);
    out_.zone_regions = reader.text_map_or_empty("zone_regions");
    read_retries(reader);
    out_.peer_secret = reader.text("peer_secret_file");
    read_operators(reader);
    read_platform(reader);
    read_log(reader);
    read_limits(reader);
    read_timing(reader);
    read_policy(reader);
    reader.finish();
    if (out_.control && out_.data_folder.empty()) {
      problems_.add(document, "data_folder", "a control node needs a disk",
                    "set data_folder, or take \"control\" out of roles");
    }
    return std::move(out_);
  }

  const problem_list& problems() const { return problems_; }

 private:
  void read_roles(object_reader& reader) {
    const json& where = reader.raw("roles");
    const std::vector<std::string> roles = reader.texts_or_empty("roles");
    out_.gateway = false;
    for (const std::string& it : roles) {
      if (it == "gateway") {
        out_.gateway = true;
      } else if (it == "control") {
        out_.control = true;
      } else {
        problems_.add(where, "roles", "unknown role \"" + it + "\"",
                      "use \"gateway\" and \"control\"");
      }
    }
    if (roles.empty()) {
      problems_.add(where, "roles", "the node has no role",
                    "write \"roles\": [\"gateway\"]");
    }
  }

  void read_surface(object_reader& reader) {
    const std::string kind =
        reader.choice_or_first("surface", {"own", "platform"});
    if (kind == "platform") out_.surface = surface_kind::platform;
  }

  void read_founding(object_reader& reader) {
    out_.found_at_first_start = reader.flag_or("found_at_first_start", false);
    out_.tolerated_losses =
        reader.number_or("tolerated_losses", 0, 0, max_tolerated_losses);
  }

  void read_retries(object_reader& outer) {
    const json& value = outer.raw("retries");
    if (value.isNull()) return;
    object_reader reader(value, "retries", problems_);
    out_.retries.ratio = reader.real_or("ratio", out_.retries.ratio, 0, 1);
    out_.retries.slack =
        reader.real_or("slack", out_.retries.slack, 0, max_retry_slack);
    reader.finish();
  }

  /// Resolves "IP:+N" to the port `first_port` + N; other values are unchanged.
  std::string resolve_port(const std::string& value) const {
    const std::size_t plus = value.find(":+");
    if (plus == std::string::npos) return value;
    const std::uint64_t n =
        std::strtoull(value.c_str() + plus + 2, nullptr, 10);
    return value.substr(0, plus + 1) + std::to_string(first_port_ + n);
  }

  std::string read_address(object_reader& reader, const char* key) {
    std::string value = resolve_port(reader.text(key));
    if (value.empty() || config::is_address(value)) return value;
    problems_.add(reader.raw(key), reader.path_of(key),
                  "\"" + value + "\" is not an address",
                  "write IP:PORT, for example \"127.0.1.1:8000\"");
    return value;
  }

  void read_addresses(object_reader& outer) {
    const json& value = outer.raw("addresses");
    object_reader reader(value, "addresses", problems_);
    const auto read_optional_address = [this, &reader](const char* key) {
      const bool given = !reader.raw(key).isNull();
      return given ? read_address(reader, key) : std::string();
    };
    if (out_.gateway) {
      out_.callers_address = read_address(reader, "callers");
      out_.forwards_address = read_address(reader, "forwards");
    } else {
      out_.callers_address = read_optional_address("callers");
      out_.forwards_address = read_optional_address("forwards");
    }
    out_.operators_address = read_address(reader, "operators");
    out_.peers_address = read_address(reader, "peers");
    out_.readiness_address = read_optional_address("readiness");
    out_.directory_address = read_optional_address("directory");
    out_.orders_address = read_optional_address("orders");
    reader.finish();
    std::set<std::string> seen;
    for (const std::string& it :
         {out_.callers_address, out_.forwards_address, out_.operators_address,
          out_.peers_address, out_.readiness_address, out_.directory_address,
          out_.orders_address}) {
      if (it.empty() || seen.insert(it).second) continue;
      problems_.add(value, "addresses", it + " is used twice",
                    "give each interface an address of its own");
    }
  }

  void read_advertised(object_reader& outer) {
    out_.advertised_callers = out_.callers_address;
    out_.advertised_forwards = out_.forwards_address;
    out_.advertised_peers = out_.peers_address;
    const json& value = outer.raw("advertised");
    if (value.isNull()) return;
    object_reader reader(value, "advertised", problems_);
    const auto read = [this, &reader](const char* key, std::string& target) {
      if (!reader.raw(key).isNull()) target = read_address(reader, key);
    };
    read("callers", out_.advertised_callers);
    read("forwards", out_.advertised_forwards);
    read("peers", out_.advertised_peers);
    reader.finish();
  }

  void read_control_nodes(object_reader& outer) {
    for (const json& it : outer.objects_or_empty("control_nodes")) {
      object_reader reader(it, "control_nodes", problems_);
      control_node one;
      one.name = reader.text("node");
      one.address = read_address(reader, "address");
      reader.finish();
      out_.control_nodes.push_back(one);
    }
    const bool has_seeds =
        !outer.raw("seeds").isNull() && !outer.texts_or_empty("seeds").empty();
    if (out_.control_nodes.empty() && !has_seeds) {
      problems_.add(outer.raw("control_nodes"), "control_nodes",
                    "no control node is named",
                    "list the name and the peer address of each (the first "
                    "one founds the group), or set seeds");
    }
  }

  void read_seeds(object_reader& reader) {
    out_.seeds = reader.texts_or_empty("seeds");
    // The seeds may be given by the address of another interface; `seeds_port`
    // then replaces the port.
    const std::string port = reader.text_or("seeds_port", "");
    for (std::string& it : out_.seeds) {
      if (port.empty()) continue;
      it = resolve_port(it.substr(0, it.rfind(':') + 1) + port);
    }
    for (const std::string& it : out_.seeds) {
      if (config::is_address(it)) continue;
      problems_.add(reader.raw("seeds"), "seeds",
                    "\"" + it + "\" is not an address", "write IP:PORT");
    }
  }

  void read_operators(object_reader& outer) {
    for (const json& it : outer.objects_or_empty("operators")) {
      object_reader reader(it, "operators", problems_);
      operator_account one;
      one.name = reader.text("name");
      one.role = reader.choice_or_first("role", {"read", "change", "found"});
      one.token_sha256 = reader.text("token_sha256");
      reader.finish();
      out_.operators.push_back(one);
    }
  }

  void read_platform(object_reader& outer) {
    const json& value = outer.raw("platform");
    if (value.isNull()) return;
    object_reader reader(value, "platform", problems_);
    out_.platform_address = read_address(reader, "address");
    out_.timing.platform_poll_interval =
        reader.duration_or("poll_interval", out_.timing.platform_poll_interval);
    out_.timing.platform_list_lag =
        reader.duration_or("list_lag", out_.timing.platform_list_lag);
    reader.finish();
  }

  void read_log(object_reader& outer) {
    const json& value = outer.raw("log");
    if (value.isNull()) return;
    object_reader reader(value, "log", problems_);
    const std::string level =
        reader.choice_or_first("level", {"info", "debug", "warn", "error"});
    if (level == "debug") out_.min_log_level = log_level::debug;
    if (level == "warn") out_.min_log_level = log_level::warn;
    if (level == "error") out_.min_log_level = log_level::error;
    out_.log_file = reader.text_or("file", "");
    reader.finish();
  }

  void read_limits(object_reader& outer) {
    const json& value = outer.raw("limits");
    if (value.isNull()) return;
    constexpr std::uint64_t max_limit = 1'000'000;
    object_reader reader(value, "limits", problems_);
    out_.queue_capacity =
        reader.number_or("queue_capacity", out_.queue_capacity, 1, max_limit);
    out_.snapshot_every =
        reader.number_or("snapshot_every", out_.snapshot_every, 10, max_limit);
    out_.memory_limit =
        bytes_per_megabyte *
        reader.number_or("memory_mb", 0, min_memory_mb, max_limit);
    reader.finish();
  }

  void read_timing(object_reader& outer) {
    const json& value = outer.raw("timing");
    if (value.isNull()) return;
    object_reader reader(value, "timing", problems_);
    timing_settings& timing = out_.timing;
    const auto read = [&reader](const char* key,
                                std::chrono::milliseconds& target) {
      target = reader.duration_or(key, target);
    };
    read("election_timeout", timing.election_timeout);
    read("heartbeat_interval", timing.heartbeat_interval);
    read("poll_interval", timing.poll_interval);
    read("load_poll_interval", timing.load_poll_interval);
    read("connection_silence", timing.connection_silence);
    read("drain_timeout", timing.drain_timeout);
    read("drain_grace", timing.drain_grace);
    read("directory_lifetime", timing.directory_lifetime);
    read("config_lease", out_.state.config_lease);
    read("startup_wait", out_.state.startup_wait);
    read("endpoint_ramp", out_.endpoints.ramp);
    read("first_ejection", out_.endpoints.first_ejection);
    read("longest_ejection", out_.endpoints.max_ejection);
    reader.finish();
    if (out_.state.config_lease < 2 * timing.poll_interval) {
      problems_.add(value, "timing.config_lease",
                    "it is shorter than two poll_intervals",
                    "make config_lease longer, or poll_interval shorter");
    }
  }

  void read_policy(object_reader& outer) {
    const json& value = outer.raw("policy");
    if (value.isNull()) return;
    object_reader reader(value, "policy", problems_);
    const std::string kind = reader.choice_or_first(
        "regions", {"weighed", "home_only", "round_robin", "least_load"});
    using routing::policy;
    if (kind == "home_only") out_.region_choice.kind = policy::home_only;
    if (kind == "round_robin") out_.region_choice.kind = policy::round_robin;
    if (kind == "least_load") out_.region_choice.kind = policy::least_load;
    out_.region_choice.cold_cost =
        reader.duration_or("cold_cost", out_.region_choice.cold_cost);
    reader.finish();
  }

  problem_list problems_;
  settings out_;
  std::uint64_t first_port_ = 0;
};

}  // namespace

result<settings> parse_settings(const std::string& text,
                                const std::string& file) {
  const result<json> document = parse_json(text, json_comments::allow);
  if (!document) {
    return fail(error_kind::bad_settings,
                file + ": " + document.error().message, settings_remedy);
  }
  settings_reader reader(text);
  settings out = reader.read(*document);
  if (!reader.problems().empty()) {
    return fail(error_kind::bad_settings, reader.problems().to_text(file),
                settings_remedy);
  }
  return out;
}

result<settings> load_settings(const std::string& file) {
  if (!std::filesystem::exists(file)) {
    return fail(error_kind::bad_settings, "there is no file " + file,
                "give the settings file with --settings FILE");
  }
  result<settings> out = parse_settings(read_file(file), file);
  if (!out) return out;
  const result<void> checked = check_environment(*out, file);
  if (!checked) return tl::make_unexpected(checked.error());
  return out;
}

result<void> check_environment(settings& value, const std::string& file) {
  problem_list problems;
  const json no_position;
  if (!value.data_folder.empty()) {
    std::error_code ec;
    std::filesystem::create_directories(value.data_folder, ec);
    if (ec || ::access(value.data_folder.c_str(), W_OK) != 0) {
      problems.add(
          no_position, "data_folder", value.data_folder + " is not writable",
          "create it and make it writable for the user of this process");
    }
  }
  std::string secret = read_file(value.peer_secret);
  while (!secret.empty() &&
         std::isspace(static_cast<unsigned char>(secret.back())) != 0) {
    secret.pop_back();
  }
  if (secret.size() < min_secret_size) {
    problems.add(no_position, "peer_secret_file",
                 value.peer_secret + " has no secret of at least 16 characters",
                 "write the same random text into this file on all nodes");
  }
  value.peer_secret = secret;
  if (!problems.empty()) {
    return fail(error_kind::bad_settings, problems.to_text(file),
                settings_remedy);
  }
  return {};
}

}  // namespace trestlepost::node
