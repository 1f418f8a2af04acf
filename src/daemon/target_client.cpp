#include "daemon/target_client.hpp"
#include "daemon/civetweb_headers.hpp"
#include "daemon/core_runner.hpp"

#include <civetweb.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace arbutuscrank {

namespace {

    constexpr int statusTooManyRequests = 429;
    constexpr int statusUnavailable = 503;
    constexpr std::size_t readBytes = 32768;
    constexpr std::chrono::milliseconds probeTimeout { 1000 };

    /// The send buffer of an idle socket takes this much in one call, so a failed write of less sent nothing.
    constexpr std::size_t singleWriteBytes = 8192;

    std::string requestText(const RunAttempt& attempt, const IncomingRequest& request)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.deadline - CoreRunner::now());
        std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + attempt.address + "\r\n";
        for (const auto& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!attempt.account.empty())
            text.append("X-Client-Account: ").append(attempt.account).append("\r\n");
        text.append("X-Deadline-Ms: ").append(std::to_string(std::max<std::int64_t>(left.count(), 0)));
        text.append("\r\nContent-Length: ").append(std::to_string(request.body.size()));
        text.append("\r\n\r\n").append(request.body);
        return text;
    }

    template <typename T> std::optional<T> parseNumber(std::string_view text)
    {
        T value {};
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::optional<double> loadOf(const mg_response_info& info)
    {
        const auto load = parseNumber<double>(findHeader(info, "X-Load"));
        if (!load || !(*load >= 0 && *load <= 1))
            return std::nullopt;
        return load;
    }

    bool isDocumentedRefusal(const mg_response_info& info)
    {
        return (info.status_code == statusUnavailable || info.status_code == statusTooManyRequests)
            && findHeader(info, "X-Not-Run") == "1";
    }

    bool hasNoBody(const mg_response_info& info, std::string_view method)
    {
        return method == "HEAD" || info.status_code == 204 || info.status_code == 304 || info.content_length == 0;
    }

    bool isChunked(const mg_response_info& info)
    {
        return equalsIgnoringCase(findHeader(info, "Transfer-Encoding"), "chunked");
    }

    HeaderList callerHeaders(const mg_response_info& info)
    {
        HeaderList headers;
        for (int n = 0; n < info.num_headers; ++n) {
            if (mayPassToCaller(info.http_headers[n].name))
                headers.emplace_back(lowerCaseName(info.http_headers[n].name), info.http_headers[n].value);
        }
        return headers;
    }

    /// One attempt on one connection.
    class Exchange {
    public:
        Exchange(const RunAttempt& attempt, const IncomingRequest& request, AnswerSink& sink, AttemptControl& control,
            const std::function<void()>& answerStarted)
            : m_attempt(attempt)
            , m_request(request)
            , m_sink(sink)
            , m_control(control)
            , m_answerStarted(answerStarted)
        {
            m_end.id = attempt.id;
            m_end.attempt = attempt.attempt;
            m_end.outcome = AttemptOutcome::NotRun;
        }

        AttemptEnded run(TargetConnections& connections)
        {
            auto connection = connections.take();
            if (!connection) {
                m_end.detail = describe(connection.error());
                return m_end;
            }
            m_connection = connection.value();
            const auto limit = AttemptControl::Clock::now() + (m_attempt.deadline - CoreRunner::now());
            const int socket = m_connection.socket;
            const bool mayStart = m_control.attach([socket] { shutdown(socket, SHUT_RDWR); }, limit);
            const bool reusable = mayStart && exchange();
            m_control.detach();
            // A socket that was shut down from another thread fails the quiet check on its next use.
            connections.giveBack(m_connection, reusable && !m_control.isCancelled());
            return m_end;
        }

    private:
        /// Returns whether the connection can be used again.
        bool exchange()
        {
            const auto text = requestText(m_attempt, m_request);
            const int written = mg_write(m_connection.connection, text.data(), text.size());
            if (written <= 0) {
                m_end.detail = "target.write " + m_attempt.address + ": connection lost before the request was sent";
                const bool nothingSent = text.size() <= singleWriteBytes;
                m_end.outcome = nothingSent ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
                return false;
            }
            m_end.outcome = AttemptOutcome::Unknown;
            std::array<char, 256> error {};
            const auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_attempt.deadline - CoreRunner::now());
            const int timeout = static_cast<int>(std::max<std::int64_t>(left.count(), 1));
            if (mg_get_response(m_connection.connection, error.data(), error.size(), timeout) < 0) {
                m_end.detail = "target.answer " + m_attempt.address + ": " + error.data();
                return false;
            }
            const auto* info = mg_get_response_info(m_connection.connection);
            m_end.status = info->status_code;
            m_end.reportedLoad = loadOf(*info);
            if (isDocumentedRefusal(*info))
                return takeRefusal(*info);
            return passOn(*info);
        }

        bool takeRefusal(const mg_response_info& info)
        {
            m_end.outcome = AttemptOutcome::NotRun;
            m_end.shed = true;
            const auto seconds = parseNumber<std::int64_t>(findHeader(info, "Retry-After"));
            if (seconds && *seconds >= 0 && *seconds <= 3600)
                m_end.retryAfter = std::chrono::seconds(*seconds);
            m_end.detail
                = "target.answer " + m_attempt.address + ": refused with status " + std::to_string(info.status_code);
            if (hasNoBody(info, m_request.method))
                return true;
            std::array<char, readBytes> buf {};
            std::int64_t total = 0;
            for (int n = 1; n > 0 && total < info.content_length; total += n)
                n = mg_read(m_connection.connection, buf.data(), buf.size());
            return total == info.content_length;
        }

        bool passOn(const mg_response_info& info)
        {
            const bool noBody = hasNoBody(info, m_request.method);
            const bool chunked = isChunked(info);
            std::optional<std::uint64_t> length;
            if (info.content_length >= 0)
                length = static_cast<std::uint64_t>(info.content_length);
            const bool close = equalsIgnoringCase(findHeader(info, "Connection"), "close");
            m_answerStarted();
            m_end.answerStarted = true;
            if (!m_sink.start(info.status_code, callerHeaders(info), noBody && !length ? 0 : length))
                return callerLost();
            // Without a length and without chunks only the end of the connection ends the answer, and a cut one
            // cannot be told from a whole one.
            if (!noBody && !length && !chunked)
                return cutShort("answer without length");
            if (!noBody && !copyBody(length))
                return false;
            m_sink.finish();
            m_end.outcome = AttemptOutcome::Complete;
            return !close;
        }

        bool copyBody(std::optional<std::uint64_t> length)
        {
            std::vector<std::uint8_t> buf(readBytes);
            std::uint64_t total = 0;
            while (!length || total < *length) {
                m_control.extend(AttemptControl::Clock::now() + maxAnswerStall);
                const int n = mg_read(m_connection.connection, buf.data(), buf.size());
                if (n < 0 || (n == 0 && length))
                    return cutShort("answer ended after " + std::to_string(total) + " bytes");
                if (n == 0)
                    return !m_control.isCancelled() || cutShort("cancelled");
                total += static_cast<std::uint64_t>(n);
                if (!m_sink.write(std::span(buf.data(), static_cast<std::size_t>(n))))
                    return callerLost();
            }
            return true;
        }

        bool cutShort(const std::string& why)
        {
            m_sink.abort();
            m_end.detail = "target.answer " + m_attempt.address + ": " + why;
            return false;
        }

        bool callerLost()
        {
            m_sink.abort();
            m_end.detail = "caller went away while the answer was sent";
            return false;
        }

        const RunAttempt& m_attempt;
        const IncomingRequest& m_request;
        AnswerSink& m_sink;
        AttemptControl& m_control;
        const std::function<void()>& m_answerStarted;
        TargetConnection m_connection;
        AttemptEnded m_end;
    };

} // namespace

