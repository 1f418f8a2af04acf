#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief Topic "idempotency": a non-idempotent request with an idempotency key runs at most once, even if the caller
/// repeats it at another entry (section 10 of docs/design.md).

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct IdempotencyState { };

namespace idempotency {

    /// Longest idempotency key, in bytes.
    inline constexpr std::size_t maxKeyLength = 255;

    /// \brief Asks the record holders; \ref ReservationResolved always follows, at once if this VM is the only holder.
    void reserve(State& state, RequestId id, std::string_view account, std::string_view key, Context& context);

    /// \brief Gives up; no \ref ReservationResolved follows. Records already made are removed.
    void cancel(State& state, RequestId id, Context& context);

    /// \brief Tells the record holders how the request ended. \ref RecordState::NotRun removes the records.
    void recordOutcome(State& state, RequestId id, RecordState outcome, Context& context);

    void onTick(State& state, Context& context);
    void onReserveRequest(State& state, const ProcessId& from, const ReserveRequest& message, Context& context);
    void onReserveReply(State& state, const ProcessId& from, const ReserveReply& message, Context& context);
    void onRecordOutcome(State& state, const ProcessId& from, const RecordOutcome& message, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);
    void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context);

} // namespace idempotency

} // namespace arbutuscrank
