#pragma once

#include "peer/forward_streams.hpp"
#include "peer/session.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Opens outgoing connections: keeps one to each peer of the transport and opens others on demand for forwards.

namespace arbutuscrank::peer {

/// \brief Opens and reopens the outgoing sessions of a transport. Used on the loop's thread only.
class Connector {
public:
    using Clock = Session::Clock;

    Connector(std::shared_ptr<EventLoop> loop, SessionOwner& owner)
        : m_loop(std::move(loop))
        , m_owner(owner)
    {
    }

    /// \brief Called with each new session before it is started.
    std::function<void(const std::shared_ptr<Session>&)> onSessionCreated;
    /// \brief Returns whether a session with the VM exists already, for example one that the peer opened.
    std::function<bool(const VmId&)> isReachable;
    /// \brief Called when a connection to a peer of \ref setPeers cannot be opened.
    std::function<void(const VmId&, const Error&)> onConnectFailed;

    void setPeers(const std::vector<PeerEndpoint>& peers);
    void forward(const PeerEndpoint& owner, const std::shared_ptr<ClientForward>& stream);
    void onTick(Clock::time_point now);
    void onIdentified(Session& session);
    /// \returns whether this side opened the session and the peer never identified itself on it
    bool onClosed(const Session& session, const Error& error);
    /// \brief Ends the forwards that wait for a session and opens no further connections.
    void stop();
    [[nodiscard]] bool isPeer(const VmId& vm) const;

private:
    struct Connection {
        PeerEndpoint endpoint;
        bool isKeptOpen = false; ///< a peer of setPeers: reconnected when lost, never closed as idle
        Clock::time_point nextConnectAt;
        std::shared_ptr<Session> session;
        std::vector<std::shared_ptr<ClientForward>> waitingForwards; ///< sent once the peer has identified itself
    };

    void openSession(const std::string& key, Connection& connection);
    void failWaitingForwards(Connection& connection, const Error& error);
    void closeIfIdle(const Connection& connection, Clock::time_point now) const;

    std::shared_ptr<EventLoop> m_loop;
    SessionOwner& m_owner;
    bool m_isStopped = false;
    std::map<std::string, Connection> m_connections; ///< keyed by VM and address, see Session::connectionKey
};

} // namespace arbutuscrank::peer
