#include "fakes/http_server.hpp"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <csignal>
#include <stdexcept>

namespace arbutuscrank::fakes {

namespace {

    std::map<std::string, std::string> parseQuery(const char* text)
    {
        std::map<std::string, std::string> query;
        std::string_view rest = text == nullptr ? "" : text;
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const auto pair = rest.substr(0, end);
            const auto equals = std::min(pair.find('='), pair.size());
            query[std::string(pair.substr(0, equals))]
                = equals < pair.size() ? std::string(pair.substr(equals + 1)) : std::string();
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
        return query;
    }

    std::string lowerCase(std::string text)
    {
        std::transform(
            text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

} // namespace

std::string ServerRequest::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::int64_t ServerRequest::queryNumber(const std::string& queryName, std::int64_t defaultValue) const
{
    const auto it = query.find(queryName);
    if (it == query.end())
        return defaultValue;
    std::int64_t value = defaultValue;
    std::from_chars(it->second.data(), it->second.data() + it->second.size(), value);
    return value;
}

void sendAnswer(
    const ServerRequest& request, int status, std::string_view body, const std::vector<std::string>& headers)
{
    std::string text
        = "HTTP/1.1 " + std::to_string(status) + " " + mg_get_response_code_text(request.connection, status) + "\r\n";
    for (const auto& it : headers)
        text += it + "\r\n";
    if (status != 304)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "Connection: keep-alive\r\n\r\n";
    text += body;
    mg_write(request.connection, text.data(), text.size());
}

HttpServer::HttpServer(const std::string& address, int threads, ServerHandler handler)
    : m_handler(std::move(handler))
{
    const auto threadCount = std::to_string(threads);
    const std::array options { "listening_ports", address.c_str(), "num_threads", threadCount.c_str(),
        "enable_keep_alive", "yes", "keep_alive_timeout_ms", "60000", "request_timeout_ms", "60000", "tcp_nodelay", "1",
        static_cast<const char*>(nullptr) };
    mg_callbacks callbacks {};
    // CivetWeb serves requests before mg_start() returns, so handlers that are set afterwards would miss the first
    // ones.
    callbacks.begin_request = &HttpServer::handle;
    m_context = mg_start(&callbacks, this, const_cast<const char**>(options.data()));
    if (m_context == nullptr)
        throw std::runtime_error("cannot listen on " + address);
}

HttpServer::~HttpServer() { mg_stop(m_context); }

int HttpServer::handle(mg_connection* connection)
{
    const auto* info = mg_get_request_info(connection);
    ServerRequest request;
    request.connection = connection;
    request.method = info->request_method;
    request.path = info->local_uri;
    request.query = parseQuery(info->query_string);
    for (int n = 0; n < info->num_headers; ++n)
        request.headers[lowerCase(info->http_headers[n].name)] = info->http_headers[n].value;
    std::array<char, 16384> buf {};
    for (int n = mg_read(connection, buf.data(), buf.size()); n > 0; n = mg_read(connection, buf.data(), buf.size()))
        request.body.append(buf.data(), static_cast<std::size_t>(n));
    static_cast<HttpServer*>(mg_get_user_data(mg_get_context(connection)))->m_handler(request);
    return 1;
}

namespace {

    sigset_t stopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        return signals;
    }

} // namespace

void blockStopSignals()
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStopSignal()
{
    const auto signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace arbutuscrank::fakes
