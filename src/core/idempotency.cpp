#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::idempotency {

void reserve(State& /*state*/, RequestId id, std::string_view /*account*/, std::string_view /*key*/, Context& context)
{
    context.followUp(ReservationResolved { id, true, RecordState::New });
}

void cancel(State& /*state*/, RequestId /*id*/, Context& /*context*/) { }
void recordOutcome(State& /*state*/, RequestId /*id*/, RecordState /*outcome*/, Context& /*context*/) { }
void onTick(State& /*state*/, Context& /*context*/) { }
void onReserveRequest(
    State& /*state*/, const ProcessId& /*from*/, const ReserveRequest& /*message*/, Context& /*context*/)
{
}
void onReserveReply(State& /*state*/, const ProcessId& /*from*/, const ReserveReply& /*message*/, Context& /*context*/)
{
}
void onRecordOutcome(
    State& /*state*/, const ProcessId& /*from*/, const RecordOutcome& /*message*/, Context& /*context*/)
{
}
void onMemberChanged(State& /*state*/, const MemberChanged& /*event*/, Context& /*context*/) { }
void onPeerConnectionLost(State& /*state*/, const PeerConnectionLost& /*event*/, Context& /*context*/) { }

} // namespace arbutuscrank::idempotency
