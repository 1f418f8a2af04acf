#include "entry/reducers.hpp"

#include "entry/attempts.hpp"

#include <arbutuscrank/entry/rate_shares.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace arbutuscrank::entry {

namespace {

    using std::chrono::milliseconds;

    /// Interval of reports between coordinators. VMs report to their coordinator on every tick; traffic between failure
    /// domains costs money, so these reports are less frequent.
    constexpr Duration domainReportInterval = milliseconds(300);
    /// Interval of reports between coordinators while the bucket of some account is less than half full, so that shares
    /// follow the demand.
    constexpr Duration lowBucketReportInterval = milliseconds(200);
    /// Minimum time from the last report to the other coordinators, early or regular, to an early one.
    constexpr Duration earlyReportInterval = milliseconds(50);
    /// Number of VMs that reports are sent to if the coordinator of a failure domain is unknown: the ranks that may
    /// have taken over.
    constexpr std::size_t maxUnknownCoordinatorRecipients = 3;
    /// Fraction of the withdrawal limit after which this VM reports itself as not ready. Callers move to other VMs
    /// before this VM refuses requests.
    constexpr double notReadyAgeFraction = 0.6;
    /// Time constant of the demand average on which splits between regions are based.
    constexpr double demandSmoothingSeconds = 6;
    /// Time from the start of a fleet in which its reported demand is ignored. VMs become ready at different times, by
    /// their distance from the store, and admit little at first, so the demand shows who is ready and not where the
    /// callers are. It ends before the time in which a VM that starts follows the demand at once.
    constexpr Duration fleetStartTime = milliseconds(2500);
    /// Time constant of the average of the work by priority, which has to follow a burst.
    constexpr double workSmoothingSeconds = 0.8;
    /// Averages of amounts per second below this are not reported.
    constexpr double minReportedAverage = 0.001;
    /// Time after which an unresponsive VM counts as removed. Restarts and network partitions usually end sooner. A VM
    /// that was only partitioned registers again when it finds its registration removed.
    constexpr Duration removalTimeout = std::chrono::seconds(12);
    /// A VM that shuts down ends this long before its grace period is over.
    constexpr Duration stopMargin = milliseconds(350);
    /// The store answers a watch of the configuration at least once in its wait. Without an answer for this multiple of
    /// it, the store counts as silent.
    constexpr double storeSilenceFactor = 1.25;
    /// Time without a message of a VM after which it may be cut off from this VM. Coordinators and their VMs exchange
    /// messages every 200 ms, so two in a row are missing.
    constexpr Duration contactTimeout = milliseconds(500);
    /// The same for reports between coordinators, which are sent every 300 ms at most.
    constexpr Duration domainContactTimeout = milliseconds(700);
    /// Longest time that the news of an answer of the store takes to all VMs: a report within the failure domain, one
    /// between coordinators and a digest, each at its regular interval.
    constexpr Duration relayTime = milliseconds(700);
    /// If fewer VMs are heard, the others may read a store that is silent for all that are heard.
    constexpr double minHeardFraction = 0.9;
    /// Maximum age of the fleet load that the coordinator reported.
    constexpr Duration fleetLoadMaxAge = milliseconds(1300);

    /// Moves averages of amounts per second towards what was counted in \p elapsedSeconds.
    template <typename Map> void updateAverages(Map& averages, Map& counted, double elapsedSeconds, double weight)
    {
        for (const auto& [key, amount] : counted)
            averages.try_emplace(key, 0.0);
        for (auto& [key, average] : averages) {
            const auto it = counted.find(key);
            average += weight * ((it == counted.end() ? 0 : it->second / elapsedSeconds) - average);
        }
        std::erase_if(averages, [](const auto& item) { return item.second < minReportedAverage; });
        counted.clear();
    }

    void updateDemand(EntryState& state, double elapsedSeconds)
    {
        const double smoothingWeight = 1 - std::exp(-elapsedSeconds / demandSmoothingSeconds);
        const double workWeight = 1 - std::exp(-elapsedSeconds / workSmoothingSeconds);
        for (auto& [service, demand] : state.serviceDemand) {
            // VMs that start at different times report comparable rates, which an average that rises from zero is not.
            demand.countedSeconds += elapsedSeconds;
            const double weight = std::max(smoothingWeight, elapsedSeconds / demand.countedSeconds);
            demand.perSecond += weight * (demand.admittedSinceUpdate / elapsedSeconds - demand.perSecond);
            demand.admittedSinceUpdate = 0;
            updateAverages(demand.mix.restrictedPerSecond, demand.restrictedSinceUpdate, elapsedSeconds, weight);
            updateAverages(demand.mix.slotsByRank, demand.workSinceUpdate, elapsedSeconds, workWeight);
            updateAverages(demand.mix.movableByClass, demand.movableSinceUpdate, elapsedSeconds, weight);
        }
    }

