#include "node/target_attempt.hpp"

#include "node/clock.hpp"

#include <charconv>

namespace arbutuscrank::node {

namespace {

    /// Largest answer that is passed on.
    constexpr std::uint64_t maxAnswerBytes = 32U << 20U;
    /// A target that acknowledges nothing for this long is gone.
    constexpr Duration targetSilence = std::chrono::milliseconds(1500);
    /// Time after which a target may close an idle connection if it does not say so.
    constexpr Duration defaultKeepAlive = std::chrono::seconds(5);
    /// Late answers to earlier requests that are skipped before the connection is given up.
    constexpr std::uint32_t maxStrayAnswers = 2;

    std::optional<entry::LoadReport> parseLoad(std::string_view text)
    {
        std::array<std::uint32_t, 3> values {};
        const char* it = text.data();
        const char* const end = it + text.size();
        for (auto& value : values) {
            const auto [next, ec] = std::from_chars(it, end, value);
            if (ec != std::errc())
                return std::nullopt;
            it = next < end && *next == ',' ? next + 1 : next;
        }
        return entry::LoadReport { values[0], values[1], values[2] };
    }

} // namespace

TargetAttempt::TargetAttempt(
    TargetConnections& owner, const entry::SendAttempt& order, CallerRequest request, TargetConnections::Done done)
    : m_owner(owner)
    , m_order(order)
    , m_request(std::move(request))
    , m_done(std::move(done))
    , m_connectTimer(owner.m_context)
{
    const auto it = m_request.find(owner.m_names.requestId);
    if (it != m_request.end())
        m_requestId = std::string(it->value());
}

void TargetAttempt::start(std::shared_ptr<Tcp::socket> kept)
{
    if (kept) {
        m_socket = std::move(kept);
        exchange();
        return;
    }
    const auto endpoint = parseEndpoint(m_order.address);
    if (endpoint) {
        connect(endpoint.value());
        return;
    }
    // The caller of send() expects its handler from the event loop.
    asio::post(m_owner.m_context, [self = shared_from_this(), detail = describe(endpoint.error())] {
        self->fail(entry::AttemptProgress::NotConnected, detail);
    });
}

void TargetAttempt::connect(const Tcp::endpoint& endpoint)
{
    m_socket = std::make_shared<Tcp::socket>(m_owner.m_context);
    ++m_owner.m_opened;
    m_connectTimer.expires_after(m_order.connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](SystemError ec) {
        // The connection may have been opened in the same turn of the loop, and the request be on its way.
        if (!ec && !self->m_ended && !self->m_connected)
            self->fail(entry::AttemptProgress::NotConnected, "connect: timed out");
    });
    m_socket->async_connect(endpoint, [self = shared_from_this()](SystemError ec) {
        self->m_connectTimer.cancel();
        if (self->m_ended)
            return;
        if (ec) {
            self->fail(entry::AttemptProgress::NotConnected, "connect: " + ec.message());
            return;
        }
        self->m_connected = true;
        prepareSocket(*self->m_socket, targetSilence);
        self->exchange();
    });
}

void TargetAttempt::exchange()
{
    const auto left = std::max<Duration>(Duration::zero(), m_order.deadline - currentTime());
    m_request.set(m_owner.m_names.timeLeftMs, std::to_string(left / std::chrono::milliseconds(1)));
    http::async_write(*m_socket, m_request, [self = shared_from_this()](SystemError ec, std::size_t) {
        if (self->m_ended)
            return;
        if (ec)
            self->fail(entry::AttemptProgress::Sent, "send: " + ec.message());
        else
            self->m_written = true;
    });
    readAnswer();
}

void TargetAttempt::readAnswer()
{
    m_parser.emplace();
    m_parser->body_limit(maxAnswerBytes);
    http::async_read(*m_socket, m_buffer, *m_parser, [self = shared_from_this()](SystemError ec, std::size_t) {
        if (self->m_ended)
            return;
        if (ec)
            self->fail(entry::AttemptProgress::Sent, "answer: " + ec.message());
        else
            self->answered();
    });
}

bool TargetAttempt::answersThisRequest() const
{
    const auto& answer = m_parser->get();
    const auto it = answer.find(m_owner.m_names.requestId);
    return it == answer.end() || m_requestId.empty() || it->value() == m_requestId;
}

Duration TargetAttempt::keepAliveLimit() const
{
    const auto it = m_parser->get().find(http::field::keep_alive);
    if (it == m_parser->get().end())
        return defaultKeepAlive;
    const std::string_view text(it->value().data(), it->value().size());
    const auto at = text.find("timeout=");
    int value = 0;
    if (at == std::string_view::npos
        || std::from_chars(text.data() + at + 8, text.data() + text.size(), value).ec != std::errc())
        return defaultKeepAlive;
    return std::chrono::seconds(value);
}

void TargetAttempt::answered()
{
    if (!answersThisRequest()) {
        if (m_parser->need_eof() || ++m_strayAnswers > maxStrayAnswers) {
            fail(entry::AttemptProgress::Sent, "answer: belongs to another request");
            return;
        }
        readAnswer();
        return;
    }
    AttemptResult result;
    const bool reusable
        = m_written && m_parser->keep_alive() && !m_parser->need_eof() && m_buffer.size() == 0 && m_strayAnswers == 0;
    const auto limit = keepAliveLimit();
    result.answer = m_parser->release();
    const auto& names = m_owner.m_names;
    result.notRun = result.answer.count(names.notRun) != 0;
    result.isSigned = result.answer.count(names.signature) != 0;
    if (const auto it = result.answer.find(names.load); it != result.answer.end())
        result.load = parseLoad({ it->value().data(), it->value().size() });
    if (reusable)
        m_owner.keep(m_order.target, m_socket, limit);
    finish(std::move(result));
}

void TargetAttempt::fail(entry::AttemptProgress progress, std::string detail)
{
    AttemptResult result;
    result.failure = progress;
    result.detail = std::move(detail);
    SystemError ec;
    if (m_socket)
        m_socket->close(ec); // the connection is given up; an error changes nothing
    finish(std::move(result));
}

void TargetAttempt::finish(AttemptResult result)
{
    if (std::exchange(m_ended, true))
        return;
    const auto self = shared_from_this();
    m_connectTimer.cancel();
    m_owner.m_attempts.erase(m_order.attempt);
    if (auto done = std::exchange(m_done, {}))
        done(std::move(result));
}

void TargetAttempt::cancel()
{
    m_done = {};
    fail(entry::AttemptProgress::Sent, "cancelled");
}

} // namespace arbutuscrank::node
