#pragma once

#include <arbutuscrank/entry/state.hpp>

/// \file
/// \brief Reducers of the entry VM, one overload for each event.

namespace arbutuscrank::entry {

using Effects = std::vector<EntryEffect>;

void apply(EntryState& state, const RequestArrived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const CallerDisconnected& event, TimePoint now, Effects& out);
void apply(EntryState& state, const AttemptAnswered& event, TimePoint now, Effects& out);
void apply(EntryState& state, const AttemptFailed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const RequestExpired& event, TimePoint now, Effects& out);
void apply(EntryState& state, const AdmissionTimedOut& event, TimePoint now, Effects& out);
void apply(EntryState& state, const HedgeDue& event, TimePoint now, Effects& out);
void apply(EntryState& state, const PolicyRead& event, TimePoint now, Effects& out);
void apply(EntryState& state, const PolicyConfirmed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const TargetsListed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const TargetChanged& event, TimePoint now, Effects& out);
void apply(EntryState& state, const TargetRemoved& event, TimePoint now, Effects& out);
void apply(EntryState& state, const EvacuationsChanged& event, TimePoint now, Effects& out);
void apply(EntryState& state, const EvacuationRecordsChanged& event, TimePoint now, Effects& out);
void apply(EntryState& state, const MembersListed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const MemberChanged& event, TimePoint now, Effects& out);
void apply(EntryState& state, const MemberRemoved& event, TimePoint now, Effects& out);
void apply(EntryState& state, const FeedFailed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const StoreEraRead& event, TimePoint now, Effects& out);
void apply(EntryState& state, const StoreFailed& event, TimePoint now, Effects& out);
void apply(EntryState& state, const StoreAnswered& event, TimePoint now, Effects& out);
void apply(EntryState& state, const VmReportReceived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const DomainReportReceived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const DigestReceived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const AdmissionRequestReceived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const AdmissionDecisionReceived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const TokenReturnReceived& event, TimePoint now, Effects& out);
void apply(EntryState& state, const Tick& event, TimePoint now, Effects& out);
void apply(EntryState& state, const StopRequested& event, TimePoint now, Effects& out);

/// \brief Logs that a target has become cold, unless it was cold before.
/// \param cause how this VM learned of it, as in docs/log-events.md
/// \returns whether it has
bool logIfTurnedCold(const Target& target, bool wasCold, std::string_view cause, TimePoint now, Effects& out);

/// \brief Logs that a target has become limited or unlimited.
/// \param before its limit before the change
/// \param cause how this VM learned of it, as in docs/log-events.md
void logIfLimitChanged(
    const Target& target, std::optional<double> before, std::string_view cause, TimePoint now, Effects& out);

/// \brief Applies a reading of the evacuated failure domains unless a newer one has been applied.
void adoptEvacuations(EntryState& state, const EvacuationReading& reading, TimePoint now, Effects& out);

/// \brief Stops requests to the targets of evacuated failure domains: those that were read, and those that are held
/// from an earlier era of the store. Targets of others that were evacuated before turn cold. \returns whether the set
/// has changed
bool updateEvacuated(EntryState& state, TimePoint now, Effects& out);

/// \brief The newest reading, with the evacuations held from an earlier era, for messages to other VMs.
[[nodiscard]] EvacuationReading evacuationsToReport(const EntryState& state, TimePoint now);

/// \brief Applies a rise of the store's era. The first era that becomes known is not a rise.
void raiseStoreEra(EntryState& state, StoreEra era, TimePoint now, Effects& out);

/// \brief Gives up what was kept from an earlier era once its time is over.
void releaseEarlierEra(EntryState& state, TimePoint now, Effects& out);

/// \brief Treats targets as cold whose failure domain was evacuated until lately, according to the records in the
/// store.
void applyEvacuationRecords(EntryState& state, TimePoint now, Effects& out);

/// \brief As the responsible coordinator, requests the records of evacuations that are missing in the store, and the
/// removal of those whose targets are warm again.
void maintainEvacuationRecords(EntryState& state, TimePoint now, Effects& out);

/// \brief Whether this VM is the coordinator that acts for the whole fleet: that of the first reachable failure domain
/// by name.
[[nodiscard]] bool coordinatesFleet(const EntryState& state, TimePoint now);

/// \brief Updates whether targets may be cold without this VM's knowledge, and logs a change.
void updateColdnessKnowledge(EntryState& state, TimePoint now, Effects& out);

/// \brief Repeats the election of the failure domain's coordinator.
void updateCoordination(EntryState& state, TimePoint now, Effects& out);

/// \brief What the demand of the whole fleet consists of, as last reported; empty if the report is too old.
[[nodiscard]] ServiceMixes fleetMixes(const EntryState& state, TimePoint now);

/// \brief Shares the room of each service by the reported work and the targets in service, and logs the beginning and
/// the end of sharing.
/// \param elapsedSeconds time since the last update
void updateRoomSharing(EntryState& state, double elapsedSeconds, TimePoint now, Effects& out);

/// \brief Sends this VM's reports immediately: to its coordinator, or as coordinator to the other coordinators and to
/// the VMs of its failure domain.
void sendReports(EntryState& state, TimePoint now, Effects& out);

/// \brief Sends reports ahead of the regular interval, unless the last report is less than 50 ms old.
void sendEarlyReports(EntryState& state, TimePoint now, Effects& out);

/// \brief Longest uptime of the store as last reported by the other VMs. If this VM is not the coordinator, its own
/// reports are included. Zero if there is no recent report.
[[nodiscard]] Duration storeUptimeElsewhere(const EntryState& state, TimePoint now);

} // namespace arbutuscrank::entry
