#pragma once

#include <arbutuscrank/store/http_client.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

/// \file
/// \brief Cluster for system tests: real daemons and the stand-ins of the platform and the targets, as processes on
/// loopback.

namespace arbutuscrank::tests {

/// \brief Child process that is killed on destruction. Its standard output and standard error go to a file.
class Process {
public:
    /// \param arguments path of the program and its arguments
    /// \throws std::runtime_error if the program cannot be started
    Process(const std::vector<std::string>& arguments, const std::string& outputFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    /// \brief Waits until the process ends. \returns the exit code, or 128 plus the number of the signal that ended it
    int wait();

private:
    pid_t m_pid = -1;
};

/// \brief Polls a condition every 20 ms until it holds. \returns false if it does not hold within \p limit
[[nodiscard]] bool eventually(
    const std::function<bool()>& condition, std::chrono::seconds limit = std::chrono::seconds(30));

/// \returns the status of an answer; 0 if the request failed without one
[[nodiscard]] int statusOf(const Result<HttpAnswer>& answer);

/// \returns the X-Request-Outcome header of an answer; "no answer" if the request failed without one
[[nodiscard]] std::string outcomeOf(const Result<HttpAnswer>& answer);

/// \brief Size and settings of a \ref Cluster.
struct ClusterShape {
    std::vector<std::string> regions { "caerdydd", "bangor", "aberyst" };
    int vmsPerRegion = 2;
    int targetsPerRegion = 2;
    double ratePerSecond = 1000; ///< of the account "acme"
    double burst = 500; ///< of the account "acme"
    int defaultTimeoutMs = 5000;
};

/// \brief Runs a stand-in platform, targets and daemons. Daemons and targets are numbered from 0, region by region.
class Cluster {
public:
    explicit Cluster(const ClusterShape& shape);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    /// \brief Starts all processes, applies the document and waits until every daemon serves requests with it.
    /// \returns false if a step fails or takes longer than 30 s; the step and the daemons' state and logs are then
    /// written to standard error
    [[nodiscard]] bool start();

    /// \brief Starts daemon \p n; kills its previous process first, if there is one.
    void startDaemon(std::size_t n);
    [[nodiscard]] Process& daemon(std::size_t n) { return *m_daemons.at(n); }
    [[nodiscard]] Process& target(std::size_t n) { return *m_targets.at(n); }
    [[nodiscard]] Process& platform() { return *m_platform; }
    [[nodiscard]] std::size_t daemonCount() const noexcept { return m_daemons.size(); }
    [[nodiscard]] std::size_t targetCount() const noexcept { return m_targets.size(); }
    [[nodiscard]] const std::string& callerAddress(std::size_t n) const { return m_callerAddresses.at(n); }
    [[nodiscard]] const std::string& adminAddress(std::size_t n) const { return m_adminAddresses.at(n); }
    [[nodiscard]] const std::string& targetAddress(std::size_t n) const { return m_targetAddresses.at(n); }

    /// \brief Sends a caller's request to daemon \p n, on a new connection.
    [[nodiscard]] Result<HttpAnswer> request(std::size_t n, std::string_view method, const std::string& path,
        std::vector<std::string> headers = {}, std::string_view body = {}, bool sendsKey = true) const;

    /// \brief Sends a request with the operator's key to the admin address of daemon \p n, on a new connection.
    [[nodiscard]] Result<HttpAnswer> sendAdminRequest(std::size_t n, std::string_view method, const std::string& path,
        std::vector<std::string> headers = {}, std::string_view body = {}) const;

    /// \brief Sets the behaviour of target \p n through PUT /control.
    void setTargetBehaviour(std::size_t n, const nlohmann::json& behaviour) const;
    /// \brief Sets the faults of the platform through PUT /faults.
    void setPlatformFaults(const nlohmann::json& faults) const;
    /// \brief Counts the requests with this X-Test-Tag that ran, over all targets.
    [[nodiscard]] std::size_t countExecutions(const std::string& tag) const;
    /// \returns the answer of target \p n to GET /executed; null if there is none
    [[nodiscard]] nlohmann::json fetchExecutionReport(std::size_t n) const;
    /// \returns whether every target has one owner that may use all of its slots
    [[nodiscard]] bool areAllSlotsUsable() const;
    /// \returns the logs of all daemons, for the messages of failed checks
    [[nodiscard]] std::string readLogs() const;
    /// \returns the state dump of daemon \p n; null if there is no answer
    [[nodiscard]] nlohmann::json dumpState(std::size_t n) const;

    /// \brief Document that \ref start applies; a test may change it before.
    nlohmann::json document;

    static constexpr auto callerKey = "k1.caller-secret";
    static constexpr auto operatorKey = "operator-secret";

private:
    [[nodiscard]] std::string findRegion(std::size_t n, int perRegion) const;
    /// Reserves a block of ports that no other cluster on this machine uses. \returns \p count addresses in it
    [[nodiscard]] std::vector<std::string> reservePortBlock(std::size_t count);
    void publishVmList() const;
    /// \returns false
    [[nodiscard]] bool reportFailedStart(std::string_view reason) const;

    ClusterShape m_shape;
    int m_portLockSocket = -1; ///< socket bound to the first port of the block, which reserves the block
    std::string m_directory;
    std::string m_platformAddress;
    std::vector<std::string> m_callerAddresses;
    std::vector<std::string> m_adminAddresses;
    std::vector<std::string> m_peerAddresses;
    std::vector<std::string> m_targetAddresses;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_targets;
    std::vector<std::unique_ptr<Process>> m_daemons;
};

} // namespace arbutuscrank::tests