    template <typename Map> void addValues(Map& sums, const Map& terms)
    {
        for (const auto& [key, value] : terms)
            sums[key] += value;
    }

    void addMixes(ServiceMixes& sums, const ServiceMixes& terms)
    {
        for (const auto& [service, mix] : terms) {
            addValues(sums[service].restrictedPerSecond, mix.restrictedPerSecond);
            addValues(sums[service].slotsByRank, mix.slotsByRank);
            addValues(sums[service].movableByClass, mix.movableByClass);
        }
    }

    ServiceMixes ownMixes(const EntryState& state)
    {
        ServiceMixes out;
        for (const auto& [service, demand] : state.serviceDemand)
            out[service] = demand.mix;
        return out;
    }

    InFlightCounts ownInFlight(const EntryState& state)
    {
        InFlightCounts out;
        for (const auto& [id, target] : state.targets.all()) {
            if (target.inFlight != 0)
                out[target.reportKey()] += target.inFlight;
        }
        return out;
    }

    ColdTimes ownColdTimes(const EntryState& state, TimePoint now)
    {
        ColdTimes out;
        for (const auto& [id, target] : state.targets.all()) {
            if (target.coldUntil && now < *target.coldUntil)
                out[target.reportKey()] = *target.coldUntil - now;
        }
        return out;
    }

    /// Adds the times of a report that arrived at \p receivedAt.
    void addColdTimes(ColdTimes& maxima, const ColdTimes& times, TimePoint receivedAt, TimePoint now)
    {
        for (const auto& [target, remaining] : times) {
            if (const auto left = remaining - (now - receivedAt); left > Duration::zero())
                maxima[target] = std::max(maxima[target], left);
        }
    }

    /// Age up to which the end of a limit is reported. Within this time it reaches all VMs.
    constexpr Duration liftedRateMaxAge = std::chrono::seconds(10);

    NamedRates ownNamedRates(const EntryState& state, TimePoint now)
    {
        NamedRates out;
        for (const auto& [id, target] : state.targets.all()) {
            if (!target.namedRate)
                continue;
            const auto age = now - target.namedRate->statedAt;
            if (age < (target.namedRate->perSecond ? NamedRate::maxAge : liftedRateMaxAge))
                out[target.reportKey()] = { target.namedRate->perSecond, age };
        }
        return out;
    }

    /// Adds the limits of a report that arrived at \p receivedAt, unless a newer one of the target is known.
    void addNamedRates(NamedRates& newest, const NamedRates& rates, TimePoint receivedAt, TimePoint now)
    {
        for (const auto& [target, rate] : rates) {
            const auto age = rate.age + (now - receivedAt);
            const auto [it, isNew] = newest.try_emplace(target, NamedRateReport { rate.perSecond, age });
            if (!isNew && age < it->second.age)
                it->second = { rate.perSecond, age };
        }
    }

    /// Applies the limits that targets named to other VMs.
    /// \returns whether a target is limited that this VM took for unlimited
    bool applyNamedRates(EntryState& state, const NamedRates& rates, TimePoint now, Effects& out)
    {
        bool haveTurnedLimited = false;
        if (rates.empty())
            return haveTurnedLimited;
        for (auto& [id, target] : state.targets.all()) {
            const auto it = rates.find(target.reportKey());
            const auto statedAt = it == rates.end() ? TimePoint {} : now - it->second.age;
            if (it == rates.end() || (target.reportedNamedRate && statedAt <= target.reportedNamedRate->statedAt))
                continue;
            const auto before = target.rateLimit(now);
            target.reportedNamedRate = { it->second.perSecond, statedAt };
            logIfLimitChanged(target, before, "report", now, out);
            updateRateShare(state.targets, target, state.policy, state.members, now);
            haveTurnedLimited = haveTurnedLimited || (!before && target.rateLimit(now));
        }
        return haveTurnedLimited;
    }

    /// Applies the cold times that another VM reports.
    /// \returns whether a target has become cold that this VM took for warm
    bool applyColdTimes(EntryState& state, const ColdTimes& times, TimePoint now, Effects& out)
    {
        bool haveTurnedCold = false;
        if (times.empty())
            return haveTurnedCold;
        for (auto& [id, target] : state.targets.all()) {
            const auto it = times.find(target.reportKey());
            if (it == times.end())
                continue;
            const bool wasCold = target.isCold(now);
            target.suspectedColdUntil = std::max(target.suspectedColdUntil.value_or(now), now + it->second);
            if (!logIfTurnedCold(target, wasCold, "report", now, out))
                continue;
            updateRateShare(state.targets, target, state.policy, state.members, now);
            haveTurnedCold = true;
        }
        return haveTurnedCold;
    }

