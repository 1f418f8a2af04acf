#include "node/target_attempt.hpp"

#include "node/clock.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace arbutuscrank::node {

namespace {

    /// Share of the target's keep-alive timeout for which an idle connection is reused. Near the end of the timeout,
    /// the target may close the connection while a request is being sent.
    constexpr double usedKeepAliveShare = 0.85;
    /// Longest idle time after which a connection is reused for a request that must run at most once.
    constexpr Duration maxIdleTimeAtMostOnce = std::chrono::seconds(6);
    /// Longest idle time after which a connection is reused for any other request.
    constexpr Duration maxIdleTime = std::chrono::seconds(60);
    /// Limit on the idle connections to one target.
    constexpr std::size_t maxIdlePerTarget = 16;

    /// Whether an idle connection is still open and has no unread data.
    bool isOpenWithoutData(Tcp::socket& socket)
    {
        char byte = 0;
        const auto n = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// The caller's request with the fields that this VM adds. \returns InvalidArgument if one of those cannot be
    /// written
    Result<CallerRequest> requestForTarget(
        const CallerRequest& request, const entry::SendAttempt& attempt, const HeaderNames& names)
    {
        CallerRequest out = request;
        out.erase(names.key);
        out.erase(names.account);
        out.erase(names.expectedTarget);
        out.erase(http::field::connection);
        out.erase(http::field::keep_alive);
        out.erase(http::field::te);
        out.erase(http::field::trailer);
        out.erase(http::field::transfer_encoding);
        out.erase(http::field::upgrade);
        out.erase(http::field::expect);
        out.erase("Proxy-Connection");
        out.version(11);
        BOOST_OUTCOME_TRY(setField(out, names.expectedTarget, attempt.target));
        if (!attempt.account.empty()) {
            BOOST_OUTCOME_TRY(setField(out, names.account, attempt.account));
        }
        if (!out.body().empty() || out.count(http::field::content_length) != 0)
            out.content_length(out.body().size());
        return out;
    }

} // namespace

std::shared_ptr<Tcp::socket> TargetConnections::takeIdle(const std::string& target, Duration idleTimeLimit)
{
    const auto it = m_idleConnections.find(target);
    if (it == m_idleConnections.end())
        return nullptr;
    auto& idle = it->second;
    const auto now = currentTime();
    while (!idle.empty()) {
        auto last = std::move(idle.back());
        idle.pop_back();
        --m_idleCount;
        const auto limit = std::min<Duration>(
            idleTimeLimit, std::chrono::duration_cast<Duration>(last.keepAliveTimeout * usedKeepAliveShare));
        SystemError ec;
        last.socket->cancel(ec); // ends the wait for data or a close
        if (now - last.idleSince < limit && isOpenWithoutData(*last.socket))
            return last.socket;
        last.socket->close(ec);
    }
    return nullptr;
}

void TargetConnections::storeIdle(
    const std::string& target, std::shared_ptr<Tcp::socket> socket, Duration keepAliveTimeout)
{
    auto& idle = m_idleConnections[target];
    if (idle.size() >= maxIdlePerTarget) {
        idle.erase(idle.begin());
        --m_idleCount;
    }
    ++m_idleCount;
    // Data or a close while no request is in flight make the connection unusable.
    socket->async_wait(Tcp::socket::wait_read, [this, target, raw = socket.get()](SystemError ec) {
        if (!ec)
            removeIdle(target, raw);
    });
    idle.push_back({ std::move(socket), currentTime(), keepAliveTimeout });
}

void TargetConnections::removeIdle(const std::string& target, const Tcp::socket* socket)
{
    const auto it = m_idleConnections.find(target);
    if (it != m_idleConnections.end())
        m_idleCount
            -= std::erase_if(it->second, [&](const IdleConnection& idle) { return idle.socket.get() == socket; });
}

bool TargetConnections::closeLongestIdle()
{
    std::vector<IdleConnection>* longest = nullptr;
    for (auto& [target, idle] : m_idleConnections) {
        if (!idle.empty() && (!longest || idle.front().idleSince < longest->front().idleSince))
            longest = &idle;
    }
    if (!longest)
        return false;
    longest->erase(longest->begin());
    --m_idleCount;
    return true;
}

void TargetConnections::closeIdle(const std::string& target)
{
    const auto it = m_idleConnections.find(target);
    if (it == m_idleConnections.end())
        return;
    m_idleCount -= it->second.size();
    m_idleConnections.erase(it);
}

void TargetConnections::send(const entry::SendAttempt& attempt, const CallerRequest& request, Done done)
{
    auto requestToSend = requestForTarget(request, attempt, m_names);
    if (!requestToSend) {
        const auto unsendable = std::make_shared<TargetAttempt>(*this, attempt, CallerRequest(), std::move(done));
        m_attempts.emplace(attempt.attempt, unsendable);
        unsendable->rejectUnsendable(describe(requestToSend.error()));
        return;
    }
    // The answer to a request without an id cannot be told from a late answer to an earlier request.
    const bool hasRequestId = request.count(m_names.requestId) != 0;
    auto idleSocket = attempt.freshConnection || !hasRequestId
        ? nullptr
        : takeIdle(attempt.target, attempt.atMostOnce ? maxIdleTimeAtMostOnce : maxIdleTime);
    auto targetAttempt
        = std::make_shared<TargetAttempt>(*this, attempt, std::move(requestToSend.value()), std::move(done));
    m_attempts.emplace(attempt.attempt, targetAttempt);
    targetAttempt->start(std::move(idleSocket));
}

void TargetConnections::cancel(entry::AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    const auto targetAttempt = it->second;
    targetAttempt->cancel();
}

} // namespace arbutuscrank::node
