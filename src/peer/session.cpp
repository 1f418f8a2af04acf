#include "peer/session.hpp"

#include "peer/message_streams.hpp"
#include "peer/session_callbacks.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace arbutuscrank::peer {

namespace {

    /// Time between two PINGs on a silent connection.
    constexpr auto pingInterval = std::chrono::seconds(1);
    /// PINGs without any byte in return after which the connection counts as dead. PINGs are counted instead of time
    /// so that a paused process does not take its own pause for silence of the peer.
    constexpr unsigned maxUnansweredPings = 3;
    /// Most bytes read from one socket before other sockets get their turn.
    constexpr std::size_t maxReadPerEvent = 512U << 10U;

    std::string systemError(int number) { return std::generic_category().message(number); }

} // namespace

nghttp2_nv makeHeader(std::string_view name, std::string_view value) noexcept
{
    const auto bytes = [](std::string_view it) {
        return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(it.data()));
    };
    return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

// --- Life ------------------------------------------------------------------------------------------------------------

Session::Session(std::shared_ptr<EventLoop> loop, SessionOwner& owner, int fd, bool client, std::string peerName)
    : m_loop(std::move(loop))
    , m_owner(owner)
    , m_fd(fd)
    , m_client(client)
    , m_peerName(std::move(peerName))
    , m_connected(!client)
{
}

Session::~Session()
{
    if (m_fd >= 0)
        ::close(m_fd);
    nghttp2_session_del(m_http);
}

void Session::openNghttp2()
{
    m_http = SessionCallbacks::newSession(*this, m_client);
    const std::array<nghttp2_settings_entry, 4> entries { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, maxHeaderBytes },
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    } };
    nghttp2_submit_settings(m_http, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    // Streams have windows of their own; a full one must not hold up messages on the same connection.
    constexpr std::int32_t connectionWindowBytes = 64 << 20;
    nghttp2_session_set_local_window_size(m_http, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    m_messages = std::make_shared<OutgoingMessages>(*this);
    if (m_client)
        m_messages->openReverse();
}

void Session::start()
{
    openNghttp2();
    m_events = m_connected ? EPOLLIN : EPOLLOUT;
    m_watch = m_loop->add(m_fd, m_events, [self = shared_from_this()](std::uint32_t events) { self->onIo(events); });
    if (m_connected)
        flush();
}

void Session::shutDown(const Error& error)
{
    if (isOpen() && m_connected) {
        nghttp2_session_terminate_session(m_http, NGHTTP2_NO_ERROR);
        fillOutput();
        writeOutput();
    }
    close(error);
}

void Session::close(const Error& error)
{
    if (!isOpen())
        return;
    const auto self = shared_from_this();
    m_loop->remove(m_watch);
    ::close(m_fd);
    m_fd = -1;
    const auto streams = std::exchange(m_streams, {});
    for (const auto& [id, stream] : streams) {
        const bool neverWritten = !stream->requestOffset || m_written <= *stream->requestOffset;
        stream->onClosed({ NGHTTP2_CANCEL, neverWritten, describe(error) });
    }
    for (const auto& [id, batch] : incomingBatches)
        m_owner.releaseMemory(batch.bytes.size());
    incomingBatches.clear();
    m_owner.onClosed(*this, error);
}

void Session::fail(std::string detail)
{
    if (m_failure.empty())
        m_failure = std::move(detail);
}

// --- Socket ----------------------------------------------------------------------------------------------------------

void Session::onIo(std::uint32_t events)
{
    if (!isOpen())
        return;
    if (!m_connected && !finishConnect())
        return;
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        receive();
    if (isOpen())
        flush();
}

bool Session::finishConnect()
{
    int number = 0;
    socklen_t length = sizeof number;
    ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &number, &length);
    if (number != 0) {
        close({ ErrorCode::Unavailable, "peer.connect", m_peerName, systemError(number) });
        return false;
    }
    m_connected = true;
    m_lastReceived = Clock::now();
    return true;
}

void Session::receive()
{
    constexpr std::size_t readBytes = 64U << 10U;
    std::array<std::uint8_t, readBytes> buf; // NOLINT(*-member-init)
    std::size_t total = 0;
    m_busy = true;
    std::string problem;
    while (problem.empty() && m_failure.empty() && total < maxReadPerEvent) {
        const auto n = ::recv(m_fd, buf.data(), buf.size(), 0);
        if (n < 0) {
            if (errno == EINTR)
                continue;
            if (errno != EAGAIN && errno != EWOULDBLOCK)
                problem = systemError(errno);
            break;
        }
        if (n == 0) {
            problem = "closed by the other side";
            break;
        }
        total += static_cast<std::size_t>(n);
        m_owner.countBytes(0, n);
        m_lastReceived = Clock::now();
        m_unansweredPings = 0;
        const auto used = nghttp2_session_mem_recv(m_http, buf.data(), static_cast<std::size_t>(n));
        if (used < 0)
            fail(nghttp2_strerror(static_cast<int>(used)));
        if (static_cast<std::size_t>(n) < buf.size())
            break;
    }
    m_busy = false;
    if (!m_failure.empty())
        close({ ErrorCode::Protocol, "peer.receive", m_peerName, m_failure });
    else if (!problem.empty())
        close({ ErrorCode::Unavailable, "peer.receive", m_peerName, problem });
}

void Session::fillOutput()
{
    while (m_output.size() - m_outputPos < maxOutputBytes) {
        const std::uint8_t* data = nullptr;
        const auto n = nghttp2_session_mem_send(m_http, &data);
        if (n < 0)
            fail(nghttp2_strerror(static_cast<int>(n)));
        if (n <= 0)
            return;
        m_output.insert(m_output.end(), data, data + n);
        m_produced += static_cast<std::uint64_t>(n);
    }
}

