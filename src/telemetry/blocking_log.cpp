#include "telemetry/blocking_log.hpp"

#include "telemetry/log_levels.hpp"
#include "telemetry/log_text.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace arbutuscrank {

BlockingLog::BlockingLog(std::string vm, std::string_view level)
    : m_vm(std::move(vm))
    , m_logger(std::make_shared<spdlog::logger>("arbutuscrank", std::make_shared<spdlog::sinks::stderr_sink_mt>()))
{
    m_logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    m_logger->set_level(spdlog::level::from_str(std::string(level)));
    m_logger->flush_on(spdlog::level::info);
}

void BlockingLog::write(LogEvent event, std::string_view detail) const
{
    // The log writes each line synchronously. Lines about single requests are too many for the default level.
    const auto level = isPerRequest(event) ? spdlog::level::debug : levelOf(event);
    m_logger->log(
        level, "event={} name={} vm={} {}", static_cast<unsigned>(event), toString(event), m_vm, toLogText(detail));
}

} // namespace arbutuscrank
