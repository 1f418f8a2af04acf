#include "daemon/caller_sink.hpp"

#include <civetweb.h>
#include <nlohmann/json.hpp>

namespace arbutuscrank {

namespace {

    std::int64_t roundUpToSeconds(Duration duration)
    {
        return std::chrono::ceil<std::chrono::seconds>(duration).count();
    }

} // namespace

std::string CallerSink::formatHead(int status) const
{
    std::string response = "HTTP/1.1 " + std::to_string(status) + " " + mg_get_response_code_text(m_connection, status);
    response += m_closeAfterAnswer ? "\r\nConnection: close\r\n" : "\r\nConnection: keep-alive\r\n";
    if (m_closeAfterAnswer)
        mg_disable_connection_keep_alive(m_connection);
    return response;
}

bool CallerSink::start(int status, const HeaderList& headers, std::optional<std::uint64_t> length)
{
    auto response = formatHead(status);
    for (const auto& [name, value] : headers)
        response.append(name).append(": ").append(value).append("\r\n");
    m_isChunked = !length;
    response += length ? "Content-Length: " + std::to_string(*length) : "Transfer-Encoding: chunked";
    // The head is sent before the outcome of the answer is known. A caller detects an incomplete answer by its
    // Content-Length or by the missing last chunk.
    response += "\r\nX-Request-Outcome: complete\r\n\r\n";
    return mg_write(m_connection, response.data(), response.size()) > 0;
}

bool CallerSink::write(std::span<const std::uint8_t> bytes)
{
    if (bytes.empty())
        return true;
    if (m_isChunked) {
        return mg_send_chunk(
                   m_connection, reinterpret_cast<const char*>(bytes.data()), static_cast<unsigned>(bytes.size()))
            > 0;
    }
    return mg_write(m_connection, bytes.data(), bytes.size()) > 0;
}

void CallerSink::finish()
{
    if (m_isChunked)
        mg_send_chunk(m_connection, "", 0);
}

void CallerSink::abort() { mg_disable_connection_keep_alive(m_connection); }

void CallerSink::refuse(const Refusal& refusal)
{
    std::vector<std::string> headers { "X-Refusal-Reason: " + refusal.reason,
        refusal.certainlyNotRun ? "X-Request-Outcome: not-run" : "X-Request-Outcome: unknown" };
    if (refusal.retryAfter > Duration::zero())
        headers.push_back("Retry-After: " + std::to_string(roundUpToSeconds(refusal.retryAfter)));
    const nlohmann::json body { { "reason", refusal.reason }, { "detail", refusal.detail },
        { "outcome", refusal.certainlyNotRun ? "not-run" : "unknown" } };
    sendJson(refusal.status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), headers);
}

void CallerSink::sendJson(int status, std::string_view body, const std::vector<std::string>& headers)
{
    auto response = formatHead(status);
    for (const auto& it : headers)
        response.append(it).append("\r\n");
    response.append("Content-Type: application/json\r\nContent-Length: ").append(std::to_string(body.size()));
    response.append("\r\n\r\n").append(body);
    mg_write(m_connection, response.data(), response.size());
}

} // namespace arbutuscrank
