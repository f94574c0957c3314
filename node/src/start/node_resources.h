// What a node loads from files before its services are built.
#pragma once

#include <cstdint>
#include <optional>

#include "settings.h"
#include "trestlepost/base/clock.h"
#include "trestlepost/base/random.h"
#include "trestlepost/charts/chart.h"
#include "trestlepost/consensus/file_storage.h"

namespace trestlepost::node {

/// Resources that the services of a node use and whose loading may fail: the
/// clock, the charts, the lock of the data folder and the incarnation.
struct node_resources {
  result<void> prepare(const settings& options);

  system_clock_source clock;
  system_random random;
  std::optional<consensus::unique_fd> folder_lock;
  std::uint64_t incarnation = 0;
  std::optional<charts::chart> node_chart;
  std::optional<charts::chart> endpoint_chart;
};

}  // namespace trestlepost::node
