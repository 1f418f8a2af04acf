#pragma once

#include <arbutuscrank/core/state.hpp>

/// \file
/// \brief Updates of member records, heartbeats, VM list calls and roles: functions that the source files of the topic
/// "membership" share.

namespace arbutuscrank::membership::detail {

/// \brief Logs a change, raises \ref MemberChanged and marks the roles as outdated.
void publishChange(State& state, const MemberRecord& record, MemberChange change, Context& context);

/// \brief Returns the record of a VM and adds one if there is none.
MemberRecord& findOrAddRecord(State& state, const VmId& vm);

/// \brief Resets the record of a VM for a newer incarnation, or for incarnation 0 when a VM that was gone is listed
/// again, and publishes \ref MemberChange::Joined.
void resetForIncarnation(State& state, MemberRecord& record, Incarnation incarnation, Context& context);

/// \brief Marks the member as leaving if a heartbeat or the VM list says so, otherwise as not leaving. Publishes
/// \ref MemberChange::Leaving, or \ref MemberChange::Trusted if a member that is not suspected stops leaving.
void updateLeaving(State& state, MemberRecord& record, Context& context);

/// \brief Sets region, failure domain and addresses. Empty strings change nothing.
void updateLocation(State& state, MemberRecord& record, const Member& member);

/// \brief Sends a heartbeat to one member.
void sendHeartbeat(State& state, MemberRecord& record, Context& context);

/// \brief Sends a heartbeat to every peer, and to every member whose last heartbeat is not older than
/// \ref suspicionTime.
void sendHeartbeats(State& state, Context& context);

/// \brief Interval between two calls for the VM list. It grows with the number of members.
[[nodiscard]] Duration listCallInterval(const State& state) noexcept;

/// \brief Abandons a VM list call that has timed out, and starts the next one when it is due.
void callForListIfDue(State& state, Context& context);

/// \brief Computes relays and peers again if they are outdated, and emits \ref SetPeers if the peers differ.
void refreshRoles(State& state, Context& context);

} // namespace arbutuscrank::membership::detail
