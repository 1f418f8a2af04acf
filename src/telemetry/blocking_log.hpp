#pragma once

#include <arbutuscrank/core/log_events.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

/// \file
/// \brief Synchronous log of events on standard error.

namespace arbutuscrank {

/// \brief Writes log events as "event=NUMBER name=NAME vm=VM detail".
class BlockingLog {
public:
    /// \param vm name of this VM
    /// \param level least severe level to write: "debug", "info", "warn" or "error"
    BlockingLog(std::string vm, std::string_view level);

    /// \param detail text after the fixed fields, usually "key=value" pairs; see \ref toLogText
    void write(LogEvent event, std::string_view detail) const;

private:
    std::string m_vm;
    std::shared_ptr<spdlog::logger> m_logger;
};

} // namespace arbutuscrank
