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

    /// Time between two PINGs on a connection on which nothing is received.
    constexpr auto pingInterval = std::chrono::seconds(1);
    /// The session is closed after this many consecutive PINGs during which nothing was received. Counting PINGs
    /// instead of elapsed time keeps a process that was paused from closing sessions whose peers are alive.
    constexpr unsigned maxUnansweredPings = 3;
    /// Bound on the bytes read from one socket per event, so that a busy connection does not starve the others.
    constexpr std::size_t maxReadBytesPerEvent = 512U << 10U;

    std::string describeErrno(int errorNumber) { return std::generic_category().message(errorNumber); }

} // namespace

nghttp2_nv makeHeader(std::string_view name, std::string_view value) noexcept
{
    const auto bytes = [](std::string_view it) {
        return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(it.data()));
    };
    return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

// --- Construction and closing ----------------------------------------------------------------------------------------

Session::Session(std::shared_ptr<EventLoop> loop, SessionOwner& owner, int fd, bool client, std::string peerAddress)
    : m_loop(std::move(loop))
    , m_owner(owner)
    , m_fd(fd)
    , m_isClient(client)
    , m_peerAddress(std::move(peerAddress))
    , m_isConnected(!client)
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
    m_http = SessionCallbacks::newSession(*this, m_isClient);
    const std::array<nghttp2_settings_entry, 4> entries { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, maxHeaderBytes },
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    } };
    nghttp2_submit_settings(m_http, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    // Bound on the bytes in flight on the whole connection. SessionCallbacks::onDataChunk returns this credit on
    // receipt.
    constexpr std::int32_t connectionWindowBytes = 64 << 20;
    nghttp2_session_set_local_window_size(m_http, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    m_batchSender = std::make_shared<BatchSender>(*this);
    if (m_isClient)
        m_batchSender->requestServerMessages();
}

void Session::start()
{
    openNghttp2();
    m_events = m_isConnected ? EPOLLIN : EPOLLOUT;
    m_watchId = m_loop->add(m_fd, m_events, [self = shared_from_this()](std::uint32_t events) { self->onIo(events); });
    if (m_isConnected)
        flush();
}

void Session::shutDown(const Error& error)
{
    if (isOpen() && m_isConnected) {
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
    m_loop->remove(m_watchId);
    ::close(m_fd);
    m_fd = -1;
    const auto streams = std::exchange(m_streams, {});
    for (const auto& [id, stream] : streams) {
        const bool isRequestUnsent = !stream->requestOffset || m_writtenBytes <= *stream->requestOffset;
        stream->onClosed({ NGHTTP2_CANCEL, isRequestUnsent, describe(error) });
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
    if (!m_isConnected && !finishConnect())
        return;
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        receive();
    if (isOpen())
        flush();
}

bool Session::finishConnect()
{
    int errorNumber = 0;
    socklen_t length = sizeof errorNumber;
    ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &errorNumber, &length);
    if (errorNumber != 0) {
        close({ ErrorCode::Unavailable, "peer.connect", m_peerAddress, describeErrno(errorNumber) });
        return false;
    }
    m_isConnected = true;
    m_lastReceivedAt = Clock::now();
    return true;
}

void Session::receive()
{
    constexpr std::size_t readBytes = 64U << 10U;
    std::array<std::uint8_t, readBytes> buf; // NOLINT(*-member-init)
    std::size_t totalBytes = 0;
    m_isProcessing = true;
    std::string socketError;
    while (socketError.empty() && m_failure.empty() && totalBytes < maxReadBytesPerEvent) {
        const auto n = ::recv(m_fd, buf.data(), buf.size(), 0);
        if (n < 0) {
            if (errno == EINTR)
                continue;
            if (errno != EAGAIN && errno != EWOULDBLOCK)
                socketError = describeErrno(errno);
            break;
        }
        if (n == 0) {
            socketError = "the peer closed the connection";
            break;
        }
        totalBytes += static_cast<std::size_t>(n);
        m_owner.countBytes(0, n);
        m_lastReceivedAt = Clock::now();
        m_unansweredPings = 0;
        const auto processedBytes = nghttp2_session_mem_recv(m_http, buf.data(), static_cast<std::size_t>(n));
        if (processedBytes < 0)
            fail(nghttp2_strerror(static_cast<int>(processedBytes)));
        if (static_cast<std::size_t>(n) < buf.size())
            break;
    }
    m_isProcessing = false;
    if (!m_failure.empty())
        close({ ErrorCode::Protocol, "peer.receive", m_peerAddress, m_failure });
    else if (!socketError.empty())
        close({ ErrorCode::Unavailable, "peer.receive", m_peerAddress, socketError });
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
        m_producedBytes += static_cast<std::uint64_t>(n);
    }
}

/// Returns false if a write to the socket failed.
bool Session::writeOutput()
{
    while (m_outputPos < m_output.size()) {
        const auto n = ::send(m_fd, m_output.data() + m_outputPos, m_output.size() - m_outputPos, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EINTR)
                continue;
            if (errno == EAGAIN || errno == EWOULDBLOCK)
                break;
            fail(describeErrno(errno));
            return false;
        }
        m_outputPos += static_cast<std::size_t>(n);
        m_writtenBytes += static_cast<std::uint64_t>(n);
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
    if (!isOpen() || !m_isConnected || m_isProcessing)
        return;
    const auto self = shared_from_this();
    m_isProcessing = true;
    bool hasMore = true;
    while (hasMore) {
        const bool hasSentMessages = m_batchSender->sendQueuedMessages();
        fillOutput();
        hasMore = writeOutput() && hasSentMessages && m_failure.empty() && m_output.empty();
    }
    m_isProcessing = false;
    if (!m_failure.empty())
        return close({ ErrorCode::Unavailable, "peer.send", m_peerAddress, m_failure });
    if (nghttp2_session_want_read(m_http) == 0 && nghttp2_session_want_write(m_http) == 0 && m_output.empty())
        return close({ ErrorCode::Unavailable, "peer.session", m_peerAddress, "the session ended with GOAWAY" });
    updateEvents();
}

void Session::updateEvents()
{
    const bool wantWrite = m_outputPos < m_output.size() || nghttp2_session_want_write(m_http) != 0;
    const std::uint32_t events = wantWrite ? EPOLLIN | EPOLLOUT : EPOLLIN;
    if (events != m_events)
        m_loop->modify(m_watchId, events);
    m_events = events;
}

void Session::onTick(Clock::time_point now)
{
    if (!isOpen() || !m_isConnected)
        return;
    const auto self = shared_from_this();
    if (now - m_lastReceivedAt >= pingInterval && now - m_lastPingAt >= pingInterval) {
        if (m_unansweredPings >= maxUnansweredPings)
            return close({ ErrorCode::Timeout, "peer.ping", m_peerAddress,
                "nothing was received from the peer during 3 PINGs, sent 1 s apart" });
        ++m_unansweredPings;
        m_lastPingAt = now;
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

bool Session::submitRequest(const std::shared_ptr<Stream>& stream, std::span<const nghttp2_nv> headers, bool hasBody)
{
    const auto provider = SessionCallbacks::makeBodyProvider(*stream);
    const auto id = nghttp2_submit_request(
        m_http, nullptr, headers.data(), headers.size(), hasBody ? &provider : nullptr, nullptr);
    if (id < 0)
        return false;
    stream->id = id;
    m_streams[id] = stream;
    return true;
}

void Session::submitResponse(Stream& stream, std::span<const nghttp2_nv> headers, bool hasBody)
{
    const auto provider = SessionCallbacks::makeBodyProvider(stream);
    if (nghttp2_submit_response(m_http, stream.id, headers.data(), headers.size(), hasBody ? &provider : nullptr) != 0)
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
    const bool isRequestUnsent = !stream->requestOffset || m_writtenBytes <= *stream->requestOffset;
    stream->onClosed({ errorCode, isRequestUnsent, {} });
}

void Session::startServerMessageSender(const std::shared_ptr<ServerMessageSender>& sender)
{
    sender->start();
    m_batchSender->setServerMessageSender(sender);
}

bool Session::identifyPeer(ProcessId peer)
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
