#pragma once

#include "node/network.hpp"

#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>

/// \file
/// \brief HTTP server for answers from memory: readiness, look-ups, metrics, the state dump and the feed.

namespace arbutuscrank::node {

namespace http = boost::beast::http;

/// \brief Answers GET requests on one address.
class SimpleServer {
public:
    using Answer = http::response<http::string_body>;
    /// \brief Answers one request. \param target path and query
    using Handler = std::function<Answer(std::string_view target)>;

    /// \brief Gives the answer of one request, at once or later. The request is forgotten if it is never called.
    using Reply = std::function<void(Answer)>;
    using LaterHandler = std::function<void(std::string_view target, Reply reply)>;

    SimpleServer(asio::io_context& context, Handler handler);
    SimpleServer(asio::io_context& context, LaterHandler handler);

    [[nodiscard]] Result<void> open(const std::string& address);
    void close();

private:
    void accept();

    asio::io_context& m_context;
    std::shared_ptr<LaterHandler> m_handler;
    std::optional<Tcp::acceptor> m_acceptor;
};

/// \brief An answer with a body.
[[nodiscard]] SimpleServer::Answer makeAnswer(http::status status, std::string body, std::string_view contentType);

} // namespace arbutuscrank::node
