#include "node/target_attempt.hpp"

#include "node/clock.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace arbutuscrank::node {

namespace {

    /// Limits on the head of an answer, and on the fields behind its body.
    constexpr std::uint32_t maxAnswerHeadBytes = 8U << 10U;
    constexpr std::size_t maxAnswerTrailerBytes = 8U << 10U;
    /// Limit on the body of an answer that is passed on to a caller.
    constexpr std::uint64_t maxAnswerBytes = 32U << 20U;
    /// A connection whose target acknowledges no data for this time counts as broken.
    constexpr Duration targetAckTimeout = std::chrono::milliseconds(1500);
    /// Keep-alive timeout of targets that send no Keep-Alive header.
    constexpr Duration defaultKeepAlive = std::chrono::seconds(5);
    /// Number of answers that are informational, or belong to no request or to an earlier one, and are skipped before
    /// the connection is closed.
    constexpr std::uint32_t maxSkippedAnswers = 4;
    /// Longest pause that a target may ask for.
    constexpr Duration maxPause = std::chrono::minutes(10);
    /// Lower statuses are informational: the final answer follows.
    constexpr unsigned firstFinalStatus = 200;
    /// HTTP defines the statuses from 100 to 599. Beast's parser takes any three digits.
    constexpr unsigned firstDefinedStatus = 100;
    constexpr unsigned lastDefinedStatus = 599;
    /// Part of a status that is no number of three digits, for the log.
    constexpr std::size_t maxLoggedStatusBytes = 16;

    /// Describes why a target may not answer with this status, either finally or before its final answer.
    /// \returns an empty text if it may
    std::string describeRefusedStatus(unsigned status)
    {
        if (status < firstDefinedStatus || status > lastDefinedStatus)
            return fmt::format("answer: status {:03} is not defined, allowed are {} to {}", status, firstDefinedStatus,
                lastDefinedStatus);
        // Requests are sent without an Upgrade field.
        if (status == static_cast<unsigned>(http::status::switching_protocols))
            return fmt::format("answer: status {} although no other protocol was asked for", status);
        return {};
    }

    /// Reads the status from the bytes of an answer whose status line cannot be parsed.
    std::string describeUnreadableStatus(std::string_view bytes)
    {
        const auto line = bytes.substr(0, bytes.find_first_of("\r\n"));
        const auto start = std::min(line.find(' '), line.size());
        const auto word = line.substr(std::min(start + 1, line.size()));
        std::string text(word.substr(0, std::min(word.find(' '), maxLoggedStatusBytes)));
        std::ranges::replace_if(
            text, [](char c) { return c < ' ' || c > '~' || c == '"'; }, '?');
        return fmt::format("answer: status \"{}\" cannot be read, allowed are three digits and a space", text);
    }

    std::optional<double> parseNumber(std::string_view text)
    {
        double value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isNumber = !text.empty() && ec == std::errc() && end == text.data() + text.size();
        return isNumber ? std::optional(value) : std::nullopt;
    }

    /// Reads the fourth figure of a load, which may be missing. One that cannot be used leaves the others in force.
    void parseWorkTime(std::string_view text, AttemptResult& result)
    {
        const auto start = std::min(text.find_first_not_of(" \t"), text.size());
        const auto value = text.substr(start, text.find_first_of(", \t", start) - start);
        const auto percent = parseNumber(value);
        // The comparison also rejects NaN.
        if (percent && *percent > 0 && *percent <= entry::maxWorkTimePercent)
            result.load->workTimePercent = percent;
        else
            result.unusableWorkTime = value.empty() ? "nothing" : value;
    }

    /// Reads "running,waiting,slots" or "running,waiting,slots,work time in percent of the usual one".
    void parseLoad(std::string_view text, AttemptResult& result)
    {
        std::array<std::uint32_t, 3> values {};
        const char* it = text.data();
        const char* const end = it + text.size();
        bool hasMore = false;
        for (auto& value : values) {
            const auto [next, ec] = std::from_chars(it, end, value);
            if (ec != std::errc())
                return;
            hasMore = next < end && *next == ',';
            it = hasMore ? next + 1 : next;
        }
        result.load = entry::LoadReport { values[0], values[1], values[2], {} };
        if (hasMore)
            parseWorkTime({ it, end }, result);
    }

