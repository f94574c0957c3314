#include "metrics/node_gauges.h"

#include <chrono>
#include <optional>

namespace trestlepost::node {

node_gauges::node_gauges(prometheus::Registry& registry, gauge_sources sources)
    : gauges_(prometheus::BuildGauge()
                  .Name("trestlepost_node")
                  .Help("State of this node, by what is measured.")
                  .Register(registry)),
      sources_(sources) {}

void node_gauges::set(const char* what, double value) {
  gauges_.Add({{"what", what}}).Set(value);
}

void node_gauges::collect() {
  collect_state();
  collect_control();
  collect_traffic();
}

void node_gauges::collect_state() {
  const node_context& context = sources_.context;
  const config::object_store& store = context.store;
  set("configuration_revision", static_cast<double>(store.revision()));
  const std::optional<monotonic_time> confirmed_at =
      context.state.last_confirmed_at();
  if (confirmed_at) {
    const std::chrono::duration<double, std::milli> age =
        context.clock.now() - *confirmed_at;
    set("configuration_age_ms", age.count());
  }
  set("evacuated_zones", static_cast<double>(store.evacuated_zones().size()));
  set("ready", context.state.crosses_regions() ? 1 : 0);
  set("isolated", context.state.is(membership::node_states::isolated) ? 1 : 0);
  set("longest_turn_ms", static_cast<double>(sources_.ticks.longest().count()));
  set("idle_connections",
      static_cast<double>(context.client.idle_connections()));
  set("ledger_records", static_cast<double>(sources_.ledger.records()));
  set("platform_entries_unreadable",
      static_cast<double>(sources_.routed_services.unreadable_entries()));
}

void node_gauges::collect_control() {
  const control_service* control = sources_.control;
  set("leads_configuration", control != nullptr && control->leads() ? 1 : 0);
  set("configurations_sent",
      control != nullptr ? static_cast<double>(control->updates_sent()) : 0);
  if (control == nullptr) return;
  const control_counters& counters = control->counters();
  set("polls_received", static_cast<double>(counters.polls));
  set("polls_forwarded_here", static_cast<double>(counters.forwarded_polls));
  set("polls_passed_on", static_cast<double>(counters.passed_on));
  set("polls_answered", static_cast<double>(counters.answers));
  set("directory_entries_sent",
      static_cast<double>(counters.directory_entries));
  set("lease_lapses", static_cast<double>(counters.lease_lapses));
}

void node_gauges::collect_traffic() {
  const transport::peer_links& links = sources_.context.links;
  const transport::peer_traffic& sent = links.traffic();
  const transport::peer_traffic& received = sources_.peer_server.traffic();
  set("peer_bytes_sent", static_cast<double>(sent.bytes_sent));
  set("peer_bytes_queued", static_cast<double>(links.queued_bytes()));
  set("peer_bytes_received", static_cast<double>(received.bytes_received));
  set("peer_messages_dropped", static_cast<double>(sent.messages_dropped));
  set("peer_frames_too_large", static_cast<double>(received.oversized_refused));
  set("peer_strangers_refused",
      static_cast<double>(received.unauthenticated_refused));
}

}  // namespace trestlepost::node
