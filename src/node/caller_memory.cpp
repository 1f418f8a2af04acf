#include "node/caller_memory.hpp"

#include <utility>

namespace arbutuscrank::node {

void CallerMemory::Holder::setReceived(std::uint64_t bytes, TimePoint now)
{
    const auto ledger = this->ledger(); // the holder may end while connections are closed
    if (!ledger)
        return;
    auto& connection = **item();
    const bool hasGrown = bytes > connection.received;
    ledger->resize(connection, connection.received, bytes);
    if (!hasGrown)
        return;
    connection.movedAt = now;
    ledger->makeRoom(now);
}

CallerMemory::Share CallerMemory::Holder::acceptRequest()
{
    if (!ledger())
        return {};
    const auto& connection = *item();
    const auto bytes = std::exchange(connection->received, 0);
    connection->accepted += bytes;
    return { ledger(), { connection, bytes } };
}

CallerMemory::Holder CallerMemory::add(std::function<void()> refuse, std::function<void()> close)
{
    auto& connections = m_ledger->connections;
    auto connection = std::make_shared<Connection>();
    connection->refuse = std::move(refuse);
    connection->close = std::move(close);
    return { m_ledger, connections.insert(connections.end(), std::move(connection)) };
}

void CallerMemory::Ledger::release(const Accepted& request) noexcept
{
    auto& accepted = request.connection->accepted;
    resize(*request.connection, accepted, accepted - request.bytes);
}

void CallerMemory::Ledger::release(const Connections::iterator& position) noexcept
{
    resize(**position, (*position)->received, 0);
    connections.erase(position);
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