    /// Reads the pause that a refusal asks for, in seconds. Longer ones than \ref maxPause are cut.
    std::optional<Duration> parsePause(std::string_view text)
    {
        const auto seconds = parseNumber(text);
        // The comparison also rejects NaN.
        if (!seconds || !(*seconds >= 0))
            return std::nullopt;
        const auto limited = std::min(*seconds, std::chrono::duration<double>(maxPause).count());
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(limited));
    }

    /// Reads the limit that an answer states. Fields that are repeated must have equal values.
    entry::RateLimitStatement parseRateLimit(const CallerAnswer& answer, const std::string& field)
    {
        using enum entry::RateLimitStatement::Kind;
        const auto [first, last] = answer.equal_range(field);
        if (first == last)
            return {};
        const auto text = first->value();
        const auto perSecond = parseNumber({ text.data(), text.size() });
        const bool areEqual = std::all_of(first, last, [&](const auto& it) { return it.value() == text; });
        // The comparison also rejects NaN.
        if (!perSecond || !areEqual || !(*perSecond >= 0 && *perSecond <= entry::maxNamedRate))
            return { Unreadable, 0 };
        return { Limited, *perSecond };
    }

} // namespace

TargetAttempt::TargetAttempt(
    TargetConnections& owner, const entry::SendAttempt& parameters, CallerRequest request, TargetConnections::Done done)
    : m_owner(owner)
    , m_parameters(parameters)
    , m_request(std::move(request))
    , m_done(std::move(done))
    , m_connectTimer(owner.m_context)
{
    const auto it = m_request.find(owner.m_names.requestId);
    if (it != m_request.end())
        m_requestId = std::string(it->value());
}

void TargetAttempt::start(std::shared_ptr<Tcp::socket> idleSocket)
{
    if (idleSocket) {
        m_isConnectionReused = true;
        m_socket = std::move(idleSocket);
        sendRequest();
        return;
    }
    const auto endpoint = parseEndpoint(m_parameters.address);
    if (endpoint) {
        connect(endpoint.value());
        return;
    }
    failLater(entry::AttemptProgress::NotConnected, describe(endpoint.error()));
}

void TargetAttempt::rejectUnsendable(std::string detail)
{
    failLater(entry::AttemptProgress::Unsendable, std::move(detail));
}

void TargetAttempt::connect(const Tcp::endpoint& endpoint)
{
    m_socket = std::make_shared<Tcp::socket>(m_owner.m_context);
    ++m_owner.m_connectionsOpened;
    m_connectTimer.expires_after(m_parameters.connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](SystemError ec) {
        // The connect may have succeeded in the same event loop iteration, so that the request is already being sent.
        if (!ec && !self->m_hasEnded && !self->m_hasConnectSucceeded)
            self->fail(entry::AttemptProgress::NotConnected, "connect: timed out");
    });
    m_socket->async_connect(endpoint, [self = shared_from_this()](SystemError ec) {
        self->m_connectTimer.cancel();
        if (self->m_hasEnded)
            return;
        if (ec) {
            self->fail(entry::AttemptProgress::NotConnected, "connect: " + ec.message());
            return;
        }
        self->m_hasConnectSucceeded = true;
        setSocketOptions(*self->m_socket, targetAckTimeout);
        self->sendRequest();
    });
}

void TargetAttempt::sendRequest()
{
    const auto timeLeft = std::max<Duration>(Duration::zero(), m_parameters.deadline - currentTime());
    m_request.set(m_owner.m_names.timeLeftMs, std::to_string(timeLeft / std::chrono::milliseconds(1)));
    http::async_write(*m_socket, m_request, [self = shared_from_this()](SystemError ec, std::size_t) {
        if (self->m_hasEnded)
            return;
        if (ec)
            self->fail(entry::AttemptProgress::Sent, "send: " + ec.message());
        else
            self->m_hasSentRequest = true;
    });
    m_answerMemory = m_owner.m_answerMemory.hold("target " + m_parameters.target, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->fail(entry::AttemptProgress::Sent, "answer: the answers that are held exceed their memory");
    });
    readAnswer();
}

void TargetAttempt::readAnswer()
{
    m_parser.emplace();
    m_parser->header_limit(maxAnswerHeadBytes);
    m_parser->setTrailerLimit(maxAnswerTrailerBytes);
    m_parser->body_limit(maxAnswerBytes);
    countAnswerMemory();
    if (!m_hasEnded)
        readMore();
}

void TargetAttempt::readMore()
{
    // An eager parser that finds head and body in one read allocates the announced length despite the limit.
    m_parser->eager(m_parser->is_header_done());
    http::async_read_some(*m_socket, m_buffer, *m_parser, [self = shared_from_this()](SystemError ec, std::size_t) {
        if (self->m_hasEnded)
            return;
        if (ec) {
            const auto unread = self->m_buffer.data();
            if (ec == http::error::bad_status)
                self->failUnreadable(
                    describeUnreadableStatus({ static_cast<const char*>(unread.data()), unread.size() }));
            else if (isDisconnect(ec))
                self->fail(entry::AttemptProgress::Sent, "answer: " + ec.message());
            else
                self->failUnreadable("answer: " + describeReadError(ec));
            return;
        }
        // The rest of such an answer, which may never come, is not waited for.
        if (self->m_parser->is_header_done()) {
            if (auto detail = describeRefusedStatus(self->m_parser->get().result_int()); !detail.empty()) {
                self->failUnreadable(std::move(detail));
                return;
            }
        }
        self->countAnswerMemory();
        if (self->m_hasEnded)
            return;
        if (self->m_parser->is_done())
            self->handleAnswer();
        else
            self->readMore();
    });
}

