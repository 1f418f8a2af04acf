#pragma once

#include <arbutuscrank/core/steering.hpp>

/// \file
/// \brief Functions shared by the source files of the steering topic.

namespace arbutuscrank::steering {

// --- Look-up table (steering_table.cpp) ------------------------------------------------------------------------------

/// Converts the client blocks and ranked sites of the active document if they changed.
void refreshClients(State& state);

/// Compares the quota holders of the next \p maxAccounts accounts with those of the table.
void refreshHolders(State& state, std::size_t maxAccounts);

/// Builds the table from the current members and publishes it if it changed and the rate limit allows it.
void refreshTable(State& state, Context& context);

// --- Loads (steering_regions.cpp) ------------------------------------------------------------------------------------

/// Recomputes the load of every region from its owners' reports.
void refreshLoads(State& state);

/// Whether a region reported slots and at least \ref shiftReservePercent of them are free.
[[nodiscard]] bool hasHeadroom(const State& state, std::string_view service, std::string_view region);

// --- Plan (steering_plan.cpp) ----------------------------------------------------------------------------------------

/// Reads, watches or writes the plan, depending on whether this daemon is the planner.
void tickPlan(State& state, Context& context);

// Handlers of the store's answers.
void handlePlanRead(State& state, const ObjectRead& event, Context& context);
void handlePlanWritten(State& state, const ObjectWritten& event, Context& context);
void handlePlanCallFailed(State& state, const StoreCallFailed& event, Context& context);

} // namespace arbutuscrank::steering
