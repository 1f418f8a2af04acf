#pragma once

#include "peer/session.hpp"

#include <memory>
#include <string>

/// \file
/// \brief Streams that carry messages.
///
/// The side that opened the connection (the client) sends each batch of messages as a POST to /m. Only the client can
/// open streams in HTTP/2, so it also sends one GET to /m, whose response body never ends and carries the messages of
/// the server. In both directions a message is encoded as its length, a varint of 7 bits per byte with the lowest bits
/// first, followed by its CBOR bytes.

namespace arbutuscrank::peer {

/// Queued messages are combined into one batch until it has reached this size.
inline constexpr std::size_t batchThresholdBytes = 64U << 10U;

/// \brief Appends the length of a message and the message to a batch.
void appendMessage(std::string& batch, std::span<const std::uint8_t> message);

/// \brief POST /m at the client; its body is one batch.
class OutgoingBatchStream;
/// \brief Response to GET /m at the server, whose body carries the messages of the server.
class ServerMessageSender;

/// \brief Sends the messages of the transport's queue in batches.
class BatchSender : public std::enable_shared_from_this<BatchSender> {
public:
    explicit BatchSender(Session& session) noexcept
        : m_session(session)
    {
    }

    /// \brief Sends a batch of queued messages if nghttp2 has read the whole previous batch.
    /// \returns whether messages were taken from the queue
    bool sendQueuedMessages();
    /// \brief Sends GET /m, the request in whose response the server sends its messages.
    void requestServerMessages();
    void setServerMessageSender(std::shared_ptr<ServerMessageSender> sender)
    {
        m_serverMessageSender = std::move(sender);
    }

    // --- For OutgoingBatchStream ---
    void onBodyRead() noexcept { m_isBodyPending = false; }
    void onBatchClosed() noexcept { --m_unansweredBatches; }

private:
    std::string takeBatch();

    Session& m_session;
    std::shared_ptr<ServerMessageSender> m_serverMessageSender;
    bool m_isBodyPending = false; ///< nghttp2 has not read the whole previous batch
    std::size_t m_unansweredBatches = 0; ///< batches whose streams are open
};

class ServerMessageSender : public Stream {
public:
    explicit ServerMessageSender(Session& session) noexcept
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
class ServerMessageReceiver : public Stream {
public:
    explicit ServerMessageReceiver(Session& session) noexcept
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
    std::string m_incompleteMessage; ///< beginning of an incomplete message
};

/// \brief POST /m at the server.
class IncomingBatchStream : public Stream {
public:
    explicit IncomingBatchStream(Session& session) noexcept
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
