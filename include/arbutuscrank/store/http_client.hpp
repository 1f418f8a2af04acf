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
/// \brief A small HTTP/1.1 client on CivetWeb's client, for the platform, the command-line tool and tests.

namespace arbutuscrank {

/// \brief An address "ip:port" taken apart.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
};

/// \brief Reads "ip:port". \returns InvalidArgument if the text is not an IPv4 address and a port from 1 to 65535
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view address);

/// \brief A complete answer.
struct HttpAnswer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// \brief Value of a header, or empty. Names are compared without case.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// \brief One keep-alive connection to one address; calls on it run one after another.
///
/// \code
/// arbutuscrank::HttpClient client("127.0.0.1:8500");
/// auto answer = client.request("GET", "/vms", {}, {}, std::chrono::seconds(2));
/// \endcode
class HttpClient {
public:
    explicit HttpClient(std::string address);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// \brief Sends a request and reads the whole answer.
    /// \param headers lines without line ends, such as "If-Match: 3"
    /// \returns Unavailable if the request was certainly not sent, Unknown or Timeout if it may have been handled
    [[nodiscard]] Result<HttpAnswer> request(std::string_view method, std::string_view path,
        const std::vector<std::string>& headers, std::string_view body, std::chrono::milliseconds timeout);

private:
    struct Closer {
        void operator()(mg_connection* connection) const noexcept;
    };
    using Connection = std::unique_ptr<mg_connection, Closer>;

    [[nodiscard]] Result<Connection> connect() const;
    [[nodiscard]] Result<HttpAnswer> readAnswer(std::chrono::milliseconds timeout);

    std::string m_address;
    std::mutex m_mutex;
    Connection m_connection;
    std::chrono::steady_clock::time_point m_lastUse;
};

} // namespace arbutuscrank