    ServiceDemands ownDemand(const EntryState& state)
    {
        ServiceDemands out;
        for (const auto& [service, demand] : state.serviceDemand)
            out[service] = demand.perSecond;
        return out;
    }

    /// Time without an answer after which the store counts as silent.
    Duration storeSilenceTimeout(const EntryState& state)
    {
        return std::chrono::duration_cast<Duration>(state.settings.bounds.policyWatchWait() * storeSilenceFactor);
    }

    /// Whether the store answers this VM.
    bool readsStore(const EntryState& state, TimePoint now)
    {
        const auto silence = now - state.storeAnsweredAt.value_or(TimePoint {});
        return !state.isStoreUnavailable && silence < storeSilenceTimeout(state);
    }

    Duration ownStoreUptime(const EntryState& state, TimePoint now)
    {
        return state.storeUpSince && readsStore(state, now) ? now - *state.storeUpSince : Duration::zero();
    }

    /// Adds the contact of a report that arrived at \p receivedAt.
    void addStoreContact(std::optional<TimePoint>& newest, std::optional<Duration> age, TimePoint receivedAt)
    {
        if (age)
            newest = std::max(newest.value_or(TimePoint::min()), receivedAt - *age);
    }

    std::optional<Duration> ageOf(std::optional<TimePoint> time, TimePoint now)
    {
        return time ? std::optional<Duration>(now - *time) : std::nullopt;
    }

    /// Calls a function for each other VM of this failure domain whose report is younger than
    /// \ref MemberTable::relayMaxAge.
    template <typename Use> void forEachRelayedVm(const EntryState& state, TimePoint now, Use use)
    {
        for (const auto& [vm, member] : state.members.others()) {
            if (member.record.failureDomain == state.settings.failureDomain && member.report
                && MemberTable::isResponsive(member, now, MemberTable::relayMaxAge))
                use(member);
        }
    }

    /// Time of the store's newest answer to a VM of this failure domain, as far as this VM knows. Reports carry the age
    /// of the answer itself, so that VMs which are cut off together do not keep the contact alive for each other.
    std::optional<TimePoint> storeContactInDomain(const EntryState& state, TimePoint now)
    {
        auto newest = state.storeContactAt;
        forEachRelayedVm(state, now, [&](const Member& member) {
            addStoreContact(newest, member.report->storeContactAge, member.lastSeenAt.value_or(now));
        });
        return newest;
    }

    /// Time of the store's newest answer to any VM, as far as this VM knows.
    std::optional<TimePoint> newestStoreContact(const EntryState& state, TimePoint now)
    {
        if (!state.coordination.isCoordinator())
            return std::max(state.storeContactAt, state.fleetLoad.storeContactAt);
        auto newest = storeContactInDomain(state, now);
        for (const auto& [name, domain] : state.domainReports.all())
            addStoreContact(newest, domain.report.storeContactAge, domain.receivedAt);
        return newest;
    }

    /// Fraction of the registered VMs, including this one, that this VM or its coordinator has heard of lately.
    double heardFraction(const EntryState& state, TimePoint now)
    {
        if (!state.coordination.isCoordinator()) {
            const auto receivedAt = state.fleetLoad.receivedAt;
            return receivedAt && now - *receivedAt < contactTimeout ? state.fleetLoad.heardFraction : 0;
        }
        std::size_t heard = 1;
        for (const auto& [vm, member] : state.members.others()) {
            if (member.record.failureDomain == state.settings.failureDomain
                && MemberTable::isResponsive(member, now, contactTimeout))
                ++heard;
        }
        for (const auto& [name, domain] : state.domainReports.all()) {
            if (name != state.settings.failureDomain && now - domain.receivedAt < domainContactTimeout)
                heard += domain.report.vms.size();
        }
        return static_cast<double>(heard) / static_cast<double>(state.members.fleetSize());
    }

    /// Whether look-ups should return this VM: it is ready, and its configuration will not become outdated soon.
    bool shouldReceiveCallers(const EntryState& state, TimePoint now)
    {
        if (!isReady(state) || !state.policyConfirmedAt)
            return false;
        const auto age = std::chrono::duration<double>(now - *state.policyConfirmedAt).count();
        return age
            < notReadyAgeFraction * std::chrono::duration<double>(state.settings.bounds.keyWithdrawalLimit).count();
    }

