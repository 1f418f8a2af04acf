#include "node/caller_session.hpp"

#include "node/clock.hpp"

#include <algorithm>
#include <array>
#include <poll.h>

namespace arbutuscrank::node {

namespace {

    /// Limit on the unanswered pipelined requests of one connection. Further requests are read once answers are sent.
    constexpr std::size_t maxPipelinedRequests = 64;
    /// A connection whose caller acknowledges no data for this time counts as broken.
    constexpr Duration callerAckTimeout = std::chrono::seconds(6);
    /// Time for which a connection stays open after the caller has acknowledged its last answer, if the caller does not
    /// close it.
    constexpr Duration callerCloseTimeout = std::chrono::seconds(1);
    /// Interval at which it is checked what a caller has acknowledged. The system does not report it.
    constexpr Duration deliveryCheckInterval = std::chrono::milliseconds(100);
    /// Bytes of answers that a caller may leave unacknowledged while a planned stop takes further requests from it.
    constexpr std::size_t maxUndeliveredBytesInStop = 64U << 10U;
    /// Bytes of late input that are discarded at a time.
    constexpr std::size_t discardBytes = 16U << 10U;
    /// Late input of one connection that is discarded. The rest stays unread, so that a caller that sends without end
    /// is stopped by the receive window.
    constexpr std::size_t maxDiscardedBytes = 1U << 20U;
    /// A caller that takes no answer for this time does not read.
    constexpr Duration stalledAfter = std::chrono::seconds(1);
    /// Interval at which a connection with unread bytes is checked for a close, which its socket does not report then.
    constexpr Duration disconnectCheckInterval = std::chrono::milliseconds(200);

    void removeConnectionHeaders(CallerAnswer& answer)
    {
        answer.erase(http::field::connection);
        answer.erase(http::field::keep_alive);
        answer.erase(http::field::transfer_encoding);
        answer.erase(http::field::trailer);
        answer.erase(http::field::upgrade);
        answer.erase("Proxy-Connection");
    }

