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
/// \brief A small HTTP server on CivetWeb for the fakes.

namespace arbutuscrank::fakes {

/// \brief A request with its whole body.
struct ServerRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< lower-case names
    std::string body;
    mg_connection* connection = nullptr;

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::int64_t queryNumber(const std::string& queryName, std::int64_t defaultValue) const;
};

/// \brief Answers a request on its connection with \ref sendAnswer or by writing to it.
using ServerHandler = std::function<void(const ServerRequest& request)>;

/// \brief Sends a complete answer. \param headers lines without line ends
void sendAnswer(
    const ServerRequest& request, int status, std::string_view body, const std::vector<std::string>& headers = {});

/// \brief Serves one address until destroyed.
class HttpServer {
public:
    /// \param address "ip:port"; throws std::runtime_error if it cannot be bound
    HttpServer(const std::string& address, int threads, ServerHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

private:
    static int handle(mg_connection* connection, void* server);

    ServerHandler m_handler;
    mg_context* m_context = nullptr;
};

/// \brief Keeps SIGINT and SIGTERM for \ref waitForStopSignal. To be called before any thread starts.
void blockStopSignals();

/// \brief Waits for SIGINT or SIGTERM.
void waitForStopSignal();

} // namespace arbutuscrank::fakes
