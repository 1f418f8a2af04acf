#include "entry/reducers.hpp"

#include "entry/admission.hpp"
#include "entry/attempts.hpp"

#include <arbutuscrank/config/codec.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace arbutuscrank::entry {

namespace {

    /// Retry-After of a VM that has no configuration or targets yet. It reads them within a few hundred milliseconds.
    constexpr Duration startupRetryAfter = std::chrono::milliseconds(500);
    /// Retry-After while the configuration is outdated. Callers wait for at most a third of the time until their
    /// deadline.
    constexpr Duration staleRetryAfter = std::chrono::milliseconds(1000);

    /// Retry-After of a VM that shuts down. Other VMs serve the caller at once.
    constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(50);

    Request makeRequest(
        const RequestArrived& event, const RoutePolicy& route, const AccountPolicy* account, TimePoint now)
    {
        Request request {
            .callerRequestId = event.callerRequestId,
            .route = route.name,
            .affinity = event.affinity.empty() ? std::string() : route.name + '\n' + event.affinity,
            .routeRegions = route.regions,
            .idempotent = route.idempotent,
            .rank = { route.priority, route.priority },
            .maxAttempts = route.maxAttempts,
            .arrivedAt = now,
            .deadline = now + std::min(event.timeLeft.value_or(route.timeout), route.timeout),
            .latencyObjective = route.latencyObjective,
        };
        if (account) {
            request.account = account->name;
            request.accountRegions = account->regions;
            request.rank.priority = account->priority.value_or(route.priority);
        }
        return request;
    }

    /// Chooses a service of the route by smooth weighted round-robin: any sequence of requests is split close to the
    /// weights.
    const std::string& chooseService(EntryState& state, const RoutePolicy& route)
    {
        if (route.services.size() == 1)
            return route.services.front().service;
        auto& credits = state.serviceCredits[route.name];
        if (credits.size() != route.services.size()) {
            credits.assign(route.services.size(), 0.0);
            // Random initial credits keep the VMs from all starting with the service of the largest weight.
            for (auto& it : credits)
                it = state.random.unit();
        }
        double total = 0;
        std::size_t best = 0;
        for (std::size_t i = 0; i < credits.size(); ++i) {
            total += route.services[i].weight;
            credits[i] += route.services[i].weight;
        }
        for (std::size_t i = 1; i < credits.size(); ++i) {
            if (route.services[i].weight > 0 && (credits[i] > credits[best] || route.services[best].weight <= 0))
                best = i;
        }
        credits[best] -= total;
        return route.services[best].service;
    }

    void refuse(const RequestArrived& event, std::uint32_t status, std::string_view reason, Duration retryAfter,
        std::string_view inputs, Effects& out)
    {
        out.push_back(SendLocalAnswer { event.request, status, std::string(reason), retryAfter, {}, {} });
        out.push_back(WriteLog { LogEvent::RequestRefused,
            fmt::format("request={} status={} reason={} {}", event.callerRequestId, status, reason, inputs) });
    }

} // namespace

bool wouldPassOn(
    const EntryState& state, std::string_view host, std::string_view path, std::string_view key, TimePoint now)
{
    if (state.policy.policy().version == 0 || !state.targets.isLoaded())
        return false;
    const auto* route = state.policy.findRoute(host, path.substr(0, path.find('?')));
    if (!route)
        return false;
    if (route->open || !state.policy.policy().requiresKeys)
        return true;
    const auto* account
        = isPolicyFresh(state, now) && !key.empty() ? state.policy.findAccount(sha256Hex(key)) : nullptr;
    return account && account->isSendable;
}

void apply(EntryState& state, const RequestArrived& event, TimePoint now, Effects& out)
{
    const auto version = state.policy.policy().version;
    if (version == 0 || !state.targets.isLoaded()) {
        refuse(event, 503, "starting", startupRetryAfter, "version=0", out);
        return;
    }
    const auto* route = state.policy.findRoute(event.host, event.path.substr(0, event.path.find('?')));
    if (!route) {
        refuse(event, 404, "no-route", {}, fmt::format("host={} version={}", event.host, version), out);
        return;
    }
    const AccountPolicy* account = nullptr;
    if (!route->open && state.policy.policy().requiresKeys) {
        if (!isPolicyFresh(state, now)) {
            refuse(event, 503, "configuration-stale", staleRetryAfter, fmt::format("version={}", version), out);
            return;
        }
        account = event.key.empty() ? nullptr : state.policy.findAccount(sha256Hex(event.key));
        if (!account) {
            refuse(event, 401, "unknown-key", {}, fmt::format("version={}", version), out);
            return;
        }
        if (!account->isSendable) {
            refuse(event, 502, "unsendable", {}, fmt::format("version={} account={}", version, account->name), out);
            return;
        }
    }
    auto request = makeRequest(event, *route, account, now);
    if (!attempts::canEndBeforeStop(state, request, now)) {
        refuse(event, 503, "stopping", stoppingRetryAfter, fmt::format("version={}", version), out);
        return;
    }
    request.deadline = attempts::limitToStop(state, request.deadline);
    request.service = chooseService(state, *route);
    auto& stored = state.requests.emplace(event.request, std::move(request)).first->second;
    out.push_back(SetExpiryTimer { event.request, stored.deadline });
    if (account && account->ratePerSecond > 0)
        admission::requestAdmission(state, event.request, stored, now, out);
    else
        attempts::start(state, event.request, stored, now, out);
}

void apply(EntryState& state, const CallerDisconnected& event, TimePoint now, Effects& out)
{
    const auto it = state.requests.find(event.request);
    if (it == state.requests.end())
        return;
    out.push_back(WriteLog { LogEvent::RequestCancelled,
        fmt::format("request={} age_ms={}", it->second.callerRequestId,
            (now - it->second.arrivedAt) / std::chrono::milliseconds(1)) });
    attempts::finish(state, event.request, now, out);
}

void apply(EntryState& state, const RequestExpired& event, TimePoint now, Effects& out)
{
    const auto it = state.requests.find(event.request);
    if (it != state.requests.end())
        attempts::expire(state, event.request, it->second, now, out);
}

} // namespace arbutuscrank::entry
