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
    constexpr int statusServiceUnavailable = 503;
    constexpr std::size_t readBufferBytes = 32768;
    constexpr std::chrono::milliseconds probeTimeout { 1000 };

    /// The send buffer of an idle socket accepts this many bytes in one call. A failed write of at most this size has
    /// therefore sent nothing.
    constexpr std::size_t maxAtomicWriteBytes = 8192;

    std::string formatRequest(const RunAttempt& attempt, const IncomingRequest& request)
    {
        const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.deadline - CoreRunner::now());
        std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + attempt.address + "\r\n";
        for (const auto& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!attempt.account.empty())
            text.append("X-Client-Account: ").append(attempt.account).append("\r\n");
        text.append("X-Deadline-Ms: ").append(std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
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

    std::optional<double> parseLoad(const mg_response_info& info)
    {
        const auto load = parseNumber<double>(findHeader(info, "X-Load"));
        if (!load || !(*load >= 0 && *load <= 1))
            return std::nullopt;
        return load;
    }

    bool isDocumentedRefusal(const mg_response_info& info)
    {
        return (info.status_code == statusServiceUnavailable || info.status_code == statusTooManyRequests)
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

    HeaderList headersForCaller(const mg_response_info& info)
    {
        HeaderList headers;
        for (int n = 0; n < info.num_headers; ++n) {
            if (mayPassToCaller(info.http_headers[n].name))
                headers.emplace_back(toLowerCaseName(info.http_headers[n].name), info.http_headers[n].value);
        }
        return headers;
    }

    /// Runs one attempt on one connection.
    class TargetExchange {
    public:
        TargetExchange(const RunAttempt& attempt, const IncomingRequest& request, AnswerSink& sink,
            AttemptControl& control, const std::function<void()>& onAnswerStarted)
            : m_attempt(attempt)
            , m_request(request)
            , m_sink(sink)
            , m_control(control)
            , m_onAnswerStarted(onAnswerStarted)
        {
            m_result.id = attempt.id;
            m_result.attempt = attempt.attempt;
            m_result.outcome = AttemptOutcome::NotRun;
        }

        AttemptEnded run(TargetConnections& connections)
        {
            auto connection = connections.acquire();
            if (!connection) {
                m_result.detail = describe(connection.error());
                return m_result;
            }
            m_connection = connection.value();
            const auto progressDeadline = AttemptControl::Clock::now() + (m_attempt.deadline - CoreRunner::now());
            const int socket = m_connection.socket;
            const bool mayStart = m_control.attach([socket] { shutdown(socket, SHUT_RDWR); }, progressDeadline);
            const bool isReusable = mayStart && sendAndReceive();
            m_control.detach();
            // Another thread may still shut the socket down; TargetConnections checks idle connections before reuse.
            connections.release(m_connection, isReusable && !m_control.isCancelled());
            return m_result;
        }

    private:
        /// Sends the request and receives the answer. Returns whether the connection can be reused.
        bool sendAndReceive()
        {
            const auto text = formatRequest(m_attempt, m_request);
            const int writtenBytes = mg_write(m_connection.connection, text.data(), text.size());
            if (writtenBytes <= 0) {
                m_result.detail = "target.write " + m_attempt.address
                    + ": the connection was lost before the request was sent completely";
                const bool isNothingSent = text.size() <= maxAtomicWriteBytes;
                m_result.outcome = isNothingSent ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
                return false;
            }
            m_result.outcome = AttemptOutcome::Unknown;
            std::array<char, 256> error {};
            const auto remaining
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_attempt.deadline - CoreRunner::now());
            const int timeout = static_cast<int>(std::max<std::int64_t>(remaining.count(), 1));
            if (mg_get_response(m_connection.connection, error.data(), error.size(), timeout) < 0) {
                m_result.detail = "target.answer " + m_attempt.address + ": " + error.data();
                return false;
            }
            const auto* info = mg_get_response_info(m_connection.connection);
            m_result.status = info->status_code;
            m_result.reportedLoad = parseLoad(*info);
            if (isDocumentedRefusal(*info)) {
                recordRefusal(*info);
                // Answers name no request, so a repeated refusal would count for the next request on the connection.
                return false;
            }
            return relayAnswer(*info);
        }

        void recordRefusal(const mg_response_info& info)
        {
            m_result.outcome = AttemptOutcome::NotRun;
            m_result.shed = true;
            const auto seconds = parseNumber<std::int64_t>(findHeader(info, "Retry-After"));
            if (seconds && *seconds >= 0 && *seconds <= 3600)
                m_result.retryAfter = std::chrono::seconds(*seconds);
            m_result.detail = "target.answer " + m_attempt.address + ": the target refused the request with status "
                + std::to_string(info.status_code);
        }

        bool relayAnswer(const mg_response_info& info)
        {
            const bool isBodyless = hasNoBody(info, m_request.method);
            const bool isChunkedBody = isChunked(info);
            std::optional<std::uint64_t> length;
            if (info.content_length >= 0)
                length = static_cast<std::uint64_t>(info.content_length);
            const bool closesConnection = equalsIgnoringCase(findHeader(info, "Connection"), "close");
            m_onAnswerStarted();
            m_result.answerStarted = true;
            if (!m_sink.start(info.status_code, headersForCaller(info), isBodyless && !length ? 0 : length))
                return abortForLostCaller();
            // Without Content-Length and chunks, the end of the connection ends the answer, so an incomplete answer
            // looks the same as a complete one.
            if (!isBodyless && !length && !isChunkedBody)
                return abortAnswer("the answer has neither Content-Length nor chunks");
            if (!isBodyless && !copyBody(length))
                return false;
            m_sink.finish();
            m_result.outcome = AttemptOutcome::Complete;
            return !closesConnection;
        }

        bool copyBody(std::optional<std::uint64_t> length)
        {
            std::vector<std::uint8_t> buf(readBufferBytes);
            std::uint64_t totalBytes = 0;
            while (!length || totalBytes < *length) {
                m_control.setDeadline(AttemptControl::Clock::now() + maxAnswerStall);
                const int n = mg_read(m_connection.connection, buf.data(), buf.size());
                if (n < 0 || (n == 0 && length))
                    return abortAnswer("the answer ended early after " + std::to_string(totalBytes) + " bytes");
                if (n == 0)
                    return !m_control.isCancelled() || abortAnswer("cancelled");
                totalBytes += static_cast<std::uint64_t>(n);
                if (!m_sink.write(std::span(buf.data(), static_cast<std::size_t>(n))))
                    return abortForLostCaller();
            }
            return true;
        }

        bool abortAnswer(const std::string& reason)
        {
            m_sink.abort();
            m_result.detail = "target.answer " + m_attempt.address + ": " + reason;
            return false;
        }

        bool abortForLostCaller()
        {
            m_sink.abort();
            m_result.detail = "the caller disconnected while the answer was sent";
            return false;
        }

        const RunAttempt& m_attempt;
        const IncomingRequest& m_request;
        AnswerSink& m_sink;
        AttemptControl& m_control;
        const std::function<void()>& m_onAnswerStarted;
        TargetConnection m_connection;
        AttemptEnded m_result;
    };

} // namespace

