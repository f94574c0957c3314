// Prompts of the soak's requests, some with a part that crashes endpoints, and
// the check that requests with it are held.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

#include "deployment.h"
#include "schedule.h"
#include "soak_run.h"

namespace trestlepost::soak {

/// Makes endpoints crash by requests with one of the lethal parts.
void begin_crashes(platform::test::deployment& target);

/// Adds a prompt to a request, of a few parts that many requests share and one
/// of its own. One in some dozens gets a lethal part too, and a path of its
/// own. Returns whether it did.
bool add_prompt(bench::caller_request& out, std::uint64_t number,
                std::mt19937_64& random);

/// Checks that gateways in touch sent at most three requests with a lethal part
/// later than the contact time after its fifth crash, and that no sound part is
/// held. `start`: when the schedule began.
void check_parts(platform::test::deployment& target,
                 const std::vector<fault>& schedule,
                 std::chrono::steady_clock::time_point start, soak_result& out);

}  // namespace trestlepost::soak
