#include "node.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "connections/connection_options.h"
#include "control_service.h"
#include "crash_reporter.h"
#include "heartbeat_service.h"
#include "ledger_service.h"
#include "loop/tick_monitor.h"
#include "memory/memory_limit.h"
#include "memory/memory_monitor.h"
#include "metrics/node_gauges.h"
#include "node_context.h"
#include "operator_service.h"
#include "planned_stop.h"
#include "probe_service.h"
#include "routed_gateway.h"
#include "settings_watch.h"
#include "start/node_resources.h"
#include "trestlepost/gateway/entry_handler.h"
#include "trestlepost/gateway/forward_handler.h"
#include "watch_client.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;

constexpr milliseconds tick_interval{25};
constexpr milliseconds connection_check_interval{1000};
// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries confirm_buckets{
    0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};

membership::node_info info_of(const settings& options,
                              std::uint64_t incarnation) {
  membership::node_info out;
  out.name = options.node;
  out.incarnation = incarnation;
  out.region = options.region;
  out.availability_zone = options.availability_zone;
  if (options.gateway) {
    out.caller_address = options.advertised_callers;
    out.forward_address = options.advertised_forwards;
  }
  out.peer_address = options.advertised_peers;
  out.control = options.control;
  out.durable = !options.data_folder.empty();
  return out;
}

gateway::gateway_options gateway_options_of(const settings& options) {
  gateway::gateway_options out;
  out.queue_capacity = options.queue_capacity;
  out.region_choice = options.region_choice;
  return out;
}

}  // namespace

/// The services of the node. Services refer to those declared before them.
struct node::implementation {
  implementation(settings o, node_resources& resources, std::string file);

  result<void> start();
  membership::heartbeat make_heartbeat();
  void declare_endpoints();
  /// Connects the crash monitor of this gateway with the control nodes: sends
  /// them its reports and receives suspected requests and proposed holds.
  void connect_crash_reports();
  result<void> listen_all();
  bool routed() const { return options.surface == surface_kind::platform; }
  void reload_if_changed(bool at_once);
  void apply_settings(const settings& next);
  awaitable<void> run_ticks();
  awaitable<void> wait_for_signals();
  /// Closes idle connections to endpoints and nodes that are gone.
  void close_unusable_connections(monotonic_time now);

  settings options;
  node_resources& resources;
  /// Pays for what callers, operators and endpoints make this node hold.
  std::shared_ptr<memory_budget> memory;
  settings_watch file_watch;
  transport::asio::io_context io{1};
  boost::asio::signal_set signals{io};
  config::object_store store;
  membership::node_state state;
  membership::node_table nodes;
  membership::endpoint_tracker endpoints;
  transport::rpc_dispatcher peer_dispatcher;
  transport::peer_links links;
  transport::peer_server peer_server;
  transport::http_client client;
  node_context context;
  std::shared_ptr<prometheus::Registry> registry;
  memory_monitor memory_use;
  tick_monitor ticks;
  gateway::gateway_metrics metrics;
  ledger_service ledger;
  gateway::gateway_context gateway;
  gateway::crash_monitor crashes;
  crash_reporter crash_reports;
  gateway::local_service local;
  gateway::forwarder remote;
  gateway::entry_handler entries;
  gateway::forward_handler forwards;
  std::unique_ptr<control_service> control;
  watch_client watch;
  heartbeat_service heartbeats;
  probe_service probes;
  operator_service operators;
  routed_gateway routed_services;
  transport::http_server entry_server;
  transport::http_server forward_server;
  transport::http_server operator_server;
  transport::http_server order_server;
  transport::http_server directory_server;
  transport::http_server readiness_server;
  planned_stop stop;
  node_gauges gauges;
  prometheus::Histogram& confirm_seconds;
  std::uint64_t sequence = 0;
  monotonic_time next_connection_check;
};

