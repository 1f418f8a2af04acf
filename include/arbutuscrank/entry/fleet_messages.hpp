#pragma once

#include <arbutuscrank/core/types.hpp>
#include <arbutuscrank/entry/request_rank.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Datagrams between the entry VMs.
///
/// Each failure domain has one coordinator. The other VMs of the domain report to it. Coordinators report to each
/// other, and each sends its own VMs a digest of the state of the fleet. The number of messages therefore does not grow
/// with the square of the fleet size. Messages carry absolute counters instead of differences, so the next message
/// makes up for a lost one.

namespace arbutuscrank::entry {

/// \brief Usage of one client account as counted by one coordinator.
struct AccountUsage {
    /// Requests admitted since the start of the process, less returned tokens; may decrease by a few
    std::uint64_t admitted = 0;
    double demandPerSecond = 0; ///< smoothed arrival rate in requests per second, refused requests included
};

using AccountUsages = std::map<std::string, AccountUsage, std::less<>>; ///< by account name
using ServiceDemands = std::map<std::string, double, std::less<>>; ///< admitted requests per second by service name

/// \brief What the admitted requests for one service consist of.
struct ServiceMix {
    /// Requests per second that their route or account restricts to a single region, by that region
    std::map<std::string, double, std::less<>> restrictedPerSecond;
    /// Work that callers ask for, refused requests included: requests per second times the seconds that
    /// a target usually works on one, which is the number of slots that they keep busy.
    /// Empty unless the reporting VM shares room.
    std::map<RequestRank, double> slotsByRank;
    /// Requests per second that the callers' region and at least one other may serve, by \ref slackClass
    std::map<std::uint32_t, double> movableByClass;

    friend bool operator==(const ServiceMix&, const ServiceMix&) = default;
};

using ServiceMixes = std::map<std::string, ServiceMix, std::less<>>; ///< by service name
using InFlightCounts = std::map<std::uint32_t, std::uint32_t>; ///< in-flight attempts by Target::reportKey()

/// \brief Time until cold targets are warm, by Target::reportKey(). VMs report only what they learned from the store,
/// not what others report, because each relay would prolong the time.
using ColdTimes = std::map<std::uint32_t, Duration>;

/// \brief Limit that a target named in its newest answer to the reporting VM, or that it no longer names one.
struct NamedRateReport {
    std::optional<double> perSecond;
    Duration age {};
};

/// \brief Limits by Target::reportKey(). VMs report only what was answered to themselves.
using NamedRates = std::map<std::uint32_t, NamedRateReport>;

/// \brief Evacuated failure domains as of a revision of the store. VMs that cannot read the store adopt newer readings
/// of others.
struct EvacuationReading {
    std::uint64_t revision = 0; ///< 0 if the store has not been read in this era
    std::set<std::string> failureDomains;
    StoreEra era = 0; ///< of the store; a greater one is newer whatever the revisions
    /// In messages: evacuations of an earlier era that the store's older copy may lack, and the time for which they are
    /// still held
    std::map<std::string, Duration> held;
};

/// \brief Availability of a VM to callers.
struct VmStatus {
    VmId vm;
    bool ready = false; ///< is ready and its configuration will not be outdated soon, so look-ups may return it
    bool leaving = false; ///< is shutting down

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 in the generated comparison
    friend bool operator==(const VmStatus&, const VmStatus&) = default;
};

/// \brief Report of a VM to its coordinator.
struct VmReport {
    ProcessId process;
    std::uint64_t sequence = 0; ///< increases with each message of a process
    bool ready = false; ///< see \ref VmStatus::ready
    bool leaving = false;
    Duration storeUptime {}; ///< time since the store's first answer after its last failure; zero while it fails
    /// Age of the store's newest answer to a call of this VM itself; std::nullopt if there was none
    std::optional<Duration> storeContactAge;
    bool servesFeed = false; ///< other VMs may read this VM's feed
    ServiceDemands demand;
    ServiceMixes mixes;
    InFlightCounts inFlight;
    ColdTimes coldTargets;
    NamedRates namedRates;
    EvacuationReading evacuations;
};

/// \brief Identifies a report of a coordinator.
struct ReportId {
    Incarnation incarnation = 0; ///< incarnation of the coordinator's process
    std::uint64_t sequence = 0;
};

/// \brief Report of a coordinator to the coordinators of the other failure domains.
struct DomainReport {
    ProcessId coordinator;
    std::uint64_t sequence = 0;
    std::string failureDomain;
    std::string region;
    Duration storeUptime {}; ///< maximum over the VMs of the domain
    std::optional<Duration> storeContactAge; ///< minimum over the VMs of the domain
    bool servesFeed = false; ///< other VMs may read the coordinator's feed
    std::vector<VmStatus> vms; ///< the coordinator and the VMs whose reports are recent
    /// Newest report received from the coordinator of each other failure domain. A coordinator that finds its own
    /// report here knows that its admissions have been counted.
    std::map<std::string, ReportId> acknowledgedReports;
    AccountUsages accounts; ///< admitted by this coordinator
    ServiceDemands demand; ///< sum over the domain
    ServiceMixes mixes; ///< sum over the domain
    InFlightCounts inFlight; ///< sum over the domain
    ColdTimes coldTargets; ///< maximum over the domain
    NamedRates namedRates; ///< newest ones of the domain
    EvacuationReading evacuations; ///< newest one of the domain
};

/// \brief State of the fleet that a coordinator sends to the VMs of its failure domain. It also serves as the
/// coordinator's heartbeat.
struct Digest {
    ProcessId coordinator;
    std::uint64_t sequence = 0;
    bool leaving = false; ///< the coordinator is shutting down and another VM takes over
    Duration storeUptime {}; ///< maximum over all VMs
    std::optional<Duration> storeContactAge; ///< minimum over all VMs
    VmId feed; ///< VM whose feed is to be read because the coordinator has lost the store; empty: the coordinator
    double heardFraction = 0; ///< fraction of the registered VMs that the coordinator has heard of lately, 0 to 1
    std::vector<VmStatus> vms; ///< all VMs of the fleet whose reports are recent
    std::map<std::string, ServiceDemands> demandByRegion;
    std::map<std::string, ServiceMixes> mixesByRegion;
    InFlightCounts inFlight; ///< sum over the fleet
    ColdTimes coldTargets; ///< maximum over the fleet
    NamedRates namedRates; ///< newest ones of the fleet
    EvacuationReading evacuations; ///< newest one of the fleet
    std::vector<DomainReport> domains; ///< account usage only; sent only to the standby coordinator
};

/// \brief Asks the coordinator to admit one request of an account.
struct AdmissionRequest {
    VmId vm;
    RequestId request = 0; ///< ID of the request in the requesting process
    std::string account;
};

/// \brief Answer to \ref AdmissionRequest.
struct AdmissionDecision {
    RequestId request = 0;
    bool admitted = false;
    Duration retryAfter {}; ///< time until the next token if the request is refused
};

/// \brief Returns the token of a request that was admitted but refused before it ran.
struct TokenReturn {
    std::string account;
};

} // namespace arbutuscrank::entry
