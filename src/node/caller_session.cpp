#include "node/caller_session.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace arbutuscrank::node {

namespace {

    /// Requests that one connection may have waiting. More are read when answers have left.
    constexpr std::size_t maxPending = 64;
    /// A caller that acknowledges nothing for this long is gone.
    constexpr Duration callerSilence = std::chrono::seconds(6);

    void removeConnectionHeaders(CallerAnswer& answer)
    {
        answer.erase(http::field::connection);
        answer.erase(http::field::keep_alive);
        answer.erase(http::field::transfer_encoding);
        answer.erase(http::field::trailer);
        answer.erase(http::field::upgrade);
        answer.erase("Proxy-Connection");
    }

    http::status statusOf(SystemError ec)
    {
        if (ec == http::error::header_limit)
            return http::status::request_header_fields_too_large;
        if (ec == http::error::body_limit)
            return http::status::payload_too_large;
        return http::status::bad_request;
    }

} // namespace

CallerSession::CallerSession(Tcp::socket socket, const CallerHandlers& handlers)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_handlers(handlers)
{
    prepareSocket(m_socket, callerSilence);
}

void CallerSession::armTimer(Duration duration)
{
    m_timer.expires_after(duration);
    m_timer.async_wait([weak = weak_from_this(), round = ++m_timerRound](SystemError ec) {
        const auto self = weak.lock();
        // An earlier wait may end in the same turn of the loop in which the timer is set anew.
        if (!ec && self && round == self->m_timerRound && self->isIdle())
            self->close();
    });
}

void CallerSession::waitForRequest()
{
    if (m_reading || m_lastRequest || m_closed || m_pending.size() >= maxPending)
        return;
    m_reading = true;
    const auto& limits = m_handlers.limits();
    m_parser.emplace();
    m_parser->header_limit(limits.maxHeaderBytes);
    m_parser->body_limit(limits.maxBodyBytes);
    if (m_buffer.size() != 0) {
        readRequest();
        return;
    }
    armTimer(limits.idleTimeout);
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](SystemError ec) {
        if (ec || self->m_closed)
            return;
        self->armTimer(self->m_handlers.limits().headerTimeout);
        self->readRequest();
    });
}

void CallerSession::readRequest()
{
    const auto failed = [](const std::shared_ptr<CallerSession>& self, SystemError ec) {
        if (!ec && !self->m_closed)
            return false;
        self->m_reading = false;
        if (!self->m_closed)
            self->rejectUnreadable(ec);
        return true;
    };
    http::async_read_header(
        m_socket, m_buffer, *m_parser, [self = shared_from_this(), failed](SystemError ec, std::size_t) {
            if (failed(self, ec))
                return;
            self->armTimer(self->m_handlers.limits().idleTimeout);
            http::async_read(
                self->m_socket, self->m_buffer, *self->m_parser, [self, failed](SystemError bodyEc, std::size_t) {
                    if (failed(self, bodyEc))
                        return;
                    self->m_reading = false;
                    self->m_timer.cancel();
                    self->accept(*self->m_parser);
                    self->waitForRequest();
                });
        });
}

void CallerSession::accept(http::request_parser<http::string_body>& parser)
{
    auto request = std::make_shared<CallerRequest>(parser.release());
    const auto id = m_handlers.nextId();
    m_pending.push_back({ .request = id, .keepAlive = request->keep_alive(), .version = request->version() });
    if (!request->keep_alive())
        m_lastRequest = true;
    m_handlers.arrived(id, std::move(request), shared_from_this());
    if (m_lastRequest && !m_closed) {
        // Nothing more is read as a request, but the caller's going away still has to be seen.
        m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](SystemError ec) {
            if (!ec && !self->m_closed && !self->m_pending.empty()) {
                char byte = 0;
                const auto n = self->m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
                if (ec || n == 0)
                    self->callerGone();
            }
        });
    }
}

void CallerSession::rejectUnreadable(SystemError ec)
{
    const bool gone = ec == http::error::end_of_stream || ec == http::error::partial_message || ec == asio::error::eof
        || ec.category() == asio::error::get_system_category();
    if (gone) {
        callerGone();
        return;
    }
    m_handlers.log(ec.message());
    CallerAnswer answer(statusOf(ec), 11);
    answer.prepare_payload();
    m_lastRequest = true;
    m_pending.push_back({ .keepAlive = false, .answer = std::move(answer) });
    writeNext();
}

void CallerSession::callerGone()
{
    if (m_closed)
        return;
    close();
    for (const auto& pending : std::exchange(m_pending, {})) {
        if (pending.request != 0 && !pending.answer)
            m_handlers.left(pending.request);
    }
}

void CallerSession::answer(RequestId request, CallerAnswer answer)
{
    const auto it = std::ranges::find(m_pending, request, &Pending::request);
    if (it == m_pending.end() || m_closed)
        return;
    it->answer = std::move(answer);
    writeNext();
}

void CallerSession::writeNext()
{
    if (m_writing || m_closed || m_pending.empty() || !m_pending.front().answer)
        return;
    auto& front = m_pending.front();
    m_writing = true;
    m_current = std::move(front.answer);
    const bool lastOne = m_pending.size() == 1;
    const bool closes = !front.keepAlive || (m_handlers.stopping() && lastOne);
    removeConnectionHeaders(*m_current);
    m_current->version(11);
    m_current->keep_alive(!closes);
    m_current->prepare_payload();
    m_pending.pop_front();
    http::async_write(m_socket, *m_current, [self = shared_from_this(), closes](SystemError ec, std::size_t) {
        self->m_writing = false;
        self->m_current.reset();
        if (self->m_closed)
            return;
        if (ec) {
            self->callerGone();
            return;
        }
        if (closes) {
            SystemError ignored;
            self->m_socket.shutdown(Tcp::socket::shutdown_send, ignored); // the caller may have closed already
            self->m_lastRequest = true;
            self->callerGone();
            return;
        }
        self->writeNext();
        self->waitForRequest();
    });
}

bool CallerSession::hasCallerClosed()
{
    if (m_closed || !m_socket.is_open())
        return true;
    char next = 0;
    const auto n = ::recv(m_socket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void CallerSession::closeIfIdle()
{
    if (isIdle())
        close();
}

void CallerSession::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_timer.cancel();
    SystemError ec;
    m_socket.close(ec); // the connection is given up; an error changes nothing
}

} // namespace arbutuscrank::node