node::implementation::implementation(settings o, node_resources& b,
                                     std::string file)
    : options(std::move(o)),
      resources(b),
      memory(std::make_shared<memory_budget>(
          memory_limit_of(options.memory_limit))),
      file_watch(std::move(file)),
      state(*resources.node_chart, options.state, resources.clock.now()),
      endpoints(*resources.endpoint_chart, options.endpoints),
      links(io, options.peer_secret, peer_options_of(options)),
      peer_server(io, options.peer_secret, peer_dispatcher, resources.random,
                  {}),
      client(io, client_options_of(options)),
      context{io,
              options,
              resources.clock,
              resources.random,
              info_of(options, resources.incarnation),
              store,
              state,
              nodes,
              endpoints,
              links,
              peer_dispatcher,
              client,
              {},
              {},
              {}},
      registry(std::make_shared<prometheus::Registry>()),
      memory_use(memory, *registry),
      ticks(*registry),
      metrics(*registry),
      ledger(context),
      gateway{io,
              resources.clock,
              resources.random,
              store,
              context.self,
              state,
              nodes,
              endpoints,
              client,
              metrics,
              ledger,
              options.peer_secret,
              gateway_options_of(options),
              context.round_trips,
              context.stop,
              memory},
      crashes(gateway),
      crash_reports(context),
      local(gateway, crashes),
      remote(gateway),
      entries(gateway, local, remote),
      forwards(gateway, local),
      control(options.control ? std::make_unique<control_service>(context)
                              : nullptr),
      watch(context, [this] { return make_heartbeat(); }),
      heartbeats(context, [this] { return make_heartbeat(); }),
      probes(context),
      operators(context, control.get(), watch, ledger, local, *registry),
      routed_services(context, gateway, crashes, control.get(), forwards),
      entry_server(io,
                   routed() ? static_cast<transport::http_handler&>(
                                  routed_services.entry())
                            : entries,
                   server_options(memory)),
      forward_server(io, routed_services.forwards(),
                     forward_server_options(memory)),
      operator_server(io, operators, document_server_options(memory)),
      order_server(io, routed_services.orders(),
                   document_server_options(memory)),
      directory_server(io, routed_services.directory(),
                       query_server_options(memory)),
      readiness_server(io, routed_services.readiness(),
                       query_server_options(memory)),
      stop(context, {heartbeats,
                     ledger,
                     routed_services.entry(),
                     {&entry_server, &forward_server, &operator_server,
                      &order_server, &directory_server, &readiness_server}}),
      gauges(*registry, {context, control.get(), ticks, ledger, routed_services,
                         peer_server}),
      confirm_seconds(prometheus::BuildHistogram()
                          .Name("trestlepost_configuration_confirm_seconds")
                          .Help("From a decision until all watchers hold it.")
                          .Register(*registry)
                          .Add({}, confirm_buckets)) {
  // Higher than any sequence number sent before a restart, so that peers accept
  // the new heartbeats as newer.
  sequence = static_cast<std::uint64_t>(to_unix_ms(resources.clock.wall_now()));
}

membership::heartbeat node::implementation::make_heartbeat() {
  membership::heartbeat out;
  out.node = context.self;
  out.sequence = ++sequence;
  out.state = state.name();
  out.revision = store.revision();
  out.endpoint_in_flight = endpoints.own_in_flight();
  out.reports = probes.reports();
  for (const auto& [name, it] : store.services()) {
    out.services[name] = local.queue().load_of(name);
  }
  if (routed()) routed_services.add_loads(out);
  return out;
}

void node::implementation::declare_endpoints() {
  if (routed()) return;  // endpoints come from the platform's list
  std::vector<membership::endpoint_tracker::declared_endpoint> own;
  for (const auto& [name, it] : store.endpoints()) {
    if (it->region != options.region) continue;
    own.push_back({name, it->service, it->address, it->slots, it->drained});
  }
  endpoints.declare(own, resources.clock.now());
}

void node::implementation::connect_crash_reports() {
  crashes.on_crash = [this](const routing::crash_report& it) {
    crash_reports.report_crash(it);
  };
  crashes.on_success = [this](const std::string& fingerprint,
                              monotonic_time at) {
    crash_reports.report_success(fingerprint, at);
  };
  peer_dispatcher.add_notification(
      "crash.suspects",
      [this](const json& params, const transport::rpc_context&) {
        crashes.add_suspects(texts_of(params, "fingerprints"));
      });
  peer_dispatcher.add_notification(
      "crash.condemned",
      [this](const json& params, const transport::rpc_context&) {
        crashes.add_proposed_holds(texts_of(params, "fingerprints"));
      });
  peer_dispatcher.add_notification(
      "crash.withdrawn",
      [this](const json& params, const transport::rpc_context&) {
        crashes.withdraw_holds(texts_of(params, "fingerprints"));
      });
}