    VmStatus ownStatus(const EntryState& state, TimePoint now)
    {
        return { state.members.self().process.vm, shouldReceiveCallers(state, now), state.stopRequestedAt.has_value() };
    }

    /// Aggregates the reports of the VMs of this failure domain, without account usage.
    DomainReport aggregateDomainReport(EntryState& state, TimePoint now)
    {
        DomainReport out {
            .coordinator = state.members.self().process,
            .sequence = ++state.messageSequence,
            .failureDomain = state.settings.failureDomain,
            .region = state.settings.region,
            .storeUptime = ownStoreUptime(state, now),
            .storeContactAge = ageOf(storeContactInDomain(state, now), now),
            .servesFeed = servesFeed(state, now),
            .vms = { ownStatus(state, now) },
            .demand = ownDemand(state),
            .mixes = ownMixes(state),
            .inFlight = ownInFlight(state),
            .coldTargets = ownColdTimes(state, now),
            .namedRates = ownNamedRates(state, now),
            .evacuations = evacuationsToReport(state, now),
        };
        for (const auto& [name, domain] : state.domainReports.all()) {
            if (DomainReportTable::isFresh(domain, now))
                out.acknowledgedReports[name] = { domain.report.coordinator.incarnation, domain.report.sequence };
        }
        forEachRelayedVm(state, now, [&](const Member& member) {
            out.vms.push_back({ member.record.process.vm, member.ready, member.leaving });
            out.storeUptime = std::max(out.storeUptime, member.report->storeUptime);
            addValues(out.demand, member.report->demand);
            addMixes(out.mixes, member.report->mixes);
            addValues(out.inFlight, member.report->inFlight);
            addColdTimes(out.coldTargets, member.report->coldTargets, member.lastSeenAt.value_or(now), now);
            addNamedRates(out.namedRates, member.report->namedRates, member.lastSeenAt.value_or(now), now);
        });
        return out;
    }

    Digest makeDigest(const EntryState& state, const DomainReport& own, TimePoint now)
    {
        Digest out {
            .coordinator = own.coordinator,
            .sequence = own.sequence,
            .leaving = state.stopRequestedAt.has_value(),
            .storeUptime = own.storeUptime,
            .storeContactAge = ageOf(newestStoreContact(state, now), now),
            .feed = state.storeSource.announcedFeed,
            .heardFraction = heardFraction(state, now),
            .vms = own.vms,
            .demandByRegion = { { own.region, own.demand } },
            .mixesByRegion = { { own.region, own.mixes } },
            .inFlight = own.inFlight,
            .coldTargets = own.coldTargets,
            .namedRates = own.namedRates,
            .evacuations = own.evacuations,
        };
        for (const auto& [name, domain] : state.domainReports.all()) {
            if (name == own.failureDomain || !DomainReportTable::isFresh(domain, now))
                continue;
            out.storeUptime = std::max(out.storeUptime, domain.report.storeUptime);
            out.vms.insert(out.vms.end(), domain.report.vms.begin(), domain.report.vms.end());
            addValues(out.demandByRegion[domain.report.region], domain.report.demand);
            addMixes(out.mixesByRegion[domain.report.region], domain.report.mixes);
            addValues(out.inFlight, domain.report.inFlight);
            addColdTimes(out.coldTargets, domain.report.coldTargets, domain.receivedAt, now);
            addNamedRates(out.namedRates, domain.report.namedRates, domain.receivedAt, now);
        }
        return out;
    }

    std::vector<std::string> addressesOf(const EntryState& state, const std::vector<VmId>& vms)
    {
        std::vector<std::string> out;
        for (const auto& vm : vms) {
            const auto it = state.members.others().find(vm);
            if (it != state.members.others().end())
                out.push_back(it->second.record.reportAddress);
        }
        return out;
    }

    std::set<std::string> otherDomains(const EntryState& state)
    {
        std::set<std::string> out;
        for (const auto& [vm, member] : state.members.others()) {
            if (member.record.failureDomain != state.settings.failureDomain)
                out.insert(member.record.failureDomain);
        }
        return out;
    }

    /// The coordinators of the other failure domains. For a domain without recent reports, the VMs that may have become
    /// its coordinator.
    std::vector<VmId> otherCoordinators(const EntryState& state, TimePoint now)
    {
        std::vector<VmId> out;
        for (const auto& name : otherDomains(state)) {
            const auto it = state.domainReports.all().find(name);
            if (it != state.domainReports.all().end() && DomainReportTable::isFresh(it->second, now)) {
                out.push_back(it->second.report.coordinator.vm);
                continue;
            }
            const auto ranks = Coordination::ranking(state.members, name);
            out.insert(out.end(), ranks.begin(),
                ranks.begin() + static_cast<std::ptrdiff_t>(std::min(maxUnknownCoordinatorRecipients, ranks.size())));
        }
        return out;
    }

