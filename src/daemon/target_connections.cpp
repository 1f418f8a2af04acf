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

    /// Returns whether an idle connection can be reused. Readable input means that the target closed the connection or
    /// sent bytes that belong to no request.
    bool isIdleAndOpen(int socket)
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
    for (const auto& it : m_idleConnections)
        close(it);
}

Result<TargetConnection> TargetConnections::acquire()
{
    while (true) {
        TargetConnection found;
        {
            const std::lock_guard lock(m_mutex);
            if (m_idleConnections.empty())
                break;
            found = m_idleConnections.back();
            m_idleConnections.pop_back();
        }
        if (isIdleAndOpen(found.socket))
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
        if (m_openCount >= m_maxConnections)
            return Error { ErrorCode::Unavailable, "target.connect", m_address,
                "the limit of connections to the target is reached" };
        ++m_openCount;
    }
    const std::lock_guard socketLock(m_socketMutex);
    std::array<char, 256> buf {};
    auto* connection
        = mg_connect_client(endpoint.value().host.c_str(), endpoint.value().port, 0, buf.data(), buf.size());
    const int socket
        = connection == nullptr ? -1 : findSocket(endpoint.value().host, endpoint.value().port, 0, m_sockets);
    const std::lock_guard lock(m_mutex);
    if (socket < 0) {
        --m_openCount;
        if (connection != nullptr)
            mg_close_connection(connection);
        return Error { ErrorCode::Unavailable, "target.connect", m_address, buf.data() };
    }
    const int isEnabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isEnabled, sizeof isEnabled);
    m_sockets.insert(socket);
    return TargetConnection { connection, socket, false };
}

void TargetConnections::close(const TargetConnection& connection)
{
    const std::lock_guard socketLock(m_socketMutex);
    mg_close_connection(connection.connection);
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(connection.socket);
    --m_openCount;
}

void TargetConnections::release(TargetConnection connection, bool isReusable)
{
    if (isReusable) {
        const std::lock_guard lock(m_mutex);
        if (m_idleConnections.size() < m_maxIdleConnections) {
            connection.isReused = true;
            m_idleConnections.push_back(connection);
            return;
        }
    }
    close(connection);
}

void TargetConnections::setLimits(std::uint32_t idleConnections, std::uint32_t maxConnections)
{
    std::vector<TargetConnection> surplusConnections;
    std::uint32_t missingConnections = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_maxIdleConnections = idleConnections;
        m_maxConnections = maxConnections;
        while (m_idleConnections.size() > idleConnections) {
            surplusConnections.push_back(m_idleConnections.back());
            m_idleConnections.pop_back();
        }
        missingConnections = idleConnections > m_openCount ? idleConnections - m_openCount : 0;
    }
    for (const auto& it : surplusConnections)
        close(it);
    for (; missingConnections > 0; --missingConnections) {
        auto connection = open();
        if (!connection)
            return;
        const std::lock_guard lock(m_mutex);
        m_idleConnections.push_back(connection.value());
    }
}

std::size_t TargetConnections::openConnectionCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_openCount;
}

std::shared_ptr<TargetConnections> TargetConnectionTable::findOrCreate(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    auto& found = m_targets[address];
    if (!found)
        found = std::make_shared<TargetConnections>(address);
    return found;
}

std::size_t TargetConnectionTable::openConnectionCount() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto& [address, connections] : m_targets)
        n += connections->openConnectionCount();
    return n;
}

} // namespace arbutuscrank