result<void> node::implementation::start() {
  if (control) {
    control->set_on_confirmed([this](milliseconds taken) {
      confirm_seconds.Observe(std::chrono::duration<double>(taken).count());
    });
    result<void> started = control->start();
    if (!started) return started;
  }
  links.set_on_connection_lost([this](const std::string& address) {
    log_event(log_level::info, "peer-connection-lost", {{"peer", address}});
    if (control) control->connection_lost(address);
  });
  peer_server.set_on_peer_reconnected(
      [this](const std::string& address) { links.reconnect(address); });
  watch.on_changed = [this] {
    declare_endpoints();
    if (routed()) routed_services.apply_plan(entry_server);
  };
  heartbeats.on_region_loads = [this](const membership::endpoint_sums& it) {
    routed_services.apply_region_sums(it);
  };
  operators.on_drain = [this] { stop.begin(); };
  connect_crash_reports();
  watch.start();
  ledger.start();
  heartbeats.start();
  operators.start();
  routed_services.start();
  declare_endpoints();
  if (routed()) routed_services.apply_plan(entry_server);
  signals.add(SIGTERM);
  signals.add(SIGINT);
  signals.add(SIGHUP);
  result<void> opened = listen_all();
  if (!opened) return opened;
  file_watch.start();
  boost::asio::co_spawn(io, run_ticks(), boost::asio::detached);
  boost::asio::co_spawn(io, wait_for_signals(), boost::asio::detached);
  log_event(log_level::info, "node-started",
            {{"revision", std::to_string(store.revision())}});
  return {};
}

result<void> node::implementation::listen_all() {
  result<void> opened = peer_server.listen(options.peers_address);
  const auto open = [&opened](transport::http_server& server,
                              const std::string& address) {
    if (opened && !address.empty()) opened = server.listen(address);
  };
  open(operator_server, options.operators_address);
  if (options.gateway) {
    open(entry_server, options.callers_address);
    open(forward_server, options.forwards_address);
  }
  if (routed()) {
    open(readiness_server, options.readiness_address);
    open(directory_server, options.directory_address);
    if (control) open(order_server, options.orders_address);
  }
  return opened;
}

awaitable<void> node::implementation::run_ticks() {
  // Uses std::steady_clock, like the timers of the operating system. After a
  // suspension of the VM all timers of the node's own clock may be overdue, and
  // none of them wakes the event loop. This timer does, and the others expire
  // with it.
  boost::asio::steady_timer timer(io);
  monotonic_time due = resources.clock.now();
  while (!stop.ended()) {
    const monotonic_time now = resources.clock.now();
    ticks.record(due, now);
    memory_use.tick(now);
    client.cancel_expired(now);
    close_unusable_connections(now);
    reload_if_changed(false);
    state.tick(now, store.revision() > 0);
    if (control) control->tick();
    watch.tick();
    const auto founding = watch.ledgers().find(options.region);
    if (founding != watch.ledgers().end() && options.gateway) {
      ledger.start_replica(founding->second);
    }
    ledger.tick();
    heartbeats.tick();
    crashes.tick();
    crash_reports.tick();
    if (!routed()) probes.tick();
    routed_services.tick();
    endpoints.tick(now);
    local.queue().dispatch_all();
    operators.tick();
    gauges.collect();
    due = resources.clock.now() + tick_interval;
    timer.expires_after(tick_interval);
    boost::system::error_code ec;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
}

void node::implementation::close_unusable_connections(monotonic_time now) {
  if (now < next_connection_check) return;
  next_connection_check = now + connection_check_interval;
  client.close_unusable(now);
}

awaitable<void> node::implementation::wait_for_signals() {
  while (!stop.ended()) {
    boost::system::error_code ec;
    const int signal = co_await signals.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec) co_return;
    if (signal == SIGHUP) {
      reload_if_changed(true);
    } else {
      stop.begin();
    }
  }
}

void node::implementation::reload_if_changed(bool at_once) {
  if (!file_watch.changed(resources.clock.now(), at_once)) return;
  const result<settings> next = load_settings(file_watch.file());
  if (!next) {
    log_event(
        log_level::error, "settings-refused",
        {{"detail", next.error().message}, {"remedy", next.error().remedy}});
    return;
  }
  apply_settings(*next);
  log_event(log_level::info, "settings-reloaded");
}

void node::implementation::apply_settings(const settings& next) {
  // The node's identity, addresses and data folder change only by a restart.
  options.seeds = next.seeds;
  options.operators = next.operators;
  options.platform_address = next.platform_address;
  options.zone_regions = next.zone_regions;
  options.timing = next.timing;
  options.tolerated_losses = next.tolerated_losses;
  options.min_log_level = next.min_log_level;
  options.memory_limit = next.memory_limit;
  memory->set_process_limit(memory_limit_of(next.memory_limit));
  set_log_level(next.min_log_level);
}

node::node(settings options, std::string file)
    : options_(std::move(options)), file_(std::move(file)) {}

node::~node() = default;

result<void> node::start() {
  resources_ = std::make_unique<node_resources>();
  result<void> prepared = resources_->prepare(options_);
  if (!prepared) return prepared;
  implementation_ =
      std::make_unique<implementation>(options_, *resources_, file_);
  return implementation_->start();
}

void node::run() {
  implementation_->io.run();
}

}  // namespace trestlepost::node