    /// Sends digests to the VMs of the failure domain. The standby coordinator also receives the account usage.
    void sendDigests(
        const EntryState& state, const DomainReport& own, AccountUsages accounts, TimePoint now, Effects& out)
    {
        auto digest = makeDigest(state, own, now);
        std::vector<VmId> ranks = Coordination::ranking(state.members, state.settings.failureDomain);
        std::erase(ranks, state.members.self().process.vm);
        if (ranks.empty())
            return;
        const auto standby = addressesOf(state, { ranks.front() });
        ranks.erase(ranks.begin());
        if (!ranks.empty())
            out.push_back(SendMessage { digest, addressesOf(state, ranks) });
        digest.domains.push_back({ .coordinator = own.coordinator,
            .sequence = own.sequence,
            .failureDomain = own.failureDomain,
            .accounts = std::move(accounts) });
        for (const auto& [name, domain] : state.domainReports.all()) {
            if (!DomainReportTable::isFresh(domain, now))
                continue;
            digest.domains.push_back({ .coordinator = domain.report.coordinator,
                .sequence = domain.report.sequence,
                .failureDomain = name,
                .accounts = domain.report.accounts });
        }
        out.push_back(SendMessage { std::move(digest), standby });
    }

    void reportToCoordinator(EntryState& state, TimePoint now, Effects& out)
    {
        const auto status = ownStatus(state, now);
        state.reportedInFlight = ownInFlight(state);
        VmReport report {
            .process = state.members.self().process,
            .sequence = ++state.messageSequence,
            .ready = status.ready,
            .leaving = status.leaving,
            .storeUptime = ownStoreUptime(state, now),
            .storeContactAge = ageOf(state.storeContactAt, now),
            .servesFeed = servesFeed(state, now),
            .demand = ownDemand(state),
            .mixes = ownMixes(state),
            .inFlight = state.reportedInFlight,
            .coldTargets = ownColdTimes(state, now),
            .namedRates = ownNamedRates(state, now),
            .evacuations = evacuationsToReport(state, now),
        };
        state.lastReportAt = now;
        auto addresses = addressesOf(state, { state.coordination.followedCoordinator() });
        if (!addresses.empty())
            out.push_back(SendMessage { std::move(report), std::move(addresses) });
    }

    void reportAsCoordinator(EntryState& state, TimePoint now, bool toOtherDomains, Effects& out)
    {
        auto own = aggregateDomainReport(state, now);
        auto accounts = state.quota.collectUsage(now);
        sendDigests(state, own, accounts, now, out);
        if (!toOtherDomains)
            return;
        state.lastReportAt = now;
        state.quota.recordSentReport({ own.coordinator.incarnation, own.sequence }, now);
        own.accounts = std::move(accounts);
        out.push_back(SendMessage { std::move(own), addressesOf(state, otherCoordinators(state, now)) });
    }

    std::map<std::string, ServiceDemands> demandByRegion(const EntryState& state, TimePoint now)
    {
        std::map<std::string, ServiceDemands> byRegion;
        if (state.coordination.isCoordinator()) {
            addValues(byRegion[state.settings.region], ownDemand(state));
            forEachRelayedVm(state, now,
                [&](const Member& member) { addValues(byRegion[state.settings.region], member.report->demand); });
            for (const auto& [name, domain] : state.domainReports.all()) {
                if (DomainReportTable::isFresh(domain, now))
                    addValues(byRegion[domain.report.region], domain.report.demand);
            }
        } else {
            byRegion = state.fleetLoad.demandByRegion;
        }
        return byRegion;
    }

    /// Mixes of requests by region of their callers.
    std::map<std::string, ServiceMixes> mixesByRegion(const EntryState& state, TimePoint now)
    {
        if (!state.coordination.isCoordinator())
            return state.fleetLoad.mixesByRegion;
        std::map<std::string, ServiceMixes> out;
        auto& own = out[state.settings.region];
        addMixes(own, ownMixes(state));
        forEachRelayedVm(state, now, [&](const Member& member) { addMixes(own, member.report->mixes); });
        for (const auto& [name, domain] : state.domainReports.all()) {
            if (DomainReportTable::isFresh(domain, now))
                addMixes(out[domain.report.region], domain.report.mixes);
        }
        return out;
    }

