#include "peer/listener.hpp"

#include "peer/address.hpp"

#include <cerrno>
#include <system_error>
#include <utility>

#include <sys/epoll.h>
#include <unistd.h>

namespace arbutuscrank::peer {

Listener::~Listener()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

Result<void> Listener::open(std::string_view address)
{
    auto parsed = parseAddress(address);
    if (!parsed)
        return parsed.error();
    auto& it = parsed.value();
    m_fd = ::socket(it.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enable = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    constexpr int backlog = 1024; // all daemons of a region reconnect at once to a restarted daemon
    if (m_fd < 0 || ::bind(m_fd, it.data(), it.length) != 0 || ::listen(m_fd, backlog) != 0) {
        return Error { ErrorCode::Unavailable, "peer.listen", std::string(address),
            std::generic_category().message(errno) };
    }
    ::getsockname(m_fd, it.data(), &it.length);
    m_boundAddress = formatAddress(it);
    return outcome::success();
}

void Listener::startAccepting(EventLoop& loop, AcceptHandler handler)
{
    m_watchId
        = loop.add(m_fd, EPOLLIN, [this, it = std::move(handler)](std::uint32_t /*events*/) { acceptConnections(it); });
}

void Listener::close(EventLoop& loop)
{
    loop.remove(m_watchId);
    ::close(std::exchange(m_fd, -1));
}

void Listener::acceptConnections(const AcceptHandler& handler) const
{
    for (;;) {
        SocketAddress address;
        address.length = sizeof address.storage;
        const int fd = ::accept4(m_fd, address.data(), &address.length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        setSocketOptions(fd);
        handler(fd, formatAddress(address));
    }
}

} // namespace arbutuscrank::peer