AttemptEnded TargetClient::run(const RunAttempt& attempt, const IncomingRequest& request, AnswerSink& sink,
    AttemptControl& control, const std::function<void()>& answerStarted)
{
    return Exchange(attempt, request, sink, control, answerStarted).run(*m_connections.find(attempt.address));
}

ProbeEnded TargetClient::probe(const ProbeTarget& effect)
{
    ProbeEnded result { effect.target, false, std::nullopt };
    const auto connections = m_connections.find(effect.address);
    auto connection = connections->take();
    if (!connection)
        return result;
    const auto text = "GET /health HTTP/1.1\r\nHost: " + effect.address + "\r\nContent-Length: 0\r\n\r\n";
    std::array<char, 256> error {};
    auto* client = connection.value().connection;
    bool whole = false;
    if (mg_write(client, text.data(), text.size()) > 0
        && mg_get_response(client, error.data(), error.size(), static_cast<int>(probeTimeout.count())) >= 0) {
        const auto* info = mg_get_response_info(client);
        result.healthy = info->status_code >= 200 && info->status_code < 300;
        result.reportedLoad = loadOf(*info);
        std::array<char, 4096> buf {};
        std::int64_t total = 0;
        for (int n = 1; n > 0 && total < info->content_length; total += n)
            n = mg_read(client, buf.data(), buf.size());
        whole = total == info->content_length;
    }
    connections->giveBack(connection.value(), whole);
    return result;
}

void TargetClient::keep(const SetIdleConnections& effect)
{
    m_connections.find(effect.address)->keep(effect.idleConnections, effect.maxConnections);
}

} // namespace arbutuscrank
