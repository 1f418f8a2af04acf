#include "daemon/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace arbutuscrank {

namespace {

    /// Events about single requests; they are too many for the default level.
    bool isPerRequest(LogEvent event)
    {
        return event == LogEvent::RequestRefused || event == LogEvent::RequestCancelled
            || event == LogEvent::LoanRefused;
    }

    spdlog::level::level_enum levelOf(LogEvent event)
    {
        if (isPerRequest(event))
            return spdlog::level::debug;
        switch (event) {
        case LogEvent::StopForced:
        case LogEvent::SettingsRefused:
        case LogEvent::ConfigurationRefused:
            return spdlog::level::err;
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
        case LogEvent::PeerProtocolError:
            return spdlog::level::warn;
        default:
            return spdlog::level::info;
        }
    }

} // namespace

Log::Log(std::string vm, std::string_view level)
    : m_vm(std::move(vm))
    , m_logger(std::make_shared<spdlog::logger>("arbutuscrank", std::make_shared<spdlog::sinks::stderr_sink_mt>()))
{
    m_logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    m_logger->set_level(spdlog::level::from_str(std::string(level)));
    m_logger->flush_on(spdlog::level::info);
}

void Log::write(LogEvent event, std::string_view detail) const
{
    m_logger->log(
        levelOf(event), "event={} name={} vm={} {}", static_cast<unsigned>(event), toString(event), m_vm, detail);
}

} // namespace arbutuscrank
