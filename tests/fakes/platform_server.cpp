#include "fakes/platform_server.hpp"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

namespace arbutuscrank::fakes {

namespace {

    constexpr std::string_view objectPrefix = "/objects/";

    std::vector<std::string> versionHeader(std::uint64_t version)
    {
        return { "ETag: \"" + std::to_string(version) + "\"" };
    }

    /// Closes the connection without an answer.
    void closeWithoutAnswer(const ServerRequest& request) { mg_disable_connection_keep_alive(request.connection); }

} // namespace

PlatformServer::PlatformServer(const std::string& address, int threads)
    : m_server(address, threads, [this](const ServerRequest& request) { handle(request); })
{
}

PlatformServer::~PlatformServer()
{
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
    m_changed.notify_all();
}

void PlatformServer::handle(const ServerRequest& request)
{
    if (request.path == "/faults")
        return request.method == "PUT" ? setFaults(request) : sendFaults(request);
    PlatformFaults faults;
    {
        const std::lock_guard lock(m_mutex);
        faults = m_faults;
    }
    if (request.path == "/vms" && request.method == "PUT") {
        const std::lock_guard lock(m_mutex);
        m_vms = request.body;
        return sendAnswer(request, 200, "{}");
    }
    if (faults.down)
        return closeWithoutAnswer(request);
    if (faults.slowMs > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(faults.slowMs));
    if (request.path == "/vms") {
        const std::lock_guard lock(m_mutex);
        ++m_callCounts["listVms"];
        return sendAnswer(request, 200, faults.garbage ? "\xff\xfe{[" : m_vms);
    }
    if (request.path == "/stats") {
        const std::lock_guard lock(m_mutex);
        return sendAnswer(request, 200, nlohmann::json(m_callCounts).dump());
    }
    if (!request.path.starts_with(objectPrefix))
        return sendAnswer(request, 404, "{}");
    const auto key = request.path.substr(objectPrefix.size());
    if (request.method == "PUT")
        return writeObject(request, key);
    return readObject(request, key);
}

void PlatformServer::readObject(const ServerRequest& request, const std::string& key)
{
    const bool isWatch = request.query.contains("watch");
    const auto after = static_cast<std::uint64_t>(request.queryNumber("watch", -1));
    std::unique_lock lock(m_mutex);
    ++m_callCounts[isWatch ? "watch" : "get"];
    if (isWatch) {
        const auto wait = std::chrono::milliseconds(request.queryNumber("timeoutMs", 10000));
        const bool changed = m_changed.wait_for(
            lock, wait, [&] { return m_isStopping || m_faults.down || m_objects[key].version > after; });
        if (m_faults.down || m_isStopping)
            return closeWithoutAnswer(request);
        if (!changed)
            return sendAnswer(request, 304, {});
    }
    const auto object = m_objects[key];
    const bool garbage = m_faults.garbage;
    lock.unlock();
    if (object.version == 0)
        return sendAnswer(request, 404, "{}");
    sendAnswer(request, 200, garbage ? "\xff\xfe{[" : object.value, versionHeader(object.version));
}

void PlatformServer::writeObject(const ServerRequest& request, const std::string& key)
{
    std::unique_lock lock(m_mutex);
    ++m_callCounts["put"];
    auto& object = m_objects[key];
    const bool create = request.header("if-none-match") == "*";
    const bool versionMatches
        = create ? object.version == 0 : request.header("if-match") == "\"" + std::to_string(object.version) + "\"";
    if (!versionMatches) {
        const auto version = object.version;
        lock.unlock();
        return sendAnswer(request, 412, "{}", versionHeader(version));
    }
    ++object.version;
    object.value = request.body;
    const auto version = object.version;
    m_changed.notify_all();
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        return closeWithoutAnswer(request);
    }
    lock.unlock();
    sendAnswer(request, 200, "{}", versionHeader(version));
}

void PlatformServer::setFaults(const ServerRequest& request)
{
    const auto tree = nlohmann::json::parse(request.body, nullptr, false);
    if (!tree.is_object())
        return sendAnswer(request, 400, "{}");
    const std::lock_guard lock(m_mutex);
    m_faults.down = tree.value("down", m_faults.down);
    m_faults.slowMs = tree.value("slowMs", m_faults.slowMs);
    m_faults.loseAnswers = tree.value("loseAnswers", m_faults.loseAnswers);
    m_faults.garbage = tree.value("garbage", m_faults.garbage);
    m_changed.notify_all();
    sendAnswer(request, 200, "{}");
}

void PlatformServer::sendFaults(const ServerRequest& request)
{
    const std::lock_guard lock(m_mutex);
    const nlohmann::json tree { { "down", m_faults.down }, { "slowMs", m_faults.slowMs },
        { "loseAnswers", m_faults.loseAnswers }, { "garbage", m_faults.garbage } };
    sendAnswer(request, 200, tree.dump());
}

} // namespace arbutuscrank::fakes
