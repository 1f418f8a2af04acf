#pragma once

#include <arbutuscrank/entry/state.hpp>

/// \file
/// \brief Sub-reducers of the entry, one overload for each event.

namespace arbutuscrank::entry {

using Effects = std::vector<EntryEffect>;

void apply(EntryState& state, const RequestArrived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const CallerLeft& event, TimePoint now, Effects& out);
void apply(EntryState& state, const AttemptAnswered& event, TimePoint now, Effects& out);
void apply(EntryState& state, const AttemptFailed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const RequestExpired& event, TimePoint now, Effects& out);
void apply(EntryState& state, const HedgeDue& event, TimePoint now, Effects& out);
void apply(EntryState& state, const PolicyRead& event, TimePoint now, Effects& out);
void apply(EntryState& state, const PolicyConfirmed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const TargetsListed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const TargetChanged& event, TimePoint now, Effects& out);
void apply(EntryState& state, const TargetRemoved& event, TimePoint now, Effects& out);
void apply(EntryState& state, const EvacuationsChanged& event, TimePoint now, Effects& out);
void apply(EntryState& state, const MembersListed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const MemberChanged& event, TimePoint now, Effects& out);
void apply(EntryState& state, const MemberRemoved& event, TimePoint now, Effects& out);
void apply(EntryState& state, const StoreFailed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const StoreAnswered& event, TimePoint now, Effects& out);
void apply(EntryState& state, const ReportReceived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const Tick& event, TimePoint now, Effects& out);
void apply(EntryState& state, const StopRequested& event, TimePoint now, Effects& out);

/// \brief Sends a report if the last one is not too recent: an account waits for an exchange.
void sendEarlyReport(EntryState& state, TimePoint now, Effects& out);

/// \brief Sends a report to the other VMs at once.
void sendReport(EntryState& state, TimePoint now, Effects& out);

} // namespace arbutuscrank::entry
