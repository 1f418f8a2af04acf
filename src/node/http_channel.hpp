#pragma once

#include "node/message_parser.hpp"
#include "node/network.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief HTTP client for one server, with one call at a time on a keep-alive connection.

namespace arbutuscrank::node {

namespace http = boost::beast::http;

/// \brief Keep-alive connection to one server. Calls are queued and sent one at a time; a failed call closes the
/// connection.
///
/// \code
/// auto channel = std::make_shared<HttpChannel>(context, endpoint, "10.0.0.7:8382");
/// channel->call(request, std::chrono::milliseconds(500), [](Result<HttpChannel::Response> answer) { ... });
/// \endcode
class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
public:
    using Request = http::request<http::string_body>;
    using Response = http::response<http::string_body>;
    using Handler = std::function<void(Result<Response>)>;

    HttpChannel(asio::io_context& context, Tcp::endpoint server, std::string serverAddress);

    /// \brief Queues a request.
    /// \param timeout time from the start of the call, with its connect, to the end of its answer; time in the queue
    /// is not counted
    /// Errors: Unavailable if the connect failed; Timeout if the connect or the answer took too long; Unknown if
    /// sending or receiving failed, the answer could not be read, or the call was abandoned. After Timeout and Unknown,
    /// the server may have received the request.
    void call(Request request, Duration timeout, Handler done);

    /// \brief Closes the connection. The call in progress and all queued calls end with Unknown.
    void abandon();

private:
    using Parser = MessageParser<false, http::string_body>;
    struct Call {
        std::shared_ptr<Request> request;
        Duration timeout;
        Handler done;
    };

    void startNext();
    void connect();
    void send();
    void receive();
    void receiveBody();
    void finish(Result<Response> result);
    void fail(ErrorCode code, std::string_view step, std::string_view detail);
    void close();

    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    Tcp::endpoint m_server;
    std::string m_serverAddress; ///< included in errors
    std::deque<Call> m_calls; ///< the first one is in progress
    bool m_isBusy = false;
    bool m_isConnected = false;
    std::uint64_t m_generation = 0; ///< changes when a call ends, so that late completions are ignored
    boost::beast::flat_buffer m_buffer { maxUnparsedBytes };
    std::shared_ptr<Parser> m_parser;
};

} // namespace arbutuscrank::node
