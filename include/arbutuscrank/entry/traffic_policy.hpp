#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Configuration of an entry VM: routes, services, client accounts and limits for callers.

namespace arbutuscrank::entry {

/// \brief A service that receives a part of a route's traffic.
struct WeightedService {
    std::string service;
    double weight = 0; ///< fraction of the route's requests, relative to the sum of all weights; at least 0
};

/// \brief A route: requests to one host whose path starts with a prefix.
struct RoutePolicy {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< starts and ends with '/'
    bool idempotent = false; ///< whether a request may run more than once
    Duration timeout {}; ///< longest time until the caller is answered
    Duration latencyObjective {}; ///< time within which an answer keeps its full value to the caller
    std::uint32_t priority = 0; ///< 0 is the highest priority
    std::uint32_t maxAttempts = 1; ///< maximum number of targets that one request may be sent to
    bool open = false; ///< requires no API key
    std::vector<WeightedService> services; ///< at least one
    std::vector<std::string> regions; ///< regions that may serve it; empty means all
};

/// \brief A service: a group of interchangeable targets.
struct ServicePolicy {
    std::string name;
    Duration coldTime {}; ///< time for which a target is cold after its start
    /// Requests per second that a cold target may receive from all VMs; 0 means that it receives none until it is warm
    double coldRate = 0;
};

/// \brief A client account.
struct AccountPolicy {
    std::string name;
    std::vector<std::string> keyDigests; ///< SHA-256 of each key, 64 lower-case hex digits
    std::optional<std::uint32_t> priority; ///< overrides the priority of the route
    double ratePerSecond = 0; ///< requests per second over all VMs; 0 means no limit
    double burst = 0; ///< requests that may exceed the rate at once
    std::vector<std::string> regions; ///< regions that may serve it; empty means all
    bool isSendable
        = true; ///< whether the name can be sent to targets; if not, no request of the account can be served
};

/// \brief Limits on the size and duration of a caller's requests.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1 << 20;
    std::uint32_t maxHeaderFields = 1000; ///< the memory of a short field is a multiple of its length
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// \brief One version of the configuration.
struct TrafficPolicy {
    std::uint64_t version = 0; ///< increases with each change; 0 means that no configuration has been read
    std::vector<RoutePolicy> routes;
    std::vector<ServicePolicy> services;
    std::vector<AccountPolicy> accounts;
    /// Whether requests on routes that are not open need a key of one of the accounts. If no account is left, no key is
    /// valid.
    bool requiresKeys = true;
    CallerLimits limits;
};

/// \brief A configuration with indexes for the look-ups of each request.
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

    /// \brief Returns the route of a host with the longest prefix of \p path, or nullptr if there is none.
    /// \param host host name without port; case is ignored
    [[nodiscard]] const RoutePolicy* findRoute(std::string_view host, std::string_view path) const;

    /// \brief Returns the account that owns a key, or nullptr if there is none.
    /// \param keyDigest SHA-256 of the key in lower-case hex
    [[nodiscard]] const AccountPolicy* findAccount(std::string_view keyDigest) const;

    /// \brief Returns a service, or nullptr if it does not exist.
    [[nodiscard]] const ServicePolicy* findService(std::string_view name) const;

    /// \brief Regions that all routes of a host allow.
    /// \returns an empty list if no route of the host is restricted to regions, and also if the restricted routes have
    /// no region in common; callers take both to mean all regions
    [[nodiscard]] std::vector<std::string> regionsOfHost(std::string_view host) const;

private:
    TrafficPolicy m_policy;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost; ///< longest prefix first
    std::map<std::string, std::size_t, std::less<>> m_accountByDigest;
    std::map<std::string, std::size_t, std::less<>> m_serviceByName;
};

/// \brief Validates a configuration.
/// \returns one line for each error with the field, the limit and the value found; empty if the configuration is valid
[[nodiscard]] std::vector<std::string> findFaults(const TrafficPolicy& policy);

} // namespace arbutuscrank::entry
