#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The configuration that an entry VM acts on: routes, services, client accounts and limits of callers.

namespace arbutuscrank::entry {

/// \brief One part of a route's traffic.
struct WeightedService {
    std::string service;
    double weight = 0; ///< share of the route's requests, relative to the other parts; 0 or more
};

/// \brief A route: the requests of one host whose path begins with a prefix.
struct RoutePolicy {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with '/'
    bool idempotent = false; ///< whether a request may run more than once
    Duration timeout {}; ///< longest time that a caller is kept waiting
    Duration latencyObjective {}; ///< time within which an answer has its full value
    std::uint32_t priority = 0; ///< 0 is the most important
    std::uint32_t maxAttempts = 1; ///< targets to which one request may be sent
    bool open = false; ///< needs no key
    std::vector<WeightedService> services; ///< at least one
    std::vector<std::string> regions; ///< regions that may serve it; empty means all
};

/// \brief A service: a group of targets that run the same requests.
struct ServicePolicy {
    std::string name;
    Duration coldTime {}; ///< time for which a started target is cold
    double coldRate = 0; ///< requests per second that a cold target bears; 0 means no limit
};

/// \brief A client account.
struct AccountPolicy {
    std::string name;
    std::vector<std::string> keyDigests; ///< SHA-256 of each key, 64 lower-case hex digits
    std::optional<std::uint32_t> priority; ///< takes precedence over the route's
    double ratePerSecond = 0; ///< requests per second over all VMs; 0 means no limit
    double burst = 0; ///< requests on top of the rate
    std::vector<std::string> regions; ///< regions that may serve it; empty means all
};

/// \brief What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1 << 20;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// \brief One version of the configuration.
struct TrafficPolicy {
    std::uint64_t version = 0; ///< grows with each change; 0 means that none was read yet
    std::vector<RoutePolicy> routes;
    std::vector<ServicePolicy> services;
    std::vector<AccountPolicy> accounts;
    CallerLimits limits;
};

/// \brief A configuration with the indexes that each request needs.
///
/// \code
/// const PolicyIndex index(policy);
/// if (const auto* route = index.findRoute("shop.example", "/cart/7"))
///     forward(*route);
/// \endcode
class PolicyIndex {
public:
    PolicyIndex() = default;
    explicit PolicyIndex(TrafficPolicy policy);

    [[nodiscard]] const TrafficPolicy& policy() const noexcept { return m_policy; }

    /// \brief The route of a host with the longest prefix of \p path. \returns nullptr if there is none
    /// \param host without port, any case
    [[nodiscard]] const RoutePolicy* findRoute(std::string_view host, std::string_view path) const;

    /// \brief The account that holds a key. \returns nullptr if none does
    /// \param keyDigest SHA-256 of the key in lower-case hex
    [[nodiscard]] const AccountPolicy* findAccount(std::string_view keyDigest) const;

    /// \brief \returns nullptr if the service does not exist
    [[nodiscard]] const ServicePolicy* findService(std::string_view name) const;

    /// \brief Regions that may serve every route of a host; empty means all regions.
    [[nodiscard]] std::vector<std::string> regionsOfHost(std::string_view host) const;

private:
    TrafficPolicy m_policy;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost; ///< longest prefix first
    std::map<std::string, std::size_t, std::less<>> m_accountByDigest;
    std::map<std::string, std::size_t, std::less<>> m_serviceByName;
};

/// \brief The faults of a configuration, one line each with the field, the limit and the value found.
/// \returns an empty list if it can be used
[[nodiscard]] std::vector<std::string> findFaults(const TrafficPolicy& policy);

} // namespace arbutuscrank::entry