AttemptEnded TargetClient::run(const RunAttempt& attempt, const IncomingRequest& request, AnswerSink& sink,
    AttemptControl& control, const std::function<void()>& onAnswerStarted)
{
    return TargetExchange(attempt, request, sink, control, onAnswerStarted)
        .run(*m_connections.findOrCreate(attempt.address));
}

ProbeEnded TargetClient::probe(const ProbeTarget& effect)
{
    ProbeEnded result { effect.target, false, std::nullopt };
    const auto connections = m_connections.findOrCreate(effect.address);
    auto connection = connections->acquire();
    if (!connection)
        return result;
    const auto text = "GET /health HTTP/1.1\r\nHost: " + effect.address + "\r\nContent-Length: 0\r\n\r\n";
    std::array<char, 256> error {};
    auto* client = connection.value().connection;
    bool isComplete = false;
    if (mg_write(client, text.data(), text.size()) > 0
        && mg_get_response(client, error.data(), error.size(), static_cast<int>(probeTimeout.count())) >= 0) {
        const auto* info = mg_get_response_info(client);
        result.healthy = info->status_code >= 200 && info->status_code < 300;
        result.reportedLoad = parseLoad(*info);
        std::array<char, 4096> buf {};
        std::int64_t totalBytes = 0;
        for (int n = 1; n > 0 && totalBytes < info->content_length; totalBytes += n)
            n = mg_read(client, buf.data(), buf.size());
        isComplete = totalBytes == info->content_length;
    }
    connections->release(connection.value(), isComplete);
    return result;
}

void TargetClient::setIdleConnections(const SetIdleConnections& effect)
{
    m_connections.findOrCreate(effect.address)->setLimits(effect.idleConnections, effect.maxConnections);
}

} // namespace arbutuscrank
