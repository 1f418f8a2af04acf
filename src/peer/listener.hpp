#pragma once

#include "peer/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief Listening socket for the connections of other daemons.

namespace arbutuscrank::peer {

/// \brief Accepts TCP connections on one address.
class Listener {
public:
    /// \brief Receives a connected socket, which it owns from then on, and the peer's address.
    using AcceptHandler = std::function<void(int fd, std::string peerAddress)>;

    Listener() = default;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    ~Listener();

    /// \returns InvalidArgument if the address is malformed, Unavailable if it cannot be bound
    [[nodiscard]] Result<void> open(std::string_view address);
    [[nodiscard]] const std::string& boundAddress() const noexcept { return m_boundAddress; }
    void startAccepting(EventLoop& loop, AcceptHandler handler);
    void close(EventLoop& loop);

private:
    void acceptConnections(const AcceptHandler& handler) const;

    int m_fd = -1;
    EventLoop::WatchId m_watchId = 0;
    std::string m_boundAddress;
};

} // namespace arbutuscrank::peer
