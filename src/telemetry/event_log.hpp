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
/// \brief Log lines on standard output that never block the process and never exceed a rate.

namespace arbutuscrank {

/// \brief Writes numbered log events, a line each. Lines beyond the rate or the buffer are dropped and counted.
class EventLog {
public:
    /// Lines per second and lines at once; about three lines belong to one request.
    static constexpr double linesPerSecond = 150;
    static constexpr double burstLines = 300;
    /// Bytes that wait for a slow reader.
    static constexpr std::size_t maxBufferedBytes = 256U << 10U;

    /// \param fd file descriptor that is written to; it is made non-blocking
    EventLog(std::string vm, std::string_view level, int fd);
    ~EventLog();

    void write(LogEvent event, std::string_view detail, TimePoint now);

    /// \brief Writes what is buffered, as far as the reader takes it.
    void flush(TimePoint now);

    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    class Sink;

    [[nodiscard]] bool takeLine(LogEvent event, TimePoint now);

    std::string m_vm;
    std::shared_ptr<Sink> m_sink;
    std::shared_ptr<spdlog::logger> m_logger;
    double m_tokens = burstLines;
    TimePoint m_refilledAt {};
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
};

} // namespace arbutuscrank
