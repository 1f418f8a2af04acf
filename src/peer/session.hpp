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
class OutgoingMessages;
class ReverseSender;

// --- Limits ----------------------------------------------------------------------------------------------------------

/// Streams that the other side may have open at a time.
inline constexpr std::uint32_t maxStreams = 1100;
/// Forwards that this side has open at a time on one session; the rest of \ref maxStreams is left for messages.
inline constexpr std::size_t maxForwards = 1000;
/// Receive window of a stream: a receiver that does not read holds up at most this much.
inline constexpr std::int32_t streamWindowBytes = 256 << 10;
/// Names and values of one header block.
inline constexpr std::size_t maxHeaderBytes = 64U << 10U;
/// Bytes taken from nghttp2 ahead of what the socket accepts.
inline constexpr std::size_t maxOutputBytes = 128U << 10U;

// --- Headers of the peer protocol ------------------------------------------------------------------------------------

inline constexpr std::string_view vmHeader = "vm";
inline constexpr std::string_view incarnationHeader = "inc";
inline constexpr std::string_view messagePath = "/m";
inline constexpr std::string_view forwardPath = "/forward";

/// \brief Header of a frame to send. The strings must outlive the call that submits them.
[[nodiscard]] nghttp2_nv makeHeader(std::string_view name, std::string_view value) noexcept;

// --- Streams ---------------------------------------------------------------------------------------------------------

/// \brief How a stream ended.
struct StreamEnd {
    std::uint32_t errorCode = NGHTTP2_NO_ERROR; ///< of RST_STREAM or GOAWAY
    bool neverWritten = false; ///< no byte of this side's request went to the socket
    std::string detail; ///< why the session broke; empty if only the stream ended
};

/// \brief One HTTP/2 stream. Calls come from nghttp2 on the loop's thread.
class Stream {
public:
    Stream() = default;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;
    virtual ~Stream() = default;

    /// \returns false to reset the stream
    [[nodiscard]] virtual bool onHeader(std::string_view name, std::string_view value) = 0;
    /// \brief A header block is complete.
    virtual void onHeadersComplete() { }
    /// \returns false to reset the stream
    [[nodiscard]] virtual bool onData(std::span<const std::uint8_t> bytes) = 0;
    /// \brief The other side ended its half.
    virtual void onEndOfStream() { }
    /// \brief Comes once and last.
    virtual void onClosed(const StreamEnd& end) = 0;
    /// \brief Fills a DATA frame, as nghttp2_data_source_read_callback does.
    virtual ssize_t read(std::span<std::uint8_t> /*buf*/, std::uint32_t* /*flags*/) { return NGHTTP2_ERR_DEFERRED; }
    /// \brief Whether bytes of this stream count as control traffic.
    [[nodiscard]] virtual bool isControl() const { return true; }

    std::int32_t id = 0; ///< 0 until submitted
    std::size_t headerBytes = 0; ///< of the header block being received
    std::optional<std::uint64_t> requestOffset; ///< bytes of the session sent before this request's HEADERS
};

// --- Session ---------------------------------------------------------------------------------------------------------

/// \brief What a session needs of the transport. Calls come on the loop's thread.
class SessionOwner {
public:
    SessionOwner() = default;
    SessionOwner(const SessionOwner&) = delete;
    SessionOwner& operator=(const SessionOwner&) = delete;
    virtual ~SessionOwner() = default;

    [[nodiscard]] virtual const PeerTransportSettings& settings() const = 0;
    /// \brief The other side told its name; messages can be sent from now on.
    virtual void onIdentified(Session& session) = 0;
    virtual void onMessageBytes(Session& session, std::span<const std::uint8_t> message) = 0;
    virtual void onForward(
        const ProcessId& from, ForwardHead head, std::string body, std::shared_ptr<ForwardResponder> responder)
        = 0;
    /// \brief Comes once; the session is not used after it.
    virtual void onClosed(Session& session, const Error& error) = 0;
    /// \brief Next encoded message for the peer of this session. \returns false if there is none
    [[nodiscard]] virtual bool takeMessage(Session& session, std::vector<std::uint8_t>& message) = 0;
    /// \brief Takes from the memory for bodies that are not complete yet. \returns false if there is not enough
    [[nodiscard]] virtual bool reserveMemory(std::size_t bytes) = 0;
    virtual void releaseMemory(std::size_t bytes) = 0;
    /// \brief Counts traffic for PeerTransport::controlBytes.
    virtual void countBytes(std::int64_t sent, std::int64_t received) = 0;
};

/// \brief One connection. It keeps itself alive while the loop watches its socket.
class Session : public std::enable_shared_from_this<Session> {
public:
    using Clock = std::chrono::steady_clock;

