#include <arbutuscrank/entry/traffic_policy.hpp>

#include <algorithm>
#include <cctype>
#include <set>

namespace arbutuscrank::entry {

namespace {

    std::string lowerCase(std::string_view text)
    {
        std::string out(text);
        std::ranges::transform(out, out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return out;
    }

    void checkRoute(
        const RoutePolicy& route, const std::set<std::string_view>& services, std::vector<std::string>& faults)
    {
        const auto path = "routes/" + route.name;
        const auto& prefix = route.pathPrefix;
        if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
            faults.push_back(path + ": path prefix must begin and end with '/', found \"" + prefix + '"');
        if (route.maxAttempts < 1)
            faults.push_back(path + ": attempts must be at least 1, found 0");
        if (route.timeout <= Duration::zero())
            faults.push_back(path + ": time-out must be above 0 us, found " + std::to_string(route.timeout.count()));
        double weights = 0;
        for (const auto& part : route.services) {
            weights += part.weight;
            if (part.weight < 0)
                faults.push_back(path + ": weight must be at least 0, found " + std::to_string(part.weight));
            if (!services.contains(part.service))
                faults.push_back(path + ": service must exist, found \"" + part.service + '"');
        }
        if (weights <= 0)
            faults.push_back(path + ": sum of weights must be above 0, found " + std::to_string(weights));
    }

} // namespace

PolicyIndex::PolicyIndex(TrafficPolicy policy)
    : m_policy(std::move(policy))
{
    for (std::size_t i = 0; i < m_policy.routes.size(); ++i)
        m_routesByHost[lowerCase(m_policy.routes[i].host)].push_back(i);
    for (auto& [host, routes] : m_routesByHost) {
        std::ranges::stable_sort(routes, [this](std::size_t a, std::size_t b) {
            return m_policy.routes[a].pathPrefix.size() > m_policy.routes[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < m_policy.accounts.size(); ++i) {
        for (const auto& digest : m_policy.accounts[i].keyDigests)
            m_accountByDigest.emplace(digest, i);
    }
    for (std::size_t i = 0; i < m_policy.services.size(); ++i)
        m_serviceByName.emplace(m_policy.services[i].name, i);
}

const RoutePolicy* PolicyIndex::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(lowerCase(host));
    if (it == m_routesByHost.end())
        return nullptr;
    for (const auto i : it->second) {
        if (path.starts_with(m_policy.routes[i].pathPrefix))
            return &m_policy.routes[i];
    }
    return nullptr;
}

const AccountPolicy* PolicyIndex::findAccount(std::string_view keyDigest) const
{
    const auto it = m_accountByDigest.find(keyDigest);
    return it == m_accountByDigest.end() ? nullptr : &m_policy.accounts[it->second];
}

const ServicePolicy* PolicyIndex::findService(std::string_view name) const
{
    const auto it = m_serviceByName.find(name);
    return it == m_serviceByName.end() ? nullptr : &m_policy.services[it->second];
}

std::vector<std::string> PolicyIndex::regionsOfHost(std::string_view host) const
{
    const auto it = m_routesByHost.find(lowerCase(host));
    if (it == m_routesByHost.end())
        return {};
    std::vector<std::string> common;
    bool restricted = false;
    for (const auto i : it->second) {
        const auto& regions = m_policy.routes[i].regions;
        if (regions.empty())
            continue;
        if (!restricted) {
            common = regions;
            restricted = true;
            continue;
        }
        std::erase_if(common, [&](const auto& region) { return std::ranges::find(regions, region) == regions.end(); });
    }
    return common;
}

std::vector<std::string> findFaults(const TrafficPolicy& policy)
{
    std::vector<std::string> faults;
    if (policy.version == 0)
        faults.emplace_back("version: must be at least 1, found 0");
    std::set<std::string_view> services;
    for (const auto& service : policy.services)
        services.insert(service.name);
    for (const auto& route : policy.routes)
        checkRoute(route, services, faults);
    for (const auto& account : policy.accounts) {
        if (account.ratePerSecond < 0 || account.burst < 0)
            faults.push_back("accounts/" + account.name + ": rate and burst must be at least 0, found "
                + std::to_string(account.ratePerSecond) + " and " + std::to_string(account.burst));
    }
    return faults;
}

} // namespace arbutuscrank::entry
