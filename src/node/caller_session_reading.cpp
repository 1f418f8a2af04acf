#include "node/caller_session.hpp"

#include "node/clock.hpp"

#include <algorithm>
#include <array>

/// \file
/// \brief How a caller's connection receives a request, and counts its memory.

namespace arbutuscrank::node {

namespace {

    /// Bytes that are received at a time.
    constexpr std::size_t receiveBytes = 64U << 10U;
    /// Receives on one connection before the event loop turns to the others.
    constexpr int receivesPerTurn = 4;
    /// Memory of the HTTP library for each field, besides its text.
    constexpr std::size_t fieldBytes = 96;
    /// Time after which a caller may send a request again that was refused because of the memory.
    constexpr const char* memoryRetryAfter = "1";
    /// Read buffers above this size are freed when they are empty.
    constexpr std::size_t keptBufferBytes = 4U << 10U;

} // namespace

void CallerSession::freeEmptyBuffer()
{
    if (m_buffer.size() == 0 && m_buffer.capacity() > keptBufferBytes)
        m_buffer.shrink_to_fit();
}

void CallerSession::waitForBytes()
{
    m_socket.async_wait(
        Tcp::socket::wait_read, [self = shared_from_this(), generation = m_readGeneration](SystemError ec) {
            if (!ec && !self->m_isClosed && generation == self->m_readGeneration)
                self->readRequest();
        });
}

void CallerSession::readRequest()
{
    const auto generation = m_readGeneration;
    SystemError ec;
    if (m_buffer.size() != 0) {
        m_buffer.consume(parse(m_buffer.cdata(), ec));
        countMemory();
    }
    if (m_isClosed || generation != m_readGeneration)
        return; // refused because of the memory
    for (int i = 0; !m_isClosed && (!ec || ec == http::error::need_more) && !m_parser->is_done(); ++i) {
        if (i == receivesPerTurn) {
            waitForBytes();
            return;
        }
        receive(ec);
        countMemory();
        if (m_isClosed || generation != m_readGeneration)
            return;
    }
    if (ec == asio::error::would_block) {
        waitForBytes();
        return;
    }
    if (ec && ec != http::error::need_more) {
        dropRequest();
        if (!m_isClosed)
            handleReadError(ec);
        return;
    }
    m_timer.cancel();
    if (m_hasReadLastRequest) {
        dropRequest();
        watchForDisconnect();
        return;
    }
    acceptRequest();
    waitForRequest();
}

std::size_t CallerSession::receive(SystemError& ec)
{
    thread_local std::array<char, receiveBytes> buf;
    const auto room = m_buffer.max_size() - std::min(m_buffer.size(), m_buffer.max_size());
    if (room == 0) {
        ec = http::error::buffer_overflow;
        return 0;
    }
    const auto n = m_socket.read_some(asio::buffer(buf, std::min(receiveBytes, room)), ec);
    if (ec)
        return 0;
    const bool isBufferEmpty = m_buffer.size() == 0;
    const auto used = isBufferEmpty ? parse(asio::buffer(buf, n), ec) : 0;
    const asio::const_buffer rest(buf.data() + used, n - used);
    if (rest.size() != 0)
        m_buffer.commit(asio::buffer_copy(m_buffer.prepare(rest.size()), rest));
    else if (isBufferEmpty)
        freeEmptyBuffer();
    if (!isBufferEmpty)
        m_buffer.consume(parse(m_buffer.cdata(), ec));
    return n;
}

std::size_t CallerSession::parse(asio::const_buffer bytes, SystemError& ec)
{
    // The configuration may have changed since the session began to wait for the request.
    m_parser->setFieldLimit(m_handlers.limits().maxHeaderFields);
    const auto total = bytes.size();
    while (!m_parser->is_done() && bytes.size() != 0) {
        const bool wasHeadRead = m_parser->is_header_done();
        bytes += m_parser->put(bytes, ec);
        if (!wasHeadRead || m_parser->is_done()) // the trailer is parsed at the end
            countFields();
        if (!ec && !wasHeadRead && m_parser->is_header_done())
            handleHead();
        if (ec)
            break;
    }
    return total - bytes.size();
}

void CallerSession::countFields()
{
    // The parser adds fields before the head is whole.
    m_fieldBytes = 0;
    for (const auto& it : m_parser->get())
        m_fieldBytes += fieldBytes + it.name_string().size() + it.value().size();
}

void CallerSession::handleHead()
{
    m_parser->eager(true);
    if (m_parser->is_done())
        return;
    auto& request = m_parser->get();
    if (m_handlers.needsBody && !m_handlers.needsBody(request)) {
        m_isBodyDiscarded = true;
        request.body().discard();
    }
    closeIfNoneUnansweredAfter(m_handlers.limits().idleTimeout);
}

void CallerSession::countMemory()
{
    m_movedAt = currentTime();
    m_memory.setReceived(m_buffer.capacity() + m_fieldBytes + m_parser->get().body().allocatedBytes(), m_movedAt);
}

void CallerSession::dropRequest()
{
    ++m_readGeneration;
    m_isReading = false;
    m_parser.reset();
    m_memory.setReceived(0, m_movedAt);
}

void CallerSession::refuseForMemory()
{
    if (m_isClosed || !m_isReading)
        return;
    SystemError ec;
    const auto caller = m_socket.remote_endpoint(ec); // unset if the caller has already disconnected
    if (m_handlers.logRequestRefused)
        m_handlers.logRequestRefused(caller.address().to_string(), m_parser->get().body().size());
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    dropRequest();
    if (m_hasReadLastRequest) { // late input, which needs no answer
        watchForDisconnect();
        return;
    }
    CallerAnswer answer(http::status::service_unavailable, 11);
    answer.set("X-Refusal-Reason", "memory");
    answer.set(http::field::retry_after, memoryRetryAfter);
    refuseUnread(std::move(answer));
}

} // namespace arbutuscrank::node
