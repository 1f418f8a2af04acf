#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <map>
#include <string>

/// \file
/// \brief Settings of an entry VM and the bounds that its operators ask for.

namespace arbutuscrank::entry {

/// \brief Bounds that operators promise their users. The defaults hold where the settings name none.
struct Bounds {
    Duration withdrawal = std::chrono::seconds(5); ///< from the store's answer to the last run with a withdrawn key
    Duration drain = std::chrono::milliseconds(2500); ///< from a target's leaving to the last request sent to it
    Duration stopGrace = std::chrono::seconds(6); ///< from the stop signal to the forced end
    Duration retryWindow = std::chrono::seconds(10); ///< span over which retries are counted
    double retryRatio = 0.2; ///< retries per request over all VMs
    double retrySlack = 100; ///< retries in a span beyond the ratio, over all VMs
    Duration quotaWindow = std::chrono::seconds(5); ///< span over which requests are counted against quotas
    double quotaOverage = 0.1; ///< part of the granted requests by which they may be exceeded
    double quotaSlack = 20; ///< requests on top of that
    double coldOverage = 1.5; ///< factor by which a cold target's rate may be exceeded within a second
    double coldSlack = 5; ///< requests on top of that
    Duration maxLookupTtl = std::chrono::seconds(5);
    double maxRegionShift = 0.15; ///< share of a region's requests that may change their region within 2 s
};

/// \brief Checked settings of an entry VM.
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
    double capacity = 0; ///< processor cores that this VM may use; coordinators are chosen by it
    std::map<std::string, std::string> regionOfFailureDomain;
    Bounds bounds;
    std::string logLevel = "info";
};

} // namespace arbutuscrank::entry
