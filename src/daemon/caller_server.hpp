#pragma once

#include "daemon/request_session.hpp"
#include "telemetry/metrics.hpp"

#include <arbutuscrank/core/lookup_table.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

struct mg_connection;
struct mg_context;

/// \file
/// \brief The callers' interface: look-ups and requests (docs/api.md).

namespace arbutuscrank {

/// \brief Settings of \ref CallerServer.
struct CallerServerSettings {
    std::string listenAddress; ///< "ip:port"
    std::uint32_t threads = 256; ///< connections served at a time; CivetWeb gives each one a thread
    std::size_t maxBodyBytes = 1U << 20U;
};

/// \brief Serves callers on CivetWeb.
class CallerServer {
public:
    CallerServer(CallerServerSettings settings, SessionServices services, SessionTable& sessions, Metrics& metrics);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// \returns Unavailable if the address cannot be bound
    [[nodiscard]] Result<void> start();
    void stop();

    void publish(std::shared_ptr<const LookupTable> table);

    /// \brief Closes idle connections that last used an account (and key, unless empty), and busy ones after their
    /// answer.
    void closeConnections(std::string_view account, std::string_view keyId);

    /// \brief From now on every answer ends its connection.
    void startLeaving() noexcept { m_leaving.store(true); }

private:
    struct Connection; ///< what is known of a caller's connection

    static int handleRequest(mg_connection* connection, void* server);
    static int handleLookup(mg_connection* connection, void* server);
    static int openConnection(const mg_connection* connection, void** data);
    static void closeConnection(const mg_connection* connection);

    void serveRequest(mg_connection* connection);
    void serveLookup(mg_connection* connection) const;
    void noteKey(Connection& connection, std::string_view key, bool busy);

    CallerServerSettings m_settings;
    SessionServices m_services;
    SessionTable& m_sessions;
    Metrics& m_metrics;
    std::atomic<std::shared_ptr<const LookupTable>> m_table;
    std::atomic<bool> m_leaving { false };
    std::mutex m_mutex;
    std::set<Connection*> m_connections;
    mg_context* m_context = nullptr;
};

} // namespace arbutuscrank
