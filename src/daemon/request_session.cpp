#include "daemon/request_session.hpp"
#include "daemon/forward_exchange.hpp"

#include <poll.h>

namespace arbutuscrank {

namespace {

    /// Oldest decision that may still be acted on. A process that was paused longer refuses instead of running
    /// requests in a burst that its quotas did not allow for this moment.
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
        if (!std::visit([this](const auto& it) { return perform(it); }, *directive))
            break;
    }
    return m_result;
}

std::optional<Directive> RequestSession::nextDirective()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_directive.has_value() || m_callerGone; });
    if (!m_directive) {
        m_result.callerGone = true;
        return std::nullopt;
    }
    auto directive = std::exchange(m_directive, std::nullopt);
    m_running = true;
    return directive;
}

bool RequestSession::isTooOld(TimePoint admittedAt) const { return CoreRunner::now() - admittedAt > maxAdmissionAge; }

bool RequestSession::report(const AttemptEnded& end)
{
    {
        const std::lock_guard lock(m_mutex);
        m_running = false;
    }
    m_control.reset();
    m_services.core.submit(end);
    m_result.status = end.status;
    m_result.answered = end.answerStarted;
    m_result.whole = end.outcome == AttemptOutcome::Complete;
    return end.outcome != AttemptOutcome::Complete && !end.answerStarted;
}

bool RequestSession::perform(const RunAttempt& attempt)
{
    m_result.service = attempt.service;
    m_result.account = attempt.account;
    if (isTooOld(attempt.admittedAt)) {
        AttemptEnded end;
        end.id = m_id;
        end.attempt = attempt.attempt;
        end.outcome = AttemptOutcome::NotRun;
        end.cancelled = true; // says nothing about the target
        end.detail = "the admission is older than 250 ms";
        return report(end);
    }
    const auto started = [this, &attempt] { m_services.core.submit(AnswerStarted { m_id, attempt.attempt }); };
    return report(m_services.targets.run(attempt, m_request, m_sink, m_control, started));
}

bool RequestSession::perform(const ForwardAttempt& attempt)
{
    m_result.service = attempt.service;
    m_result.account = attempt.account;
    const auto started = [this, &attempt] { m_services.core.submit(AnswerStarted { m_id, attempt.attempt }); };
    return report(runForward(m_services.peers, attempt, m_request, m_sink, m_control, started));
}

bool RequestSession::perform(const RefuseRequest& refusal)
{
    m_result.refused = true;
    m_result.service = refusal.service;
    m_result.account = refusal.account;
    m_result.reason = refusal.refusal.reason;
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
    m_wake.notify_one();
}

void RequestSession::cancelAttempt() { m_control.cancel(); }

void RequestSession::callerGone()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_callerGone)
            return;
    }
    // The core either forgets the request now, or cancels its attempt, whose end is reported as usual.
    m_services.core.submit(CallerDisconnected { m_id });
    {
        const std::lock_guard lock(m_mutex);
        m_callerGone = true;
    }
    m_wake.notify_one();
}

void RequestSession::enforceLimit(AttemptControl::Clock::time_point now) { m_control.enforceLimit(now); }

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

std::vector<std::shared_ptr<RequestSession>> SessionTable::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<RequestSession>> sessions;
    sessions.reserve(m_sessions.size());
    for (const auto& [id, session] : m_sessions)
        sessions.push_back(session);
    return sessions;
}

void SessionTable::monitor()
{
    const auto now = AttemptControl::Clock::now();
    std::vector<std::shared_ptr<RequestSession>> watched;
    std::vector<pollfd> items;
    for (auto& it : all()) {
        it->enforceLimit(now);
        if (it->isCallerGoneNoted())
            it->callerGone();
        if (const int socket = it->callerSocket(); socket >= 0) {
            items.push_back({ socket, POLLRDHUP, 0 });
            watched.push_back(std::move(it));
        }
    }
    if (items.empty() || poll(items.data(), items.size(), 0) <= 0)
        return;
    for (std::size_t n = 0; n < items.size(); ++n) {
        if ((items[n].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
            watched[n]->callerGone();
    }
}

} // namespace arbutuscrank
