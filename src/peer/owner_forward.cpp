#include "peer/forward_streams.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace arbutuscrank::peer {

namespace {

    /// Longest detail in a trailer.
    constexpr std::size_t maxDetailBytes = 1024;

    std::string_view toWord(AttemptOutcome outcome) noexcept
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

    /// Text as a header value: printable ASCII, no space at the ends.
    std::string headerText(std::string text)
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

    /// What the handler of a forwarded request holds.
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
        void finish(ForwardResult end) override { m_answer->finish(std::move(end)); }
        void onCancelled(std::function<void()> callback) override { m_answer->onCancelled(std::move(callback)); }

    private:
        std::shared_ptr<OwnerAnswer> m_answer;
    };

} // namespace

// --- Handler's threads -----------------------------------------------------------------------------------------------

void OwnerAnswer::wake(std::unique_lock<std::mutex>& lock)
{
    if (std::exchange(m_wakePosted, true))
        return;
    lock.unlock();
    m_loop->post([self = shared_from_this()] { self->advance(); });
    lock.lock();
}

void OwnerAnswer::start(int status, HeaderList headers)
{
    std::unique_lock lock(m_mutex);
    if (m_started || m_finished || m_gone)
        return;
    m_started = true;
    m_status = status;
    m_headers = std::move(headers);
    wake(lock);
}

bool OwnerAnswer::write(std::span<const std::uint8_t> bytes)
{
    std::unique_lock lock(m_mutex);
    while (!bytes.empty()) {
        m_space.wait(lock, [this] { return m_gone || m_finished || m_buffer.size() - m_pos < bufferBytes; });
        if (m_gone || m_finished || !m_started)
            return false;
        if (m_pos > 0) {
            m_buffer.erase(0, m_pos);
            m_pos = 0;
        }
        const auto n = std::min(bytes.size(), bufferBytes - m_buffer.size());
        m_buffer.append(reinterpret_cast<const char*>(bytes.data()), n);
        bytes = bytes.subspan(n);
        wake(lock);
    }
    return !m_gone && m_started;
}

void OwnerAnswer::finish(ForwardResult end)
{
    std::unique_lock lock(m_mutex);
    if (m_finished)
        return;
    m_finished = true;
    m_end = std::move(end);
    m_end.detail = headerText(std::move(m_end.detail));
    m_space.notify_all();
    if (!m_gone)
        wake(lock);
}

void OwnerAnswer::onCancelled(std::function<void()> callback)
{
    std::unique_lock lock(m_mutex);
    if (m_finished)
        return;
    if (!m_gone) {
        m_cancelled = std::move(callback);
        return;
    }
    lock.unlock();
    if (!m_loop->post(callback))
        callback();
}

void OwnerAnswer::abandon()
{
    std::unique_lock lock(m_mutex);
    if (m_finished || m_gone)
        return;
    m_finished = true;
    m_abandoned = true;
    wake(lock);
}

// --- Loop's thread ---------------------------------------------------------------------------------------------------

void OwnerAnswer::closed()
{
    m_stream = nullptr;
    std::unique_lock lock(m_mutex);
    m_gone = true;
    m_space.notify_all();
    const auto callback = std::exchange(m_cancelled, {});
    const bool finished = m_finished;
    lock.unlock();
    if (callback && !finished)
        callback();
}

void OwnerAnswer::advance()
{
    std::unique_lock lock(m_mutex);
    m_wakePosted = false;
    const auto session = m_session.lock();
    if (m_stream == nullptr || !session || !session->isOpen())
        return;
    if (m_abandoned) {
        session->reset(*m_stream, NGHTTP2_INTERNAL_ERROR);
    } else if (!m_headSubmitted && (m_started || m_finished)) {
        m_headSubmitted = true;
        submitHead(*session, lock);
    } else if (m_headSubmitted) {
        session->resume(*m_stream);
    }
    lock.unlock();
    session->flush();
}

namespace {

    /// Headers that tell the outcome. The strings live as long as the object.
    class EndHeaders {
    public:
        explicit EndHeaders(const ForwardResult& end)
            : m_end(end)
            , m_retryAfter(std::to_string(end.retryAfter.count()))
        {
        }

        void appendTo(std::vector<nghttp2_nv>& headers) const
        {
            headers.push_back(makeHeader("f-outcome", toWord(m_end.outcome)));
            if (m_end.shed)
                headers.push_back(makeHeader("f-shed", "1"));
            if (m_end.retryAfter.count() != 0)
                headers.push_back(makeHeader("f-retry", m_retryAfter));
            if (!m_end.detail.empty())
                headers.push_back(makeHeader("f-detail", m_end.detail));
        }

    private:
        const ForwardResult& m_end;
        std::string m_retryAfter;
    };

} // namespace

void OwnerAnswer::submitHead(Session& session, std::unique_lock<std::mutex>& /*lock*/)
{
    std::vector<nghttp2_nv> headers { makeHeader(":status", "200") };
    if (!m_started) {
        m_endSubmitted = true;
        const EndHeaders end(m_end);
        end.appendTo(headers);
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
    const auto n = std::min(buf.size(), m_buffer.size() - m_pos);
    if (n == 0 && !m_finished)
        return NGHTTP2_ERR_DEFERRED;
    std::memcpy(buf.data(), m_buffer.data() + m_pos, n);
    m_pos += n;
    if (n > 0)
        m_space.notify_all();
    if (m_finished && m_pos == m_buffer.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
        if (const auto session = m_session.lock())
            submitEnd(*session);
    }
    return static_cast<ssize_t>(n);
}

void OwnerAnswer::submitEnd(Session& session)
{
    if (std::exchange(m_endSubmitted, true) || m_stream == nullptr)
        return;
    std::vector<nghttp2_nv> headers;
    const EndHeaders end(m_end);
    end.appendTo(headers);
    session.submitTrailers(*m_stream, headers);
}

// --- Stream ----------------------------------------------------------------------------------------------------------

bool OwnerForward::onData(std::span<const std::uint8_t> bytes)
{
    if (m_refused || !m_session.owner().reserveMemory(bytes.size())) {
        m_refused = true;
        return false;
    }
    m_session.consume(*this, bytes.size());
    m_body.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    return true;
}

void OwnerForward::onEndOfStream()
{
    if (m_refused)
        return;
    m_session.noteUse();
    m_session.owner().releaseMemory(m_body.size());
    m_answer = std::make_shared<OwnerAnswer>(m_session.loop(), m_session.weak_from_this());
    m_answer->bind(*this);
    m_session.owner().onForward(
        *m_session.peer(), std::move(m_head), std::exchange(m_body, {}), std::make_shared<Responder>(m_answer));
}

void OwnerForward::onClosed(const StreamEnd& /*end*/)
{
    m_session.noteUse();
    m_session.owner().releaseMemory(m_body.size());
    if (m_answer)
        m_answer->closed();
}

ssize_t OwnerForward::read(std::span<std::uint8_t> buf, std::uint32_t* flags) { return m_answer->read(buf, flags); }

} // namespace arbutuscrank::peer
