#pragma once

#include "node/answer_memory.hpp"
#include "node/caller_memory.hpp"
#include "node/message_parser.hpp"
#include "node/network.hpp"
#include "node/object_store.hpp"
#include "node/request_body.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief A caller's HTTP connection. Pipelined requests run concurrently and are answered in order.

namespace arbutuscrank::node {

namespace http = boost::beast::http;

using CallerRequest = http::request<RequestBody>;
using CallerAnswer = http::response<http::string_body>;

class CallerSession;

/// \brief Why the process closes a caller's connection.
enum class CloseCause : std::uint8_t {
    Idle, ///< no request arrived, or not all of it, within its time limit
    Stop, ///< planned stop, no request unanswered
    LastAnswer, ///< the caller has not closed the connection after its last answer
    WriteFailed, ///< an answer could not be written
    ProcessEnd, ///< the process ends
    Crowded, ///< another caller needs its socket
    Memory, ///< the requests of all callers exceed their memory
};

/// \brief Name of the cause in logs and metrics.
[[nodiscard]] std::string_view toString(CloseCause cause) noexcept;

/// \brief A connection that was closed although data were outstanding, so that its caller may have lost answers.
struct ConnectionCut {
    CloseCause cause = CloseCause::Idle;
    std::string caller; ///< address, empty if the caller has disconnected
    std::size_t unansweredRequests = 0; ///< requests whose answer was not written whole
    std::size_t unreadBytes = 0; ///< received and not read; the close resets the connection if there are any
    std::size_t unacknowledgedBytes = 0; ///< written and not acknowledged by the caller
};

/// \brief Callbacks from a session to its owner.
struct CallerHandlers {
    std::function<RequestId()> allocateId; ///< returns the id of the next request
    std::function<void(RequestId, std::shared_ptr<const CallerRequest>, std::shared_ptr<CallerSession>)> onRequest;
    /// Called for each request whose connection was closed, by either side, before the request was answered.
    std::function<void(RequestId)> onCallerDisconnected;
    std::function<const entry::CallerLimits&()> limits;
    std::function<bool()> isStopping; ///< while true, a connection closes after its last pending answer
    std::function<void(const std::string&)> logUnreadableRequest; ///< gets the reason why a request was unreadable
    /// Called when a connection is closed because its caller leaves more answers unread than there is memory for.
    std::function<void(const std::string& caller, std::size_t unansweredRequests)> logConnectionDropped;
    std::function<void(const ConnectionCut&)> logConnectionCut;
    /// Asked when the head of a request with a body is read. If it returns false, the body is not kept, and the owner
    /// answers the request without it. Empty if all bodies are kept.
    std::function<bool(const CallerRequest&)> needsBody;
    /// Called when a request is refused, because the requests of all callers exceed their memory.
    std::function<void(const std::string& caller, std::uint64_t requestBytes)> logRequestRefused;
    CallerMemory* memory = nullptr; ///< counts the requests; null if they are not counted
};

/// \brief Reads the requests of one connection and writes their answers.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(Tcp::socket socket, const CallerHandlers& handlers);

    void start();

    /// \brief Answers a request. Answers are written in the order of the requests, so an early answer is held back.
    /// \param memory counts the answer until it is written; if it is released, the connection closes
    void answer(RequestId request, CallerAnswer answer, AnswerMemory::Share memory = {});

    /// \brief Reads no further request, but for one that has arrived while none is unanswered. The connection closes
    /// after the answer to the last request that was read, so that the caller sends later ones again.
    void stopReading();

    /// \brief Ends the connection once its caller has acknowledged all answers, unless one is still to be written or a
    /// request is being read.
    void closeIfNoneUnanswered();

    /// \brief Whether the caller has closed the connection. It asks the socket, so that it sees a close before the
    /// event loop reports it, also behind unread bytes of further requests.
    [[nodiscard]] bool hasCallerClosed();

    /// \brief Whether the session may end without the loss of an answer: no request is unanswered or being read, and
    /// the caller has acknowledged the last one.
    [[nodiscard]] bool owesNothing()
    {
        return hasNoUnansweredRequest() && !m_isEnding && !isReceivingRequest() && undeliveredBytes() == 0;
    }

    /// \brief What it costs the caller if its connection is closed, from the least.
    enum class CostOfClose : std::uint8_t {
        Nothing, ///< idle
        PartOfRequest, ///< a request has not arrived whole
        Answers, ///< the caller does not read its answers
        RunningRequests,
    };
    [[nodiscard]] CostOfClose costOfClose();

    /// \brief When the caller last sent bytes or an answer was written.
    [[nodiscard]] TimePoint movedAt() const noexcept { return m_movedAt; }
    [[nodiscard]] bool isClosed() const noexcept { return m_isClosed; }

    /// \brief Closes the connection at once. Its unanswered requests are reported.
    void closeNow(CloseCause cause);

