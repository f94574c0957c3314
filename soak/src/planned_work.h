// Planned work on the nodes of a soak: stops and reloads that overlap.
#pragma once

#include <chrono>
#include <cstdint>

#include "deployment.h"
#include "stop_record.h"

namespace trestlepost::soak {

/// Draws `drain_timeout`, `drain_grace` and the slots of endpoints from a seed.
void draw_stop_settings(std::uint64_t seed,
                        platform::test::deployment_options& out);

/// Stops up to a third of the entries and one control node at a time, and
/// reloads any node. All work begins within `span`; returns when all nodes run
/// again.
void run_planned_work(platform::test::deployment& target,
                      const std::vector<std::string>& control_nodes,
                      std::chrono::milliseconds span, std::uint64_t seed,
                      stop_record& record);

}  // namespace trestlepost::soak
