#pragma once

#include <arbutuscrank/core/log_events.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

/// \file
/// \brief Numbered, structured log lines on standard error.

namespace arbutuscrank {

/// \brief Writes log events as "event=NUMBER name=NAME vm=VM detail".
class Log {
public:
    /// \param level "debug", "info", "warn" or "error"
    Log(std::string vm, std::string_view level);

    void write(LogEvent event, std::string_view detail) const;

private:
    std::string m_vm;
    std::shared_ptr<spdlog::logger> m_logger;
};

} // namespace arbutuscrank
