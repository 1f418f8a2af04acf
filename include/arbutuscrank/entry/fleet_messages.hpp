#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// \brief Datagrams between the entry VMs.
///
/// Each failure domain has one coordinator. The other VMs of the domain report to it, coordinators report to each
/// other, and each tells its domain what it knows of the fleet. The messages between two VMs therefore do not grow with
/// the square of the fleet. Each message carries whole counters, so that a lost one is made good by the next.

namespace arbutuscrank::entry {

/// \brief Counters of one client account at one coordinator.
struct AccountUse {
    std::uint64_t admitted = 0; ///< requests admitted since the process started
    double demand = 0; ///< requests per second asked for lately, admitted or not
};

using AccountUses = std::map<std::string, AccountUse, std::less<>>; ///< by account name
using ServiceDemands = std::map<std::string, double, std::less<>>; ///< requests per second by service
using InFlightCounts = std::map<std::uint32_t, std::uint32_t>; ///< attempts under way by Target::reportKey()

/// \brief Whether a VM takes callers.
struct VmStatus {
    VmId vm;
    bool ready = false; ///< takes callers
    bool leaving = false; ///< was told to stop

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 in the generated comparison
    friend bool operator==(const VmStatus&, const VmStatus&) = default;
};

/// \brief What a VM tells its coordinator.
struct Report {
    ProcessId process;
    std::uint64_t sequence = 0; ///< grows with each message of a process
    bool ready = false;
    bool leaving = false;
    Duration storeUpFor {}; ///< time for which the store has answered all calls; zero while it does not
    ServiceDemands demand;
    InFlightCounts inFlight;
};

/// \brief Names one report of a coordinator.
struct HeardReport {
    Incarnation incarnation = 0; ///< of the coordinator's process
    std::uint64_t sequence = 0;
};

/// \brief What a coordinator tells the coordinators of the other failure domains.
struct DomainReport {
    ProcessId coordinator;
    std::uint64_t sequence = 0;
    std::string failureDomain;
    std::string region;
    Duration storeUpFor {}; ///< longest of the domain's VMs
    std::vector<VmStatus> vms; ///< heard lately, the coordinator included
    /// Newest report that was heard of the coordinator of each other failure domain: it knows from this that its
    /// admissions are counted.
    std::map<std::string, HeardReport> heard;
    AccountUses accounts; ///< admitted by this coordinator
    ServiceDemands demand; ///< sum over the domain
    InFlightCounts inFlight; ///< sum over the domain
};

/// \brief What a coordinator tells the VMs of its failure domain.
struct Digest {
    ProcessId coordinator;
    std::uint64_t sequence = 0;
    bool leaving = false; ///< the coordinator was told to stop: another VM takes over
    Duration storeUpFor {}; ///< longest of all VMs
    std::vector<VmStatus> vms; ///< of the fleet
    std::map<std::string, ServiceDemands> demandByRegion;
    InFlightCounts inFlight; ///< sum over the fleet
    std::vector<DomainReport> domains; ///< accounts only; sent to the VM that would take over
};

/// \brief Asks the coordinator to admit one request of an account.
struct AdmissionAsk {
    VmId vm;
    RequestId request = 0; ///< of the asking process
    std::string account;
};

/// \brief Answer to \ref AdmissionAsk.
struct AdmissionAnswer {
    RequestId request = 0;
    bool admitted = false;
    Duration retryAfter {}; ///< if it is not admitted: when a token is expected
};

/// \brief Gives back the token of a request that was refused before it ran.
struct AdmissionReturn {
    std::string account;
};

} // namespace arbutuscrank::entry
