#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <map>
#include <string>

/// \file
/// \brief Settings of an entry VM, and the limits that operators guarantee.

namespace arbutuscrank::entry {

/// \brief Limits that operators guarantee to their users. The defaults apply where the settings specify none.
struct Bounds {
    /// Longest time for which a withdrawn key is accepted after the store has confirmed its withdrawal
    Duration keyWithdrawalLimit = std::chrono::seconds(5);
    /// Longest time for which a target receives requests after it has started to drain
    Duration drainLimit = std::chrono::milliseconds(2500);
    Duration stopGrace = std::chrono::seconds(6); ///< time from the stop signal to the forced end of the process
    Duration retryWindow = std::chrono::seconds(10); ///< sliding window over which retries are counted
    double retryRatio = 0.2; ///< retries per request, over all VMs
    double retrySlack = 100; ///< retries in a window that are allowed beyond \ref retryRatio, over all VMs
    Duration quotaWindow = std::chrono::seconds(5); ///< sliding window over which admissions are compared with quotas
    double quotaOverage = 0.1; ///< fraction by which admissions may exceed a quota
    double quotaSlack = 20; ///< requests in a window that may be admitted beyond a quota and its \ref quotaOverage
    /// Maximum number of requests to a cold target within a second, as a multiple of its rate; \ref coldSlack is added
    double coldRateFactor = 1.5;
    double coldSlack = 5; ///< requests to a cold target within a second that are allowed beyond \ref coldRateFactor
    /// Longest time for which callers may cache the answer to a look-up
    Duration maxLookupTtl = std::chrono::seconds(5);
    double maxRegionShift = 0.15; ///< fraction of a region's requests that may be moved to another region within 2 s

    /// \brief Time after which the store answers a watch of the configuration even without changes.
    [[nodiscard]] constexpr Duration policyWatchWait() const noexcept { return keyWithdrawalLimit / 5; }
};

/// \brief Validated settings of an entry VM.
struct EntrySettings {
    std::string vm;
    std::string region;
    std::string failureDomain;
    std::string callerAddress; ///< "ip:port" for callers' requests
    std::string readinessAddress; ///< "ip:port" for readiness checks
    std::string lookupAddress; ///< "ip:port" for look-ups
    std::string reportAddress; ///< "ip:port" for datagrams between VMs
    std::string metricsAddress; ///< "ip:port" for metrics and the state dump
    std::string storeAddress; ///< "ip:port" of the store
    double capacity = 0; ///< processor cores available to this VM; determines its rank as coordinator
    bool sharesRoom = false; ///< shares the room of services by priority while callers ask for more, see RoomSharing
    std::uint64_t memoryBytes = 256U << 20U; ///< memory available to the process
    std::uint32_t maxSockets = 824; ///< sockets that the process may open
    /// The process's own limit on descriptors if \ref maxSockets was lowered to fit it; 0 otherwise.
    std::uint64_t descriptorLimit = 0;
    std::map<std::string, std::string> regionOfFailureDomain;
    Bounds bounds;
    std::string logLevel = "info";
};

} // namespace arbutuscrank::entry
