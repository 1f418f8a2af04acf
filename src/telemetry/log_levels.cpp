#include "telemetry/log_levels.hpp"

namespace arbutuscrank {

bool isPerRequest(LogEvent event)
{
    switch (event) {
    case LogEvent::RequestRefused:
    case LogEvent::RequestOutcomeUnknown:
    case LogEvent::RequestCancelled:
    case LogEvent::AttemptSent:
    case LogEvent::AttemptAnswered:
    case LogEvent::AttemptFailed:
    case LogEvent::LoanRefused:
        return true;
    default:
        return false;
    }
}

spdlog::level::level_enum levelOf(LogEvent event)
{
    switch (event) {
    case LogEvent::LoanRefused:
        return spdlog::level::debug;
    case LogEvent::StopForced:
    case LogEvent::SettingsRefused:
    case LogEvent::ConfigurationRefused:
        return spdlog::level::err;
    case LogEvent::EventLoopDelayed:
    case LogEvent::DescriptorsLimited:
    case LogEvent::ConfigurationStale:
    case LogEvent::MemberSuspected:
    case LogEvent::MemberGone:
    case LogEvent::VmListFailed:
    case LogEvent::PeerConnectionLost:
    case LogEvent::LedgerUnreadable:
    case LogEvent::TargetUnhealthy:
    case LogEvent::RequestOutcomeUnknown:
    case LogEvent::AnswerCutShort:
    case LogEvent::StoreFailed:
    case LogEvent::StoreCallFailed:
    case LogEvent::StoreListCut:
    case LogEvent::PeerProtocolError:
        return spdlog::level::warn;
    default:
        return spdlog::level::info;
    }
}

} // namespace arbutuscrank
