#include "daemon/request_session.hpp"
#include "daemon/forward_exchange.hpp"

#include <poll.h>

namespace arbutuscrank {

namespace {

    /// Age after which an admission is no longer used. Without this limit, a process that was paused would run its
    /// admitted requests in one burst afterwards, above the rate that the quotas allow.
    constexpr Duration maxAdmissionAge = std::chrono::milliseconds(250);

} // namespace

RequestSession::RequestSession(SessionServices services, RequestId id, IncomingRequest request, AnswerSink& sink)
    : m_services(services)
    , m_id(id)
    , m_request(std::move(request))
    , m_sink(sink)
{
}

SessionResult RequestSession::serve(const Event& arrival)
{
    m_services.core.submit(arrival);
    while (auto directive = nextDirective()) {
        if (!std::visit([this](const auto& it) { return execute(it); }, *directive))
            break;
    }
    return m_result;
}

std::optional<Directive> RequestSession::nextDirective()
{
    std::unique_lock lock(m_mutex);
    m_wakeUp.wait(lock, [this] { return m_directive.has_value() || m_hasCallerDisconnected; });
    if (!m_directive) {
        m_result.hasCallerDisconnected = true;
        return std::nullopt;
    }
    auto directive = std::exchange(m_directive, std::nullopt);
    m_isRunning = true;
    return directive;
}

bool RequestSession::isAdmissionTooOld(TimePoint admittedAt) const
{
    return CoreRunner::now() - admittedAt > maxAdmissionAge;
}

bool RequestSession::reportAttemptEnd(const AttemptEnded& end)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isRunning = false;
    }
    m_control.clearCancellation();
    m_services.core.submit(end);
    m_result.status = end.status;
    m_result.hasAnswerStarted = end.answerStarted;
    m_result.isAnswerComplete = end.outcome == AttemptOutcome::Complete;
    return end.outcome != AttemptOutcome::Complete && !end.answerStarted;
}

bool RequestSession::execute(const RunAttempt& attempt)
{
    m_result.service = attempt.service;
    m_result.account = attempt.account;
    if (isAdmissionTooOld(attempt.admittedAt)) {
        AttemptEnded end;
        end.id = m_id;
        end.attempt = attempt.attempt;
        end.outcome = AttemptOutcome::NotRun;
        end.cancelled = true; // the attempt says nothing about the health of the target
        end.detail = "the admission of the request is older than 250 ms";
        return reportAttemptEnd(end);
    }
    const auto onAnswerStarted = [this, &attempt] { m_services.core.submit(AnswerStarted { m_id, attempt.attempt }); };
    return reportAttemptEnd(m_services.targets.run(attempt, m_request, m_sink, m_control, onAnswerStarted));
}

bool RequestSession::execute(const ForwardAttempt& attempt)
{
    m_result.service = attempt.service;
    m_result.account = attempt.account;
    const auto onAnswerStarted = [this, &attempt] { m_services.core.submit(AnswerStarted { m_id, attempt.attempt }); };
    return reportAttemptEnd(
        runForwardedAttempt(m_services.peers, attempt, m_request, m_sink, m_control, onAnswerStarted));
}

bool RequestSession::execute(const RefuseRequest& refusal)
{
    m_result.isRefused = true;
    m_result.service = refusal.service;
    m_result.account = refusal.account;
    m_result.refusalReason = refusal.refusal.reason;
    m_result.status = refusal.refusal.status;
    m_sink.refuse(refusal.refusal);
    return false;
}

void RequestSession::assign(Directive directive)
{
    {
        const std::lock_guard lock(m_mutex);
        m_directive = std::move(directive);
    }
    m_wakeUp.notify_one();
}

void RequestSession::cancelAttempt() { m_control.cancel(); }

void RequestSession::handleCallerDisconnect()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasCallerDisconnected)
            return;
    }
    // The core either drops the request at once, or cancels its running attempt, and the session then reports the end
    // of that attempt as usual.
    m_services.core.submit(CallerDisconnected { m_id });
    {
        const std::lock_guard lock(m_mutex);
        m_hasCallerDisconnected = true;
    }
    m_wakeUp.notify_one();
}

void RequestSession::interruptIfOverdue(AttemptControl::Clock::time_point now) { m_control.interruptIfOverdue(now); }

void SessionTable::add(const std::shared_ptr<RequestSession>& session)
{
    const std::lock_guard lock(m_mutex);
    m_sessions.emplace(session->id(), session);
}

void SessionTable::remove(RequestId id)
{
    const std::lock_guard lock(m_mutex);
    m_sessions.erase(id);
}

std::shared_ptr<RequestSession> SessionTable::find(RequestId id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_sessions.find(id);
    return it == m_sessions.end() ? nullptr : it->second;
}

std::size_t SessionTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

std::vector<std::shared_ptr<RequestSession>> SessionTable::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<RequestSession>> sessions;
    sessions.reserve(m_sessions.size());
    for (const auto& [id, session] : m_sessions)
        sessions.push_back(session);
    return sessions;
}

void SessionTable::checkAll()
{
    const auto now = AttemptControl::Clock::now();
    std::vector<std::shared_ptr<RequestSession>> polledSessions;
    std::vector<pollfd> pollItems;
    for (auto& it : snapshot()) {
        it->interruptIfOverdue(now);
        if (it->isCallerMarkedDisconnected())
            it->handleCallerDisconnect();
        if (const int socket = it->callerSocket(); socket >= 0) {
            pollItems.push_back({ socket, POLLRDHUP, 0 });
            polledSessions.push_back(std::move(it));
        }
    }
    if (pollItems.empty() || poll(pollItems.data(), pollItems.size(), 0) <= 0)
        return;
    for (std::size_t n = 0; n < pollItems.size(); ++n) {
        if ((pollItems[n].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
            polledSessions[n]->handleCallerDisconnect();
    }
}

} // namespace arbutuscrank
