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
/// \brief Real daemons and fakes as processes on loopback, for system tests.

namespace arbutuscrank::tests {

/// \brief A child process, killed when destroyed. Its output goes to a file.
class Process {
public:
    Process(const std::vector<std::string>& arguments, const std::string& outputFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    /// \brief Waits for the end. \returns the exit code, or 128 and the signal's number
    int wait();

private:
    pid_t m_pid = -1;
};

/// \brief Waits until a condition holds. \returns false after \p limit
[[nodiscard]] bool eventually(
    const std::function<bool()>& condition, std::chrono::seconds limit = std::chrono::seconds(30));

/// \brief Status of an answer; 0 if there is none.
[[nodiscard]] int statusOf(const Result<HttpAnswer>& answer);

/// \brief X-Request-Outcome of an answer.
[[nodiscard]] std::string outcomeOf(const Result<HttpAnswer>& answer);

/// \brief Shape of a \ref Cluster.
struct ClusterShape {
    std::vector<std::string> regions { "caerdydd", "bangor", "aberyst" };
    int vmsPerRegion = 2;
    int targetsPerRegion = 2;
    double ratePerSecond = 1000;
    double burst = 500;
    int defaultTimeoutMs = 5000;
};

/// \brief A platform, targets and daemons. Daemons are numbered from 0, region by region; so are targets.
class Cluster {
public:
    explicit Cluster(const ClusterShape& shape);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    /// \brief Starts everything, applies the document and waits until every daemon has it in force.
    [[nodiscard]] bool start();

    void startDaemon(std::size_t n);
    [[nodiscard]] Process& daemon(std::size_t n) { return *m_daemons.at(n); }
    [[nodiscard]] Process& target(std::size_t n) { return *m_targets.at(n); }
    [[nodiscard]] Process& platform() { return *m_platform; }
    [[nodiscard]] std::size_t daemons() const noexcept { return m_daemons.size(); }
    [[nodiscard]] std::size_t targets() const noexcept { return m_targets.size(); }
    [[nodiscard]] const std::string& callerAddress(std::size_t n) const { return m_callerAddresses.at(n); }
    [[nodiscard]] const std::string& adminAddress(std::size_t n) const { return m_adminAddresses.at(n); }
    [[nodiscard]] const std::string& targetAddress(std::size_t n) const { return m_targetAddresses.at(n); }

    /// \brief A caller's request to daemon \p n, on a connection of its own.
    [[nodiscard]] Result<HttpAnswer> request(std::size_t n, std::string_view method, const std::string& path,
        std::vector<std::string> headers = {}, std::string_view body = {}, bool withKey = true) const;

    /// \brief An operator's call to daemon \p n.
    [[nodiscard]] Result<HttpAnswer> operate(std::size_t n, std::string_view method, const std::string& path,
        std::vector<std::string> headers = {}, std::string_view body = {}) const;

    /// \brief Sets the behaviour of target \p n (fake_target's PUT /control).
    void control(std::size_t n, const nlohmann::json& behaviour) const;
    /// \brief Sets the faults of the platform (fake_platform's PUT /faults).
    void faults(const nlohmann::json& faults) const;
    /// \brief Requests that ran on all targets and carry this X-Test-Tag.
    [[nodiscard]] std::size_t executions(const std::string& tag) const;
    /// \brief Everything that target \p n reports about its requests.
    [[nodiscard]] nlohmann::json executed(std::size_t n) const;
    /// \brief Whether every target has one owner that may use all of its slots.
    [[nodiscard]] bool slotsSettled() const;
    /// \brief Log lines of all daemons, for messages of failed checks.
    [[nodiscard]] std::string logs() const;
    /// \brief State dump of daemon \p n; null if there is no answer.
    [[nodiscard]] nlohmann::json dump(std::size_t n) const;

    /// \brief The document that \ref start applies; changes made before it count.
    nlohmann::json document;

    static constexpr auto callerKey = "k1.caller-secret";
    static constexpr auto operatorKey = "operator-secret";

private:
    [[nodiscard]] std::string regionOf(std::size_t n, int perRegion) const;
    /// Addresses in a block of ports that no other cluster on this machine uses.
    [[nodiscard]] std::vector<std::string> takePortBlock(std::size_t count);
    void publishVms() const;

    ClusterShape m_shape;
    int m_portLock = -1; ///< bound to the first port of the block as long as the cluster lives
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
