#include "peer/connector.hpp"

#include "peer/address.hpp"

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include <unistd.h>

namespace arbutuscrank::peer {

namespace {

    std::string makeKey(const PeerEndpoint& endpoint) { return endpoint.vm + "@" + endpoint.address; }

    /// Opens a non-blocking socket and starts to connect it.
    Result<int> startConnect(const std::string& text)
    {
        auto address = parseAddress(text);
        if (!address)
            return address.error();
        const auto& it = address.value();
        const int fd = ::socket(it.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd >= 0) {
            setSocketOptions(fd);
            if (::connect(fd, it.data(), it.length) == 0 || errno == EINPROGRESS)
                return fd;
        }
        Error error { ErrorCode::Unavailable, "peer.connect", text, std::generic_category().message(errno) };
        if (fd >= 0)
            ::close(fd);
        return error;
    }

} // namespace

bool Connector::isPeer(const VmId& vm) const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
        [&vm](const auto& it) { return it.second.isKeptOpen && it.second.endpoint.vm == vm; });
}

void Connector::setPeers(const std::vector<PeerEndpoint>& peers)
{
    for (auto& [key, connection] : m_connections)
        connection.isKeptOpen = false;
    const auto now = Clock::now();
    for (const auto& it : peers) {
        auto& connection = m_connections[makeKey(it)];
        if (connection.endpoint.address.empty()) {
            connection.endpoint = it;
            // One connection serves both directions. When two VMs discover each other at the same time, the delay lets
            // the one with the lesser name connect first.
            const bool isDelayed = it.vm < m_owner.settings().self.vm;
            connection.nextConnectAt = isDelayed ? now + m_owner.settings().reconnectInterval / 4 : now;
        }
        connection.isKeptOpen = true;
    }
    onTick(now);
}

void Connector::forward(const PeerEndpoint& owner, const std::shared_ptr<ClientForward>& stream)
{
    if (m_isStopped)
        return stream->endNotRun("the peer transport is stopped");
    const auto key = makeKey(owner);
    auto& connection = m_connections[key];
    connection.endpoint = owner;
    if (connection.session && connection.session->peer()) {
        const auto session = connection.session;
        stream->submit(*session);
        return session->flush();
    }
    constexpr std::size_t maxWaitingForwards = maxForwards;
    if (connection.waitingForwards.size() >= maxWaitingForwards)
        return stream->endNotRun("the limit of 1000 forwards that wait for the connection is reached");
    connection.waitingForwards.push_back(stream);
    if (!connection.session)
        openSession(key, connection);
}

void Connector::openSession(const std::string& key, Connection& connection)
{
    connection.nextConnectAt = Clock::now() + m_owner.settings().reconnectInterval;
    const auto fd = startConnect(connection.endpoint.address);
    if (!fd)
        return failWaitingForwards(connection, fd.error());
    auto session = std::make_shared<Session>(m_loop, m_owner, fd.value(), true, connection.endpoint.address);
    session->expectedVm = connection.endpoint.vm;
    session->connectionKey = key;
    connection.session = session;
    onSessionCreated(session);
    session->start();
}

void Connector::failWaitingForwards(Connection& connection, const Error& error)
{
    const auto waitingForwards = std::exchange(connection.waitingForwards, {});
    const bool isKeptOpen = connection.isKeptOpen;
    const auto vm = connection.endpoint.vm;
    for (const auto& it : waitingForwards)
        it->endNotRun(describe(error));
    if (isKeptOpen)
        onConnectFailed(vm, error);
}

void Connector::onTick(Clock::time_point now)
{
    if (m_isStopped)
        return;
    const auto& settings = m_owner.settings();
    std::vector<std::pair<std::shared_ptr<Session>, Error>> expired;
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        auto& [key, connection] = *it;
        if (connection.session) {
            if (!connection.session->peer() && now - connection.session->startedAt() > settings.connectTimeout)
                expired.emplace_back(connection.session,
                    Error { ErrorCode::Timeout, "peer.connect", connection.endpoint.address,
                        "the peer did not identify itself within the connect timeout" });
            else if (!connection.isKeptOpen && connection.session->openForwards == 0
                && connection.waitingForwards.empty() && now - connection.session->lastUsedAt() > settings.idleTimeout)
                expired.emplace_back(connection.session,
                    Error { ErrorCode::Unavailable, "peer.session", connection.endpoint.address,
                        "the session was closed after the idle timeout" });
        } else if (connection.isKeptOpen) {
            if (now >= connection.nextConnectAt && !isReachable(connection.endpoint.vm))
                openSession(key, connection);
        } else if (connection.waitingForwards.empty()) {
            it = m_connections.erase(it);
            continue;
        }
        ++it;
    }
    for (const auto& [session, error] : expired)
        session->shutDown(error);
}

void Connector::onIdentified(Session& session)
{
    const auto it = m_connections.find(session.connectionKey);
    if (it == m_connections.end() || it->second.session.get() != &session)
        return;
    for (const auto& stream : std::exchange(it->second.waitingForwards, {}))
        stream->submit(session);
}

bool Connector::onClosed(const Session& session, const Error& error)
{
    const auto it = m_connections.find(session.connectionKey);
    if (it == m_connections.end() || it->second.session.get() != &session)
        return false;
    auto& connection = it->second;
    connection.session.reset();
    connection.nextConnectAt = Clock::now() + m_owner.settings().reconnectInterval;
    if (session.peer())
        return false;
    failWaitingForwards(connection, error);
    return true;
}

void Connector::stop()
{
    m_isStopped = true;
    for (auto& [key, connection] : m_connections) {
        connection.isKeptOpen = false;
        for (const auto& it : std::exchange(connection.waitingForwards, {}))
            it->endNotRun("the peer transport is stopped");
    }
}

} // namespace arbutuscrank::peer
