#pragma once

#include <arbutuscrank/core/log_events.hpp>
#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

/// \file
/// \brief Non-blocking, rate-limited log of events.

namespace arbutuscrank {

/// \brief Writes each log event as one line, without blocking the process.
///
/// Drops and counts all lines while the buffer is full. Above the rate limit, it drops and counts only the lines of
/// events about single requests.
class NonBlockingLog {
public:
    /// Rate and capacity of the token bucket for lines. A request causes about three lines.
    static constexpr double linesPerSecond = 150;
    static constexpr double burstLines = 300;
    /// The log drops lines while it holds this many bytes that a slow reader has not taken.
    static constexpr std::size_t maxBufferedBytes = 256U << 10U;

    /// \param vm name of this VM
    /// \param level least severe level to write: "debug", "info", "warn" or "error"
    /// \param fd file descriptor to write to; set to non-blocking mode
    NonBlockingLog(std::string vm, std::string_view level, int fd);
    ~NonBlockingLog();

    /// \brief Buffers a line for an event; flush() writes it.
    /// \param detail text after the fixed fields, usually "key=value" pairs; see \ref toLogText
    void write(LogEvent event, std::string_view detail, TimePoint now);

    /// \brief Logs the number of newly dropped lines, then writes buffered lines as far as possible without blocking.
    void flush(TimePoint now);

    /// \brief Number of lines dropped since the start of the process.
    [[nodiscard]] std::uint64_t droppedLines() const noexcept { return m_droppedLines; }

private:
    class Sink;

    /// Whether a line may be buffered. Takes a token if one is available.
    [[nodiscard]] bool tryAdmitLine(LogEvent event, TimePoint now);

    std::string m_vm;
    std::shared_ptr<Sink> m_sink;
    std::shared_ptr<spdlog::logger> m_logger;
    double m_tokens = burstLines;
    TimePoint m_refilledAt {};
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
};

} // namespace arbutuscrank
