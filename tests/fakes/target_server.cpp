#include "fakes/target_server.hpp"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <thread>

namespace arbutuscrank::fakes {

namespace {

    constexpr std::string_view bytesPathSegment = "/bytes/";
    constexpr std::size_t blockBytes = 65536;

    void closeConnection(const ServerRequest& request) { mg_disable_connection_keep_alive(request.connection); }

    nlohmann::json requestToJson(const ServerRequest& request, const std::string& name)
    {
        return { { "target", name }, { "method", request.method }, { "path", request.path },
            { "account", request.header("x-client-account") }, { "tag", request.header("x-test-tag") },
            { "sawKey", !request.header("authorization").empty() || !request.header("x-api-key").empty() },
            { "body", request.body } };
    }

    std::string makeBody(const ServerRequest& request, const std::string& name)
    {
        const auto segmentPosition = request.path.find(bytesPathSegment);
        if (segmentPosition == std::string::npos)
            return requestToJson(request, name).dump();
        std::size_t size = 0;
        const auto digits = std::string_view(request.path).substr(segmentPosition + bytesPathSegment.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), size);
        std::string body(size, '\0');
        for (std::size_t n = 0; n < size; ++n)
            body[n] = static_cast<char>('a' + n % 26);
        return body;
    }

    void writeBody(const ServerRequest& request, std::string_view body, bool chunked)
    {
        while (!body.empty()) {
            const auto block = body.substr(0, blockBytes);
            const int n = chunked ? mg_send_chunk(request.connection, block.data(), static_cast<unsigned>(block.size()))
                                  : mg_write(request.connection, block.data(), block.size());
            if (n <= 0)
                return closeConnection(request);
            body.remove_prefix(block.size());
        }
    }

} // namespace

TargetServer::TargetServer(const std::string& address, std::string name, int threads)
    : m_name(std::move(name))
    , m_server(address, threads, [this](const ServerRequest& request) { handle(request); })
{
}

void TargetServer::handle(const ServerRequest& request)
{
    if (request.path == "/control")
        return setBehaviour(request);
    if (request.path == "/executed")
        return sendExecutedRequests(request);
    TargetBehaviour behaviour;
    {
        const std::lock_guard lock(m_mutex);
        behaviour = m_behaviour;
    }
    if (request.path == "/health") {
        return sendAnswer(
            request, behaviour.healthy ? 200 : 503, "{}", { "X-Load: " + std::to_string(behaviour.load) });
    }
    const auto runningCount = ++m_runningCount;
    m_maxRunningCount = std::max(m_maxRunningCount.load(), runningCount);
    if (behaviour.shed || runningCount > behaviour.slots)
        sendAnswer(request, 429, "{}", { "X-Not-Run: 1", "Retry-After: 1" });
    else
        runRequest(request, behaviour);
    --m_runningCount;
}

void TargetServer::runRequest(const ServerRequest& request, const TargetBehaviour& behaviour)
{
    {
        const std::lock_guard lock(m_mutex);
        m_executedRequests.push_back(requestToJson(request, m_name).dump());
    }
    if (behaviour.delayMs > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(behaviour.delayMs));
    if (behaviour.hang)
        std::this_thread::sleep_for(std::chrono::seconds(30));
    if (behaviour.hang || behaviour.closeBeforeAnswer)
        return closeConnection(request);
    answerRequest(request, behaviour);
}

void TargetServer::answerRequest(const ServerRequest& request, const TargetBehaviour& behaviour)
{
    const auto body = makeBody(request, m_name);
    std::string head
        = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Load: " + std::to_string(behaviour.load) + "\r\n";
    head += behaviour.chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                              : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    mg_write(request.connection, head.data(), head.size());
    if (behaviour.cutAfterBytes >= 0) {
        writeBody(request, std::string_view(body).substr(0, static_cast<std::size_t>(behaviour.cutAfterBytes)),
            behaviour.chunked);
        return closeConnection(request);
    }
    writeBody(request, body, behaviour.chunked);
    if (behaviour.chunked)
        mg_send_chunk(request.connection, "", 0);
}

void TargetServer::setBehaviour(const ServerRequest& request)
{
    const auto tree = nlohmann::json::parse(request.body, nullptr, false);
    if (!tree.is_object())
        return sendAnswer(request, 400, "{}");
    const std::lock_guard lock(m_mutex);
    m_behaviour.delayMs = tree.value("delayMs", m_behaviour.delayMs);
    m_behaviour.slots = tree.value("slots", m_behaviour.slots);
    m_behaviour.shed = tree.value("shed", m_behaviour.shed);
    m_behaviour.hang = tree.value("hang", m_behaviour.hang);
    m_behaviour.cutAfterBytes = tree.value("cutAfterBytes", m_behaviour.cutAfterBytes);
    m_behaviour.closeBeforeAnswer = tree.value("closeBeforeAnswer", m_behaviour.closeBeforeAnswer);
    m_behaviour.chunked = tree.value("chunked", m_behaviour.chunked);
    m_behaviour.healthy = tree.value("healthy", m_behaviour.healthy);
    m_behaviour.load = tree.value("load", m_behaviour.load);
    sendAnswer(request, 200, "{}");
}

void TargetServer::sendExecutedRequests(const ServerRequest& request)
{
    const std::lock_guard lock(m_mutex);
    auto list = nlohmann::json::array();
    for (const auto& it : m_executedRequests)
        list.push_back(nlohmann::json::parse(it));
    const nlohmann::json tree { { "executed", std::move(list) }, { "mostRunning", m_maxRunningCount.load() } };
    sendAnswer(request, 200, tree.dump());
}

} // namespace arbutuscrank::fakes
