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
/// \brief Kept connections to targets.

namespace arbutuscrank {

/// \brief An open connection to a target and its socket.
struct TargetConnection {
    mg_connection* connection = nullptr;
    int socket = -1;
    bool reused = false; ///< it answered an earlier request
};

/// \brief Connections to one target.
class TargetConnections {
public:
    explicit TargetConnections(std::string address);
    ~TargetConnections();
    TargetConnections(const TargetConnections&) = delete;
    TargetConnections& operator=(const TargetConnections&) = delete;

    /// \brief Takes an idle connection that is still open, or opens one.
    /// \returns Unavailable if the target cannot be reached or the limit of connections is reached
    [[nodiscard]] Result<TargetConnection> take();

    /// \brief Gives a connection back. \param reusable no bytes are outstanding and the target keeps it open
    void giveBack(TargetConnection connection, bool reusable);

    /// \brief Opens idle connections until there are \p idle, or closes those above.
    void keep(std::uint32_t idle, std::uint32_t limit);

    [[nodiscard]] std::size_t openConnections() const;

private:
    [[nodiscard]] Result<TargetConnection> open();
    void close(const TargetConnection& connection);

    std::string m_address;
    mutable std::mutex m_mutex; ///< guards the lists
    std::mutex m_socketMutex; ///< held while a connection is opened or closed, so that its socket can be told apart
    std::vector<TargetConnection> m_idle;
    std::set<int> m_sockets;
    std::uint32_t m_keepIdle = 6;
    std::uint32_t m_limit = 700;
    std::uint32_t m_open = 0;
};

/// \brief Connections to all targets, by address.
class TargetConnectionTable {
public:
    [[nodiscard]] std::shared_ptr<TargetConnections> find(const std::string& address);

    /// \brief Open connections over all targets.
    [[nodiscard]] std::size_t openConnections() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<TargetConnections>> m_targets;
};

} // namespace arbutuscrank
