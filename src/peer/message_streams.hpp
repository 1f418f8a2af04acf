#pragma once

#include "peer/session.hpp"

#include <memory>
#include <string>

/// \file
/// \brief Streams that carry messages.
///
/// The side that opened the connection sends each batch of messages as a POST to /m. HTTP/2 lets only that side open
/// streams, so it also opens one GET to /m whose answer never ends and carries the messages of the other side. In both
/// directions a message is its length as a varint (7 bits a byte, lowest first) and its CBOR bytes.

namespace arbutuscrank::peer {

/// Messages queued at the same time share a stream up to this size.
inline constexpr std::size_t batchBytes = 64U << 10U;

/// \brief Adds a message and its length to a batch.
void appendFrame(std::string& batch, std::span<const std::uint8_t> message);

/// \brief One batch: body of a POST to /m.
class MessageBatch;
/// \brief Answer to GET /m at the side that accepted the connection.
class ReverseSender;

/// \brief Moves messages from the transport's queue into streams.
class OutgoingMessages : public std::enable_shared_from_this<OutgoingMessages> {
public:
    explicit OutgoingMessages(Session& session) noexcept
        : m_session(session)
    {
    }

    /// \brief Takes queued messages if the batch before has been handed to nghttp2. \returns whether it took any
    bool pump();
    /// \brief Opens the stream on which the other side sends its messages.
    void openReverse();
    void setReverse(std::shared_ptr<ReverseSender> sender) { m_reverse = std::move(sender); }

    // --- For MessageBatch ---
    void bodyTaken() noexcept { m_bodyOpen = false; }
    void batchClosed() noexcept { --m_unanswered; }

private:
    std::string takeBatch();

    Session& m_session;
    std::shared_ptr<ReverseSender> m_reverse;
    bool m_bodyOpen = false;
    std::size_t m_unanswered = 0;
};

class ReverseSender : public Stream {
public:
    explicit ReverseSender(Session& session) noexcept
        : m_session(session)
    {
    }

    void start();
    /// \returns whether the batch before was taken
    [[nodiscard]] bool idle() const noexcept { return m_open && m_pos == m_batch.size(); }
    void send(std::string batch);

    bool onHeader(std::string_view /*name*/, std::string_view /*value*/) override { return true; }
    bool onData(std::span<const std::uint8_t> /*bytes*/) override { return false; }
    void onClosed(const StreamEnd& end) override;
    ssize_t read(std::span<std::uint8_t> buf, std::uint32_t* flags) override;

private:
    Session& m_session;
    std::string m_batch;
    std::size_t m_pos = 0;
    bool m_open = true;
};

/// \brief GET /m at the side that opened the connection.
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
    std::string m_bytes; ///< start of a message that is not complete
};

/// \brief POST /m at the side that accepted the connection.
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