    /// Requests per second by service and region.
    std::map<std::string, std::map<std::string, double>> demandByService(const EntryState& state, TimePoint now)
    {
        std::map<std::string, std::map<std::string, double>> out;
        for (const auto& [region, demands] : demandByRegion(state, now)) {
            for (const auto& [service, perSecond] : demands)
                out[service][region] += perSecond;
        }
        return out;
    }

    /// Whether all VMs have started recently, as after a loss of power. A VM that starts alone hears of longer uptimes.
    bool isFleetStarting(const EntryState& state, TimePoint now)
    {
        const auto uptime = std::max(ownStoreUptime(state, now), storeUptimeElsewhere(state, now));
        return state.selection.isStarting(now) && uptime < fleetStartTime;
    }

    void updateRegionSplits(EntryState& state, TimePoint now)
    {
        if (isFleetStarting(state, now)) {
            state.selection.updateSplits(state.targets, {}, {}, {}, now);
            return;
        }
        RestrictedDemand restricted;
        MovableDemand movable;
        for (const auto& [region, mixes] : mixesByRegion(state, now)) {
            for (const auto& [service, mix] : mixes) {
                restricted[service][region] = mix.restrictedPerSecond;
                if (region == state.settings.region)
                    movable[service] = mix.movableByClass;
            }
        }
        state.selection.updateSplits(state.targets, demandByService(state, now), restricted, movable, now);
    }

    InFlightCounts othersInFlight(const EntryState& state, TimePoint now)
    {
        InFlightCounts out;
        if (state.coordination.isCoordinator()) {
            forEachRelayedVm(state, now, [&](const Member& member) { addValues(out, member.report->inFlight); });
            for (const auto& [name, domain] : state.domainReports.all()) {
                if (DomainReportTable::isFresh(domain, now))
                    addValues(out, domain.report.inFlight);
            }
            return out;
        }
        if (!state.fleetLoad.receivedAt || now - *state.fleetLoad.receivedAt > fleetLoadMaxAge)
            return out;
        out = state.fleetLoad.inFlight;
        for (const auto& [target, own] : state.reportedInFlight) {
            auto& all = out[target];
            all -= std::min(all, own);
        }
        return out;
    }

    void updateOthersInFlight(EntryState& state, TimePoint now)
    {
        const auto counts = othersInFlight(state, now);
        for (auto& [id, target] : state.targets.all()) {
            const auto it = counts.find(target.reportKey());
            target.othersInFlight = it == counts.end() ? 0 : it->second;
        }
    }

    /// As coordinator, requests the removal of unresponsive VMs of the own failure domain. The first reachable domain
    /// by name also removes the VMs of failure domains that are unreachable as a whole.
    void removeUnresponsiveMembers(EntryState& state, TimePoint now, Effects& out)
    {
        if (!state.coordination.isCoordinator())
            return;
        const auto& own = state.settings.failureDomain;
        const bool isFirstFreshDomain = coordinatesFleet(state, now);
        std::vector<VmId> unresponsive;
        for (const auto& [vm, member] : state.members.others()) {
            const auto& domain = member.record.failureDomain;
            const auto it = state.domainReports.all().find(domain);
            const bool isDomainFresh
                = it != state.domainReports.all().end() && DomainReportTable::isFresh(it->second, now);
            if (!MemberTable::isResponsive(member, now) && (domain == own || (isFirstFreshDomain && !isDomainFresh)))
                unresponsive.push_back(vm);
        }
        for (const auto& vm : unresponsive) {
            if (!state.members.claimRemoval(vm, removalTimeout, now))
                continue;
            out.push_back(RemoveRegistration { vm });
            out.push_back(WriteLog { LogEvent::MemberSuspected, fmt::format("member={} cause=silent", vm) });
        }
    }

} // namespace

bool coordinatesFleet(const EntryState& state, TimePoint now)
{
    return state.coordination.isCoordinator() && std::ranges::none_of(state.domainReports.all(), [&](const auto& item) {
        return item.first < state.settings.failureDomain && DomainReportTable::isFresh(item.second, now);
    });
}

void updateColdnessKnowledge(EntryState& state, TimePoint now, Effects& out)
{
    // VMs that are not heard may read the store, and so learn of targets that turn cold. If nearly all VMs are heard
    // and none of them reads it, the store is down for all, and no evacuation can start or end.
    if (heardFraction(state, now) >= minHeardFraction)
        state.fewHeardSince.reset();
    else if (!state.fewHeardSince)
        state.fewHeardSince = now;
    const auto maxContactAge = storeSilenceTimeout(state) + relayTime;
    const auto contactAt = newestStoreContact(state, now).value_or(TimePoint {});
    const bool isUnknown = state.fewHeardSince && (contactAt < *state.fewHeardSince || now - contactAt > maxContactAge);
    if (isUnknown == state.targets.isColdnessUnknown())
        return;
    out.push_back(WriteLog { LogEvent::ColdnessUnknown, fmt::format("unknown={}", isUnknown) });
    state.targets.setColdnessUnknown(isUnknown);
    updateRateShares(state.targets, state.policy, state.members, now);
    if (isUnknown && state.coordination.isCoordinator())
        out.push_back(RepeatPolicyRead {});
}

