#pragma once

#include <arbutuscrank/core/error.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct mg_connection;

/// \file
/// \brief Blocking HTTP/1.1 client on top of CivetWeb, for the platform client, the command-line tool and tests.

namespace arbutuscrank {

/// \brief Host and port of an address "ip:port".
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
};

/// \brief Parses "ip:port".
/// \returns InvalidArgument if the text is not an IPv4 address and a port from 1 to 65535
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view address);

/// \brief A complete HTTP answer.
struct HttpAnswer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// \brief Returns the value of a header, or an empty text. Names are compared case-insensitively.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// \brief Client with one keep-alive connection to one address. Concurrent calls run one after another.
///
/// \code
/// arbutuscrank::HttpClient client("127.0.0.1:8500");
/// auto answer = client.request("GET", "/vms", {}, {}, std::chrono::seconds(2));
/// \endcode
class HttpClient {
public:
    /// \param address "ip:port"; the connection is opened by the first request
    explicit HttpClient(std::string address);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// \brief Sends a request and reads the whole answer.
    /// \param headers lines without line ends, such as "If-Match: 3"
    /// \param timeout longest wait for the head of the answer
    /// \returns InvalidArgument if the address is not valid; Unavailable if the request was certainly not sent; Unknown
    /// if it may have been handled; Protocol if the body of the answer is over 64 MiB
    [[nodiscard]] Result<HttpAnswer> request(std::string_view method, std::string_view path,
        const std::vector<std::string>& headers, std::string_view body, std::chrono::milliseconds timeout);

private:
    struct ConnectionCloser {
        void operator()(mg_connection* connection) const noexcept;
    };
    using Connection = std::unique_ptr<mg_connection, ConnectionCloser>;

    [[nodiscard]] Result<Connection> connect() const;
    [[nodiscard]] Result<HttpAnswer> readAnswer(std::chrono::milliseconds timeout);

    std::string m_address;
    std::mutex m_mutex;
    Connection m_connection;
    std::chrono::steady_clock::time_point m_lastUsedAt;
};

} // namespace arbutuscrank
