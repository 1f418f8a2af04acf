#include "peer/message_streams.hpp"

#include "peer/process_headers.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace arbutuscrank::peer {

namespace {

    /// Bound on the batches in flight without a response. At the bound no further batch is sent, so the queue of a slow
    /// peer fills and messages are dropped.
    constexpr std::size_t maxUnansweredBatches = 64;

    constexpr unsigned varintPayloadBits = 7;
    constexpr std::uint8_t varintContinuationBit = 0x80;

    ssize_t copyToBuffer(const std::string& from, std::size_t& pos, std::span<std::uint8_t> buf)
    {
        const auto n = std::min(buf.size(), from.size() - pos);
        std::memcpy(buf.data(), from.data() + pos, n);
        pos += n;
        return static_cast<ssize_t>(n);
    }

} // namespace

class OutgoingBatchStream : public Stream {
public:
    OutgoingBatchStream(std::shared_ptr<BatchSender> batchSender, std::string batch)
        : m_batchSender(std::move(batchSender))
        , m_batch(std::move(batch))
    {
    }

    bool onHeader(std::string_view /*name*/, std::string_view /*value*/) override { return true; }
    bool onData(std::span<const std::uint8_t> /*bytes*/) override { return false; }
    void onClosed(const StreamEnd& /*end*/) override
    {
        reportBodyRead();
        m_batchSender->onBatchClosed();
    }
    ssize_t read(std::span<std::uint8_t> buf, std::uint32_t* flags) override
    {
        const auto n = copyToBuffer(m_batch, m_batchPos, buf);
        if (m_batchPos == m_batch.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            reportBodyRead();
        }
        return n;
    }

private:
    void reportBodyRead() noexcept
    {
        if (!std::exchange(m_isBodyReadReported, true))
            m_batchSender->onBodyRead();
    }

    std::shared_ptr<BatchSender> m_batchSender;
    std::string m_batch;
    std::size_t m_batchPos = 0;
    bool m_isBodyReadReported = false;
};

// --- Framing ---------------------------------------------------------------------------------------------------------

void appendMessage(std::string& batch, std::span<const std::uint8_t> message)
{
    auto length = message.size();
    while (length >= varintContinuationBit) {
        batch.push_back(static_cast<char>((length & (varintContinuationBit - 1U)) | varintContinuationBit));
        length >>= varintPayloadBits;
    }
    batch.push_back(static_cast<char>(length));
    batch.append(reinterpret_cast<const char*>(message.data()), message.size());
}

std::optional<std::size_t> Session::deliverCompleteMessages(std::string_view bytes)
{
    std::size_t processedBytes = 0;
    while (processedBytes < bytes.size()) {
        std::size_t length = 0;
        std::size_t pos = processedBytes;
        unsigned shift = 0;
        bool hasMore = true;
        while (hasMore && pos < bytes.size()) {
            const auto byte = static_cast<std::uint8_t>(bytes[pos++]);
            length |= static_cast<std::size_t>(byte & (varintContinuationBit - 1U)) << shift;
            shift += varintPayloadBits;
            hasMore = (byte & varintContinuationBit) != 0;
            if (length > m_owner.settings().maxMessageBytes || (hasMore && shift > 4 * varintPayloadBits))
                return std::nullopt;
        }
        if (hasMore || bytes.size() - pos < length)
            break;
        const auto message = bytes.substr(pos, length);
        updateLastUsed();
        m_owner.onMessageBytes(*this, { reinterpret_cast<const std::uint8_t*>(message.data()), message.size() });
        processedBytes = pos + length;
    }
    return processedBytes;
}

// --- Sending ---------------------------------------------------------------------------------------------------------

std::string BatchSender::takeBatch()
{
    std::string batch;
    std::vector<std::uint8_t> message;
    while (batch.size() < batchThresholdBytes && m_session.owner().takeMessage(m_session, message))
        appendMessage(batch, message);
    return batch;
}

bool BatchSender::sendQueuedMessages()
{
    if (!m_session.peer())
        return false;
    if (m_session.isClient() ? m_isBodyPending || m_unansweredBatches >= maxUnansweredBatches
                             : !m_serverMessageSender || !m_serverMessageSender->isIdle())
        return false;
    auto batch = takeBatch();
    if (batch.empty())
        return false;
    m_session.updateLastUsed();
    if (!m_session.isClient()) {
        m_serverMessageSender->send(std::move(batch));
        return true;
    }
    const ProcessHeaders self(m_session.owner().settings().self);
    const std::array headers { makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
        makeHeader(":authority", "peer"), makeHeader(":path", messagePath), self.vm(), self.incarnation() };
    m_isBodyPending = true;
    ++m_unansweredBatches;
    const auto stream = std::make_shared<OutgoingBatchStream>(shared_from_this(), std::move(batch));
    if (!m_session.submitRequest(stream, headers, true)) {
        stream->onClosed({});
        m_session.fail("the session cannot open another stream for messages");
    }
    return true;
}