void updateCoordination(EntryState& state, TimePoint now, Effects& out)
{
    if (!state.hasMemberList)
        return; // the ranking is unknown before the list of VMs has been read
    const auto before = state.coordination.followedCoordinator();
    const bool becameCoordinator = state.coordination.update(state.members, now);
    if (becameCoordinator) {
        state.quota.startCoordinating(now);
        reportAsCoordinator(state, now, true, out);
    }
    if (becameCoordinator || state.coordination.followedCoordinator() != before)
        out.push_back(WriteLog { LogEvent::CoordinatorChanged,
            fmt::format("failure_domain={} coordinator={} previous={}", state.settings.failureDomain,
                becameCoordinator ? state.members.self().process.vm : state.coordination.followedCoordinator(),
                before) });
}

Duration storeUptimeElsewhere(const EntryState& state, TimePoint now)
{
    if (!state.coordination.isCoordinator()) {
        const bool isLoadFresh = state.fleetLoad.receivedAt && now - *state.fleetLoad.receivedAt < fleetLoadMaxAge;
        return isLoadFresh ? state.fleetLoad.storeUptime : Duration::zero();
    }
    Duration longest {};
    forEachRelayedVm(
        state, now, [&](const Member& member) { longest = std::max(longest, member.report->storeUptime); });
    for (const auto& [name, domain] : state.domainReports.all()) {
        if (DomainReportTable::isFresh(domain, now))
            longest = std::max(longest, domain.report.storeUptime);
    }
    return longest;
}

ServiceMixes fleetMixes(const EntryState& state, TimePoint now)
{
    ServiceMixes out;
    const auto receivedAt = state.fleetLoad.receivedAt;
    if (!state.coordination.isCoordinator() && (!receivedAt || now - *receivedAt > fleetLoadMaxAge))
        return out;
    for (const auto& [region, mixes] : mixesByRegion(state, now))
        addMixes(out, mixes);
    return out;
}

void sendReports(EntryState& state, TimePoint now, Effects& out)
{
    if (state.coordination.isCoordinator())
        reportAsCoordinator(state, now, true, out);
    else
        reportToCoordinator(state, now, out);
}

void sendEarlyReports(EntryState& state, TimePoint now, Effects& out)
{
    if (!state.lastReportAt || now - *state.lastReportAt >= earlyReportInterval)
        sendReports(state, now, out);
}

void apply(EntryState& state, const VmReportReceived& event, TimePoint now, Effects& out)
{
    const auto& vm = event.report.process.vm;
    const auto before = state.members.others().find(vm);
    const bool changed = before == state.members.others().end() || before->second.ready != event.report.ready
        || before->second.leaving != event.report.leaving;
    if (!state.members.applyReport(event.report, now))
        return;
    state.coordination.recordReport(now);
    adoptEvacuations(state, event.report.evacuations, now, out);
    const bool haveTurnedCold = applyColdTimes(state, event.report.coldTargets, now, out);
    const bool haveTurnedLimited = applyNamedRates(state, event.report.namedRates, now, out);
    if ((changed || haveTurnedCold || haveTurnedLimited) && state.coordination.isCoordinator())
        sendEarlyReports(state, now, out);
}

void apply(EntryState& state, const DomainReportReceived& event, TimePoint now, Effects& out)
{
    const auto& report = event.report;
    const auto before = state.domainReports.all().find(report.failureDomain);
    const bool isNew
        = before == state.domainReports.all().end() || before->second.report.coordinator != report.coordinator;
    if (report.failureDomain == state.settings.failureDomain || !state.domainReports.apply(report, now))
        return;
    for (const auto& status : report.vms)
        state.members.applyStatus(status, now);
    state.quota.applyReport(report, now);
    adoptEvacuations(state, report.evacuations, now, out);
    const bool haveTurnedCold = applyColdTimes(state, report.coldTargets, now, out);
    const bool haveTurnedLimited = applyNamedRates(state, report.namedRates, now, out);
    // A new coordinator admits nothing until its report is acknowledged, so the acknowledgement is sent early.
    if ((isNew || haveTurnedCold || haveTurnedLimited) && state.coordination.isCoordinator())
        sendEarlyReports(state, now, out);
}

