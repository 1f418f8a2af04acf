#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::quota {

std::string accountKey(std::string_view account) { return "account/" + std::string(account); }

std::string shiftKey(std::string_view shift) { return "shift/" + std::string(shift); }

std::string linkKey(std::string_view from, std::string_view to)
{
    return "link/" + std::string(from) + "/" + std::string(to);
}

std::string spillKey(std::string_view service, std::string_view region)
{
    return "spill/" + std::string(service) + "/" + std::string(region);
}

Decision acquire(State& /*state*/, std::string_view /*key*/, RequestId /*waiter*/, MicroTokens /*tokens*/,
    TimePoint /*waitUntil*/, Context& /*context*/)
{
    return { Decision::Kind::Granted, {} };
}

void cancelWait(State& /*state*/, RequestId /*waiter*/) { }

std::vector<VmId> holders(const State& state, std::string_view /*key*/) { return { state.self.process.vm }; }

void startLeaving(State& /*state*/, Context& /*context*/) { }
void onTick(State& /*state*/, Context& /*context*/) { }
void onConfigurationApplied(State& /*state*/, const ConfigurationApplied& /*event*/, Context& /*context*/) { }
void onMemberChanged(State& /*state*/, const MemberChanged& /*event*/, Context& /*context*/) { }
void onObjectRead(State& /*state*/, const ObjectRead& /*event*/, Context& /*context*/) { }
void onObjectWritten(State& /*state*/, const ObjectWritten& /*event*/, Context& /*context*/) { }
void onStoreCallFailed(State& /*state*/, const StoreCallFailed& /*event*/, Context& /*context*/) { }
void onLedgerPush(State& /*state*/, const ProcessId& /*from*/, const LedgerPush& /*message*/, Context& /*context*/) { }
void onShareConfirm(State& /*state*/, const ProcessId& /*from*/, const ShareConfirm& /*message*/, Context& /*context*/)
{
}
void onLoanRequest(State& /*state*/, const ProcessId& /*from*/, const LoanRequest& /*message*/, Context& /*context*/) {
}
void onLoanReply(State& /*state*/, const ProcessId& /*from*/, const LoanReply& /*message*/, Context& /*context*/) { }
void onPeerConnectionLost(State& /*state*/, const PeerConnectionLost& /*event*/, Context& /*context*/) { }

} // namespace arbutuscrank::quota