void BatchSender::requestServerMessages()
{
    const ProcessHeaders self(m_session.owner().settings().self);
    const std::array headers { makeHeader(":method", "GET"), makeHeader(":scheme", "http"),
        makeHeader(":authority", "peer"), makeHeader(":path", messagePath), self.vm(), self.incarnation() };
    m_session.submitRequest(std::make_shared<ServerMessageReceiver>(m_session), headers, false);
}

void ServerMessageSender::start()
{
    const ProcessHeaders self(m_session.owner().settings().self);
    const std::array headers { makeHeader(":status", "200"), self.vm(), self.incarnation() };
    m_session.submitResponse(*this, headers, true);
}

void ServerMessageSender::send(std::string batch)
{
    m_batch = std::move(batch);
    m_batchPos = 0;
    m_session.resume(*this);
}

ssize_t ServerMessageSender::read(std::span<std::uint8_t> buf, std::uint32_t* /*flags*/)
{
    if (m_batchPos == m_batch.size())
        return NGHTTP2_ERR_DEFERRED;
    return copyToBuffer(m_batch, m_batchPos, buf);
}

void ServerMessageSender::onClosed(const StreamEnd& end)
{
    m_isOpen = false;
    if (end.detail.empty())
        m_session.fail("the message stream (GET /m) was reset");
}

// --- Receiving -------------------------------------------------------------------------------------------------------

bool ServerMessageReceiver::onHeader(std::string_view name, std::string_view value)
{
    return name.starts_with(':') ? value == "200" : readProcessHeader(name, value, m_peer);
}

void ServerMessageReceiver::onHeadersComplete()
{
    if (!m_session.identifyPeer(m_peer))
        m_session.fail(
            "the peer identified itself as VM '" + m_peer.vm + "', expected VM '" + m_session.expectedVm + "'");
}

bool ServerMessageReceiver::onData(std::span<const std::uint8_t> bytes)
{
    m_session.consume(*this, bytes.size());
    m_incompleteMessage.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    const auto processedBytes = m_session.deliverCompleteMessages(m_incompleteMessage);
    if (!processedBytes)
        m_session.fail("the peer sent a message that is malformed or longer than the message size limit");
    m_incompleteMessage.erase(0, processedBytes.value_or(0));
    return true;
}

void ServerMessageReceiver::onClosed(const StreamEnd& end)
{
    if (end.detail.empty())
        m_session.fail("the message stream (GET /m) was closed");
}

bool IncomingBatchStream::onData(std::span<const std::uint8_t> bytes)
{
    m_session.consume(*this, bytes.size());
    auto& batch = m_session.incomingBatches[id];
    if (!m_session.owner().reserveMemory(bytes.size())) {
        m_session.fail("the buffered request bodies exceed the memory limit of the transport");
        return false;
    }
    batch.bytes.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    // A batch is closed at the threshold, so its last message may add one message of the maximum size and its length
    // prefix of up to 5 bytes.
    if (batch.bytes.size() > batchThresholdBytes + m_session.owner().settings().maxMessageBytes + 5) {
        m_session.fail("the peer sent a batch of messages that is longer than the batch size limit");
        return false;
    }
    return true;
}

void IncomingBatchStream::onEndOfStream()
{
    m_session.incomingBatches[id].isComplete = true;
    const std::array headers { makeHeader(":status", "204") };
    m_session.submitResponse(*this, headers, false);
    m_session.deliverCompleteBatches();
}

void IncomingBatchStream::onClosed(const StreamEnd& end)
{
    const auto it = m_session.incomingBatches.find(id);
    if (it == m_session.incomingBatches.end() || it->second.isComplete || !end.detail.empty())
        return;
    m_session.owner().releaseMemory(it->second.bytes.size());
    m_session.incomingBatches.erase(it);
    m_session.deliverCompleteBatches();
}

void Session::deliverCompleteBatches()
{
    while (!incomingBatches.empty() && incomingBatches.begin()->second.isComplete) {
        const auto batch = std::move(incomingBatches.extract(incomingBatches.begin()).mapped());
        m_owner.releaseMemory(batch.bytes.size());
        const auto processedBytes = deliverCompleteMessages(batch.bytes);
        if (!processedBytes || *processedBytes != batch.bytes.size())
            return fail("the peer sent a batch that is malformed or has a message longer than the message size limit");
    }
}

} // namespace arbutuscrank::peer