    /// Those of \p events that a socket reports at this moment, and errors.
    short currentEvents(Tcp::socket& socket, short events)
    {
        pollfd state { .fd = socket.native_handle(), .events = events, .revents = 0 };
        return ::poll(&state, 1, 0) > 0 ? state.revents : short { 0 };
    }

} // namespace

std::string_view toString(CloseCause cause) noexcept
{
    switch (cause) {
    case CloseCause::Idle:
        return "idle";
    case CloseCause::Stop:
        return "stop";
    case CloseCause::LastAnswer:
        return "last-answer";
    case CloseCause::WriteFailed:
        return "write-failed";
    case CloseCause::ProcessEnd:
        return "process-end";
    case CloseCause::Crowded:
        return "crowded";
    case CloseCause::Memory:
        return "memory";
    }
    return "unknown";
}

CallerSession::CallerSession(Tcp::socket socket, const CallerHandlers& handlers)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_disconnectTimer(m_socket.get_executor())
    , m_closeTimer(m_socket.get_executor())
    , m_handlers(handlers)
{
    setSocketOptions(m_socket, callerAckTimeout);
    SystemError ignored; // a failed connection is noticed by the first read
    m_socket.non_blocking(true, ignored);
    m_movedAt = currentTime();
}

void CallerSession::start()
{
    if (m_handlers.memory) {
        m_memory = m_handlers.memory->add([this] { refuseForMemory(); }, [this] { closeNow(CloseCause::Memory); });
    }
    waitForRequest();
}

void CallerSession::closeIfNoneUnansweredAfter(Duration duration)
{
    m_timer.expires_after(duration);
    m_timer.async_wait([weak = weak_from_this(), generation = ++m_timerGeneration, duration](SystemError ec) {
        const auto self = weak.lock();
        // The handler of an earlier wait may already be queued when the timer is set again; the generation rejects it.
        if (ec || !self || generation != self->m_timerGeneration)
            return;
        if (!self->hasNoUnansweredRequest())
            self->closeIfNoneUnansweredAfter(duration);
        else if (self->isAwaitingRequest() && unreadBytes(self->m_socket) != 0)
            self->closeIfNoneUnansweredAfter(self->m_handlers.limits().headerTimeout); // read in this turn of the loop
        else
            self->closeIdle(CloseCause::Idle);
    });
}

void CallerSession::waitForRequest()
{
    if (m_isReading || m_isClosed)
        return;
    stopReadingIfCallerIsSlow();
    if (m_hasReadLastRequest) {
        if (!hasNoUnansweredRequest())
            watchForDisconnect();
        return;
    }
    if (m_pendingAnswers.size() >= maxPipelinedRequests) {
        watchForDisconnect();
        return;
    }
    m_isReading = true;
    const auto& limits = m_handlers.limits();
    m_parser.emplace();
    m_parser->header_limit(limits.maxHeaderBytes);
    m_parser->setTrailerLimit(limits.maxHeaderBytes);
    m_parser->body_limit(limits.maxBodyBytes);
    m_fieldBytes = 0;
    m_isBodyDiscarded = false;
    m_buffer.max_size(std::max<std::size_t>(m_buffer.size(), limits.maxHeaderBytes + maxUnparsedBytes));
    if (m_buffer.size() != 0) {
        closeIfNoneUnansweredAfter(limits.headerTimeout);
        asio::post(m_socket.get_executor(), [self = shared_from_this(), generation = m_readGeneration] {
            if (generation == self->m_readGeneration)
                self->readRequest();
        });
        return;
    }
    freeEmptyBuffer();
    closeIfNoneUnansweredAfter(limits.idleTimeout);
    m_socket.async_wait(
        Tcp::socket::wait_read, [self = shared_from_this(), generation = m_readGeneration](SystemError ec) {
            if (ec || self->m_isClosed || generation != self->m_readGeneration)
                return;
            self->stopReadingIfCallerIsSlow();
            if (self->m_hasReadLastRequest) {
                self->dropRequest();
                self->watchForDisconnect();
                return;
            }
            self->closeIfNoneUnansweredAfter(self->m_handlers.limits().headerTimeout);
            self->readRequest();
        });
}

void CallerSession::acceptRequest()
{
    auto request = std::make_shared<CallerRequest>(m_parser->release());
    request->body().keep(m_memory.acceptRequest());
    dropRequest();
    if (m_isBodyDiscarded && m_handlers.needsBody(*request)) {
        // The configuration has changed while the body arrived.
        CallerAnswer answer(http::status::service_unavailable, 11);
        answer.set(http::field::retry_after, "0");
        refuseUnread(std::move(answer));
        return;
    }
    const auto id = m_handlers.allocateId();
    m_pendingAnswers.push_back({ .request = id, .keepAlive = request->keep_alive(), .version = request->version() });
    if (!request->keep_alive())
        m_hasReadLastRequest = true;
    m_handlers.onRequest(id, std::move(request), shared_from_this());
    if (m_hasReadLastRequest)
        watchForDisconnect();
}

void CallerSession::refuseUnread(CallerAnswer answer)
{
    answer.prepare_payload();
    m_hasReadLastRequest = true;
    m_pendingAnswers.push_back({ .keepAlive = false, .answer = std::move(answer) });
    writeNext();
    watchForDisconnect();
}

void CallerSession::watchForDisconnect()
{
    if (m_isClosed || m_isWatchingForDisconnect)
        return;
    m_isWatchingForDisconnect = true;
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](SystemError ec) {
        if (ec || self->m_isClosed)
            return;
        if (self->hasCallerClosed() && !self->mayCallerStillReceive()) {
            self->closeAndReportUnanswered();
            return;
        }
        if (self->discardInput()) {
            self->m_isWatchingForDisconnect = false;
            self->watchForDisconnect();
            return;
        }
        // Bytes of further requests are unread, so that the socket stays readable.
        self->m_disconnectTimer.expires_after(disconnectCheckInterval);
        self->m_disconnectTimer.async_wait([self](SystemError timerEc) {
            self->m_isWatchingForDisconnect = false;
            const bool mustWatch = !self->hasNoUnansweredRequest() || self->m_isEnding;
            if (!timerEc && !self->m_isReading && mustWatch)
                self->watchForDisconnect();
        });
    });
}

void CallerSession::handleReadError(SystemError ec)
{
    if (isDisconnect(ec)) {
        closeAndReportUnanswered();
        return;
    }
    if (m_hasReadLastRequest) { // late input, which needs no answer
        watchForDisconnect();
        return;
    }
    m_handlers.logUnreadableRequest(describeReadError(ec));
    CallerAnswer answer(statusForReadError(ec), 11);
    refuseUnread(std::move(answer));
}

