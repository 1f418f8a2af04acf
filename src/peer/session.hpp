#pragma once

#include "peer/event_loop.hpp"

#include <arbutuscrank/peer/transport.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nghttp2/nghttp2.h>

/// \file
/// \brief One HTTP/2 connection between two daemons.

namespace arbutuscrank::peer {

class Session;
class BatchSender;
class ServerMessageSender;

// --- Limits ----------------------------------------------------------------------------------------------------------

/// Streams that the peer may have open at a time (SETTINGS_MAX_CONCURRENT_STREAMS).
inline constexpr std::uint32_t maxStreams = 1100;
/// Forwards that this side may have open at a time on one session. The remaining streams of \ref maxStreams are
/// reserved for messages.
inline constexpr std::size_t maxForwards = 1000;
/// Flow-control window of a stream: bound on the bytes in flight to a receiver that does not read.
inline constexpr std::int32_t streamWindowBytes = 256 << 10;
/// Bound on the names and values of one header block.
inline constexpr std::size_t maxHeaderBytes = 64U << 10U;
/// Threshold of the output buffer: while it holds this many bytes that the socket has not accepted, no more are read
/// from nghttp2.
inline constexpr std::size_t maxOutputBytes = 128U << 10U;

// --- Headers of the peer protocol ------------------------------------------------------------------------------------

inline constexpr std::string_view vmHeader = "vm";
inline constexpr std::string_view incarnationHeader = "inc";
inline constexpr std::string_view messagePath = "/m";
inline constexpr std::string_view forwardPath = "/forward";

/// \brief Builds an nghttp2 header field. It refers to the strings, which must outlive the call that submits it.
[[nodiscard]] nghttp2_nv makeHeader(std::string_view name, std::string_view value) noexcept;

// --- Streams ---------------------------------------------------------------------------------------------------------

/// \brief How a stream ended.
struct StreamEnd {
    std::uint32_t errorCode = NGHTTP2_NO_ERROR; ///< HTTP/2 error code
    bool isRequestUnsent = false; ///< the socket accepted no byte of this side's request
    std::string detail; ///< why the session was closed; empty if only the stream was closed
};

/// \brief One HTTP/2 stream. Its functions are called from nghttp2 callbacks, on the loop's thread.
class Stream {
public:
    Stream() = default;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;
    virtual ~Stream() = default;

    /// \returns false to reset the stream
    [[nodiscard]] virtual bool onHeader(std::string_view name, std::string_view value) = 0;
    /// \brief Called at the end of each header block: headers or trailers.
    virtual void onHeadersComplete() { }
    /// \returns false to reset the stream
    [[nodiscard]] virtual bool onData(std::span<const std::uint8_t> bytes) = 0;
    /// \brief Called when the peer has closed its direction of the stream.
    virtual void onEndOfStream() { }
    /// \brief Called exactly once, after all other callbacks.
    virtual void onClosed(const StreamEnd& end) = 0;
    /// \brief Fills a DATA frame. Returns and sets \p flags as nghttp2_data_source_read_callback does.
    virtual ssize_t read(std::span<std::uint8_t> /*buf*/, std::uint32_t* /*flags*/) { return NGHTTP2_ERR_DEFERRED; }
    /// \returns whether this stream's bytes count in PeerTransport::controlBytes
    [[nodiscard]] virtual bool isControl() const { return true; }

    std::int32_t id = 0; ///< 0 until submitted
    std::size_t headerBytes = 0; ///< size of the header block that is being received
    std::optional<std::uint64_t> requestOffset; ///< position of this request's HEADERS frame in the session's output
};

// --- Session ---------------------------------------------------------------------------------------------------------

/// \brief What a session requires of the transport. Called on the loop's thread.
class SessionOwner {
public:
    SessionOwner() = default;
    SessionOwner(const SessionOwner&) = delete;
    SessionOwner& operator=(const SessionOwner&) = delete;
    virtual ~SessionOwner() = default;

    [[nodiscard]] virtual const PeerTransportSettings& settings() const = 0;
    /// \brief Called when the peer has identified itself; from then on messages can be sent.
    virtual void onIdentified(Session& session) = 0;
    /// \brief Called for each incoming message, still encoded.
    virtual void onMessageBytes(Session& session, std::span<const std::uint8_t> message) = 0;
    /// \brief Called for each forwarded request with its whole body.
    virtual void onForward(
        const ProcessId& from, ForwardHead head, std::string body, std::shared_ptr<ForwardResponder> responder)
        = 0;
    /// \brief Called exactly once, as the session's last call.
    virtual void onClosed(Session& session, const Error& error) = 0;
    /// \brief Removes the next encoded message from the queue for this session's peer.
    /// \returns false if there is none, or messages to the peer use another session
    [[nodiscard]] virtual bool takeMessage(Session& session, std::vector<std::uint8_t>& message) = 0;
    /// \brief Reserves memory for buffered request bodies, see PeerTransportSettings::maxIncompleteBytes.
    /// \returns false if the limit would be exceeded
    [[nodiscard]] virtual bool reserveMemory(std::size_t bytes) = 0;
    virtual void releaseMemory(std::size_t bytes) = 0;
    /// \brief Adds to PeerTransport::controlBytes; negative values subtract.
    virtual void countBytes(std::int64_t sent, std::int64_t received) = 0;
};

/// \brief One connection. The event loop holds a reference to it while its socket is registered.
class Session : public std::enable_shared_from_this<Session> {
public:
    using Clock = std::chrono::steady_clock;

    /// \param fd connected or connecting socket; owned by the session
    /// \param client whether this side opened the connection
    /// \param peerAddress for error messages
    Session(std::shared_ptr<EventLoop> loop, SessionOwner& owner, int fd, bool client, std::string peerAddress);
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;
    ~Session();

