#include "telemetry/non_blocking_log.hpp"

#include "telemetry/log_levels.hpp"
#include "telemetry/log_text.hpp"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace arbutuscrank {

/// Buffers formatted lines until they can be written to the file descriptor without blocking.
class NonBlockingLog::Sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit Sink(int fd)
        : m_fd(fd)
    {
        fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    }

    [[nodiscard]] bool isFull() const noexcept { return m_buffer.size() >= maxBufferedBytes; }

    void writeBuffered()
    {
        while (!m_buffer.empty()) {
            const auto n = ::write(m_fd, m_buffer.data(), m_buffer.size());
            if (n <= 0)
                return; // The reader is slow or gone. isFull() limits the buffer.
            m_buffer.erase(0, static_cast<std::size_t>(n));
        }
    }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        m_buffer.append(line.data(), line.size());
    }
    void flush_() override { }

private:
    int m_fd;
    std::string m_buffer;
};

NonBlockingLog::NonBlockingLog(std::string vm, std::string_view level, int fd)
    : m_vm(std::move(vm))
    , m_sink(std::make_shared<Sink>(fd))
    , m_logger(std::make_shared<spdlog::logger>("arbutuscrank", m_sink))
{
    m_logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    m_logger->set_level(spdlog::level::from_str(std::string(level)));
}

NonBlockingLog::~NonBlockingLog() { m_sink->writeBuffered(); }

bool NonBlockingLog::tryAdmitLine(LogEvent event, TimePoint now)
{
    if (m_sink->isFull())
        return false;
    const auto elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(burstLines, m_tokens + std::max(0.0, elapsed) * linesPerSecond);
    m_refilledAt = now;
    if (m_tokens >= 1) {
        m_tokens -= 1;
        return true;
    }
    // Events about the state of the process are few and are written even above the rate.
    return !isPerRequest(event);
}

void NonBlockingLog::write(LogEvent event, std::string_view detail, TimePoint now)
{
    const auto level = levelOf(event);
    if (!m_logger->should_log(level))
        return;
    if (!tryAdmitLine(event, now)) {
        ++m_droppedLines;
        return;
    }
    m_logger->log(
        level, "event={} name={} vm={} {}", static_cast<unsigned>(event), toString(event), m_vm, toLogText(detail));
}

void NonBlockingLog::flush(TimePoint now)
{
    if (m_droppedLines != m_reportedDroppedLines && !m_sink->isFull()) {
        const auto n = m_droppedLines - m_reportedDroppedLines;
        m_reportedDroppedLines = m_droppedLines;
        write(LogEvent::LogLinesDropped, "lines=" + std::to_string(n), now);
    }
    m_sink->writeBuffered();
}

} // namespace arbutuscrank