void CallerSession::closeAndReportUnanswered()
{
    if (m_isClosed)
        return;
    close();
    m_currentMemory.markEnding();
    for (const auto& pending : std::exchange(m_pendingAnswers, {})) {
        if (pending.request != 0 && !pending.answer)
            m_handlers.onCallerDisconnected(pending.request);
    }
}

void CallerSession::closeNow(CloseCause cause)
{
    const auto self = shared_from_this(); // the requests may be the last owners
    reportCut(cause);
    closeAndReportUnanswered();
}

CallerSession::CostOfClose CallerSession::costOfClose()
{
    const bool isStalled = currentTime() - m_movedAt >= stalledAfter;
    if ((m_isWriting && isStalled) || (m_isEnding && undeliveredBytes() != 0))
        return CostOfClose::Answers;
    if (!hasNoUnansweredRequest())
        return CostOfClose::RunningRequests;
    return isReceivingRequest() ? CostOfClose::PartOfRequest : CostOfClose::Nothing;
}

void CallerSession::closeForMemory()
{
    if (m_isClosed)
        return;
    SystemError ec;
    const auto caller = m_socket.remote_endpoint(ec); // unset if the caller has already disconnected
    m_handlers.logConnectionDropped(caller.address().to_string(), m_pendingAnswers.size());
    closeAndReportUnanswered();
}

void CallerSession::answer(RequestId request, CallerAnswer answer, AnswerMemory::Share memory)
{
    const auto it = std::ranges::find(m_pendingAnswers, request, &PendingAnswer::request);
    if (it == m_pendingAnswers.end() || m_isClosed)
        return;
    it->answer = std::move(answer);
    it->memory = std::move(memory);
    it->memory.assign("caller " + std::to_string(m_socket.native_handle()), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->closeForMemory();
    });
    writeNext();
}

void CallerSession::writeNext()
{
    if (m_isWriting || m_isClosed || m_pendingAnswers.empty() || !m_pendingAnswers.front().answer)
        return;
    auto& front = m_pendingAnswers.front();
    m_isWriting = true;
    m_currentAnswer = std::move(front.answer);
    m_currentMemory = std::move(front.memory);
    const bool isLastPending = m_pendingAnswers.size() == 1;
    const bool closesConnection = !front.keepAlive || (m_handlers.isStopping() && isLastPending);
    // Requests that arrive behind a closing answer must not run: callers count them as unread and resend them.
    m_hasReadLastRequest = m_hasReadLastRequest || closesConnection;
    removeConnectionHeaders(*m_currentAnswer);
    m_currentAnswer->version(11);
    m_currentAnswer->keep_alive(!closesConnection);
    m_currentAnswer->prepare_payload();
    m_pendingAnswers.pop_front();
    http::async_write(
        m_socket, *m_currentAnswer, [self = shared_from_this(), closesConnection](SystemError ec, std::size_t) {
            // After these errors the caller has closed the connection itself.
            if (ec && ec != asio::error::broken_pipe && ec != asio::error::connection_reset)
                self->reportCut(CloseCause::WriteFailed);
            self->m_isWriting = false;
            self->m_movedAt = currentTime();
            self->m_currentAnswer.reset();
            self->m_currentMemory = {};
            if (self->m_isClosed)
                return;
            if (ec) {
                self->closeAndReportUnanswered();
                return;
            }
            if (closesConnection) {
                self->endConnection(LateInput::Discard, CloseCause::LastAnswer);
                return;
            }
            self->writeNext();
            if (self->m_hasReadLastRequest && self->hasNoUnansweredRequest())
                self->endConnection(LateInput::LeaveUnread, CloseCause::Stop);
            else if (self->hasNoUnansweredRequest() && self->isAwaitingRequest())
                self->closeIfNoneUnansweredAfter(self->m_handlers.limits().idleTimeout);
            self->waitForRequest();
        });
}

void CallerSession::endConnection(LateInput lateInput, CloseCause cause)
{
    // A connection that is closed with unread bytes, or that gets further bytes after its close, is reset, and its
    // caller loses what it has not acknowledged.
    m_isEnding = true;
    m_hasReadLastRequest = true;
    m_lateInput = lateInput;
    m_timer.cancel();
    SystemError ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored); // the caller may have closed already
    m_undeliveredBytes = undeliveredBytes();
    m_deliveryProgressAt = currentTime();
    waitForDelivery(cause);
    watchForDisconnect();
}