    /// \brief Registers the socket with the event loop. Call once, after construction.
    void start();
    /// \brief Writes pending messages and frames to the socket.
    void flush();
    /// \brief Sends a PING on an inactive connection and closes it if earlier PINGs got no answer.
    void onTick(Clock::time_point now);
    /// \brief Sends GOAWAY, which names the last request that was processed, and closes the session.
    void shutDown(const Error& error);
    /// \brief Closes the socket and every stream at once.
    void close(const Error& error);

    // --- For streams ---
    /// \brief Opens a stream.
    /// \param hasBody whether DATA frames follow, filled by Stream::read
    /// \returns false if nghttp2 refuses it
    bool submitRequest(const std::shared_ptr<Stream>& stream, std::span<const nghttp2_nv> headers, bool hasBody);
    void submitResponse(Stream& stream, std::span<const nghttp2_nv> headers, bool hasBody);
    void submitTrailers(const Stream& stream, std::span<const nghttp2_nv> headers);
    void reset(const Stream& stream, std::uint32_t errorCode);
    /// \brief Continues to send a body whose Stream::read returned NGHTTP2_ERR_DEFERRED.
    void resume(const Stream& stream);
    /// \brief Returns flow-control credit for bytes of the stream that were processed.
    void consume(const Stream& stream, std::size_t bytes);
    /// \brief Sets the object that handles an open stream.
    void replaceStream(std::int32_t id, std::shared_ptr<Stream> stream);
    /// \brief Marks the session as failed; it is closed after the current callback has returned.
    void fail(std::string detail);
    /// \brief Records which process is the peer.
    /// \returns false if it is unnamed, is not \ref expectedVm, or differs from the process recorded before
    [[nodiscard]] bool identifyPeer(ProcessId peer);
    /// \brief Starts to send messages in the response to the peer's GET /m.
    void startServerMessageSender(const std::shared_ptr<ServerMessageSender>& sender);
    /// \brief Delivers complete incoming batches in the order of their stream ids. An incomplete batch delays later
    /// ones.
    void deliverCompleteBatches();
    /// \brief Body of an incoming POST /m, until \ref deliverCompleteBatches delivers it.
    struct IncomingBatch {
        std::string bytes;
        bool isComplete = false; ///< the whole body has arrived
    };
    std::map<std::int32_t, IncomingBatch> incomingBatches; ///< by stream id
    /// \brief Delivers every complete message at the start of \p bytes.
    /// \returns the number of bytes processed, or nullopt if a length is malformed or exceeds maxMessageBytes
    [[nodiscard]] std::optional<std::size_t> deliverCompleteMessages(std::string_view bytes);

    [[nodiscard]] SessionOwner& owner() noexcept { return m_owner; }
    [[nodiscard]] const std::shared_ptr<EventLoop>& loop() const noexcept { return m_loop; }
    [[nodiscard]] const std::optional<ProcessId>& peer() const noexcept { return m_peer; }
    [[nodiscard]] const std::string& peerAddress() const noexcept { return m_peerAddress; }
    [[nodiscard]] bool isClient() const noexcept { return m_isClient; }
    [[nodiscard]] bool isOpen() const noexcept { return m_fd >= 0; }
    [[nodiscard]] std::size_t streamCount() const noexcept { return m_streams.size(); }
    [[nodiscard]] Clock::time_point startedAt() const noexcept { return m_startedAt; }
    [[nodiscard]] Clock::time_point lastUsedAt() const noexcept { return m_lastUsedAt; }
    void updateLastUsed() noexcept { m_lastUsedAt = Clock::now(); }

    // --- For the transport ---
    VmId expectedVm; ///< the VM to which this side connected; empty if any VM is accepted
    std::string connectionKey; ///< key of the connection in the connector; empty for accepted connections
    bool isSuperseded = false; ///< the peer sends its messages over a later session; those received here are ignored
    std::size_t openForwards = 0; ///< open forwards that this side sent on this session

private:
    friend struct SessionCallbacks;

    void onIo(std::uint32_t events);
    bool finishConnect();
    void receive();
    bool writeOutput();
    void fillOutput();
    void updateEvents();
    Stream* findStream(std::int32_t id);
    void endStream(std::int32_t id, std::uint32_t errorCode);
    void openNghttp2();

    std::shared_ptr<EventLoop> m_loop;
    SessionOwner& m_owner;
    int m_fd;
    bool m_isClient;
    std::string m_peerAddress;
    EventLoop::WatchId m_watchId = 0;
    std::uint32_t m_events = 0;
    bool m_isConnected;
    bool m_isProcessing = false; ///< nghttp2 or flush is on the call stack; a nested flush returns at once
    nghttp2_session* m_http = nullptr;
    std::map<std::int32_t, std::shared_ptr<Stream>> m_streams;
    std::shared_ptr<BatchSender> m_batchSender;
    std::optional<ProcessId> m_peer;
    std::string m_failure; ///< set by fail: why the session is to be closed; empty if it is not
    std::vector<std::uint8_t> m_output;
    std::size_t m_outputPos = 0;
    std::uint64_t m_producedBytes = 0; ///< bytes that nghttp2 has produced so far
    std::uint64_t m_writtenBytes = 0; ///< bytes that the socket has accepted so far
    Clock::time_point m_startedAt = Clock::now();
    Clock::time_point m_lastUsedAt = m_startedAt;
    Clock::time_point m_lastReceivedAt = m_startedAt;
    Clock::time_point m_lastPingAt;
    unsigned m_unansweredPings = 0;
};

} // namespace arbutuscrank::peer
