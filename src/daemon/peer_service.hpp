#pragma once

#include "daemon/request_session.hpp"
#include "daemon/task_queue.hpp"
#include "telemetry/blocking_log.hpp"

#include <arbutuscrank/peer/transport.hpp>

#include <memory>

/// \file
/// \brief Submits the messages of peers to the core, and serves requests that other entries forward.

namespace arbutuscrank {

/// \brief Handler of the peer transport.
class PeerService final : public PeerTransportHandler {
public:
    /// \param threads forwarded requests served at a time
    PeerService(SessionServices services, SessionTable& sessions, const BlockingLog& log, std::size_t threads);

    void onMessage(const ProcessId& from, PeerMessage message) override;
    void onPeerLost(const VmId& vm, const Error& error) override;
    void onForward(const ProcessId& from, ForwardHead head, std::string body,
        std::shared_ptr<ForwardResponder> responder) override;

    void stop();

private:
    void serveForward(const ProcessId& from, const ForwardHead& head, std::string body, ForwardResponder& responder);

    SessionServices m_services;
    SessionTable& m_sessions;
    const BlockingLog& m_log;
    TaskQueue m_messageQueue; ///< one thread keeps messages in order; the queue keeps the transport from waiting
    TaskQueue m_forwardQueue;
};

} // namespace arbutuscrank
