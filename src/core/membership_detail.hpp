#pragma once

#include <arbutuscrank/core/state.hpp>

/// \file
/// \brief What the source files of the topic "membership" share.

namespace arbutuscrank::membership::detail {

/// \brief Raises a \ref MemberChanged, logs it and has roles computed again.
void report(State& state, const MemberRecord& record, MemberChange change, Context& context);

/// \brief Record of a VM, made if there is none.
MemberRecord& ensure(State& state, const VmId& vm);

/// \brief Starts a newer incarnation of a known VM, or fills in the first one.
void startIncarnation(State& state, MemberRecord& record, Incarnation incarnation, Context& context);

/// \brief Whether the record may be given roles, as far as leaving goes.
void updateLeaving(State& state, MemberRecord& record, Context& context);

/// \brief Sets place and addresses; empty texts change nothing.
void updatePlace(State& state, MemberRecord& record, const Member& member);

/// \brief Sends a heartbeat to one member, or to every peer and every member heard lately.
void sendHeartbeat(State& state, MemberRecord& record, Context& context);
void sendHeartbeats(State& state, Context& context);

/// \brief Pause between two calls for the VM list; grows with the fleet.
[[nodiscard]] Duration timeToNextList(const State& state) noexcept;

/// \brief Calls for the VM list if it is time and no call is open.
void askForList(State& state, Context& context);

/// \brief Computes relays and peers again if something changed, and emits \ref SetPeers if the peers differ.
void refreshRoles(State& state, Context& context);

} // namespace arbutuscrank::membership::detail
