#pragma once

#include "peer/forward_streams.hpp"
#include "peer/session.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Opens connections: keeps one to each set peer, and opens others on demand for forwards.

namespace arbutuscrank::peer {

/// \brief Loop's thread only.
class Connector {
public:
    using Clock = Session::Clock;

    Connector(std::shared_ptr<EventLoop> loop, SessionOwner& owner)
        : m_loop(std::move(loop))
        , m_owner(owner)
    {
    }

    /// \brief Called with each new session before it starts.
    std::function<void(const std::shared_ptr<Session>&)> onSession;
    /// \brief Whether a session that the other side opened can be used instead of a new one.
    std::function<bool(const VmId&)> isReachable;
    /// \brief A set peer could not be dialled.
    std::function<void(const VmId&, const Error&)> onDialFailed;

    void setPeers(const std::vector<PeerEndpoint>& peers);
    void forward(const PeerEndpoint& owner, const std::shared_ptr<ClientForward>& stream);
    void onTick(Clock::time_point now);
    void onIdentified(Session& session);
    /// \brief \returns whether the session was dialled and never got ready
    bool onClosed(const Session& session, const Error& error);
    /// \brief Ends the forwards that wait for a session and dials no more.
    void stop();
    [[nodiscard]] bool isPeer(const VmId& vm) const;

private:
    struct Entry {
        PeerEndpoint endpoint;
        bool kept = false; ///< one of the set peers
        Clock::time_point nextDial;
        std::shared_ptr<Session> session;
        std::vector<std::shared_ptr<ClientForward>> waiting; ///< for the session to be ready
    };

    void dial(const std::string& key, Entry& entry);
    void fail(Entry& entry, const Error& error);
    void closeIfIdle(const Entry& entry, Clock::time_point now) const;

    std::shared_ptr<EventLoop> m_loop;
    SessionOwner& m_owner;
    bool m_stopped = false;
    std::map<std::string, Entry> m_entries; ///< by VM and address
};

} // namespace arbutuscrank::peer
