#pragma once

#include "fakes/http_server.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

/// \file
/// \brief Stand-in for a target, with a number of slots, configurable load reports and health, load shedding, delays
/// and faults during an answer. It records every request that it ran, so that tests can count executions.

namespace arbutuscrank::fakes {

/// \brief Behaviour of the stand-in target, set by PUT /control.
struct TargetBehaviour {
    std::int64_t delayMs = 0; ///< execution time of a request
    std::int64_t slots = 6; ///< limit of concurrent requests; further ones are shed with status 429 and X-Not-Run
    bool shed = false; ///< sheds every request
    bool hang = false; ///< runs requests but never answers
    std::int64_t cutAfterBytes = -1; ///< closes the connection after this many bytes of the body; -1: never
    bool closeBeforeAnswer = false; ///< runs the request, then closes the connection
    bool chunked = false; ///< answers without Content-Length
    bool healthy = true; ///< result of GET /health
    double load = 0; ///< value of the X-Load header
};

/// \brief Server of the stand-in target; listens on one address until it is destroyed.
///
/// A request for any other path runs and is answered with a JSON description of itself, or with N bytes if the path
/// contains /bytes/N. GET /executed lists the requests that ran; GET /health answers health checks.
class TargetServer {
public:
    /// \param address "ip:port"
    /// \param name name that the descriptions of requests carry
    /// \param threads number of concurrent requests
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
    std::vector<std::string> m_executedRequests; ///< JSON description of each request that ran
    std::atomic<std::int64_t> m_runningCount { 0 };
    std::atomic<std::int64_t> m_maxRunningCount { 0 };
    HttpServer m_server; ///< declared last, so that its threads end before the members that they use
};

} // namespace arbutuscrank::fakes
