#pragma once

#include <arbutuscrank/core/error.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

struct mg_connection;

/// \file
/// \brief Pools of keep-alive connections to targets.

namespace arbutuscrank {

/// \brief An open connection to a target and its socket.
struct TargetConnection {
    mg_connection* connection = nullptr;
    int socket = -1;
    bool isReused = false; ///< the connection has served an earlier request
};

/// \brief Pool of keep-alive connections to one target. Thread-safe.
class TargetConnections {
public:
    explicit TargetConnections(std::string address);
    ~TargetConnections();
    TargetConnections(const TargetConnections&) = delete;
    TargetConnections& operator=(const TargetConnections&) = delete;

    /// \brief Returns an idle connection that is still open, or opens one.
    /// \returns Unavailable if the target cannot be reached or the limit of connections is reached
    [[nodiscard]] Result<TargetConnection> acquire();

    /// \brief Returns a connection to the pool, or closes it.
    /// \param isReusable whether no bytes are outstanding and the target keeps the connection open
    void release(TargetConnection connection, bool isReusable);

    /// \brief Sets the limits, closes idle connections above \p idleConnections, and opens connections until that many
    /// are open.
    /// \param idleConnections largest number of idle connections
    /// \param maxConnections largest number of open connections
    void setLimits(std::uint32_t idleConnections, std::uint32_t maxConnections);

    /// \brief Number of open connections, idle or in use.
    [[nodiscard]] std::size_t openConnectionCount() const;

private:
    [[nodiscard]] Result<TargetConnection> open();
    void close(const TargetConnection& connection);

    std::string m_address;
    mutable std::mutex m_mutex; ///< guards the pool
    std::mutex m_socketMutex; ///< serializes opening and closing, so that findSocket() finds only the new socket
    std::vector<TargetConnection> m_idleConnections;
    std::set<int> m_sockets; ///< of all open connections; changes only with both mutexes held
    std::uint32_t m_maxIdleConnections = 6;
    std::uint32_t m_maxConnections = 700;
    std::uint32_t m_openCount = 0; ///< connections that are open or being opened
};

/// \brief Connection pools of all targets by address. Thread-safe.
class TargetConnectionTable {
public:
    /// \brief Returns the pool of an address; creates it if there is none.
    [[nodiscard]] std::shared_ptr<TargetConnections> findOrCreate(const std::string& address);

    /// \brief Number of open connections to all targets.
    [[nodiscard]] std::size_t openConnectionCount() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<TargetConnections>> m_targets;
};

} // namespace arbutuscrank
