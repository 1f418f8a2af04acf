#pragma once

#include "fakes/http_server.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

/// \file
/// \brief Stand-in for a target: slots, load reports that can lie, shedding, cold start, and faults while it answers.
/// It records every request that it ran, so that tests can count executions.

namespace arbutuscrank::fakes {

/// \brief Behaviour of the stand-in target, set through PUT /control.
struct TargetBehaviour {
    std::int64_t delayMs = 0; ///< time that a request takes
    std::int64_t slots = 6; ///< more requests than this at a time are shed with 429 and X-Not-Run
    bool shed = false; ///< sheds every request
    bool hang = false; ///< runs requests but never answers
    std::int64_t cutAfterBytes = -1; ///< closes the connection after that many bytes of the body; -1: never
    bool closeBeforeAnswer = false; ///< runs the request, then closes the connection
    bool chunked = false; ///< answers without Content-Length
    bool healthy = true; ///< what GET /health says
    double load = 0; ///< what X-Load says
};

/// \brief The stand-in target, serving one address until destroyed.
///
/// Any path runs a request and answers JSON about it; a path with /bytes/N answers N bytes. GET /executed lists the
/// requests that ran, GET /health is the probe.
class TargetServer {
public:
    TargetServer(const std::string& address, std::string name, int threads = 64);
    TargetServer(const TargetServer&) = delete;
    TargetServer& operator=(const TargetServer&) = delete;
    ~TargetServer() = default;

private:
    void handle(const ServerRequest& request);
    void runRequest(const ServerRequest& request, const TargetBehaviour& behaviour);
    void answerRequest(const ServerRequest& request, const TargetBehaviour& behaviour);
    void setBehaviour(const ServerRequest& request);
    void sendExecutedRequests(const ServerRequest& request);

    std::string m_name;
    std::mutex m_mutex;
    TargetBehaviour m_behaviour;
    std::vector<std::string> m_executedRequests; ///< JSON of each request that ran
    std::atomic<std::int64_t> m_runningCount { 0 };
    std::atomic<std::int64_t> m_maxRunningCount { 0 };
    HttpServer m_server; ///< last: its threads use the members above
};

} // namespace arbutuscrank::fakes
