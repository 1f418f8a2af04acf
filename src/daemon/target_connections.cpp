#include "daemon/target_connections.hpp"
#include "daemon/socket_finder.hpp"

#include <arbutuscrank/store/http_client.hpp>

#include <civetweb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>

namespace arbutuscrank {

namespace {

    /// An idle connection has nothing to read; anything else means that the target closed it or sent stray bytes.
    bool isQuiet(int socket)
    {
        pollfd item { socket, POLLIN | POLLRDHUP, 0 };
        return poll(&item, 1, 0) == 0;
    }

} // namespace

TargetConnections::TargetConnections(std::string address)
    : m_address(std::move(address))
{
}

TargetConnections::~TargetConnections()
{
    for (const auto& it : m_idle)
        close(it);
}

Result<TargetConnection> TargetConnections::take()
{
    while (true) {
        TargetConnection found;
        {
            const std::lock_guard lock(m_mutex);
            if (m_idle.empty())
                break;
            found = m_idle.back();
            m_idle.pop_back();
        }
        if (isQuiet(found.socket))
            return found;
        close(found);
    }
    return open();
}

Result<TargetConnection> TargetConnections::open()
{
    const auto endpoint = parseEndpoint(m_address);
    if (!endpoint)
        return endpoint.error();
    {
        const std::lock_guard lock(m_mutex);
        if (m_open >= m_limit)
            return Error { ErrorCode::Unavailable, "target.connect", m_address, "connection limit reached" };
        ++m_open;
    }
    const std::lock_guard socketLock(m_socketMutex);
    std::array<char, 256> buf {};
    auto* connection
        = mg_connect_client(endpoint.value().host.c_str(), endpoint.value().port, 0, buf.data(), buf.size());
    const int socket
        = connection == nullptr ? -1 : findSocket(endpoint.value().host, endpoint.value().port, 0, m_sockets);
    const std::lock_guard lock(m_mutex);
    if (socket < 0) {
        --m_open;
        if (connection != nullptr)
            mg_close_connection(connection);
        return Error { ErrorCode::Unavailable, "target.connect", m_address, buf.data() };
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_sockets.insert(socket);
    return TargetConnection { connection, socket, false };
}

void TargetConnections::close(const TargetConnection& connection)
{
    const std::lock_guard socketLock(m_socketMutex);
    mg_close_connection(connection.connection);
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(connection.socket);
    --m_open;
}

void TargetConnections::giveBack(TargetConnection connection, bool reusable)
{
    if (reusable) {
        const std::lock_guard lock(m_mutex);
        if (m_idle.size() < m_keepIdle) {
            connection.reused = true;
            m_idle.push_back(connection);
            return;
        }
    }
    close(connection);
}

void TargetConnections::keep(std::uint32_t idle, std::uint32_t limit)
{
    std::vector<TargetConnection> surplus;
    std::uint32_t missing = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_keepIdle = idle;
        m_limit = limit;
        while (m_idle.size() > idle) {
            surplus.push_back(m_idle.back());
            m_idle.pop_back();
        }
        missing = idle > m_open ? idle - m_open : 0;
    }
    for (const auto& it : surplus)
        close(it);
    for (; missing > 0; --missing) {
        auto connection = open();
        if (!connection)
            return;
        const std::lock_guard lock(m_mutex);
        m_idle.push_back(connection.value());
    }
}

std::size_t TargetConnections::openConnections() const
{
    const std::lock_guard lock(m_mutex);
    return m_open;
}

std::shared_ptr<TargetConnections> TargetConnectionTable::find(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    auto& found = m_targets[address];
    if (!found)
        found = std::make_shared<TargetConnections>(address);
    return found;
}

std::size_t TargetConnectionTable::openConnections() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto& [address, connections] : m_targets)
        n += connections->openConnections();
    return n;
}

} // namespace arbutuscrank