void CallerSession::waitForDelivery(CloseCause cause)
{
    m_closeTimer.expires_after(deliveryCheckInterval);
    m_closeTimer.async_wait([self = shared_from_this(), cause](SystemError ec) {
        if (ec || self->m_isClosed)
            return;
        const auto now = currentTime();
        const auto undelivered = self->undeliveredBytes();
        if (undelivered != self->m_undeliveredBytes)
            self->m_deliveryProgressAt = now;
        self->m_undeliveredBytes = undelivered;
        if (now - self->m_deliveryProgressAt < (undelivered == 0 ? callerCloseTimeout : callerAckTimeout)) {
            self->waitForDelivery(cause);
            return;
        }
        self->reportCut(cause);
        self->closeAndReportUnanswered();
    });
}

void CallerSession::closeIdle(CloseCause cause)
{
    if (m_isEnding || m_isClosed)
        return;
    if (undeliveredBytes() != 0) {
        endConnection(LateInput::LeaveUnread, cause);
        return;
    }
    reportCut(cause);
    close();
}

bool CallerSession::discardInput()
{
    if (!m_isEnding || m_lateInput != LateInput::Discard || m_discardedBytes >= maxDiscardedBytes)
        return false;
    std::array<char, discardBytes> buf;
    SystemError ec; // a failed connection is noticed by the next wait
    const auto n = m_socket.read_some(asio::buffer(buf, std::min(discardBytes, unreadBytes(m_socket))), ec);
    m_discardedBytes += n;
    return n != 0;
}

bool CallerSession::mayCallerStillReceive()
{
    const bool hasFailed = (currentEvents(m_socket, 0) & POLLERR) != 0;
    return m_isEnding && !hasFailed && undeliveredBytes() != 0;
}

bool CallerSession::hasCallerClosed()
{
    if (m_isClosed || !m_socket.is_open())
        return true;
    return currentEvents(m_socket, POLLRDHUP) != 0;
}

bool CallerSession::isReceivingRequest() const
{
    if (m_isClosed || m_hasReadLastRequest)
        return false;
    const bool hasReadPart = m_isReading && m_parser->got_some();
    return hasReadPart || m_buffer.size() != 0 || unreadBytes(m_socket) != 0;
}

bool CallerSession::isAwaitingRequest() const
{
    return m_isReading && !m_hasReadLastRequest && !m_parser->got_some() && m_buffer.size() == 0;
}

void CallerSession::stopReading()
{
    if (!hasNoUnansweredRequest() || !isReceivingRequest())
        m_hasReadLastRequest = true;
}

void CallerSession::stopReadingIfCallerIsSlow()
{
    if (!m_handlers.isStopping() || hasNoUnansweredRequest())
        return;
    // Further answers might not reach the caller before the process ends.
    const bool isAnswerWaiting
        = std::ranges::any_of(m_pendingAnswers, [](const auto& it) { return it.answer.has_value(); });
    if (m_isWriting || isAnswerWaiting || undeliveredBytes() > maxUndeliveredBytesInStop)
        m_hasReadLastRequest = true;
}

void CallerSession::closeIfNoneUnanswered()
{
    if (hasNoUnansweredRequest() && !isReceivingRequest())
        closeIdle(CloseCause::Stop);
}

void CallerSession::reportCut(CloseCause cause)
{
    if (m_isClosed)
        return;
    ConnectionCut cut { .cause = cause,
        .unansweredRequests = m_pendingAnswers.size() + (m_isWriting ? 1 : 0),
        .unreadBytes = unreadBytes(m_socket),
        .unacknowledgedBytes = undeliveredBytes() };
    if (cut.unansweredRequests + cut.unreadBytes + cut.unacknowledgedBytes == 0)
        return;
    SystemError ec;
    if (const auto caller = m_socket.remote_endpoint(ec); !ec) // fails if the caller has disconnected
        cut.caller = caller.address().to_string() + ':' + std::to_string(caller.port());
    m_handlers.logConnectionCut(cut);
}

void CallerSession::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_isEnding = false;
    dropRequest();
    m_timer.cancel();
    m_disconnectTimer.cancel();
    m_closeTimer.cancel();
    SystemError ec;
    m_socket.close(ec); // the socket is discarded, so an error has no effect
}

} // namespace arbutuscrank::node
