#pragma once

#include "daemon/core_runner.hpp"
#include "telemetry/metrics.hpp"

#include <arbutuscrank/store/configuration_writer.hpp>
#include <arbutuscrank/store/store.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

struct mg_connection;
struct mg_context;
struct mg_request_info;

/// \file
/// \brief HTTP server of the operators' interface (docs/api.md).

namespace arbutuscrank {

/// \brief Settings of \ref AdminServer.
struct AdminServerSettings {
    std::string listenAddress; ///< "ip:port"
    std::string keyDigest; ///< SHA-256 of the operators' key, 64 hex digits
};

/// \brief Serves the operators' interface on CivetWeb.
class AdminServer {
public:
    AdminServer(AdminServerSettings settings, CoreRunner& core, Platform& platform, const Metrics& metrics);
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// \brief Binds the address and starts to serve.
    /// \returns Unavailable if the address cannot be bound
    [[nodiscard]] Result<void> start();
    void stop();

    /// \brief Hands the result of a proof query to the request that waits for it.
    void deliverProof(ProofResult result);

private:
    struct Request {
        std::string method;
        std::string path;
        std::string body;
        std::string ifMatch;
        std::string changeId;
    };
    struct Answer {
        int status = 200;
        std::string body;
        std::string contentType = "application/json";
    };
    /// Changes a document, or returns an error that names the missing object.
    using Edit = std::function<Result<void>(Document&)>;

    static int handleRequest(mg_connection* connection);

    void serveRequest(mg_connection* connection);
    [[nodiscard]] bool isAuthorized(const mg_request_info& info) const;
    [[nodiscard]] Answer dispatch(const Request& request);
    [[nodiscard]] Answer dispatchRead(const Request& request);
    [[nodiscard]] Answer dispatchChange(const Request& request);

    [[nodiscard]] Answer readDocument();
    [[nodiscard]] Answer replaceDocument(const Request& request);
    [[nodiscard]] Answer validateDocument(const Request& request) const;
    [[nodiscard]] Answer diffDocument(const Request& request);
    [[nodiscard]] Answer withdrawAccount(const std::string& name, const std::string& changeId);
    [[nodiscard]] Answer withdrawKey(const std::string& account, const std::string& key, const std::string& changeId);
    [[nodiscard]] Answer changeDrain(const Request& request);
    [[nodiscard]] Answer changeShift(const Request& request);
    [[nodiscard]] Answer editDocument(const std::string& changeId, const Edit& change);
    [[nodiscard]] Answer reportStatus();
    [[nodiscard]] Answer reportProof(const std::string& account);
    [[nodiscard]] std::optional<ProofResult> queryEntries(const std::string& account);

    AdminServerSettings m_settings;
    CoreRunner& m_core;
    const Metrics& m_metrics;
    ConfigurationWriter m_configurationWriter;
    std::mutex m_mutex;
    std::condition_variable m_proofArrived;
    std::uint64_t m_lastQueryId = 0;
    std::map<std::uint64_t, ProofResult> m_proofResults;
    mg_context* m_context = nullptr;
};

} // namespace arbutuscrank
