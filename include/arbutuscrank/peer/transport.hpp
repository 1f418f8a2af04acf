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
/// \brief Transport between daemons: messages and forwarded requests over HTTP/2 connections (nghttp2).

namespace arbutuscrank {

/// \brief Settings of a \ref PeerTransport.
struct PeerTransportSettings {
    ProcessId self;
    /// "ip:port" or "[ip6]:port". For port 0 the system picks one, see \ref PeerTransport::boundAddress.
    std::string listenAddress;
    std::chrono::milliseconds connectTimeout { 1000 }; ///< for the TCP connect and the peer's identification
    std::chrono::milliseconds reconnectInterval { 500 }; ///< delay between attempts to connect to a peer
    /// A larger incoming message closes the session; a larger outgoing message is dropped.
    std::size_t maxMessageBytes = 4U << 20U;
    std::size_t maxSendQueueBytes = 8U << 20U; ///< of the queue for one peer; messages that do not fit are dropped
    /// Bound on the buffered request bodies (forwards and batches of messages) of all sessions. Beyond it a forward is
    /// refused, and a session that receives a batch of messages is closed.
    std::size_t maxIncompleteBytes = 64U << 20U;
    std::size_t maxSessions = 4096; ///< bound on open sessions; further accepted connections are closed
    /// A session that this side opened to an endpoint outside setPeers is closed after this time without use.
    std::chrono::milliseconds idleTimeout { 30'000 };
};

/// \brief HTTP header names (in lower case) and values.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// \brief Head of a request that one daemon (the forwarding entry) sends to the daemon that owns the target (the
/// owner).
struct ForwardHead {
    std::string service;
    std::string account; ///< empty on open routes
    std::string method;
    std::string path;
    bool idempotent = true;
    std::chrono::microseconds timeout {}; ///< remaining time until the request's deadline
    HeaderList headers; ///< of the caller's request, without the API key and the hop-by-hop headers
};

/// \brief Result of a forwarded request.
struct ForwardResult {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    bool shed = false; ///< the owner or the target rejected the request because of overload
    std::chrono::microseconds retryAfter {}; ///< suggested delay before a retry; 0 if none
    std::string detail; ///< reason, for logs
};

/// \brief Forward stream at the forwarding entry. Thread-safe; callbacks run on the transport's thread and must not
/// block.
class ForwardStream {
public:
    ForwardStream() = default;
    ForwardStream(const ForwardStream&) = delete;
    ForwardStream& operator=(const ForwardStream&) = delete;
    virtual ~ForwardStream() = default;

    /// \brief Cancels the request. The forward ends with NotRun if no byte of the request was sent, otherwise with
    /// Unknown unless the owner had refused the stream. If the owner has received the whole request, its
    /// \ref ForwardResponder::onCancelled callback runs.
    virtual void cancel() = 0;

    /// \brief Returns flow-control credit for bytes of the answer that the forwarding entry has processed.
    virtual void consume(std::size_t bytes) = 0;
};

/// \brief Callbacks of a forward stream at the forwarding entry. \ref onEnd is called exactly once, after all others.
struct ForwardCallbacks {
    std::function<void(int status, HeaderList headers)> onAnswerHead;
    std::function<void(std::span<const std::uint8_t> bytes)> onAnswerBody;
    /// Called with NotRun only if no byte of the request was sent, the owner refused the stream (REFUSED_STREAM) before
    /// the answer started, or the owner reported NotRun.
    std::function<void(ForwardResult result)> onEnd;
};

/// \brief Forward stream at the owner. Thread-safe; \ref write blocks while the send buffer is full because the
/// forwarding entry has granted no flow-control credit. Destroying the responder before \ref finish resets the stream.
class ForwardResponder {
public:
    ForwardResponder() = default;
    ForwardResponder(const ForwardResponder&) = delete;
    ForwardResponder& operator=(const ForwardResponder&) = delete;
    virtual ~ForwardResponder() = default;