/// Returns false if the socket broke.
bool Session::writeOutput()
{
    while (m_outputPos < m_output.size()) {
        const auto n = ::send(m_fd, m_output.data() + m_outputPos, m_output.size() - m_outputPos, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EINTR)
                continue;
            if (errno == EAGAIN || errno == EWOULDBLOCK)
                break;
            fail(systemError(errno));
            return false;
        }
        m_outputPos += static_cast<std::size_t>(n);
        m_written += static_cast<std::uint64_t>(n);
        m_owner.countBytes(n, 0);
    }
    if (m_outputPos == m_output.size()) {
        m_output.clear();
        m_outputPos = 0;
    } else if (m_outputPos > maxOutputBytes / 2) {
        m_output.erase(m_output.begin(), m_output.begin() + static_cast<std::ptrdiff_t>(m_outputPos));
        m_outputPos = 0;
    }
    return true;
}

void Session::flush()
{
    if (!isOpen() || !m_connected || m_busy)
        return;
    const auto self = shared_from_this();
    m_busy = true;
    bool more = true;
    while (more) {
        const bool pumped = m_messages->pump();
        fillOutput();
        more = writeOutput() && pumped && m_failure.empty() && m_output.empty();
    }
    m_busy = false;
    if (!m_failure.empty())
        return close({ ErrorCode::Unavailable, "peer.send", m_peerName, m_failure });
    if (nghttp2_session_want_read(m_http) == 0 && nghttp2_session_want_write(m_http) == 0 && m_output.empty())
        return close({ ErrorCode::Unavailable, "peer.session", m_peerName, "ended by the other side" });
    updateEvents();
}

void Session::updateEvents()
{
    const bool wantWrite = m_outputPos < m_output.size() || nghttp2_session_want_write(m_http) != 0;
    const std::uint32_t events = wantWrite ? EPOLLIN | EPOLLOUT : EPOLLIN;
    if (events != m_events)
        m_loop->modify(m_watch, events);
    m_events = events;
}

void Session::onTick(Clock::time_point now)
{
    if (!isOpen() || !m_connected)
        return;
    const auto self = shared_from_this();
    if (now - m_lastReceived >= pingInterval && now - m_lastPing >= pingInterval) {
        if (m_unansweredPings >= maxUnansweredPings)
            return close({ ErrorCode::Timeout, "peer.ping", m_peerName, "no byte received for 3 PINGs" });
        ++m_unansweredPings;
        m_lastPing = now;
        nghttp2_submit_ping(m_http, NGHTTP2_FLAG_NONE, nullptr);
    }
    flush();
}

// --- Streams ---------------------------------------------------------------------------------------------------------

Stream* Session::findStream(std::int32_t id)
{
    const auto it = m_streams.find(id);
    return it == m_streams.end() ? nullptr : it->second.get();
}

void Session::replaceStream(std::int32_t id, std::shared_ptr<Stream> stream)
{
    stream->id = id;
    m_streams[id] = std::move(stream);
}

bool Session::submitRequest(const std::shared_ptr<Stream>& stream, std::span<const nghttp2_nv> headers, bool body)
{
    const auto provider = SessionCallbacks::bodyOf(*stream);
    const auto id
        = nghttp2_submit_request(m_http, nullptr, headers.data(), headers.size(), body ? &provider : nullptr, nullptr);
    if (id < 0)
        return false;
    stream->id = id;
    m_streams[id] = stream;
    return true;
}

void Session::submitResponse(Stream& stream, std::span<const nghttp2_nv> headers, bool body)
{
    const auto provider = SessionCallbacks::bodyOf(stream);
    if (nghttp2_submit_response(m_http, stream.id, headers.data(), headers.size(), body ? &provider : nullptr) != 0)
        reset(stream, NGHTTP2_INTERNAL_ERROR);
}

void Session::submitTrailers(const Stream& stream, std::span<const nghttp2_nv> headers)
{
    if (nghttp2_submit_trailer(m_http, stream.id, headers.data(), headers.size()) != 0)
        reset(stream, NGHTTP2_INTERNAL_ERROR);
}

void Session::reset(const Stream& stream, std::uint32_t errorCode)
{
    if (isOpen())
        nghttp2_submit_rst_stream(m_http, NGHTTP2_FLAG_NONE, stream.id, errorCode);
}

void Session::resume(const Stream& stream) { nghttp2_session_resume_data(m_http, stream.id); }

void Session::consume(const Stream& stream, std::size_t bytes)
{
    if (isOpen() && bytes > 0)
        nghttp2_session_consume_stream(m_http, stream.id, bytes);
}

void Session::endStream(std::int32_t id, std::uint32_t errorCode)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    const auto stream = std::move(it->second);
    m_streams.erase(it);
    const bool neverWritten = !stream->requestOffset || m_written <= *stream->requestOffset;
    stream->onClosed({ errorCode, neverWritten, {} });
}

void Session::openReverseSender(const std::shared_ptr<ReverseSender>& sender)
{
    sender->start();
    m_messages->setReverse(sender);
}

bool Session::identify(ProcessId peer)
{
    if (m_peer)
        return *m_peer == peer;
    if (peer.vm.empty() || (!expectedVm.empty() && peer.vm != expectedVm))
        return false;
    m_peer = std::move(peer);
    m_owner.onIdentified(*this);
    return true;
}

} // namespace arbutuscrank::peer
