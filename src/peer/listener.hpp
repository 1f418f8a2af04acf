#pragma once

#include "peer/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief Accepts connections of other daemons.

namespace arbutuscrank::peer {

class Listener {
public:
    /// \brief Gets a connected socket and the address of the other side.
    using AcceptHandler = std::function<void(int fd, std::string peerName)>;

    Listener() = default;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    ~Listener();

    [[nodiscard]] Result<void> open(std::string_view address);
    [[nodiscard]] const std::string& boundAddress() const noexcept { return m_boundAddress; }
    void watch(EventLoop& loop, AcceptHandler handler);
    void close(EventLoop& loop);

private:
    void accept(const AcceptHandler& handler) const;

    int m_fd = -1;
    EventLoop::Watch m_watch = 0;
    std::string m_boundAddress;
};

} // namespace arbutuscrank::peer