    /// \brief Logs what is outstanding on the connection, if anything, because the process ends.
    void reportProcessEnd() { reportCut(CloseCause::ProcessEnd); }

private:
    struct PendingAnswer {
        RequestId request = 0; ///< 0 for an answer that the session itself produced
        bool keepAlive = true;
        unsigned version = 11;
        std::optional<CallerAnswer> answer;
        AnswerMemory::Share memory; ///< of \ref answer
    };

    /// What to do with bytes that arrive on a connection that is ending.
    enum class LateInput : std::uint8_t {
        Discard, ///< the last answer said that the connection closes, so callers send these requests again
        LeaveUnread, ///< the caller could take a request that was read for one that is being worked on
    };

    [[nodiscard]] bool hasNoUnansweredRequest() const noexcept { return m_pendingAnswers.empty() && !m_isWriting; }
    /// Bytes that were written and the caller has not acknowledged. 0 if the system does not tell: then the connection
    /// closes after a fixed time.
    [[nodiscard]] std::size_t undeliveredBytes() { return unacknowledgedBytes(m_socket).value_or(0); }
    /// Whether a request, or a part of one, has arrived that is still to be answered.
    [[nodiscard]] bool isReceivingRequest() const;
    /// Whether the next request is to be read and no byte of it has been taken.
    [[nodiscard]] bool isAwaitingRequest() const;
    void waitForRequest();
    /// In a planned stop, takes no request behind an answer that waits for an earlier one, or that its caller does not
    /// take as fast as it is written.
    void stopReadingIfCallerIsSlow();
    void waitForBytes();
    /// Reads and parses what has arrived of the request, and waits for more unless it is whole.
    void readRequest();
    /// Receives bytes and passes them to the parser. \returns the number of bytes received
    std::size_t receive(SystemError& ec);
    /// Passes bytes to the parser. \returns the number of bytes that it has taken
    std::size_t parse(asio::const_buffer bytes, SystemError& ec);
    /// Counts the memory of the fields that the parser holds.
    void countFields();
    void handleHead();
    void countMemory();
    void freeEmptyBuffer();
    /// Ends the request that is being read and frees its memory.
    void dropRequest();
    void refuseForMemory();
    /// Answers an unread request and reads no further one.
    void refuseUnread(CallerAnswer answer);
    /// Notices that the caller disconnects while no further request is read, and keeps the session alive until all
    /// requests are answered and the connection has ended. Drops late input that is to be discarded.
    void watchForDisconnect();
    void acceptRequest();
    void handleReadError(SystemError ec);
    void writeNext();
    /// Closes the connection after a time in which its caller owes a request or the rest of one. The time begins anew
    /// with the answer to the last request, and at its end if a request is unanswered.
    void closeIfNoneUnansweredAfter(Duration duration);
    /// Ends the sending direction and leaves the connection open until the caller has acknowledged everything and has
    /// had time to read it and to close the connection.
    void endConnection(LateInput lateInput, CloseCause cause);
    void waitForDelivery(CloseCause cause);
    /// Closes a connection without unanswered requests, or ends it if its last answer is still on its way.
    void closeIdle(CloseCause cause);
    /// Reads and drops late input. \returns false if it is to be left unread
    bool discardInput();
    /// Whether a caller that has closed its sending direction, on a connection that is ending, may still receive what
    /// was written.
    [[nodiscard]] bool mayCallerStillReceive();
    void closeAndReportUnanswered();
    void closeForMemory();
    /// Logs what would be lost if the connection were closed now, if anything.
    void reportCut(CloseCause cause);
    void close();

    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::steady_timer m_disconnectTimer;
    asio::steady_timer m_closeTimer;
    const CallerHandlers& m_handlers;
    boost::beast::flat_buffer m_buffer;
    std::optional<MessageParser<true, RequestBody>> m_parser;
    CallerMemory::Holder m_memory;
    std::size_t m_fieldBytes = 0; ///< memory of the parsed fields of the request that is being read
    bool m_isBodyDiscarded = false; ///< of the request that is being read
    std::uint64_t m_readGeneration = 0; ///< number of requests whose reading has ended
    TimePoint m_movedAt {};
    std::deque<PendingAnswer> m_pendingAnswers;
    std::optional<CallerAnswer> m_currentAnswer; ///< the answer that is being written
    AnswerMemory::Share m_currentMemory; ///< of \ref m_currentAnswer
    std::uint64_t m_timerGeneration = 0;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isWatchingForDisconnect = false;
    bool m_hasReadLastRequest = false; ///< if true, no further request is read
    bool m_isEnding = false; ///< everything is written and the sending direction is closed
    LateInput m_lateInput = LateInput::LeaveUnread;
    std::size_t m_discardedBytes = 0; ///< of late input
    std::size_t m_undeliveredBytes = 0; ///< when last asked, while the connection is ending
    TimePoint m_deliveryProgressAt {}; ///< when the caller last acknowledged bytes, while the connection is ending
    bool m_isClosed = false;
};

} // namespace arbutuscrank::node
