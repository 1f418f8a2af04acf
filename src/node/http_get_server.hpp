#pragma once

#include "node/http_fields.hpp"
#include "node/network.hpp"

#include <boost/beast/http.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>

/// \file
/// \brief HTTP server for answers from memory: readiness, look-ups, metrics, the state dump and the feed.

namespace arbutuscrank::node {

namespace http = boost::beast::http;

/// \brief Answers GET requests on one address.
class HttpGetServer {
public:
    using Answer = http::response<http::string_body>;
    /// \brief Produces the answer to one request at once. \param target path and query
    using Handler = std::function<Answer(std::string_view target)>;

    /// \brief Sends the answer to one request, at once or later. The connection closes if every copy of it is destroyed
    /// without a call.
    using Reply = std::function<void(Answer)>;
    /// \brief Takes one request and answers it through \p reply.
    using AsyncHandler = std::function<void(std::string_view target, Reply reply)>;

    HttpGetServer(asio::io_context& context, Handler handler);
    HttpGetServer(asio::io_context& context, AsyncHandler handler);

    /// \brief Listens on "ip:port". \returns InvalidArgument or Unavailable with the address
    [[nodiscard]] Result<void> open(const std::string& address);
    /// \brief Limits the open connections. Past the limit, the one that has waited longest is closed for a new one:
    /// first among those that read a request, then among those whose answer is not taken.
    void setMaxConnections(std::size_t n) { m_maxConnections = n; }

    /// \brief Sets the handler that gets the reason for each request that could not be read. Such a request is answered
    /// with the status of \ref statusForReadError, and its connection closes.
    void setUnreadableHandler(std::function<void(const std::string& detail)> handler)
    {
        m_handlers->onUnreadable = std::move(handler);
    }

    /// \brief Number of connections that were closed because of the limit.
    [[nodiscard]] std::uint64_t closedConnections() const noexcept { return m_closedConnections; }

    /// \brief Stops accepting connections. Open connections stay.
    void close();

    class Session;

private:
    /// Shared with the sessions, which may outlive the server.
    struct Handlers {
        AsyncHandler onRequest;
        std::function<void(const std::string& detail)> onUnreadable; ///< may be empty
    };

    void accept();
    void makeRoom();

    asio::io_context& m_context;
    std::shared_ptr<Handlers> m_handlers;
    std::optional<Tcp::acceptor> m_acceptor;
    std::list<std::weak_ptr<Session>> m_sessions; ///< only if the connections are limited
    std::size_t m_maxConnections = 0; ///< 0 means that they are not limited
    std::uint64_t m_closedConnections = 0;
};

/// \brief Builds an answer with a body.
[[nodiscard]] HttpGetServer::Answer makeAnswer(http::status status, std::string body, std::string_view contentType);

} // namespace arbutuscrank::node
