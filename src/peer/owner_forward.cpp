#include "peer/forward_streams.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace arbutuscrank::peer {

namespace {

    /// Bound on the detail text in the result headers; longer texts are cut.
    constexpr std::size_t maxDetailBytes = 1024;

    std::string_view toHeaderValue(AttemptOutcome outcome) noexcept
    {
        switch (outcome) {
        case AttemptOutcome::Complete:
            return "complete";
        case AttemptOutcome::NotRun:
            return "not-run";
        case AttemptOutcome::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    /// Makes text a valid header value: truncated, printable ASCII only, no space at either end.
    std::string sanitizeHeaderValue(std::string text)
    {
        text.resize(std::min(text.size(), maxDetailBytes));
        for (auto& it : text) {
            if (it < ' ' || it > '~')
                it = '?';
        }
        while (!text.empty() && text.back() == ' ')
            text.pop_back();
        text.erase(0, text.find_first_not_of(' '));
        return text;
    }

    /// Responder that the handler of a forwarded request holds.
    class Responder : public ForwardResponder {
    public:
        explicit Responder(std::shared_ptr<OwnerAnswer> answer)
            : m_answer(std::move(answer))
        {
        }
        Responder(const Responder&) = delete;
        Responder& operator=(const Responder&) = delete;
        ~Responder() override { m_answer->abandon(); }

        void start(int status, HeaderList headers) override { m_answer->start(status, std::move(headers)); }
        bool write(std::span<const std::uint8_t> bytes) override { return m_answer->write(bytes); }
        void finish(ForwardResult result) override { m_answer->finish(std::move(result)); }
        void onCancelled(std::function<void()> callback) override { m_answer->onCancelled(std::move(callback)); }

    private:
        std::shared_ptr<OwnerAnswer> m_answer;
    };

} // namespace

// --- Handler's threads -----------------------------------------------------------------------------------------------

void OwnerAnswer::scheduleUpdate(std::unique_lock<std::mutex>& lock)
{
    if (std::exchange(m_isUpdateScheduled, true))
        return;
    lock.unlock();
    m_loop->post([self = shared_from_this()] { self->updateStream(); });
    lock.lock();
}

void OwnerAnswer::start(int status, HeaderList headers)
{
    std::unique_lock lock(m_mutex);
    if (m_isStarted || m_isFinished || m_isStreamClosed)
        return;
    m_isStarted = true;
    m_status = status;
    m_headers = std::move(headers);
    scheduleUpdate(lock);
}

bool OwnerAnswer::write(std::span<const std::uint8_t> bytes)
{
    std::unique_lock lock(m_mutex);
    while (!bytes.empty()) {
        m_bufferSpaceFreed.wait(lock,
            [this] { return m_isStreamClosed || m_isFinished || m_buffer.size() - m_bufferPos < maxBufferedBytes; });
        if (m_isStreamClosed || m_isFinished || !m_isStarted)
            return false;
        if (m_bufferPos > 0) {
            m_buffer.erase(0, m_bufferPos);
            m_bufferPos = 0;
        }
        const auto n = std::min(bytes.size(), maxBufferedBytes - m_buffer.size());
        m_buffer.append(reinterpret_cast<const char*>(bytes.data()), n);
        bytes = bytes.subspan(n);
        scheduleUpdate(lock);
    }
    return !m_isStreamClosed && m_isStarted;
}

void OwnerAnswer::finish(ForwardResult result)
{
    std::unique_lock lock(m_mutex);
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_result = std::move(result);
    m_result.detail = sanitizeHeaderValue(std::move(m_result.detail));
    m_bufferSpaceFreed.notify_all();
    if (!m_isStreamClosed)
        scheduleUpdate(lock);
}

void OwnerAnswer::onCancelled(std::function<void()> callback)
{
    std::unique_lock lock(m_mutex);
    if (m_isFinished)
        return;
    if (!m_isStreamClosed) {
        m_cancelCallback = std::move(callback);
        return;
    }
    lock.unlock();
    if (!m_loop->post(callback))
        callback();
}

void OwnerAnswer::abandon()
{
    std::unique_lock lock(m_mutex);
    if (m_isFinished || m_isStreamClosed)
        return;
    m_isFinished = true;
    m_isAbandoned = true;
    scheduleUpdate(lock);
}

// --- Loop's thread ---------------------------------------------------------------------------------------------------

void OwnerAnswer::onStreamClosed()
{
    m_stream = nullptr;
    std::unique_lock lock(m_mutex);
    m_isStreamClosed = true;
    m_bufferSpaceFreed.notify_all();
    const auto callback = std::exchange(m_cancelCallback, {});
    const bool isFinished = m_isFinished;
    lock.unlock();
    if (callback && !isFinished)
        callback();
}

void OwnerAnswer::updateStream()
{
    std::unique_lock lock(m_mutex);
    m_isUpdateScheduled = false;
    const auto session = m_session.lock();
    if (m_stream == nullptr || !session || !session->isOpen())
        return;
    if (m_isAbandoned) {
        session->reset(*m_stream, NGHTTP2_INTERNAL_ERROR);
    } else if (!m_isHeadSubmitted && (m_isStarted || m_isFinished)) {
        m_isHeadSubmitted = true;
        submitHead(*session, lock);
    } else if (m_isHeadSubmitted) {
        session->resume(*m_stream);
    }
    lock.unlock();
    session->flush();
}

namespace {

    /// Headers that carry the result. They refer to strings of this object, which must outlive them.
    class ResultHeaders {
    public:
        explicit ResultHeaders(const ForwardResult& result)
            : m_result(result)
            , m_retryAfter(std::to_string(result.retryAfter.count()))
        {
        }

        void appendTo(std::vector<nghttp2_nv>& headers) const
        {
            headers.push_back(makeHeader("f-outcome", toHeaderValue(m_result.outcome)));
            if (m_result.shed)
                headers.push_back(makeHeader("f-shed", "1"));
            if (m_result.retryAfter.count() != 0)
                headers.push_back(makeHeader("f-retry", m_retryAfter));
            if (!m_result.detail.empty())
                headers.push_back(makeHeader("f-detail", m_result.detail));
        }

    private:
        const ForwardResult& m_result;
        std::string m_retryAfter;
    };

} // namespace

void OwnerAnswer::submitHead(Session& session, std::unique_lock<std::mutex>& /*lock*/)
{
    std::vector<nghttp2_nv> headers { makeHeader(":status", "200") };
    if (!m_isStarted) {
        m_isResultSubmitted = true;
        const ResultHeaders resultHeaders(m_result);
        resultHeaders.appendTo(headers);
        return session.submitResponse(*m_stream, headers, false);
    }
    const auto status = std::to_string(m_status);
    HeaderList fields;
    fields.reserve(m_headers.size());
    for (auto& [name, value] : m_headers)
        fields.emplace_back("h-" + name, std::move(value));
    headers.push_back(makeHeader("f-status", status));
    for (const auto& [name, value] : fields)
        headers.push_back(makeHeader(name, value));
    session.submitResponse(*m_stream, headers, true);
}

ssize_t OwnerAnswer::read(std::span<std::uint8_t> buf, std::uint32_t* flags)
{
    const std::unique_lock lock(m_mutex);
    const auto n = std::min(buf.size(), m_buffer.size() - m_bufferPos);
    if (n == 0 && !m_isFinished)
        return NGHTTP2_ERR_DEFERRED;
    std::memcpy(buf.data(), m_buffer.data() + m_bufferPos, n);
    m_bufferPos += n;
    if (n > 0)
        m_bufferSpaceFreed.notify_all();
    if (m_isFinished && m_bufferPos == m_buffer.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
        if (const auto session = m_session.lock())
            submitResult(*session);
    }
    return static_cast<ssize_t>(n);
}

void OwnerAnswer::submitResult(Session& session)
{
    if (std::exchange(m_isResultSubmitted, true) || m_stream == nullptr)
        return;
    std::vector<nghttp2_nv> headers;
    const ResultHeaders resultHeaders(m_result);
    resultHeaders.appendTo(headers);
    session.submitTrailers(*m_stream, headers);
}

// --- Stream ----------------------------------------------------------------------------------------------------------

bool OwnerForward::onData(std::span<const std::uint8_t> bytes)
{
    if (m_isRefused || !m_session.owner().reserveMemory(bytes.size())) {
        m_isRefused = true;
        return false;
    }
    m_session.consume(*this, bytes.size());
    m_body.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    return true;
}

void OwnerForward::onEndOfStream()
{
    if (m_isRefused)
        return;
    m_session.updateLastUsed();
    m_session.owner().releaseMemory(m_body.size());
    m_answer = std::make_shared<OwnerAnswer>(m_session.loop(), m_session.weak_from_this());
    m_answer->setStream(*this);
    m_session.owner().onForward(
        *m_session.peer(), std::move(m_head), std::exchange(m_body, {}), std::make_shared<Responder>(m_answer));
}

void OwnerForward::onClosed(const StreamEnd& /*end*/)
{
    m_session.updateLastUsed();
    m_session.owner().releaseMemory(m_body.size());
    if (m_answer)
        m_answer->onStreamClosed();
}

ssize_t OwnerForward::read(std::span<std::uint8_t> buf, std::uint32_t* flags) { return m_answer->read(buf, flags); }

} // namespace arbutuscrank::peer