    /// \param fd connected or connecting socket; owned by the session
    /// \param client whether this side opened the connection
    /// \param peerName address, for errors
    Session(std::shared_ptr<EventLoop> loop, SessionOwner& owner, int fd, bool client, std::string peerName);
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;
    ~Session();

    /// \brief Watches the socket. Call once, after construction.
    void start();
    /// \brief Sends what is ready.
    void flush();
    /// \brief Sends PINGs and notices dead connections.
    void onTick(Clock::time_point now);
    /// \brief Tells the other side which requests were taken (GOAWAY) and closes.
    void shutDown(const Error& error);
    void close(const Error& error);

    // --- For streams ---
    /// \brief Opens a stream. \param body whether DATA follows, from Stream::read. \returns false if it is refused
    bool submitRequest(const std::shared_ptr<Stream>& stream, std::span<const nghttp2_nv> headers, bool body);
    void submitResponse(Stream& stream, std::span<const nghttp2_nv> headers, bool body);
    void submitTrailers(const Stream& stream, std::span<const nghttp2_nv> headers);
    void reset(const Stream& stream, std::uint32_t errorCode);
    void resume(const Stream& stream);
    /// \brief Opens the stream's window again after its bytes were taken.
    void consume(const Stream& stream, std::size_t bytes);
    /// \brief Replaces the handler of an open stream.
    void replaceStream(std::int32_t id, std::shared_ptr<Stream> stream);
    /// \brief Breaks the session once the callback that runs now has returned.
    void fail(std::string detail);
    /// \brief Notes who is on the other side. \returns false if that contradicts what is known
    [[nodiscard]] bool identify(ProcessId peer);
    /// \brief Starts sending messages in the answer to the other side's GET /m.
    void openReverseSender(const std::shared_ptr<ReverseSender>& sender);
    /// \brief Delivers complete incoming messages in the order of their streams.
    void deliverMessages();
    /// \brief Incoming message streams in stream order, for \ref deliverMessages.
    struct IncomingBatch {
        std::string bytes;
        bool complete = false;
    };
    std::map<std::int32_t, IncomingBatch> incomingBatches;
    /// \brief Delivers the messages at the start of \p bytes. \returns bytes used, or nullopt if they are malformed
    [[nodiscard]] std::optional<std::size_t> deliverFrames(std::string_view bytes);

    [[nodiscard]] SessionOwner& owner() noexcept { return m_owner; }
    [[nodiscard]] const std::shared_ptr<EventLoop>& loop() const noexcept { return m_loop; }
    [[nodiscard]] const std::optional<ProcessId>& peer() const noexcept { return m_peer; }
    [[nodiscard]] const std::string& peerName() const noexcept { return m_peerName; }
    [[nodiscard]] bool isClient() const noexcept { return m_client; }
    [[nodiscard]] bool isOpen() const noexcept { return m_fd >= 0; }
    [[nodiscard]] std::size_t streamCount() const noexcept { return m_streams.size(); }
    [[nodiscard]] Clock::time_point startedAt() const noexcept { return m_startedAt; }
    [[nodiscard]] Clock::time_point lastUsed() const noexcept { return m_lastUsed; }
    void noteUse() noexcept { m_lastUsed = Clock::now(); }

    // --- For the transport ---
    VmId expectedVm; ///< VM that was dialled; empty for any
    std::string dialKey; ///< of the connector's entry; empty for accepted connections
    bool superseded = false; ///< the peer went on to send its messages over another session
    std::size_t forwards = 0; ///< forwards that this side has open on this session

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
    bool m_client;
    std::string m_peerName;
    EventLoop::Watch m_watch = 0;
    std::uint32_t m_events = 0;
    bool m_connected;
    bool m_busy = false; ///< inside nghttp2 or flush
    nghttp2_session* m_http = nullptr;
    std::map<std::int32_t, std::shared_ptr<Stream>> m_streams;
    std::shared_ptr<OutgoingMessages> m_messages;
    std::optional<ProcessId> m_peer;
    std::string m_failure; ///< why the session is to be closed; empty if it is not
    std::vector<std::uint8_t> m_output;
    std::size_t m_outputPos = 0;
    std::uint64_t m_produced = 0; ///< bytes taken from nghttp2
    std::uint64_t m_written = 0; ///< bytes the socket accepted
    Clock::time_point m_startedAt = Clock::now();
    Clock::time_point m_lastUsed = m_startedAt;
    Clock::time_point m_lastReceived = m_startedAt;
    Clock::time_point m_lastPing;
    unsigned m_unansweredPings = 0;
};

} // namespace arbutuscrank::peer
