#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief The configuration document: plain data, validated before it gets here.

namespace arbutuscrank {

/// \brief A caller's key as the document keeps it. The secret itself is never stored.
struct KeyEntry {
    std::string id; ///< part of the key before the dot
    std::string digest; ///< SHA-256 of the whole key, 64 lower-case hex digits
    bool withdrawn = false;

    friend bool operator==(const KeyEntry&, const KeyEntry&) = default;
};

/// \brief A client account with its keys and grants.
struct Account {
    std::string name;
    bool withdrawn = false;
    std::vector<KeyEntry> keys;
    double ratePerSecond = 0; ///< requests per second over the whole fleet
    double burst = 0; ///< requests
    std::vector<std::string> services; ///< services it may reach
    std::vector<std::string> regions; ///< regions it may reach

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

/// \brief Requests per second that other regions together may send to one region for a service.
struct SpillGrant {
    std::string region;
    double perSecond = 0;
    double burst = 0;

    friend bool operator==(const SpillGrant&, const SpillGrant&) = default;
};

/// \brief A service with its targets and limits.
struct Service {
    std::string name;
    std::string pathPrefix; ///< begins and ends with '/'
    std::vector<std::string> openPathPrefixes; ///< paths that need no key
    std::uint32_t slotsPerTarget = 1; ///< requests that one target runs at a time
    std::uint32_t connectionsPerTarget = 1; ///< open connections that one target allows
    std::uint32_t probeIntervalMs = 2000;
    std::uint32_t defaultTimeoutMs = 5000; ///< deadline of a request that brings none
    std::uint32_t queuePerAccount = 16; ///< waiting requests of one account at one owner
    std::uint32_t queueTotal = 128; ///< waiting requests at one owner
    std::uint32_t retryBudgetPercent = 10; ///< retries as a share of first tries
    std::uint64_t maxAnswerBytes = 0; ///< expected size of an answer, for link quotas; 0 means 64 KiB
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

/// \brief Capacity between two regions, each way.
struct Link {
    std::string a;
    std::string b;
    double megabitsPerSecond = 0;

    friend bool operator==(const Link&, const Link&) = default;
};

/// \brief A planned shift of part of a service's traffic from one region to another.
struct Shift {
    std::string name;
    std::string service;
    std::string from;
    std::string to;
    double percent = 0; ///< final share of the traffic of \p from, 0 to 100
    double capPerSecond = 0; ///< moved requests per second, never exceeded
    double stepPercent = 10; ///< growth of the share at each step
    double stepSeconds = 30; ///< time between steps

    friend bool operator==(const Shift&, const Shift&) = default;
};

/// \brief What a drain takes out of service.
enum class DrainKind { Target, Vm, FailureDomain, Region, Site };

/// \brief A planned drain.
struct Drain {
    DrainKind kind = DrainKind::Target;
    std::string name;

    friend bool operator==(const Drain&, const Drain&) = default;
};

/// \brief A place that takes callers' traffic, in one region.
struct Site {
    std::string name;
    std::string region;

    friend bool operator==(const Site&, const Site&) = default;
};

/// \brief Clients that share one order of preference among sites.
struct ClientGroup {
    std::string name;
    std::vector<std::string> rankedSites; ///< best first

    friend bool operator==(const ClientGroup&, const ClientGroup&) = default;
};

/// \brief A block of client addresses and its group.
struct ClientBlock {
    std::string cidr; ///< IPv4 in CIDR notation, for example "10.1.0.0/16"
    std::string group;

    friend bool operator==(const ClientBlock&, const ClientBlock&) = default;
};

/// \brief How look-ups are answered.
struct Steering {
    std::uint32_t lookupTtlSeconds = 5;
    std::vector<Site> sites;
    std::vector<ClientGroup> groups;
    std::vector<ClientBlock> blocks;

    friend bool operator==(const Steering&, const Steering&) = default;
};

/// \brief The whole configuration.
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
