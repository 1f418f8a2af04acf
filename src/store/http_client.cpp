#include <arbutuscrank/store/http_client.hpp>

#include <arpa/inet.h>
#include <civetweb.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace arbutuscrank {

namespace {

    /// Longest idle time after which the connection is reused; the server may have closed an older one.
    constexpr std::chrono::milliseconds maxIdleTime { 400 };

    constexpr std::size_t maxAnswerBytes = 64U << 20U;

    Error makeError(ErrorCode code, std::string step, const std::string& peer, std::string detail)
    {
        return Error { code, std::move(step), peer, std::move(detail) };
    }

    bool isBodyComplete(const mg_response_info& info, const HttpAnswer& answer)
    {
        return info.content_length < 0 || static_cast<std::size_t>(info.content_length) == answer.body.size();
    }

} // namespace

Result<Endpoint> parseEndpoint(std::string_view address)
{
    const auto invalid = [address](std::string detail) {
        return makeError(ErrorCode::InvalidArgument, "address.parse", std::string(address), std::move(detail));
    };
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return invalid("expected ip:port, found no colon");
    Endpoint endpoint;
    endpoint.host = std::string(address.substr(0, colon));
    in_addr parsed {};
    if (inet_pton(AF_INET, endpoint.host.c_str(), &parsed) != 1)
        return invalid("the part before the colon is not an IPv4 address");
    const auto digits = address.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (ec != std::errc {} || end != digits.data() + digits.size() || endpoint.port == 0)
        return invalid("the part after the colon is not a port from 1 to 65535");
    return endpoint;
}

std::string_view HttpAnswer::header(std::string_view name) const noexcept
{
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && mg_strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

void HttpClient::ConnectionCloser::operator()(mg_connection* connection) const noexcept
{
    mg_close_connection(connection);
}

HttpClient::HttpClient(std::string address)
    : m_address(std::move(address))
{
}

HttpClient::~HttpClient() = default;

Result<HttpClient::Connection> HttpClient::connect() const
{
    auto endpoint = parseEndpoint(m_address);
    if (!endpoint)
        return endpoint.error();
    std::array<char, 256> buf {};
    Connection connection(
        mg_connect_client(endpoint.value().host.c_str(), endpoint.value().port, 0, buf.data(), buf.size()));
    if (!connection)
        return makeError(ErrorCode::Unavailable, "http.connect", m_address, buf.data());
    return connection;
}

Result<HttpAnswer> HttpClient::readAnswer(std::chrono::milliseconds timeout)
{
    std::array<char, 256> error {};
    if (mg_get_response(m_connection.get(), error.data(), error.size(), static_cast<int>(timeout.count())) < 0)
        return makeError(ErrorCode::Unknown, "http.answer", m_address, error.data());
    const auto* info = mg_get_response_info(m_connection.get());
    HttpAnswer answer;
    answer.status = info->status_code;
    for (int n = 0; n < info->num_headers; ++n)
        answer.headers.emplace_back(info->http_headers[n].name, info->http_headers[n].value);
    std::array<char, 16384> buf {};
    while (info->content_length != 0) {
        const int n = mg_read(m_connection.get(), buf.data(), buf.size());
        if (n <= 0)
            break;
        answer.body.append(buf.data(), static_cast<std::size_t>(n));
        if (answer.body.size() > maxAnswerBytes)
            return makeError(ErrorCode::Protocol, "http.body", m_address, "the body of the answer is over 64 MiB");
    }
    if (!isBodyComplete(*info, answer))
        return makeError(ErrorCode::Unknown, "http.body", m_address,
            "the connection ended before the body of the answer was complete");
    return answer;
}

Result<HttpAnswer> HttpClient::request(std::string_view method, std::string_view path,
    const std::vector<std::string>& headers, std::string_view body, std::chrono::milliseconds timeout)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    if (m_connection && now - m_lastUsedAt > maxIdleTime)
        m_connection.reset();
    if (!m_connection) {
        auto connection = connect();
        if (!connection)
            return connection.error();
        m_connection = std::move(connection.value());
    }
    std::string text;
    text.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(m_address).append("\r\n");
    for (const auto& it : headers)
        text.append(it).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    if (mg_write(m_connection.get(), text.data(), text.size()) <= 0) {
        m_connection.reset();
        return makeError(
            ErrorCode::Unknown, "http.write", m_address, "the connection was lost while the request was sent");
    }
    auto answer = readAnswer(timeout);
    if (!answer || mg_strcasecmp(std::string(answer.value().header("Connection")).c_str(), "close") == 0)
        m_connection.reset();
    m_lastUsedAt = std::chrono::steady_clock::now();
    return answer;
}

} // namespace arbutuscrank
