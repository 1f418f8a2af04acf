#pragma once

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/core/messages.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Sessions between daemons: HTTP/2 over TCP through nghttp2.

namespace arbutuscrank {

/// \brief Settings of a \ref PeerTransport.
struct PeerTransportSettings {
    ProcessId self;
    std::string listenAddress; ///< "ip:port"; port 0 lets the system choose, see \ref PeerTransport::boundAddress
    std::chrono::milliseconds connectTimeout { 1000 };
    std::chrono::milliseconds reconnectInterval { 500 };
    std::size_t maxMessageBytes = 4U << 20U; ///< larger messages break the session
    std::size_t maxSendQueueBytes = 8U << 20U; ///< messages to one peer beyond this are dropped
    std::size_t maxIncompleteBytes = 64U << 20U; ///< bodies that are still being received, of all sessions together
    std::size_t maxSessions = 4096; ///< connections accepted beyond this are closed
    std::chrono::milliseconds idleTimeout { 30'000 }; ///< sessions to other than the set peers are closed after this
};

/// \brief HTTP header names (lower case) and values.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// \brief What the entry that owns the target gets of a forwarded request.
struct ForwardHead {
    std::string service;
    std::string account; ///< empty on open routes
    std::string method;
    std::string path;
    bool idempotent = true;
    std::chrono::microseconds timeout {}; ///< time left until the deadline
    HeaderList headers; ///< of the caller's request, without its key and hop-by-hop headers
};

/// \brief How a forward ended at the owner.
struct ForwardResult {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    bool shed = false;
    std::chrono::microseconds retryAfter {};
    std::string detail;
};

/// \brief Client side of a forward stream. All calls are safe from any thread; callbacks run on the transport's thread
/// and must not block.
class ForwardStream {
public:
    ForwardStream() = default;
    ForwardStream(const ForwardStream&) = delete;
    ForwardStream& operator=(const ForwardStream&) = delete;
    virtual ~ForwardStream() = default;

    /// \brief Ends the stream; the owner sees that the caller went away.
    virtual void cancel() = 0;

    /// \brief Tells the transport that the receiver took bytes of the answer, so that the owner may send more.
    virtual void consume(std::size_t bytes) = 0;
};

/// \brief Callbacks of the client side of a forward stream. \ref onEnd comes exactly once and last.
struct ForwardCallbacks {
    std::function<void(int status, HeaderList headers)> onAnswerHead;
    std::function<void(std::span<const std::uint8_t> bytes)> onAnswerBody;
    std::function<void(ForwardResult end)> onEnd; ///< NotRun only if nothing was sent, or the owner said so
};

/// \brief Owner side of a forward stream. Safe from any thread; \ref write blocks while the stream's window is full.
class ForwardResponder {
public:
    ForwardResponder() = default;
    ForwardResponder(const ForwardResponder&) = delete;
    ForwardResponder& operator=(const ForwardResponder&) = delete;
    virtual ~ForwardResponder() = default;

    /// \brief Starts the answer.
    virtual void start(int status, HeaderList headers) = 0;
    /// \brief Sends part of the body. \returns false if the forwarding entry went away
    [[nodiscard]] virtual bool write(std::span<const std::uint8_t> bytes) = 0;
    /// \brief Ends the stream, with or without an answer before. Nothing may follow.
    virtual void finish(ForwardResult end) = 0;
    /// \brief Called once on the transport's thread if the forwarding entry goes away before \ref finish.
    virtual void onCancelled(std::function<void()> callback) = 0;
};

/// \brief What the transport tells its owner. Calls come from the transport's thread and must not block.
class PeerTransportHandler {
public:
    PeerTransportHandler() = default;
    PeerTransportHandler(const PeerTransportHandler&) = delete;
    PeerTransportHandler& operator=(const PeerTransportHandler&) = delete;
    virtual ~PeerTransportHandler() = default;

    virtual void onMessage(const ProcessId& from, PeerMessage message) = 0;
    /// \brief A session to a peer of \ref PeerTransport::setPeers broke or could not be opened.
    virtual void onPeerLost(const VmId& vm, const Error& error) = 0;
    /// \brief A forwarded request arrived with its whole body. The handler must hand it to another thread.
    virtual void onForward(
        const ProcessId& from, ForwardHead head, std::string body, std::shared_ptr<ForwardResponder> responder)
        = 0;
};

/// \brief All peer sessions of a daemon, run by one thread of its own.
///
/// Messages to one peer arrive in the order sent, or not at all. A session is an HTTP/2 connection on which each
/// message is a POST to /m and each forwarded request a POST to /forward.
class PeerTransport {
public:
    PeerTransport() = default;
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;
    virtual ~PeerTransport() = default;

    /// \brief Starts listening and the thread. Call once.
    /// \returns Unavailable if the address cannot be bound, InvalidArgument if it is not an IP number with a port
    [[nodiscard]] virtual Result<void> start() = 0;
    /// \brief Closes every session and ends the thread. Forwards that are open end, as after a broken session.
    /// Not to be called from a callback.
    virtual void stop() = 0;
    /// \brief Replaces the peers to which sessions are kept open.
    virtual void setPeers(std::vector<PeerEndpoint> peers) = 0;
    /// \brief Sends a message; dropped if there is no session to that VM in either direction.
    virtual void send(const VmId& to, const PeerMessage& message) = 0;
    /// \brief Sends a request to the entry at the owner's address, over the session to it or a new one.
    /// \param owner with an empty vm, any VM at that address may answer; otherwise another one ends it with NotRun
    /// \returns the stream; after \ref stop its onEnd has been called on this thread, with NotRun
    [[nodiscard]] virtual std::shared_ptr<ForwardStream> forward(
        const PeerEndpoint& owner, ForwardHead head, std::string body, ForwardCallbacks callbacks)
        = 0;
    /// \brief Bytes sent and received since the start, forwards left out.
    [[nodiscard]] virtual std::pair<std::uint64_t, std::uint64_t> controlBytes() const = 0;
    /// \brief Address on which the transport listens, with the port that was chosen; empty before \ref start.
    [[nodiscard]] virtual std::string boundAddress() const { return {}; }
    /// \brief Messages dropped by \ref send since the start: no session, a full queue, or a session that broke.
    [[nodiscard]] virtual std::uint64_t droppedMessages() const { return 0; }
    /// \brief Whether a message to that VM would be queued now.
    [[nodiscard]] virtual bool isConnected(const VmId& /*vm*/) const { return false; }
};

/// \brief Makes a transport.
[[nodiscard]] std::unique_ptr<PeerTransport> makePeerTransport(
    PeerTransportSettings settings, PeerTransportHandler& handler);

} // namespace arbutuscrank
