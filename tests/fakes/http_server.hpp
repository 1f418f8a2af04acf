#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

struct mg_connection;
struct mg_context;

/// \file
/// \brief HTTP server on CivetWeb for the stand-ins of the platform and the targets.

namespace arbutuscrank::fakes {

/// \brief Received request, including its complete body.
struct ServerRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< by lower-case name
    std::string body;
    mg_connection* connection = nullptr;

    /// \param name in lower case \returns the value, empty if the request lacks the header
    [[nodiscard]] std::string header(const std::string& name) const;
    /// \returns the integer value of a query parameter, or \p defaultValue if it is missing or not a number
    [[nodiscard]] std::int64_t queryNumber(const std::string& queryName, std::int64_t defaultValue) const;
};

/// \brief Handles a request: answers it with \ref sendAnswer or writes to its connection directly. The threads of the
/// server call it concurrently.
using ServerHandler = std::function<void(const ServerRequest& request)>;

/// \brief Sends a complete answer with Content-Length and keep-alive.
/// \param headers header lines without line ends
void sendAnswer(
    const ServerRequest& request, int status, std::string_view body, const std::vector<std::string>& headers = {});

/// \brief Listens on one address until it is destroyed.
class HttpServer {
public:
    /// \param address "ip:port"
    /// \param threads number of worker threads, and so of concurrent requests
    /// \throws std::runtime_error if the address cannot be bound
    HttpServer(const std::string& address, int threads, ServerHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

private:
    static int handle(mg_connection* connection);

    ServerHandler m_handler;
    mg_context* m_context = nullptr;
};

/// \brief Blocks SIGINT and SIGTERM for \ref waitForStopSignal. New threads inherit the signal mask, so call this
/// before any thread starts.
void blockStopSignals();

/// \brief Waits for SIGINT or SIGTERM.
void waitForStopSignal();

} // namespace arbutuscrank::fakes