void apply(EntryState& state, const DigestReceived& event, TimePoint now, Effects& out)
{
    const auto& digest = event.digest;
    state.coordination.recordHeartbeat(digest.coordinator.vm, digest.leaving, now);
    updateCoordination(state, now, out);
    if (state.coordination.isCoordinator() || state.coordination.followedCoordinator() != digest.coordinator.vm)
        return;
    for (const auto& status : digest.vms)
        state.members.applyStatus(status, now);
    for (const auto& domain : digest.domains)
        state.quota.applyReport(domain, now);
    adoptEvacuations(state, digest.evacuations, now, out);
    (void)applyColdTimes(state, digest.coldTargets, now, out);
    (void)applyNamedRates(state, digest.namedRates, now, out);
    state.fleetLoad = { .demandByRegion = digest.demandByRegion,
        .mixesByRegion = digest.mixesByRegion,
        .inFlight = digest.inFlight,
        .storeUptime = digest.storeUptime,
        .heardFraction = digest.heardFraction,
        .feed = digest.feed,
        .receivedAt = now };
    addStoreContact(state.fleetLoad.storeContactAt, digest.storeContactAge, now);
    updateColdnessKnowledge(state, now, out);
}

void apply(EntryState& state, const AdmissionRequestReceived& event, TimePoint now, Effects& out)
{
    const auto requester = state.members.others().find(event.admissionRequest.vm);
    if (!state.coordination.isCoordinator() || requester == state.members.others().end())
        return;
    AdmissionDecision decision { .request = event.admissionRequest.request };
    decision.admitted = state.quota.admit(event.admissionRequest.account, now);
    if (!decision.admitted)
        decision.retryAfter = state.quota.timeUntilToken(event.admissionRequest.account, now);
    out.push_back(SendMessage { decision, { requester->second.record.reportAddress } });
    if (state.quota.needsExchange())
        sendEarlyReports(state, now, out);
}

void apply(EntryState& state, const TokenReturnReceived& event, TimePoint, Effects&)
{
    state.quota.returnToken(event.tokenReturn.account);
}

void apply(EntryState& state, const Tick&, TimePoint now, Effects& out)
{
    const double elapsed = state.lastTickAt ? std::chrono::duration<double>(now - *state.lastTickAt).count() : 0;
    state.lastTickAt = now;
    if (elapsed > 0)
        updateDemand(state, elapsed);
    updateCoordination(state, now, out);
    state.domainReports.expire(now);
    state.quota.updateShares(otherDomains(state), now);
    updateOthersInFlight(state, now);
    updateRegionSplits(state, now);
    updateColdnessKnowledge(state, now, out);
    releaseEarlierEra(state, now, out);
    updateRateShares(state.targets, state.policy, state.members, now);
    updateRoomSharing(state, elapsed, now, out);
    for (const auto& id : state.targets.removeExpired(now))
        out.push_back(WriteLog { LogEvent::TargetDrained, fmt::format("target={} cause=lapsed", id) });
    if (!state.refusesKeyedRequests && state.policyConfirmedAt && !isPolicyFresh(state, now)) {
        state.refusesKeyedRequests = true;
        out.push_back(WriteLog { LogEvent::ConfigurationStale,
            fmt::format("version={} age_ms={}", state.policy.policy().version,
                (now - *state.policyConfirmedAt) / milliseconds(1)) });
    }
    if (!state.isStoreUnavailable && !state.stopRequestedAt) {
        removeUnresponsiveMembers(state, now, out);
        maintainEvacuationRecords(state, now, out);
    }
    if (!state.coordination.isCoordinator()) {
        reportToCoordinator(state, now, out);
        return;
    }
    const auto interval = state.quota.hasLowBucket() ? lowBucketReportInterval : domainReportInterval;
    reportAsCoordinator(state, now, !state.lastReportAt || now - *state.lastReportAt >= interval, out);
}

TimePoint stopEndsAt(const EntryState& state) noexcept
{
    return state.stopRequestedAt.value_or(TimePoint::max() - state.settings.bounds.stopGrace)
        + state.settings.bounds.stopGrace - stopMargin;
}

void apply(EntryState& state, const StopRequested&, TimePoint now, Effects& out)
{
    if (state.stopRequestedAt)
        return;
    state.stopRequestedAt = now;
    for (auto& [id, request] : state.requests) {
        request.deadline = attempts::limitToStop(state, request.deadline);
        out.push_back(SetExpiryTimer { id, request.deadline });
    }
    out.push_back(WriteLog { LogEvent::StopStarted, fmt::format("requests={}", state.requests.size()) });
    sendReports(state, now, out);
}

} // namespace arbutuscrank::entry
