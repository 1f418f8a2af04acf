#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Structures of the configuration document. parseDocument() and validate() check their values.

namespace arbutuscrank {

/// \brief An API key of an account. The document holds its digest; the key itself is never stored.
struct KeyEntry {
    std::string id; ///< public part of the key, before the dot
    std::string digest; ///< SHA-256 of the whole key, 64 lower-case hex digits
    bool withdrawn = false;

    friend bool operator==(const KeyEntry&, const KeyEntry&) = default;
};

/// \brief A client account with its keys, quota and permissions.
struct Account {
    std::string name;
    bool withdrawn = false;
    std::vector<KeyEntry> keys;
    double ratePerSecond = 0; ///< quota in requests per second, over all VMs together
    double burst = 0; ///< capacity of the token bucket, in requests
    std::vector<std::string> services; ///< services that the account may call
    std::vector<std::string> regions; ///< regions that the account may call

    friend bool operator==(const Account&, const Account&) = default;
};

/// \brief One target of a service.
struct TargetEntry {
    std::string name;
    std::string address; ///< "ip:port"
    std::string region;
    std::string failureDomain;
    bool draining = false;

    friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

/// \brief Quota of requests for a service that all other regions together may send to one region.
struct SpillGrant {
    std::string region; ///< region that receives the requests
    double perSecond = 0; ///< requests per second
    double burst = 0; ///< capacity of the token bucket, in requests

    friend bool operator==(const SpillGrant&, const SpillGrant&) = default;
};

/// \brief A service with its targets and limits.
struct Service {
    std::string name;
    std::string pathPrefix; ///< begins and ends with '/'
    std::vector<std::string> openPathPrefixes; ///< paths that callers may request without a key
    std::uint32_t slotsPerTarget = 1; ///< concurrent requests of one target
    std::uint32_t connectionsPerTarget = 1; ///< concurrent connections that one target accepts
    std::uint32_t probeIntervalMs = 2000; ///< time between health probes of a target
    std::uint32_t defaultTimeoutMs = 5000; ///< timeout of a request that sets none
    std::uint32_t queuePerAccount = 16; ///< queued requests of one account at one target owner
    std::uint32_t queueTotal = 128; ///< queued requests of all accounts at one target owner
    std::uint32_t retryBudgetPercent = 10; ///< retries in percent of first attempts
    std::uint64_t maxAnswerBytes = 0; ///< expected response size, charged to link quotas; 0 selects 64 KiB
    std::vector<SpillGrant> spill;
    std::vector<TargetEntry> targets;

    friend bool operator==(const Service&, const Service&) = default;
};

/// \brief A region and its failure domains.
struct Region {
    std::string name;
    std::vector<std::string> failureDomains;

    friend bool operator==(const Region&, const Region&) = default;
};

/// \brief Network capacity between two regions, in each direction.
struct Link {
    std::string a;
    std::string b;
    double megabitsPerSecond = 0;

    friend bool operator==(const Link&, const Link&) = default;
};

/// \brief A planned, stepwise shift of a share of a service's traffic from one region to another.
struct Shift {
    std::string name;
    std::string service;
    std::string from;
    std::string to;
    double percent = 0; ///< final share of the traffic of \p from, 0 to 100
    double capPerSecond = 0; ///< upper limit of the shifted traffic, in requests per second
    double stepPercent = 10; ///< increase of the share at each step
    double stepSeconds = 30; ///< interval between steps

    friend bool operator==(const Shift&, const Shift&) = default;
};

/// \brief Type of the object that a drain takes out of service.
enum class DrainKind { Target, Vm, FailureDomain, Region, Site };

/// \brief A planned drain: an object that gets no new traffic.
struct Drain {
    DrainKind kind = DrainKind::Target;
    std::string name;

    friend bool operator==(const Drain&, const Drain&) = default;
};

/// \brief A site that receives traffic of callers. A site lies in one region.
struct Site {
    std::string name;
    std::string region;

    friend bool operator==(const Site&, const Site&) = default;
};

/// \brief A group of clients with the same ranking of sites.
struct ClientGroup {
    std::string name;
    std::vector<std::string> rankedSites; ///< most preferred first

    friend bool operator==(const ClientGroup&, const ClientGroup&) = default;
};

/// \brief A block of client addresses and the group that it belongs to.
struct ClientBlock {
    std::string cidr; ///< IPv4 in CIDR notation, for example "10.1.0.0/16"
    std::string group;

    friend bool operator==(const ClientBlock&, const ClientBlock&) = default;
};

/// \brief Data for look-ups, which direct a client to a site.
struct Steering {
    std::uint32_t lookupTtlSeconds = 5; ///< time that a client may cache a look-up result
    std::vector<Site> sites;
    std::vector<ClientGroup> groups;
    std::vector<ClientBlock> blocks;

    friend bool operator==(const Steering&, const Steering&) = default;
};

/// \brief The complete configuration document.
struct Document {
    std::uint32_t schema = 1;
    std::vector<Region> regions;
    std::vector<Link> links;
    std::vector<Service> services;
    std::vector<Account> accounts;
    std::vector<Shift> shifts;
    std::vector<Drain> drains;
    Steering steering;

    friend bool operator==(const Document&, const Document&) = default;
};

} // namespace arbutuscrank