    /// \brief Sends the status and headers of the answer.
    virtual void start(int status, HeaderList headers) = 0;
    /// \brief Sends part of the body.
    /// \returns false if the stream is closed (the forwarding entry cancelled or disconnected) or not started
    [[nodiscard]] virtual bool write(std::span<const std::uint8_t> bytes) = 0;
    /// \brief Sends the result and ends the stream; \ref start need not have been called. Must be the last call.
    virtual void finish(ForwardResult result) = 0;
    /// \brief Sets a callback that runs at most once: if the stream closes before \ref finish and before the responder
    /// is destroyed. It runs on the transport's thread, or on the calling thread if the transport has stopped.
    virtual void onCancelled(std::function<void()> callback) = 0;
};

/// \brief Receives the events of a transport, on the transport's thread. Handlers must not block.
class PeerTransportHandler {
public:
    PeerTransportHandler() = default;
    PeerTransportHandler(const PeerTransportHandler&) = delete;
    PeerTransportHandler& operator=(const PeerTransportHandler&) = delete;
    virtual ~PeerTransportHandler() = default;

    /// \brief Called for each message, in the order in which the sender sent them.
    virtual void onMessage(const ProcessId& from, PeerMessage message) = 0;
    /// \brief Called at each failed attempt to connect to a peer of \ref PeerTransport::setPeers, and when the session
    /// over which messages to such a peer are sent is closed, even if another session replaces it. Not called during
    /// \ref PeerTransport::stop.
    virtual void onPeerLost(const VmId& vm, const Error& error) = 0;
    /// \brief Called when a forwarded request and its whole body have arrived. The handler must pass it to another
    /// thread.
    virtual void onForward(
        const ProcessId& from, ForwardHead head, std::string body, std::shared_ptr<ForwardResponder> responder)
        = 0;
};

/// \brief Runs all peer sessions of a daemon on one thread of its own.
///
/// Messages to one peer are delivered in the order sent or dropped, never reordered. A session is one HTTP/2
/// connection: the side that opened it sends batches of messages as POST /m, receives messages in the response
/// to a GET /m, and sends each forwarded request as a POST /forward.
class PeerTransport {
public:
    PeerTransport() = default;
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;
    virtual ~PeerTransport() = default;

    /// \brief Starts to listen and starts the thread. Call once.
    /// \returns Unavailable if the address cannot be bound, InvalidArgument if it is not an IP address with a port
    [[nodiscard]] virtual Result<void> start() = 0;
    /// \brief Closes every session and joins the thread. In-flight forwards end as they do when a session breaks.
    /// Must not be called from a callback.
    virtual void stop() = 0;
    /// \brief Replaces the set of peers to which sessions are kept open.
    virtual void setPeers(std::vector<PeerEndpoint> peers) = 0;
    /// \brief Queues a message. It is dropped and counted if no session with that VM exists, whichever side opened it,
    /// if the message exceeds maxMessageBytes, or if the queue is full.
    virtual void send(const VmId& to, const PeerMessage& message) = 0;
    /// \brief Forwards a request to the daemon at the owner's address, over the session that this side has opened to
    /// this endpoint or a new one. A session that the peer opened is not used.
    /// \param owner if its vm is empty, any VM at the address is accepted; otherwise the forward ends with NotRun when
    /// another VM answers there
    /// \returns the stream; after \ref stop, onEnd has already been called on the calling thread, with NotRun
    [[nodiscard]] virtual std::shared_ptr<ForwardStream> forward(
        const PeerEndpoint& owner, ForwardHead head, std::string body, ForwardCallbacks callbacks)
        = 0;
    /// \returns bytes sent and received since the start, without the frames of forwards; the HEADERS frames of incoming
    /// forwards are included
    [[nodiscard]] virtual std::pair<std::uint64_t, std::uint64_t> controlBytes() const = 0;
    /// \returns the address on which the transport listens, with the actual port; empty before \ref start
    [[nodiscard]] virtual std::string boundAddress() const { return {}; }
    /// \returns messages dropped since the start because of a missing session, a size limit or a full queue, or because
    /// they were still queued when the last session with the VM was closed; messages lost in flight are not counted
    [[nodiscard]] virtual std::uint64_t droppedMessages() const { return 0; }
    /// \returns whether a session with that VM exists, so that \ref send can queue messages for it
    [[nodiscard]] virtual bool isConnected(const VmId& /*vm*/) const { return false; }
};

/// \brief Creates a transport, which opens no socket before \ref PeerTransport::start.
/// \param handler must outlive the transport
[[nodiscard]] std::unique_ptr<PeerTransport> makePeerTransport(
    PeerTransportSettings settings, PeerTransportHandler& handler);

} // namespace arbutuscrank
