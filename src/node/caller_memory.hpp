#pragma once

#include "node/memory_share.hpp"

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

/// \file
/// \brief Limit on the memory of all requests that the process holds for callers.

namespace arbutuscrank::node {

/// \brief Counts the bytes of requests that are being received or worked on, by connection.
///
/// Past the limit, the request that is being received and holds most for longest is refused; it has not been passed on.
/// Requests of up to \ref smallRequestBytes are still received then. Past \ref closeFactor times the limit, the
/// connection that holds most is closed with all its requests.
class CallerMemory {
    struct Connection {
        std::uint64_t received = 0; ///< of the request that is being received
        std::uint64_t accepted = 0; ///< of requests that were received whole
        TimePoint movedAt {}; ///< when the connection last received bytes
        bool isClosing = false; ///< closed; its memory is free once the operations that use it have ended
        std::function<void()> refuse;
        std::function<void()> close;
    };
    using Connections = std::list<std::shared_ptr<Connection>>;
    /// A request that was received whole.
    struct Accepted {
        std::shared_ptr<Connection> connection;
        std::uint64_t bytes = 0;
    };

    struct Ledger {
        std::uint64_t limit = 0;
        std::uint64_t bytes = 0; ///< of all connections
        std::uint64_t closingBytes = 0; ///< part of \ref bytes whose connections were closed
        std::uint64_t refusedRequests = 0;
        std::uint64_t closedConnections = 0;
        Connections connections;

        void resize(Connection& connection, std::uint64_t& part, std::uint64_t size);
        void release(const Accepted& request) noexcept;
        void release(const Connections::iterator& position) noexcept;
        void makeRoom(TimePoint now);
        bool refuseOne(TimePoint now);
        bool closeOne();
    };

public:
    /// Requests of up to this size are received while larger ones are refused.
    static constexpr std::uint64_t smallRequestBytes = 16U << 10U;
    /// Past this multiple of the limit, connections are closed although their requests are worked on.
    static constexpr double closeFactor = 1.125;

    /// \brief The bytes of one request. They are no longer counted once it is destroyed.
    using Share = MemoryShare<Ledger, Accepted>;

    /// \brief What one connection holds. A default-constructed holder counts nothing.
    class Holder : public MemoryShare<Ledger, Connections::iterator> {
    public:
        using MemoryShare::MemoryShare;

        /// \brief Sets the bytes of the request that is being received. Before the call returns, requests may be
        /// refused and connections closed, possibly this one.
        void setReceived(std::uint64_t bytes, TimePoint now);

        /// \brief Ends the request that is being received. \returns its bytes, which are counted on with its connection
        [[nodiscard]] Share acceptRequest();
    };

    /// \param limit bytes of all requests together
    explicit CallerMemory(std::uint64_t limit)
        : m_ledger(std::make_shared<Ledger>(Ledger { .limit = limit }))
    {
    }

    /// \brief Begins to count a connection.
    /// \param refuse answers the request that is being received with a refusal and frees its bytes at once
    /// \param close closes the connection
    [[nodiscard]] Holder add(std::function<void()> refuse, std::function<void()> close);

    void setLimit(std::uint64_t bytes) noexcept { m_ledger->limit = bytes; }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return m_ledger->bytes; }
    [[nodiscard]] std::uint64_t refusedRequests() const noexcept { return m_ledger->refusedRequests; }
    [[nodiscard]] std::uint64_t closedConnections() const noexcept { return m_ledger->closedConnections; }

private:
    std::shared_ptr<Ledger> m_ledger;
};

} // namespace arbutuscrank::node
