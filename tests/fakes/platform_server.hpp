#pragma once

#include "fakes/http_server.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

/// \file
/// \brief Stand-in for the platform over HTTP: a store of versioned objects with conditional writes and watches, and a
/// VM list. PUT /faults injects faults.

namespace arbutuscrank::fakes {

/// \brief Injected faults of the stand-in platform.
struct PlatformFaults {
    bool down = false; ///< calls take no effect and their connections are closed without an answer
    std::int64_t slowMs = 0; ///< delay before a call takes effect
    std::int64_t loseAnswers = 0; ///< number of next writes that take effect but are not answered
    bool garbage = false; ///< reads return bytes that are not JSON
};

/// \brief Server of the stand-in platform; listens on one address until it is destroyed.
///
/// It serves GET /objects/KEY, PUT /objects/KEY (with If-Match or If-None-Match), GET /objects/KEY?watch=V&timeoutMs=N
/// (answers when the version exceeds V, or with 304 after N ms), GET and PUT /vms, GET and PUT /faults, and GET /stats
/// (number of calls by kind).
class PlatformServer {
public:
    /// \param address "ip:port"
    /// \param threads number of concurrent requests, including pending watches
    explicit PlatformServer(const std::string& address, int threads = 64);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

private:
    struct Object {
        std::uint64_t version = 0;
        std::string value;
    };

    void handle(const ServerRequest& request);
    void readObject(const ServerRequest& request, const std::string& key);
    void writeObject(const ServerRequest& request, const std::string& key);
    void setFaults(const ServerRequest& request);
    void sendFaults(const ServerRequest& request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Object> m_objects;
    std::string m_vms = "[]";
    PlatformFaults m_faults;
    std::map<std::string, std::uint64_t> m_callCounts;
    bool m_isStopping = false;
    HttpServer m_server; ///< declared last, so that its threads end before the members that they use
};

} // namespace arbutuscrank::fakes
