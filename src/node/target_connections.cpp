#include "node/target_attempt.hpp"

#include "node/clock.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace arbutuscrank::node {

namespace {

    /// Part of the target's keep-alive time for which an idle connection is used: the target may close it while a
    /// request is on its way.
    constexpr double usedKeepAlive = 0.85;
    /// Longest idle time of a connection that carries a request which must not run twice.
    constexpr Duration atMostOnceIdle = std::chrono::seconds(6);
    constexpr Duration anyIdle = std::chrono::seconds(60);
    /// Idle connections kept to one target.
    constexpr std::size_t maxIdle = 16;

    /// Whether a kept connection is still open and has nothing to read.
    bool isQuiet(Tcp::socket& socket)
    {
        char byte = 0;
        const auto n = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    CallerRequest requestForTarget(
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
        out.set(names.expectedTarget, attempt.target);
        if (!attempt.account.empty())
            out.set(names.account, attempt.account);
        if (!out.body().empty() || out.count(http::field::content_length) != 0)
            out.content_length(out.body().size());
        return out;
    }

} // namespace

std::shared_ptr<Tcp::socket> TargetConnections::takeIdle(const std::string& target, Duration maxAge)
{
    const auto it = m_idle.find(target);
    if (it == m_idle.end())
        return nullptr;
    auto& idle = it->second;
    const auto now = currentTime();
    while (!idle.empty()) {
        auto last = std::move(idle.back());
        idle.pop_back();
        const auto limit = std::min<Duration>(maxAge, std::chrono::duration_cast<Duration>(last.limit * usedKeepAlive));
        SystemError ec;
        last.socket->cancel(ec); // ends the wait for its closing
        if (now - last.since < limit && isQuiet(*last.socket))
            return last.socket;
        last.socket->close(ec);
    }
    return nullptr;
}

void TargetConnections::keep(const std::string& target, std::shared_ptr<Tcp::socket> socket, Duration limit)
{
    auto& idle = m_idle[target];
    if (idle.size() >= maxIdle)
        idle.erase(idle.begin());
    // Bytes or a close while no request is under way make the connection useless.
    socket->async_wait(Tcp::socket::wait_read, [this, target, raw = socket.get()](SystemError ec) {
        if (!ec)
            dropIdle(target, raw);
    });
    idle.push_back({ std::move(socket), currentTime(), limit });
}

void TargetConnections::dropIdle(const std::string& target, const Tcp::socket* socket)
{
    const auto it = m_idle.find(target);
    if (it != m_idle.end())
        std::erase_if(it->second, [&](const Idle& idle) { return idle.socket.get() == socket; });
}

void TargetConnections::closeIdle(const std::string& target) { m_idle.erase(target); }

void TargetConnections::send(const entry::SendAttempt& attempt, const CallerRequest& request, Done done)
{
    auto kept
        = attempt.freshConnection ? nullptr : takeIdle(attempt.target, attempt.atMostOnce ? atMostOnceIdle : anyIdle);
    auto running
        = std::make_shared<TargetAttempt>(*this, attempt, requestForTarget(request, attempt, m_names), std::move(done));
    m_attempts.emplace(attempt.attempt, running);
    running->start(std::move(kept));
}

void TargetConnections::cancel(entry::AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    const auto running = it->second;
    running->cancel();
}

} // namespace arbutuscrank::node
