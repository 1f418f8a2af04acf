#include "peer/connector.hpp"

#include "peer/address.hpp"

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include <unistd.h>

namespace arbutuscrank::peer {

namespace {

    std::string keyOf(const PeerEndpoint& endpoint) { return endpoint.vm + "@" + endpoint.address; }

    /// Opens a socket and starts to connect.
    Result<int> connectTo(const std::string& text)
    {
        auto address = parseAddress(text);
        if (!address)
            return address.error();
        const auto& it = address.value();
        const int fd = ::socket(it.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd >= 0) {
            tuneSocket(fd);
            if (::connect(fd, it.data(), it.length) == 0 || errno == EINPROGRESS)
                return fd;
        }
        Error error { ErrorCode::Unavailable, "peer.connect", text, std::generic_category().message(errno) };
        if (fd >= 0)
            ::close(fd);
        return error;
    }

} // namespace

bool Connector::isPeer(const VmId& vm) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&vm](const auto& it) { return it.second.kept && it.second.endpoint.vm == vm; });
}

void Connector::setPeers(const std::vector<PeerEndpoint>& peers)
{
    for (auto& [key, entry] : m_entries)
        entry.kept = false;
    const auto now = Clock::now();
    for (const auto& it : peers) {
        auto& entry = m_entries[keyOf(it)];
        if (entry.endpoint.address.empty()) {
            entry.endpoint = it;
            // Two VMs that learn of each other at the same time need one connection, not two.
            const bool waits = it.vm < m_owner.settings().self.vm;
            entry.nextDial = waits ? now + m_owner.settings().reconnectInterval / 4 : now;
        }
        entry.kept = true;
    }
    onTick(now);
}

void Connector::forward(const PeerEndpoint& owner, const std::shared_ptr<ClientForward>& stream)
{
    if (m_stopped)
        return stream->endNotRun("the transport was stopped");
    const auto key = keyOf(owner);
    auto& entry = m_entries[key];
    entry.endpoint = owner;
    if (entry.session && entry.session->peer()) {
        const auto session = entry.session;
        stream->submit(*session);
        return session->flush();
    }
    constexpr std::size_t maxWaiting = maxForwards;
    if (entry.waiting.size() >= maxWaiting)
        return stream->endNotRun("too many forwards wait for the connection");
    entry.waiting.push_back(stream);
    if (!entry.session)
        dial(key, entry);
}

void Connector::dial(const std::string& key, Entry& entry)
{
    entry.nextDial = Clock::now() + m_owner.settings().reconnectInterval;
    const auto fd = connectTo(entry.endpoint.address);
    if (!fd)
        return fail(entry, fd.error());
    auto session = std::make_shared<Session>(m_loop, m_owner, fd.value(), true, entry.endpoint.address);
    session->expectedVm = entry.endpoint.vm;
    session->dialKey = key;
    entry.session = session;
    onSession(session);
    session->start();
}

void Connector::fail(Entry& entry, const Error& error)
{
    const auto waiting = std::exchange(entry.waiting, {});
    const bool kept = entry.kept;
    const auto vm = entry.endpoint.vm;
    for (const auto& it : waiting)
        it->endNotRun(describe(error));
    if (kept)
        onDialFailed(vm, error);
}

void Connector::onTick(Clock::time_point now)
{
    if (m_stopped)
        return;
    const auto& settings = m_owner.settings();
    std::vector<std::pair<std::shared_ptr<Session>, Error>> late;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& [key, entry] = *it;
        if (entry.session) {
            if (!entry.session->peer() && now - entry.session->startedAt() > settings.connectTimeout)
                late.emplace_back(
                    entry.session, Error { ErrorCode::Timeout, "peer.connect", entry.endpoint.address, "no answer" });
            else if (!entry.kept && entry.session->forwards == 0 && entry.waiting.empty()
                && now - entry.session->lastUsed() > settings.idleTimeout)
                late.emplace_back(entry.session,
                    Error { ErrorCode::Unavailable, "peer.session", entry.endpoint.address, "closed because idle" });
        } else if (entry.kept) {
            if (now >= entry.nextDial && !isReachable(entry.endpoint.vm))
                dial(key, entry);
        } else if (entry.waiting.empty()) {
            it = m_entries.erase(it);
            continue;
        }
        ++it;
    }
    for (const auto& [session, error] : late)
        session->shutDown(error);
}

void Connector::onIdentified(Session& session)
{
    const auto it = m_entries.find(session.dialKey);
    if (it == m_entries.end() || it->second.session.get() != &session)
        return;
    for (const auto& stream : std::exchange(it->second.waiting, {}))
        stream->submit(session);
}

bool Connector::onClosed(const Session& session, const Error& error)
{
    const auto it = m_entries.find(session.dialKey);
    if (it == m_entries.end() || it->second.session.get() != &session)
        return false;
    auto& entry = it->second;
    entry.session.reset();
    entry.nextDial = Clock::now() + m_owner.settings().reconnectInterval;
    if (session.peer())
        return false;
    fail(entry, error);
    return true;
}

void Connector::stop()
{
    m_stopped = true;
    for (auto& [key, entry] : m_entries) {
        entry.kept = false;
        for (const auto& it : std::exchange(entry.waiting, {}))
            it->endNotRun("the transport was stopped");
    }
}

} // namespace arbutuscrank::peer
