#pragma once

#include "node/network.hpp"
#include "node/object_store.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

/// \file
/// \brief One connection of a caller. Requests sent one behind the other run side by side and are answered in order.

namespace arbutuscrank::node {

namespace http = boost::beast::http;

using CallerRequest = http::request<http::string_body>;
using CallerAnswer = http::response<http::string_body>;

class CallerSession;

/// \brief What a session asks of its owner.
struct CallerHandlers {
    std::function<RequestId()> nextId;
    std::function<void(RequestId, std::shared_ptr<const CallerRequest>, std::shared_ptr<CallerSession>)> arrived;
    std::function<void(RequestId)> left; ///< the caller went away before the answer
    std::function<const entry::CallerLimits&()> limits;
    std::function<bool()> stopping; ///< whether answers close their connection
    std::function<void(const std::string&)> log; ///< a request that could not be read
};

/// \brief One connection of a caller.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(Tcp::socket socket, const CallerHandlers& handlers);

    void start() { waitForRequest(); }

    /// \brief Answers a request. Answers leave in the order of the requests.
    void answer(RequestId request, CallerAnswer answer);

    /// \brief Closes the connection if no request is waiting on it.
    void closeIfIdle();

    /// \brief Whether the caller has closed the connection, also if the event loop has not come to it yet. Bytes of
    /// further requests before the close hide it.
    [[nodiscard]] bool hasCallerClosed();

    [[nodiscard]] bool isIdle() const noexcept { return m_pending.empty() && !m_writing; }

private:
    struct Pending {
        RequestId request = 0; ///< 0 for an answer of the session's own
        bool keepAlive = true;
        unsigned version = 11;
        std::optional<CallerAnswer> answer;
    };

    void waitForRequest();
    void readRequest();
    void accept(http::request_parser<http::string_body>& parser);
    void rejectUnreadable(SystemError ec);
    void writeNext();
    void armTimer(Duration duration);
    void callerGone();
    void close();

    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    const CallerHandlers& m_handlers;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::deque<Pending> m_pending;
    std::optional<CallerAnswer> m_current; ///< being written
    std::uint64_t m_timerRound = 0;
    bool m_reading = false;
    bool m_writing = false;
    bool m_lastRequest = false; ///< no further request is read
    bool m_closed = false;
};

} // namespace arbutuscrank::node