void TargetAttempt::countAnswerMemory()
{
    // A string that grows holds up to twice its size. The parser reserves an announced length with the first bytes of
    // the body, so that it is counted as soon as the head is read.
    const auto announced = m_parser->is_header_done() ? m_parser->content_length().value_or(0) : 0;
    m_answerMemory.resize(std::max<std::uint64_t>(m_parser->get().body().capacity(), announced) + m_buffer.capacity());
}

bool TargetAttempt::isAnswerToThisRequest() const
{
    const auto& answer = m_parser->get();
    const auto it = answer.find(m_owner.m_names.requestId);
    // Without an id, an answer on a reused connection may be a repetition of one to an earlier request.
    if (it == answer.end())
        return !m_isConnectionReused;
    return m_requestId.empty() || it->value() == m_requestId;
}

Duration TargetAttempt::keepAliveTimeout() const
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

void TargetAttempt::handleAnswer()
{
    const bool isFinal = m_parser->get().result_int() >= firstFinalStatus;
    if (!isFinal || !isAnswerToThisRequest()) {
        if ((isFinal && m_parser->need_eof()) || ++m_skippedAnswers > maxSkippedAnswers)
            fail(entry::AttemptProgress::Sent, "answer: informational, or not to this request");
        else
            readAnswer();
        return;
    }
    AttemptResult result;
    const bool isReusable = m_hasSentRequest && m_parser->keep_alive() && !m_parser->need_eof() && m_buffer.size() == 0
        && m_skippedAnswers == 0;
    const auto idleTimeout = keepAliveTimeout();
    result.answer = m_parser->release();
    m_answerMemory.resize(result.answer.body().capacity());
    result.memory = std::move(m_answerMemory);
    const auto& names = m_owner.m_names;
    result.notRun = result.answer.count(names.notRun) != 0;
    result.hasSignature = result.answer.count(names.signature) != 0;
    if (const auto it = result.answer.find(names.load); it != result.answer.end())
        parseLoad({ it->value().data(), it->value().size() }, result);
    result.rateLimit = parseRateLimit(result.answer, names.rateLimit);
    if (result.rateLimit.kind == entry::RateLimitStatement::Kind::Unreadable)
        result.refusedValues[names.rateLimit] = std::string(result.answer[names.rateLimit]);
    result.isLeaving = result.answer[names.leaving] == "1";
    if (const auto it = result.answer.find(http::field::retry_after);
        it != result.answer.end() && result.answer.result() == http::status::service_unavailable) {
        result.pause = parsePause({ it->value().data(), it->value().size() });
        if (!result.pause)
            result.refusedValues["Retry-After"] = std::string(it->value());
    }
    if (isReusable)
        m_owner.storeIdle(m_parameters.target, m_socket, idleTimeout);
    finish(std::move(result));
}

void TargetAttempt::fail(entry::AttemptProgress progress, std::string detail)
{
    AttemptResult result;
    result.failure = progress;
    result.detail = std::move(detail);
    SystemError ec;
    if (m_socket)
        m_socket->close(ec); // the socket is discarded, so an error has no effect
    finish(std::move(result));
}

void TargetAttempt::failLater(entry::AttemptProgress progress, std::string detail)
{
    asio::post(m_owner.m_context,
        [self = shared_from_this(), progress, text = std::move(detail)] { self->fail(progress, text); });
}

void TargetAttempt::failUnreadable(std::string detail)
{
    if (!m_hasEnded)
        ++m_owner.m_unreadableAnswers;
    fail(entry::AttemptProgress::Sent, std::move(detail));
}

void TargetAttempt::finish(AttemptResult result)
{
    if (std::exchange(m_hasEnded, true))
        return;
    const auto self = shared_from_this();
    m_connectTimer.cancel();
    m_answerMemory.markEnding();
    m_owner.m_attempts.erase(m_parameters.attempt);
    if (auto done = std::exchange(m_done, {}))
        done(std::move(result));
}

void TargetAttempt::cancel()
{
    m_done = {};
    fail(entry::AttemptProgress::Sent, "cancelled");
}

} // namespace arbutuscrank::node
