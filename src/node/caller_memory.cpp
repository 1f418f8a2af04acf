#include "node/caller_memory.hpp"

#include <utility>

namespace arbutuscrank::node {

CallerMemory::Share& CallerMemory::Share::operator=(Share&& other) noexcept
{
    if (this != &other) {
        reset();
        m_ledger = std::move(other.m_ledger);
        m_connection = std::move(other.m_connection);
        m_bytes = other.m_bytes;
    }
    return *this;
}

void CallerMemory::Share::reset() noexcept
{
    if (!m_ledger)
        return;
    m_ledger->resize(*m_connection, m_connection->accepted, m_connection->accepted - m_bytes);
    m_ledger.reset();
}

CallerMemory::Holder::~Holder()
{
    if (!m_ledger)
        return;
    m_ledger->resize(*m_connection, m_connection->received, 0);
    m_ledger->connections.erase(m_position);
}

void CallerMemory::Holder::setReceived(std::uint64_t bytes, TimePoint now)
{
    if (!m_ledger)
        return;
    const bool hasGrown = bytes > m_connection->received;
    m_ledger->resize(*m_connection, m_connection->received, bytes);
    if (!hasGrown)
        return;
    m_connection->movedAt = now;
    const auto ledger = m_ledger; // the holder may end while connections are closed
    ledger->makeRoom(now);
}

CallerMemory::Share CallerMemory::Holder::acceptRequest()
{
    Share share;
    if (!m_ledger)
        return share;
    share.m_ledger = m_ledger;
    share.m_connection = m_connection;
    share.m_bytes = m_connection->received;
    m_connection->accepted += std::exchange(m_connection->received, 0);
    return share;
}

CallerMemory::Holder CallerMemory::add(std::function<void()> refuse, std::function<void()> close)
{
    Holder holder;
    holder.m_ledger = m_ledger;
    holder.m_connection = std::make_shared<Connection>();
    holder.m_connection->refuse = std::move(refuse);
    holder.m_connection->close = std::move(close);
    holder.m_position = m_ledger->connections.insert(m_ledger->connections.end(), holder.m_connection);
    return holder;
}

void CallerMemory::Ledger::resize(Connection& connection, std::uint64_t& part, std::uint64_t size)
{
    const auto before = std::exchange(part, size);
    bytes = bytes - before + size;
    if (connection.isClosing)
        closingBytes = closingBytes - before + size;
}

void CallerMemory::Ledger::makeRoom(TimePoint now)
{
    while (bytes - closingBytes > limit && refuseOne(now)) { }
    const auto closeLimit = static_cast<std::uint64_t>(static_cast<double>(limit) * closeFactor);
    while (bytes - closingBytes > closeLimit && closeOne()) { }
}

bool CallerMemory::Ledger::refuseOne(TimePoint now)
{
    // Added to the time since a connection moved, so that among connections that move the largest is chosen.
    constexpr double movingSeconds = 0.1;
    Connection* victim = nullptr;
    double highest = 0;
    for (const auto& it : connections) {
        const auto seconds = std::chrono::duration<double>(now - it->movedAt).count() + movingSeconds;
        const auto weight = static_cast<double>(it->received) * seconds;
        if (it->received > smallRequestBytes && !it->isClosing && weight > highest) {
            victim = it.get();
            highest = weight;
        }
    }
    if (!victim)
        return false;
    ++refusedRequests;
    const auto before = bytes;
    const auto refuse = victim->refuse; // the connection may end within the call
    refuse();
    return bytes < before;
}

bool CallerMemory::Ledger::closeOne()
{
    std::shared_ptr<Connection> victim;
    for (const auto& it : connections) {
        if (!it->isClosing && (!victim || it->received + it->accepted > victim->received + victim->accepted))
            victim = it;
    }
    if (!victim || victim->received + victim->accepted == 0)
        return false;
    ++closedConnections;
    victim->isClosing = true;
    closingBytes += victim->received + victim->accepted;
    const auto close = victim->close;
    close();
    return true;
}

} // namespace arbutuscrank::node
