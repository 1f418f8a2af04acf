#include "peer/forward_streams.hpp"

#include "peer/process_headers.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace arbutuscrank::peer {

namespace {

    bool isValidHeader(const std::string& name, const std::string& value) noexcept
    {
        const auto bytes = [](const std::string& it) { return reinterpret_cast<const std::uint8_t*>(it.data()); };
        return nghttp2_check_header_name(bytes(name), name.size()) != 0
            && nghttp2_check_header_value(bytes(value), value.size()) != 0;
    }

    HeaderList makeForwardHeaders(const ForwardHead& head)
    {
        HeaderList headers { { "f-service", head.service }, { "f-account", head.account }, { "f-method", head.method },
            { "f-path", head.path }, { "f-idem", head.idempotent ? "1" : "0" },
            { "f-timeout", std::to_string(head.timeout.count()) } };
        for (const auto& [name, value] : head.headers)
            headers.emplace_back("h-" + name, value);
        return headers;
    }

} // namespace

bool readForwardHeader(std::string_view name, std::string_view value, ForwardHead& head)
{
    if (name.starts_with("h-")) {
        head.headers.emplace_back(name.substr(2), value);
    } else if (name == "f-service") {
        head.service = value;
    } else if (name == "f-account") {
        head.account = value;
    } else if (name == "f-method") {
        head.method = value;
    } else if (name == "f-path") {
        head.path = value;
    } else if (name == "f-idem") {
        head.idempotent = value == "1";
        return value == "0" || value == "1";
    } else if (name == "f-timeout") {
        std::int64_t micros = 0;
        if (!parseNumber(value, micros))
            return false;
        head.timeout = std::chrono::microseconds(micros);
    }
    return true;
}

// --- Any thread ------------------------------------------------------------------------------------------------------

void ClientForward::cancel()
{
    m_loop->post([self = shared_from_this()] {
        if (std::exchange(self->m_isCancelled, true) || self->m_hasEnded)
            return;
        const auto session = self->m_session.lock();
        if (!session)
            return self->endNotRun("the forward was cancelled before it was sent");
        session->reset(*self, NGHTTP2_CANCEL);
        session->flush();
    });
}

void ClientForward::consume(std::size_t bytes)
{
    if (m_consumedBytes.fetch_add(bytes) != 0)
        return; // the task that is already posted returns the credit for these bytes too
    m_loop->post([self = shared_from_this()] {
        const auto n = self->m_consumedBytes.exchange(0);
        const auto session = self->m_session.lock();
        if (self->m_hasEnded || !session)
            return;
        session->consume(*self, n);
        session->flush();
    });
}

// --- Sending ---------------------------------------------------------------------------------------------------------

void ClientForward::submit(Session& session)
{
    if (m_hasEnded)
        return;
    if (session.openForwards >= maxForwards)
        return endNotRun("the limit of 1000 open forwards on the session is reached");
    const ProcessHeaders self(session.owner().settings().self);
    const auto fields = makeForwardHeaders(m_head);
    std::vector<nghttp2_nv> headers { makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
        makeHeader(":authority", "peer"), makeHeader(":path", forwardPath), self.vm(), self.incarnation() };
    std::size_t bytes = 0;
    for (const auto& [name, value] : fields) {
        if (!isValidHeader(name, value))
            return endNotRun("header '" + name + "' contains characters that HTTP/2 does not allow");
        bytes += name.size() + value.size();
        headers.push_back(makeHeader(name, value));
    }
    // Space within maxHeaderBytes for the pseudo-headers and the headers that identify this process.
    constexpr std::size_t reservedHeaderBytes = 1024;
    if (bytes + reservedHeaderBytes > maxHeaderBytes)
        return endNotRun("the headers of the request are larger than "
            + std::to_string(maxHeaderBytes - reservedHeaderBytes) + " bytes");
    m_session = session.weak_from_this();
    if (!session.submitRequest(shared_from_this(), headers, !m_body.empty()))
        return endNotRun("the session cannot open another stream");
    ++session.openForwards;
    session.updateLastUsed();
}

ssize_t ClientForward::read(std::span<std::uint8_t> buf, std::uint32_t* flags)
{
    const auto n = std::min(buf.size(), m_body.size() - m_bodyPos);
    std::memcpy(buf.data(), m_body.data() + m_bodyPos, n);
    m_bodyPos += n;
    if (m_bodyPos == m_body.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(n);
}

// --- Receiving -------------------------------------------------------------------------------------------------------

bool ClientForward::readResultHeader(std::string_view name, std::string_view value)
{
    if (name == "f-outcome") {
        m_isResultReported = true;
        if (value == "complete")
            m_result.outcome = AttemptOutcome::Complete;
        else if (value == "not-run")
            m_result.outcome = AttemptOutcome::NotRun;
        else
            m_result.outcome = AttemptOutcome::Unknown;
    } else if (name == "f-shed") {
        m_result.shed = value == "1";
    } else if (name == "f-retry") {
        std::int64_t micros = 0;
        if (!parseNumber(value, micros))
            return false;
        m_result.retryAfter = std::chrono::microseconds(micros);
    } else if (name == "f-detail") {
        m_result.detail = value;
    }
    return true;
}

bool ClientForward::onHeader(std::string_view name, std::string_view value)
{
    if (name == "f-status")
        return parseNumber(value, m_status);
    if (name.starts_with("h-")) {
        m_answerHeaders.emplace_back(name.substr(2), value);
        return true;
    }
    return readResultHeader(name, value);
}

void ClientForward::onHeadersComplete()
{
    if (m_hasAnswerStarted || m_status == 0 || m_isCancelled)
        return;
    m_hasAnswerStarted = true;
    if (m_callbacks.onAnswerHead)
        m_callbacks.onAnswerHead(m_status, std::move(m_answerHeaders));
}

bool ClientForward::onData(std::span<const std::uint8_t> bytes)
{
    if (!m_hasAnswerStarted && !m_isCancelled)
        return false;
    if (!m_isCancelled && m_callbacks.onAnswerBody)
        m_callbacks.onAnswerBody(bytes);
    return true;
}

void ClientForward::onClosed(const StreamEnd& end)
{
    if (const auto session = m_session.lock()) {
        --session->openForwards;
        session->updateLastUsed();
    }
    if (m_isResultReported && end.errorCode == NGHTTP2_NO_ERROR && !m_isCancelled)
        return this->end(std::move(m_result));
    const bool refused = end.errorCode == NGHTTP2_REFUSED_STREAM && !m_hasAnswerStarted;
    std::string detail = end.detail;
    if (detail.empty())
        detail = std::string("the stream was reset: ") + nghttp2_http2_strerror(end.errorCode);
    const auto outcome = end.isRequestUnsent || refused ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
    this->end({ outcome, false, {}, std::move(detail) });
}

void ClientForward::endNotRun(std::string detail) { end({ AttemptOutcome::NotRun, false, {}, std::move(detail) }); }

void ClientForward::end(ForwardResult result)
{
    if (std::exchange(m_hasEnded, true))
        return;
    const auto callbacks = std::exchange(m_callbacks, {}); // the callbacks may hold the last reference to this stream
    if (callbacks.onEnd)
        callbacks.onEnd(std::move(result));
}

} // namespace arbutuscrank::peer
