#include <arbutuscrank/core/log_events.hpp>

namespace arbutuscrank {

std::string_view toString(LogEvent event) noexcept
{
    switch (event) {
    case LogEvent::ProcessStarted:
        return "process-started";
    case LogEvent::StopStarted:
        return "stop-started";
    case LogEvent::StopCompleted:
        return "stop-completed";
    case LogEvent::StopForced:
        return "stop-forced";
    case LogEvent::SettingsRefused:
        return "settings-refused";
    case LogEvent::ConfigurationApplied:
        return "configuration-applied";
    case LogEvent::ConfigurationRefused:
        return "configuration-refused";
    case LogEvent::ConfigurationStale:
        return "configuration-stale";
    case LogEvent::ConfigurationFresh:
        return "configuration-fresh";
    case LogEvent::PartMissing:
        return "part-missing";
    case LogEvent::ManifestWritten:
        return "manifest-written";
    case LogEvent::ManifestConflict:
        return "manifest-conflict";
    case LogEvent::MemberJoined:
        return "member-joined";
    case LogEvent::MemberSuspected:
        return "member-suspected";
    case LogEvent::MemberTrusted:
        return "member-trusted";
    case LogEvent::MemberLeaving:
        return "member-leaving";
    case LogEvent::MemberGone:
        return "member-gone";
    case LogEvent::VmListFailed:
        return "vm-list-failed";
    case LogEvent::PeerConnectionLost:
        return "peer-connection-lost";
    case LogEvent::LedgerApplied:
        return "ledger-applied";
    case LogEvent::LedgerWritten:
        return "ledger-written";
    case LogEvent::LedgerConflict:
        return "ledger-conflict";
    case LogEvent::LedgerUnreadable:
        return "ledger-unreadable";
    case LogEvent::LoanRefused:
        return "loan-refused";
    case LogEvent::TargetOwned:
        return "target-owned";
    case LogEvent::TargetReleased:
        return "target-released";
    case LogEvent::TargetUnhealthy:
        return "target-unhealthy";
    case LogEvent::TargetHealthy:
        return "target-healthy";
    case LogEvent::TargetDraining:
        return "target-draining";
    case LogEvent::TargetDrained:
        return "target-drained";
    case LogEvent::RequestRefused:
        return "request-refused";
    case LogEvent::RequestOutcomeUnknown:
        return "request-outcome-unknown";
    case LogEvent::AnswerCutShort:
        return "answer-cut-short";
    case LogEvent::RequestCancelled:
        return "request-cancelled";
    case LogEvent::PlanApplied:
        return "plan-applied";
    case LogEvent::ShiftStepped:
        return "shift-stepped";
    case LogEvent::LookupPublished:
        return "lookup-published";
    case LogEvent::AccountWithdrawn:
        return "account-withdrawn";
    case LogEvent::KeyWithdrawn:
        return "key-withdrawn";
    case LogEvent::ProofCollected:
        return "proof-collected";
    case LogEvent::StoreFailed:
        return "store-failed";
    case LogEvent::StoreRecovered:
        return "store-recovered";
    case LogEvent::PeerProtocolError:
        return "peer-protocol-error";
    }
    return "unknown";
}

} // namespace arbutuscrank
