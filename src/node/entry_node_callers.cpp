#include "node/entry_node.hpp"

#include <fmt/format.h>

#include <algorithm>

/// \file
/// \brief Connections of callers, and the room that they share.

namespace arbutuscrank::node {

namespace {

    using std::chrono::milliseconds;

    /// Part of the process's memory for callers' requests, as a divisor.
    constexpr std::uint64_t callerMemoryDivisor = 4;
    /// A single body of the longest length is received if its process has this multiple of its length.
    constexpr std::uint64_t memoryPerLongestBody = 2;
    /// What a request needs besides the longest body: its head and the bytes that are not parsed yet.
    constexpr std::uint64_t requestOverheadBytes = 1U << 20U;
    /// Part of the sockets that new callers leave free, for the requests of those that are connected, as a divisor.
    constexpr std::size_t requestSocketDivisor = 8;
    /// One in so many connections that are closed for another socket is logged.
    constexpr std::uint64_t loggedCrowdedConnections = 100;
    /// Delay before a failed accept is retried, so that a shortage of file descriptors does not cause a busy loop.
    constexpr Duration acceptRetryDelay = milliseconds(50);

} // namespace

std::uint64_t EntryNode::callerMemoryLimit() const
{
    const auto memory = m_state.settings.memoryBytes;
    const auto longest = m_state.policy.policy().limits.maxBodyBytes + requestOverheadBytes;
    return std::max(memory / callerMemoryDivisor, std::min(longest, memory / memoryPerLongestBody));
}

void EntryNode::acceptCallers()
{
    m_acceptor->async_accept([this](SystemError ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (ec) {
            auto timer = std::make_shared<asio::steady_timer>(m_context, acceptRetryDelay);
            timer->async_wait([this, timer](SystemError) {
                if (!m_hasStoppedListening)
                    acceptCallers();
            });
            return;
        }
        startSession(std::move(socket));
        acceptCallers();
    });
}

std::size_t EntryNode::usedSockets() const
{
    const auto callers = std::ranges::count_if(
        m_sessions, [](const auto& weak) { return !weak.expired() && !weak.lock()->isClosed(); });
    return static_cast<std::size_t>(callers) + m_targetConnections.openConnections();
}

bool EntryNode::hasSocketBelow(std::size_t limit) const
{
    // Ended sessions are counted too at first, because that needs no look at each of them.
    return m_sessions.size() + m_targetConnections.openConnections() < limit || usedSockets() < limit;
}

bool EntryNode::makeRoomForSocket()
{
    if (m_targetConnections.closeLongestIdle())
        return true;
    using Cost = CallerSession::CostOfClose;
    std::shared_ptr<CallerSession> victim;
    std::pair<Cost, TimePoint> lowest { Cost::RunningRequests, {} };
    for (const auto& weak : m_sessions) {
        const auto it = weak.lock();
        if (!it || it->isClosed())
            continue;
        const std::pair cost { it->costOfClose(), it->movedAt() };
        if (cost.first != Cost::RunningRequests && cost < lowest) {
            lowest = cost;
            victim = it;
        }
    }
    if (!victim)
        return false;
    if (++m_crowdedConnections == 1 || m_crowdedConnections % loggedCrowdedConnections == 0)
        log(LogEvent::CallersCrowded,
            fmt::format("sockets={} limit={} closed={} refused={}", usedSockets(), m_maxSockets, m_crowdedConnections,
                m_crowdedRequests));
    victim->closeNow(CloseCause::Crowded);
    return true;
}

void EntryNode::startSession(Tcp::socket socket)
{
    const auto limit = m_maxSockets - m_maxSockets / requestSocketDivisor;
    while (!hasSocketBelow(limit)) {
        if (!makeRoomForSocket())
            return; // the new connection closes unread, so that its caller may send its requests again
    }
    auto session = std::make_shared<CallerSession>(std::move(socket), m_callerHandlers);
    std::erase_if(m_sessions, [](const auto& weak) { return weak.expired(); });
    m_sessions.push_back(session);
    session->start();
}

void EntryNode::stopListening()
{
    m_hasStoppedListening = true;
    SystemError ec;
    m_acceptor->non_blocking(true, ec);
    // To close the acceptor resets the connections that wait to be accepted.
    while (!ec) {
        Tcp::socket socket(m_context);
        m_acceptor->accept(socket, ec);
        if (!ec)
            startSession(std::move(socket));
    }
    if (ec != asio::error::would_block)
        log(LogEvent::CallersNotAccepted, fmt::format("cause=\"{}\"", ec.message()));
    m_acceptor->close(ec); // the acceptor is discarded, so an error has no effect
}

} // namespace arbutuscrank::node
