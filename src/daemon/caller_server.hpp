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
/// \brief HTTP server of the callers' interface: lookups and requests (docs/api.md).

namespace arbutuscrank {

/// \brief Settings of \ref CallerServer.
struct CallerServerSettings {
    std::string listenAddress; ///< "ip:port"
    std::uint32_t threads = 256; ///< connections served at a time; CivetWeb uses one thread for each
    std::size_t maxBodyBytes = 1U << 20U; ///< larger request bodies are refused
};

/// \brief Serves the callers' interface on CivetWeb.
class CallerServer {
public:
    CallerServer(CallerServerSettings settings, SessionServices services, SessionTable& sessions, Metrics& metrics);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// \brief Binds the address and starts to serve.
    /// \returns Unavailable if the address cannot be bound
    [[nodiscard]] Result<void> start();
    void stop();

    /// \brief Replaces the table that answers lookups.
    void publishLookupTable(std::shared_ptr<const LookupTable> table);

    /// \brief Closes the connections whose last request presented a key: idle ones at once, busy ones after their
    /// answer.
    void closeConnectionsOfKey(std::string_view account, std::string_view keyId);

    /// \brief Starts connection draining: from now on, each connection is closed after its next answer.
    void startDraining() noexcept { m_isDraining.store(true); }

private:
    struct Connection; ///< record of a caller's connection

    static int handleRequest(mg_connection* connection);
    static int openConnection(const mg_connection* connection, void** data);
    static void closeConnection(const mg_connection* connection);

    void serveRequest(mg_connection* connection);
    void serveLookup(mg_connection* connection) const;
    void recordPresentedKey(Connection& connection, std::string_view key, bool isBusy);

    CallerServerSettings m_settings;
    SessionServices m_services;
    SessionTable& m_sessions;
    Metrics& m_metrics;
    std::atomic<std::shared_ptr<const LookupTable>> m_lookupTable;
    std::atomic<bool> m_isDraining { false };
    std::mutex m_mutex;
    std::set<Connection*> m_connections;
    mg_context* m_context = nullptr;
};

} // namespace arbutuscrank
