#pragma once

#include "peer/session.hpp"

#include <memory>
#include <string>

/// \file
/// \brief Streams that carry messages.
///
/// The side that opened the connection (the client) sends each batch of messages as a POST to /m. Only the client can
/// open streams in HTTP/2, so it also sends one GET to /m, whose response body never ends and carries the messages of
/// the server. In both directions a message is framed as its length, a varint of 7 bits per byte with the lowest bits
/// first, followed by its CBOR bytes.

namespace arbutuscrank::peer {

/// Queued messages are combined into one batch until it has reached this size.
inline constexpr std::size_t batchThresholdBytes = 64U << 10U;

/// \brief Appends the length of a message and the message to a batch.
void appendFrame(std::string& batch, std::span<const std::uint8_t> message);

/// \brief POST /m at the client; its body is one batch.
class MessageBatch;
/// \brief Response to GET /m at the server.
class ReverseSender;

/// \brief Sends the messages of the transport's queue in batches.
class OutgoingMessages : public std::enable_shared_from_this<OutgoingMessages> {
public:
    explicit OutgoingMessages(Session& session) noexcept
        : m_session(session)
    {
    }

    /// \brief Sends a batch of queued messages if nghttp2 has read the whole previous batch.
    /// \returns whether messages were taken from the queue
    bool sendQueuedMessages();
    /// \brief Sends GET /m, the request in whose response the server sends its messages.
    void openReverseStream();
    void setReverseSender(std::shared_ptr<ReverseSender> sender) { m_reverseSender = std::move(sender); }

    // --- For MessageBatch ---
    void onBodyRead() noexcept { m_isBodyPending = false; }
    void onBatchClosed() noexcept { --m_unansweredBatches; }

private:
    std::string takeBatch();

    Session& m_session;
    std::shared_ptr<ReverseSender> m_reverseSender;
    bool m_isBodyPending = false; ///< nghttp2 has not read the whole previous batch
    std::size_t m_unansweredBatches = 0; ///< batches whose streams are open
};

class ReverseSender : public Stream {
public:
    explicit ReverseSender(Session& session) noexcept
        : m_session(session)
    {
    }

    void start();
    /// \returns whether nghttp2 has read the whole previous batch and the stream is open
    [[nodiscard]] bool isIdle() const noexcept { return m_isOpen && m_batchPos == m_batch.size(); }
    void send(std::string batch);

    bool onHeader(std::string_view /*name*/, std::string_view /*value*/) override { return true; }
    bool onData(std::span<const std::uint8_t> /*bytes*/) override { return false; }
    void onClosed(const StreamEnd& end) override;
    ssize_t read(std::span<std::uint8_t> buf, std::uint32_t* flags) override;

private:
    Session& m_session;
    std::string m_batch;
    std::size_t m_batchPos = 0;
    bool m_isOpen = true;
};

/// \brief GET /m at the client.
class ReverseReceiver : public Stream {
public:
    explicit ReverseReceiver(Session& session) noexcept
        : m_session(session)
    {
    }

    bool onHeader(std::string_view name, std::string_view value) override;
    void onHeadersComplete() override;
    bool onData(std::span<const std::uint8_t> bytes) override;
    void onClosed(const StreamEnd& end) override;

private:
    Session& m_session;
    ProcessId m_peer;
    std::string m_incompleteFrame; ///< beginning of an incomplete message
};

/// \brief POST /m at the server.
class IncomingMessages : public Stream {
public:
    explicit IncomingMessages(Session& session) noexcept
        : m_session(session)
    {
    }

    bool onHeader(std::string_view /*name*/, std::string_view /*value*/) override { return true; }
    bool onData(std::span<const std::uint8_t> bytes) override;
    void onEndOfStream() override;
    void onClosed(const StreamEnd& end) override;

private:
    Session& m_session;
};

} // namespace arbutuscrank::peer
